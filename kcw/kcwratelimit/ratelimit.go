// Package kcwratelimit holds the rate limits that upstreams name in their answers. A limit
// is a number of requests per second from all routers together. It holds until a later
// answer of the upstream names another one, or none.
//
// Routers see answers at different times and learn of each other's late, so that each
// limit carries when its request was sent and when its answer arrived. The order of two
// answers is certain if one request was sent after the other's answer had arrived. The
// package does no I/O and reads no clock.
package kcwratelimit

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// MaxUpstreams bounds the upstreams in a Table. It is several times the largest fleet.
const MaxUpstreams = 4096

// endedRetention is how long a Table keeps a limit that has ended. It is longer than reports
// of earlier answers take to arrive.
const endedRetention = time.Minute

// Limit is what an answer of an upstream states about the upstream's rate limit.
type Limit struct {
	// Upstream and Service identify the upstream.
	Upstream, Service string
	// PerSecond is the limit in requests per second, zero if the answer names none.
	PerSecond float64
	// Most is the largest number of requests that may arrive in any one second, zero if the
	// limit holds on average only. Limits that upstreams name have none.
	Most float64
	// SentAt is when the request was sent, zero if that is not known. AnsweredAt is when
	// its answer arrived.
	SentAt, AnsweredAt time.Time
}

// isLooser reports whether l permits more requests than other.
func (l *Limit) isLooser(other Limit) bool {
	return other.PerSecond > 0 && (l.PerSecond == 0 || l.PerSecond > other.PerSecond)
}

// Table holds the newest limit of each upstream. It is safe for concurrent use.
type Table struct {
	mu     sync.RWMutex
	limits map[string]Limit
}

// NewTable returns an empty Table.
func NewTable() *Table { return &Table{limits: map[string]Limit{}} }

// Apply stores l if it is newer than the limit held of the same upstream. A looser limit
// must be newer for certain. Apply returns the limit held before, and whether the limit in
// force has changed.
func (t *Table) Apply(l Limit) (before Limit, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before, found := t.limits[l.Upstream]
	switch {
	case !found && len(t.limits) >= MaxUpstreams:
		return before, false
	case found && !l.AnsweredAt.After(before.AnsweredAt):
		return before, false
	case l.isLooser(before) && !l.SentAt.After(before.AnsweredAt):
		return before, false
	}
	t.limits[l.Upstream] = l
	return before, l.PerSecond != before.PerSecond
}

// Get returns the newest limit of the upstream, and whether any is held. A limit of zero
// has ended.
func (t *Table) Get(upstream string) (Limit, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	l, found := t.limits[upstream]
	return l, found
}

// All returns all limits, also those that have ended lately, sorted by upstream.
func (t *Table) All() []Limit {
	t.mu.RLock()
	defer t.mu.RUnlock()
	all := make([]Limit, 0, len(t.limits))
	for _, l := range t.limits {
		all = append(all, l)
	}
	slices.SortFunc(all, func(a, b Limit) int { return strings.Compare(a.Upstream, b.Upstream) })
	return all
}

// InForce returns the limits in force, sorted by upstream.
func (t *Table) InForce() []Limit {
	return slices.DeleteFunc(t.All(), func(l Limit) bool { return l.PerSecond == 0 })
}

// Expire drops the upstreams for which isListed returns false, and the limits that ended
// long before now. It returns what it has dropped.
func (t *Table) Expire(isListed func(upstream string) bool, now time.Time) []Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	var dropped []Limit
	for id, l := range t.limits {
		if !isListed(id) || l.PerSecond == 0 && now.Sub(l.AnsweredAt) > endedRetention {
			dropped = append(dropped, l)
			delete(t.limits, id)
		}
	}
	return dropped
}
