package kcwcore_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"

	"kingcupwick.example/kcw-fleet/kcwcore"
	"kingcupwick.example/kcw-fleet/kcwdirectory"
	"kingcupwick.example/kcw/kcwledger"
	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwpb/kcwpbconnect"
)

// member is a member of the core that refers callers to leader, or leads if that is
// empty.
type member struct {
	kcwpbconnect.UnimplementedFleetHandler
	leader string
	calls  int
}

func (m *member) Sync(context.Context, *connect.Request[kcwpb.FleetSyncRequest]) (*connect.Response[kcwpb.FleetSyncResponse], error) {
	m.calls++
	if m.leader == "" {
		return connect.NewResponse(&kcwpb.FleetSyncResponse{Routers: 1}), nil
	}
	e := connect.NewError(connect.CodeUnavailable, errors.New("not the leader"))
	e.Meta().Set(kcwledger.LeaderHeader, m.leader)
	return nil, e
}

func serve(t *testing.T, m *member) netip.AddrPort {
	t.Helper()
	_, handler := kcwpbconnect.NewFleetHandler(m)
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
}

// unreachable returns an address at which no server listens.
func unreachable(t *testing.T) netip.AddrPort {
	t.Helper()
	server := httptest.NewServer(nil)
	defer server.Close()
	return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
}

// TestFindsLeader checks that a client finds the leader through any member, also if
// other members are gone, and then keeps calling it.
func TestFindsLeader(t *testing.T) {
	leader := &member{}
	leaderAt := serve(t, leader)
	follower := &member{leader: leaderAt.String()}
	followerAt := serve(t, follower)
	for _, test := range []struct {
		name  string
		seeds []netip.AddrPort
		tries int
	}{
		{"the leader itself", []netip.AddrPort{leaderAt}, 1},
		{"via a follower", []netip.AddrPort{followerAt}, 2},
		{"after a member that is gone", []netip.AddrPort{unreachable(t), followerAt}, 3},
	} {
		c := kcwcore.New(kcwcore.Config{Seeds: test.seeds})
		tries := 0
		for found := false; !found && tries < 10; tries++ {
			_, _, err := c.Sync(t.Context(), &kcwpb.FleetSyncRequest{})
			found = err == nil
			var e *kcwcore.Error
			if err != nil && (!errors.As(err, &e) || e.Kind != kcwcore.Unanswered) {
				t.Errorf("%s: error %v", test.name, err)
			}
		}
		if tries > test.tries {
			t.Errorf("%s: found after %d calls, want %d at most", test.name, tries, test.tries)
		}
		before := follower.calls
		if _, _, err := c.Sync(t.Context(), &kcwpb.FleetSyncRequest{}); err != nil || follower.calls != before {
			t.Errorf("%s: the next call did not go straight to the leader, error %v", test.name, err)
		}
		c.Close()
	}
}

// TestMembersTold checks that members from a merged view are called when the seeds are
// gone.
func TestMembersTold(t *testing.T) {
	leader := &member{}
	c := kcwcore.New(kcwcore.Config{Seeds: []netip.AddrPort{unreachable(t)}})
	defer c.Close()
	c.Merge(kcwdirectory.View{Hosts: []kcwdirectory.Host{{Address: serve(t, leader), Member: true}}})
	for range 3 {
		if _, _, err := c.Sync(t.Context(), &kcwpb.FleetSyncRequest{}); err == nil {
			return
		}
	}
	t.Error("the member was not found")
}

// TestSilentMember checks that a call times out at a member that accepts the connection
// but never answers, and that later calls find the leader.
func TestSilentMember(t *testing.T) {
	leader := &member{}
	blocked := make(chan struct{})
	_, handler := kcwpbconnect.NewFleetHandler(&blocking{until: blocked})
	server := httptest.NewServer(handler)
	defer server.Close()
	defer close(blocked)
	seeds := []netip.AddrPort{serve(t, leader), netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))}
	c := kcwcore.New(kcwcore.Config{Seeds: seeds})
	defer c.Close()
	for range 1000 {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		_, _, err := c.Sync(ctx, &kcwpb.FleetSyncRequest{})
		cancel()
		if err == nil {
			return
		}
	}
	t.Error("the leader was not found after calls to a silent member")
}

// blocking is a member that never answers.
type blocking struct {
	kcwpbconnect.UnimplementedFleetHandler
	until chan struct{}
}

func (b *blocking) Sync(ctx context.Context, _ *connect.Request[kcwpb.FleetSyncRequest]) (*connect.Response[kcwpb.FleetSyncResponse], error) {
	select {
	case <-b.until:
	case <-ctx.Done():
	}
	return nil, connect.NewError(connect.CodeUnavailable, errors.New("stopped"))
}

// TestAddresses checks that a malformed address is left out and the others are kept.
func TestAddresses(t *testing.T) {
	want := []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:7000"), netip.MustParseAddrPort("10.0.0.2:7000")}
	if got := kcwcore.ParseAddresses([]string{"10.0.0.1:7000", "not an address", "10.0.0.2:7000"}); !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// TestBusyLeaderStaysTheLeader checks that a leader that refuses a call because it has too many
// ends the search, and is called first the next time.
func TestBusyLeaderStaysTheLeader(t *testing.T) {
	leader := &busyMember{}
	_, handler := kcwpbconnect.NewFleetHandler(leader)
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	leaderAt := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	other := &member{leader: leaderAt.String()}
	c := kcwcore.New(kcwcore.Config{Seeds: []netip.AddrPort{serve(t, other), leaderAt}})
	if _, host, err := c.Sync(t.Context(), &kcwpb.FleetSyncRequest{}); err != nil || host != leaderAt {
		t.Fatalf("got %v from %v", err, host)
	}
	calls := other.calls
	for range 3 {
		leader.isBusy = true
		_, _, err := c.Sync(t.Context(), &kcwpb.FleetSyncRequest{})
		var e *kcwcore.Error
		if !errors.As(err, &e) || e.Kind != kcwcore.Busy || e.Member != leaderAt {
			t.Errorf("a busy leader: got %v", err)
		}
	}
	leader.isBusy = false
	if _, host, err := c.Sync(t.Context(), &kcwpb.FleetSyncRequest{}); err != nil || host != leaderAt {
		t.Errorf("got %v from %v", err, host)
	}
	if other.calls != calls {
		t.Errorf("another member got %d calls", other.calls-calls)
	}
}

// busyMember leads, and refuses calls while it is busy.
type busyMember struct {
	kcwpbconnect.UnimplementedFleetHandler
	isBusy bool
}

func (m *busyMember) Sync(context.Context, *connect.Request[kcwpb.FleetSyncRequest]) (*connect.Response[kcwpb.FleetSyncResponse], error) {
	if m.isBusy {
		return nil, connect.NewError(connect.CodeResourceExhausted, errors.New("busy"))
	}
	return connect.NewResponse(&kcwpb.FleetSyncResponse{Routers: 1}), nil
}
