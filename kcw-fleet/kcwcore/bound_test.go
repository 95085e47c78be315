package kcwcore

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"

	"kingcupwick.example/kcw-fleet/kcwdirectory"
	"kingcupwick.example/kcw/kcwledger"
	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwpb/kcwpbconnect"
)

const (
	// applyBound is config_apply_ms of the platform.
	applyBound = 2 * time.Second
	// reportTimeout is the default of [Core] Timeout, reportPause the longest pause between two
	// reports by the default of [Core] Interval.
	reportTimeout = 600 * time.Millisecond
	reportPause   = 375 * time.Millisecond
)

// state is what a simulated host does with calls.
type state int

const (
	// answering hosts answer as leader, or refuse and name the leader that they know.
	answering state = iota
	// unpowered hosts accept no connection and do not refuse it. Frozen hosts accept
	// connections and calls and never answer. Killed hosts refuse connections. Silent hosts
	// answer on new connections only.
	unpowered
	frozen
	killed
	silent
)

// connAge is the key of the number of changes before a connection was opened.
type connAge struct{}

// simHost is a simulated host that serves the core.
type simHost struct {
	kcwpbconnect.UnimplementedFleetHandler
	sim     *simNet
	address netip.AddrPort
	// state and knownLeader are used under the lock of sim. knownLeader is the host that this
	// one takes for the leader, itself if it leads.
	state       state
	knownLeader netip.AddrPort
	// locates is set for a host that looks for the leader until the call ends if it knows
	// none, as hosts without a disk do.
	locates bool
	server  *http.Server
	conns   chan net.Conn
}

// simNet connects a Client to simulated hosts.
type simNet struct {
	mu    sync.Mutex
	hosts map[string]*simHost
	// core holds the addresses of the members.
	core []string
	// changes counts the changes of state.
	changes int
	ended   chan struct{}
}

func newSimNet() *simNet { return &simNet{hosts: map[string]*simHost{}, ended: make(chan struct{})} }

// add adds the host with the given number.
func (s *simNet) add(n int) *simHost {
	h := &simHost{sim: s, address: simAddress(n), conns: make(chan net.Conn)}
	_, handler := kcwpbconnect.NewFleetHandler(h)
	h.server = &http.Server{Handler: handler, ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
		s.mu.Lock()
		defer s.mu.Unlock()
		return context.WithValue(ctx, connAge{}, s.changes)
	}}
	go func() { _ = h.server.Serve(h) }()
	s.hosts[h.address.String()] = h
	return h
}

func simAddress(n int) netip.AddrPort {
	return netip.MustParseAddrPort("10.0.0." + strconv.Itoa(n) + ":7000")
}

// Accept implements net.Listener.
func (h *simHost) Accept() (net.Conn, error) {
	select {
	case conn := <-h.conns:
		return conn, nil
	case <-h.sim.ended:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (h *simHost) Close() error { return nil }

// Addr implements net.Listener.
func (h *simHost) Addr() net.Addr { return net.TCPAddrFromAddrPort(h.address) }

// Sync implements kcwpbconnect.FleetHandler.
func (h *simHost) Sync(ctx context.Context, _ *connect.Request[kcwpb.FleetSyncRequest]) (*connect.Response[kcwpb.FleetSyncResponse], error) {
	h.sim.mu.Lock()
	state, knownLeader, core := h.state, h.knownLeader, h.sim.core
	if state == silent && ctx.Value(connAge{}) == h.sim.changes {
		state = answering
	}
	h.sim.mu.Unlock()
	if state != answering || h.locates && !knownLeader.IsValid() {
		<-h.sim.ended
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("no answer"))
	}
	if knownLeader == h.address {
		return connect.NewResponse(&kcwpb.FleetSyncResponse{Core: core}), nil
	}
	e := connect.NewError(connect.CodeUnavailable, errors.New("not the leader"))
	if knownLeader.IsValid() {
		e.Meta().Set(kcwledger.LeaderHeader, knownLeader.String())
	}
	return nil, e
}

// dial connects to a simulated host.
func (s *simNet) dial(ctx context.Context, _, address string) (net.Conn, error) {
	s.mu.Lock()
	h := s.hosts[address]
	down := h == nil || h.state == unpowered
	refuses := h != nil && h.state == killed
	s.mu.Unlock()
	if refuses {
		return nil, syscall.ECONNREFUSED
	}
	if down {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	near, far := net.Pipe()
	select {
	case h.conns <- far:
		return near, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// lead makes the host at address the leader of the core, which consists of members, and
// tells all hosts.
func (s *simNet) lead(address netip.AddrPort, members []netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core = nil
	for _, m := range members {
		s.core = append(s.core, m.String())
	}
	for _, h := range s.hosts {
		h.knownLeader = address
	}
}

// change changes states and known leaders.
func (s *simNet) change(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes++
	f()
}

// reportUntilAnswered reports as a router does until the leader answers, for at most a
// minute.
func (s *simNet) reportUntilAnswered(t *testing.T, c *Client) {
	for range 60 {
		ctx, cancel := context.WithTimeout(t.Context(), reportTimeout)
		_, _, err := c.Sync(ctx, &kcwpb.FleetSyncRequest{})
		cancel()
		if err == nil {
			return
		}
		time.Sleep(reportPause)
	}
	t.Error("no leader was found")
}

// close ends all hosts and the client.
func (s *simNet) close(c *Client) {
	c.Close()
	close(s.ended)
	for _, h := range s.hosts {
		_ = h.server.Close()
	}
}

// TestLeaderFoundWithinBound guards against a router that keeps an older configuration
// because it does not find the leader that has acknowledged a newer one.
func TestLeaderFoundWithinBound(t *testing.T) {
	for _, test := range []struct {
		name string
		// locators are hosts without a disk and gone former members, all known to the router.
		locators, gone int
		// lose changes the states and the known leaders of members, the first of which leads, and
		// of hosts without a disk.
		lose func(members, locators []*simHost)
	}{
		{name: "killed leader", lose: func(m, _ []*simHost) { m[0].state = killed }},
		{name: "frozen leader that members name", lose: func(m, _ []*simHost) { m[0].state = frozen }},
		{name: "frozen leader", lose: func(m, _ []*simHost) {
			m[0].state = frozen
			forget(m)
		}},
		{name: "leader without power that members name", lose: func(m, _ []*simHost) { m[0].state = unpowered }},
		{name: "deposed leader that names none", lose: func(m, _ []*simHost) { forget(m) }},
		{name: "deposed leaders that name each other", lose: func(m, _ []*simHost) {
			m[0].knownLeader, m[1].knownLeader = m[1].address, m[0].address
		}},
		{name: "silent connections", lose: func(m, l []*simHost) {
			for _, h := range append(m, l...) {
				h.state = silent
			}
		}, locators: 3},
		{name: "silent connections to members without a leader", lose: func(m, _ []*simHost) {
			m[1].state, m[2].state = silent, silent
			m[0].state = frozen
			forget(m)
		}},
		{name: "hosts without a disk that search", locators: 3, lose: func(m, l []*simHost) {
			m[0].state = frozen
			forget(l)
		}},
		{name: "hosts without a disk and without power", locators: 3, lose: func(m, l []*simHost) {
			m[0].state = frozen
			for _, h := range l {
				h.state = unpowered
			}
		}},
		{name: "former members", gone: 6, lose: func(m, _ []*simHost) { m[0].state = frozen }},
		{name: "former members, no leader named", gone: 6, locators: 3, lose: func(m, l []*simHost) {
			m[0].state = unpowered
			forget(append(m, l...))
		}},
		{name: "former members and hosts without a disk", gone: 6, locators: 3, lose: func(m, l []*simHost) {
			m[0].state = unpowered
			forget(l)
		}},
		{name: "many former members", gone: 12, lose: func(m, _ []*simHost) { m[0].state = unpowered }},
	} {
		worst := time.Duration(0)
		for election := time.Duration(0); election <= 4*time.Second; election += 150 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				s := newSimNet()
				members := []*simHost{s.add(1), s.add(2), s.add(3)}
				view := kcwdirectory.View{}
				for n := range test.gone {
					view.Hosts = append(view.Hosts, kcwdirectory.Host{Address: simAddress(20 + n), Member: true, Age: time.Minute})
				}
				var locators []*simHost
				for n := range test.locators {
					h := s.add(10 + n)
					h.locates = true
					locators = append(locators, h)
					view.Hosts = append(view.Hosts, kcwdirectory.Host{Address: h.address})
				}
				seeds := []netip.AddrPort{members[0].address, members[1].address, members[2].address}
				s.lead(members[0].address, seeds)
				c := New(Config{Seeds: seeds})
				c.transport.DialContext = s.dial
				defer s.close(c)
				c.Merge(view)
				s.reportUntilAnswered(t, c)
				lostAt := time.Now()
				s.change(func() { test.lose(members, locators) })
				time.AfterFunc(election, func() { s.lead(members[2].address, seeds) })
				time.Sleep(reportPause)
				s.reportUntilAnswered(t, c)
				worst = max(worst, time.Since(lostAt)-election)
			})
		}
		if worst > applyBound {
			t.Errorf("%s: the router found the leader %v after it led, want %v at most", test.name, worst, applyBound)
		}
	}
}

// forget clears the known leader of hosts.
func forget(hosts []*simHost) {
	for _, h := range hosts {
		h.knownLeader = netip.AddrPort{}
	}
}
