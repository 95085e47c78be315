package main

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"

	"google.golang.org/protobuf/proto"

	"kingcupwick.example/kcw-ledger/kcwsetup"
	"kingcupwick.example/kcw/kcwfolder"
	"kingcupwick.example/kcw/kcwpb"
)

// Directions of a forwarder, from the side that connects.
const (
	there = iota
	back
)

// forwarder joins its connections to target. What a held direction carries
// arrives after the hold, as bytes that a network sends again do; the end of a
// connection is held up too.
type forwarder struct {
	listener net.Listener

	mu      sync.Mutex
	changed *sync.Cond
	target  netip.AddrPort
	held    [2]bool
	refuse  bool
	pipes   map[*pipe]bool
}

// pipe is one joined connection. Silent is permanent.
type pipe struct {
	ends   [2]net.Conn
	silent bool
	closed bool
}

// newForwarder returns a forwarder without a target that ends with the test.
func newForwarder(tb testing.TB) *forwarder {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	f := &forwarder{listener: listener, pipes: map[*pipe]bool{}}
	f.changed = sync.NewCond(&f.mu)
	go f.accept()
	tb.Cleanup(func() {
		_ = listener.Close()
		f.drop(true)
	})
	return f
}

func (f *forwarder) address() netip.AddrPort {
	return f.listener.Addr().(*net.TCPAddr).AddrPort()
}

// aim makes target what new connections are joined to.
func (f *forwarder) aim(target netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.target = target
}

func (f *forwarder) accept() {
	for {
		conn, err := f.listener.Accept()
		if err != nil {
			return
		}
		go f.join(conn)
	}
}

func (f *forwarder) join(conn net.Conn) {
	f.mu.Lock()
	target := f.target
	f.mu.Unlock()
	far, err := net.Dial("tcp", target.String())
	if err != nil {
		_ = conn.Close()
		return
	}
	p := &pipe{ends: [2]net.Conn{conn, far}}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refuse {
		p.close()
		return
	}
	f.pipes[p] = true
	go f.carry(p, there)
	go f.carry(p, back)
}

// close is called with the forwarder's mutex held.
func (p *pipe) close() {
	p.closed = true
	_ = p.ends[there].Close()
	_ = p.ends[back].Close()
}

// carry passes on one direction of p until an end of it is closed.
func (f *forwarder) carry(p *pipe, direction int) {
	const size = 32 << 10
	buffer := make([]byte, size)
	for {
		n, err := p.ends[direction].Read(buffer)
		f.await(p, direction)
		if err == nil {
			_, err = p.ends[1-direction].Write(buffer[:n])
		}
		if err != nil {
			f.mu.Lock()
			p.close()
			delete(f.pipes, p)
			f.changed.Broadcast()
			f.mu.Unlock()
			return
		}
	}
}

// await returns when direction of p is open or p is closed.
func (f *forwarder) await(p *pipe, direction int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for (f.held[direction] || p.silent) && !p.closed {
		f.changed.Wait()
	}
}

// hold lets nothing pass in the directions set, on old and new connections.
func (f *forwarder) hold(onThere, onBack bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.held = [2]bool{onThere, onBack}
	f.changed.Broadcast()
}

// hush makes the open connections silent permanently. New ones work.
func (f *forwarder) hush() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for p := range f.pipes {
		p.silent = true
	}
}

// drop closes all connections, and new ones at once if refuse is set.
func (f *forwarder) drop(refuse bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refuse = refuse
	for p := range f.pipes {
		p.close()
	}
	f.changed.Broadcast()
}

// heal undoes hold and drop.
func (f *forwarder) heal() {
	f.hold(false, false)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refuse = false
}

// count returns the number of connections.
func (f *forwarder) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.pipes)
}

// linkedFleet is a fleet whose replicas reach each other through a forwarder
// for each sender and receiver, and are reached by clients through doors, whose
// addresses are those that the replicas announce. Each start of a replica
// listens at a new port.
type linkedFleet struct {
	*fleet
	listen []netip.AddrPort
	doors  []*forwarder
	links  [][]*forwarder
	tune   func(*kcwsetup.Settings)
}

// newLinkedFleet founds a ledger of n replicas that end with the test. Tune, if
// not nil, changes the settings of each.
func newLinkedFleet(tb testing.TB, n int, tune func(*kcwsetup.Settings)) *linkedFleet {
	tb.Helper()
	f := &linkedFleet{fleet: &fleet{}, listen: make([]netip.AddrPort, n), tune: tune}
	for i := range n {
		f.doors = append(f.doors, newForwarder(tb))
		f.addresses = append(f.addresses, f.doors[i].address())
		var links []*forwarder
		for range n {
			links = append(links, newForwarder(tb))
		}
		f.links = append(f.links, links)
	}
	for i := range f.listen {
		f.members = append(f.members, f.startLinked(tb, i, tb.TempDir()))
	}
	return f
}

// startLinked runs replica i on folder.
func (f *linkedFleet) startLinked(tb testing.TB, i int, folder string) *member {
	tb.Helper()
	opened, err := kcwfolder.Open(kcwfolder.Config{Path: folder})
	if err != nil {
		tb.Fatal(err)
	}
	settings := f.settings(i, folder)
	if f.tune != nil {
		f.tune(settings)
	}
	r, err := newReplica(settings, testKeys, opened, f.route(i))
	if err != nil {
		tb.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	f.listen[i] = listener.Addr().(*net.TCPAddr).AddrPort()
	f.doors[i].aim(f.listen[i])
	for _, links := range f.links {
		links[i].aim(f.listen[i])
	}
	m := &member{replica: r, server: r.serverOn(listener)}
	go func() { _ = m.server.Start(context.Background()) }()
	tb.Cleanup(m.stop)
	return m
}

// route sends what replica from has for another one over their forwarder.
func (f *linkedFleet) route(from int) route {
	return func(to *kcwpb.Member) *kcwpb.Member {
		for i, address := range f.addresses {
			if address.String() == to.Address {
				linked := proto.Clone(to).(*kcwpb.Member)
				linked.Address = f.links[from][i].address().String()
				return linked
			}
		}
		return to
	}
}

// between calls do with each forwarder from and to replica i.
func (f *linkedFleet) between(i int, do func(*forwarder)) {
	for j := range f.links {
		if j != i {
			do(f.links[i][j])
			do(f.links[j][i])
		}
	}
}

// isolate silences the links of replica i with the other replicas.
func (f *linkedFleet) isolate(i int) {
	f.between(i, func(l *forwarder) { l.hold(true, true) })
}

// healAll heals every link and door.
func (f *linkedFleet) healAll() {
	for i, door := range f.doors {
		door.heal()
		f.between(i, (*forwarder).heal)
	}
}

// leaderBut returns the replica that leads, other than i.
func (f *linkedFleet) leaderBut(tb testing.TB, i int) int {
	tb.Helper()
	leads := 0
	await(tb, "another replica leads", func() bool {
		for j, m := range f.members {
			status := m.group.Status()
			if j != i && status.Leader == status.Id && status.Role == "leader" && m.group.Fresh() {
				leads = j
				return true
			}
		}
		return false
	})
	return leads
}
