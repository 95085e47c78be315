// Package kcwcrowd sends to a server as crowds of clients do that are not controlled: bodies that
// stop short of their end, heads of very many fields, requests ahead without reading the answers,
// slow senders and readers. It observes the process meanwhile. It is for tests on loopback
// addresses.
package kcwcrowd

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Minute
	// redialPause is the time after which a client whose connection was closed opens another.
	redialPause = 500 * time.Millisecond
	// begunAfter is how long after its connection was opened a client counts as begun that sends
	// slowly or without end.
	begunAfter = time.Second
)

// Crowd is a number of clients of one kind that send until it is ended. A client whose
// connection is closed opens another.
type Crowd struct {
	kind    Kind
	target  *Target
	ended   chan struct{}
	clients sync.WaitGroup
	// begun counts the clients that have sent once or were closed, and sent the connections
	// on which all was sent.
	begun, sent atomic.Int64
}

// Start starts a crowd. The caller ends it.
func Start(kind Kind, target *Target) *Crowd {
	c := &Crowd{kind: kind, target: target, ended: make(chan struct{})}
	for range kind.Clients {
		c.clients.Go(c.run)
	}
	return c
}

// HasBegun reports whether all clients have sent once or were closed.
func (c *Crowd) HasBegun() bool { return c.begun.Load() == int64(c.kind.Clients) }

// Sent returns the number of connections on which all was sent.
func (c *Crowd) Sent() int64 { return c.sent.Load() }

// End closes the connections of all clients.
func (c *Crowd) End() {
	close(c.ended)
	c.clients.Wait()
}

func (c *Crowd) run() {
	var begun sync.Once
	for {
		c.connect(func() { begun.Do(func() { c.begun.Add(1) }) })
		begun.Do(func() { c.begun.Add(1) })
		select {
		case <-c.ended:
			return
		case <-time.After(redialPause):
		}
	}
}

// connect opens a connection, sends on it and returns when it is closed or the crowd ends. It
// calls begun once something was sent.
func (c *Crowd) connect(begun func()) {
	conn, err := net.DialTimeout("tcp", c.target.Address, dialTimeout)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if !c.kind.Reads {
		// The answers must not fit into the client's buffer.
		_ = conn.(*net.TCPConn).SetReadBuffer(chunkBytes)
	}
	closed := make(chan struct{})
	go func() {
		c.read(conn)
		close(closed)
	}()
	go func() {
		if c.kind.Send(conn, c.target) == nil {
			c.sent.Add(1)
		}
		begun()
	}()
	timer := time.AfterFunc(begunAfter, begun)
	defer timer.Stop()
	select {
	case <-c.ended:
	case <-closed:
	}
}

// read reads until the connection is closed.
func (c *Crowd) read(conn net.Conn) {
	if c.kind.Reads {
		_, _ = io.Copy(io.Discard, conn)
		return
	}
	var buffer [1]byte
	for {
		if _, err := conn.Read(buffer[:]); err != nil {
			return
		}
		select {
		case <-c.ended:
			return
		case <-time.After(slowPause):
		}
	}
}
