// Package kcwlink holds how busy a host's network link is, and decides from it
// when a router takes no new callers and which connections it asks callers to
// give up. It answers a balancer that gives one host many times its part of the
// callers, whose requests then wait in the queue of its link while other hosts
// are idle. It does no I/O and takes the clock as an argument.
package kcwlink

import (
	"math"
	"sync"
	"time"
)

// Loads are fractions of the link's rate. Packets begin to wait for long at about
// nine tenths (an M/D/1 queue is 4.5 packets long there); a balancer takes some
// seconds to act, in which the load grows by about a fifth.
const (
	// highWatermark is the load at which a router takes no new callers, and
	// lowWatermark the one below which it takes them again: far enough below that
	// callers who come back don't fill the link at once.
	highWatermark = 0.6
	lowWatermark  = 0.25
	// shedTo is the load down to which callers are asked to use other connections.
	shedTo = 0.5
)

// A router that takes callers again may get as many as before at once, since
// balancers choose by a hash of the caller. So it backs off for backoffFirst, about
// as long as a balancer takes to act twice, and for twice as long each time that it
// is full again within settled, backoffDoublings times at most.
const (
	backoffFirst     = 4 * time.Second
	backoffDoublings = 4
	settled          = 30 * time.Second
)

// Config configures a Link.
type Config struct {
	// BytesPerSecond is the rate of the link in each direction, zero if it has
	// no bound.
	BytesPerSecond float64
	// TimeConstant is the time over which the load is averaged.
	TimeConstant time.Duration
}

// Link is the load of one host's link. It is safe for concurrent use.
type Link struct {
	cfg Config

	mu sync.Mutex
	// in and out are the bytes received and sent, decayed to the time at.
	in, out float64
	at      time.Time
	full    bool
	// doublings is how often the backoff was doubled, backoffUntil when it ends.
	// Freed is when the link was free again last.
	doublings           int
	backoffUntil, freed time.Time
}

// New returns a Link without load.
func New(cfg Config) *Link { return &Link{cfg: cfg} }

// Record notes bytes that were received and sent until now.
func (l *Link) Record(in, out int, now time.Time) {
	if l.cfg.BytesPerSecond <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decay(now)
	l.in += float64(in)
	l.out += float64(out)
}

// decay brings the sums to now, by an exponential average.
func (l *Link) decay(now time.Time) {
	if past := now.Sub(l.at); past > 0 {
		kept := math.Exp(-past.Seconds() / l.cfg.TimeConstant.Seconds())
		l.in *= kept
		l.out *= kept
		l.at = now
	}
}

// Load returns the load of the busier direction as a fraction of the link's rate.
func (l *Link) Load(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.load(now)
}

func (l *Link) load(now time.Time) float64 {
	if l.cfg.BytesPerSecond <= 0 {
		return 0
	}
	l.decay(now)
	return max(l.in, l.out) / l.cfg.TimeConstant.Seconds() / l.cfg.BytesPerSecond
}

// Full reports whether the router should get no new callers at now, and whether
// that has changed since the last call. It is called at each check of readiness.
func (l *Link) Full(now time.Time) (full, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	load := l.load(now)
	switch {
	case !l.full && load >= highWatermark:
		l.full = true
		if now.Sub(l.freed) < settled {
			l.doublings = min(l.doublings+1, backoffDoublings)
		} else {
			l.doublings = 0
		}
		l.backoffUntil = now.Add(backoffFirst << l.doublings)
		return true, true
	case l.full && load < lowWatermark && !now.Before(l.backoffUntil):
		l.full = false
		l.freed = now
		return false, true
	}
	return l.full, false
}

// ShedFraction returns the part of the connections that should be given up at now, each
// after an answer. It is zero before Full has returned true.
func (l *Link) ShedFraction(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.full {
		return 0
	}
	return max(0, 1-shedTo/l.load(now))
}
