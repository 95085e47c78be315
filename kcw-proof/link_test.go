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

// link forwards connections and can hold back what passes over them. Bytes
// that are held back are delivered once they are let through, as TCP would
// after a partition.
type link struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	open     *sync.Cond
	pipes    []*pipe
	// cut holds new and old connections of the processes in it back.
	cut map[int]direction
	// closed ends everything.
	closed bool
}

// direction is which way bytes are held back.
type direction int

const (
	// outward is from the one that dialled.
	outward direction = 1 << iota
	inward
	both = outward | inward
)

// pipe is one connection through a link.
type pipe struct {
	dialled, target net.Conn
	owner           int
	// silent holds the connection back permanently.
	silent bool
}

func newLink(t *testing.T, address, target netip.AddrPort) *link {
	t.Helper()
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		t.Fatal(err)
	}
	l := &link{listener: listener, target: target.String(), cut: map[int]direction{}}
	l.open = sync.NewCond(&l.mu)
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
		go l.join(dialled)
	}
}

func (l *link) join(dialled net.Conn) {
	p := &pipe{dialled: dialled}
	l.mu.Lock()
	for pid := range l.cut {
		l.claim(p, pid)
	}
	l.pipes = append(l.pipes, p)
	l.mu.Unlock()
	// A connection is not even made while both ways are cut.
	if !l.pass(p, both) {
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
	go l.copy(p, target, dialled, outward)
	l.copy(p, dialled, target, inward)
}

func (l *link) copy(p *pipe, to, from net.Conn, way direction) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if !l.pass(p, way) {
			return
		}
		if _, writeErr := to.Write(buffer[:n]); writeErr != nil || err != nil {
			return
		}
	}
}

// pass waits until bytes may go the way given, or for the case of both ways at
// least one of them. It returns false once the link is closed.
func (l *link) pass(p *pipe, way direction) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for !l.closed && (p.silent || l.cut[p.owner]&way == way) {
		l.open.Wait()
	}
	return !l.closed
}

// hold holds back the connections of a process; heal lets all through again.
func (l *link) hold(owner int, way direction) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[owner] = way
	for _, p := range l.pipes {
		l.claim(p, owner)
	}
}

// claim notes the owner of a connection if it is the process given. Owners are
// looked up when they matter only, since it takes long. The caller holds mu.
func (l *link) claim(p *pipe, pid int) {
	if p.owner == 0 && owns(pid, p.dialled) {
		p.owner = pid
	}
}

func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.cut)
	l.open.Broadcast()
}

// silence holds the present connections of a process back permanently, while new
// ones work.
func (l *link) silence(owner int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.pipes {
		l.claim(p, owner)
		p.silent = p.silent || p.owner == owner
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
	l.open.Broadcast()
}

// owns tells whether the process dialled the connection.
func owns(pid int, conn net.Conn) bool {
	inode := inodeOf(conn.RemoteAddr().(*net.TCPAddr).AddrPort())
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

// inodeOf returns the inode of the socket bound to a local IPv4 address.
func inodeOf(address netip.AddrPort) string {
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
