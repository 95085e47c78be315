// Package kcwstop decides which requests a router passes on to upstreams during its planned
// stop. While hosts are restarted one after the other, the remaining routers may have too
// little capacity for all callers, and so a router that stops serves on as long as it can
// answer in time. The package does no I/O.
package kcwstop

import "time"

// Stop is a planned stop.
type Stop struct {
	// EndsAt is when requests under way are cut.
	EndsAt time.Time
}

// Request is what is known of a request before it is passed on.
type Request struct {
	Route string
	// Deadline is when the caller has an answer at the latest.
	Deadline time.Time
	// MayRepeat is set if the request may run more than once, so that the caller or another
	// upstream can repeat or resume it after a cut.
	MayRepeat bool
}

// estimator tells whether the requests of a route have shown that one which begins at now ends
// within d.
type estimator interface {
	EndsWithin(route string, d time.Duration, now time.Time) bool
}

// Allows reports whether r may be passed on at now. That is so if its deadline is not after the
// end of the stop. A request that may be repeated may also rely on e: an estimate does not
// exclude that the upstream pauses for longer than it has before.
func (s Stop) Allows(r Request, e estimator, now time.Time) bool {
	if !r.Deadline.After(s.EndsAt) {
		return true
	}
	return r.MayRepeat && now.Before(s.EndsAt) && e.EndsWithin(r.Route, s.EndsAt.Sub(now), now)
}
