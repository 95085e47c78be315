package kcwgroup

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"kingcupwick.example/kcw/kcwfolder"
	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwsnapshot"
	"kingcupwick.example/kcw/kcwwal"
)

// fullRetryInterval is the pause between two attempts to write to the log on a full disk,
// or to remove parts of it, and snapshotRetryInterval that between two attempts to write a
// snapshot, each of which may write most of it.
const (
	fullRetryInterval     = 50 * time.Millisecond
	snapshotRetryInterval = 500 * time.Millisecond
)

// NewWhenRoom calls New again while the disk is full, until ctx ends, so that a process that
// starts on a full disk need not end. The error is that of the last call of New.
func NewWhenRoom(ctx context.Context, cfg Config) (*Group, error) {
	g, err := New(cfg)
	if !isFull(err) {
		return g, err
	}
	klog.InfoS("Disk is full: the replica is not started yet", "Group", cfg.Group, "Cause", err.Error())
	pause := time.NewTicker(fullRetryInterval)
	defer pause.Stop()
	for isFull(err) {
		select {
		case <-ctx.Done():
			return nil, err
		case <-pause.C:
		}
		g, err = New(cfg)
	}
	if err == nil {
		klog.InfoS("Disk is no longer full: the replica is started", "Group", cfg.Group, "Replica", g.identity.ID)
	}
	return g, err
}

// Full reports whether the replica is waiting for free space on its disk. It neither
// votes nor leads while it waits.
func (g *Group) Full() bool { return g.full.Load() }

// retryWhileFull calls write until it no longer finds the disk full. Unwritten entries
// were not acknowledged to any replica or caller, so that the replica can continue in
// the same process. Until then it does not participate in the group: the others elect
// a leader, and calls are rejected with that leader's address.
func (g *Group) retryWhileFull(write func() error) error {
	err := write()
	if !isFull(err) {
		return err
	}
	since := g.cfg.Now()
	g.enterFull(err)
	for isFull(err) {
		if stop := g.waitWhileFull(); stop != nil {
			return stop
		}
		err = write()
	}
	g.full.Store(false)
	klog.InfoS("Disk is no longer full", "Group", g.cfg.Group, "Replica", g.identity.ID, "Elapsed", g.cfg.Now().Sub(since).String())
	return err
}

// isFull reports whether err means that the log, the snapshots or the folder found the disk
// full and changed nothing.
func isFull(err error) bool {
	var log *kcwwal.Error
	var snapshot *kcwsnapshot.Error
	var folder *kcwfolder.Error
	return errors.As(err, &log) && log.Kind == kcwwal.Full ||
		errors.As(err, &snapshot) && snapshot.Kind == kcwsnapshot.Full ||
		errors.As(err, &folder) && folder.Kind == kcwfolder.Full
}

// compactLog removes the segments of the log up to compactTo. If the disk is too full for
// that, they are left until a later tick: nothing depends on their removal.
func (g *Group) compactLog() error {
	err := g.wal.Compact(g.compactTo)
	waited := !g.compactAt.IsZero()
	switch {
	case isFull(err):
		if !waited {
			klog.InfoS("Disk is too full to remove segments of the log", "Group", g.cfg.Group, "Replica", g.identity.ID, "Index", g.compactTo, "Cause", err.Error())
		}
		g.compactAt = g.cfg.Now().Add(fullRetryInterval)
		return nil
	case err != nil:
		return fail("compact", Storage, err)
	case waited:
		klog.InfoS("Segments of the log removed after a full disk", "Group", g.cfg.Group, "Replica", g.identity.ID, "Index", g.compactTo)
	}
	g.compactAt = time.Time{}
	return nil
}

// repeatSnapshot calls write, which writes the snapshot meta, until it no longer finds the
// disk full, a newer snapshot is stored or the group stops. It returns the last error.
func (g *Group) repeatSnapshot(meta *kcwpb.SnapshotChunk, write func() error) error {
	err := write()
	if !isFull(err) {
		return err
	}
	since := g.cfg.Now()
	klog.InfoS("Disk is too full for a snapshot", "Group", g.cfg.Group, "Replica", g.identity.ID, "Index", meta.Index, "Cause", err.Error())
	pause := time.NewTicker(snapshotRetryInterval)
	defer pause.Stop()
	for isFull(err) && g.store.Latest().GetIndex() < meta.Index {
		select {
		case <-g.halting:
			return err
		case <-pause.C:
		}
		err = write()
	}
	if err == nil {
		klog.InfoS("Snapshot written after a full disk", "Group", g.cfg.Group, "Replica", g.identity.ID, "Index", meta.Index, "Elapsed", g.cfg.Now().Sub(since).String())
	}
	return err
}

// enterFull logs that the disk is full, publishes a status without a leader, removes
// older snapshots to free space and ends all waiting calls.
func (g *Group) enterFull(cause error) {
	klog.ErrorS(cause, "Disk is full: the replica neither votes nor leads", "Group", g.cfg.Group, "Replica", g.identity.ID)
	if err := g.store.DropOlder(); err != nil {
		klog.ErrorS(err, "Could not remove older snapshots", "Group", g.cfg.Group)
	}
	status := g.replica.Status()
	status.Role = "full"
	status.Leader, status.LeaderAddress = 0, ""
	g.status.Store(status)
	g.publishContact(time.Time{})
	g.full.Store(true)
	for _, c := range g.waiters.removeIf(func(uint64) bool { return true }) {
		c.finish(outcome{err: fail("propose", OutcomeUnknown, nil)})
	}
	for id, calls := range g.pendingConfirms {
		g.finishAll(calls, fail("confirm", NotLeader, nil))
		delete(g.pendingConfirms, id)
	}
}

// waitWhileFull waits until the next attempt to write. Meanwhile it rejects calls and
// tracks the leader. It returns errStopped if the group is closed.
func (g *Group) waitWhileFull() error {
	timer := time.NewTimer(fullRetryInterval)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return nil
		case <-g.stopping:
			return errStopped
		case msgs := <-g.inbox:
			g.trackLeader(msgs)
		case c := <-g.proposals:
			g.rejectWhileFull("propose", c)
		case c := <-g.confirms:
			g.rejectWhileFull("confirm", c)
		case c := <-g.changes:
			g.rejectWhileFull("change members", c)
		}
	}
}

func (g *Group) rejectWhileFull(op string, c *call) {
	if !c.accept() {
		return
	}
	e := fail(op, NotLeader, nil)
	if m := g.contact(g.status.Load().GetLeader()); m != nil {
		e.Leader = addressOf(m)
	}
	c.finish(outcome{err: e})
}

// trackLeader updates the published leader from messages and drops the messages, as an
// unreliable network might.
func (g *Group) trackLeader(msgs []*kcwpb.Message) {
	for _, m := range msgs {
		status := g.status.Load()
		from := g.contact(m.From)
		if m.Kind != kcwpb.MessageKind_MESSAGE_KIND_APPEND || m.Term < status.GetTerm() || from == nil {
			continue
		}
		g.publishContact(g.cfg.Now())
		if status.GetLeader() == m.From && status.GetTerm() == m.Term {
			continue
		}
		updated := proto.Clone(status).(*kcwpb.GroupStatus)
		updated.Term, updated.Leader, updated.LeaderAddress = m.Term, m.From, from.Address
		g.status.Store(updated)
	}
}
