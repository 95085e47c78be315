package proof

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync"
	"testing"
)

// link is a TCP proxy that can simulate a network partition. Bytes sent while a
// connection is blocked are delivered when it is unblocked, as TCP does after a
// partition.
type link struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	changed  *sync.Cond
	pipes    []*pipe
	// blocked holds, by process id, the directions in which all connections of
	// the process are blocked.
	blocked map[int]direction
	// closed is set at the end of the test.
	closed bool
}

// direction is a set of directions in which bytes flow.
type direction int

const (
	// toTarget is the direction from the dialling process to the target.
	toTarget direction = 1 << iota
	fromTarget
	bothDirections = toTarget | fromTarget
)

// pipe is one connection through a link. Its pid is the id of the process that
// dialled, zero if the process is not identified.
type pipe struct {
	dialled, target net.Conn
	pid             int
	// blocked means that the connection stays blocked until the link is closed.
	blocked bool
}

func newLink(t *testing.T, address, target netip.AddrPort) *link {
	t.Helper()
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		t.Fatal(err)
	}
	l := &link{listener: listener, target: target.String(), blocked: map[int]direction{}}
	l.changed = sync.NewCond(&l.mu)
	go l.accept()
	t.Cleanup(l.close)
	return l
}

func (l *link) accept() {
	for {
		dialled, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(dialled)
	}
}

// serve connects to the target and forwards bytes both ways.
func (l *link) serve(dialled net.Conn) {
	p := &pipe{dialled: dialled}
	l.mu.Lock()
	for pid := range l.blocked {
		l.identify(p, pid)
	}
	l.pipes = append(l.pipes, p)
	l.mu.Unlock()
	// The target is not dialled while both directions are blocked.
	if !l.awaitUnblocked(p, bothDirections) {
		dialled.Close()
		return
	}
	target, err := net.Dial("tcp", l.target)
	if err != nil {
		dialled.Close()
		return
	}
	l.mu.Lock()
	p.target = target
	l.mu.Unlock()
	go l.forward(p, target, dialled, toTarget)
	l.forward(p, dialled, target, fromTarget)
}

func (l *link) forward(p *pipe, to, from net.Conn, d direction) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if !l.awaitUnblocked(p, d) {
			return
		}
		if _, writeErr := to.Write(buffer[:n]); writeErr != nil || err != nil {
			return
		}
	}
}

// awaitUnblocked waits while every direction in d is blocked. It returns false
// once the link is closed.
func (l *link) awaitUnblocked(p *pipe, d direction) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for !l.closed && (p.blocked || l.blocked[p.pid]&d == d) {
		l.changed.Wait()
	}
	return !l.closed
}

// block blocks all connections of a process, open and new, in the given
// directions. unblock undoes this for all processes.
func (l *link) block(pid int, d direction) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.blocked[pid] = d
	for _, p := range l.pipes {
		l.identify(p, pid)
	}
}

// identify sets the pid of a connection if the given process opened it. The
// lookup in /proc is slow, so it is made only when a process is blocked. The
// caller holds mu.
func (l *link) identify(p *pipe, pid int) {
	if p.pid == 0 && ownsSocket(pid, p.dialled) {
		p.pid = pid
	}
}

func (l *link) unblock() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.blocked)
	l.changed.Broadcast()
}

// blockExisting blocks the open connections of a process until the link is closed.
// New connections still work.
func (l *link) blockExisting(pid int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.pipes {
		l.identify(p, pid)
		p.blocked = p.blocked || p.pid == pid
	}
}

// cut closes the open connections, so that bytes held back on them are lost.
func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.pipes {
		p.blocked = true
		p.dialled.Close()
		if p.target != nil {
			p.target.Close()
		}
	}
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.listener.Close()
	for _, p := range l.pipes {
		p.dialled.Close()
		if p.target != nil {
			p.target.Close()
		}
	}
	l.changed.Broadcast()
}

// ownsSocket reports whether the process dialled the connection.
func ownsSocket(pid int, conn net.Conn) bool {
	inode := socketInode(conn.RemoteAddr().(*net.TCPAddr).AddrPort())
	folder := fmt.Sprintf("/proc/%d/fd/", pid)
	files, err := os.ReadDir(folder)
	if inode == "" || err != nil {
		return false
	}
	for _, file := range files {
		if name, err := os.Readlink(folder + file.Name()); err == nil && name == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}

// socketInode returns the inode of the socket bound to a local IPv4 address, as
// listed in /proc/net/tcp, or "" if there is none.
func socketInode(address netip.AddrPort) string {
	const localField, inodeField = 1, 9
	ip := address.Addr().Unmap().As4()
	want := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], address.Port())
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	for _, line := range strings.Split(string(table), "\n") {
		fields := strings.Fields(line)
		if len(fields) > inodeField && fields[localField] == want {
			return fields[inodeField]
		}
	}
	return ""
}
