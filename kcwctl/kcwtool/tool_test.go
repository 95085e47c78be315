package kcwtool

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"

	"kingcupwick.example/kcw/kcwledger"
	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwpb/kcwpbconnect"
)

// operator is a fake leader. Submit returns the results of its answers in order,
// and repeats the last one. Commands and changes hold the commands and the kinds of
// membership change that it received.
type operator struct {
	kcwpbconnect.UnimplementedOperatorHandler
	mu       sync.Mutex
	answers  []func() (*kcwpb.Result, error)
	commands []*kcwpb.Command
	fleet    *kcwpb.FleetResponse
	list     *kcwpb.ListResponse
	changes  []kcwpb.ChangeMembersRequest_Kind
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
	return connect.NewResponse(o.fleet), nil
}

func (o *operator) List(context.Context, *connect.Request[kcwpb.ListRequest]) (*connect.Response[kcwpb.ListResponse], error) {
	return connect.NewResponse(o.list), nil
}

func (o *operator) ChangeMembers(_ context.Context, req *connect.Request[kcwpb.ChangeMembersRequest]) (*connect.Response[kcwpb.ChangeMembersResponse], error) {
	o.changes = append(o.changes, req.Msg.Kind)
	return connect.NewResponse(&kcwpb.ChangeMembersResponse{}), nil
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

func TestReplace(t *testing.T) {
	f := newFixture(t)
	f.operator.fleet.Group = &kcwpb.GroupStatus{
		Last:       12,
		Matches:    map[uint64]uint64{44: 12},
		Membership: &kcwpb.Membership{Members: []*kcwpb.Member{{Id: 1}, {Id: 2}, {Id: 3}}},
	}
	if got := f.run("replace", "-lost", "3", "-admin", f.address, "-address", "127.0.0.1:9"); got != OK {
		t.Fatal(got, f.err.String())
	}
	want := []kcwpb.ChangeMembersRequest_Kind{
		kcwpb.ChangeMembersRequest_KIND_ADD_LEARNER, kcwpb.ChangeMembersRequest_KIND_REMOVE, kcwpb.ChangeMembersRequest_KIND_PROMOTE,
	}
	if len(f.operator.changes) != len(want) {
		t.Fatalf("got %v, want %v", f.operator.changes, want)
	}
	for i := range want {
		if f.operator.changes[i] != want[i] {
			t.Errorf("got %v, want %v", f.operator.changes, want)
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
