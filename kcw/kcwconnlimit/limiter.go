// Package kcwconnlimit decides which connections of an HTTP server to refuse or close, so that
// clients that are not controlled can't use up the descriptors and the memory of its process.
// It is designed for up to some 10,000 connections, and for callers that keep their connections
// and send one request after the other, with heads of a few kB.
//
// Connections of ordinary callers don't reach the bounds. When one is reached, those are closed
// first that have held most for longest without completing a request. A connection whose
// request is running is closed only if its client takes no bytes of the answer.
package kcwconnlimit

import (
	"fmt"
	"sync"
	"time"
)

// Config configures a Limiter.
type Config struct {
	// MaxConns bounds the open connections.
	MaxConns int
	// MaxHeldBytes bounds the memory of requests that are being received or held, over all
	// connections.
	MaxHeldBytes int64
}

// Error is returned by New for a bound that is not positive.
type Error struct {
	Op   string
	Kind Kind
}

// Kind classifies an Error.
type Kind int

// NotPositive means that a bound is not positive.
const NotPositive Kind = 1

// Error describes the failure.
func (e *Error) Error() string {
	return fmt.Sprintf("kcwconnlimit: %s: a bound is not positive", e.Op)
}

// ID identifies a connection. Zero stands for none.
type ID uint64

const (
	// smallBytes is more than an ordinary caller's head takes as parsed, about 5 kB.
	smallBytes = 16 << 10
	// largeParts are the parts of MaxHeldBytes that connections may use that hold more than
	// smallBytes, of allParts. The rest is left for ordinary callers.
	largeParts, allParts = 3, 4
	// stallTime is how long a client must have taken no byte of an answer for its
	// connection to be closed in favor of another. Callers on a slow link take some bytes in
	// it.
	stallTime = 2 * time.Second
	// maxCounted bounds how many completed requests count for an idle connection.
	maxCounted = 15
)

// phase is what a connection does.
type phase int

const (
	// receiving is the time from the opening of a connection, or from the first byte of a
	// request, until the request is complete.
	receiving phase = iota
	// running is the time until the answer is complete.
	running
	// idle is the time until the next request.
	idle
)

// connection is the state of one connection.
type connection struct {
	phase phase
	// since is when the phase began.
	since time.Time
	held  int64
	// completed is the number of completed requests.
	completed int
	// writingSince is when the write in progress began, zero if there is none.
	writingSince time.Time
	// isClosing is set once the connection is to be closed. What it holds no longer counts.
	isClosing bool
}

// Stats is the state of a Limiter.
type Stats struct {
	// Open is the number of open connections, HeldBytes the memory that they hold.
	Open      int
	HeldBytes int64
	// Refused counts connections that were not admitted, and Closed those that were closed
	// in favor of others or because they held too much.
	Refused, Closed int64
}

// Limiter decides which connections to refuse or close. It is safe for concurrent use.
type Limiter struct {
	cfg Config

	mu     sync.Mutex
	nextID ID
	conns  map[ID]*connection
	// open counts the connections that are not being closed, and held what they hold.
	open            int
	held            int64
	refused, closed int64
}

// New returns a Limiter. The error is an *Error.
func New(cfg Config) (*Limiter, error) {
	if cfg.MaxConns <= 0 || cfg.MaxHeldBytes <= 0 {
		return nil, &Error{Op: "new", Kind: NotPositive}
	}
	return &Limiter{cfg: cfg, conns: map[ID]*connection{}}, nil
}

// Stats returns the state.
func (l *Limiter) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Stats{Open: l.open, HeldBytes: l.held, Refused: l.refused, Closed: l.closed}
}

// Open adds a connection that was accepted at now. The result id is zero if the connection is
// refused. The connection victim, if there is one, is to be closed.
func (l *Limiter) Open(now time.Time) (id, victim ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.cfg.MaxConns {
		if victim = l.leastUseful(now); victim == 0 {
			l.refused++
			return 0, 0
		}
		l.startClosing(victim)
	}
	l.nextID++
	l.conns[l.nextID] = &connection{since: now}
	l.open++
	return l.nextID, victim
}

// MakeRoom returns a connection to close because the process is out of descriptors, zero if
// none may be closed.
func (l *Limiter) MakeRoom(now time.Time) (victim ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if victim = l.leastUseful(now); victim != 0 {
		l.startClosing(victim)
	}
	return victim
}

// Hold records that a request of which a part was received at now holds more memory, in bytes.
// The victims are to be closed. The connection itself may be one.
func (l *Limiter) Hold(id ID, bytes int64, now time.Time) (victims []ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.conns[id]
	if c == nil || c.isClosing {
		return nil
	}
	if c.phase == idle {
		c.phase, c.since = receiving, now
	}
	c.held += bytes
	l.held += bytes
	limit := l.cfg.MaxHeldBytes
	if c.held > smallBytes {
		limit = limit / allParts * largeParts
	}
	for l.held > limit && !c.isClosing {
		victim := l.largest(now)
		if victim == 0 || c.held > limit/2 && l.conns[victim].held < c.held {
			victim = id
		}
		l.startClosing(victim)
		victims = append(victims, victim)
	}
	return victims
}

// Release records that what a connection has received does not count as held any more.
func (l *Limiter) Release(id ID, bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.conns[id]
	if c == nil {
		return
	}
	// Complete may have released it meanwhile.
	bytes = min(bytes, c.held)
	c.held -= bytes
	if !c.isClosing {
		l.held -= bytes
	}
}

// Run records that a request is complete.
func (l *Limiter) Run(id ID, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.conns[id]; c != nil {
		c.phase, c.since = running, now
	}
}

// BeginWrite and EndWrite record the begin and the end of a write to a connection.
func (l *Limiter) BeginWrite(id ID, now time.Time) { l.setWriting(id, now) }

// EndWrite is described at BeginWrite.
func (l *Limiter) EndWrite(id ID) { l.setWriting(id, time.Time{}) }

func (l *Limiter) setWriting(id ID, since time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.conns[id]; c != nil {
		c.writingSince = since
	}
}

// Complete records that the answer to a request is complete, and that the connection waits for
// the next request.
func (l *Limiter) Complete(id ID, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.conns[id]
	if c == nil {
		return
	}
	c.phase, c.since, c.completed = idle, now, c.completed+1
	if !c.isClosing {
		l.held -= c.held
	}
	c.held = 0
}

// Close removes a connection that has been closed.
func (l *Limiter) Close(id ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.conns[id]
	if c == nil {
		return
	}
	if !c.isClosing {
		l.open--
		l.held -= c.held
	}
	delete(l.conns, id)
}

// Receiving returns the connections whose request began before the given time and is not complete.
// They are to be closed.
func (l *Limiter) Receiving(before time.Time) (victims []ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, c := range l.conns {
		if !c.isClosing && c.phase == receiving && c.since.Before(before) {
			l.startClosing(id)
			victims = append(victims, id)
		}
	}
	return victims
}

// startClosing stops counting a connection that is to be closed.
func (l *Limiter) startClosing(id ID) {
	c := l.conns[id]
	c.isClosing = true
	l.open--
	l.held -= c.held
	l.closed++
}

// largest returns the connection that has held most for longest of those whose request is not
// complete, zero if there is none.
func (l *Limiter) largest(now time.Time) (largest ID) {
	var most float64
	for id, c := range l.conns {
		if c.isClosing || c.phase != receiving || c.held == 0 {
			continue
		}
		// One millisecond more tells connections of the same moment apart by what they hold.
		score := float64(c.held) * (now.Sub(c.since) + time.Millisecond).Seconds()
		if largest == 0 || score > most {
			largest, most = id, score
		}
	}
	return largest
}

// leastUseful returns the connection to close in favor of another, zero if there is none:
// first one whose request is not complete, then one whose client takes nothing, and then one
// that is idle.
func (l *Limiter) leastUseful(now time.Time) (victim ID) {
	var first rank
	for id, c := range l.conns {
		if r, ok := c.rank(now); ok && !c.isClosing && (victim == 0 || r.isBefore(first)) {
			victim, first = id, r
		}
	}
	return victim
}

// rank orders connections by which is closed first: the lower class, and in it the longer time.
type rank struct {
	class int
	time  time.Duration
}

func (r rank) isBefore(other rank) bool {
	return r.class < other.class || r.class == other.class && r.time > other.time
}

// rank returns the rank of a connection, and false if it must not be closed.
func (c *connection) rank(now time.Time) (rank, bool) {
	switch c.phase {
	case receiving:
		return rank{class: 0, time: now.Sub(c.since)}, true
	case idle:
		// A caller that has used its connection for many requests will probably use it again.
		return rank{class: 2, time: now.Sub(c.since) / time.Duration(min(c.completed, maxCounted)+1)}, true
	}
	stalled := now.Sub(c.writingSince)
	return rank{class: 1, time: stalled}, !c.writingSince.IsZero() && stalled >= stallTime
}
