package kcwdirectory_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"kingcupwick.example/kcw-fleet/kcwdirectory"
)

var start = time.Unix(1_700_000_000, 0)

func at(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 7000)
}

func newDirectory(self netip.AddrPort) *kcwdirectory.Directory {
	return kcwdirectory.New(kcwdirectory.Config{Self: self, LeaderTTL: 3 * time.Second, HostTTL: 10 * time.Minute})
}

// TestNext checks whom a host asks: the leader while it is confirmed, and others
// in turn once it has failed.
func TestNext(t *testing.T) {
	told := kcwdirectory.View{Leader: at(1), Hosts: []kcwdirectory.Host{{Address: at(1), Member: true}, {Address: at(2), Member: true}}}
	for _, test := range []struct {
		name   string
		seeds  []netip.AddrPort
		views  []kcwdirectory.View
		failed []netip.AddrPort
		after  time.Duration
		want   []netip.AddrPort
	}{
		{name: "nothing known", want: []netip.AddrPort{{}}},
		{name: "seeds in turn", seeds: []netip.AddrPort{at(3), at(4)}, want: []netip.AddrPort{at(3), at(4), at(3)}},
		{name: "the leader", seeds: []netip.AddrPort{at(3)}, views: []kcwdirectory.View{told}, want: []netip.AddrPort{at(1), at(1)}},
		{name: "a leader not confirmed", views: []kcwdirectory.View{told}, after: 4 * time.Second, want: []netip.AddrPort{at(1), at(2), at(1)}},
		{name: "a leader that failed", seeds: []netip.AddrPort{at(3)}, views: []kcwdirectory.View{told}, failed: []netip.AddrPort{at(1)}, want: []netip.AddrPort{at(2), at(3), at(1)}},
		{
			name: "an old word on a leader that failed", views: []kcwdirectory.View{told, {Leader: at(1), LeaderAge: time.Second}},
			failed: []netip.AddrPort{at(1)}, want: []netip.AddrPort{at(2), at(1)},
		},
		{name: "itself", seeds: []netip.AddrPort{at(9)}, want: []netip.AddrPort{{}}},
		{name: "hosts not heard of for long", views: []kcwdirectory.View{told}, after: 11 * time.Minute, want: []netip.AddrPort{at(1), at(1)}},
	} {
		d := newDirectory(at(9))
		d.SetSeeds(test.seeds)
		for i, view := range test.views {
			d.Merge(view, start)
			if i == 0 {
				for _, address := range test.failed {
					d.RecordFailure(address, start)
				}
			}
		}
		var got []netip.AddrPort
		for i := range test.want {
			got = append(got, d.Next(start.Add(test.after+time.Duration(i+1))))
		}
		if !slices.Equal(got, test.want) {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}

// TestAgesAddUp checks that a fact passed in a circle among hosts does not become
// fresh again.
func TestAgesAddUp(t *testing.T) {
	a, b := newDirectory(at(1)), newDirectory(at(2))
	a.Merge(kcwdirectory.View{Leader: at(3)}, start)
	now := start
	for range 10 {
		now = now.Add(500 * time.Millisecond)
		b.Merge(a.View(now), now)
		a.Merge(b.View(now), now)
	}
	if leader := a.Leader(now); leader.IsValid() {
		t.Errorf("leader %v is named %v after it was confirmed", leader, now.Sub(start))
	}
}

// TestBounded checks that a host that is told of many others keeps some only.
func TestBounded(t *testing.T) {
	d := newDirectory(at(1))
	for n := range 10_000 {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 7000)
		d.Merge(kcwdirectory.View{Hosts: []kcwdirectory.Host{{Address: address}}}, start)
	}
	if n := len(d.View(start).Hosts); n > 64 {
		t.Errorf("%d hosts are kept", n)
	}
}

// The times of the model.
const (
	step          = 50 * time.Millisecond
	electionTime  = 500 * time.Millisecond
	searchPause   = 250 * time.Millisecond
	steadyPause   = time.Second
	deadCall      = 300 * time.Millisecond
	findWithin    = 8 * time.Second
	routerTries   = 4
	modelRouters  = 4
	modelMostHost = 12
)

// node is one process of the model.
type node struct {
	n                   int
	member, router, up  bool
	seeds, setting      []netip.AddrPort
	directory           *kcwdirectory.Directory
	remembered          []kcwdirectory.Host
	busyUntil, nextTell time.Time
	found               bool
}

// model is a fleet of members, hosts without a disk and routers, with cuts.
type model struct {
	rand    *rand.Rand
	now     time.Time
	nodes   []*node
	control int
	members int
	cut     map[[2]int]bool
	leader  *node
	electAt time.Time
}

func newModel(seed uint64) *model {
	m := &model{rand: rand.New(rand.NewPCG(seed, 1)), now: start, cut: map[[2]int]bool{}}
	m.control = 3 + m.rand.IntN(modelMostHost-2)
	m.members = 3
	if m.control >= 6 && m.rand.IntN(2) == 0 {
		m.members = 5
	}
	for n := range m.control + modelRouters {
		m.nodes = append(m.nodes, &node{n: n, member: n < m.members, router: n >= m.control})
	}
	seeds := []netip.AddrPort{at(0), at(1), at(2)}
	for _, x := range m.nodes {
		x.setting = seeds
		m.boot(x)
	}
	return m
}

// boot starts a process that knows its settings, and where there is a disk what it
// kept there.
func (m *model) boot(x *node) {
	self := at(x.n)
	if x.router {
		self = netip.AddrPort{}
	}
	x.directory = newDirectory(self)
	x.seeds = x.setting
	x.directory.SetSeeds(x.seeds)
	if x.member {
		for n := range m.members {
			x.directory.Merge(kcwdirectory.View{Hosts: []kcwdirectory.Host{{Address: at(n), Member: true, Age: time.Minute}}}, m.now)
		}
		x.directory.Merge(kcwdirectory.View{Hosts: x.remembered}, m.now)
	}
	x.up, x.found, x.busyUntil, x.nextTell = true, false, m.now, m.now
}

func (m *model) reaches(a, b *node) bool {
	return a.up && b.up && !m.cut[[2]int{min(a.n, b.n), max(a.n, b.n)}]
}

// majority reports whether x reaches more than half of the members.
func (m *model) majority(x *node) bool {
	reached := 0
	for _, y := range m.nodes[:m.members] {
		if y == x && x.up || y != x && m.reaches(x, y) {
			reached++
		}
	}
	return 2*reached > m.members
}

// elect keeps a leader that reaches a majority, or elects one after a while.
func (m *model) elect() {
	if m.leader != nil && m.majority(m.leader) {
		return
	}
	if m.leader != nil {
		m.leader, m.electAt = nil, m.now.Add(electionTime)
	}
	if m.now.Before(m.electAt) {
		return
	}
	for _, i := range m.rand.Perm(m.members) {
		if m.majority(m.nodes[i]) {
			m.leader = m.nodes[i]
			return
		}
	}
}

// refresh has a member note what it knows from the replicated log.
func (m *model) refresh(x *node) {
	if !x.member || m.leader == nil || x != m.leader && !m.reaches(x, m.leader) {
		return
	}
	view := kcwdirectory.View{Leader: at(m.leader.n)}
	for n := range m.members {
		view.Hosts = append(view.Hosts, kcwdirectory.Host{Address: at(n), Member: true})
	}
	x.directory.Merge(view, m.now)
}

// tell has a host that serves the core announce what it knows.
func (m *model) tell(x *node) {
	if !x.up || x.router || m.now.Before(x.nextTell) {
		return
	}
	pause := steadyPause
	if !x.directory.Leader(m.now).IsValid() {
		pause = searchPause
	}
	x.nextTell = m.now.Add(pause)
	for _, address := range x.directory.AnnounceTargets(x == m.leader, m.now) {
		y := m.nodes[address.Addr().As4()[3]]
		if !m.reaches(x, y) || y.router {
			continue
		}
		m.refresh(y)
		y.directory.Merge(x.directory.View(m.now), m.now)
		y.directory.RecordContact(at(x.n), m.now)
		x.directory.Merge(y.directory.View(m.now), m.now)
		x.directory.RecordContact(at(y.n), m.now)
	}
	x.remembered = x.directory.View(m.now).Hosts
}

// search has a router call the host that it takes for the leader.
func (m *model) search(x *node) {
	if !x.up || !x.router || m.now.Before(x.busyUntil) {
		return
	}
	x.busyUntil = m.now.Add(searchPause)
	x.found = false
	for range routerTries {
		address := x.directory.Next(m.now)
		if !address.IsValid() {
			return
		}
		y := m.nodes[address.Addr().As4()[3]]
		switch {
		case y == m.leader && m.reaches(x, y):
			x.found = true
			m.refresh(y)
			x.directory.Merge(y.directory.View(m.now), m.now)
			return
		case !m.reaches(x, y):
			x.directory.RecordFailure(address, m.now)
			x.busyUntil = m.now.Add(searchPause + deadCall)
			return
		}
		x.directory.RecordFailure(address, m.now)
		m.refresh(y)
		if leader := y.directory.Leader(m.now); leader.IsValid() && leader != address {
			x.directory.Merge(kcwdirectory.View{Leader: leader}, m.now)
		}
		x.directory.Merge(kcwdirectory.View{Hosts: y.directory.View(m.now).Hosts}, m.now)
	}
}

func (m *model) run(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); m.now = m.now.Add(step) {
		m.elect()
		for _, x := range m.nodes {
			if x.up {
				m.refresh(x)
			}
			m.tell(x)
			m.search(x)
		}
	}
}

// disturb makes one random disturbance.
func (m *model) disturb() string {
	x := m.nodes[m.rand.IntN(len(m.nodes))]
	switch m.rand.IntN(7) {
	case 0, 1:
		// The seeds are exchanged for others that serve control; running processes
		// see it or don't.
		var seeds []netip.AddrPort
		for _, n := range m.rand.Perm(m.control)[:3] {
			seeds = append(seeds, at(n))
		}
		late := m.rand.IntN(4)
		for _, y := range m.nodes {
			if late == 0 && m.rand.IntN(3) == 0 {
				continue
			}
			y.setting = seeds
			if m.rand.IntN(2) == 0 {
				y.seeds = seeds
				y.directory.SetSeeds(seeds)
			}
		}
		return "exchange"
	case 2:
		for _, y := range m.nodes {
			m.boot(y)
		}
		m.leader, m.electAt = nil, m.now.Add(electionTime)
		return "power"
	case 3:
		x.up = false
		return fmt.Sprintf("stop %d", x.n)
	case 4:
		m.boot(x)
		return fmt.Sprintf("boot %d", x.n)
	case 5:
		for _, y := range m.nodes {
			m.cut[[2]int{min(x.n, y.n), max(x.n, y.n)}] = true
		}
		return fmt.Sprintf("cut %d", x.n)
	}
	clear(m.cut)
	return "heal"
}

// settle ends all cuts, starts members until a majority runs, and starts the
// routers.
func (m *model) settle() {
	clear(m.cut)
	up := 0
	for _, x := range m.nodes[:m.members] {
		if x.up {
			up++
		}
	}
	for _, x := range m.nodes {
		if x.up {
			continue
		}
		if x.router || x.member && 2*up <= m.members {
			m.boot(x)
			up++
		}
	}
}

// connected returns the processes that are linked to a running member by what
// they know: by settings, memory or disk, in either direction.
func (m *model) connected() map[int]bool {
	known := map[int]bool{}
	for _, x := range m.nodes[:m.members] {
		if x.up {
			known[x.n] = true
		}
	}
	for grown := true; grown; {
		grown = false
		for _, x := range m.nodes {
			if !x.up {
				continue
			}
			var names []netip.AddrPort
			for _, h := range x.directory.View(m.now).Hosts {
				names = append(names, h.Address)
			}
			for _, address := range append(names, x.seeds...) {
				y := m.nodes[address.Addr().As4()[3]]
				// Nobody calls a router.
				if !y.up || known[x.n] == known[y.n] || known[x.n] && y.router || known[x.n] && x.router {
					continue
				}
				known[x.n], known[y.n] = true, true
				grown = true
			}
		}
	}
	return known
}

// TestFound plays random exchanges of seeds, losses of power, stops and cuts, and
// checks that afterwards every router that is linked to a running member finds the
// leader within findWithin.
func TestFound(t *testing.T) {
	const seeds = 500
	exercised := 0
	for seed := range uint64(seeds) {
		m := newModel(seed)
		m.run(time.Duration(m.rand.IntN(3000)) * time.Millisecond)
		var history []string
		for range 1 + m.rand.IntN(8) {
			history = append(history, m.disturb())
			m.run(time.Duration(m.rand.IntN(4000)) * time.Millisecond)
		}
		m.settle()
		linked := m.connected()
		m.run(findWithin)
		for _, x := range m.nodes[m.control:] {
			if !linked[x.n] {
				continue
			}
			exercised++
			if !x.found {
				t.Fatalf("seed %d: router %d has not found the leader %v after %v: %v", seed, x.n, m.leader != nil, findWithin, history)
			}
		}
	}
	if exercised < seeds {
		t.Errorf("only %d routers were linked to a member", exercised)
	}
}

// TestFoundBehindRedirectors checks the day on which the seeds of all were exchanged
// for hosts without a disk, and then all hosts lost their power.
func TestFoundBehindRedirectors(t *testing.T) {
	m := newModel(0)
	for m.control < m.members+3 {
		m = newModel(m.rand.Uint64())
	}
	m.run(3 * time.Second)
	for _, x := range m.nodes {
		x.setting = []netip.AddrPort{at(m.members), at(m.members + 1), at(m.members + 2)}
		m.boot(x)
	}
	m.leader, m.electAt = nil, m.now.Add(electionTime)
	m.run(3 * time.Second)
	for _, x := range m.nodes[m.control:] {
		if !x.found {
			t.Errorf("router %d has not found the leader", x.n)
		}
	}
}
