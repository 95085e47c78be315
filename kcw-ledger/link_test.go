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

// Directions of a forwarded connection.
const (
	toTarget = iota
	toClient
)

// forwarder forwards its connections to target. Bytes in a blocked direction
// arrive after the block ends, like bytes that TCP retransmits. The close of a
// connection is delayed in the same way.
type forwarder struct {
	listener net.Listener

	mu      sync.Mutex
	changed *sync.Cond
	target  netip.AddrPort
	blocked [2]bool
	refuse  bool
	pipes   map[*pipe]bool
}

// pipe is one forwarded connection. A stalled pipe passes nothing on until it is
// closed.
type pipe struct {
	ends    [2]net.Conn // Indexed by the direction of the bytes that are read from the end.
	stalled bool
	closed  bool
}

// newForwarder returns a forwarder without a target. It stops when the test ends.
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
		f.closeAll(true)
	})
	return f
}

func (f *forwarder) address() netip.AddrPort {
	return f.listener.Addr().(*net.TCPAddr).AddrPort()
}

// setTarget sets the address to which new connections are forwarded.
func (f *forwarder) setTarget(target netip.AddrPort) {
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
		go f.forward(conn)
	}
}

func (f *forwarder) forward(conn net.Conn) {
	f.mu.Lock()
	target := f.target
	f.mu.Unlock()
	remote, err := net.Dial("tcp", target.String())
	if err != nil {
		_ = conn.Close()
		return
	}
	p := &pipe{ends: [2]net.Conn{conn, remote}}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refuse {
		p.close()
		return
	}
	f.pipes[p] = true
	go f.copyDirection(p, toTarget)
	go f.copyDirection(p, toClient)
}

// close is called with the forwarder's mutex held.
func (p *pipe) close() {
	p.closed = true
	_ = p.ends[toTarget].Close()
	_ = p.ends[toClient].Close()
}

// copyDirection forwards one direction of p until one of its ends is closed.
func (f *forwarder) copyDirection(p *pipe, direction int) {
	const size = 32 << 10
	buffer := make([]byte, size)
	for {
		n, err := p.ends[direction].Read(buffer)
		f.awaitUnblocked(p, direction)
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

// awaitUnblocked waits until direction of p isn't blocked or p is closed.
func (f *forwarder) awaitUnblocked(p *pipe, direction int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for (f.blocked[direction] || p.stalled) && !p.closed {
		f.changed.Wait()
	}
}

// block sets whether each direction is blocked, on open and new connections.
func (f *forwarder) block(requests, answers bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.blocked = [2]bool{requests, answers}
	f.changed.Broadcast()
}

// stall permanently stops the open connections from passing anything on. New
// connections work.
func (f *forwarder) stall() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for p := range f.pipes {
		p.stalled = true
	}
}

// closeAll closes all connections. While refuse is set, new ones are closed at
// once too.
func (f *forwarder) closeAll(refuse bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refuse = refuse
	for p := range f.pipes {
		p.close()
	}
	f.changed.Broadcast()
}

// heal undoes block and closeAll.
func (f *forwarder) heal() {
	f.block(false, false)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refuse = false
}

// count returns the number of open connections.
func (f *forwarder) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.pipes)
}

// linkedFleet is a fleet in which all traffic passes through forwarders: one for
// each pair of a sending and a receiving replica, and one in front of each
// replica for clients. The replicas announce the addresses of the latter. Each
// start of a replica listens at a new port.
type linkedFleet struct {
	*fleet
	listenAddresses  []netip.AddrPort
	clientForwarders []*forwarder
	links            [][]*forwarder // By sender and receiver.
	tune             func(*kcwsetup.Settings)
}

// newLinkedFleet starts a ledger of n replicas that stop when the test ends.
// If tune is not nil, it changes the settings of each.
func newLinkedFleet(tb testing.TB, n int, tune func(*kcwsetup.Settings)) *linkedFleet {
	tb.Helper()
	f := &linkedFleet{fleet: &fleet{}, listenAddresses: make([]netip.AddrPort, n), tune: tune}
	for i := range n {
		f.clientForwarders = append(f.clientForwarders, newForwarder(tb))
		f.addresses = append(f.addresses, f.clientForwarders[i].address())
		var links []*forwarder
		for range n {
			links = append(links, newForwarder(tb))
		}
		f.links = append(f.links, links)
	}
	for i := range f.listenAddresses {
		f.members = append(f.members, f.startLinked(tb, i, tb.TempDir()))
	}
	return f
}

// startLinked runs replica i with its state in folder.
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
	f.listenAddresses[i] = listener.Addr().(*net.TCPAddr).AddrPort()
	f.clientForwarders[i].setTarget(f.listenAddresses[i])
	for _, links := range f.links {
		links[i].setTarget(f.listenAddresses[i])
	}
	server, err := r.serverOn(listener)
	if err != nil {
		tb.Fatal(err)
	}
	m := &member{replica: r, server: server}
	go func() { _ = m.server.Start(context.Background()) }()
	tb.Cleanup(m.stop)
	return m
}

// route returns the route of the messages that replica from sends: each passes
// through the forwarder for its sender and receiver.
func (f *linkedFleet) route(from int) route {
	return func(to *kcwpb.Member) *kcwpb.Member {
		for i, address := range f.addresses {
			if address.String() == to.Address {
				redirected := proto.Clone(to).(*kcwpb.Member)
				redirected.Address = f.links[from][i].address().String()
				return redirected
			}
		}
		return to
	}
}

// forEachLink calls do with each forwarder between replica i and the others.
func (f *linkedFleet) forEachLink(i int, do func(*forwarder)) {
	for j := range f.links {
		if j != i {
			do(f.links[i][j])
			do(f.links[j][i])
		}
	}
}

// isolate blocks both directions of every link between replica i and the others.
func (f *linkedFleet) isolate(i int) {
	f.forEachLink(i, func(l *forwarder) { l.block(true, true) })
}

// healAll heals every link and client forwarder.
func (f *linkedFleet) healAll() {
	for i, client := range f.clientForwarders {
		client.heal()
		f.forEachLink(i, (*forwarder).heal)
	}
}

// leaderOtherThan waits until a replica other than i leads, and returns its index.
func (f *linkedFleet) leaderOtherThan(tb testing.TB, i int) int {
	tb.Helper()
	leader := 0
	await(tb, "another replica leads", func() bool {
		for j, m := range f.members {
			status := m.group.Status()
			if j != i && status.Leader == status.Id && status.Role == "leader" && m.group.Fresh() {
				leader = j
				return true
			}
		}
		return false
	})
	return leader
}
