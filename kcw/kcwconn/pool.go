// Package kcwconn holds the kept connections to one upstream.
//
// net/http's Transport is not used towards upstreams: it sends a request again
// by itself on a stale connection, and gives a surplus answer to the next
// request. Here each connection carries one request at a time, the owner says
// whether it may be used again, and nothing is ever sent twice.
package kcwconn

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// readBuffer is the size of a connection's read buffer in bytes: some events or
// the header of an answer.
const readBuffer = 4 << 10

// Config configures a Pool.
type Config struct {
	// Address is the upstream's IP and port.
	Address netip.AddrPort
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// SilenceTimeout is how long sent bytes may stay without acknowledgement
	// before the connection is given up.
	SilenceTimeout time.Duration
	// IdleTimeout bounds how long a connection is kept without use, unless the
	// upstream states a shorter time.
	IdleTimeout time.Duration
	// MaxIdle bounds the connections kept without use.
	MaxIdle int
	// Now is the clock.
	Now func() time.Time
}

// Kind classifies an Error.
type Kind int

// Kinds of errors.
const (
	// Dial means that no connection could be opened, so that nothing was sent.
	Dial Kind = iota + 1
	// HeadTooLarge means that the upstream sent more than the bound of a head.
	HeadTooLarge
)

// Error is the error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error describes the failure.
func (e *Error) Error() string { return "kcwconn: " + e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Conn is one connection with its read buffer. It is used by one request at a
// time.
type Conn struct {
	net.Conn
	Reader *bufio.Reader
	// Reused says that the connection has carried a request before.
	Reused bool
	source *source
	idleAt time.Time
	until  time.Time
}

// source reads from a connection. While a head is read it stops at a bound, since
// http.ReadResponse has none.
type source struct {
	conn    net.Conn
	bounded bool
	left    int64
}

var errHead = errors.New("the head of an answer does not end")

// Read implements io.Reader.
func (s *source) Read(p []byte) (int, error) {
	if !s.bounded {
		return s.conn.Read(p)
	}
	if s.left <= 0 {
		return 0, &Error{Op: "read", Kind: HeadTooLarge, Err: errHead}
	}
	n, err := s.conn.Read(p[:min(int64(len(p)), s.left)])
	s.left -= int64(n)
	return n, err
}

// LimitHead lets Reader read no more than so many bytes from the network until
// LiftHeadLimit is called. Bytes that are buffered count as read.
func (c *Conn) LimitHead(bytes int64) { c.source.bounded, c.source.left = true, bytes }

// LiftHeadLimit ends the bound of BoundHead.
func (c *Conn) LiftHeadLimit() { c.source.bounded = false }

// Pool keeps connections to one upstream. It is safe for concurrent use.
type Pool struct {
	cfg    Config
	dialer net.Dialer

	mu     sync.Mutex
	idle   []*Conn
	opened int64
	closed bool
}

// New returns an empty pool.
func New(cfg Config) *Pool {
	p := &Pool{cfg: cfg}
	p.dialer = net.Dialer{
		Timeout: cfg.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: cfg.SilenceTimeout, Interval: cfg.SilenceTimeout, Count: 2,
		},
		Control: func(_, _ string, raw syscall.RawConn) error { return limitSilence(raw, cfg.SilenceTimeout) },
	}
	return p
}

// limitSilence sets TCP_USER_TIMEOUT, by which the kernel gives up a connection
// whose peer stays silent.
func limitSilence(raw syscall.RawConn, timeout time.Duration) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}

// Take returns a kept connection that was used after usedAfter, or opens one.
// The error is an *Error of kind Dial.
func (p *Pool) Take(ctx context.Context, usedAfter time.Time) (*Conn, error) {
	if c := p.kept(usedAfter); c != nil {
		return c, nil
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", p.cfg.Address.String())
	if err != nil {
		return nil, &Error{Op: "take", Kind: Dial, Err: eris.Wrap(err, "dial")}
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	from := &source{conn: raw}
	return &Conn{Conn: raw, Reader: bufio.NewReaderSize(from, readBuffer), source: from}, nil
}

// kept takes the connection that was used last, since that is the least likely
// to be stale, and closes those whose time is over.
func (p *Pool) kept(usedAfter time.Time) *Conn {
	now := p.cfg.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	live := p.idle[:0]
	for _, c := range p.idle {
		if now.Before(c.until) {
			live = append(live, c)
			continue
		}
		_ = c.Close()
	}
	p.idle = live
	last := len(live) - 1
	if last < 0 || live[last].idleAt.Before(usedAfter) {
		return nil
	}
	c := live[last]
	p.idle = live[:last]
	c.Reused = true
	return c
}

// Put keeps c for later requests, at most until the time given if it is not
// zero. Bytes that were read ahead belong to no request, so that a connection
// with some is closed.
func (p *Pool) Put(c *Conn, until time.Time) {
	now := p.cfg.Now()
	c.idleAt = now
	c.until = now.Add(p.cfg.IdleTimeout)
	if !until.IsZero() && until.Before(c.until) {
		c.until = until
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || c.Reader.Buffered() > 0 || len(p.idle) >= p.cfg.MaxIdle || !now.Before(c.until) {
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// Opened returns the number of connections opened so far.
func (p *Pool) Opened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Close closes the kept connections; those in use are closed when they are put
// back.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}
