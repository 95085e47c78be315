// Package kcwlimit applies the limits of contracts at a router that has no connection
// to the ledger.
//
// While the ledger answers, the ledger applies the limits exactly. Without it, each
// router applies its own integer share of each limit, so that all routers together
// never admit more than the contract allows, with one exception that Open describes.
// Rates are limited by the generic cell rate algorithm (ITU-T Recommendation I.371,
// Traffic control and congestion control in B-ISDN, 1996), which stores one theoretical
// arrival time per rate.
package kcwlimit

import (
	"hash/fnv"
	"math"
	"sync"
	"time"

	"kingcupwick.example/kcw/kcwpb"
)

// minute is the period in which the rates are stated.
const minute = time.Minute

// Config holds a router's share of the limits.
type Config struct {
	// Routers is the number of routers that share the limits.
	Routers int
	// Rank is this router's index among them, starting at 0.
	Rank int
	// Burst is the fraction of a minute's share that may be used at once, in
	// (0, 1]. The sustained rate is reduced by the same amount, so that no minute
	// exceeds its share.
	Burst float64
}

// Limiter applies a router's share of each contract's limits. It is safe for
// concurrent use.
type Limiter struct {
	cfg Config

	mu    sync.Mutex
	usage map[string]*usage
}

// usage is one customer's use of its limits at this router.
type usage struct {
	open     int64     // open requests
	requests time.Time // theoretical arrival time of the next request
	tokens   time.Time // theoretical arrival time of the next token
}

// New returns a limiter with no usage. It returns an *Error of
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

// Open admits a request of the customer that may use the given number of tokens, and
// counts it as open until Close. A limit of zero doesn't apply. If the request is not
// admitted, Open counts nothing and returns an *Error of KindOpenRequests, KindRequests
// or KindTokens.
//
// The routers together keep the limits in every minute, with one exception: a request
// of more tokens than the burst is admitted once as many tokens as it may use have gone
// unused, and the minute that starts with it may exceed the limit by the tokens of the
// request above the burst. A request of more tokens than the router's whole share is
// never admitted.
func (l *Limiter) Open(now time.Time, customer string, limits *kcwpb.Limits, tokens int64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.usage[customer]
	if u == nil {
		u = &usage{}
		l.usage[customer] = u
	}
	if limit := limits.GetOpenRequests(); limit > 0 && u.open >= l.share(customer, limit) {
		return &Error{Op: "Open", Kind: KindOpenRequests, Detail: customer}
	}
	nextRequest, nextToken := u.requests, u.tokens
	if limit := limits.GetRequestsPerMinute(); limit > 0 {
		var retryAt time.Time
		if nextRequest, retryAt = l.arrive(now, u.requests, l.share(customer, limit), 1); !retryAt.Equal(now) {
			return &Error{Op: "Open", Kind: KindRequests, Detail: customer, RetryAt: retryAt}
		}
	}
	if limit := limits.GetTokensPerMinute(); limit > 0 {
		var retryAt time.Time
		if nextToken, retryAt = l.arrive(now, u.tokens, l.share(customer, limit), tokens); !retryAt.Equal(now) {
			return &Error{Op: "Open", Kind: KindTokens, Detail: customer, RetryAt: retryAt}
		}
	}
	u.requests, u.tokens = nextRequest, nextToken
	u.open++
	return nil
}

// Close records that a request admitted by Open has ended. It panics if the customer
// has no open request.
func (l *Limiter) Close(customer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.usage[customer]
	if u == nil || u.open == 0 {
		panic("kcwlimit: Close without Open")
	}
	u.open--
}

// Prune deletes the usage of customers that no longer affects decisions at now.
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

// share returns this router's integer share of a limit. The shares of all routers
// add up to the limit. A hash of the customer determines which routers receive the
// remainder of the division.
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

// arrive returns the theoretical arrival time after the arrival of cost units, and the
// time at which they are admitted: now, a later time, or the zero time if they never
// are. It returns arrival unchanged if they are not admitted now.
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
