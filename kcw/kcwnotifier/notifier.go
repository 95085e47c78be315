// Package kcwnotifier notifies watches of changes of a replicated state.
package kcwnotifier

import (
	"io"
	"sync"
)

// Config configures a Notifier.
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

// Notifier passes commands to a state machine and notifies waiting goroutines when the
// machine's revision has changed.
type Notifier struct {
	cfg Config

	mu       sync.Mutex
	revision uint64
	changed  chan struct{}
}

// New returns a Notifier for cfg.Machine.
func New(cfg Config) *Notifier {
	return &Notifier{cfg: cfg, changed: make(chan struct{})}
}

// Apply applies one command and returns its result.
func (n *Notifier) Apply(index uint64, data []byte) []byte {
	result := n.cfg.Machine.Apply(index, data)
	n.notify()
	return result
}

// Freeze returns a function that writes a snapshot of the state machine as it is
// now.
func (n *Notifier) Freeze() func(io.Writer) error {
	return n.cfg.Machine.Freeze()
}

// Restore replaces the state by the snapshot that r holds. If it returns an error,
// which is the state machine's, the state is unchanged.
func (n *Notifier) Restore(r io.Reader) error {
	if err := n.cfg.Machine.Restore(r); err != nil {
		return err
	}
	n.notify()
	return nil
}

// Changed returns a channel that is closed at the next change of the revision.
func (n *Notifier) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// notify closes the channel of Changed if the revision has changed.
func (n *Notifier) notify() {
	revision := n.cfg.Revision()
	n.mu.Lock()
	defer n.mu.Unlock()
	if revision == n.revision {
		return
	}
	n.revision = revision
	close(n.changed)
	n.changed = make(chan struct{})
}
