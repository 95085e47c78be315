package kcwengine

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// batch runs up to capacity requests at a time. The others are queued by
// priority, lower values first, and then by arrival.
type batch struct {
	mu       sync.Mutex
	capacity int
	running  int
	arrivals uint64
	waiting  waiterHeap
	// history holds the load after each change, oldest first. Samples are dropped
	// once they are too old for a report that is delayed by loadLag.
	history []loadSample
	loadLag time.Duration
	now     func() time.Time
}

type loadSample struct {
	at               time.Time
	running, waiting int
}

type waiter struct {
	priority int
	arrival  uint64
	// index is the position in the queue, -1 once the request has left it.
	index    int
	admitted chan struct{}
}

func newBatch(capacity int, loadLag time.Duration, now func() time.Time) *batch {
	return &batch{capacity: capacity, loadLag: loadLag, now: now, history: []loadSample{{}}}
}

// acquire waits for a slot in the batch. It returns ctx.Err() if ctx ends first.
func (b *batch) acquire(ctx context.Context, priority int) error {
	b.mu.Lock()
	if b.running < b.capacity {
		b.running++
		b.recordLoad()
		b.mu.Unlock()
		return nil
	}
	b.arrivals++
	w := &waiter{priority: priority, arrival: b.arrivals, admitted: make(chan struct{})}
	heap.Push(&b.waiting, w)
	b.recordLoad()
	b.mu.Unlock()
	select {
	case <-w.admitted:
		return nil
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.index < 0 {
		// The request was admitted when ctx ended: its slot goes to the next one.
		b.releaseLocked()
	} else {
		heap.Remove(&b.waiting, w.index)
	}
	b.recordLoad()
	return ctx.Err()
}

// release frees the slot of a request that was admitted.
func (b *batch) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.releaseLocked()
	b.recordLoad()
}

// releaseLocked passes a slot to the first queued request or, if the queue is
// empty, frees it. The caller holds mu.
func (b *batch) releaseLocked() {
	if b.waiting.Len() == 0 {
		b.running--
		return
	}
	w := heap.Pop(&b.waiting).(*waiter)
	close(w.admitted)
}

// recordLoad appends the current load to the history and drops the samples that
// are too old to be reported. The caller holds mu.
func (b *batch) recordLoad() {
	now := b.now()
	b.history = append(b.history, loadSample{at: now, running: b.running, waiting: b.waiting.Len()})
	oldest := 0
	for oldest+1 < len(b.history) && !b.history[oldest+1].at.After(now.Add(-b.loadLag)) {
		oldest++
	}
	b.history = b.history[oldest:]
}

// load returns the load as of loadLag ago.
func (b *batch) load() (running, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	reported := b.history[0]
	for _, s := range b.history[1:] {
		if s.at.After(b.now().Add(-b.loadLag)) {
			break
		}
		reported = s
	}
	return reported.running, reported.waiting
}

// waiterHeap is a container/heap of queued requests, ordered by priority and
// then by arrival.
type waiterHeap []*waiter

func (w waiterHeap) Len() int { return len(w) }

func (w waiterHeap) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority < w[j].priority
	}
	return w[i].arrival < w[j].arrival
}

func (w waiterHeap) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}

func (w *waiterHeap) Push(x any) {
	added := x.(*waiter)
	added.index = len(*w)
	*w = append(*w, added)
}

func (w *waiterHeap) Pop() any {
	last := len(*w) - 1
	popped := (*w)[last]
	popped.index = -1
	(*w)[last] = nil
	*w = (*w)[:last]
	return popped
}
