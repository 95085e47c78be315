// Package kcwretry holds the budget of retries to one service.
//
// First tries earn a fixed fraction of a retry each and every retry spends a
// whole one, so that a failing service never gets more than that fraction of
// work on top. The rule is the retry budget of Beyer, Jones, Petoff and Murphy
// (editors), Site Reliability Engineering, 2016, chapter 21, kept as a token
// bucket that is filled by tries in place of time. The pause before a retry
// follows "full jitter" of Brooker, Exponential Backoff and Jitter, AWS
// Architecture Blog, 2015.
package kcwretry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Config holds the rules of a Budget.
type Config struct {
	// Ratio is the number of retries that one first try earns, such as 0.1.
	Ratio float64
	// Burst is the largest number of unspent retries that is kept.
	Burst int
	// InitialBalance is the number of retries that a new Budget holds, at most Burst, so
	// that the first requests of a process may be tried again as well.
	InitialBalance int
	// InitialBackoff bounds the pause before the first retry of a request, and
	// doubles with each retry up to PauseMost.
	InitialBackoff time.Duration
	MaxBackoff     time.Duration
	// Rand is the source of the jitter, used by this Budget alone.
	Rand *rand.Rand
}

// Budget says whether a request to one service may be tried again: at any time
// retries <= Start + Ratio * first tries. It is safe for concurrent use.
type Budget struct {
	cfg Config

	mu      sync.Mutex
	earned  float64
	first   uint64
	retries uint64
	denied  uint64
}

// New returns a budget that holds cfg.Start retries. It returns an *Error of
// KindInvalid if the ratio is not in (0, 1], the burst is below one, Start is not
// in [0, Burst], a pause is not positive, or there is no random source.
func New(cfg Config) (*Budget, error) {
	bad := func(detail string) (*Budget, error) {
		return nil, &Error{Op: "New", Kind: KindInvalid, Detail: detail}
	}
	switch {
	case !(cfg.Ratio > 0 && cfg.Ratio <= 1):
		return bad("Ratio must be in (0, 1]")
	case cfg.Burst < 1:
		return bad("Burst must be at least 1")
	case cfg.InitialBalance < 0 || cfg.InitialBalance > cfg.Burst:
		return bad("Start must be in [0, Burst]")
	case cfg.InitialBackoff <= 0 || cfg.MaxBackoff < cfg.InitialBackoff:
		return bad("PauseFirst must be positive and at most PauseMost")
	case cfg.Rand == nil:
		return bad("Rand must be set")
	}
	return &Budget{cfg: cfg, earned: float64(cfg.InitialBalance)}, nil
}

// Deposit notes the first try of a request.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.first++
	b.earned = min(b.earned+b.cfg.Ratio, float64(b.cfg.Burst))
}

// TryWithdraw reports whether a request may be tried once more, and takes that retry
// from the budget. Whether the request may be repeated at all is the caller's
// to know.
func (b *Budget) TryWithdraw() bool {
	const rounding = 1e-9 // ten additions of 0.1 fall short of 1
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.earned < 1-rounding {
		b.denied++
		return false
	}
	b.earned = max(b.earned-1, 0)
	b.retries++
	return true
}

// SetBurst changes the largest number of unspent retries that is kept, as when
// another number of processes share an allowance. Less than one is taken as one.
func (b *Budget) SetBurst(burst int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cfg.Burst = max(1, burst)
	b.earned = min(b.earned, float64(b.cfg.Burst))
}

// BackoffUntil returns when a request whose try failed at now is tried again.
// Attempt counts the tries made, from one; a smaller one is taken as one.
func (b *Budget) BackoffUntil(now time.Time, attempt int) time.Time {
	bound := b.cfg.InitialBackoff
	for i := 1; i < attempt && bound < b.cfg.MaxBackoff; i++ {
		bound *= 2
	}
	bound = min(bound, b.cfg.MaxBackoff)
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Add(time.Duration(b.cfg.Rand.Int64N(int64(bound) + 1)))
}

// Counts returns the first tries, retries and denied retries so far.
func (b *Budget) Counts() (first, retries, denied uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.first, b.retries, b.denied
}
