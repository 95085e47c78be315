// Package kcwavailability keeps a table of the upstreams that may be given work.
//
// The table combines information that may conflict: a list of live and leaving
// upstreams that may be out of date, refusals from draining upstreams, closed
// connections, and load polls that fail or are not answered. An upstream becomes
// unusable as soon as one of these sources indicates that it is leaving or failing. It
// becomes usable again only through information that is newer and comes from the same
// source or a more direct one: the list cannot make an upstream usable that itself
// reported that it is draining. The table does no I/O and takes the time as an argument.
package kcwavailability

import (
	"sort"
	"sync"
	"time"
)

// Config holds the settings of a Table.
type Config struct {
	// Silence is the longest time for which an upstream stays usable after the
	// newest answered poll was sent. It limits how long an upstream is given work
	// that has disappeared without any other indication.
	Silence time.Duration
}

// Table records which upstreams may be given work. It is safe for concurrent use.
type Table struct {
	cfg Config

	mu        sync.Mutex
	listedAt  time.Time
	upstreams map[string]*upstream
}

// upstream is the state of one upstream.
type upstream struct {
	listed    bool      // some list has contained it
	leaving   bool      // the newest list contains it as leaving, or no longer contains it
	polledAt  time.Time // when the newest answered poll was sent
	drainedAt time.Time // when it last reported that it is draining
	suspectAt time.Time // when a connection was last closed or silent, or a poll last failed
}

// New returns an empty table. It returns an *Error of KindInvalid if
// cfg.Silence is not positive.
func New(cfg Config) (*Table, error) {
	if cfg.Silence <= 0 {
		return nil, &Error{Op: "New", Kind: KindInvalid, Detail: "Silence must be positive"}
	}
	return &Table{cfg: cfg, upstreams: make(map[string]*upstream)}, nil
}

// Add adds an upstream from the settings. It becomes usable with its first answered
// poll. Adding an upstream that the table already holds has no effect.
func (t *Table) Add(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.upstream(name)
}

// List applies the platform's list of live and leaving upstreams. AsOf is the time of
// the list by the platform's clock. If the list is not newer than the last one,
// List ignores it and returns false. An upstream that an earlier list contained and
// this one does not counts as leaving, and so does a name in both slices.
func (t *Table) List(asOf time.Time, live, leaving []string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !asOf.After(t.listedAt) {
		return false
	}
	t.listedAt = asOf
	for _, u := range t.upstreams {
		u.leaving = u.listed
	}
	for _, name := range live {
		u := t.upstream(name)
		u.listed, u.leaving = true, false
	}
	for _, name := range leaving {
		u := t.upstream(name)
		u.listed, u.leaving = true, true
	}
	return true
}

// Answered records the answer to a load poll that was sent at the time sent. An answer
// with draining set has the effect of Draining at now. The answer to a poll that was
// sent before a call of Draining or Suspect does not undo that call, even if it
// arrives later.
func (t *Table) Answered(now time.Time, name string, sent time.Time, draining bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstream(name)
	if draining {
		u.drainedAt = later(u.drainedAt, now)
		return
	}
	u.polledAt = later(u.polledAt, sent)
}

// Draining records that the upstream refused a request because it is draining.
func (t *Table) Draining(now time.Time, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstream(name)
	u.drainedAt = later(u.drainedAt, now)
}

// Suspect records that the upstream closed or refused a connection, made no progress
// on one before its deadline, or failed to answer a load poll.
func (t *Table) Suspect(now time.Time, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstream(name)
	u.suspectAt = later(u.suspectAt, now)
}

// Usable reports whether the upstream may be given new work at now.
func (t *Table) Usable(now time.Time, name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reason(now, name) == ""
}

// Reason returns why the upstream may not be given new work, as one word for logs and
// dumps: Unknown, Leaving, Draining, Suspect or Silent. It returns the empty string if
// the upstream is usable.
func (t *Table) Reason(now time.Time, name string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reason(now, name)
}

// Names returns the names of all upstreams in the table, usable or not, in sorted
// order.
func (t *Table) Names() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	names := make([]string, 0, len(t.upstreams))
	for name := range t.upstreams {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (t *Table) reason(now time.Time, name string) string {
	u := t.upstreams[name]
	switch {
	case u == nil:
		return "Unknown"
	case u.leaving:
		return "Leaving"
	case !u.polledAt.After(u.drainedAt) && !u.drainedAt.IsZero():
		return "Draining"
	case !u.polledAt.After(u.suspectAt) && !u.suspectAt.IsZero():
		return "Suspect"
	case u.polledAt.IsZero() || now.Sub(u.polledAt) > t.cfg.Silence:
		return "Silent"
	}
	return ""
}

// upstream returns the upstream with the given name, and adds it if necessary.
func (t *Table) upstream(name string) *upstream {
	u := t.upstreams[name]
	if u == nil {
		u = &upstream{}
		t.upstreams[name] = u
	}
	return u
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
