package kcwroster

import (
	"time"

	"kingcupwick.example/kcw/kcwplace"
)

// ConnBound bounds the connections to one upstream.
type ConnBound struct {
	// Total is the number of connections that the upstream accepts from all routers together,
	// zero if it is not bounded, and Part this router's part of it.
	Total, Part int
}

// busyFraction is the fraction of ConnBound.Total up to which requests of all routers may take
// the connections of an upstream before routers keep to their parts. The rest is for idle
// connections, for requests sent since the load report, and for parts that are not used up.
const busyFraction = 0.5

// connBound returns the bound for the upstreams of a service.
func (r *Roster) connBound(service string) ConnBound {
	if r.cfg.MaxConns == nil {
		return ConnBound{}
	}
	return r.cfg.MaxConns(service)
}

// spareParts multiplies the part of a router in the connections of an upstream that has spare
// ones. It bounds what a router keeps idle there.
const spareParts = 4

// isAtBound reports whether this router may send no further request to u because of the
// connections to u. A router may exceed its part while u has spare connections: the balancer
// sends some routers much more than their part of all callers.
func (u *upstream) isAtBound(bound ConnBound, now time.Time) bool {
	return bound.Total > 0 && u.inFlight >= bound.Part && !u.hasSpareConns(bound, now)
}

// hasSpareConns reports whether the upstream's own report shows that all routers together have
// few requests there.
func (u *upstream) hasSpareConns(bound ConnBound, now time.Time) bool {
	if u.load.Slots == 0 || now.Sub(u.loadAt) >= maxLoadAge {
		return false
	}
	busy := u.load.Running + u.load.Waiting + max(0, u.inFlight-u.loadInFlight)
	return float64(busy) < busyFraction*float64(bound.Total)
}

// maxOpen returns the number of open connections to u from which on idle ones make room, zero for
// none.
func (u *upstream) maxOpen(bound ConnBound, now time.Time) int {
	if bound.Total > 0 && u.hasSpareConns(bound, now) {
		return min(bound.Total, spareParts*bound.Part)
	}
	return bound.Part
}

// dialLoad is the load, in requests, that opening a connection may save at most: an upstream that
// has that much more load is chosen if it needs none. An upstream spends about a millisecond on
// a new connection, and may hold a slot for it.
const dialLoad = 0.5

// freshFraction is the part of the time since Request.UsedAfter within which an idle connection
// must have been used to be preferred. With the whole of it, requests that must not run twice
// would be sent on more connections that may have become stale than without a preference; with
// half of it, on fewer (TestIdleConnectionsArePreferred).
const freshFraction = 0.5

// preferIdle returns the upstream to choose instead of the chosen one, if that needs a new
// connection: the least loaded one with an idle connection that may carry the request, if its
// load is no more than dialLoad above that of the chosen one. It never leaves the router's zone
// for it. Services without a bound on connections are not affected.
func (r *Roster) preferIdle(upstreams []*upstream, candidates []kcwplace.Candidate, chosen int, request Request, now time.Time) int {
	usedAfter := request.UsedAfter
	if !usedAfter.IsZero() {
		usedAfter = usedAfter.Add(time.Duration(float64(now.Sub(usedAfter)) * (1 - freshFraction)))
	}
	if r.connBound(request.Service).Total <= 0 || upstreams[chosen].pool.HasIdle(usedAfter) {
		return chosen
	}
	best := chosen
	bestLoad := candidates[chosen].Load + dialLoad/float64(max(upstreams[chosen].Slots, 1))
	for i, u := range upstreams {
		isNear := candidates[i].SameZone || !candidates[chosen].SameZone
		if isNear && candidates[i].Load < bestLoad && u.pool.HasIdle(usedAfter) {
			best, bestLoad = i, candidates[i].Load
		}
	}
	return best
}

// IsAtBound reports whether the service has upstreams that could receive requests, and this
// router may open no connection to any of them.
func (r *Roster) IsAtBound(service string) bool {
	now := r.cfg.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	bound := r.connBound(service)
	found := false
	for _, u := range r.services[service] {
		switch {
		case u.isUnavailable() || now.Before(u.declinedUntil):
		case !u.isAtBound(bound, now):
			return false
		default:
			found = true
		}
	}
	return found
}

// TrimConns closes the idle connections that have expired.
func (r *Roster) TrimConns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, u := range r.byID {
		u.pool.Trim()
	}
}

// Conns returns the numbers of open and of idle connections to all upstreams, by service.
func (r *Roster) Conns() (open, idle map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	open, idle = map[string]int{}, map[string]int{}
	for _, u := range r.byID {
		conns := u.pool.Counts()
		open[u.Service] += conns.Open
		idle[u.Service] += conns.Idle
	}
	return open, idle
}
