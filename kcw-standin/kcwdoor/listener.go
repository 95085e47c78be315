// Package kcwdoor holds a listener that can be told to refuse connections or
// to accept them and leave them unread.
package kcwdoor

import (
	"fmt"
	"net"
	"net/netip"
	"sync"

	"github.com/rotisserie/eris"
)

// Kind classifies an Error.
type Kind int

// Listen means that the address can't be listened at.
const Listen Kind = 1

// Error is returned by this package.
type Error struct {
	Op      string
	Kind    Kind
	Address netip.AddrPort
	Err     error
}

// Error describes the failure.
func (e *Error) Error() string { return fmt.Sprintf("kcwdoor: %s %s: %v", e.Op, e.Address, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Listener is a net.Listener for a server that does not notice the faults.
type Listener struct {
	address netip.AddrPort
	mu      sync.Mutex
	changed *sync.Cond
	inner   net.Listener
	closed  bool
	ignore  bool
	// held are connections that were accepted and are never read.
	held []net.Conn
	// served are connections handed to the server and not closed yet.
	served map[*conn]bool
}

// New listens at the address; port zero takes any free port, which is kept
// when the listener is opened again. The error is an *Error.
func New(address netip.AddrPort) (*Listener, error) {
	inner, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, &Error{Op: "new", Kind: Listen, Address: address, Err: eris.Wrap(err, "listen")}
	}
	l := &Listener{address: inner.Addr().(*net.TCPAddr).AddrPort(), inner: inner, served: map[*conn]bool{}}
	l.changed = sync.NewCond(&l.mu)
	return l, nil
}

// Set refuses or ignores connections from now on, or neither. Refusing closes
// the open connections as well, as a process that died would. The error is an
// *Error, met when the address was taken meanwhile.
func (l *Listener) Set(refuse, ignore bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ignore = ignore
	if !ignore {
		l.dropHeld()
	}
	if refuse && l.inner != nil {
		l.inner.Close()
		l.inner = nil
		for c := range l.served {
			c.Conn.Close()
		}
	}
	if !refuse && l.inner == nil && !l.closed {
		inner, err := net.Listen("tcp", l.address.String())
		if err != nil {
			return &Error{Op: "set", Kind: Listen, Address: l.address, Err: eris.Wrap(err, "listen again")}
		}
		l.inner = inner
		l.changed.Broadcast()
	}
	return nil
}

// Accept waits for a connection to serve. It fails after Close only.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.open()
		if err != nil {
			return nil, err
		}
		accepted, err := inner.Accept()
		if err != nil {
			if l.isOpen(inner) {
				return nil, err
			}
			continue
		}
		if served := l.admit(accepted); served != nil {
			return served, nil
		}
	}
}

// Close ends Accept and drops the unread connections.
func (l *Listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.dropHeld()
	l.changed.Broadcast()
	if l.inner != nil {
		l.inner.Close()
		l.inner = nil
	}
	return nil
}

// Addr returns the address that is listened at.
func (l *Listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }

// open waits until the address is listened at.
func (l *Listener) open() (net.Listener, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.inner == nil && !l.closed {
		l.changed.Wait()
	}
	if l.closed {
		return nil, net.ErrClosed
	}
	return l.inner, nil
}

func (l *Listener) isOpen(inner net.Listener) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inner == inner
}

// admit returns the connection to serve, or nil if it is to be left unread.
func (l *Listener) admit(accepted net.Conn) net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ignore {
		l.held = append(l.held, accepted)
		return nil
	}
	c := &conn{Conn: accepted, door: l}
	l.served[c] = true
	return c
}

func (l *Listener) dropHeld() {
	for _, held := range l.held {
		held.Close()
	}
	l.held = nil
}

// conn leaves the listener's table when it is closed.
type conn struct {
	net.Conn
	door *Listener
}

// Close closes the connection.
func (c *conn) Close() error {
	c.door.mu.Lock()
	delete(c.door.served, c)
	c.door.mu.Unlock()
	return c.Conn.Close()
}
