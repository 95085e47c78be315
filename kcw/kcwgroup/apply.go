package kcwgroup

import (
	"io"
	"sync"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"kingcupwick.example/kcw/kcwpb"
)

// maxDeferFactor is the multiple of Config.SnapshotEntries or SnapshotBytes at
// which a new snapshot is taken even while another one is being sent.
const maxDeferFactor = 8

// work is an item in the applier's queue: entries to apply, a snapshot to restore,
// or confirmations to finish once all earlier items are applied.
type work struct {
	entries  []*kcwpb.Entry
	snapshot *kcwpb.SnapshotChunk
	confirms []*call
}

// applier applies committed entries to the machine, in order and in its own
// goroutine. Lock order: mu before waiters.mu.
type applier struct {
	machine machine
	waiters *waiters
	applied atomic.Uint64

	mu     sync.Mutex
	wake   *sync.Cond
	queue  []work
	closed bool

	// The fields below are used only by the applier's goroutine. term and
	// membership are those as of the last applied entry; entries and bytes count
	// what was applied since the last snapshot.
	term       uint64
	membership *kcwpb.Membership
	entries    uint64
	bytes      int64
	limits     Config
	// writeSnapshot is called when a snapshot is due, with a function that writes
	// the state as of now. load restores the machine from a stored snapshot.
	writeSnapshot func(meta *kcwpb.SnapshotChunk, image func(io.Writer) error)
	load          func(index uint64) error
	// deferSnapshot reports whether a snapshot is being sent to another replica. A
	// newer one is then deferred, since compacting the log to it would make the
	// one being sent useless.
	deferSnapshot func() bool
	// writerIdle is false while a snapshot is being written.
	writerIdle atomic.Bool
	onError    func(error)
}

func newApplier(cfg Config, w *waiters) *applier {
	a := &applier{
		machine: cfg.Machine, waiters: w, limits: cfg,
		membership: &kcwpb.Membership{},
	}
	a.wake = sync.NewCond(&a.mu)
	a.writerIdle.Store(true)
	return a
}

// resetTo records that the machine's state is the snapshot.
func (a *applier) resetTo(meta *kcwpb.SnapshotChunk) {
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
			a.process(w)
		}
	}
}

// pull waits for queued work and returns it, and false once the applier is closed and the
// queue is empty.
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

func (a *applier) process(w work) {
	if w.snapshot != nil {
		a.restore(w.snapshot)
	}
	for _, e := range w.entries {
		a.apply(e)
	}
	for _, c := range w.confirms {
		c.finish(outcome{})
	}
	a.snapshotIfDue()
}

func (a *applier) restore(meta *kcwpb.SnapshotChunk) {
	if err := a.load(meta.Index); err != nil {
		a.onError(err)
		return
	}
	a.resetTo(meta)
	// Whether the snapshot includes the commands of these calls is unknown.
	covered := a.waiters.removeIf(func(index uint64) bool { return index <= meta.Index })
	for _, c := range covered {
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
			a.onError(err)
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

// snapshotIfDue starts to write a snapshot if enough was applied since the last one
// and none is being written.
func (a *applier) snapshotIfDue() {
	if !a.exceeds(1) || (a.deferSnapshot() && !a.exceeds(maxDeferFactor)) {
		return
	}
	if !a.writerIdle.CompareAndSwap(true, false) {
		return
	}
	a.entries, a.bytes = 0, 0
	meta := &kcwpb.SnapshotChunk{
		Index: a.applied.Load(), Term: a.term, Membership: a.membership,
	}
	a.writeSnapshot(meta, a.machine.Freeze())
}

// exceeds reports whether at least factor times Config.SnapshotEntries or factor
// times Config.SnapshotBytes was applied since the last snapshot.
func (a *applier) exceeds(factor uint64) bool {
	return a.entries >= factor*a.limits.SnapshotEntries ||
		a.bytes >= int64(factor)*a.limits.SnapshotBytes
}
