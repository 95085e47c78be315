// Package kcwbreaker implements the circuit breaker of one upstream.
//
// The breaker opens after a number of consecutive failures, or if the failure rate or
// the rate of slow answers in a sliding window reaches its threshold. After a backoff
// that doubles with each reopening and has jitter, it admits a bounded number of
// concurrent probes, and it closes when enough of them have succeeded. The states
// follow Nygard, Release It!, 2007, chapter 5. The breaker does no I/O, and the current
// time is passed to its methods.
package kcwbreaker

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Config holds the parameters of a Breaker.
type Config struct {
	// Window is the length of the sliding window over which rates are computed.
	Window time.Duration
	// MinCalls is the number of ended calls in the window below which rates are
	// ignored.
	MinCalls int
	// FailureRate and SlowRate are the rates at which the breaker opens, in (0, 1].
	FailureRate float64
	SlowRate    float64
	// ConsecutiveFailures is the number of failures in a row at which the breaker
	// opens.
	ConsecutiveFailures int
	// SlowAfter is the time to the first byte above which an answer counts as slow.
	SlowAfter time.Duration
	// Probes is the largest number of concurrent calls in the half-open state, and
	// also the number of successes that closes the breaker.
	Probes int
	// ProbeTimeout is the time after which a probe whose end was not reported no
	// longer counts towards Probes.
	ProbeTimeout time.Duration
	// InitialBackoff is the duration of the first open state. It doubles with each
	// reopening up to MaxBackoff; jitter shortens it by up to one half.
	InitialBackoff time.Duration
	MaxBackoff     time.Duration
	// Rand is the source of the jitter. No other code may use it.
	Rand *rand.Rand
}

// state is the state of a breaker.
type state int

const (
	closed state = iota
	open
	halfOpen
)

// buckets is the number of equal parts that the sliding window is divided into.
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
	generation  uint64 // first ticket of the current state; older tickets are ignored
	ring        [buckets]bucket
	consecutive int
	openings    int                  // since the breaker was last closed
	retryAt     time.Time            // end of the open state
	probes      map[uint64]time.Time // timeouts by ticket
	successes   int                  // of probes
	nextTicket  uint64
}

// New returns a closed breaker. It returns an *Error of KindInvalid if a
// duration, count or rate is not positive, a rate is above one, InitialBackoff
// exceeds MaxBackoff, or there is no random source.
func New(cfg Config) (*Breaker, error) {
	invalid := func(detail string) (*Breaker, error) {
		return nil, &Error{Op: "New", Kind: KindInvalid, Detail: detail}
	}
	validRate := func(r float64) bool { return r > 0 && r <= 1 }
	switch {
	case cfg.Window < buckets || cfg.SlowAfter <= 0 || cfg.ProbeTimeout <= 0:
		return invalid("Window, SlowAfter and ProbeTimeout must be positive")
	case cfg.MinCalls < 1 || cfg.ConsecutiveFailures < 1 || cfg.Probes < 1:
		return invalid("MinCalls, ConsecutiveFailures and Probes must be at least 1")
	case !validRate(cfg.FailureRate) || !validRate(cfg.SlowRate):
		return invalid("FailureRate and SlowRate must be in (0, 1]")
	case cfg.InitialBackoff <= 0 || cfg.MaxBackoff < cfg.InitialBackoff:
		return invalid("InitialBackoff must be positive and at most MaxBackoff")
	case cfg.Rand == nil:
		return invalid("Rand must be set")
	}
	return &Breaker{cfg: cfg, probes: make(map[uint64]time.Time), nextTicket: 1}, nil
}

// Ready reports whether Begin would admit a call at now.
func (b *Breaker) Ready(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.check(now) == nil
}

// Begin admits a call at now and returns its ticket, which the caller must pass to
// exactly one of Succeed, Fail and Cancel. It returns an *Error of KindOpen or
// KindProbing if the call is not admitted.
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

// Succeed records that the call that began at began received its first byte at now.
func (b *Breaker) Succeed(now time.Time, ticket uint64, began time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.end(now, ticket, false, now.Sub(began) > b.cfg.SlowAfter)
}

// Fail records that the call failed through the upstream's fault.
func (b *Breaker) Fail(now time.Time, ticket uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.end(now, ticket, true, false)
}

// Cancel records that the call ended in a way that doesn't show whether the upstream is
// healthy, such as when the caller canceled it.
func (b *Breaker) Cancel(ticket uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.probes, ticket)
}

// State returns the name of the state for dumps: Closed, Open or HalfOpen.
func (b *Breaker) State() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return [...]string{closed: "Closed", open: "Open", halfOpen: "HalfOpen"}[b.state]
}

// check returns nil if a call is admitted at now, and otherwise the reason as an
// *Error.
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
			return &Error{Op: "Begin", Kind: KindProbing, Detail: "the maximum number of probes is in progress"}
		}
	}
	return nil
}

// end records the end of a call and changes the state if necessary.
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
	current := &b.ring[int(slot%buckets+buckets)%buckets]
	if current.slot != slot {
		*current = bucket{slot: slot}
	}
	current.calls++
	if slow {
		current.slow++
	}
	if !failed {
		b.consecutive = 0
		return
	}
	current.failures++
	b.consecutive++
}

// tripped reports whether the consecutive failures or the rates in the window open
// the breaker.
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

// slot returns the number of the time slot that contains now. A slot is as long as
// one bucket.
func (b *Breaker) slot(now time.Time) int64 {
	return now.UnixNano() / int64(b.cfg.Window/buckets)
}

// trip opens the breaker at now for a backoff that grows with each opening.
func (b *Breaker) trip(now time.Time) {
	backoff := b.cfg.InitialBackoff
	for i := 0; i < b.openings && backoff < b.cfg.MaxBackoff; i++ {
		backoff *= 2
	}
	backoff = min(backoff, b.cfg.MaxBackoff)
	b.openings++
	backoff -= time.Duration(b.cfg.Rand.Int64N(int64(backoff)/2 + 1))
	b.retryAt = now.Add(backoff)
	b.enter(open)
}

// enter changes the state and resets the counts of the previous state.
func (b *Breaker) enter(s state) {
	b.state = s
	b.generation = b.nextTicket
	b.ring = [buckets]bucket{}
	b.consecutive = 0
	b.successes = 0
	clear(b.probes)
}
