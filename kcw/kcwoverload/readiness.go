package kcwoverload

import (
	"math/rand/v2"
	"time"
)

// A router that is not ready gets no new connections once its balancer has asked it twice, which
// takes two seconds. This helps only while others have room: readiness is for a router that has
// more load than the others. If all routers are overloaded alike, each refuses what it can't
// serve and stays ready.
const (
	// fullExcess is the ratio of the router's load to the mean of all routers from which it
	// has more than the others, and evenExcess the one up to which it has not. A hash of a
	// few hundred callers gives the routers loads that differ by a half.
	fullExcess, evenExcess = 1.6, 1.1
	// fullAfter is for how long a router must be overloaded to be full.
	fullAfter = 2 * time.Second
	// highUse and lowUse are the uses of the processor share from which a router is pressed
	// and up to which it is calm. Between them it keeps its state.
	highUse, lowUse = 0.92, 0.6
	// highMemory is the use of the memory for requests from which a router is pressed.
	highMemory = 0.8
	// calmAfter is for how long a router must be calm to be ready again.
	calmAfter = time.Second
	// initialBackoff is how long a router is not ready at least: twice the time in which a
	// balancer reacts. It is doubled up to maxDoublings times if the router gets full within
	// backoffResetAfter of its last recovery. backoffJitter is the part that varies, so that
	// routers don't return in step.
	initialBackoff    = 4 * time.Second
	maxDoublings      = 4
	backoffResetAfter = 30 * time.Second
	backoffJitter     = 0.5
	// targetUse is the use of the processor share at which closing of connections stops.
	// minClosed and maxClosed bound the fraction that is closed while a router is pressed and
	// full. A connection costs about a fifth of a request, and part of those that are closed
	// return.
	targetUse, minClosed, maxClosed = 0.7, 0.1, 0.5
)

// readiness decides whether the router is ready for new callers.
type readiness struct {
	full bool
	// pressedSince is the start of the pressure, and calmSince that of the calm, zero if there
	// is none.
	pressedSince, calmSince time.Time
	// doublings is the number of times that the backoff was doubled, and backoffUntil when it
	// ends. RecoveredAt is when the router was last no longer full.
	doublings                 int
	backoffUntil, recoveredAt time.Time
}

// pressure is how loaded a router is.
type pressure int

const (
	calm pressure = iota
	between
	pressed
)

// pressure returns how loaded the router is at the last sample.
func (o *Overload) pressure() pressure {
	standing := o.standing()
	switch {
	case standing > targetLateness, o.admission.isBinding(o.last.At), o.use >= highUse, o.last.Memory >= highMemory:
		return pressed
	case standing > targetLateness/2, o.admission.limit > 0, o.use > lowUse:
		return between
	}
	return calm
}

// update updates the state with a sample.
func (r *readiness) update(s Sample, p pressure, random *rand.Rand) Change {
	now := s.At
	r.pressedSince = since(r.pressedSince, p == pressed, now)
	r.calmSince = since(r.calmSince, p == calm, now)
	switch {
	case !r.full && s.Excess >= fullExcess && lasts(r.pressedSince, fullAfter, now):
		r.full = true
		if !r.recoveredAt.IsZero() && now.Sub(r.recoveredAt) < backoffResetAfter {
			r.doublings = min(r.doublings+1, maxDoublings)
		} else {
			r.doublings = 0
		}
		backoff := float64(initialBackoff << r.doublings)
		r.backoffUntil = now.Add(time.Duration(backoff * (1 + backoffJitter*random.Float64())))
		return Full
	case r.full && !now.Before(r.backoffUntil) && (lasts(r.calmSince, calmAfter, now) || s.Excess > 0 && s.Excess <= evenExcess):
		r.full, r.recoveredAt = false, now
		return Recovered
	}
	return Unchanged
}

// since returns when a condition that holds or does not hold at now began to hold, zero if it
// does not. Before is the former such time.
func since(before time.Time, holds bool, now time.Time) time.Time {
	switch {
	case !holds:
		return time.Time{}
	case before.IsZero():
		return now
	}
	return before
}

// lasts reports whether a condition that began to hold at start has held for d at now. Start is
// zero if it does not hold.
func lasts(start time.Time, d time.Duration, now time.Time) bool {
	return !start.IsZero() && now.Sub(start) >= d
}

// IsReady reports whether the router is ready for new callers.
func (o *Overload) IsReady() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.readiness.full
}

// CloseFraction returns the fraction of callers' connections to close, each after its response,
// so that their callers connect to other routers.
func (o *Overload) CloseFraction() float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.readiness.full || o.readiness.pressedSince.IsZero() {
		return 0
	}
	return min(max(minClosed, 1-targetUse/max(o.use, targetUse), o.admission.refusedPart), maxClosed)
}
