// Package kcwfeed notifies watches of changes of a replicated state.
package kcwfeed

import (
	"io"
	"sync"
)

// Config configures a Feed.
type Config struct {
	// Machine is the observed state machine.
	Machine stateMachine
	// Revision returns the revision of the state machine.
	Revision func() uint64
}

// stateMachine is a replicated state machine.
type stateMachine interface {
	Apply(index uint64, data []byte) []byte
	Freeze() func(io.Writer) error
	Restore(r io.Reader) error
}

// Feed passes commands to a state machine and notifies waiting goroutines when the
// machine's revision has changed.
type Feed struct {
	cfg Config

	mu       sync.Mutex
	revision uint64
	changed  chan struct{}
}

// New returns a Feed for cfg.Machine.
func New(cfg Config) *Feed {
	return &Feed{cfg: cfg, changed: make(chan struct{})}
}

// Apply applies one command and returns its result.
func (f *Feed) Apply(index uint64, data []byte) []byte {
	result := f.cfg.Machine.Apply(index, data)
	f.notify()
	return result
}

// Freeze returns a function that writes a snapshot of the state machine as it is
// now.
func (f *Feed) Freeze() func(io.Writer) error {
	return f.cfg.Machine.Freeze()
}

// Restore replaces the state by the snapshot that r holds. If it returns an error,
// which is the state machine's, the state is unchanged.
func (f *Feed) Restore(r io.Reader) error {
	if err := f.cfg.Machine.Restore(r); err != nil {
		return err
	}
	f.notify()
	return nil
}

// Changed returns a channel that is closed at the next change of the revision.
func (f *Feed) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// notify closes the channel of Changed if the revision has changed.
func (f *Feed) notify() {
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
