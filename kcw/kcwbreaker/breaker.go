// Package kcwbreaker holds the circuit breaker of one upstream.
//
// The breaker opens on a run of failures, on the rate of failures and on the
// rate of slow answers in a sliding window; after a pause that doubles with
// jitter each time, it admits a bounded number of concurrent probes, and closes
// when enough of them succeed. The states follow Nygard, Release It!, 2007,
// chapter 5. The breaker does no I/O and takes its clock as an argument.
package kcwbreaker

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Config holds the rules of a Breaker.
type Config struct {
	// Window is the time over which rates are taken.
	Window time.Duration
	// MinCalls is the number of ended calls in the window below which rates
	// don't count.
	MinCalls int
	// FailureRate and SlowRate open the breaker when reached, in (0, 1].
	FailureRate float64
	SlowRate    float64
	// ConsecutiveFailures is the number of failures in a row that opens the breaker.
	ConsecutiveFailures int
	// SlowAfter is the time to the first byte above which an answer is slow.
	SlowAfter time.Duration
	// Probes is the number of concurrent calls while half-open, and also the
	// number of successes that closes the breaker.
	Probes int
	// ProbeTimeout is the time after which a probe whose end was never told
	// frees its place.
	ProbeTimeout time.Duration
	// InitialBackoff is the first time in the open state. It doubles with each
	// reopening up to PauseMost; up to half of it is taken off at random.
	InitialBackoff time.Duration
	MaxBackoff     time.Duration
	// Rand is the source of the jitter, used by this Breaker alone.
	Rand *rand.Rand
}

// state is a breaker's state.
type state int

const (
	closed state = iota
	open
	halfOpen
)

// buckets is the number of parts of the sliding window.
const buckets = 10

// bucket counts the calls that ended in one part of the window.
type bucket struct {
	slot     int64
	calls    int
	failures int
	slow     int
}

// Breaker admits calls to one upstream. It is safe for concurrent use.
type Breaker struct {
	cfg Config

	mu          sync.Mutex
	state       state
	generation  uint64 // changes with the state; older tickets don't count
	ring        [buckets]bucket
	consecutive int
	openings    int       // in a row, without closing between
	retryAt     time.Time // end of the open state
	probes      map[uint64]time.Time
	successes   int
	nextTicket  uint64
}

// New returns a closed breaker. It returns an *Error of KindInvalid if a
// duration, count or rate is not positive, a rate is above one, or there is no
// random source.
func New(cfg Config) (*Breaker, error) {
	bad := func(detail string) (*Breaker, error) {
		return nil, &Error{Op: "New", Kind: KindInvalid, Detail: detail}
	}
	rate := func(r float64) bool { return r > 0 && r <= 1 }
	switch {
	case cfg.Window < buckets || cfg.SlowAfter <= 0 || cfg.ProbeTimeout <= 0:
		return bad("Window, SlowAfter and ProbeTimeout must be positive")
	case cfg.MinCalls < 1 || cfg.ConsecutiveFailures < 1 || cfg.Probes < 1:
		return bad("MinCalls, Consecutive and Probes must be at least 1")
	case !rate(cfg.FailureRate) || !rate(cfg.SlowRate):
		return bad("FailureRate and SlowRate must be in (0, 1]")
	case cfg.InitialBackoff <= 0 || cfg.MaxBackoff < cfg.InitialBackoff:
		return bad("PauseFirst must be positive and at most PauseMost")
	case cfg.Rand == nil:
		return bad("Rand must be set")
	}
	return &Breaker{cfg: cfg, probes: make(map[uint64]time.Time), nextTicket: 1}, nil
}

// Ready reports whether Begin would admit a call at now.
func (b *Breaker) Ready(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.check(now) == nil
}

// Begin admits a call at now and returns its ticket, to be given to exactly one
// of Succeed, Fail and Cancel. It returns an *Error of KindOpen or KindProbing
// if the call is not admitted.
func (b *Breaker) Begin(now time.Time) (ticket uint64, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err := b.check(now); err != nil {
		return 0, err
	}
	if b.state == open {
		b.enter(halfOpen)
	}
	ticket = b.nextTicket
	b.nextTicket++
	if b.state == halfOpen {
		b.probes[ticket] = now.Add(b.cfg.ProbeTimeout)
	}
	return ticket, nil
}

// Succeed notes that the call which began at began gave its first byte at now.
func (b *Breaker) Succeed(now time.Time, ticket uint64, began time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.end(now, ticket, false, now.Sub(began) > b.cfg.SlowAfter)
}

// Fail notes that the call failed in a way that is the upstream's fault.
func (b *Breaker) Fail(now time.Time, ticket uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.end(now, ticket, true, false)
}

// Cancel notes that the call ended without saying anything of the upstream,
// such as when the caller went away.
func (b *Breaker) Cancel(ticket uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.probes, ticket)
}

// State returns the state's name for dumps: Closed, Open or HalfOpen.
func (b *Breaker) State() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return [...]string{closed: "Closed", open: "Open", halfOpen: "HalfOpen"}[b.state]
}

// check returns why a call is not admitted at now, or nil.
func (b *Breaker) check(now time.Time) error {
	switch b.state {
	case open:
		if now.Before(b.retryAt) {
			return &Error{Op: "Begin", Kind: KindOpen, Detail: "circuit is open", RetryAt: b.retryAt}
		}
	case halfOpen:
		for ticket, until := range b.probes {
			if !now.Before(until) {
				delete(b.probes, ticket)
			}
		}
		if len(b.probes) >= b.cfg.Probes {
			return &Error{Op: "Begin", Kind: KindProbing, Detail: "probes are under way"}
		}
	}
	return nil
}

// end counts the end of a call and changes the state if it is due.
func (b *Breaker) end(now time.Time, ticket uint64, failed, slow bool) {
	switch b.state {
	case closed:
		if ticket < b.generation {
			return
		}
		b.count(now, failed, slow)
		if b.tripped(now) {
			b.trip(now)
		}
	case halfOpen:
		if _, ok := b.probes[ticket]; !ok {
			return
		}
		delete(b.probes, ticket)
		if failed || slow {
			b.trip(now)
			return
		}
		b.successes++
		if b.successes >= b.cfg.Probes {
			b.openings = 0
			b.enter(closed)
		}
	}
}

// count adds one ended call to the window.
func (b *Breaker) count(now time.Time, failed, slow bool) {
	slot := b.slot(now)
	part := &b.ring[int(slot%buckets+buckets)%buckets]
	if part.slot != slot {
		*part = bucket{slot: slot}
	}
	part.calls++
	if slow {
		part.slow++
	}
	if !failed {
		b.consecutive = 0
		return
	}
	part.failures++
	b.consecutive++
}

// tripped reports whether the window or the run of failures opens the breaker.
func (b *Breaker) tripped(now time.Time) bool {
	if b.consecutive >= b.cfg.ConsecutiveFailures {
		return true
	}
	var sum bucket
	newest := b.slot(now)
	for _, part := range b.ring {
		if part.slot > newest-buckets && part.slot <= newest {
			sum.calls += part.calls
			sum.failures += part.failures
			sum.slow += part.slow
		}
	}
	if sum.calls < b.cfg.MinCalls {
		return false
	}
	calls := float64(sum.calls)
	return float64(sum.failures) >= b.cfg.FailureRate*calls || float64(sum.slow) >= b.cfg.SlowRate*calls
}

// slot returns the number of the window's part that holds now.
func (b *Breaker) slot(now time.Time) int64 {
	return now.UnixNano() / int64(b.cfg.Window/buckets)
}

// trip opens the breaker at now for a pause that grows with each opening.
func (b *Breaker) trip(now time.Time) {
	pause := b.cfg.InitialBackoff
	for i := 0; i < b.openings && pause < b.cfg.MaxBackoff; i++ {
		pause *= 2
	}
	pause = min(pause, b.cfg.MaxBackoff)
	b.openings++
	pause -= time.Duration(b.cfg.Rand.Int64N(int64(pause)/2 + 1))
	b.retryAt = now.Add(pause)
	b.enter(open)
}

// enter changes the state and forgets what was counted in the one before.
func (b *Breaker) enter(s state) {
	b.state = s
	b.generation = b.nextTicket
	b.ring = [buckets]bucket{}
	b.consecutive = 0
	b.successes = 0
	clear(b.probes)
}
