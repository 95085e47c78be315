// Package kcwqueue holds the bounded queue of requests to one service.
//
// A request starts at once while one of the service's slots is free, and else
// waits. The last free slots may be reserved for contracts that use no more than
// their share, so that these need not wait for a slot behind a flood.
//
// Waiting requests go by strict priority, in which the requests of a team rise
// one level with each period in which none of them started, so that no team
// starves. Within a level contracts, and teams within a contract, share by
// weight: start-time fair queueing (Goyal, Vin and Cheng, Start-time Fair
// Queueing: A Scheduling Algorithm for Integrated Services Packet Switching
// Networks, 1996) at both steps.
//
// A request that can't be expected to start by its deadline is refused at once,
// and so is one that finds the queue full of requests which go before it; else a
// request beyond its share is evicted for it.
//
// The queue does no I/O, starts no goroutine, and takes its clock as an
// argument: its caller answers the items that the methods return.
package kcwqueue

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// Config holds the rules of a Queue.
type Config struct {
	// Slots is the number of requests that may run at once. SetSlots changes it.
	Slots int
	// Reserve is the part of the slots, rounded up, that only contracts inside
	// their shares may take, in [0, 1). Zero makes the queue work-conserving.
	Reserve float64
	// UsageTimeConstant is the time constant of the mean use of slots, by which a contract is
	// inside its share or not. It is not used where Reserve is zero.
	UsageTimeConstant time.Duration
	// Capacity is the number of requests that may wait.
	Capacity int
	// Priorities is the number of levels; the largest goes first.
	Priorities int
	// Aging is the time in which waiting requests of a team, of one priority, rise
	// one level if none of them starts.
	Aging time.Duration
	// InitialHold is the time a request is taken to hold its slot until some have
	// ended and their mean is known.
	InitialHold time.Duration
	// Rand is the source of the jitter of retry times, used by this Queue alone.
	Rand *rand.Rand
}

// Item is one request.
type Item struct {
	// ID differs between all items that wait or run.
	ID uint64
	// Contract and Team name whose share the item is charged to.
	Contract string
	Team     string
	// ContractWeight and TeamWeight are the shares, above zero.
	ContractWeight float64
	TeamWeight     float64
	// Priority is in [0, Config.Priorities).
	Priority int
	// Cost is the expected cost that the shares are taken of, such as tokens.
	Cost float64
	// Deadline is when the item is given up if it has not started.
	Deadline time.Time
}

// Queue holds the waiting and running requests of one service. It is safe for
// concurrent use.
type Queue struct {
	cfg Config

	mu        sync.Mutex
	slots     int
	running   map[uint64]run
	waiting   map[uint64]*entry
	deadlines deadlines
	contracts shares
	ended     int           // requests that ended since the last sweep
	hold      time.Duration // mean time that a request holds its slot
}

// run is an item that holds a slot.
type run struct {
	item    Item
	started time.Time
}

// New returns an empty queue. It returns an *Error of KindInvalid if a count or
// duration is not positive (Slots may be zero) or there is no random source.
func New(cfg Config) (*Queue, error) {
	switch {
	case !(cfg.Reserve >= 0 && cfg.Reserve < 1):
		return nil, invalid("New", "Reserve must be in [0, 1)")
	case cfg.Slots < 0 || cfg.Capacity < 1 || cfg.Priorities < 1:
		return nil, invalid("New", "Capacity and Priorities must be at least 1 and Slots 0")
	case cfg.Aging <= 0 || cfg.InitialHold <= 0:
		return nil, invalid("New", "Aging and Hold must be positive")
	case cfg.Reserve > 0 && cfg.UsageTimeConstant <= 0:
		return nil, invalid("New", "Memory must be positive where there is a Reserve")
	case cfg.Rand == nil:
		return nil, invalid("New", "Rand must be set")
	}
	return &Queue{
		cfg:       cfg,
		slots:     cfg.Slots,
		running:   make(map[uint64]run),
		waiting:   make(map[uint64]*entry),
		contracts: shares{nodes: make(map[string]*share)},
		hold:      cfg.InitialHold,
	}, nil
}

// Offer hands in an item at now. It returns true if the item has started; if
// not and err is nil, the item waits, and evicted is the item that gave up its
// place for it, if any. It returns an *Error of KindLate or KindFull if the
// item is refused, and of KindInvalid if a field breaks its rule or the
// identity is in use.
func (q *Queue) Offer(now time.Time, item Item) (started bool, evicted *Item, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if err := q.check(item); err != nil {
		return false, nil, err
	}
	if !item.Deadline.After(now) {
		return false, nil, &Error{Op: "Offer", Kind: KindLate, Detail: "its deadline has passed", RetryAt: now}
	}
	f := q.flow(item)
	if len(q.running) < q.slots && (!q.guarded() || q.inside(now, f.contract)) {
		q.run(now, f, item)
		return true, nil, nil
	}
	f.passOver(now, item.Priority)
	if start := q.expected(now, item); start.After(item.Deadline) {
		return false, nil, &Error{Op: "Offer", Kind: KindLate, Detail: "can't start by its deadline", RetryAt: q.retryAt(now, item)}
	}
	if len(q.waiting) >= q.cfg.Capacity {
		victim := q.victim(now, item)
		if victim == nil {
			return false, nil, &Error{Op: "Offer", Kind: KindFull, Detail: "queue is full", RetryAt: q.retryAt(now, item)}
		}
		q.remove(victim)
		evicted = &victim.item
	}
	q.add(now, item)
	return false, evicted, nil
}

// Release frees the slot of a running item at now. Cost is what the item has
// truly cost, by which its share is corrected. It returns the items that start
// in its place and those found expired. An item that does not run changes
// nothing.
func (q *Queue) Release(now time.Time, id uint64, cost float64) (started, expired []Item) {
	q.mu.Lock()
	defer q.mu.Unlock()
	ended, ok := q.running[id]
	if !ok {
		return nil, nil
	}
	delete(q.running, id)
	q.learn(now.Sub(ended.started))
	q.correct(now, ended.item, cost)
	q.sweep()
	return q.start(now)
}

// SetSlots changes the number of requests that may run at once. Running ones
// go on. It returns the items that start and those found expired.
func (q *Queue) SetSlots(now time.Time, slots int) (started, expired []Item) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.slots = max(slots, 0)
	return q.start(now)
}

// Expire takes out and returns the waiting items whose deadline is not after
// now.
func (q *Queue) Expire(now time.Time) []Item {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.expire(now)
}

// Cancel takes out a waiting item whose caller went away, and reports whether
// it was waiting.
func (q *Queue) Cancel(id uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.waiting[id]
	if e == nil {
		return false
	}
	q.remove(e)
	return true
}

// NextDeadline returns the earliest deadline of a waiting item, or false if none waits.
func (q *Queue) NextDeadline() (time.Time, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.deadlines) == 0 {
		return time.Time{}, false
	}
	return q.deadlines[0].item.Deadline, true
}

// RetryAt returns when an offer like item can be expected to succeed, for the
// answer to an item that was evicted or expired.
func (q *Queue) RetryAt(now time.Time, item Item) time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.retryAt(now, item)
}

// Counts returns the numbers of slots, running and waiting items.
func (q *Queue) Counts() (slots, running, waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.slots, len(q.running), len(q.waiting)
}

// check returns an error if the item breaks a rule.
func (q *Queue) check(item Item) error {
	switch {
	case !(item.ContractWeight > 0) || !(item.TeamWeight > 0):
		return invalid("Offer", "weights must be above 0")
	case item.Priority < 0 || item.Priority >= q.cfg.Priorities:
		return invalid("Offer", "Priority must be in [0, Priorities)")
	case !(item.Cost >= 0):
		return invalid("Offer", "Cost must not be negative")
	}
	_, runs := q.running[item.ID]
	if _, waits := q.waiting[item.ID]; runs || waits {
		return invalid("Offer", "ID is in use")
	}
	return nil
}

// start fills the free slots in order and returns what started and expired.
func (q *Queue) start(now time.Time) (started, expired []Item) {
	expired = q.expire(now)
	for len(q.running) < q.slots && len(q.waiting) > 0 {
		e := q.first(now, q.guarded())
		if e == nil {
			break
		}
		q.remove(e)
		q.run(now, e.flow, e.item)
		started = append(started, e.item)
	}
	return started, expired
}

// run gives a slot to an item.
func (q *Queue) run(now time.Time, f *flow, item Item) {
	q.charge(now, f, item)
	q.running[item.ID] = run{item: item, started: now}
}

// guarded reports whether only contracts inside their shares may start, because
// no slots but the reserved ones are free.
func (q *Queue) guarded() bool {
	reserve := min(int(math.Ceil(q.cfg.Reserve*float64(q.slots))), q.slots-1)
	return len(q.running) >= q.slots-reserve
}

// expire takes out the items whose deadline is not after now.
func (q *Queue) expire(now time.Time) []Item {
	var expired []Item
	for len(q.deadlines) > 0 && !q.deadlines[0].item.Deadline.After(now) {
		e := q.deadlines[0]
		q.remove(e)
		expired = append(expired, e.item)
	}
	return expired
}

// add puts an item in its line.
func (q *Queue) add(now time.Time, item Item) {
	e := &entry{item: item, since: now, flow: q.flow(item)}
	q.waiting[item.ID] = e
	heap.Push(&q.deadlines, e)
	e.flow.push(e)
}

// remove takes an item out of its line.
func (q *Queue) remove(e *entry) {
	delete(q.waiting, e.item.ID)
	heap.Remove(&q.deadlines, e.index)
	e.flow.pop(e)
}

// invalid returns an error of KindInvalid.
func invalid(op, detail string) error {
	return &Error{Op: op, Kind: KindInvalid, Detail: detail}
}
