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

// desk is a fake replica that answers an operator's commands in turn.
type desk struct {
	kcwpbconnect.UnimplementedOperatorHandler
	answers []connect.Code
	changes []string
}

func (d *desk) Submit(_ context.Context, req *connect.Request[kcwpb.SubmitRequest]) (*connect.Response[kcwpb.SubmitResponse], error) {
	d.changes = append(d.changes, req.Msg.Commands[0].GetTopUp().GetChange())
	if len(d.answers) > 0 {
		code := d.answers[0]
		d.answers = d.answers[1:]
		if code != 0 {
			return nil, connect.NewError(code, errors.New("ordered"))
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
		{"lost, of unknown fate, away from the leader, then answered", []connect.Code{connect.CodeUnavailable, 0, connect.CodeFailedPrecondition}, ""},
		{"refused", []connect.Code{connect.CodePermissionDenied}, Refused},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := &desk{answers: test.answers}
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
					t.Errorf("sent with the identity %q", change)
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

// roll is a fake replica that answers changes of the members, or never if
// silent is set.
type roll struct {
	kcwpbconnect.UnimplementedOperatorHandler
	silent bool
	calls  atomic.Int64
}

func (r *roll) ChangeMembers(ctx context.Context, _ *connect.Request[kcwpb.ChangeMembersRequest]) (*connect.Response[kcwpb.ChangeMembersResponse], error) {
	r.calls.Add(1)
	if r.silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return connect.NewResponse(&kcwpb.ChangeMembersResponse{Membership: &kcwpb.Membership{}}), nil
}

// serveRoll serves r on loopback until the test ends and returns its address.
func serveRoll(t *testing.T, r *roll) netip.AddrPort {
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

// A replica that can't be reached took no change, so the next one is asked.
func TestChangeMembersPassesDeadReplica(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dead := listener.Addr().(*net.TCPAddr).AddrPort()
	_ = listener.Close()
	live := &roll{}
	c := newClient(t, dead, serveRoll(t, live))
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	if _, err := c.ChangeMembers(ctx, &kcwpb.ChangeMembersRequest{}); err != nil || live.calls.Load() != 1 {
		t.Errorf("%v after %d calls at the live replica, want none after 1", err, live.calls.Load())
	}
}

// A replica that may have taken the change is not asked again, nor is another
// one by the same call; the next call turns to another replica.
func TestChangeMembersLeavesSilentReplica(t *testing.T) {
	silent, live := &roll{silent: true}, &roll{}
	c := newClient(t, serveRoll(t, silent), serveRoll(t, live))
	short, cancelShort := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancelShort()
	if _, err := c.ChangeMembers(short, &kcwpb.ChangeMembersRequest{}); kindOf(err) != OutcomeUnknown {
		t.Errorf("a silent replica gives %v, want kind %q", err, OutcomeUnknown)
	}
	if silent.calls.Load() != 1 || live.calls.Load() != 0 {
		t.Errorf("%d and %d calls, want 1 and 0", silent.calls.Load(), live.calls.Load())
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if _, err := c.ChangeMembers(ctx, &kcwpb.ChangeMembersRequest{}); err != nil {
		t.Errorf("the call after a silent replica gives %v", err)
	}
}
