package kcwservice

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"kingcupwick.example/kcw/kcwgroup"
	"kingcupwick.example/kcw/kcwledger"
	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwpb/kcwpbconnect"
)

// fakeGroup accepts every proposal at once, unless leaderAddress names another
// leader or err is set.
type fakeGroup struct {
	mu            sync.Mutex
	leaderAddress string
	stale         bool
	err           error
	proposed      []*kcwpb.Command
	result        *kcwpb.Result
}

func (g *fakeGroup) Propose(_ context.Context, data []byte) ([]byte, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leaderAddress != "" {
		return nil, &kcwgroup.Error{Op: "propose", Kind: kcwgroup.NotLeader}
	}
	if g.err != nil {
		return nil, g.err
	}
	cmd := &kcwpb.Command{}
	if err := proto.Unmarshal(data, cmd); err != nil {
		return nil, err
	}
	g.proposed = append(g.proposed, cmd)
	return proto.Marshal(g.result)
}

func (g *fakeGroup) Confirm(context.Context) error {
	if g.leaderAddress != "" {
		return &kcwgroup.Error{Op: "confirm", Kind: kcwgroup.NotLeader}
	}
	return nil
}

func (g *fakeGroup) Exchange(context.Context, *connect.Request[kcwpb.ExchangeRequest]) (*connect.Response[kcwpb.ExchangeResponse], error) {
	return connect.NewResponse(&kcwpb.ExchangeResponse{}), nil
}

func (g *fakeGroup) Status() *kcwpb.GroupStatus {
	members := &kcwpb.Membership{Members: []*kcwpb.Member{{Id: 1}, {Id: 2}}}
	if g.leaderAddress != "" {
		return &kcwpb.GroupStatus{Id: 1, Leader: 2, LeaderAddress: g.leaderAddress, Membership: members}
	}
	return &kcwpb.GroupStatus{Id: 1, Leader: 1, Membership: members}
}

func (g *fakeGroup) Fresh() bool { return !g.stale }

func (g *fakeGroup) ChangeMembers(context.Context, *kcwpb.ChangeMembersRequest) (*kcwpb.Membership, error) {
	return &kcwpb.Membership{}, g.err
}

// fakeBook holds contracts in order of revision, and one claim.
type fakeBook struct {
	contracts []*kcwpb.Contract
	claim     *kcwpb.Claim
}

func (b *fakeBook) Revision() uint64 { return uint64(len(b.contracts)) }

func (b *fakeBook) Contract(customer string) *kcwpb.Contract {
	for _, c := range b.contracts {
		if c.Customer == customer {
			return c
		}
	}
	return nil
}

func (b *fakeBook) ContractByKey([]byte) *kcwpb.Contract { return nil }

func (b *fakeBook) Since(revision uint64) ([]*kcwpb.Contract, uint64) {
	return b.contracts[min(revision, b.Revision()):], b.Revision()
}

func (b *fakeBook) Time() int64                         { return 0 }
func (b *fakeBook) Budget(string) *kcwpb.Budget         { return nil }
func (b *fakeBook) Claim(string, string) *kcwpb.Claim   { return b.claim }
func (b *fakeBook) Contracts() []*kcwpb.Contract        { return b.contracts }
func (b *fakeBook) Claims(string) []*kcwpb.Claim        { return nil }
func (b *fakeBook) Grants(string) []*kcwpb.Grant        { return nil }
func (b *fakeBook) Changes(string) []*kcwpb.Change      { return nil }
func (b *fakeBook) IsFenced(name string, n uint64) bool { return name == "r1" && n < 5 }
func (b *fakeBook) Routers() []*kcwpb.Router            { return nil }
func contractAt(customer string, r int) *kcwpb.Contract {
	return &kcwpb.Contract{Customer: customer, Revision: uint64(r)}
}

// fixture is a service on fakes, served on loopback.
type fixture struct {
	group   *fakeGroup
	book    *fakeBook
	service *Service
	url     string
	now     time.Time
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{
		group: &fakeGroup{result: &kcwpb.Result{Code: kcwpb.Code_CODE_OK}},
		book:  &fakeBook{},
		now:   time.Unix(1_800_000_000, 0),
	}
	service, err := New(Config{
		Group:         f.group,
		Book:          f.book,
		Changed:       func() <-chan struct{} { return nil },
		PeerKey:       "peer-key",
		RouterKey:     "router-key",
		OperatorKey:   "operator-key",
		WatchInterval: 10 * time.Millisecond,
		SilentAfter:   10 * time.Second,
		Now:           func() time.Time { return f.now },
	})
	if err != nil {
		t.Fatal(err)
	}
	f.service = service
	server := httptest.NewServer(service.Handler())
	t.Cleanup(func() {
		service.Stop()
		server.Close()
	})
	f.url = server.URL
	return f
}

func request(msg *kcwpb.SubmitRequest, key string) *connect.Request[kcwpb.SubmitRequest] {
	req := connect.NewRequest(msg)
	if key != "" {
		req.Header().Set("Authorization", "Bearer "+key)
	}
	return req
}

func TestEachRoleHasItsOwnKeyAndCommands(t *testing.T) {
	open := &kcwpb.Command{Op: &kcwpb.Command_OpenClaim{OpenClaim: &kcwpb.OpenClaim{}}}
	topUp := &kcwpb.Command{Op: &kcwpb.Command_TopUp{TopUp: &kcwpb.TopUp{}}}
	resolve := &kcwpb.Command{Op: &kcwpb.Command_ResolveClaim{ResolveClaim: &kcwpb.ResolveClaim{}}}
	for _, test := range []struct {
		name     string
		operator bool
		key      string
		cmd      *kcwpb.Command
		want     connect.Code
	}{
		{"router opens", false, "router-key", open, 0},
		{"router without a key", false, "", open, connect.CodeUnauthenticated},
		{"router with another role's key", false, "operator-key", open, connect.CodeUnauthenticated},
		{"router with a longer key", false, "router-key2", open, connect.CodeUnauthenticated},
		{"router tops up", false, "router-key", topUp, connect.CodePermissionDenied},
		{"router resolves", false, "router-key", resolve, connect.CodePermissionDenied},
		{"router sends no operation", false, "router-key", &kcwpb.Command{}, connect.CodePermissionDenied},
		{"operator tops up", true, "operator-key", topUp, 0},
		{"operator with the router's key", true, "router-key", topUp, connect.CodeUnauthenticated},
		{"operator opens", true, "operator-key", open, connect.CodePermissionDenied},
	} {
		f := newFixture(t)
		submit := kcwpbconnect.NewLedgerClient(http.DefaultClient, f.url).Submit
		if test.operator {
			submit = kcwpbconnect.NewOperatorClient(http.DefaultClient, f.url).Submit
		}
		_, err := submit(t.Context(), request(&kcwpb.SubmitRequest{Commands: []*kcwpb.Command{test.cmd}}, test.key))
		if test.want == 0 && err != nil || test.want != 0 && connect.CodeOf(err) != test.want {
			t.Errorf("%s: got error %v, want code %v", test.name, err, test.want)
		}
		if reached := len(f.group.proposed); reached > 0 != (test.want == 0) {
			t.Errorf("%s: %d commands reached the group", test.name, reached)
		}
	}
}

func TestReplicasNeedTheirKey(t *testing.T) {
	f := newFixture(t)
	client := kcwpbconnect.NewPeerClient(http.DefaultClient, f.url)
	req := connect.NewRequest(&kcwpb.ExchangeRequest{})
	req.Header().Set("Authorization", "Bearer router-key")
	if _, err := client.Exchange(t.Context(), req); connect.CodeOf(err) != connect.CodeUnauthenticated {
		t.Errorf("got error %v, want code unauthenticated", err)
	}
}

func TestOperatorCannotSubmitAnInvalidContract(t *testing.T) {
	f := newFixture(t)
	client := kcwpbconnect.NewOperatorClient(http.DefaultClient, f.url)
	put := &kcwpb.PutContract{Change: "c1", Contract: &kcwpb.Contract{Customer: "pew", Spec: []byte("{")}}
	cmd := &kcwpb.Command{Op: &kcwpb.Command_PutContract{PutContract: put}}
	_, err := client.Submit(t.Context(), request(&kcwpb.SubmitRequest{Commands: []*kcwpb.Command{cmd}}, "operator-key"))
	if connect.CodeOf(err) != connect.CodeInvalidArgument || len(f.group.proposed) != 0 {
		t.Errorf("got error %v and %d proposals, want invalid argument and none", err, len(f.group.proposed))
	}
}

func TestSubmitDistinguishesNotLeaderFromUnknownOutcome(t *testing.T) {
	cmd := &kcwpb.Command{Op: &kcwpb.Command_OpenClaim{OpenClaim: &kcwpb.OpenClaim{}}}
	for _, test := range []struct {
		name          string
		leaderAddress string
		err           error
		want          connect.Code
	}{
		{"follower", "127.0.0.1:7", nil, connect.CodeFailedPrecondition},
		{"leadership lost", "", &kcwgroup.Error{Kind: kcwgroup.OutcomeUnknown}, connect.CodeUnavailable},
		{"disk failed", "", errors.New("disk"), connect.CodeUnavailable},
	} {
		f := newFixture(t)
		f.group.leaderAddress, f.group.err = test.leaderAddress, test.err
		client := kcwpbconnect.NewLedgerClient(http.DefaultClient, f.url)
		_, err := client.Submit(t.Context(), request(&kcwpb.SubmitRequest{Commands: []*kcwpb.Command{cmd, cmd}}, "router-key"))
		var e *connect.Error
		if !errors.As(err, &e) || e.Code() != test.want {
			t.Errorf("%s: got error %v, want code %v", test.name, err, test.want)
			continue
		}
		if got := e.Meta().Get(kcwledger.LeaderHeader); got != test.leaderAddress {
			t.Errorf("%s: named leader %q, want %q", test.name, got, test.leaderAddress)
		}
	}
}

func TestOnlyTheLeadersViewMarksASilentOwner(t *testing.T) {
	f := newFixture(t)
	f.book.claim = &kcwpb.Claim{Router: "r1", Incarnation: 4}
	// The silent router named by the caller must be ignored.
	submit := func() *kcwpb.OpenClaim {
		open := &kcwpb.OpenClaim{Router: "r2", SilentRouter: "r1", SilentIncarnation: 4}
		_, err := f.service.submit(t.Context(), []*kcwpb.Command{{Op: &kcwpb.Command_OpenClaim{OpenClaim: open}}}, isRouterCommand)
		if err != nil {
			t.Fatal(err)
		}
		return f.group.proposed[len(f.group.proposed)-1].GetOpenClaim()
	}
	f.service.roster.recordHeartbeat(&kcwpb.HeartbeatRequest{Router: "r1", Incarnation: 4}, f.now)
	f.now = f.now.Add(10 * time.Second)
	if got := submit(); got.SilentRouter != "" {
		t.Errorf("a router with a heartbeat within the limit was marked silent: %v", got)
	}
	f.now = f.now.Add(time.Second)
	if got := submit(); got.SilentRouter != "r1" || got.SilentIncarnation != 4 {
		t.Errorf("a silent router was not marked: %v", got)
	}
}

func TestWatchSendsChangesInPartsAndAtIntervals(t *testing.T) {
	f := newFixture(t)
	const contracts = watchBatch + 10
	for i := range contracts {
		f.book.contracts = append(f.book.contracts, contractAt("pew", i+1))
	}
	client := kcwpbconnect.NewLedgerClient(http.DefaultClient, f.url)
	req := connect.NewRequest(&kcwpb.WatchRequest{Revision: 5})
	req.Header().Set("Authorization", "Bearer router-key")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	stream, err := client.Watch(ctx, req)
	if err != nil {
		t.Fatal(err)
	}
	var revisions []uint64
	received := 0
	for len(revisions) < 3 && stream.Receive() {
		received += len(stream.Msg().Contracts)
		revisions = append(revisions, stream.Msg().Revision)
	}
	if received != contracts-5 {
		t.Errorf("got %d contracts, want %d", received, contracts-5)
	}
	// The first event has the revision of its last contract, the second the
	// newest one, and the third is sent when the watch interval has passed.
	want := []uint64{watchBatch + 5, contracts, contracts}
	for i, revision := range revisions {
		if revision != want[i] {
			t.Errorf("event %d has revision %d, want %d", i, revision, want[i])
		}
	}
}

func TestAnIsolatedReplicaIsNotFresh(t *testing.T) {
	f := newFixture(t)
	f.group.stale = true
	client := kcwpbconnect.NewLedgerClient(http.DefaultClient, f.url)
	lookup := connect.NewRequest(&kcwpb.LookupRequest{Customer: "pew"})
	lookup.Header().Set("Authorization", "Bearer router-key")
	if _, err := client.Lookup(t.Context(), lookup); connect.CodeOf(err) != connect.CodeUnavailable {
		t.Errorf("a lookup got error %v, want unavailable", err)
	}
	heartbeat := connect.NewRequest(&kcwpb.HeartbeatRequest{Router: "r1"})
	heartbeat.Header().Set("Authorization", "Bearer router-key")
	if _, err := client.Heartbeat(t.Context(), heartbeat); err == nil {
		t.Error("a stale leader answered a heartbeat")
	}
	if event := (&ledgerService{f.service}).event(nil, 0); event.Fresh {
		t.Error("a watch event of an isolated replica has Fresh set")
	}
}

func TestAHeartbeatSaysThatARouterIsFenced(t *testing.T) {
	f := newFixture(t)
	client := kcwpbconnect.NewLedgerClient(http.DefaultClient, f.url)
	for _, test := range []struct {
		router      string
		incarnation uint64
		want        bool
	}{
		{"r1", 4, true},
		{"r1", 5, false},
		{"r2", 4, false},
	} {
		req := connect.NewRequest(&kcwpb.HeartbeatRequest{Router: test.router, Incarnation: test.incarnation})
		req.Header().Set("Authorization", "Bearer router-key")
		answer, err := client.Heartbeat(t.Context(), req)
		if err != nil {
			t.Fatal(err)
		}
		if answer.Msg.Fenced != test.want {
			t.Errorf("%s, incarnation %d: fenced %v, want %v", test.router, test.incarnation, answer.Msg.Fenced, test.want)
		}
	}
}

func TestRecallsEnd(t *testing.T) {
	r := newRecalls()
	now := time.Unix(0, 0)
	r.add("pew", now)
	r.add("kviitung", now.Add(recallDuration))
	for _, test := range []struct {
		after time.Duration
		want  int
	}{
		{0, 2},
		{recallDuration, 2},
		{recallDuration + 1, 1},
		{2*recallDuration + 1, 0},
	} {
		if got := r.list(now.Add(test.after)); len(got) != test.want {
			t.Errorf("after %v: got recalls of %v, want %d", test.after, got, test.want)
		}
	}
}
