package kcwlisten

import (
	"errors"
	"net"
	"sync"
	"time"
)

// acceptPause is the time between two attempts to accept after an error, most often because the
// process is out of descriptors. It is short beside what callers wait, and long enough not to
// use up the processor.
const acceptPause = 20 * time.Millisecond

// listener is the listener of a bounded server.
type listener struct {
	net.Listener
	bound  *Bound
	once   sync.Once
	closed chan struct{}
}

// Accept returns the next connection that is not refused. It returns an error only once the
// listener is closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil, err
			}
			l.bound.log("Connection not accepted", err)
			l.bound.closeAll(l.bound.limiter.MakeRoom(time.Now()))
			select {
			case <-l.closed:
				return nil, net.ErrClosed
			case <-time.After(acceptPause):
			}
			continue
		}
		if c := l.bound.open(inner); c != nil {
			return c, nil
		}
	}
}

// Close closes the listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// open adds a connection, or closes it and returns nil if it is refused.
func (b *Bound) open(inner net.Conn) *conn {
	id, victim := b.limiter.Open(time.Now())
	b.closeAll(victim)
	if id == 0 {
		_ = inner.Close()
		b.log("Connections refused", nil)
		return nil
	}
	c := &conn{Conn: inner, bound: b, id: id, evicted: make(chan struct{})}
	b.add(c)
	return c
}
