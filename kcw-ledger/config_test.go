package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"kingcupwick.example/kcw-ledger/kcwsetup"
	"kingcupwick.example/kcw/kcwledger"
	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwpb/kcwpbconnect"
	"kingcupwick.example/kcw/kcwreplica"
)

// withBearer returns a request that carries key as its bearer token.
func withBearer[T any](key string, message *T) *connect.Request[T] {
	req := connect.NewRequest(message)
	req.Header().Set("Authorization", "Bearer "+key)
	return req
}

// checkIsolated tests that replica i, called directly, executes no change and
// answers no read that could be stale.
func checkIsolated(t *testing.T, f *linkedFleet, i int, cmd *kcwpb.Command) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	base := "http://" + f.listenAddresses[i].String()
	ledger := kcwpbconnect.NewLedgerClient(http.DefaultClient, base)
	operator := kcwpbconnect.NewOperatorClient(http.DefaultClient, base)
	customer := cmd.GetPutContract().GetContract().GetCustomer()
	calls := map[string]func() error{
		"Submit": func() error {
			_, err := operator.Submit(ctx, withBearer(testKeys.Operator, &kcwpb.SubmitRequest{Commands: []*kcwpb.Command{cmd}}))
			return err
		},
		"List": func() error {
			_, err := operator.List(ctx, withBearer(testKeys.Operator, &kcwpb.ListRequest{Customer: customer}))
			return err
		},
		"Fleet": func() error {
			_, err := operator.Fleet(ctx, withBearer(testKeys.Operator, &kcwpb.FleetRequest{}))
			return err
		},
		"Lookup": func() error {
			_, err := ledger.Lookup(ctx, withBearer(testKeys.Router, &kcwpb.LookupRequest{Customer: customer}))
			return err
		},
		"Heartbeat": func() error {
			_, err := ledger.Heartbeat(ctx, withBearer(testKeys.Router, &kcwpb.HeartbeatRequest{Router: "r", Incarnation: 1}))
			return err
		},
	}
	for name, call := range calls {
		if err := call(); err == nil {
			t.Errorf("the isolated replica answers %s", name)
		}
	}
	stream, err := ledger.Watch(ctx, withBearer(testKeys.Router, &kcwpb.WatchRequest{Router: "r"}))
	if err != nil {
		return
	}
	defer func() { _ = stream.Close() }()
	if stream.Receive() && stream.Msg().Fresh {
		t.Error("the isolated replica's watch reports fresh state")
	}
}

// TestIsolatedLeader isolates the leader from the other replicas while watchers
// and operators are connected to it. In some cases its traffic with clients is
// blocked too.
func TestIsolatedLeader(t *testing.T) {
	for _, test := range []struct {
		name                        string
		blockRequests, blockAnswers bool // Between the clients and the isolated leader.
	}{
		{name: "reached by clients"},
		{name: "requests and answers blocked", blockRequests: true, blockAnswers: true},
		{name: "answers blocked", blockAnswers: true},
	} {
		t.Run(test.name, func(t *testing.T) { testIsolatedLeader(t, test.blockRequests, test.blockAnswers) })
	}
}

func testIsolatedLeader(t *testing.T, blockRequests, blockAnswers bool) {
	const minAttached = 2
	f := newLinkedFleet(t, 3, nil)
	operator := f.client(t, testKeys.Operator)
	base := mustChange(t, operator, putOf(t, "create", "pew", 0, 1))
	isolated := f.leader(t)
	mustChange(t, operator, putOf(t, "warm", "other", 0, 1))
	var watchers []*watcher
	for attached := 0; attached < minAttached || len(watchers) < 4; {
		before := f.clientForwarders[isolated].count()
		w := newWatcher(t, f.fleet, fmt.Sprint("w", len(watchers)))
		await(t, "watch started", func() bool { return w.Revision() >= base })
		if f.clientForwarders[isolated].count() > before {
			attached++
		}
		watchers = append(watchers, w)
	}
	for _, w := range watchers {
		await(t, "contract loaded", func() bool { return w.weight("pew") == 1 })
	}

	f.isolate(isolated)
	f.clientForwarders[isolated].block(blockRequests, blockAnswers)
	first := putOf(t, "second", "pew", base, 2)
	revision := mustChange(t, operator, first)
	newLeader := f.leaderOtherThan(t, isolated)
	awaitInForce(t, watchers, revision, "pew", 2)
	checkIsolated(t, f, isolated, putOf(t, "at the isolated", "pew", revision, 9))
	if got := f.members[isolated].book.Revision(); got >= revision {
		t.Errorf("the isolated replica has revision %d, so it wasn't isolated", got)
	}

	f.healAll()
	last := mustChange(t, operator, putOf(t, "third", "pew", revision, 3))
	awaitInForce(t, watchers, last, "pew", 3)
	await(t, "the healed replica has the newest revision", func() bool {
		return f.members[isolated].book.Revision() == f.members[newLeader].book.Revision()
	})
	resent := change(t, operator, first)
	if resent.Code != kcwpb.Code_CODE_REPEATED || resent.Revision != revision {
		t.Errorf("resent: %v, want the first outcome, revision %d", resent, revision)
	}
	for _, w := range watchers {
		await(t, "equal revisions", func() bool { return w.Revision() == f.members[newLeader].book.Revision() })
	}
}

// TestRevisionsOverRestarts restarts every replica after hundreds of changes, a
// third of which one replica missed while it was isolated. No replica or watcher
// may return to an older revision, and every replica must have each change.
func TestRevisionsOverRestarts(t *testing.T) {
	const changes = 300
	f := newLinkedFleet(t, 3, func(s *kcwsetup.Settings) { s.Group.SnapshotEntries, s.Group.KeepEntries = 60, 10 })
	operator := f.client(t, testKeys.Operator)
	revision := mustChange(t, operator, putOf(t, "create", "pew", 0, 1))
	var watchers []*watcher
	for n := range 6 {
		watchers = append(watchers, newWatcher(t, f.fleet, fmt.Sprint("w", n), "pew"))
	}
	isolated := (f.leader(t) + 1) % len(f.members)
	for n := range changes {
		switch n {
		case changes / 3:
			f.isolate(isolated)
		case 2 * changes / 3:
			f.healAll()
		}
		revision = mustChange(t, operator, putOf(t, fmt.Sprint("change-", n), "pew", revision, int64(n%100+1)))
	}
	awaitInForce(t, watchers, revision, "pew", (changes-1)%100+1)
	for _, m := range f.members {
		m.stop()
	}
	for i, m := range f.members {
		f.members[i] = f.startLinked(t, i, m.settings.Host.Folder)
		if f.members[i].group.Status().Snapshot == 0 {
			t.Errorf("replica %d restarts without a snapshot", i)
		}
		defer lookupUntilStopped(t, f.listenAddresses[i], "pew", revision)()
	}
	for _, w := range watchers {
		if got := w.weight("pew"); got != (changes-1)%100+1 {
			t.Errorf("%s has weight %d during the restart", w.name, got)
		}
	}
	last := mustChange(t, operator, putOf(t, "after", "pew", revision, 7))
	if last != revision+1 {
		t.Errorf("revision %d after the restart, want %d", last, revision+1)
	}
	awaitInForce(t, watchers, last, "pew", 7)
	for i, m := range f.members {
		await(t, fmt.Sprintf("replica %d at revision %d", i, last), func() bool { return m.book.Revision() == last })
		history := m.book.Changes("pew")
		if len(history) != changes+2 {
			t.Fatalf("replica %d has %d changes, want %d", i, len(history), changes+2)
		}
		for n, c := range history {
			if c.Revision != uint64(n+1) {
				t.Errorf("replica %d has change %q at revision %d, want %d", i, c.Change, c.Revision, n+1)
			}
		}
	}
}

// changeMembers makes one membership change. It retries after an unknown outcome
// and, for a promotion, until the learner has caught up.
func changeMembers(t *testing.T, c *kcwledger.Client, req *kcwpb.ChangeMembersRequest) {
	t.Helper()
	isDone := func(membership *kcwpb.Membership) bool {
		isMember := slices.ContainsFunc(membership.GetMembers(), func(m *kcwpb.Member) bool { return m.Id == req.Member.Id })
		votes := kcwreplica.IsVoter(membership, req.Member.Id)
		switch req.Kind {
		case kcwpb.ChangeMembersRequest_KIND_ADD_LEARNER:
			return isMember
		case kcwpb.ChangeMembersRequest_KIND_REMOVE:
			return !isMember
		case kcwpb.ChangeMembersRequest_KIND_REPLACE:
			return votes && !kcwreplica.IsVoter(membership, req.Replaced)
		}
		return votes
	}
	await(t, fmt.Sprint("members changed: ", req.Kind), func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		membership, err := c.ChangeMembers(ctx, req)
		if err == nil && isDone(membership) {
			return true
		}
		read, cancelRead := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancelRead()
		fleet, err := c.Fleet(read)
		return err == nil && isDone(fleet.GetGroup().GetMembership())
	})
}

// TestLostDiskThenLostHost replaces a replica that lost its disk by one with a
// new identity, then stops the leader right after the repair. No acknowledged
// change or bill may be lost.
func TestLostDiskThenLostHost(t *testing.T) {
	for _, test := range []struct {
		name   string
		repair func(*testing.T, *kcwledger.Client, *kcwpb.Member, uint64)
	}{
		{"promoted and removed", func(t *testing.T, operator *kcwledger.Client, member *kcwpb.Member, old uint64) {
			changeMembers(t, operator, &kcwpb.ChangeMembersRequest{Kind: kcwpb.ChangeMembersRequest_KIND_PROMOTE, Member: member})
			changeMembers(t, operator, &kcwpb.ChangeMembersRequest{Kind: kcwpb.ChangeMembersRequest_KIND_REMOVE, Member: &kcwpb.Member{Id: old}})
		}},
		{"replaced in one change", func(t *testing.T, operator *kcwledger.Client, member *kcwpb.Member, old uint64) {
			changeMembers(t, operator, &kcwpb.ChangeMembersRequest{Kind: kcwpb.ChangeMembersRequest_KIND_REPLACE, Member: member, Replaced: old})
		}},
	} {
		t.Run(test.name, func(t *testing.T) { loseDiskThenHost(t, test.repair) })
	}
}

// loseDiskThenHost runs TestLostDiskThenLostHost with a function that makes the learner
// member a voter in place of the identity old.
func loseDiskThenHost(t *testing.T, repair func(t *testing.T, operator *kcwledger.Client, member *kcwpb.Member, old uint64)) {
	const n, tokens = 40, 3
	f := newLinkedFleet(t, 3, func(s *kcwsetup.Settings) { s.Group.SnapshotEntries, s.Group.KeepEntries = 50, 10 })
	operator, router := f.client(t, testKeys.Operator), f.client(t, testKeys.Router)
	revision := mustChange(t, operator, putOf(t, "create", "pew", 0, 1))
	register(t, f.fleet, router, "r1", 1)
	serveRequests := func(from int) {
		for i := from; i < from+n; i++ {
			revision = mustChange(t, operator, putOf(t, fmt.Sprint("change-", i), "pew", revision, int64(i+1)))
			request := fmt.Sprint("request-", i)
			submit(t, router, openCommand(request, uint64(i+1), 10))
			submit(t, router, settleCommand(request, uint64(i+1), tokens))
		}
	}
	serveRequests(0)
	watch := newWatcher(t, f.fleet, "w", "pew")
	leader := f.leader(t)
	lost := (leader + 1) % len(f.members)
	oldID := f.members[lost].group.Status().Id
	f.members[lost].stop()
	serveRequests(n)
	f.members[lost] = f.startLinked(t, lost, t.TempDir())
	defer lookupUntilStopped(t, f.listenAddresses[lost], "pew", revision)()
	host := f.members[lost].settings.Host
	newID := f.members[lost].group.Status().Id
	if newID == oldID {
		t.Fatal("the blank disk has the identity of the lost disk")
	}
	member := &kcwpb.Member{Id: newID, Name: host.Name, Zone: host.Zone, Address: host.Address.String()}
	changeMembers(t, operator, &kcwpb.ChangeMembersRequest{Kind: kcwpb.ChangeMembersRequest_KIND_ADD_LEARNER, Member: member})
	repair(t, operator, member, oldID)

	stoppedLeader := f.leader(t)
	f.members[stoppedLeader].stop()
	f.forEachLink(stoppedLeader, func(l *forwarder) { l.closeAll(true) })
	f.clientForwarders[stoppedLeader].closeAll(true)
	serveRequests(2 * n)

	ctx, cancel := context.WithTimeout(context.Background(), waitBound)
	defer cancel()
	list, err := operator.List(ctx, &kcwpb.ListRequest{Customer: "pew", WithClaims: true, WithHistory: true})
	if err != nil {
		t.Fatal(err)
	}
	recorded, billed := map[string]bool{}, map[string]bool{}
	for _, c := range list.Changes {
		recorded[c.Change] = true
	}
	for _, c := range list.Claims {
		billed[c.Request] = c.State == kcwpb.ClaimState_CLAIM_STATE_BILLED && c.Tokens == tokens
	}
	for i := range 3 * n {
		if !recorded[fmt.Sprint("change-", i)] {
			t.Errorf("change %d is lost", i)
		}
		if !billed[fmt.Sprint("request-", i)] {
			t.Errorf("the bill of request %d is lost", i)
		}
	}
	if got := list.Budgets[0].Billed; got != 3*n*tokens {
		t.Errorf("%d tokens billed, want %d", got, 3*n*tokens)
	}
	awaitInForce(t, []*watcher{watch}, revision, "pew", 3*n)
}

// TestSilentConnections stalls every open connection of clients and replicas
// before each kind of call, while new connections work.
func TestSilentConnections(t *testing.T) {
	f := newLinkedFleet(t, 3, nil)
	operator, router := f.client(t, testKeys.Operator), f.client(t, testKeys.Router)
	revision := mustChange(t, operator, putOf(t, "create", "pew", 0, 1))
	register(t, f.fleet, router, "r1", 1)
	watchers := []*watcher{newWatcher(t, f.fleet, "w0", "pew"), newWatcher(t, f.fleet, "w1", "pew")}
	stallAll := func() {
		for i, client := range f.clientForwarders {
			client.stall()
			f.forEachLink(i, (*forwarder).stall)
		}
	}
	call := func(name string, do func(context.Context) error) {
		t.Helper()
		stallAll()
		await(t, name, func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			return do(ctx) == nil
		})
	}
	stallAll()
	revision = mustChange(t, operator, putOf(t, "second", "pew", revision, 2))
	awaitInForce(t, watchers, revision, "pew", 2)
	stallAll()
	submit(t, router, openCommand("a", 1, 10))
	stallAll()
	submit(t, router, settleCommand("a", 1, 3))
	call("Heartbeat", func(ctx context.Context) error {
		_, err := router.Heartbeat(ctx, &kcwpb.HeartbeatRequest{Router: "r1", Incarnation: 1})
		return err
	})
	call("Lookup", func(ctx context.Context) error {
		_, err := router.Lookup(ctx, &kcwpb.LookupRequest{Customer: "pew"})
		return err
	})
	call("List", func(ctx context.Context) error {
		_, err := operator.List(ctx, &kcwpb.ListRequest{})
		return err
	})
	call("ChangeMembers", func(ctx context.Context) error {
		member := proto.Clone(f.members[0].group.Status().Membership.Members[0]).(*kcwpb.Member)
		_, err := operator.ChangeMembers(ctx, &kcwpb.ChangeMembersRequest{Kind: kcwpb.ChangeMembersRequest_KIND_ADD_LEARNER, Member: member})
		var e *kcwledger.Error
		if errors.As(err, &e) && e.Kind == kcwledger.Refused {
			return nil // The ledger answered that the member exists.
		}
		return err
	})
	stallAll()
	revision = mustChange(t, operator, putOf(t, "third", "pew", revision, 3))
	awaitInForce(t, watchers, revision, "pew", 3)
}

// TestAnswerToRegistrationLost guards against a registration that is taken for failed because
// the answer to it was lost and it was sent again.
func TestAnswerToRegistrationLost(t *testing.T) {
	f := newLinkedFleet(t, 3, nil)
	router := f.client(t, testKeys.Router)
	f.leader(t)
	for _, client := range f.clientForwarders {
		client.block(false, true)
	}
	var work sync.WaitGroup
	work.Go(func() {
		for end := time.Now().Add(20 * time.Second); len(f.registered("r1")) == 0 && time.Now().Before(end); {
			time.Sleep(10 * time.Millisecond)
		}
		for _, client := range f.clientForwarders {
			client.closeAll(false)
			client.heal()
		}
	})
	defer work.Wait()
	register(t, f.fleet, router, "r1", 1)
}
