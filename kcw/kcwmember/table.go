// Package kcwmember holds the table of upstreams that may be given work.
//
// The table joins signs that disagree: a list of live and leaving upstreams
// that lags, draining answers, closed connections, and load polls that fail or
// stay unanswered. An upstream leaves at the first sign of any of them, and
// comes back only on evidence that is newer than the sign and comes from the
// same source or a better one: the list can't bring back an upstream that said
// itself that it drains. The table does no I/O and takes its clock as an
// argument.
package kcwmember

import (
	"sort"
	"sync"
	"time"
)

// Config holds the bounds of a Table.
type Config struct {
	// Silence is the longest time after the newest answered poll was sent in
	// which an upstream is still given work. It bounds how long an upstream
	// that vanished without any sign gets work.
	Silence time.Duration
}

// Table says which upstreams may be given work. It is safe for concurrent use.
type Table struct {
	cfg Config

	mu       sync.Mutex
	listedAt time.Time
	hosts    map[string]*host
}

// host is what is known of one upstream.
type host struct {
	listed    bool      // named by some list, or added by the settings
	leaving   bool      // the newest list names it leaving or leaves it out
	heardAt   time.Time // when the newest answered poll was sent
	drainedAt time.Time // when it last said that it drains
	suspectAt time.Time // the last closed connection, failed poll or silence
}

// New returns an empty table. It returns an *Error of KindInvalid if
// cfg.Silence is not positive.
func New(cfg Config) (*Table, error) {
	if cfg.Silence <= 0 {
		return nil, &Error{Op: "New", Kind: KindInvalid, Detail: "Silence must be positive"}
	}
	return &Table{cfg: cfg, hosts: make(map[string]*host)}, nil
}

// Add makes an upstream known that the settings name. It is given work after
// its first answered poll. Adding a known upstream changes nothing.
func (t *Table) Add(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.host(name)
}

// List takes the platform's list of live and leaving upstreams as of asOf, by
// the platform's own clock. A list that is not newer than the one before is
// ignored and List returns false. An upstream that an earlier list named and
// that is now left out counts as leaving; a name that is in both slices too.
func (t *Table) List(asOf time.Time, live, leaving []string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !asOf.After(t.listedAt) {
		return false
	}
	t.listedAt = asOf
	for _, h := range t.hosts {
		h.leaving = h.listed
	}
	for _, name := range live {
		h := t.host(name)
		h.listed, h.leaving = true, false
	}
	for _, name := range leaving {
		h := t.host(name)
		h.listed, h.leaving = true, true
	}
	return true
}

// Answered notes the answer to a load poll that was sent at sent. A poll
// answer that says draining counts as Draining at now. A poll sent before a
// sign came in does not lift that sign, however late its answer arrives.
func (t *Table) Answered(now time.Time, name string, sent time.Time, draining bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.host(name)
	if draining {
		h.drainedAt = later(h.drainedAt, now)
		return
	}
	h.heardAt = later(h.heardAt, sent)
}

// Draining notes that the upstream refused a request because it drains.
func (t *Table) Draining(now time.Time, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.host(name)
	h.drainedAt = later(h.drainedAt, now)
}

// Suspect notes a connection that the upstream closed or refused, a
// connection that went silent past its progress deadline, or a load poll that
// failed.
func (t *Table) Suspect(now time.Time, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.host(name)
	h.suspectAt = later(h.suspectAt, now)
}

// Usable reports whether the upstream may be given new work at now.
func (t *Table) Usable(now time.Time, name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reason(now, name) == ""
}

// Reason returns why the upstream gets no new work, in one word for logs and
// dumps, or the empty string if it may be given work: Unknown, Leaving,
// Draining, Suspect or Silent.
func (t *Table) Reason(now time.Time, name string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reason(now, name)
}

// Names returns the known upstreams in order, usable or not.
func (t *Table) Names() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	names := make([]string, 0, len(t.hosts))
	for name := range t.hosts {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (t *Table) reason(now time.Time, name string) string {
	h := t.hosts[name]
	switch {
	case h == nil:
		return "Unknown"
	case h.leaving:
		return "Leaving"
	case !h.heardAt.After(h.drainedAt) && !h.drainedAt.IsZero():
		return "Draining"
	case !h.heardAt.After(h.suspectAt) && !h.suspectAt.IsZero():
		return "Suspect"
	case h.heardAt.IsZero() || now.Sub(h.heardAt) > t.cfg.Silence:
		return "Silent"
	}
	return ""
}

// host returns the record of name and makes it if there is none.
func (t *Table) host(name string) *host {
	h := t.hosts[name]
	if h == nil {
		h = &host{}
		t.hosts[name] = h
	}
	return h
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
