package kcwlisten

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"kingcupwick.example/kcw/kcwconnlimit"
	"kingcupwick.example/kcw/kcwtcpinfo"
)

const (
	// bodyFactorParts of allBodyParts is the memory that a byte of a body takes in a buffer
	// that grows by copying.
	bodyFactorParts, allBodyParts = 3, 2
	// readAheadBytes is the size of the server's buffer, up to which a part of the body or of
	// the next request is read along with a head. http.Server allows as much beyond its own
	// limit.
	readAheadBytes = 4 << 10
	// largePause is the time between two reads of requests that hold more than largeBytes,
	// while requests hold more than half of the memory that they may. Without it, a crowd of
	// clients makes garbage faster than it is collected: 500 heads of 60 kB took 78 MB on a
	// host of 80 MB that may hold 8 MB of heads.
	largePause = 2 * time.Millisecond
	// largeBytes is more than an ordinary caller's head takes as parsed, about 5 kB.
	largeBytes = 16 << 10
	// refusalTimeout bounds the time for which a client may read headTooLarge. It is that of
	// http.Server. RefusalBytes is how much of the rest of the head is read meanwhile.
	refusalTimeout = 500 * time.Millisecond
	refusalBytes   = 256 << 10
)

// headTooLarge is the answer to a head over the limit. It is the one of http.Server.
const headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n431 Request Header Fields Too Large"

// errHeadTooLarge is what the server gets for the rest of such a head. Being the error of a read,
// it makes the server close the connection without an answer of its own.
var errHeadTooLarge = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the head is over the limit")}

// errEvicted is the error of reads of a connection that was closed in favor of others.
var errEvicted = &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}

// conn is a connection of a bounded server. It does not have the method ReadFrom, with which the
// server would write without Write.
type conn struct {
	net.Conn
	bound *Bound
	id    kcwconnlimit.ID
	// evicted is closed by evict.
	evicted chan struct{}
	once    sync.Once

	// mu guards the fields below.
	mu sync.Mutex
	// isHead is set while the server reads a head or waits for one, and isNew until the first
	// head is read. HeadBytes counts the bytes read in that time.
	isHead, isNew bool
	headBytes     int
	// cost is what the request has been charged.
	cost    int64
	scanner headScanner
	// isBody is set while the handler reads the body, or the server its rest.
	isBody bool
	// hasRead is set if bytes were read since the last answer was written, and isAhead if some
	// came before the answer began. Bytes that come in between may have been sent after the
	// client had read the answer. HasWritten is set once the answer has begun.
	hasRead, isAhead, hasWritten bool
	// ahead counts the requests in a row that were sent ahead.
	ahead int
	// bufferedCost is what the bytes of the last read cost that may be those of the next head.
	// deadlines counts the calls of SetReadDeadline since the last answer was complete.
	bufferedCost int64
	deadlines    int
	// frames finds the frames of a connection over HTTP/2. They are charged until isTrusted is set.
	frames    frameScanner
	isTrusted bool
	// readDeadline is the deadline that the server or the handler has set.
	readDeadline time.Time
}

// setState follows the state in which the server is.
func (c *conn) setState(state http.ConnState) {
	switch state {
	case http.StateNew:
		c.beginHead(true)
	case http.StateActive:
		c.mu.Lock()
		c.isHead, c.isNew = false, false
		c.mu.Unlock()
	case http.StateIdle:
		c.beginHead(false)
		c.bound.limiter.Complete(c.id, time.Now())
	case http.StateClosed, http.StateHijacked:
		c.bound.remove(c.id)
	}
}

// trust records that the handler admits the client, over HTTP/2.
func (c *conn) trust() {
	c.mu.Lock()
	cost := c.cost
	c.isTrusted, c.cost = true, 0
	c.mu.Unlock()
	c.bound.limiter.Release(c.id, cost)
	c.bound.limiter.Run(c.id, time.Now())
}

func (c *conn) beginHead(isNew bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isHead, c.isNew, c.isBody = true, isNew, false
	c.headBytes, c.cost, c.scanner, c.deadlines = 0, 0, headScanner{}, 0
}

// beginRequest records that a head was read. It reports whether the request was sent ahead, and
// whether the client has sent too many ahead, so that the connection must be closed after the answer.
func (c *conn) beginRequest(hasBody bool) (isAhead, isOver bool) {
	c.mu.Lock()
	c.isBody = hasBody
	if c.isAhead || !c.hasRead {
		c.ahead++
	} else {
		c.ahead = 0
	}
	c.isAhead, c.hasWritten = false, false
	isAhead, isOver = c.ahead > 0, c.ahead > c.bound.cfg.MaxAhead
	c.mu.Unlock()
	if !hasBody {
		c.bound.limiter.Run(c.id, time.Now())
	}
	return isAhead, isOver
}

// hasLeft reports whether the client has closed its connection, or its own side of it. The server
// notices that by itself only when it reads what was sent last.
func (c *conn) hasLeft() bool {
	info, err := kcwtcpinfo.Of(c.Conn)
	return err == nil && (info.State == kcwtcpinfo.Close || info.State == kcwtcpinfo.CloseWait)
}

// endBody records that the body was read to its end.
func (c *conn) endBody() {
	c.mu.Lock()
	c.isBody = false
	// The deadline of the next byte must not hold for the read with which the server notices
	// that a client closes its connection.
	_ = c.Conn.SetReadDeadline(c.readDeadline)
	c.mu.Unlock()
	c.bound.limiter.Run(c.id, time.Now())
}

// SetReadDeadline sets the deadline of reads, or an earlier one if the limits in force are
// lower than those of the server.
func (c *conn) SetReadDeadline(t time.Time) error {
	cost, err := c.setReadDeadline(t)
	if cost > 0 {
		c.bound.closeAll(c.bound.limiter.Hold(c.id, cost, time.Now())...)
	}
	return err
}

// setReadDeadline is SetReadDeadline without the closing of connections. It returns the cost of
// the next head's bytes that are in the server's buffer already.
func (c *conn) setReadDeadline(t time.Time) (cost int64, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isHead && !c.frames.isHTTP2() {
		limits := c.bound.cfg.Limits()
		timeout := limits.HeaderTimeout
		if !c.isNew && c.headBytes == 0 {
			// The server sets the deadline of idle connections first, and that of heads once
			// the first bytes are in its buffer.
			if c.deadlines == 0 {
				timeout = limits.IdleTimeout
			} else {
				cost, c.bufferedCost = c.bufferedCost, 0
			}
		}
		c.deadlines++
		// The server sets no deadline once the head is complete.
		if limit := time.Now().Add(timeout); timeout > 0 && limit.Before(t) {
			t = limit
		}
	}
	c.readDeadline = t
	return cost, c.Conn.SetReadDeadline(t)
}

// setProgressDeadline sets the deadline of the next byte of a body. The caller holds mu.
func (c *conn) setProgressDeadline() {
	deadline := time.Now().Add(c.bound.cfg.BodyTimeout)
	if !c.readDeadline.IsZero() && c.readDeadline.Before(deadline) {
		deadline = c.readDeadline
	}
	// This fails only on a connection that is closed already.
	_ = c.Conn.SetReadDeadline(deadline)
}

// Read reads and counts.
func (c *conn) Read(p []byte) (int, error) {
	// The server reads a single byte to notice that a client closes its connection while a
	// request runs.
	isSingle := len(p) == 1
	c.mu.Lock()
	if c.isBody && !isSingle {
		c.setProgressDeadline()
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	if n > 0 && c.count(p[:n], isSingle) {
		return 0, errHeadTooLarge
	}
	select {
	case <-c.evicted:
		// What was read must not be parsed any more.
		return 0, errEvicted
	default:
		return n, err
	}
}

// count counts what was read. It reports whether the head is over the limit, after it has
// answered that.
func (c *conn) count(data []byte, isSingle bool) (isTooLarge bool) {
	c.mu.Lock()
	c.hasRead = c.hasRead || !isSingle
	frames := c.frames.scan(data)
	var cost int64
	isHead := c.isHead && !c.frames.isHTTP2()
	switch {
	case c.frames.isHTTP2():
		if !c.isTrusted {
			cost = frames
		}
	case isHead:
		c.headBytes += len(data)
		cost, c.bufferedCost = c.scanner.scan(data)
	case isSingle:
		c.isAhead = c.isAhead || !c.hasWritten
	default:
		c.bufferedCost = headCost(data)
		if c.bound.cfg.ChargeBodies {
			cost = bodyFactorParts * int64(len(data)) / allBodyParts
		}
	}
	c.cost += cost
	headBytes, total := c.headBytes, c.cost
	c.mu.Unlock()
	if cost > 0 {
		c.bound.closeAll(c.bound.limiter.Hold(c.id, cost, time.Now())...)
		if total > largeBytes {
			c.bound.pauseIfNearlyFull(c.evicted)
		}
	}
	if !isHead {
		return false
	}
	limit := c.bound.cfg.Limits().HeadBytes
	if limit == 0 || headBytes <= limit+readAheadBytes {
		return false
	}
	c.refuseHead()
	return true
}

// refuseHead answers a head over the limit. It reads some more, so that the connection is not
// reset before the client has read the answer.
func (c *conn) refuseHead() {
	if c.Conn.SetDeadline(time.Now().Add(refusalTimeout)) != nil {
		return
	}
	if _, err := io.WriteString(c.Conn, headTooLarge); err == nil && c.CloseWrite() == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, refusalBytes)
	}
}

// Write writes, bounded by the time without which a client takes nothing.
func (c *conn) Write(p []byte) (int, error) {
	now := time.Now()
	if timeout := c.bound.cfg.WriteTimeout; timeout > 0 {
		if err := c.SetWriteDeadline(now.Add(timeout)); err != nil {
			return 0, err
		}
	}
	c.mu.Lock()
	c.hasWritten, c.hasRead = true, false
	c.mu.Unlock()
	c.bound.limiter.BeginWrite(c.id, now)
	defer c.bound.limiter.EndWrite(c.id)
	return c.Conn.Write(p)
}

// evict closes the connection in favor of others. What its client has not taken is dropped.
func (c *conn) evict() {
	c.mu.Lock()
	isIdle := c.isHead && !c.isNew && c.headBytes == 0
	c.mu.Unlock()
	if !isIdle {
		_ = c.SetLinger(0)
	}
	_ = c.Close()
	c.once.Do(func() { close(c.evicted) })
}

// SetLinger sets the linger time in seconds, negative for the default.
func (c *conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// CloseWrite closes the writing side, with which the server lets a client read its last answer.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// body is the body of a request on a bounded connection. OnEnd is called once, at its end.
type body struct {
	io.ReadCloser
	onEnd func()
}

// Read reads and notices the end.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && b.onEnd != nil {
		b.onEnd()
		b.onEnd = nil
	}
	return n, err
}
