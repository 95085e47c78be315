// Package kcwsuspicion keeps at which upstreams prompts with a part were cut, for as long as no
// answer to a prompt with the part has got further. A part that may crash upstreams is tried at
// another one next: an answer there shows that the part is sound and its upstream was not, and
// another end shows the opposite. Otherwise placement by the parts of a prompt sends the next
// one to the same upstream, which can't tell the two apart. The package does no I/O and reads
// no clock.
package kcwsuspicion

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxUpstreams bounds the upstreams that are kept for one part.
const maxUpstreams = 64

// Config configures a Table. Both fields must be positive.
type Config struct {
	// Window is the age up to which a cut counts.
	Window time.Duration
	// MaxParts bounds the parts that are remembered.
	MaxParts int
}

// Table holds the suspicions. It is safe for concurrent use.
type Table struct {
	cfg Config

	mu sync.Mutex
	// parts holds, for each suspected part, the last cut of a prompt with it at each upstream.
	parts *simplelru.LRU[string, map[string]cut]
}

// cut is a cut of a prompt, within the answer if begun is set, or else before it.
type cut struct {
	at    time.Time
	begun bool
}

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
}

// Kind classifies an Error.
type Kind int

// Invalid means that a field of Config is not positive.
const Invalid Kind = 1

// Error describes the failure.
func (e *Error) Error() string {
	return "kcwsuspicion: " + e.Op + ": a field of Config is not positive"
}

// New returns an empty Table. The error is an *Error of kind Invalid.
func New(cfg Config) (*Table, error) {
	parts, err := simplelru.NewLRU[string, map[string]cut](cfg.MaxParts, nil)
	if err != nil || cfg.Window <= 0 {
		return nil, &Error{Op: "new", Kind: Invalid}
	}
	return &Table{cfg: cfg, parts: parts}, nil
}

// Cut records that a prompt with the part was cut at an upstream, within the answer if isBegun is
// set, or else before it.
func (t *Table) Cut(part, upstream string, isBegun bool, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	cuts, found := t.parts.Get(part)
	if !found {
		cuts = map[string]cut{}
		t.parts.Add(part, cuts)
	}
	if at.After(cuts[upstream].at) {
		cuts[upstream] = cut{at, isBegun}
	}
	if len(cuts) > maxUpstreams {
		delete(cuts, earliest(cuts))
	}
}

// earliest returns the upstream whose cut is the earliest.
func earliest(cuts map[string]cut) string {
	return slices.MinFunc(slices.Sorted(maps.Keys(cuts)), func(a, b string) int { return cuts[a].at.Compare(cuts[b].at) })
}

// Begin records that an answer to a prompt with the parts has begun, which ends the suspicion of
// each of them for cuts before an answer. It returns those that were suspected because of such cuts.
func (t *Table) Begin(parts []string) (suspected []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, part := range parts {
		before, _ := t.parts.Peek(part)
		count := len(before)
		if after := t.drop(part, func(_ string, c cut) bool { return !c.begun }); len(after) < count {
			suspected = append(suspected, part)
		}
	}
	return suspected
}

// Complete records that an answer to a prompt with the parts was whole, which ends the suspicion of
// each of them. It returns those that were suspected.
func (t *Table) Complete(parts []string) (suspected []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, part := range parts {
		if t.parts.Remove(part) {
			suspected = append(suspected, part)
		}
	}
	return suspected
}

// drop drops the cuts of a part for which isOver reports true, and returns the others.
func (t *Table) drop(part string, isOver func(upstream string, c cut) bool) map[string]cut {
	cuts, found := t.parts.Peek(part)
	if !found {
		return nil
	}
	maps.DeleteFunc(cuts, isOver)
	if len(cuts) == 0 {
		t.parts.Remove(part)
	}
	return cuts
}

// Avoided returns the upstreams, in the order of their names, at which prompts with any of the
// parts were cut, nil for none.
func (t *Table) Avoided(parts []string, now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var avoided []string
	for _, part := range parts {
		cuts := t.drop(part, func(_ string, c cut) bool { return now.Sub(c.at) > t.cfg.Window })
		avoided = slices.AppendSeq(avoided, maps.Keys(cuts))
	}
	slices.Sort(avoided)
	return slices.Compact(avoided)
}
