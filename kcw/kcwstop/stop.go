// Package kcwstop decides which requests a router passes on to upstreams during its planned
// stop. While hosts are restarted one after the other, the remaining routers may have too
// little capacity for all callers, and so a router that stops serves on as long as it surely
// answers in time. The package does no I/O.
package kcwstop

import "time"

// Stop is a planned stop.
type Stop struct {
	// EndsAt is when requests under way are cut.
	EndsAt time.Time
}

// Request is what is known of a request before it is passed on.
type Request struct {
	// Deadline is when the caller has an answer at the latest.
	Deadline time.Time
	// AnswerBegun is set if the caller has a part of the answer, so that the request can't be
	// refused any more.
	AnswerBegun bool
}

// Allows reports whether r may be passed on at now. That is so if its deadline is not after the
// end of the stop: how long earlier requests took does not bound this one, which may ask for
// more, at an upstream that pauses. An answer that has begun may also go on until the end of
// the stop, because otherwise it would be cut now.
func (s Stop) Allows(r Request, now time.Time) bool {
	return !r.Deadline.After(s.EndsAt) || r.AnswerBegun && now.Before(s.EndsAt)
}
