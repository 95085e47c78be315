package kcwgroup

import (
	"errors"
	"time"

	"k8s.io/klog/v2"

	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwreplica"
)

const (
	// A batch of proposals is complete at maxBatch proposals or batchBytes bytes.
	maxBatch   = 4096
	batchBytes = 4 << 20
	// maxInbox limits the queued calls of Step that are handled before the
	// replica's output is processed.
	maxInbox = 64
	// ticksPerHeartbeat is the number of ticks in a heartbeat interval.
	ticksPerHeartbeat = 4
	minTick           = time.Millisecond
)

// loop owns the replica, the log and the founding until the group stops.
func (g *Group) loop() {
	defer close(g.done)
	ticker := time.NewTicker(max(g.cfg.Heartbeat/ticksPerHeartbeat, minTick))
	defer ticker.Stop()
	for {
		err := g.wait(ticker.C)
		if err == nil {
			err = g.process()
		}
		if err != nil {
			g.halt(err)
			return
		}
	}
}

// errStopped ends the loop after Close.
var errStopped = errors.New("stopped")

// wait waits for the next tick, message, call or event and handles it, together with
// queued messages or calls of the same kind.
func (g *Group) wait(tick <-chan time.Time) error {
	select {
	case <-tick:
		return g.tick()
	case msgs := <-g.inbox:
		return g.stepAll(msgs)
	case c := <-g.proposals:
		g.proposeAll(c)
	case c := <-g.confirms:
		g.confirmAll(c)
	case c := <-g.changes:
		g.change(c)
	case event := <-g.events:
		return event()
	}
	return nil
}

func (g *Group) tick() error {
	now := g.cfg.Now()
	if err := g.tickFounding(now); err != nil {
		return err
	}
	g.replica.Tick(now)
	if g.compactAt.IsZero() || now.Before(g.compactAt) {
		return nil
	}
	return g.compactLog()
}

func (g *Group) stepAll(msgs []*kcwpb.Message) error {
	for range maxInbox {
		now := g.cfg.Now()
		for _, m := range msgs {
			if err := g.step(m, now); err != nil {
				return err
			}
		}
		select {
		case msgs = <-g.inbox:
		default:
			return nil
		}
	}
	return nil
}

func (g *Group) step(m *kcwpb.Message, now time.Time) error {
	if m.Kind == foundKind {
		return g.handleFound(m)
	}
	if g.founding != nil && m.To == g.identity.ID {
		if err := g.endFounding(); err != nil {
			return err
		}
	}
	for _, member := range m.Membership.GetMembers() {
		g.contacts[member.Id] = member
	}
	g.replica.Step(m, now)
	return nil
}

// proposeAll appends c and the proposals queued after it as one batch.
func (g *Group) proposeAll(c *call) {
	var calls []*call
	var commands [][]byte
	size := 0
	for c != nil {
		if c.accept() {
			calls = append(calls, c)
			commands = append(commands, c.data)
			size += len(c.data)
		}
		c = nil
		if len(calls) < maxBatch && size < batchBytes {
			c = next(g.proposals)
		}
	}
	if len(calls) == 0 {
		return
	}
	first, err := g.replica.Propose(commands, g.cfg.Now())
	if err != nil {
		g.finishAll(calls, g.convertError("propose", err))
		return
	}
	for i, c := range calls {
		c.term = g.replica.Term()
		g.waiters.add(first+uint64(i), c)
	}
}

// next returns the next queued call, or nil if there is none.
func next(queue chan *call) *call {
	select {
	case c := <-queue:
		return c
	default:
		return nil
	}
}

// confirmAll starts one confirmation for c and all calls queued after it.
func (g *Group) confirmAll(c *call) {
	var calls []*call
	for ; c != nil; c = next(g.confirms) {
		if c.accept() {
			calls = append(calls, c)
		}
	}
	g.confirmID++
	if err := g.replica.Confirm(g.confirmID, g.cfg.Now()); err != nil {
		g.finishAll(calls, g.convertError("confirm", err))
		return
	}
	g.pendingConfirms[g.confirmID] = calls
}

func (g *Group) change(c *call) {
	if !c.accept() {
		return
	}
	index, err := g.replica.Change(c.change, g.cfg.Now())
	if err != nil {
		c.finish(outcome{err: g.convertError("change members", err)})
		return
	}
	c.term = g.replica.Term()
	g.waiters.add(index, c)
}

// convertError converts an error from the replica, which means that nothing was
// appended, to an *Error.
func (g *Group) convertError(op string, err error) *Error {
	kinds := map[kcwreplica.Kind]Kind{
		kcwreplica.NotLeader:   NotLeader,
		kcwreplica.Busy:        Busy,
		kcwreplica.NotCaughtUp: NotCaughtUp,
		kcwreplica.Invalid:     Invalid,
	}
	var e *kcwreplica.Error
	if !errors.As(err, &e) {
		return fail(op, Invalid, err)
	}
	return g.withLeader(fail(op, kinds[e.Kind], err))
}

func (g *Group) finishAll(calls []*call, err error) {
	for _, c := range calls {
		c.finish(outcome{err: err})
	}
}

// process handles the replica's output until there is none left.
func (g *Group) process() error {
	for {
		ready, hasWork := g.replica.Ready()
		if !hasWork {
			break
		}
		if err := g.handle(ready); err != nil {
			return err
		}
	}
	g.endLostCalls()
	g.publish()
	return nil
}

// handle does the work that ready lists. A leader's messages are sent before its own
// write, so that all replicas write concurrently.
func (g *Group) handle(ready kcwreplica.Ready) error {
	g.sendAll(ready.Messages)
	if ready.MustSave {
		if err := g.retryWhileFull(func() error { return g.wal.Save(ready.Term, ready.Vote, ready.Entries) }); err != nil {
			return fail("save", Storage, err)
		}
	}
	g.sendAll(ready.Replies)
	g.replica.Advance(ready, g.cfg.Now())
	if len(ready.Committed) > 0 {
		g.applier.push(work{entries: ready.Committed})
	}
	for _, m := range ready.Chunks {
		if err := g.receive(m); err != nil {
			return err
		}
	}
	for _, read := range ready.Reads {
		g.applier.push(work{confirms: g.pendingConfirms[read.ID]})
		delete(g.pendingConfirms, read.ID)
	}
	return nil
}

// endLostCalls ends the calls whose outcome can no longer be determined here, because
// the replica has stopped leading since it accepted them.
func (g *Group) endLostCalls() {
	if g.replica.IsLeader() && g.replica.Term() == g.leaderTerm {
		return
	}
	g.leaderTerm = 0
	if g.replica.IsLeader() {
		g.leaderTerm = g.replica.Term()
	}
	commit := g.replica.Commit()
	lost := g.waiters.removeIf(func(index uint64) bool { return index > commit })
	for _, c := range lost {
		c.finish(outcome{err: g.withLeader(fail("propose", OutcomeUnknown, nil))})
	}
	for id, calls := range g.pendingConfirms {
		g.finishAll(calls, g.withLeader(fail("confirm", NotLeader, nil)))
		delete(g.pendingConfirms, id)
	}
}

// halt ends all calls and stops the applier, after it has applied all committed
// entries in its queue.
func (g *Group) halt(err error) {
	g.full.Store(false)
	if !errors.Is(err, errStopped) {
		klog.ErrorS(err, "group stopped", "Group", g.cfg.Group, "Replica", g.identity.ID)
		g.fault.Store(&err)
	}
	close(g.halting)
	g.applier.close()
	g.applierDone.Wait()
	for _, c := range g.waiters.removeIf(func(uint64) bool { return true }) {
		c.finish(outcome{err: fail("propose", OutcomeUnknown, nil)})
	}
	for _, calls := range g.pendingConfirms {
		g.finishAll(calls, fail("confirm", Closed, nil))
	}
	g.publishStopped()
}
