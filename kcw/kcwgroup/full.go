package kcwgroup

import (
	"errors"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwwal"
)

// roomPause is the pause between two tries to write to a full disk.
const roomPause = 50 * time.Millisecond

// Full reports whether the replica waits for room on its disk. It neither votes nor
// leads meanwhile.
func (g *Group) Full() bool { return g.full.Load() }

// whenRoom calls write, and again as long as it finds the disk full. What was not
// written was not acknowledged to anybody, so that the replica may go on from there.
// Meanwhile it takes part in nothing: the others elect a leader, and calls are refused
// with that leader's address.
func (g *Group) whenRoom(write func() error) error {
	err := write()
	if !isFull(err) {
		return err
	}
	since := g.cfg.Now()
	g.withdraw(err)
	for isFull(err) {
		if stop := g.pauseFull(); stop != nil {
			return stop
		}
		err = write()
	}
	g.full.Store(false)
	klog.InfoS("Disk has room again", "Group", g.cfg.Group, "Replica", g.identity.ID, "Elapsed", g.cfg.Now().Sub(since).String())
	return err
}

func isFull(err error) bool {
	var e *kcwwal.Error
	return errors.As(err, &e) && e.Kind == kcwwal.Full
}

// withdraw says that the disk is full, drops what can be dropped, and ends the calls
// that wait.
func (g *Group) withdraw(cause error) {
	klog.ErrorS(cause, "Disk is full: the replica neither votes nor leads", "Group", g.cfg.Group, "Replica", g.identity.ID)
	if err := g.store.DropOlder(); err != nil {
		klog.ErrorS(err, "Older snapshot not dropped", "Group", g.cfg.Group)
	}
	status := g.replica.Status()
	status.Role = "full"
	status.Leader, status.LeaderAddress = 0, ""
	g.status.Store(status)
	g.publishHeard(time.Time{})
	g.full.Store(true)
	for _, c := range g.waiters.removeIf(func(uint64) bool { return true }) {
		c.finish(outcome{err: fail("propose", OutcomeUnknown, nil)})
	}
	for id, calls := range g.confirming {
		g.finishAll(calls, fail("confirm", NotLeader, nil))
		delete(g.confirming, id)
	}
}

// pauseFull waits until the next try to write. It refuses calls and learns from
// messages who leads. The error is errStopped if the group is closed.
func (g *Group) pauseFull() error {
	timer := time.NewTimer(roomPause)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return nil
		case <-g.stopping:
			return errStopped
		case msgs := <-g.inbox:
			g.overhear(msgs)
		case c := <-g.proposals:
			g.refuseFull("propose", c)
		case c := <-g.confirms:
			g.refuseFull("confirm", c)
		case c := <-g.changes:
			g.refuseFull("change members", c)
		}
	}
}

func (g *Group) refuseFull(op string, c *call) {
	if !c.take() {
		return
	}
	e := fail(op, NotLeader, nil)
	if m := g.contact(g.status.Load().GetLeader()); m != nil {
		e.Leader = addressOf(m)
	}
	c.finish(outcome{err: e})
}

// overhear takes from messages who leads. They are dropped, as on a bad network.
func (g *Group) overhear(msgs []*kcwpb.Message) {
	for _, m := range msgs {
		status := g.status.Load()
		from := g.contact(m.From)
		if m.Kind != kcwpb.MessageKind_MESSAGE_KIND_APPEND || m.Term < status.GetTerm() || from == nil {
			continue
		}
		g.publishHeard(g.cfg.Now())
		if status.GetLeader() == m.From && status.GetTerm() == m.Term {
			continue
		}
		heard := proto.Clone(status).(*kcwpb.GroupStatus)
		heard.Term, heard.Leader, heard.LeaderAddress = m.Term, m.From, from.Address
		g.status.Store(heard)
	}
}
