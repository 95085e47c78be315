package kcwledger

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"

	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwpb/kcwpbconnect"
)

// fakeOperator is a replica that answers an operator's commands with the codes of
// answers in turn, and a result without a code for zero. After the last one it
// answers that the command is repeated.
type fakeOperator struct {
	kcwpbconnect.UnimplementedOperatorHandler
	answers []connect.Code
	changes []string
}

func (d *fakeOperator) Submit(_ context.Context, req *connect.Request[kcwpb.SubmitRequest]) (*connect.Response[kcwpb.SubmitResponse], error) {
	d.changes = append(d.changes, req.Msg.Commands[0].GetTopUp().GetChange())
	if len(d.answers) > 0 {
		code := d.answers[0]
		d.answers = d.answers[1:]
		if code != 0 {
			return nil, connect.NewError(code, errors.New("injected"))
		}
		return connect.NewResponse(&kcwpb.SubmitResponse{Results: []*kcwpb.Result{{}}}), nil
	}
	return connect.NewResponse(&kcwpb.SubmitResponse{Results: []*kcwpb.Result{{Code: kcwpb.Code_CODE_REPEATED}}}), nil
}

func TestChange(t *testing.T) {
	cmd := &kcwpb.Command{Op: &kcwpb.Command_TopUp{TopUp: &kcwpb.TopUp{Change: "c-1"}}}
	for _, test := range []struct {
		name    string
		answers []connect.Code
		kind    Kind
	}{
		{"unavailable, unknown outcome, not the leader, then answered", []connect.Code{connect.CodeUnavailable, 0, connect.CodeFailedPrecondition}, ""},
		{"refused", []connect.Code{connect.CodePermissionDenied}, Refused},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := &fakeOperator{answers: test.answers}
			mux := http.NewServeMux()
			mux.Handle(kcwpbconnect.NewOperatorHandler(d))
			server := httptest.NewUnstartedServer(mux)
			server.Config.Protocols = protocols()
			server.Start()
			defer server.Close()
			c := newClient(t, netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")))
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			result, err := c.Change(ctx, cmd)
			var e *Error
			if errors.As(err, &e) && e.Kind != test.kind || (err == nil) != (test.kind == "") {
				t.Fatalf("got %v %v, want kind %q", result, err, test.kind)
			}
			for _, change := range d.changes {
				if change != "c-1" {
					t.Errorf("sent with the identity %q, want c-1", change)
				}
			}
		})
	}
}

func TestChangeNotSent(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	server.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := newClient(t, address).Change(ctx, &kcwpb.Command{})
	var e *Error
	if !errors.As(err, &e) || e.Kind != NotSent {
		t.Errorf("got %v, want kind NotSent", err)
	}
}

// fakeMembers is a replica that answers membership changes, or does not answer if
// silent is set.
type fakeMembers struct {
	kcwpbconnect.UnimplementedOperatorHandler
	silent bool
	calls  atomic.Int64
}

func (r *fakeMembers) ChangeMembers(ctx context.Context, _ *connect.Request[kcwpb.ChangeMembersRequest]) (*connect.Response[kcwpb.ChangeMembersResponse], error) {
	r.calls.Add(1)
	if r.silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return connect.NewResponse(&kcwpb.ChangeMembersResponse{Membership: &kcwpb.Membership{}}), nil
}

// serveMembers serves r on loopback until the test ends and returns its address.
func serveMembers(t *testing.T, r *fakeMembers) netip.AddrPort {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(kcwpbconnect.NewOperatorHandler(r))
	server := httptest.NewUnstartedServer(mux)
	server.Config.Protocols = protocols()
	server.Start()
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
}

// A replica that cannot be reached has not received the change, so the same call
// goes on to the next one.
func TestChangeMembersPassesDeadReplica(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dead := listener.Addr().(*net.TCPAddr).AddrPort()
	_ = listener.Close()
	live := &fakeMembers{}
	c := newClient(t, dead, serveMembers(t, live))
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	if _, err := c.ChangeMembers(ctx, &kcwpb.ChangeMembersRequest{}); err != nil || live.calls.Load() != 1 {
		t.Errorf("error %v after %d calls at the live replica, want no error after 1", err, live.calls.Load())
	}
}

// After a replica may have received the change, the call must not send it again
// to any replica. The next call starts with another replica.
func TestChangeMembersLeavesSilentReplica(t *testing.T) {
	silent, live := &fakeMembers{silent: true}, &fakeMembers{}
	c := newClient(t, serveMembers(t, silent), serveMembers(t, live))
	short, cancelShort := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancelShort()
	if _, err := c.ChangeMembers(short, &kcwpb.ChangeMembersRequest{}); kindOf(err) != OutcomeUnknown {
		t.Errorf("silent replica: got error %v, want kind %q", err, OutcomeUnknown)
	}
	if silent.calls.Load() != 1 || live.calls.Load() != 0 {
		t.Errorf("the silent replica got %d calls and the other %d, want 1 and 0", silent.calls.Load(), live.calls.Load())
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if _, err := c.ChangeMembers(ctx, &kcwpb.ChangeMembersRequest{}); err != nil {
		t.Errorf("call after that to the silent replica: got error %v", err)
	}
}
