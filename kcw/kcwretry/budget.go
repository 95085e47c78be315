// Package kcwretry implements the retry budget of one service.
//
// Each first try deposits a fixed fraction of a retry and each retry withdraws a whole
// one, so that a failing service never receives more than that fraction of additional
// requests, apart from the initial balance. This is the retry budget of Beyer, Jones,
// Petoff and Murphy (editors), Site Reliability Engineering, 2016, chapter 21,
// implemented as a token bucket that is refilled by first tries instead of time. The
// backoff before a retry uses "full jitter" as in Brooker, Exponential Backoff and
// Jitter, AWS Architecture Blog, 2015.
package kcwretry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Config holds the parameters of a Budget.
type Config struct {
	// Ratio is the number of retries that one first try deposits, such as 0.1.
	Ratio float64
	// Burst is the largest balance, in retries.
	Burst int
	// InitialBalance is the number of retries in a new Budget, at most Burst. It
	// allows the first requests of a process to be retried too.
	InitialBalance int
	// InitialBackoff is the upper bound of the backoff before the first retry of a
	// request. The bound doubles with each further retry up to MaxBackoff.
	InitialBackoff time.Duration
	MaxBackoff     time.Duration
	// Rand is the source of the jitter. No other code may use it.
	Rand *rand.Rand
}

// Budget decides whether a request to one service may be retried: at any time
// retries <= InitialBalance + Ratio * first tries. It is safe for concurrent use.
type Budget struct {
	cfg Config

	mu         sync.Mutex
	balance    float64 // retries
	reserved   int
	firstTries uint64
	retries    uint64
	denied     uint64
}

// New returns a budget that holds cfg.InitialBalance retries. It returns an *Error of
// KindInvalid if the ratio is not in (0, 1], the burst is below one, InitialBalance
// is not in [0, Burst], a backoff is not positive, InitialBackoff exceeds MaxBackoff,
// or there is no random source.
func New(cfg Config) (*Budget, error) {
	invalid := func(detail string) (*Budget, error) {
		return nil, &Error{Op: "New", Kind: KindInvalid, Detail: detail}
	}
	switch {
	case !(cfg.Ratio > 0 && cfg.Ratio <= 1):
		return invalid("Ratio must be in (0, 1]")
	case cfg.Burst < 1:
		return invalid("Burst must be at least 1")
	case cfg.InitialBalance < 0 || cfg.InitialBalance > cfg.Burst:
		return invalid("InitialBalance must be in [0, Burst]")
	case cfg.InitialBackoff <= 0 || cfg.MaxBackoff < cfg.InitialBackoff:
		return invalid("InitialBackoff must be positive and at most MaxBackoff")
	case cfg.Rand == nil:
		return invalid("Rand must be set")
	}
	return &Budget{cfg: cfg, balance: float64(cfg.InitialBalance)}, nil
}

// Deposit records the first try of a request and adds Ratio to the balance.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.firstTries++
	b.balance = min(b.balance+b.cfg.Ratio, float64(b.cfg.Burst))
}

// TryWithdraw reports whether the balance allows a retry and, if so, withdraws it.
// The caller must check whether the request may be repeated at all.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.withdraw()
}

// rounding is the error of a balance: ten additions of 0.1 add up to less than 1.
const rounding = 1e-9

// withdraw is TryWithdraw for callers that hold mu.
func (b *Budget) withdraw() bool {
	if b.balance < 1-rounding {
		b.denied++
		return false
	}
	b.balance = max(b.balance-1, 0)
	b.retries++
	return true
}

// TryReserve reports whether the balance allows a retry beside those that are reserved and, if
// so, reserves it. A reservation does not keep TryWithdraw from withdrawing the retry. It ends
// with one call of WithdrawReserved or Release.
func (b *Budget) TryReserve() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance-float64(b.reserved) < 1-rounding {
		b.denied++
		return false
	}
	b.reserved++
	return true
}

// WithdrawReserved ends a reservation and reports whether the balance still allows the retry.
// If so, it withdraws it.
func (b *Budget) WithdrawReserved() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserved--
	return b.withdraw()
}

// Release ends a reservation without a retry.
func (b *Budget) Release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserved--
}

// Refund returns a retry that was withdrawn and not sent.
func (b *Budget) Refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retries--
	b.balance = min(b.balance+1, float64(b.cfg.Burst))
}

// SetBurst changes the largest balance, for example because the number of processes
// that share an allowance has changed. A burst below one is treated as one.
func (b *Budget) SetBurst(burst int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cfg.Burst = max(1, burst)
	b.balance = min(b.balance, float64(b.cfg.Burst))
}

// BackoffUntil returns the time at which to retry a request whose last try failed at
// now. Attempt is the number of tries made; a number below one is treated as one.
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

// Counts returns the numbers of first tries, retries and denied retries so far.
func (b *Budget) Counts() (firstTries, retries, denied uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.firstTries, b.retries, b.denied
}
