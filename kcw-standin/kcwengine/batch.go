package kcwengine

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// batch admits a bounded number of requests at a time; the others wait by
// priority, lower first, and then by arrival.
type batch struct {
	mu       sync.Mutex
	capacity int
	running  int
	arrivals uint64
	waiting  waiters
	// history holds the load after each change, for reports that lag.
	history []sample
	lag     time.Duration
	now     func() time.Time
}

type sample struct {
	at               time.Time
	running, waiting int
}

type waiter struct {
	priority int
	arrival  uint64
	index    int
	admitted chan struct{}
}

func newBatch(capacity int, lag time.Duration, now func() time.Time) *batch {
	return &batch{capacity: capacity, lag: lag, now: now, history: []sample{{}}}
}

// enter waits for a place in the batch. The error is that of ctx.
func (b *batch) enter(ctx context.Context, priority int) error {
	b.mu.Lock()
	if b.running < b.capacity {
		b.running++
		b.note()
		b.mu.Unlock()
		return nil
	}
	b.arrivals++
	w := &waiter{priority: priority, arrival: b.arrivals, admitted: make(chan struct{})}
	heap.Push(&b.waiting, w)
	b.note()
	b.mu.Unlock()
	select {
	case <-w.admitted:
		return nil
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.index < 0 {
		// Admitted at the same moment: the place goes to the next.
		b.release()
	} else {
		heap.Remove(&b.waiting, w.index)
	}
	b.note()
	return ctx.Err()
}

// leave gives the place back.
func (b *batch) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release()
	b.note()
}

func (b *batch) release() {
	if b.waiting.Len() == 0 {
		b.running--
		return
	}
	w := heap.Pop(&b.waiting).(*waiter)
	close(w.admitted)
}

// note adds the load to the history and drops what no report needs any more.
func (b *batch) note() {
	now := b.now()
	b.history = append(b.history, sample{at: now, running: b.running, waiting: b.waiting.Len()})
	old := 0
	for old+1 < len(b.history) && !b.history[old+1].at.After(now.Add(-b.lag)) {
		old++
	}
	b.history = b.history[old:]
}

// load returns the load as it was the lag ago.
func (b *batch) load() (running, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	seen := b.history[0]
	for _, s := range b.history[1:] {
		if s.at.After(b.now().Add(-b.lag)) {
			break
		}
		seen = s
	}
	return seen.running, seen.waiting
}

// waiters is a heap.
type waiters []*waiter

func (w waiters) Len() int { return len(w) }

func (w waiters) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority < w[j].priority
	}
	return w[i].arrival < w[j].arrival
}

func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}

func (w *waiters) Push(x any) {
	added := x.(*waiter)
	added.index = len(*w)
	*w = append(*w, added)
}

func (w *waiters) Pop() any {
	last := len(*w) - 1
	popped := (*w)[last]
	popped.index = -1
	(*w)[last] = nil
	*w = (*w)[:last]
	return popped
}
