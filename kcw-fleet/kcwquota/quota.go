// Package kcwquota connects a router of a document-driven fleet with the rate limits that
// upstreams name: it collects what answers state about them.
package kcwquota

import (
	"sync"
	"time"

	"k8s.io/klog/v2"

	"kingcupwick.example/kcw/kcwratelimit"
	"kingcupwick.example/kcw/kcwroster"
)

// Config configures a Quota. Every field is needed.
type Config struct {
	// OnMalformed is called for the first limit of an upstream that can't be read.
	OnMalformed func()
	// Now returns a time that advances while the host is suspended.
	Now func() time.Time
}

// Quota holds the rate limits of the upstreams. It is safe for concurrent use.
type Quota struct {
	cfg   Config
	table *kcwratelimit.Table

	mu sync.Mutex
	// malformed holds the upstreams that have named a limit that can't be read.
	malformed map[string]bool
}

// New returns a Quota without limits.
func New(cfg Config) *Quota {
	return &Quota{cfg: cfg, table: kcwratelimit.NewTable(), malformed: map[string]bool{}}
}

// Observe implements the limiter of kcwroster.
func (q *Quota) Observe(notice kcwroster.LimitNotice) {
	if notice.Malformed != "" {
		q.logMalformed(notice)
		return
	}
	if notice.PerSecond == 0 {
		if _, found := q.table.Get(notice.Upstream); !found || !notice.MayLoosen {
			return
		}
	}
	now := q.cfg.Now()
	l := kcwratelimit.Limit{Upstream: notice.Upstream, Service: notice.Service, PerSecond: notice.PerSecond, AnsweredAt: now}
	if notice.MayLoosen {
		l.SentAt = now.Add(-notice.Elapsed)
	}
	q.apply(l, "Answer", notice.RequestID)
}

// apply stores a limit and logs a change. Source is where the limit comes from.
func (q *Quota) apply(l kcwratelimit.Limit, source, requestID string) {
	before, changed := q.table.Apply(l)
	if changed {
		klog.InfoS("Rate limit changed", "Upstream", l.Upstream, "PerSecond", l.PerSecond, "Before", before.PerSecond,
			"Source", source, "Request", requestID, "Age", q.cfg.Now().Sub(l.AnsweredAt).String())
	}
}

// logMalformed logs and counts a limit that can't be read, once for each upstream. The limit
// in force stays: the upstream still names one, and no figure tells how it has changed.
func (q *Quota) logMalformed(notice kcwroster.LimitNotice) {
	q.mu.Lock()
	isKnown := q.malformed[notice.Upstream]
	q.malformed[notice.Upstream] = true
	q.mu.Unlock()
	if isKnown {
		return
	}
	q.cfg.OnMalformed()
	inForce, _ := q.table.Get(notice.Upstream)
	klog.InfoS("Rate limit can't be read", "Upstream", notice.Upstream, "Text", notice.Malformed, "Request", notice.RequestID, "InForce", inForce.PerSecond)
}

// Retain implements the limiter of kcwroster.
func (q *Quota) Retain(isListed func(upstream string) bool) {
	q.table.Expire(isListed, q.cfg.Now())
	q.mu.Lock()
	defer q.mu.Unlock()
	for id := range q.malformed {
		if !isListed(id) {
			delete(q.malformed, id)
		}
	}
}

// Limit is the rate limit of one upstream as shown in dumps.
type Limit struct {
	Upstream  string
	PerSecond float64
	// Age is the time since the last answer that named the limit.
	Age string
}

// Limits returns the limits in force, sorted by upstream.
func (q *Quota) Limits() []Limit {
	now := q.cfg.Now()
	var limits []Limit
	for _, l := range q.table.All() {
		if l.PerSecond > 0 {
			limits = append(limits, Limit{l.Upstream, l.PerSecond, now.Sub(l.AnsweredAt).String()})
		}
	}
	return limits
}
