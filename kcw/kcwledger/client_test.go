package kcwledger

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"

	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwpb/kcwpbconnect"
)

// replica is a fake replica of the ledger. Submitted counts the commands that it
// received.
type replica struct {
	kcwpbconnect.UnimplementedLedgerHandler
	submit    func(*kcwpb.SubmitRequest) (*kcwpb.SubmitResponse, error)
	watch     func(*kcwpb.WatchRequest, *connect.ServerStream[kcwpb.WatchEvent], context.Context) error
	lookup    *kcwpb.LookupResponse
	submitted atomic.Int64
}

func (r *replica) Submit(_ context.Context, req *connect.Request[kcwpb.SubmitRequest]) (*connect.Response[kcwpb.SubmitResponse], error) {
	r.submitted.Add(int64(len(req.Msg.Commands)))
	msg, err := r.submit(req.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(msg), nil
}

func (r *replica) Lookup(context.Context, *connect.Request[kcwpb.LookupRequest]) (*connect.Response[kcwpb.LookupResponse], error) {
	return connect.NewResponse(r.lookup), nil
}

func (r *replica) Watch(ctx context.Context, req *connect.Request[kcwpb.WatchRequest], stream *connect.ServerStream[kcwpb.WatchEvent]) error {
	return r.watch(req.Msg, stream, ctx)
}

// start serves r on loopback until the test ends and returns its address.
func start(t *testing.T, r *replica) netip.AddrPort {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(kcwpbconnect.NewLedgerHandler(r))
	server := httptest.NewUnstartedServer(mux)
	server.Config.Protocols = protocols()
	server.Start()
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
}

func newClient(t *testing.T, addresses ...netip.AddrPort) *Client {
	t.Helper()
	c, err := New(Config{
		Addresses:      addresses,
		Key:            "key",
		CallTimeout:    200 * time.Millisecond,
		SilenceTimeout: 200 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// ok answers each command with its own token count.
func ok(req *kcwpb.SubmitRequest) (*kcwpb.SubmitResponse, error) {
	response := &kcwpb.SubmitResponse{}
	for _, cmd := range req.Commands {
		response.Results = append(response.Results, &kcwpb.Result{
			Code:   kcwpb.Code_CODE_OK,
			Tokens: cmd.GetOpenClaim().GetTokens(),
		})
	}
	return response, nil
}

func open(tokens int64) *kcwpb.Command {
	return &kcwpb.Command{Op: &kcwpb.Command_OpenClaim{OpenClaim: &kcwpb.OpenClaim{Tokens: tokens}}}
}

func kindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

func TestNewChecksItsConfig(t *testing.T) {
	address := netip.MustParseAddrPort("127.0.0.1:1")
	for _, test := range []struct {
		name string
		cfg  Config
	}{
		{"no address", Config{Key: "key"}},
		{"no key", Config{Addresses: []netip.AddrPort{address}}},
	} {
		if _, err := New(test.cfg); kindOf(err) != Invalid {
			t.Errorf("%s: got error %v, want kind %q", test.name, err, Invalid)
		}
	}
}

func TestSubmitGivesEachCallerItsOwnResult(t *testing.T) {
	c := newClient(t, start(t, &replica{submit: ok}))
	var callers sync.WaitGroup
	for tokens := range int64(500) {
		callers.Go(func() {
			result, err := c.Submit(t.Context(), open(tokens))
			if err != nil || result.Tokens != tokens {
				t.Errorf("command %d: got result %v, error %v", tokens, result, err)
			}
		})
	}
	callers.Wait()
}

func TestSubmitFollowsTheLeader(t *testing.T) {
	leader := &replica{submit: ok}
	address := start(t, leader)
	follower := &replica{submit: func(*kcwpb.SubmitRequest) (*kcwpb.SubmitResponse, error) {
		e := connect.NewError(connect.CodeFailedPrecondition, errors.New("not the leader"))
		e.Meta().Set(LeaderHeader, address.String())
		return nil, e
	}}
	// The client is configured with the follower only, which names the leader.
	c := newClient(t, start(t, follower))
	if _, err := c.Submit(t.Context(), open(1)); err != nil {
		t.Fatal(err)
	}
	if got := leader.submitted.Load(); got != 1 {
		t.Errorf("the leader got %d commands, want 1", got)
	}
}

func TestSubmitLeavesASilentReplica(t *testing.T) {
	release := make(chan struct{})
	silent := &replica{submit: func(*kcwpb.SubmitRequest) (*kcwpb.SubmitResponse, error) {
		<-release
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("late"))
	}}
	responsive := &replica{submit: ok}
	c := newClient(t, start(t, silent), start(t, responsive))
	defer close(release)
	if _, err := c.Submit(t.Context(), open(1)); err != nil {
		t.Fatal(err)
	}
	if silent.submitted.Load() == 0 || responsive.submitted.Load() != 1 {
		t.Errorf("silent replica got %d commands, the other %d", silent.submitted.Load(), responsive.submitted.Load())
	}
}

// TestSubmitReplacesASilentConnection has one replica whose first connection is
// never answered, while new connections work.
func TestSubmitReplacesASilentConnection(t *testing.T) {
	address := start(t, &replica{submit: ok})
	proxy, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = proxy.Close() }()
	var accepted atomic.Int64
	go func() {
		for {
			conn, err := proxy.Accept()
			if err != nil {
				return
			}
			// The first connection is held open and never answered.
			if accepted.Add(1) > 1 {
				go forward(conn, address)
			}
		}
	}()
	c := newClient(t, proxy.Addr().(*net.TCPAddr).AddrPort())
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	if _, err := c.Submit(ctx, open(1)); err != nil {
		t.Errorf("error %v after %d connections", err, accepted.Load())
	}
}

func TestASilentReplicaGetsAFreshLink(t *testing.T) {
	l := newLinks([]netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}, "key", time.Second)
	defer l.close()
	for _, test := range []struct {
		name  string
		code  connect.Code
		fresh bool
	}{
		{"silent", connect.CodeDeadlineExceeded, true},
		{"refusing", connect.CodeUnavailable, false},
	} {
		used := l.leader()
		l.recordFailure(used, connect.NewError(test.code, errSilent))
		if got := l.leader() != used; got != test.fresh {
			t.Errorf("%s: fresh link %v, want %v", test.name, got, test.fresh)
		}
	}
}

// forward copies data between conn and address in both directions until one side
// closes.
func forward(conn net.Conn, address netip.AddrPort) {
	defer func() { _ = conn.Close() }()
	upstream, err := net.Dial("tcp", address.String())
	if err != nil {
		return
	}
	defer func() { _ = upstream.Close() }()
	go func() { _, _ = io.Copy(upstream, conn) }()
	_, _ = io.Copy(conn, upstream)
}

func TestSubmitSaysWhetherTheCommandMayBeCarriedOut(t *testing.T) {
	refuse := func(code connect.Code) func(*kcwpb.SubmitRequest) (*kcwpb.SubmitResponse, error) {
		return func(*kcwpb.SubmitRequest) (*kcwpb.SubmitResponse, error) {
			return nil, connect.NewError(code, errors.New("refused"))
		}
	}
	unknown := func(*kcwpb.SubmitRequest) (*kcwpb.SubmitResponse, error) {
		return &kcwpb.SubmitResponse{Results: []*kcwpb.Result{{Detail: "lost leadership"}}}, nil
	}
	for _, test := range []struct {
		name   string
		submit func(*kcwpb.SubmitRequest) (*kcwpb.SubmitResponse, error)
		want   Kind
	}{
		{"key refused", refuse(connect.CodeUnauthenticated), Refused},
		{"command refused", refuse(connect.CodeInvalidArgument), Refused},
		{"outcome unknown", unknown, OutcomeUnknown},
		{"leader failing", refuse(connect.CodeUnavailable), OutcomeUnknown},
	} {
		c := newClient(t, start(t, &replica{submit: test.submit}))
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		_, err := c.Submit(ctx, open(1))
		cancel()
		if kindOf(err) != test.want {
			t.Errorf("%s: got error %v, want kind %q", test.name, err, test.want)
		}
	}
}

// TestCommandMayChangeAfterSubmit ends calls at various times after their start
// and modifies their commands. The race detector finds a sender that still reads
// them.
func TestCommandMayChangeAfterSubmit(t *testing.T) {
	c := newClient(t, start(t, &replica{submit: ok}))
	for n := range 300 {
		cmd := open(1)
		ctx, cancel := context.WithTimeout(t.Context(), time.Duration(n)*5*time.Microsecond)
		result, err := c.Submit(ctx, cmd)
		cancel()
		cmd.GetOpenClaim().Tokens = 2
		if err == nil && result.Tokens != 1 {
			t.Fatalf("got the result of a command with %d tokens, want 1", result.Tokens)
		}
	}
}

func TestSubmitEndsWhenTheClientCloses(t *testing.T) {
	c := newClient(t, netip.MustParseAddrPort("127.0.0.1:1"))
	ended := make(chan error, 1)
	go func() {
		_, err := c.Submit(context.Background(), open(1))
		ended <- err
	}()
	time.Sleep(20 * time.Millisecond)
	c.Close()
	if err := <-ended; err == nil {
		t.Error("a command to no replica succeeded")
	}
	if _, err := c.Submit(t.Context(), open(1)); err == nil {
		t.Error("a closed client accepted a command")
	}
}

func TestLookupPassesByAReplicaThatIsBehind(t *testing.T) {
	behind := &replica{lookup: &kcwpb.LookupResponse{Revision: 3}}
	current := &replica{lookup: &kcwpb.LookupResponse{Revision: 7, Found: true}}
	c := newClient(t, start(t, behind), start(t, current))
	response, err := c.Lookup(t.Context(), &kcwpb.LookupRequest{Customer: "pew", MinRevision: 5})
	if err != nil || response.Revision != 7 {
		t.Errorf("got %v, error %v, want revision 7", response, err)
	}
}

// stayOpen keeps a watch open until its watcher ends it.
func stayOpen(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

func TestWatchLeavesStaleAndSilentReplicas(t *testing.T) {
	for _, test := range []struct {
		name  string
		event *kcwpb.WatchEvent
	}{
		{"isolated", &kcwpb.WatchEvent{Revision: 9, Fresh: false}},
		{"behind", &kcwpb.WatchEvent{Revision: 4, Fresh: true}},
		{"silent", nil},
	} {
		bad := &replica{watch: func(_ *kcwpb.WatchRequest, s *connect.ServerStream[kcwpb.WatchEvent], ctx context.Context) error {
			if test.event != nil {
				_ = s.Send(test.event)
			}
			return stayOpen(ctx)
		}}
		good := &replica{watch: func(_ *kcwpb.WatchRequest, s *connect.ServerStream[kcwpb.WatchEvent], ctx context.Context) error {
			_ = s.Send(&kcwpb.WatchEvent{Revision: 6, Fresh: true})
			return stayOpen(ctx)
		}}
		// With two bad replicas of three, most watches start at a bad one.
		c := newClient(t, start(t, bad), start(t, bad), start(t, good))
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		var got []uint64
		_ = c.Watch(ctx, &kcwpb.WatchRequest{}, func() uint64 { return 5 }, func(e *kcwpb.WatchEvent) {
			got = append(got, e.Revision)
			cancel()
		})
		cancel()
		if len(got) == 0 || got[0] != 6 {
			t.Errorf("%s: got revisions %v, want 6 from the good replica alone", test.name, got)
		}
	}
}
