package kcwroster

import "time"

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

// Standing is whether an upstream's rate limit lets a request through.
type Standing int

// Standings.
const (
	// Unlimited: the upstream has no limit.
	Unlimited Standing = iota
	// Permitted: this router has a permit for a request to the upstream.
	Permitted
	// Probe: this router has a permit that it should use now, to learn whether the limit
	// has ended.
	Probe
	// Closed: this router has no permit.
	Closed
)

// limiter keeps the rate limits of upstreams.
type limiter interface {
	// Observe takes note of an answer.
	Observe(notice LimitNotice)
	// Retain drops the upstreams for which isListed returns false.
	Retain(isListed func(upstream string) bool)
	// IsLimiting reports whether any upstream has a limit.
	IsLimiting() bool
	// Standing returns whether a request may go to the upstream.
	Standing(upstream string) Standing
	// Take uses up a permit and reports whether there was one, or whether the upstream has
	// no limit.
	Take(upstream string) bool
	// Displace records that a request would have gone to an upstream that is Closed.
	Displace(service, upstream string)
}

// sharedPromptFraction is the fraction of a prompt that other requests share, above which a
// request goes where its prefix is cached rather than where there is a permit left.
const sharedPromptFraction = 0.5

// chooseWithinLimits chooses among usable upstreams for the request and takes a permit if the
// upstream has a rate limit. It returns nil if all are at their limits. A request that can't
// go to the upstream that it would have gone to without limits uses a permit for another
// one, unless it shares much of its prompt with others: what the permits leave to be served
// is what loads the upstreams without a limit.
func (r *Roster) chooseWithinLimits(usable []*upstream, request Request, now time.Time) *upstream {
	limits := r.cfg.Limits
	var unlimited, permitted []*upstream
	closed := map[*upstream]bool{}
	for _, u := range usable {
		switch limits.Standing(u.ID) {
		case Unlimited:
			unlimited = append(unlimited, u)
		case Permitted:
			permitted = append(permitted, u)
		case Probe:
			if limits.Take(u.ID) {
				return u
			}
		case Closed:
			closed[u] = true
		}
	}
	preferred := r.choose(usable, request, now)
	if !closed[preferred] && limits.Take(preferred.ID) {
		return preferred
	}
	limits.Displace(request.Service, preferred.ID)
	first, second := permitted, unlimited
	if float64(request.PrefixTokens) > sharedPromptFraction*float64(request.PromptTokens) {
		first, second = unlimited, permitted
	}
	for _, candidates := range [][]*upstream{first, second} {
		if len(candidates) == 0 {
			continue
		}
		if u := r.choose(candidates, request, now); limits.Take(u.ID) {
			return u
		}
	}
	return nil
}

// IsAtLimit reports whether upstreams could receive the request but for their rate limits.
func (r *Roster) IsAtLimit(request Request) bool {
	if r.cfg.Limits == nil || !r.cfg.Limits.IsLimiting() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.usable(request, r.cfg.Now())) > 0
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
