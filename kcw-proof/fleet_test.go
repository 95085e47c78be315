package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"kingcupwick.example/kcw-demo/kcwaudit"
	"kingcupwick.example/kcw-standin/kcwrecord"
	"kingcupwick.example/kcw/kcwcontract"
	"kingcupwick.example/kcw/kcwkeyring"
	"kingcupwick.example/kcw/kcwledger"
	"kingcupwick.example/kcw/kcwpb"
)

const (
	ledgers  = 3
	routers  = 2
	customer = "granite-pew"
	key      = "customer" + keySuffix
	// keySuffix extends a key to the minimum length.
	keySuffix = "-key-0123456789"
	cost      = 20
	prepaid   = 1_000_000
)

const engineSettings = "[Engine]\nModels = kcw-model\nBetweenTokens = 10ms\n"

// fleetCount is the number of fleets created. Each fleet has its own loopback
// network.
var fleetCount atomic.Int32

// fleet is three ledgers, two routers, an engine and a plain service, the desk.
// All connections to ledgers, also between ledgers, pass through the
// ledgerLinks. Each router reaches the engine through its own link of
// engineLinks. The desk and the spare engine are reached directly.
type fleet struct {
	fleetConfig
	folder string
	// network is the second and third byte of the fleet's loopback addresses.
	network [2]byte
	ledgers [ledgers]*process
	routers [routers]*process
	engine  *process
	desk    *process
	// spare is a second engine for the same model, nil if the fleet has only one.
	spare       *process
	ledgerLinks [ledgers]*link
	engineLinks [routers]*link
	operator    *kcwledger.Client
}

// fleetConfig is what differs between fleets.
type fleetConfig struct {
	// hasSpare adds the second engine.
	hasSpare bool
	// answerTimeout is the routers' deadline for answers without streaming, and work the
	// time that a call of the desk takes.
	answerTimeout, work string
	// prepaid and maxPrompt are the customer's prepaid tokens and the most tokens of a prompt.
	prepaid, maxPrompt int64
	// ledgerHost and routerHost are further settings of hosts, and limits further sections of
	// routers.
	ledgerHost, routerHost, limits string
	// descriptors bounds the open files of each process, zero for no bound of its own.
	descriptors int
}

func newFleet(t *testing.T) *fleet { return newFleetWith(t, false, "10m") }

// newFleetWith starts a fleet with or without the second engine.
func newFleetWith(t *testing.T, hasSpare bool, answerTimeout string) *fleet {
	t.Helper()
	return startFleet(t, fleetConfig{hasSpare: hasSpare, answerTimeout: answerTimeout, work: "300ms", prepaid: prepaid, maxPrompt: 8000})
}

// startFleet starts a fleet and waits until it is ready and its routers have
// the customer's contract.
func startFleet(t *testing.T, cfg fleetConfig) *fleet {
	t.Helper()
	const firstNetwork, networks = 64, 128
	f := &fleet{fleetConfig: cfg, folder: t.TempDir(), network: [2]byte{byte(firstNetwork + os.Getpid()%networks), byte(fleetCount.Add(1))}}
	for _, name := range []string{"peer", "router", "operator"} {
		f.write(t, name, name+keySuffix)
	}
	f.engine = f.process(t, "engine", "kcw-standin", f.address(30, 1), f.standinSettings("engine", 30)+engineSettings)
	f.desk = f.process(t, "desk", "kcw-standin", f.address(31, 1), f.standinSettings("plain", 31)+"[Plain]\nWork = "+cfg.work+"\n")
	if cfg.hasSpare {
		f.spare = f.process(t, "spare", "kcw-standin", f.address(32, 1), f.standinSettings("engine", 32)+engineSettings)
	}
	for i := range ledgers {
		f.ledgers[i] = f.process(t, fmt.Sprintf("ledger-%d", i), "kcw-ledger", f.address(10+i, 1), f.ledgerSettings(i))
		f.ledgerLinks[i] = newLink(t, f.address(50+i, 0), f.address(10+i, 0))
	}
	for i := range routers {
		f.routers[i] = f.process(t, fmt.Sprintf("router-%d", i), "kcw-router", f.address(20+i, 1), f.routerSettings(i))
		f.engineLinks[i] = newLink(t, f.address(60+i, 0), f.address(30, 0))
	}
	all := f.all()
	for _, p := range all {
		p.launch(t)
	}
	t.Cleanup(func() { f.stop(t) })
	for _, p := range all {
		p.awaitReady(t)
	}
	var addresses []netip.AddrPort
	for i := range ledgers {
		addresses = append(addresses, f.address(50+i, 0))
	}
	operator, err := kcwledger.New(kcwledger.Config{Addresses: addresses, Key: "operator" + keySuffix})
	if err != nil {
		t.Fatal(err)
	}
	f.operator = operator
	t.Cleanup(operator.Close)
	f.putContract(t)
	return f
}

// all returns all processes in start order.
func (f *fleet) all() []*process {
	return append(append(f.standins(), f.ledgers[:]...), f.routers[:]...)
}

// standins returns the stand-ins, which are the fleet's upstreams.
func (f *fleet) standins() []*process {
	if f.spare == nil {
		return []*process{f.engine, f.desk}
	}
	return []*process{f.engine, f.desk, f.spare}
}

func (f *fleet) stop(t *testing.T) {
	all := f.all()
	for i := len(all) - 1; i >= 0; i-- {
		all[i].stop(t)
	}
	if t.Failed() {
		for _, p := range all {
			t.Logf("%s:\n%s", p.name, p.logTail())
		}
	}
}

// address returns an address in the fleet's network. host is its last byte;
// portOffset is added to the first port.
func (f *fleet) address(host, portOffset int) netip.AddrPort {
	const firstPort = 7100
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, f.network[0], f.network[1], byte(host)}), uint16(firstPort+portOffset))
}

func (f *fleet) write(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(f.folder, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func (f *fleet) process(t *testing.T, name, program string, adminAddress netip.AddrPort, settings string) *process {
	t.Helper()
	settings = strings.ReplaceAll(settings, "FOLDER", f.folder)
	return &process{
		name: name, program: program, descriptors: f.descriptors, adminAddress: adminAddress.String(), log: filepath.Join(f.folder, name+".log"),
		settings: f.write(t, name+".ini", settings),
	}
}

func (f *fleet) standinSettings(kind string, host int) string {
	return fmt.Sprintf("[Standin]\nKind = %s\nAddress = %s\nControl = %s\nStopTimeout = 1s\n", kind, f.address(host, 0), f.address(host, 1))
}

func (f *fleet) ledgerSettings(i int) string {
	text := fmt.Sprintf(`[Host]
Name = ledger-%d
Zone = zone-%d
Address = %s
AdminAddress = %s
Folder = FOLDER/ledger-%d
%s
[Group]
Bootstrap = true
[Keys]
PeerKeyFile = FOLDER/peer
RouterKeyFile = FOLDER/router
OperatorKeyFile = FOLDER/operator
[Service]
Beat = 200ms
SilentAfter = 2s
`, i, i, f.address(10+i, 0), f.address(10+i, 1), i, f.ledgerHost)
	for j := range ledgers {
		text += fmt.Sprintf("[Founder \"ledger-%d\"]\nZone = zone-%d\nAddress = %s\n", j, j, f.address(50+j, 0))
	}
	return text
}

func (f *fleet) routerSettings(i int) string {
	spare := ""
	if f.spare != nil {
		spare = fmt.Sprintf("[Upstream \"spare\"]\nService = kcw-model\nZone = zone-0\nAddress = %s\n", f.address(32, 0))
	}
	return fmt.Sprintf(`[Host]
Name = router-%d
Zone = zone-%d
Address = %s
InternalAddress = %s
AdminAddress = %s
Folder = FOLDER/router-%d
DrainTime = 500ms
StopTimeout = 30s
%s
[Ledger]
Addresses = %s, %s, %s
[Keys]
RouterKeyFile = FOLDER/router
OperatorKeyFile = FOLDER/operator
[Deadlines]
Progress = 2s
FirstByte = 5s
Answer = %s
[Upstream "engine"]
Service = kcw-model
Zone = zone-0
Address = %s
[Upstream "desk"]
Service = parish-desk
Zone = zone-0
Address = %s
`, i, i, f.address(20+i, 0), f.address(20+i, 2), f.address(20+i, 1), i, f.routerHost, f.address(50, 0), f.address(51, 0), f.address(52, 0), f.answerTimeout, f.address(60+i, 0), f.address(31, 0)) + spare + f.limits
}

// putContract stores the customer's contract and waits until every router has it.
func (f *fleet) putContract(t *testing.T) {
	t.Helper()
	contract, err := kcwcontract.Decode([]byte(fmt.Sprintf(`{
		"Customer": %q, "PrepaidTokens": %d,
		"Limits": {"OpenRequests": 0, "RequestsPerMinute": 0, "TokensPerMinute": 0, "MaxPromptTokens": %d,
			"MaxCompletionTokens": 4000, "DefaultCompletionTokens": 500, "QueueDeadline": "5s"},
		"Keys": [{"Name": "bench", "Hash": "%x"}],
		"Models": [{"Name": "kcw-model", "Upstream": "kcw-model"}],
		"Services": [{"Name": "parish-desk", "PathPrefix": "/services/parish-desk", "Methods": ["GET", "POST"],
			"CostTokens": %d, "NotRepeatable": ["/services/parish-desk/receipts"]}]
	}`, customer, f.prepaid, f.maxPrompt, kcwkeyring.Hash(key), cost)))
	if err != nil {
		t.Fatal(err)
	}
	put := &kcwpb.PutContract{Change: "contract", Contract: contract.Message()}
	f.change(t, put.Change, &kcwpb.Command{Op: &kcwpb.Command_PutContract{PutContract: put}})
	f.awaitRevision(t, 1)
}

// change executes cmd, with a change of the given identity, and requires that it was applied
// once and is the newest change in force. If the answer to it was lost, the client has sent
// it again, and the result says so.
func (f *fleet) change(t *testing.T, identity string, cmd *kcwpb.Command) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	result, err := f.operator.Change(ctx, cmd)
	if err != nil || result.Code != kcwpb.Code_CODE_OK && result.Code != kcwpb.Code_CODE_REPEATED {
		t.Fatalf("change: %v %v", result, err)
	}
	list, err := f.operator.List(ctx, &kcwpb.ListRequest{Customer: customer, WithHistory: true})
	if err != nil {
		t.Fatalf("list: %v", err)
	}
	applied := 0
	for _, c := range list.Changes {
		if c.Change == identity && c.Result.GetCode() == kcwpb.Code_CODE_OK && c.Revision == result.Revision {
			applied++
		}
	}
	if applied != 1 || list.Revision != result.Revision || len(list.Changes) != int(list.Revision) {
		t.Fatalf("change %s with result %v: applied %d times; revision %d in force after %v", identity, result, applied, list.Revision, list.Changes)
	}
}

// awaitRevision waits until every router reports at least the given revision.
func (f *fleet) awaitRevision(t *testing.T, revision uint64) {
	t.Helper()
	waitFor(t, fmt.Sprintf("every router at revision %d", revision), func() bool {
		response, err := f.operator.Fleet(t.Context())
		if err != nil || len(response.Routers) < routers {
			return false
		}
		for _, status := range response.Routers {
			if status.Revision < revision {
				return false
			}
		}
		return true
	})
}

// leader waits for a leader and returns the index of its ledger.
func (f *fleet) leader(t *testing.T) int {
	t.Helper()
	leader := -1
	waitFor(t, "a leader", func() bool {
		response, err := f.operator.Fleet(t.Context())
		if err == nil {
			_, err = fmt.Sscanf(nameOf(response.Group), "ledger-%d", &leader)
		}
		return err == nil
	})
	return leader
}

func nameOf(group *kcwpb.GroupStatus) string {
	for _, m := range group.GetMembership().GetMembers() {
		if m.Id == group.Leader {
			return m.Name
		}
	}
	return ""
}

// records returns the requests that reached the stand-ins.
func (f *fleet) records(t *testing.T) []kcwrecord.Entry {
	t.Helper()
	var all []kcwrecord.Entry
	for _, standin := range f.standins() {
		all = append(all, recordOf(t, standin)...)
	}
	return all
}

// recordOf returns the requests that reached one stand-in.
func recordOf(t *testing.T, standin *process) []kcwrecord.Entry {
	t.Helper()
	response, err := http.Get("http://" + standin.adminAddress + "/record")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var entries []kcwrecord.Entry
	if err := json.NewDecoder(response.Body).Decode(&entries); err != nil {
		t.Fatal(err)
	}
	return entries
}

var stateNames = map[kcwpb.ClaimState]string{
	kcwpb.ClaimState_CLAIM_STATE_OPEN: "Open", kcwpb.ClaimState_CLAIM_STATE_BILLED: "Billed",
	kcwpb.ClaimState_CLAIM_STATE_NOT_RUN: "NotRun", kcwpb.ClaimState_CLAIM_STATE_UNKNOWN: "Unknown",
}

// audit checks the calls, the ledger's claims and the stand-ins' records against
// each other. It first waits until the ledger has at most the given number of
// open claims and a claim for every answered call: what routers bill from their
// grants while there is no leader reaches the ledger later.
func (f *fleet) audit(t *testing.T, calls []kcwaudit.Call, open int) {
	t.Helper()
	var list *kcwpb.ListResponse
	waitFor(t, "the claims are closed and the routers' journals settled", func() bool {
		var err error
		list, err = f.operator.List(t.Context(), &kcwpb.ListRequest{WithClaims: true})
		return err == nil && countOpen(list) <= open && hasClaims(list, calls)
	})
	cfg := kcwaudit.Config{Calls: calls, Entries: f.records(t), AllowOpen: open > 0}
	for _, b := range list.Budgets {
		cfg.Customers = append(cfg.Customers, kcwaudit.Budget{Customer: b.Customer, Prepaid: b.Prepaid, Billed: b.Billed, Reserved: b.Reserved, Granted: b.Granted})
	}
	for _, c := range list.Claims {
		cfg.Claims = append(cfg.Claims, kcwaudit.Claim{Customer: c.Customer, Request: c.Request, State: stateNames[c.State], Tokens: c.Tokens})
	}
	for _, problem := range kcwaudit.New(cfg).Problems() {
		t.Error(problem)
	}
	t.Logf("%d calls, %d claims, %d requests at the stand-ins", len(calls), len(cfg.Claims), len(cfg.Entries))
}

// hasClaims reports whether the ledger has a claim for each call that got a
// complete answer.
func hasClaims(list *kcwpb.ListResponse, calls []kcwaudit.Call) bool {
	hasClaim := map[string]bool{}
	for _, claim := range list.Claims {
		hasClaim[claim.Request] = true
	}
	for _, call := range calls {
		if call.Outcome == kcwaudit.Whole && !hasClaim[call.Request] {
			return false
		}
	}
	return true
}

func countOpen(list *kcwpb.ListResponse) int {
	open := 0
	for _, c := range list.Claims {
		if c.State == kcwpb.ClaimState_CLAIM_STATE_OPEN || c.State == kcwpb.ClaimState_CLAIM_STATE_UNKNOWN {
			open++
		}
	}
	return open
}
