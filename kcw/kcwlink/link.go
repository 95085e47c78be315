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
	// fullAt is the load at which a router takes no new callers, and freeAt the
	// one below which it takes them again: far enough below that callers who
	// come back don't fill the link at once.
	fullAt = 0.6
	freeAt = 0.25
	// shedAt is the load down to which callers are asked to use other
	// connections.
	shedAt = 0.5
)

// A router that takes callers again may get as many as before at once, since
// balancers choose by a hash of the caller. So it stays away for leastAway, about
// as long as a balancer takes to act twice, and for twice as long each time that it
// is full again within settled, up to mostAway.
const (
	leastAway = 4 * time.Second
	mostAway  = 64 * time.Second
	settled   = 30 * time.Second
)

// Config configures a Link.
type Config struct {
	// BytesPerSecond is the rate of the link in each direction, zero if it has
	// no bound.
	BytesPerSecond float64
	// Memory is the time over which the load is averaged.
	Memory time.Duration
}

// Link is the load of one host's link. It is safe for concurrent use.
type Link struct {
	cfg Config

	mu sync.Mutex
	// in and out are the bytes received and sent, decayed to the time at.
	in, out float64
	at      time.Time
	full    bool
	// away is how long the link counts as full at least, and awayUntil until when
	// it does. Freed is when it was free again last.
	away             time.Duration
	awayUntil, freed time.Time
}

// New returns a Link without load.
func New(cfg Config) *Link { return &Link{cfg: cfg} }

// Carried notes bytes that were received and sent until now.
func (l *Link) Carried(in, out int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decay(now)
	l.in += float64(in)
	l.out += float64(out)
}

// decay brings the sums to now, by an exponential average.
func (l *Link) decay(now time.Time) {
	if past := now.Sub(l.at); past > 0 {
		kept := math.Exp(-past.Seconds() / l.cfg.Memory.Seconds())
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
	return max(l.in, l.out) / l.cfg.Memory.Seconds() / l.cfg.BytesPerSecond
}

// Full reports whether the router should get no new callers at now, and whether
// that has changed since the last call. It is called at each check of readiness.
func (l *Link) Full(now time.Time) (full, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	load := l.load(now)
	switch {
	case !l.full && load >= fullAt:
		l.full = true
		if now.Sub(l.freed) < settled {
			l.away = min(2*l.away, mostAway)
		} else {
			l.away = leastAway
		}
		l.awayUntil = now.Add(l.away)
		return true, true
	case l.full && load < freeAt && !now.Before(l.awayUntil):
		l.full = false
		l.freed = now
		return false, true
	}
	return l.full, false
}

// Sheds reports whether the connection of a request at now should be given up
// after its answer, which is so for none before Full has returned true. The random
// number draw, in [0, 1), picks the part of the connections that is too many.
func (l *Link) Sheds(draw float64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	load := l.load(now)
	return l.full && load > shedAt && draw < 1-shedAt/load
}
