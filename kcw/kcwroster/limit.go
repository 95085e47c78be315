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

// limiter keeps the rate limits of upstreams.
type limiter interface {
	// Observe takes note of an answer.
	Observe(notice LimitNotice)
	// Retain drops the upstreams for which isListed returns false.
	Retain(isListed func(upstream string) bool)
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
