package kcwgroup

import (
	"context"
	"sync"
	"sync/atomic"

	"kingcupwick.example/kcw/kcwpb"
)

// States of a call.
const (
	stateQueued int32 = iota
	stateAccepted
	stateCanceled
)

// call is a proposal, a membership change or a confirmation whose caller is waiting.
type call struct {
	data   []byte
	change *kcwpb.ChangeMembersRequest
	// term is the term in which the call's entry was appended.
	term  uint64
	state atomic.Int32
	done  chan outcome
}

// outcome is the result of a call.
type outcome struct {
	data       []byte
	membership *kcwpb.Membership
	err        error
}

func newCall() *call {
	return &call{done: make(chan outcome, 1)}
}

// accept marks c as accepted by the loop. It returns false if the caller has stopped
// waiting.
func (c *call) accept() bool {
	return c.state.CompareAndSwap(stateQueued, stateAccepted)
}

func (c *call) finish(o outcome) {
	c.done <- o
}

// submit queues c and waits for its outcome.
func (g *Group) submit(ctx context.Context, op string, queue chan *call, c *call) (outcome, error) {
	if err := ctx.Err(); err != nil {
		return outcome{}, fail(op, Canceled, err)
	}
	select {
	case queue <- c:
	case <-ctx.Done():
		return outcome{}, fail(op, Canceled, ctx.Err())
	case <-g.done:
		return outcome{}, fail(op, Closed, nil)
	}
	select {
	case o := <-c.done:
		return o, o.err
	case <-ctx.Done():
		return g.abandon(op, c, Canceled, ctx.Err())
	case <-g.done:
		return g.abandon(op, c, Closed, nil)
	}
}

// abandon stops waiting for c. If c is still queued, it is canceled and never executed.
// Otherwise abandon returns its outcome if there is one by now, and an error of kind
// OutcomeUnknown if not.
func (g *Group) abandon(op string, c *call, kind Kind, cause error) (outcome, error) {
	if c.state.CompareAndSwap(stateQueued, stateCanceled) {
		return outcome{}, fail(op, kind, cause)
	}
	select {
	case o := <-c.done:
		return o, o.err
	default:
		return outcome{}, fail(op, OutcomeUnknown, cause)
	}
}

// waiters holds the calls whose entries are appended and not yet applied, by index.
type waiters struct {
	mu    sync.Mutex
	calls map[uint64]*call
}

func (w *waiters) add(index uint64, c *call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls[index] = c
}

// remove removes and returns the call that waits for index, or nil if there is none.
func (w *waiters) remove(index uint64) *call {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.calls[index]
	delete(w.calls, index)
	return c
}

// removeIf removes and returns the calls whose index matches.
func (w *waiters) removeIf(matches func(index uint64) bool) []*call {
	w.mu.Lock()
	defer w.mu.Unlock()
	var calls []*call
	for index, c := range w.calls {
		if matches(index) {
			calls = append(calls, c)
			delete(w.calls, index)
		}
	}
	return calls
}
