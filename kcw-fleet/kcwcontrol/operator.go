package kcwcontrol

import (
	"bytes"
	"compress/gzip"
	"context"
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

// ConfigurationPath is where operators put and get the configuration.
const ConfigurationPath = "/configuration"

// retryElection is how long an operator should wait for an election to end, in
// seconds.
const retryElection = "1"

// operator answers operators.
type operator struct {
	*service
	settings *kcwsetup.Control
	decode   func([]byte) (*kcwroute.Document, error)
}

// ServeHTTP answers a call about the configuration.
func (o *operator) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), o.settings.Group.PutTimeout)
	defer cancel()
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

// put takes a document. It is checked before anything else, so that an invalid
// one is refused at every member and whatever its version.
func (o *operator) put(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, o.settings.Group.MaxDocumentBytes))
	if err != nil {
		http.Error(w, "the document can't be read: "+err.Error(), http.StatusBadRequest)
		return
	}
	document, err := o.decode(body)
	if err != nil {
		klog.InfoS("Document refused", "Cause", err.Error(), "Bytes", len(body))
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if o.redirected(w) {
		return
	}
	put, err := pack(document, body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	before := o.table.Document()
	result, err := o.propose(ctx, &kcwpb.FleetCommand{Op: &kcwpb.FleetCommand_PutDocument{PutDocument: put}})
	if err != nil {
		klog.InfoS("Document not committed", "Version", document.Version, "Cause", err.Error())
		unavailable(w, "the document may or may not be taken: "+err.Error())
		return
	}
	klog.InfoS("Document acknowledged", "Version", document.Version, "Newest", result.GetVersion(), "Code", result.GetCode().String(),
		"Routes", len(document.Routes), "Teams", len(document.Teams))
	o.logBudgets(before, put)
	w.WriteHeader(http.StatusOK)
}

// logBudgets logs the prepaid tokens that a newer document changes.
func (o *operator) logBudgets(before, put *kcwpb.PutDocument) {
	if put.GetVersion() <= before.GetVersion() {
		return
	}
	was := map[string]int64{}
	for _, b := range before.GetBudgets() {
		was[b.GetTeam()] = b.GetPrepaid()
	}
	_, outstanding := o.table.Budgets()
	for _, b := range put.GetBudgets() {
		if from, known := was[b.GetTeam()]; !known || from != b.GetPrepaid() {
			klog.InfoS("Prepaid tokens changed", "Team", b.GetTeam(), "From", from, "To", b.GetPrepaid(),
				"HeldOrUsed", outstanding[b.GetTeam()], "Version", put.GetVersion())
		}
	}
}

// pack returns the command that makes the document the newest.
func pack(document *kcwroute.Document, body []byte) (*kcwpb.PutDocument, error) {
	var compressed bytes.Buffer
	z := gzip.NewWriter(&compressed)
	if _, err := z.Write(body); err != nil {
		return nil, err
	}
	if err := z.Close(); err != nil {
		return nil, err
	}
	put := &kcwpb.PutDocument{Version: document.Version, Document: compressed.Bytes()}
	for _, team := range document.Teams {
		put.Budgets = append(put.Budgets, &kcwpb.TeamBudget{Team: team.Name, Prepaid: team.Prepaid})
	}
	return put, nil
}

// Unpack returns the document of put as it was received.
func Unpack(put *kcwpb.PutDocument) ([]byte, error) {
	z, err := gzip.NewReader(bytes.NewReader(put.GetDocument()))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(z)
}

// get answers with the newest document, once a quorum has confirmed that this
// member leads.
func (o *operator) get(ctx context.Context, w http.ResponseWriter, _ *http.Request) {
	if o.redirected(w) {
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
	body, err := Unpack(document)
	if err != nil {
		klog.ErrorS(err, "Stored document can't be read", "Version", document.GetVersion())
		http.Error(w, "the stored configuration can't be read", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	// A failed write means that the operator has gone.
	_, _ = w.Write(body)
}

// redirected sends the operator to the leader if that is another member, or
// away if none is known, and reports whether it did.
func (o *operator) redirected(w http.ResponseWriter) bool {
	status := o.group.Status()
	if status.GetId() != 0 && status.GetLeader() == status.GetId() {
		return false
	}
	leader, err := netip.ParseAddrPort(status.GetLeaderAddress())
	if err != nil || !o.group.Fresh() {
		leader = netip.AddrPort{}
	}
	redirect(w, leader, o.settings.Host.Address.Port())
	return true
}

// redirect sends an operator to the leader, whose port for operators is port, or
// away if leader is not valid.
func redirect(w http.ResponseWriter, leader netip.AddrPort, port uint16) {
	if !leader.IsValid() {
		unavailable(w, errNoLeader.Error())
		return
	}
	w.Header().Set("Location", "http://"+netip.AddrPortFrom(leader.Addr(), port).String()+ConfigurationPath)
	w.WriteHeader(http.StatusTemporaryRedirect)
}

// errNoLeader is the answer of a member that knows no leader.
var errNoLeader = errors.New("no leader is known")

func unavailable(w http.ResponseWriter, text string) {
	w.Header().Set("Retry-After", retryElection)
	http.Error(w, text, http.StatusServiceUnavailable)
}
