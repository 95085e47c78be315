package kcwroster

import (
	"cmp"
	"slices"
	"time"

	"kingcupwick.example/kcw/kcwplace"
)

// LimitNotice is what an answer of an upstream states about the upstream's rate limit.
type LimitNotice struct {
	Upstream, Service string
	// RequestID identifies the request, for the log.
	RequestID string
	// PerSecond is the limit in requests per second, zero if the answer names none.
	// Malformed is the text of a limit that can't be read.
	PerSecond float64
	Malformed string
	// MayLoosen is set if the answer may raise or end a limit. Interim answers, failures
	// and answers to earlier requests may not.
	MayLoosen bool
	// Elapsed is the time from the start of the attempt to its answer.
	Elapsed time.Duration
}

// limiter keeps the rate limits of upstreams.
type limiter interface {
	// Observe takes note of an answer.
	Observe(notice LimitNotice)
	// Retain drops the upstreams for which isListed returns false.
	Retain(isListed func(upstream string) bool)
	// IsLimiting reports whether any upstream has a limit.
	IsLimiting() bool
	// HasLimit reports whether the upstream has a limit.
	HasLimit(upstream string) bool
}

// withoutLimit returns those of the upstreams that have no rate limit, and the one for which
// the request has a permit.
func (r *Roster) withoutLimit(upstreams []*upstream, permit string) []*upstream {
	limits := r.cfg.Limits
	if limits == nil || !limits.IsLimiting() {
		return upstreams
	}
	var open []*upstream
	for _, u := range upstreams {
		if u.ID == permit {
			return []*upstream{u}
		}
		if !limits.HasLimit(u.ID) {
			open = append(open, u)
		}
	}
	return open
}

// Limited returns the upstreams with a rate limit that the request may go to with a permit,
// the best first, if it would go to one of them but for the limits. HasOther is set if it
// may also go to an upstream without a limit.
func (r *Roster) Limited(request Request) (ids []string, hasOther bool) {
	limits := r.cfg.Limits
	if limits == nil || !limits.IsLimiting() {
		return nil, true
	}
	now := r.cfg.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	usable := r.usable(request, now)
	if len(usable) == 0 {
		return nil, false
	}
	best := r.choose(usable, request, now)
	if !limits.HasLimit(best.ID) {
		return nil, true
	}
	var limited []*upstream
	for _, u := range usable {
		if u != best && limits.HasLimit(u.ID) {
			limited = append(limited, u)
		}
	}
	hasOther = len(limited)+1 < len(usable)
	slices.SortStableFunc(limited, func(a, b *upstream) int {
		return cmp.Compare(kcwplace.Rank(request.Prefix, b.hash), kcwplace.Rank(request.Prefix, a.hash))
	})
	ids = append(ids, best.ID)
	for _, u := range limited {
		ids = append(ids, u.ID)
	}
	return ids, hasOther
}

// ReportLimit passes on what an answer states about the upstream's rate limit. It sets the
// fields of notice that describe the upstream and the attempt.
func (a *Attempt) ReportLimit(notice LimitNotice) {
	limits := a.roster.cfg.Limits
	if limits == nil {
		return
	}
	notice.Upstream, notice.Service = a.upstream.ID, a.upstream.Service
	notice.Elapsed = a.roster.cfg.Now().Sub(a.began)
	limits.Observe(notice)
}
