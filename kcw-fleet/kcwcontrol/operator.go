package kcwcontrol

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strconv"

	"k8s.io/klog/v2"

	"kingcupwick.example/kcw-fleet/kcwsetup"
	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwroute"
)

// ConfigurationPath is the path at which operators put and get the configuration.
const ConfigurationPath = "/configuration"

// electionRetrySeconds is the Retry-After of an answer that names no leader, in
// seconds. An election ends within it.
const electionRetrySeconds = "1"

// operator is the handler for operators.
type operator struct {
	*service
	settings *kcwsetup.Control
	decode   func([]byte) (*kcwroute.Document, error)
	parsing  *parseLimit
}

// ServeHTTP handles GET and PUT of the configuration, and calls at BlocksPath and
// EvacuationsPath.
func (o *operator) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), o.settings.Group.PutTimeout)
	defer cancel()
	if r.URL.Path == BlocksPath {
		o.serveBlocks(ctx, w, r)
		return
	}
	if isEvacuationsCall(r) {
		o.serveEvacuations(ctx, w, r)
		return
	}
	switch r.Method {
	case http.MethodPut:
		o.put(ctx, w, r)
	case http.MethodGet:
		o.get(ctx, w, r)
	default:
		w.Header().Set("Allow", "GET, PUT")
		http.Error(w, "only GET and PUT are known", http.StatusMethodNotAllowed)
	}
}

// put commits a document. It validates the document first, so that every member
// refuses an invalid one, whatever its version.
func (o *operator) put(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, o.settings.Group.MaxDocumentBytes))
	if err != nil {
		http.Error(w, "the document can't be read: "+err.Error(), http.StatusBadRequest)
		return
	}
	release, refused := o.parsing.acquire(ctx, body)
	if refused != nil {
		klog.InfoS("Document refused", "Cause", refused.text, "Bytes", len(body))
		refused.write(w)
		return
	}
	defer release()
	document, err := o.decode(body)
	if err != nil {
		klog.InfoS("Document refused", "Cause", err.Error(), "Bytes", len(body))
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if o.redirectToLeader(w, r) {
		return
	}
	put, err := pack(document, body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	routes, teams, isKeyless := len(document.Routes), len(document.Teams), document.Keyless
	release()
	before := o.table.Document()
	result, err := o.propose(ctx, &kcwpb.FleetCommand{Op: &kcwpb.FleetCommand_PutDocument{PutDocument: put}})
	if err != nil {
		klog.InfoS("Document not committed", "Version", put.GetVersion(), "Cause", err.Error())
		unavailable(w, "the document may or may not be taken: "+err.Error())
		return
	}
	klog.InfoS("Document acknowledged", "Version", put.GetVersion(), "Newest", result.GetVersion(), "Code", result.GetCode().String(),
		"Routes", routes, "Teams", teams, "Keyless", isKeyless)
	o.logBudgets(before, put)
	w.WriteHeader(http.StatusOK)
}

// logBudgets logs the teams whose prepaid tokens a newer document changes.
func (o *operator) logBudgets(before, put *kcwpb.PutDocument) {
	if put.GetVersion() <= before.GetVersion() {
		return
	}
	previous := map[string]int64{}
	for _, b := range before.GetBudgets() {
		previous[b.GetTeam()] = b.GetPrepaid()
	}
	_, outstanding := o.table.Budgets()
	for _, b := range put.GetBudgets() {
		if from, found := previous[b.GetTeam()]; !found || from != b.GetPrepaid() {
			klog.InfoS("Prepaid tokens changed", "Team", b.GetTeam(), "From", from, "To", b.GetPrepaid(),
				"HeldOrUsed", outstanding[b.GetTeam()], "Version", put.GetVersion())
		}
	}
}

// pack returns the command that commits the document, with body compressed.
func pack(document *kcwroute.Document, body []byte) (*kcwpb.PutDocument, error) {
	compressed, err := compress(body)
	if err != nil {
		return nil, err
	}
	put := &kcwpb.PutDocument{Version: document.Version, Document: compressed}
	for _, team := range document.Teams {
		put.Budgets = append(put.Budgets, &kcwpb.TeamBudget{Team: team.Name, Prepaid: team.Prepaid})
	}
	return put, nil
}

// compress returns data compressed with gzip.
func compress(data []byte) ([]byte, error) {
	var compressed bytes.Buffer
	z := gzip.NewWriter(&compressed)
	if _, err := z.Write(data); err != nil {
		return nil, err
	}
	if err := z.Close(); err != nil {
		return nil, err
	}
	return compressed.Bytes(), nil
}

// Unpack returns the decompressed document of put, byte for byte as the operator sent it.
func Unpack(put *kcwpb.PutDocument) ([]byte, error) {
	z, err := gzip.NewReader(bytes.NewReader(put.GetDocument()))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(z)
}

// get answers with the newest document, once a quorum has confirmed that this
// member leads.
func (o *operator) get(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	if o.redirectToLeader(w, r) {
		return
	}
	if err := o.group.Confirm(ctx); err != nil {
		unavailable(w, "the newest configuration is not known: "+err.Error())
		return
	}
	document := o.table.Document()
	if document.GetVersion() == 0 {
		unavailable(w, "there is no configuration yet")
		return
	}
	// It is decompressed as it is sent. Many readers would otherwise hold a copy each.
	body, err := gzip.NewReader(bytes.NewReader(document.GetDocument()))
	if err != nil {
		klog.ErrorS(err, "Failed to decompress the stored document", "Version", document.GetVersion())
		http.Error(w, "the stored configuration can't be read", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.FormatUint(uint64(unpackedBytes(document.GetDocument())), 10))
	// A failed write means that the operator has disconnected.
	_, _ = io.Copy(w, body)
}

// unpackedBytes returns the size of what compress has compressed. It is the last field of the
// format, RFC 1952, section 2.3.1.
func unpackedBytes(compressed []byte) uint32 {
	const size = 4
	return binary.LittleEndian.Uint32(compressed[len(compressed)-size:])
}

// redirectToLeader redirects the operator to the leader if that is another member, or
// answers with status 503 if none is known. It returns false, without an answer, if
// this member leads.
func (o *operator) redirectToLeader(w http.ResponseWriter, r *http.Request) bool {
	status := o.group.Status()
	if status.GetId() != 0 && status.GetLeader() == status.GetId() {
		return false
	}
	leader, err := netip.ParseAddrPort(status.GetLeaderAddress())
	if err != nil || !o.group.Fresh() {
		leader = netip.AddrPort{}
	}
	redirect(w, r, leader, o.settings.Host.Address.Port())
	return true
}

// redirect redirects an operator to the given port on the leader's host, or answers
// with status 503 if leader is not valid.
func redirect(w http.ResponseWriter, r *http.Request, leader netip.AddrPort, port uint16) {
	if !leader.IsValid() {
		unavailable(w, errNoLeader.Error())
		return
	}
	path := ConfigurationPath
	if r.URL.Path == BlocksPath || isEvacuationsCall(r) {
		path = r.URL.RequestURI()
	}
	w.Header().Set("Location", "http://"+netip.AddrPortFrom(leader.Addr(), port).String()+path)
	w.WriteHeader(http.StatusTemporaryRedirect)
}

// errNoLeader is the answer while no leader is known.
var errNoLeader = errors.New("no leader is known")

func unavailable(w http.ResponseWriter, text string) {
	w.Header().Set("Retry-After", electionRetrySeconds)
	http.Error(w, text, http.StatusServiceUnavailable)
}
