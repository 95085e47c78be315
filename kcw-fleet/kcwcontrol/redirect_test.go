package kcwcontrol

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"

	"kingcupwick.example/kcw-fleet/kcwcore"
	"kingcupwick.example/kcw-fleet/kcwdirectory"
	"kingcupwick.example/kcw-fleet/kcwsetup"
	"kingcupwick.example/kcw/kcwledger"
	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwpb/kcwpbconnect"
)

// follower is a member whose view names leader, confirmed age ago, or no leader if that
// is empty.
type follower struct {
	kcwpbconnect.UnimplementedFleetHandler
	leader string
	age    time.Duration
	calls  int
}

func (h *follower) Announce(context.Context, *connect.Request[kcwpb.FleetAnnounceRequest]) (*connect.Response[kcwpb.FleetAnnounceResponse], error) {
	h.calls++
	view := &kcwpb.CoreView{Leader: h.leader, LeaderAgeNanos: int64(h.age)}
	return connect.NewResponse(&kcwpb.FleetAnnounceResponse{View: view}), nil
}

func serveMember(t *testing.T, h *follower) netip.AddrPort {
	t.Helper()
	_, handler := kcwpbconnect.NewFleetHandler(h)
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
}

func newRedirector(seeds ...netip.AddrPort) *redirector {
	const wait = 10 * time.Second
	settings := &kcwsetup.Control{
		Host:  kcwsetup.ControlHost{Address: netip.MustParseAddrPort("10.0.0.9:8000")},
		Group: kcwsetup.Group{MaxDocumentBytes: 100, PutTimeout: wait, Election: wait},
	}
	return &redirector{settings: settings, client: kcwcore.New(kcwcore.Config{Seeds: seeds})}
}

// TestRedirect checks where a host without a disk refers operators and routers.
func TestRedirect(t *testing.T) {
	ended := httptest.NewServer(nil)
	ended.Close()
	gone := netip.MustParseAddrPort(strings.TrimPrefix(ended.URL, "http://"))
	leaderless := serveMember(t, &follower{})
	informed := serveMember(t, &follower{leader: "10.0.0.7:7000"})
	for _, test := range []struct {
		name   string
		seeds  []netip.AddrPort
		body   string
		status int
		where  string
		leader string
	}{
		{"member that names the leader", []netip.AddrPort{informed}, "{}", 307, "http://10.0.0.7:8000/configuration", "10.0.0.7:7000"},
		{"members that do not come first", []netip.AddrPort{gone, leaderless, informed}, "{}", 307, "http://10.0.0.7:8000/configuration", "10.0.0.7:7000"},
		{"no leader", []netip.AddrPort{gone, leaderless}, "{}", 503, "", ""},
		{"body over the limit", []netip.AddrPort{informed}, strings.Repeat("x", 101), 400, "", "10.0.0.7:7000"},
	} {
		r := newRedirector(test.seeds...)
		w := httptest.NewRecorder()
		r.ServeHTTP(w, httptest.NewRequest(http.MethodPut, "/configuration", strings.NewReader(test.body)))
		if w.Code != test.status || w.Header().Get("Location") != test.where {
			t.Errorf("%s: got %d to %q", test.name, w.Code, w.Header().Get("Location"))
		}
		if retries := w.Header().Get("Retry-After") != ""; retries != (w.Code == 503) {
			t.Errorf("%s: Retry-After is %v", test.name, retries)
		}
		_, err := r.Sync(t.Context(), nil)
		var refused *connect.Error
		if !errors.As(err, &refused) || refused.Code() != connect.CodeUnavailable || refused.Meta().Get(kcwledger.LeaderHeader) != test.leader {
			t.Errorf("%s: a router gets %v", test.name, err)
		}
	}
}

// TestLeaderLookedForAgain checks that a fresh leader is reused without another probe,
// and that a leader whose confirmation is too old is not returned.
func TestLeaderLookedForAgain(t *testing.T) {
	member := &follower{leader: "10.0.0.7:7000"}
	r := newRedirector(serveMember(t, member))
	r.locate(t.Context())
	if r.locate(t.Context()); member.calls != 1 {
		t.Errorf("%d probes for two lookups in a row", member.calls)
	}
	r = newRedirector(serveMember(t, &follower{leader: "10.0.0.7:7000", age: leaderMaxAge}))
	if leader := r.locate(t.Context()); leader.IsValid() {
		t.Errorf("got leader %v, whose confirmation is too old", leader)
	}
}

// TestLeaderLocatedBehindMembers guards against a host without a disk that asks only members
// which know no leader, although another host knows one.
func TestLeaderLocatedBehindMembers(t *testing.T) {
	var members kcwdirectory.View
	for range 3 {
		members.Hosts = append(members.Hosts, kcwdirectory.Host{Address: serveMember(t, &follower{}), Member: true})
	}
	r := newRedirector(serveMember(t, &follower{leader: "10.0.0.7:7000"}))
	r.client.Merge(members)
	if leader := r.locate(t.Context()); !leader.IsValid() {
		t.Error("no leader was located")
	}
}
