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
	stateTaken
	stateCanceled
)

// call is a proposal, a membership change or a confirmation that a caller
// waits for.
type call struct {
	data   []byte
	change *kcwpb.ChangeMembersRequest
	term   uint64
	state  atomic.Int32
	done   chan outcome
}

// outcome is what a call gave.
type outcome struct {
	data       []byte
	membership *kcwpb.Membership
	err        error
}

func newCall() *call {
	return &call{done: make(chan outcome, 1)}
}

// take reports whether the loop may carry out c; the caller may have given up.
func (c *call) take() bool {
	return c.state.CompareAndSwap(stateQueued, stateTaken)
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

// abandon gives up waiting for c: it was not carried out if it is still
// queued, and otherwise its outcome is unknown unless it is there by now.
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

// waiters are the calls whose entries are appended and not yet applied, by
// index.
type waiters struct {
	mu    sync.Mutex
	calls map[uint64]*call
}

func (w *waiters) add(index uint64, c *call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls[index] = c
}

// remove returns the call that waits for index, nil if none does.
func (w *waiters) remove(index uint64) *call {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.calls[index]
	delete(w.calls, index)
	return c
}

// removeIf returns the calls whose indexes fit.
func (w *waiters) removeIf(fits func(index uint64) bool) []*call {
	w.mu.Lock()
	defer w.mu.Unlock()
	var calls []*call
	for index, c := range w.calls {
		if fits(index) {
			calls = append(calls, c)
			delete(w.calls, index)
		}
	}
	return calls
}
