// Package kcwlimit holds the limits of contracts at a router that is cut off
// from the ledger.
//
// While the ledger answers, it applies the limits itself and exactly. Away from
// it each router applies its own whole share, so that all routers together
// never admit more than the contract allows. Rates are kept by the generic cell
// rate algorithm (ITU-T Recommendation I.371, Traffic control and congestion
// control in B-ISDN, 1996), one theoretical arrival time a rate.
package kcwlimit

import (
	"hash/fnv"
	"math"
	"sync"
	"time"

	"kingcupwick.example/kcw/kcwpb"
)

// minute is the period of the rates.
const minute = time.Minute

// Config holds a router's place among the routers.
type Config struct {
	// Routers is the number of routers that share the limits.
	Routers int
	// Rank is this router's place among them, from zero.
	Rank int
	// Burst is the fraction of a minute's share that may come at once, in
	// (0, 1]. The sustained rate is lowered by as much, so that a minute's
	// share holds in each minute.
	Burst float64
}

// Limiter applies a router's share of each contract's limits. It is safe for
// concurrent use.
type Limiter struct {
	cfg Config

	mu    sync.Mutex
	usage map[string]*usage
}

// usage is what one customer has used at this router.
type usage struct {
	open     int64
	requests time.Time // theoretical arrival time of the next request
	tokens   time.Time // theoretical arrival time of the next token
}

// New returns a limiter that has admitted nothing. It returns an *Error of
// KindInvalid if the rank is not below the number of routers or the burst is
// not in (0, 1].
func New(cfg Config) (*Limiter, error) {
	switch {
	case cfg.Routers < 1 || cfg.Rank < 0 || cfg.Rank >= cfg.Routers:
		return nil, &Error{Op: "New", Kind: KindInvalid, Detail: "Rank must be in [0, Routers)"}
	case !(cfg.Burst > 0 && cfg.Burst <= 1):
		return nil, &Error{Op: "New", Kind: KindInvalid, Detail: "Burst must be in (0, 1]"}
	}
	return &Limiter{cfg: cfg, usage: make(map[string]*usage)}, nil
}

// Open admits a request of the customer that may use so many tokens, and counts
// it open until Close. It returns an *Error of KindOpenRequests, KindRequests
// or KindTokens if it is not admitted; nothing is counted then.
//
// In each minute the shares of all routers together hold the limits, but for
// one case: a request of more tokens than the burst is admitted once that many
// tokens have gone unused, and a minute that starts with it may hold more by
// what it has above the burst. A request of more tokens than the router's whole
// share is never admitted.
func (l *Limiter) Open(now time.Time, customer string, limits *kcwpb.Limits, tokens int64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.usage[customer]
	if u == nil {
		u = &usage{}
		l.usage[customer] = u
	}
	if most := limits.GetOpenRequests(); most > 0 && u.open >= l.share(customer, most) {
		return &Error{Op: "Open", Kind: KindOpenRequests, Detail: customer}
	}
	requests, tokenTime := u.requests, u.tokens
	if most := limits.GetRequestsPerMinute(); most > 0 {
		var retryAt time.Time
		if requests, retryAt = l.arrive(now, u.requests, l.share(customer, most), 1); !retryAt.Equal(now) {
			return &Error{Op: "Open", Kind: KindRequests, Detail: customer, RetryAt: retryAt}
		}
	}
	if most := limits.GetTokensPerMinute(); most > 0 {
		var retryAt time.Time
		if tokenTime, retryAt = l.arrive(now, u.tokens, l.share(customer, most), tokens); !retryAt.Equal(now) {
			return &Error{Op: "Open", Kind: KindTokens, Detail: customer, RetryAt: retryAt}
		}
	}
	u.requests, u.tokens = requests, tokenTime
	u.open++
	return nil
}

// Close notes that a request which Open admitted has ended. It panics if no
// request of the customer is open.
func (l *Limiter) Close(customer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.usage[customer]
	if u == nil || u.open == 0 {
		panic("kcwlimit: Close without Open")
	}
	u.open--
}

// Prune forgets the customers whose usage no longer bears on a decision at now.
func (l *Limiter) Prune(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	oldest := now.Add(-minute)
	for customer, u := range l.usage {
		if u.open == 0 && u.requests.Before(oldest) && u.tokens.Before(oldest) {
			delete(l.usage, customer)
		}
	}
}

// share returns this router's whole part of a limit. The parts of all routers
// sum up to the limit; which routers get the remainder differs by customer.
func (l *Limiter) share(customer string, limit int64) int64 {
	h := fnv.New32a()
	h.Write([]byte(customer))
	n := int64(l.cfg.Routers)
	rank := (int64(l.cfg.Rank) + int64(h.Sum32())) % n
	part := limit / n
	if rank < limit%n {
		part++
	}
	return part
}

// arrive returns the theoretical arrival time after cost units, and when they
// are admitted: now if they are, a later time or the zero time if not.
func (l *Limiter) arrive(now, arrival time.Time, share, cost int64) (next, admitAt time.Time) {
	if cost > share {
		return arrival, time.Time{}
	}
	burst := max(1, int64(float64(share)*l.cfg.Burst))
	unit := float64(minute) / float64(share-burst+1)
	span := func(units int64) time.Duration { return time.Duration(math.Ceil(unit * float64(units))) }
	earliest := now.Add(-span(max(0, cost-burst)))
	if arrival.Before(earliest) {
		arrival = earliest
	}
	next = arrival.Add(span(cost))
	admitAt = next.Add(-span(max(burst, 0)))
	if admitAt.After(now) {
		return arrival, admitAt
	}
	return next, now
}
