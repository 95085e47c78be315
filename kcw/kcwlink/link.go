// Package kcwlink measures the load of a host's network link. From the load it
// determines when a router accepts no new callers and which fraction of its connections
// it should shed.
//
// This limits the effect of a load balancer that sends one host many times its share of
// the callers: their requests then wait in the queue of that host's link while other
// hosts are idle. The package does no I/O and takes the time as an argument.
package kcwlink

import (
	"math"
	"sync"
	"time"
)

// Loads are fractions of the link's rate. Queueing delay becomes long at a load of
// about 0.9, where a packet in an M/D/1 queue waits for 4.5 packets on average. The
// watermarks are well below that, since a load balancer takes some seconds to react, in
// which the load grows by about a fifth.
const (
	// highWatermark is the load from which a router accepts no new callers, and
	// lowWatermark the load below which it accepts them again. The gap is large so
	// that returning callers don't fill the link immediately.
	highWatermark = 0.72
	lowWatermark  = 0.25
	// shedTarget is the load at which shedding of connections stops.
	shedTarget = 0.1
)

// A router that resumes accepting callers may get as many as before immediately, since
// load balancers select a host by a hash of the caller. The link therefore counts as full
// for at least initialBackoff, about twice the time that a balancer takes to react. The
// backoff doubles, up to maxDoublings times, whenever the link becomes full within
// backoffResetAfter of its last recovery.
const (
	initialBackoff    = 24 * time.Second
	maxDoublings      = 4
	backoffResetAfter = 30 * time.Second
)

// Config configures a Link.
type Config struct {
	// BytesPerSecond is the rate of the link in each direction, zero if unlimited.
	BytesPerSecond float64
	// TimeConstant is the time constant of the exponential average of the load.
	TimeConstant time.Duration
}

// Link measures the load of one host's link. It is safe for concurrent use.
type Link struct {
	cfg Config

	mu sync.Mutex
	// in and out are the exponentially decayed sums of the bytes received and sent,
	// as of asOf.
	in, out float64
	asOf    time.Time
	// outQueue is the number of bytes that wait to be sent as of asOf, if the link carries
	// usableRate of its rate.
	outQueue float64
	full     bool
	// doublings is the number of times that the backoff was doubled, backoffUntil the
	// time at which it ends. RecoveredAt is when the link last ceased to be full.
	doublings                 int
	backoffUntil, recoveredAt time.Time
}

// New returns a Link with a load of zero.
func New(cfg Config) *Link { return &Link{cfg: cfg} }

// Record adds bytes that were received and sent at now.
func (l *Link) Record(in, out int, now time.Time) {
	if l.cfg.BytesPerSecond <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decay(now)
	l.in += float64(in)
	l.out += float64(out)
	l.outQueue += float64(out)
}

// usableRate is the part of a link's rate that is left for the bytes recorded. Headers of packets,
// acknowledgments, new connections and messages to the core take the rest: routers whose links
// were full had recorded 0.82 to 0.84 of the rate.
const usableRate = 0.84

// Delay returns how long bytes that are sent at now wait for the link. Received bytes have passed
// it already, and a router can't refuse to receive them.
func (l *Link) Delay(now time.Time) time.Duration {
	if l.cfg.BytesPerSecond <= 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decay(now)
	return time.Duration(l.outQueue / (usableRate * l.cfg.BytesPerSecond) * float64(time.Second))
}

// decay decays the sums to now.
func (l *Link) decay(now time.Time) {
	if elapsed := now.Sub(l.asOf); elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / l.cfg.TimeConstant.Seconds())
		l.in *= factor
		l.out *= factor
		l.outQueue = max(0, l.outQueue-elapsed.Seconds()*usableRate*l.cfg.BytesPerSecond)
		l.asOf = now
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

// Full reports whether the router should refuse new callers at now, and whether that has
// changed since the last call. It updates the state of the link, and must be called
// at each readiness check.
func (l *Link) Full(now time.Time) (full, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	load := l.load(now)
	switch {
	case !l.full && load >= highWatermark:
		l.full = true
		if now.Sub(l.recoveredAt) < backoffResetAfter {
			l.doublings = min(l.doublings+1, maxDoublings)
		} else {
			l.doublings = 0
		}
		l.backoffUntil = now.Add(initialBackoff << l.doublings)
		return true, true
	case l.full && load < lowWatermark && !now.Before(l.backoffUntil):
		l.full = false
		l.recoveredAt = now
		return false, true
	}
	return l.full, false
}

// ShedFraction returns the fraction of connections to close at now, each after an
// answer. It is zero unless the last call of Full returned true.
func (l *Link) ShedFraction(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.full {
		return 0
	}
	return max(0, 1-shedTarget/l.load(now))
}
