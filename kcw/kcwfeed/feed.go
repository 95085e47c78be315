// Package kcwfeed holds the notice that a replicated state has moved on, which
// watches wait for.
package kcwfeed

import (
	"io"
	"sync"
)

// Config configures a Feed.
type Config struct {
	// Machine is the state machine that is observed.
	Machine machine
	// Revision returns the revision whose rise is told.
	Revision func() uint64
}

// machine is a replicated state machine.
type machine interface {
	Apply(index uint64, data []byte) []byte
	Freeze() func(io.Writer) error
	Restore(r io.Reader) error
}

// Feed passes commands on to a state machine and tells waiting goroutines when
// its revision has changed.
type Feed struct {
	cfg Config

	mu       sync.Mutex
	revision uint64
	changed  chan struct{}
}

// New returns a Feed over cfg.Machine.
func New(cfg Config) *Feed {
	return &Feed{cfg: cfg, changed: make(chan struct{})}
}

// Apply applies one command and returns its result.
func (f *Feed) Apply(index uint64, data []byte) []byte {
	result := f.cfg.Machine.Apply(index, data)
	f.observe()
	return result
}

// Freeze returns a writer of a stable image of the state machine.
func (f *Feed) Freeze() func(io.Writer) error {
	return f.cfg.Machine.Freeze()
}

// Restore replaces the state by the image that r holds. It returns the state
// machine's error and then leaves the state as it was.
func (f *Feed) Restore(r io.Reader) error {
	if err := f.cfg.Machine.Restore(r); err != nil {
		return err
	}
	f.observe()
	return nil
}

// Changed returns a channel that is closed at the next change of the revision.
func (f *Feed) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

func (f *Feed) observe() {
	revision := f.cfg.Revision()
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision == f.revision {
		return
	}
	f.revision = revision
	close(f.changed)
	f.changed = make(chan struct{})
}
