package kcwtool

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"kingcupwick.example/kcw/kcwledger"
	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwpb/kcwpbconnect"
)

// operator is a fake leader. Submit returns the results of its answers in order,
// and repeats the last one. Commands and changes hold the commands and the kinds of
// membership change that it received; it applies a change to the membership of fleet
// unless refusals, by kind, of them are left.
type operator struct {
	kcwpbconnect.UnimplementedOperatorHandler
	mu       sync.Mutex
	answers  []func() (*kcwpb.Result, error)
	commands []*kcwpb.Command
	fleet    *kcwpb.FleetResponse
	list     *kcwpb.ListResponse
	changes  []kcwpb.ChangeMembersRequest_Kind
	refusals map[kcwpb.ChangeMembersRequest_Kind]int
}

func (o *operator) Submit(_ context.Context, req *connect.Request[kcwpb.SubmitRequest]) (*connect.Response[kcwpb.SubmitResponse], error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if req.Header().Get("Authorization") != "Bearer op-key" {
		return nil, connect.NewError(connect.CodeUnauthenticated, errors.New("wrong key"))
	}
	o.commands = append(o.commands, req.Msg.Commands...)
	answer := o.answers[0]
	if len(o.answers) > 1 {
		o.answers = o.answers[1:]
	}
	result, err := answer()
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&kcwpb.SubmitResponse{Results: []*kcwpb.Result{result}}), nil
}

func (o *operator) Fleet(context.Context, *connect.Request[kcwpb.FleetRequest]) (*connect.Response[kcwpb.FleetResponse], error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return connect.NewResponse(proto.Clone(o.fleet).(*kcwpb.FleetResponse)), nil
}

func (o *operator) List(context.Context, *connect.Request[kcwpb.ListRequest]) (*connect.Response[kcwpb.ListResponse], error) {
	return connect.NewResponse(o.list), nil
}

func (o *operator) ChangeMembers(_ context.Context, req *connect.Request[kcwpb.ChangeMembersRequest]) (*connect.Response[kcwpb.ChangeMembersResponse], error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	kind := req.Msg.Kind
	o.changes = append(o.changes, kind)
	if o.refusals[kind] > 0 {
		o.refusals[kind]--
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("refused"))
	}
	membership := o.fleet.Group.Membership
	setLearner := func(id uint64, learner bool) {
		for _, m := range membership.Members {
			if m.Id == id {
				m.Learner = learner
			}
		}
	}
	switch kind {
	case kcwpb.ChangeMembersRequest_KIND_ADD_LEARNER:
		membership.Members = append(membership.Members, &kcwpb.Member{Id: req.Msg.Member.Id, Learner: true})
	case kcwpb.ChangeMembersRequest_KIND_REPLACE:
		setLearner(req.Msg.Replaced, true)
		setLearner(req.Msg.Member.Id, false)
	case kcwpb.ChangeMembersRequest_KIND_PROMOTE:
		setLearner(req.Msg.Member.Id, false)
	case kcwpb.ChangeMembersRequest_KIND_REMOVE:
		membership.Members = slices.DeleteFunc(membership.Members, func(m *kcwpb.Member) bool { return m.Id == req.Msg.Member.Id })
	}
	return connect.NewResponse(&kcwpb.ChangeMembersResponse{Membership: membership}), nil
}

func returnsCode(code kcwpb.Code) func() (*kcwpb.Result, error) {
	return func() (*kcwpb.Result, error) { return &kcwpb.Result{Code: code, Revision: 7}, nil }
}

func returnsError(code connect.Code) func() (*kcwpb.Result, error) {
	return func() (*kcwpb.Result, error) { return nil, connect.NewError(code, errors.New("injected")) }
}

// fixture is a tool with a fake leader.
type fixture struct {
	operator *operator
	address  string
	folder   string
	out, err bytes.Buffer
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{operator: &operator{
		answers: []func() (*kcwpb.Result, error){returnsCode(kcwpb.Code_CODE_OK)},
		fleet:   &kcwpb.FleetResponse{Revision: 7, Group: &kcwpb.GroupStatus{}},
		list:    &kcwpb.ListResponse{},
	}, folder: t.TempDir()}
	mux := http.NewServeMux()
	mux.Handle(kcwpbconnect.NewOperatorHandler(f.operator))
	mux.HandleFunc("/dump", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"Name":"ledger-4","Zone":"tartu-a","Group":{"ID":"44"}}`))
	})
	server := httptest.NewUnstartedServer(mux)
	server.Config.Protocols = &http.Protocols{}
	server.Config.Protocols.SetHTTP1(true)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	t.Cleanup(server.Close)
	f.address = strings.TrimPrefix(server.URL, "http://")
	if err := os.WriteFile(filepath.Join(f.folder, "key"), []byte("op-key\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	return f
}

func (f *fixture) run(args ...string) Kind {
	f.out.Reset()
	f.err.Reset()
	tool := New(Config{In: strings.NewReader("a-key"), Out: &f.out, Err: &f.err})
	shared := []string{"-addresses", f.address, "-key-file", filepath.Join(f.folder, "key"), "-timeout", "1m"}
	return tool.Run(context.Background(), append(shared, args...))
}

func TestExitCodes(t *testing.T) {
	for _, test := range []struct {
		name    string
		answers []func() (*kcwpb.Result, error)
		args    []string
		want    Kind
	}{
		{"ok", nil, []string{"top-up", "parish", "5"}, OK},
		{"repeated", []func() (*kcwpb.Result, error){returnsCode(kcwpb.Code_CODE_REPEATED)}, []string{"top-up", "parish", "5"}, OK},
		{"help", nil, []string{"top-up", "-h"}, OK},
		{"noArguments", nil, []string{"top-up", "parish"}, Usage},
		{"badNumber", nil, []string{"top-up", "parish", "many"}, Usage},
		{"unknownFlag", nil, []string{"top-up", "-x"}, Usage},
		{"noOutcome", nil, []string{"resolve", "parish", "r-1"}, Usage},
		{"badOutput", nil, []string{"top-up", "-output", "xml", "parish", "5"}, Usage},
		{"stale", []func() (*kcwpb.Result, error){returnsCode(kcwpb.Code_CODE_STALE_REVISION)}, []string{"top-up", "parish", "5"}, Stale},
		{"refused", []func() (*kcwpb.Result, error){returnsCode(kcwpb.Code_CODE_NOT_FOUND)}, []string{"retire", "entry-1", "3"}, Refused},
		{"invalid", []func() (*kcwpb.Result, error){returnsError(connect.CodeInvalidArgument)}, []string{"release", "parish", "entry-1", "3"}, Refused},
		{"forbidden", nil, []string{"top-up", "-key-file", "other", "parish", "5"}, Forbidden},
		{"noLeader", nil, []string{"members", "-timeout", "300ms", "-addresses", "127.0.0.1:1"}, Unavailable},
		{"lost", []func() (*kcwpb.Result, error){returnsError(connect.CodeUnavailable)}, []string{"top-up", "-timeout", "300ms", "parish", "5"}, Unknown},
		{"down", nil, []string{"top-up", "-timeout", "300ms", "-addresses", "127.0.0.1:1", "parish", "5"}, Unavailable},
		{"noContract", nil, []string{"get", "parish"}, Refused},
		{"badFile", nil, []string{"apply", "absent.json"}, Usage},
		{"unknownCheck", nil, []string{"check", "x", "y"}, Usage},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			if test.answers != nil {
				f.operator.answers = test.answers
			}
			for i, arg := range test.args {
				if arg == "other" {
					test.args[i] = filepath.Join(f.folder, "other")
					if err := os.WriteFile(test.args[i], []byte("other-key"), 0o600); err != nil {
						t.Fatal(err)
					}
				}
			}
			if got := f.run(test.args...); got != test.want {
				t.Errorf("got %v, want %v: %s", got, test.want, f.err.String())
			}
			if strings.Contains(f.err.String()+f.out.String(), "other-key") {
				t.Error("the key was printed")
			}
		})
	}
}

func TestLostAnswerIsResent(t *testing.T) {
	f := newFixture(t)
	f.operator.answers = []func() (*kcwpb.Result, error){
		returnsError(connect.CodeUnavailable), returnsError(connect.CodeUnavailable), returnsCode(kcwpb.Code_CODE_REPEATED),
	}
	if got := f.run("top-up", "-change", "c-1", "--", "parish", "-5"); got != OK {
		t.Fatal(got, f.err.String())
	}
	if len(f.operator.commands) != 3 {
		t.Errorf("got %d commands, want 3", len(f.operator.commands))
	}
	for _, cmd := range f.operator.commands {
		if op := cmd.GetTopUp(); op.GetChange() != "c-1" || op.GetTokens() != -5 {
			t.Errorf("resent as %v", op)
		}
	}
	if f.operator.answers = []func() (*kcwpb.Result, error){returnsError(connect.CodeUnavailable)}; f.run("top-up", "-timeout", "300ms", "-change", "c-2", "parish", "5") != Unknown {
		t.Error("a lost answer did not end as unknown")
	}
	if !strings.Contains(f.err.String(), "-change c-2") {
		t.Errorf("the identity to resend with is missing: %s", f.err.String())
	}
}

func TestWaitListsRouters(t *testing.T) {
	f := newFixture(t)
	f.operator.fleet.Routers = []*kcwpb.RouterStatus{
		{Router: &kcwpb.Router{Name: "entry-1"}, Revision: 7, HeardAt: time.Now().UnixNano()},
		{Router: &kcwpb.Router{Name: "entry-2"}, Revision: 6},
	}
	if got := f.run("top-up", "-wait", "2s", "parish", "5"); got != Unconfirmed {
		t.Errorf("got %v, want %v", got, Unconfirmed)
	}
	if out := f.out.String(); !strings.Contains(out, "entry-2") || strings.Contains(out, "entry-1") {
		t.Errorf("got %s", out)
	}
	if got := f.run("wait", "-revision", "6"); got != OK {
		t.Errorf("got %v, want %v", got, OK)
	}
}

// A lost replica is replaced in one change, never removed before its successor is a
// voter, and an interrupted replacement is resumed.
func TestReplace(t *testing.T) {
	const (
		add     = kcwpb.ChangeMembersRequest_KIND_ADD_LEARNER
		replace = kcwpb.ChangeMembersRequest_KIND_REPLACE
		promote = kcwpb.ChangeMembersRequest_KIND_PROMOTE
		remove  = kcwpb.ChangeMembersRequest_KIND_REMOVE
	)
	for _, test := range []struct {
		name     string
		members  []*kcwpb.Member
		refusals map[kcwpb.ChangeMembersRequest_Kind]int
		want     []kcwpb.ChangeMembersRequest_Kind
	}{
		{"from the start", []*kcwpb.Member{{Id: 1}, {Id: 2}, {Id: 3}}, nil, []kcwpb.ChangeMembersRequest_Kind{add, replace, remove}},
		{
			"behind, and then not complete",
			[]*kcwpb.Member{{Id: 1}, {Id: 2}, {Id: 3}},
			map[kcwpb.ChangeMembersRequest_Kind]int{replace: 2, remove: 1},
			[]kcwpb.ChangeMembersRequest_Kind{add, replace, replace, replace, remove, remove},
		},
		{"added before", []*kcwpb.Member{{Id: 1}, {Id: 2}, {Id: 3}, {Id: 44, Learner: true}}, nil, []kcwpb.ChangeMembersRequest_Kind{replace, remove}},
		{"replaced before", []*kcwpb.Member{{Id: 1}, {Id: 2}, {Id: 3, Learner: true}, {Id: 44}}, nil, []kcwpb.ChangeMembersRequest_Kind{remove}},
		{"removed before", []*kcwpb.Member{{Id: 1}, {Id: 2}, {Id: 44, Learner: true}}, nil, []kcwpb.ChangeMembersRequest_Kind{promote}},
		{"complete", []*kcwpb.Member{{Id: 1}, {Id: 2}, {Id: 44}}, nil, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			f.operator.fleet.Group = &kcwpb.GroupStatus{Membership: &kcwpb.Membership{Members: test.members}}
			f.operator.refusals = test.refusals
			if got := f.run("replace", "-lost", "3", "-admin", f.address, "-address", "127.0.0.1:9"); got != OK {
				t.Fatal(got, f.err.String())
			}
			if !slices.Equal(f.operator.changes, test.want) {
				t.Errorf("got %v, want %v", f.operator.changes, test.want)
			}
		})
	}
}

func TestReplaceNotComplete(t *testing.T) {
	f := newFixture(t)
	f.operator.fleet.Group = &kcwpb.GroupStatus{Membership: &kcwpb.Membership{Members: []*kcwpb.Member{{Id: 3}}}}
	f.operator.refusals = map[kcwpb.ChangeMembersRequest_Kind]int{kcwpb.ChangeMembersRequest_KIND_REPLACE: 1 << 20}
	if got := f.run("replace", "-timeout", "500ms", "-lost", "3", "-admin", f.address, "-address", "127.0.0.1:9"); got != Unconfirmed {
		t.Errorf("got %v, want %v: %s", got, Unconfirmed, f.err.String())
	}
	if !strings.Contains(f.err.String(), "run the command again") {
		t.Errorf("got %s", f.err.String())
	}
}

func TestMembersShowsWhoVotes(t *testing.T) {
	f := newFixture(t)
	f.operator.fleet.Group = &kcwpb.GroupStatus{Leader: 1, Membership: &kcwpb.Membership{
		Members:  []*kcwpb.Member{{Id: 1}, {Id: 2}, {Id: 3, Learner: true}, {Id: 4, Learner: true}},
		Outgoing: []uint64{1, 2, 3},
	}}
	if got := f.run("-output", "json", "members"); got != OK {
		t.Fatal(got, f.err.String())
	}
	var rows []struct{ ID, Role string }
	if err := json.Unmarshal(f.out.Bytes(), &rows); err != nil {
		t.Fatal(err)
	}
	for i, want := range []string{"leader", "voter", "voter", "learner"} {
		if rows[i].Role != want {
			t.Errorf("replica %s: %s, want %s", rows[i].ID, rows[i].Role, want)
		}
	}
}

func TestListAndDump(t *testing.T) {
	f := newFixture(t)
	f.operator.list = &kcwpb.ListResponse{
		Revision:  7,
		Contracts: []*kcwpb.Contract{{Customer: "parish", Revision: 7}},
		Budgets:   []*kcwpb.Budget{{Customer: "parish", Prepaid: 100, Billed: 30, Reserved: 20, Granted: 10}},
		Claims:    []*kcwpb.Claim{{Customer: "parish", Request: "r-1", State: kcwpb.ClaimState_CLAIM_STATE_BILLED}},
		Changes:   []*kcwpb.Change{{Customer: "parish", Kind: "TopUp", Tokens: 5, At: 1}},
	}
	for _, test := range []struct {
		args []string
		want []string
	}{
		{[]string{"list"}, []string{"PREPAID", "40"}},
		{[]string{"-output", "json", "list"}, []string{`"Free": 40`}},
		{[]string{"history", "parish"}, []string{"TopUp"}},
		{[]string{"dump"}, []string{`"State": "Billed"`, `"Kind": "TopUp"`, `"Prepaid": 100`}},
		{[]string{"dump", "-process", f.address}, []string{"ledger-4"}},
		{[]string{"hash-key", "-"}, []string{"2a8a1240f50636655520ac8ed22aa294"}},
	} {
		if got := f.run(test.args...); got != OK {
			t.Errorf("%v: got %v: %s", test.args, got, f.err.String())
		}
		for _, want := range test.want {
			if !strings.Contains(f.out.String(), want) {
				t.Errorf("%v: got %s, want it to contain %s", test.args, f.out.String(), want)
			}
		}
	}
}

func TestLedgerErrorKinds(t *testing.T) {
	for _, test := range []struct {
		kind kcwledger.Kind
		want Kind
	}{
		{kcwledger.NotSent, Unavailable},
		{kcwledger.Unavailable, Unavailable},
		{kcwledger.OutcomeUnknown, Unknown},
		{kcwledger.Refused, Refused},
		{kcwledger.Invalid, Usage},
		{kcwledger.Closed, Failed},
	} {
		if got := kindOf(ledgerError("x", &kcwledger.Error{Kind: test.kind})); got != test.want {
			t.Errorf("%s: got %v, want %v", test.kind, got, test.want)
		}
	}
}
