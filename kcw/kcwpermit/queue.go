package kcwpermit

import (
	"cmp"
	"slices"
	"time"
)

// maxWait is how long a request waits for a permit. It spans two reports; a request that got
// none by then is refused, so that its caller can go elsewhere.
const maxWait = 500 * time.Millisecond

// Claim describes a request that needs a permit.
type Claim struct {
	// RequestID identifies the request, for the log.
	RequestID     string
	Service, Team string
	// Priority is the request's priority, zero being the most urgent.
	Priority int
	// Size is the work of the request, in any unit.
	Size float64
	// Upstreams are the upstreams with a limit to which the request may go, the best first.
	Upstreams []string
	// HasOther is set if the request may go to an upstream without a limit.
	HasOther bool
}

// Waiter is a request that waits for a permit.
type Waiter struct {
	claim Claim
	since time.Time
	// done gets one value: whether there is a permit.
	done chan bool
}

// Done returns a channel with one value, whether there is a permit now.
func (w *Waiter) Done() <-chan bool { return w.done }

// queue holds the requests that wait for permits of one service. The most urgent are served
// first, those of equal urgency by the permits that their teams have got lately, then in
// order of arrival.
type queue struct {
	waiting []*Waiter
	// served counts the permits by team, over the last reports.
	served map[string]float64
}

func (q *queue) compare(a, b *Waiter) int {
	return cmp.Or(
		cmp.Compare(a.claim.Priority, b.claim.Priority),
		cmp.Compare(q.served[a.claim.Team], q.served[b.claim.Team]),
		a.since.Compare(b.since),
	)
}

// join adds a request to the queue and refuses those beyond the first limit. It returns nil
// if that is the request itself.
func (q *queue) join(claim Claim, limit int, now time.Time) *Waiter {
	w := &Waiter{claim: claim, since: now, done: make(chan bool, 1)}
	q.waiting = append(q.waiting, w)
	slices.SortStableFunc(q.waiting, q.compare)
	for len(q.waiting) > limit {
		last := q.waiting[len(q.waiting)-1]
		q.waiting = q.waiting[:len(q.waiting)-1]
		if last == w {
			return nil
		}
		last.done <- false
	}
	return w
}

// serve gives permits to the first in the queue, and refuses those that have waited for
// maxWait.
func (q *queue) serve(permits int, now time.Time) {
	const servedDecay = 0.9 // of each report
	for team, n := range q.served {
		if q.served[team] = n * servedDecay; q.served[team] < 1-servedDecay {
			delete(q.served, team)
		}
	}
	for ; permits > 0 && len(q.waiting) > 0; permits-- {
		slices.SortStableFunc(q.waiting, q.compare)
		first := q.waiting[0]
		q.waiting = q.waiting[1:]
		if q.served == nil {
			q.served = map[string]float64{}
		}
		q.served[first.claim.Team]++
		first.done <- true
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(w *Waiter) bool {
		isLate := now.Sub(w.since) >= maxWait
		if isLate {
			w.done <- false
		}
		return isLate
	})
}

func (q *queue) refuseAll() {
	for _, w := range q.waiting {
		w.done <- false
	}
	q.waiting = nil
}

func (q *queue) leave(w *Waiter) {
	q.waiting = slices.DeleteFunc(q.waiting, func(other *Waiter) bool { return other == w })
}
