// Package kcwlistener implements a listener with injectable faults: it can refuse
// connections, or accept them without ever reading from them.
package kcwlistener

import (
	"fmt"
	"net"
	"net/netip"
	"sync"

	"github.com/rotisserie/eris"
)

// Kind classifies an Error.
type Kind int

// Listen means that listening at the address failed.
const Listen Kind = 1

// Error is the error type of this package.
type Error struct {
	Op      string
	Kind    Kind
	Address netip.AddrPort
	Err     error
}

// Error describes the failure.
func (e *Error) Error() string { return fmt.Sprintf("kcwlistener: %s %s: %v", e.Op, e.Address, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Listener is a net.Listener whose faults the server that uses it can't detect.
type Listener struct {
	address      netip.AddrPort
	mu           sync.Mutex
	stateChanged *sync.Cond
	inner        net.Listener
	closed       bool
	ignore       bool
	// held are the connections that were accepted while ignore was set. They
	// are never read.
	held []net.Conn
	// served are the open connections that Accept has returned.
	served map[*conn]bool
}

// New listens at address. Port zero selects a free port, which stays the same
// when Set reopens the listener. The error is an *Error.
func New(address netip.AddrPort) (*Listener, error) {
	inner, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, &Error{Op: "new", Kind: Listen, Address: address, Err: eris.Wrap(err, "listen")}
	}
	l := &Listener{address: inner.Addr().(*net.TCPAddr).AddrPort(), inner: inner, served: map[*conn]bool{}}
	l.stateChanged = sync.NewCond(&l.mu)
	return l, nil
}

// Set makes the listener refuse or ignore new connections, or neither. Refusing
// also closes the open connections, as an exit of the process would. Set returns
// an *Error if it can't listen at the address again, for example because another
// process has bound it in the meantime.
func (l *Listener) Set(refuse, ignore bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ignore = ignore
	if !ignore {
		l.closeHeld()
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
		l.stateChanged.Broadcast()
	}
	return nil
}

// Accept waits for a connection to serve. After Close it returns net.ErrClosed.
// Any other error comes from accepting at the open socket.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.awaitOpen()
		if err != nil {
			return nil, err
		}
		accepted, err := inner.Accept()
		if err != nil {
			if l.isCurrent(inner) {
				return nil, err
			}
			continue
		}
		if served := l.register(accepted); served != nil {
			return served, nil
		}
	}
}

// Close stops Accept and closes the connections that were ignored.
func (l *Listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.closeHeld()
	l.stateChanged.Broadcast()
	if l.inner != nil {
		l.inner.Close()
		l.inner = nil
	}
	return nil
}

// Addr returns the listener's address, also while connections are refused.
func (l *Listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }

// awaitOpen waits until the socket is open and returns it. After Close it
// returns net.ErrClosed.
func (l *Listener) awaitOpen() (net.Listener, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.inner == nil && !l.closed {
		l.stateChanged.Wait()
	}
	if l.closed {
		return nil, net.ErrClosed
	}
	return l.inner, nil
}

func (l *Listener) isCurrent(inner net.Listener) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inner == inner
}

// register returns the connection to serve, or nil if connections are ignored.
func (l *Listener) register(accepted net.Conn) net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ignore {
		l.held = append(l.held, accepted)
		return nil
	}
	c := &conn{Conn: accepted, listener: l}
	l.served[c] = true
	return c
}

func (l *Listener) closeHeld() {
	for _, held := range l.held {
		held.Close()
	}
	l.held = nil
}

// conn is a connection that removes itself from served when it is closed.
type conn struct {
	net.Conn
	listener *Listener
}

// Close closes the connection.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.served, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
