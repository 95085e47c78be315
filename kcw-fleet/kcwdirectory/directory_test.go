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

// TestNext checks which host is called next: the leader while it is confirmed, and the
// others in turn once it has failed.
func TestNext(t *testing.T) {
	view := kcwdirectory.View{Leader: at(1), Hosts: []kcwdirectory.Host{{Address: at(1), Member: true}, {Address: at(2), Member: true}}}
	for _, test := range []struct {
		name   string
		seeds  []netip.AddrPort
		views  []kcwdirectory.View
		failed []netip.AddrPort
		after  time.Duration
		want   []netip.AddrPort
	}{
		{name: "empty directory", want: []netip.AddrPort{{}}},
		{name: "seeds in turn", seeds: []netip.AddrPort{at(3), at(4)}, want: []netip.AddrPort{at(3), at(4), at(3)}},
		{name: "the leader", seeds: []netip.AddrPort{at(3)}, views: []kcwdirectory.View{view}, want: []netip.AddrPort{at(1), at(1)}},
		{name: "a leader not confirmed", views: []kcwdirectory.View{view}, after: 4 * time.Second, want: []netip.AddrPort{at(1), at(2), at(1)}},
		{name: "a leader that failed", seeds: []netip.AddrPort{at(3)}, views: []kcwdirectory.View{view}, failed: []netip.AddrPort{at(1)}, want: []netip.AddrPort{at(2), at(3), at(1)}},
		{
			name: "an older confirmation of a leader that failed", views: []kcwdirectory.View{view, {Leader: at(1), LeaderAge: time.Second}},
			failed: []netip.AddrPort{at(1)}, want: []netip.AddrPort{at(2), at(1)},
		},
		{name: "the host itself as seed", seeds: []netip.AddrPort{at(9)}, want: []netip.AddrPort{{}}},
		{name: "hosts past their TTL", views: []kcwdirectory.View{view}, after: 11 * time.Minute, want: []netip.AddrPort{at(1), at(1)}},
	} {
		d := newDirectory(at(9))
		d.SetSeeds(test.seeds)
		for i, v := range test.views {
			d.Merge(v, start)
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

// TestNextAfter checks the order of the hosts within one search: members of the newest
// membership, other hosts, hosts that were silent.
func TestNextAfter(t *testing.T) {
	d := newDirectory(at(9))
	d.SetSeeds([]netip.AddrPort{at(6)})
	d.Merge(kcwdirectory.View{Hosts: []kcwdirectory.Host{
		{Address: at(1), Member: true},
		{Address: at(2), Member: true},
		{Address: at(3), Member: true},
		{Address: at(4)},
		{Address: at(5), Member: true, Age: time.Minute},
	}}, start)
	d.RecordSilence(at(1), start)
	var tried []netip.AddrPort
	for range 6 {
		tried = append(tried, d.NextAfter(tried, start))
	}
	if want := []netip.AddrPort{at(2), at(3), at(4), at(5), at(6), at(1)}; !slices.Equal(tried, want) {
		t.Errorf("got %v, want %v", tried, want)
	}
	if next := d.NextAfter(tried, start); next.IsValid() {
		t.Errorf("got %v after all hosts", next)
	}
	d.Merge(kcwdirectory.View{Leader: at(1)}, start.Add(time.Second))
	for _, test := range []struct {
		tried []netip.AddrPort
		want  netip.AddrPort
	}{
		{nil, at(1)},
		{[]netip.AddrPort{at(1)}, at(2)},
	} {
		if next := d.NextAfter(test.tried, start.Add(time.Second)); next != test.want {
			t.Errorf("a leader that was silent, after %v: got %v, want %v", test.tried, next, test.want)
		}
	}
	d.RecordContact(at(1), start.Add(time.Second))
	if next := d.NextAfter([]netip.AddrPort{at(1)}, start.Add(time.Second)); next != at(1) {
		t.Errorf("a leader that answered: got %v", next)
	}
}

// TestAgesAddUp checks that a fact that hosts pass back and forth does not become fresh
// again.
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
		t.Errorf("leader %v is still valid %v after its confirmation", leader, now.Sub(start))
	}
}

// TestBounded checks that the number of remembered hosts is bounded.
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

// TestLeaderKeptWhenFull guards against a process that never calls a new leader, because the
// hosts that it remembers are as many as it may remember.
func TestLeaderKeptWhenFull(t *testing.T) {
	d := newDirectory(at(1))
	d.SetSeeds([]netip.AddrPort{at(2)})
	for n := range 100 {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(n)}), 7000)
		d.Merge(kcwdirectory.View{Hosts: []kcwdirectory.Host{{Address: address, Member: true}}}, start.Add(time.Duration(n)*time.Second))
	}
	now := start.Add(2 * time.Minute)
	d.Merge(kcwdirectory.View{Leader: at(3), Hosts: []kcwdirectory.Host{{Address: at(3), Member: true}}}, now)
	if next := d.NextAfter(nil, now); next != at(3) {
		t.Errorf("the host to call is %v, want the leader %v", next, at(3))
	}
	if n := len(d.View(now).Hosts); n > 64 {
		t.Errorf("%d hosts are kept", n)
	}
	d.RecordFailure(at(3), now)
	var tried []netip.AddrPort
	for i := range 64 {
		tried = append(tried, d.Next(now.Add(time.Duration(i)*time.Second)))
	}
	if !slices.Contains(tried, at(2)) {
		t.Error("the seed is not called")
	}
}

// Times and sizes of the model.
const (
	step            = 50 * time.Millisecond
	electionTimeout = 500 * time.Millisecond
	searchPause     = 250 * time.Millisecond
	steadyPause     = time.Second
	failedCall      = 300 * time.Millisecond
	findWithin      = 8 * time.Second
	maxTries        = 4
	modelRouters    = 4
	modelMaxHosts   = 12
)

// node is one process of the model: a member, a redirector on a host without a disk, or
// a router. configuredSeeds are in its settings file and seeds in force.
type node struct {
	n                       int
	member, router, up      bool
	seeds, configuredSeeds  []netip.AddrPort
	directory               *kcwdirectory.Directory
	storedHosts             []kcwdirectory.Host
	busyUntil, nextAnnounce time.Time
	found                   bool
}

// model is a fleet of members, redirectors and routers with network partitions. Its
// first nodes are the members, the first hosts nodes are those that serve the core.
type model struct {
	rand    *rand.Rand
	now     time.Time
	nodes   []*node
	hosts   int
	members int
	cuts    map[[2]int]bool
	leader  *node
	electAt time.Time
}

func newModel(seed uint64) *model {
	m := &model{rand: rand.New(rand.NewPCG(seed, 1)), now: start, cuts: map[[2]int]bool{}}
	m.hosts = 3 + m.rand.IntN(modelMaxHosts-2)
	m.members = 3
	if m.hosts >= 6 && m.rand.IntN(2) == 0 {
		m.members = 5
	}
	for n := range m.hosts + modelRouters {
		m.nodes = append(m.nodes, &node{n: n, member: n < m.members, router: n >= m.hosts})
	}
	seeds := []netip.AddrPort{at(0), at(1), at(2)}
	for _, x := range m.nodes {
		x.configuredSeeds = seeds
		m.boot(x)
	}
	return m
}

// boot starts a process with the seeds in its settings and, on a host with a disk, the
// stored hosts.
func (m *model) boot(x *node) {
	self := at(x.n)
	if x.router {
		self = netip.AddrPort{}
	}
	x.directory = newDirectory(self)
	x.seeds = x.configuredSeeds
	x.directory.SetSeeds(x.seeds)
	if x.member {
		for n := range m.members {
			x.directory.Merge(kcwdirectory.View{Hosts: []kcwdirectory.Host{{Address: at(n), Member: true, Age: time.Minute}}}, m.now)
		}
		x.directory.Merge(kcwdirectory.View{Hosts: x.storedHosts}, m.now)
	}
	x.up, x.found, x.busyUntil, x.nextAnnounce = true, false, m.now, m.now
}

func (m *model) reaches(a, b *node) bool {
	return a.up && b.up && !m.cuts[[2]int{min(a.n, b.n), max(a.n, b.n)}]
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

// elect keeps a leader that reaches a majority. Otherwise it elects one that does after
// the election timeout.
func (m *model) elect() {
	if m.leader != nil && m.majority(m.leader) {
		return
	}
	if m.leader != nil {
		m.leader, m.electAt = nil, m.now.Add(electionTimeout)
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

// refresh merges the leader and the membership into the view of a member that reaches
// the leader.
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

// announce lets a host that serves the core exchange views with its targets.
func (m *model) announce(x *node) {
	if !x.up || x.router || m.now.Before(x.nextAnnounce) {
		return
	}
	pause := steadyPause
	if !x.directory.Leader(m.now).IsValid() {
		pause = searchPause
	}
	x.nextAnnounce = m.now.Add(pause)
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
	x.storedHosts = x.directory.View(m.now).Hosts
}

// locate lets a router call hosts until the leader answers.
func (m *model) locate(x *node) {
	if !x.up || !x.router || m.now.Before(x.busyUntil) {
		return
	}
	x.busyUntil = m.now.Add(searchPause)
	x.found = false
	var tried []netip.AddrPort
	for range maxTries {
		var address netip.AddrPort
		if len(tried) < maxTries-1 {
			address = x.directory.NextAfter(tried, m.now)
		}
		if !address.IsValid() {
			address = x.directory.Next(m.now)
		}
		tried = append(tried, address)
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
			x.directory.RecordSilence(address, m.now)
			x.busyUntil = m.now.Add(searchPause + failedCall)
			return
		}
		x.directory.RecordFailure(address, m.now)
		x.directory.RecordContact(address, m.now)
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
			m.announce(x)
			m.locate(x)
		}
	}
}

// injectFault makes one random fault or repair and returns its description.
func (m *model) injectFault() string {
	x := m.nodes[m.rand.IntN(len(m.nodes))]
	switch m.rand.IntN(7) {
	case 0, 1:
		// The seeds change to other hosts that serve the core. Some settings files are
		// not updated, and some running processes do not reload theirs.
		var seeds []netip.AddrPort
		for _, n := range m.rand.Perm(m.hosts)[:3] {
			seeds = append(seeds, at(n))
		}
		partial := m.rand.IntN(4)
		for _, y := range m.nodes {
			if partial == 0 && m.rand.IntN(3) == 0 {
				continue
			}
			y.configuredSeeds = seeds
			if m.rand.IntN(2) == 0 {
				y.seeds = seeds
				y.directory.SetSeeds(seeds)
			}
		}
		return "change seeds"
	case 2:
		for _, y := range m.nodes {
			m.boot(y)
		}
		m.leader, m.electAt = nil, m.now.Add(electionTimeout)
		return "power loss"
	case 3:
		x.up = false
		return fmt.Sprintf("stop %d", x.n)
	case 4:
		m.boot(x)
		return fmt.Sprintf("boot %d", x.n)
	case 5:
		for _, y := range m.nodes {
			m.cuts[[2]int{min(x.n, y.n), max(x.n, y.n)}] = true
		}
		return fmt.Sprintf("partition %d", x.n)
	}
	clear(m.cuts)
	return "heal"
}

// repair ends all partitions, starts members until a majority runs, and starts the
// routers.
func (m *model) repair() {
	clear(m.cuts)
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

// connected returns the processes that have a path to a running member in the graph of
// known addresses, taken as undirected. Addresses are known from settings, memory or
// disk.
func (m *model) connected() map[int]bool {
	linked := map[int]bool{}
	for _, x := range m.nodes[:m.members] {
		if x.up {
			linked[x.n] = true
		}
	}
	for grown := true; grown; {
		grown = false
		for _, x := range m.nodes {
			if !x.up {
				continue
			}
			var addresses []netip.AddrPort
			for _, h := range x.directory.View(m.now).Hosts {
				addresses = append(addresses, h.Address)
			}
			for _, address := range append(addresses, x.seeds...) {
				y := m.nodes[address.Addr().As4()[3]]
				// No process calls a router.
				if !y.up || linked[x.n] == linked[y.n] || linked[x.n] && y.router || linked[x.n] && x.router {
					continue
				}
				linked[x.n], linked[y.n] = true, true
				grown = true
			}
		}
	}
	return linked
}

// TestFound injects random changes of seeds, power losses, stops and partitions, and
// checks that after the repair every router that is linked to a running member finds the
// leader within findWithin.
func TestFound(t *testing.T) {
	const seeds = 500
	exercised := 0
	for seed := range uint64(seeds) {
		m := newModel(seed)
		m.run(time.Duration(m.rand.IntN(3000)) * time.Millisecond)
		var history []string
		for range 1 + m.rand.IntN(8) {
			history = append(history, m.injectFault())
			m.run(time.Duration(m.rand.IntN(4000)) * time.Millisecond)
		}
		m.repair()
		linked := m.connected()
		m.run(findWithin)
		for _, x := range m.nodes[m.hosts:] {
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

// TestFoundBehindRedirectors checks that routers find the leader after the seeds of all
// processes were changed to hosts without a disk and then all hosts lost power.
func TestFoundBehindRedirectors(t *testing.T) {
	m := newModel(0)
	for m.hosts < m.members+3 {
		m = newModel(m.rand.Uint64())
	}
	m.run(3 * time.Second)
	for _, x := range m.nodes {
		x.configuredSeeds = []netip.AddrPort{at(m.members), at(m.members + 1), at(m.members + 2)}
		m.boot(x)
	}
	m.leader, m.electAt = nil, m.now.Add(electionTimeout)
	m.run(3 * time.Second)
	for _, x := range m.nodes[m.hosts:] {
		if !x.found {
			t.Errorf("router %d has not found the leader", x.n)
		}
	}
}
