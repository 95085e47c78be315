// Package kcwconn implements a pool of connections to one upstream.
//
// net/http's Transport is not used for requests to upstreams, since it resends a request
// by itself if a connection proves stale, and returns an unexpected second answer as the
// answer to the next request. Here each connection carries one request at a time, the
// caller determines whether a connection is reused, and nothing is sent twice.
package kcwconn

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"kingcupwick.example/kcw/kcwtcpinfo"
)

// readBufferBytes is the size of a connection's read buffer in bytes, enough for several
// events or the header of an answer.
const readBufferBytes = 4 << 10

// maxRequests bounds the requests that one connection carries, and so the memory for their
// identities.
const maxRequests = 256

// maxStatedIdle bounds the time for which a connection stays idle in a pool with a bound on its
// open connections if the upstream states that it keeps the connection longer than IdleTimeout.
const maxStatedIdle = 30 * time.Second

// Config configures a Pool.
type Config struct {
	// Address is the upstream's IP and port.
	Address netip.AddrPort
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
	// ExtraDialTime returns how much longer a connection that is opened now may take, because
	// this host is late. It is optional.
	ExtraDialTime func() time.Duration
	// SilenceTimeout is how long the upstream may acknowledge nothing before its
	// connection is silent. It is also the idle time before the first keep-alive probe
	// and the interval between two probes.
	SilenceTimeout time.Duration
	// AckTimeout is how long sent bytes may stay unacknowledged, or the upstream may
	// accept none, before the connection is closed.
	AckTimeout time.Duration
	// IdleTimeout bounds how long a connection stays idle in the pool. Put may set a
	// shorter time.
	IdleTimeout time.Duration
	// MaxIdle bounds the number of idle connections.
	MaxIdle int
	// Now returns the current time.
	Now func() time.Time
}

// Kind classifies an Error.
type Kind int

// Kinds of errors.
const (
	// Dial means that no connection could be opened. Nothing was sent.
	Dial Kind = iota + 1
	// HeadTooLarge means that more bytes were read for heads than LimitHead allows. A
	// head is a status line with its headers.
	HeadTooLarge
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error describes the failure.
func (e *Error) Error() string { return "kcwconn: " + e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Conn is a connection with its read buffer. It carries one request at a time.
type Conn struct {
	net.Conn
	Reader *bufio.Reader
	// Reused is set if the connection has carried a request before.
	Reused bool
	head   *headReader
	// carried holds the hashes of the identities of the requests that the connection
	// has carried.
	carried []uint64
	// SilentFrom is the earliest time at which the connection may be silent with the request
	// that it carries.
	SilentFrom     time.Time
	silenceTimeout time.Duration
	// idleSince is when the connection was last put into the pool, expiresAt the time
	// from which it may no longer be reused.
	idleSince time.Time
	expiresAt time.Time
	// pool counts the connection as open until it is closed. Pool.mu guards closed.
	pool   *Pool
	closed bool
}

// Close closes the connection. It may be called more than once.
func (c *Conn) Close() error {
	c.pool.mu.Lock()
	c.pool.forget(c)
	c.pool.mu.Unlock()
	return c.Conn.Close()
}

// headReader reads from a connection. It limits the bytes read while a head is read,
// since http.ReadResponse has no limit of its own.
type headReader struct {
	conn      net.Conn
	limited   bool
	remaining int64
}

var errHead = errors.New("the head of an answer does not end")

// Read implements io.Reader.
func (r *headReader) Read(p []byte) (int, error) {
	if !r.limited {
		return r.conn.Read(p)
	}
	if r.remaining <= 0 {
		return 0, &Error{Op: "read", Kind: HeadTooLarge, Err: errHead}
	}
	n, err := r.conn.Read(p[:min(int64(len(p)), r.remaining)])
	r.remaining -= int64(n)
	return n, err
}

// LimitHead limits the number of bytes that Reader reads from the network until
// LiftHeadLimit is called. Bytes that are already in its buffer don't count. A read beyond
// the limit returns an *Error of kind HeadTooLarge.
func (c *Conn) LimitHead(bytes int64) { c.head.limited, c.head.remaining = true, bytes }

// LiftHeadLimit removes the limit that LimitHead has set.
func (c *Conn) LiftHeadLimit() { c.head.limited = false }

// isQuiet reports whether the upstream has neither closed the connection nor sent bytes, which
// belong to no request while the connection is idle. It does not block.
func (c *Conn) isQuiet() bool {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	isQuiet := false
	// Control ignores the deadlines of the last request.
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		isQuiet = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && isQuiet
}

// tcpClose is the state CLOSED of a TCP connection in Linux (TCP_CLOSE in net/tcp_states.h).
const tcpClose = 7

// IsReset reports whether the connection is known to have been reset or closed, rather than
// ended by the upstream alone. The kernel reports a reset once: if a write has got it, a read
// returns io.EOF.
func (c *Conn) IsReset() bool {
	info, err := kcwtcpinfo.Of(c.Conn)
	return err == nil && info.State == tcpClose
}

// unansweredProbes is the number of keep-alive probes without an answer from which on the
// upstream doesn't acknowledge them. The answer to a single one may be on its way.
const unansweredProbes = 2

// IsSilent reports whether at now the upstream has acknowledged nothing for the silence timeout
// although bytes or keep-alive probes were sent. It may be called concurrently with other
// methods.
func (c *Conn) IsSilent(now time.Time) bool {
	if now.Before(c.SilentFrom) {
		return false
	}
	info, err := kcwtcpinfo.Of(c.Conn)
	if err != nil {
		return false
	}
	lastAck := time.Duration(info.Last_ack_recv) * time.Millisecond
	return lastAck >= c.silenceTimeout && (info.Unacked > 0 || info.Probes >= unansweredProbes)
}

// Pool is a pool of connections to one upstream. It is safe for concurrent use.
type Pool struct {
	cfg    Config
	dialer net.Dialer

	mu     sync.Mutex
	idle   []*Conn
	opened int64
	// open is the number of connections that are open or being opened, and maxOpen the number
	// from which on idle ones make room for others, zero for none.
	open, maxOpen int
	closed        bool
}

// New returns an empty pool.
func New(cfg Config) *Pool {
	p := &Pool{cfg: cfg}
	p.dialer = net.Dialer{
		Timeout: cfg.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: cfg.SilenceTimeout, Interval: cfg.SilenceTimeout, Count: maxProbes(cfg),
		},
		Control: func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, cfg.AckTimeout) },
	}
	return p
}

// maxProbes returns the number of keep-alive probes without an answer after which a connection
// is closed. Linux lets the user timeout decide instead (tcp(7)).
func maxProbes(cfg Config) int {
	if cfg.SilenceTimeout <= 0 {
		return unansweredProbes
	}
	return max(unansweredProbes, int(cfg.AckTimeout/cfg.SilenceTimeout))
}

// setUserTimeout sets TCP_USER_TIMEOUT, after which the kernel closes a connection whose
// peer does not acknowledge sent bytes.
func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}

// Take returns an idle connection that was last used at usedAfter or later and has carried
// no request with the given identity, or opens a new one. It opens a new one if identity is
// empty, since an answer to an earlier request can't be told from one to a request without
// an identity. The error is an *Error of kind Dial.
func (p *Pool) Take(ctx context.Context, usedAfter time.Time, identity string) (*Conn, error) {
	hash := xxhash.Sum64String(identity)
	if c := p.takeIdle(usedAfter, identity, hash); c != nil {
		c.carried = append(c.carried, hash)
		c.SilentFrom = p.silentFrom()
		return c, nil
	}
	dialer := p.dialer
	if p.cfg.ExtraDialTime != nil {
		dialer.Timeout += p.cfg.ExtraDialTime()
	}
	p.beginDial()
	raw, err := dialer.DialContext(ctx, "tcp", p.cfg.Address.String())
	p.endDial(err == nil)
	if err != nil {
		return nil, &Error{Op: "take", Kind: Dial, Err: eris.Wrap(err, "dial")}
	}
	reader := &headReader{conn: raw}
	return &Conn{
		Conn: raw, Reader: bufio.NewReaderSize(reader, readBufferBytes), head: reader, carried: []uint64{hash},
		SilentFrom: p.silentFrom(), silenceTimeout: p.cfg.SilenceTimeout, pool: p,
	}, nil
}

// clockTick is the longest period of the clock by which the kernel measures the time since the
// last acknowledgment.
const clockTick = 10 * time.Millisecond

// silentFrom returns the earliest time at which a connection that is taken now may be silent.
func (p *Pool) silentFrom() time.Time { return p.cfg.Now().Add(p.cfg.SilenceTimeout + clockTick) }

// takeIdle takes the most recently used of the idle connections that may carry the request,
// since that is the least likely to be stale. It returns nil if there is none. It closes the
// connections that have expired, and those that it comes upon that are not quiet.
func (p *Pool) takeIdle(usedAfter time.Time, identity string, hash uint64) *Conn {
	now := p.cfg.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeExpired(now)
	if identity == "" {
		return nil
	}
	for i := len(p.idle) - 1; i >= 0 && !p.idle[i].idleSince.Before(usedAfter); i-- {
		c := p.idle[i]
		if slices.Contains(c.carried, hash) {
			continue
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		if !c.isQuiet() || c.IsSilent(now) {
			p.discard(c)
			continue
		}
		c.Reused = true
		return c
	}
	return nil
}

// Put returns c to the pool for later requests, at most until the given time if that is
// not zero. It closes c if its read buffer holds bytes, since those belong to no request, if c
// has carried maxRequests requests, and if more connections are open than SetMaxOpen allows.
func (p *Pool) Put(c *Conn, until time.Time) {
	now := p.cfg.Now()
	c.idleSince = now
	c.expiresAt = now.Add(p.cfg.IdleTimeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.maxOpen > 0 {
		// The bound takes the place of the short time, and the upstream states for how long
		// it keeps the connection.
		c.expiresAt = now.Add(max(p.cfg.IdleTimeout, min(until.Sub(now), maxStatedIdle)))
	}
	if !until.IsZero() && until.Before(c.expiresAt) {
		c.expiresAt = until
	}
	if p.closed || c.Reader.Buffered() > 0 || len(c.carried) >= maxRequests || len(p.idle) >= p.cfg.MaxIdle || !now.Before(c.expiresAt) || p.maxOpen > 0 && p.open > p.maxOpen {
		p.discard(c)
		return
	}
	p.idle = append(p.idle, c)
}

// Opened returns the total number of connections opened.
func (p *Pool) Opened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Close closes the idle connections. Connections in use are closed when they are passed
// to Put.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		p.discard(c)
	}
	p.idle = nil
}
