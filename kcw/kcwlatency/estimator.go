// Package kcwlatency tells which requests of a route end within a given time. A router that
// is about to stop uses it to accept only requests that will end in time. This matters when
// hosts are restarted one after the other and the remaining ones have too little capacity
// for all callers. The package does no I/O.
package kcwlatency

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// maxObservations bounds the ended requests of a route that are remembered.
	maxObservations = 256
	// maxRoutes bounds the routes that are remembered.
	maxRoutes = 1024
	// maxExceedance is the probability of taking longer up to which a request is said to
	// end within a time.
	maxExceedance = 0.01
)

// observation is the time that a request took. If it is censored, the request was given up
// after that time.
type observation struct {
	duration   time.Duration
	isCensored bool
}

// history holds what is known about the requests of one route.
type history struct {
	// ended is a ring buffer of the last requests, and next the position of the oldest
	// one once it is full.
	ended []observation
	next  int
	// running holds the start of each request under way, by its number.
	running map[uint64]time.Time
	usedAt  time.Time
}

// Estimator keeps a history for each route. It is safe for concurrent use.
type Estimator struct {
	mu     sync.Mutex
	routes map[string]*history
	begun  uint64
}

// New returns an Estimator without observations.
func New() *Estimator { return &Estimator{routes: map[string]*history{}} }

// Begin adds a request of route that began at start, and returns its number. The caller
// passes it to End.
func (e *Estimator) Begin(route string, start time.Time) (number uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.routes[route]
	if h == nil {
		if len(e.routes) >= maxRoutes {
			e.removeUnused()
		}
		h = &history{running: map[uint64]time.Time{}}
		e.routes[route] = h
	}
	e.begun++
	h.running[e.begun] = start
	h.usedAt = start
	return e.begun
}

// removeUnused removes the route without requests under way that was used least recently.
func (e *Estimator) removeUnused() {
	var unused string
	for route, h := range e.routes {
		if len(h.running) == 0 && (unused == "" || h.usedAt.Before(e.routes[unused].usedAt)) {
			unused = route
		}
	}
	delete(e.routes, unused)
}

// End records that the request with this number ended at now. A request is complete if its
// caller has got a whole answer of an upstream; another one might have taken longer.
func (e *Estimator) End(route string, number uint64, now time.Time, isComplete bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.routes[route]
	if h == nil {
		return
	}
	start, isRunning := h.running[number]
	if !isRunning {
		return
	}
	delete(h.running, number)
	o := observation{now.Sub(start), !isComplete}
	if len(h.ended) < maxObservations {
		h.ended = append(h.ended, o)
		return
	}
	h.ended[h.next] = o
	h.next = (h.next + 1) % maxObservations
}

// EndsWithin reports whether the requests of route have shown that one which begins at now
// ends within d. It returns false while there are too few of them to show it. It assumes that
// a request is no less likely to end the longer it has run, so that one which takes longer
// than d/2 with probability p takes longer than d with probability p*p at most, unless longer
// ones have been seen.
func (e *Estimator) EndsWithin(route string, d time.Duration, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.routes[route]
	if h == nil || h.exceedance(d, now, 0) > maxExceedance {
		return false
	}
	half := h.exceedance(d/2, now, 1)
	return half*half <= maxExceedance
}

// exceedance returns an estimate of the probability that a request takes longer than d. It
// is the product-limit estimate of Kaplan and Meier, Nonparametric Estimation from Incomplete
// Observations, 1958, in which a request under way counts as one that takes longer than its
// age. If unseen is 1, one more request that has not ended is counted, so that n requests
// that all took less than d give 1/(n+1); if it is 0, they give 0.
func (h *history) exceedance(d time.Duration, now time.Time, unseen int) float64 {
	observations := slices.Clone(h.ended)
	for _, start := range h.running {
		observations = append(observations, observation{now.Sub(start), true})
	}
	slices.SortFunc(observations, func(a, b observation) int {
		if a.duration == b.duration && a.isCensored != b.isCensored {
			if a.isCensored {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.duration, b.duration)
	})
	survival := 1.0
	for i, o := range observations {
		if o.duration > d {
			break
		}
		if !o.isCensored {
			survival *= 1 - 1/float64(len(observations)-i+unseen)
		}
	}
	return survival
}
