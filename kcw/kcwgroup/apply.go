package kcwgroup

import (
	"io"
	"sync"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"kingcupwick.example/kcw/kcwpb"
)

// holdFactor is by how much the bounds on the log may be exceeded while a
// snapshot is being sent.
const holdFactor = 8

// work is one piece for the applier: entries to apply, a snapshot to restore,
// or calls to finish once all before is applied.
type work struct {
	entries  []*kcwpb.Entry
	snapshot *kcwpb.SnapshotChunk
	confirms []*call
}

// applier applies committed entries to the machine, in a goroutine of its own
// and in order. Lock order: mu before waiters.mu.
type applier struct {
	machine machine
	waiters *waiters
	applied atomic.Uint64

	mu     sync.Mutex
	wake   *sync.Cond
	queue  []work
	closed bool

	// Below belong to the applier's goroutine.
	term       uint64
	membership *kcwpb.Membership
	entries    uint64
	bytes      int64
	limits     Config
	// freeze is called with a stable image when a snapshot is due and reports
	// whether it was taken; load restores the machine from a stored snapshot.
	freeze func(meta *kcwpb.SnapshotChunk, image func(io.Writer) error)
	load   func(index uint64) error
	// hold reports whether a snapshot is being sent to another replica. A newer
	// one then waits, since cutting the log behind it would outdate the other.
	hold   func() bool
	idle   atomic.Bool
	broken func(error)
}

func newApplier(cfg Config, w *waiters) *applier {
	a := &applier{
		machine: cfg.Machine, waiters: w, limits: cfg,
		membership: &kcwpb.Membership{},
	}
	a.wake = sync.NewCond(&a.mu)
	a.idle.Store(true)
	return a
}

// restored tells that the machine holds the snapshot.
func (a *applier) restored(meta *kcwpb.SnapshotChunk) {
	a.term = meta.Term
	a.membership = meta.Membership
	a.entries, a.bytes = 0, 0
	a.applied.Store(meta.Index)
}

func (a *applier) push(w work) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue = append(a.queue, w)
	a.wake.Signal()
}

// close makes run return once the queue is empty.
func (a *applier) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	a.wake.Signal()
}

func (a *applier) run() {
	for {
		queue, ok := a.pull()
		if !ok {
			return
		}
		for _, w := range queue {
			a.do(w)
		}
	}
}

func (a *applier) pull() ([]work, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(a.queue) == 0 && !a.closed {
		a.wake.Wait()
	}
	queue := a.queue
	a.queue = nil
	return queue, len(queue) > 0
}

func (a *applier) do(w work) {
	if w.snapshot != nil {
		a.restore(w.snapshot)
	}
	for _, e := range w.entries {
		a.apply(e)
	}
	for _, c := range w.confirms {
		c.finish(outcome{})
	}
	a.freezeIfDue()
}

func (a *applier) restore(meta *kcwpb.SnapshotChunk) {
	if err := a.load(meta.Index); err != nil {
		a.broken(err)
		return
	}
	a.restored(meta)
	unknown := a.waiters.removeIf(func(index uint64) bool { return index <= meta.Index })
	for _, c := range unknown {
		c.finish(outcome{err: fail("apply", OutcomeUnknown, nil)})
	}
}

func (a *applier) apply(e *kcwpb.Entry) {
	var o outcome
	switch e.Kind {
	case kcwpb.EntryKind_ENTRY_KIND_COMMAND:
		o.data = a.machine.Apply(e.Index, e.Data)
	case kcwpb.EntryKind_ENTRY_KIND_MEMBERSHIP:
		membership := &kcwpb.Membership{}
		if err := proto.Unmarshal(e.Data, membership); err != nil {
			a.broken(err)
			return
		}
		a.membership = membership
		o.membership = membership
	}
	a.term = e.Term
	a.entries++
	a.bytes += int64(len(e.Data))
	a.applied.Store(e.Index)
	c := a.waiters.remove(e.Index)
	if c == nil {
		return
	}
	if c.term != e.Term {
		o = outcome{err: fail("apply", NotLeader, nil)}
	}
	c.finish(o)
}

// freezeIfDue takes an image of the machine when enough was applied since the
// last one and none is being written.
func (a *applier) freezeIfDue() {
	if !a.exceeds(1) || (a.hold() && !a.exceeds(holdFactor)) {
		return
	}
	if !a.idle.CompareAndSwap(true, false) {
		return
	}
	a.entries, a.bytes = 0, 0
	meta := &kcwpb.SnapshotChunk{
		Index: a.applied.Load(), Term: a.term, Membership: a.membership,
	}
	a.freeze(meta, a.machine.Freeze())
}

// exceeds reports whether factor times the bounds of Config was applied since
// the last snapshot.
func (a *applier) exceeds(factor uint64) bool {
	return a.entries >= factor*a.limits.SnapshotEntries ||
		a.bytes >= int64(factor)*a.limits.SnapshotBytes
}
