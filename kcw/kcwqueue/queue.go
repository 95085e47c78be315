// Package kcwqueue implements the bounded queue of requests to one service.
//
// A request starts at once while one of the service's slots is free, and waits
// otherwise. The last free slots may be reserved for contracts that use no more than
// their share, so that their requests need not wait for a slot while another contract
// floods the queue.
//
// Waiting requests start in order of strict priority. The waiting requests of a team
// and priority rise by one level for each period in which none of them has started, so
// that no team starves. Within a level, contracts, and the teams of a contract, share
// the slots by weight. Both levels of the hierarchy use start-time fair queueing
// (Goyal, Vin and Cheng, Start-time Fair Queueing: A Scheduling Algorithm for
// Integrated Services Packet Switching Networks, 1996).
//
// A request that is not expected to start by its deadline is refused at once. If the
// queue is full, a waiting request that exceeds its share or has a lower level is
// evicted in favor of the new one; if there is none, the new request is refused.
//
// The queue does no I/O and starts no goroutine. The current time is passed to its
// methods, and the caller must answer the requests whose items the methods return.
package kcwqueue

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// Config holds the parameters of a Queue.
type Config struct {
	// Slots is the number of requests that may run concurrently. SetSlots changes it.
	Slots int
	// Reserve is the fraction of the slots, rounded up, that only contracts within
	// their shares may use, in [0, 1). With 0 the queue is work-conserving.
	Reserve float64
	// UsageTimeConstant is the time constant of the exponentially decaying mean use
	// of slots that decides whether a contract is within its share. It is ignored if
	// Reserve is 0.
	UsageTimeConstant time.Duration
	// Capacity is the number of requests that may wait.
	Capacity int
	// Priorities is the number of priorities; the largest is served first.
	Priorities int
	// Aging is the time after which the waiting requests of a team and priority
	// rise by one level if none of them has started.
	Aging time.Duration
	// InitialHold is the initial value of the mean time for which a request holds
	// its slot. The mean is updated as requests end.
	InitialHold time.Duration
	// Rand is the source of the jitter of retry times. No other code may use it.
	Rand *rand.Rand
}

// Item is one request.
type Item struct {
	// ID is unique among all items that wait or run.
	ID uint64
	// Contract and Team identify the shares that the item is charged to.
	Contract string
	Team     string
	// ContractWeight and TeamWeight are their weights, which must be positive.
	ContractWeight float64
	TeamWeight     float64
	// Priority is in [0, Config.Priorities).
	Priority int
	// Cost is the expected cost that is charged to the shares, such as a number of
	// tokens.
	Cost float64
	// Deadline is the time at which the item expires if it has not started.
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
	contracts scheduler
	ended     int           // requests that have ended since the last sweep
	meanHold  time.Duration // mean time for which a request holds its slot
}

// run is an item that holds a slot.
type run struct {
	item    Item
	started time.Time
}

// New returns an empty queue. It returns an *Error of KindInvalid if a count or
// duration is not positive (Slots may be 0), Reserve is not in [0, 1), or there is no
// random source.
func New(cfg Config) (*Queue, error) {
	switch {
	case !(cfg.Reserve >= 0 && cfg.Reserve < 1):
		return nil, invalid("New", "Reserve must be in [0, 1)")
	case cfg.Slots < 0 || cfg.Capacity < 1 || cfg.Priorities < 1:
		return nil, invalid("New", "Capacity and Priorities must be at least 1, and Slots at least 0")
	case cfg.Aging <= 0 || cfg.InitialHold <= 0:
		return nil, invalid("New", "Aging and InitialHold must be positive")
	case cfg.Reserve > 0 && cfg.UsageTimeConstant <= 0:
		return nil, invalid("New", "UsageTimeConstant must be positive if Reserve is")
	case cfg.Rand == nil:
		return nil, invalid("New", "Rand must be set")
	}
	return &Queue{
		cfg:       cfg,
		slots:     cfg.Slots,
		running:   make(map[uint64]run),
		waiting:   make(map[uint64]*entry),
		contracts: scheduler{nodes: make(map[string]*node)},
		meanHold:  cfg.InitialHold,
	}, nil
}

// Offer offers an item at now. It returns true if the item has started. If not and err
// is nil, the item waits, and evicted is the item that was evicted in its favor, if any.
// Offer returns an *Error of KindLate or KindFull if the item is refused, and of
// KindInvalid if a field is invalid or the ID is in use.
func (q *Queue) Offer(now time.Time, item Item) (started bool, evicted *Item, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if err := q.validate(item); err != nil {
		return false, nil, err
	}
	if !item.Deadline.After(now) {
		return false, nil, &Error{Op: "Offer", Kind: KindLate, Detail: "its deadline has passed", RetryAt: now}
	}
	f := q.flow(item)
	if len(q.running) < q.slots && (!q.onlyReservedFree() || q.withinShare(now, f.contract)) {
		q.run(now, f, item)
		return true, nil, nil
	}
	f.passOver(now, item.Priority)
	if start := q.expectedStart(now, item); start.After(item.Deadline) {
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

// Release frees the slot of a running item at now. Cost is the actual cost of the item,
// which replaces the expected one in its shares. Release returns the items that start
// and those found expired. It does nothing if no item with the ID runs.
func (q *Queue) Release(now time.Time, id uint64, cost float64) (started, expired []Item) {
	q.mu.Lock()
	defer q.mu.Unlock()
	ended, ok := q.running[id]
	if !ok {
		return nil, nil
	}
	delete(q.running, id)
	q.updateMeanHold(now.Sub(ended.started))
	q.correctCost(now, ended.item, cost)
	q.sweep()
	return q.fillSlots(now)
}

// SetSlots changes the number of requests that may run concurrently. Running requests
// are not affected. It returns the items that start and those found expired.
func (q *Queue) SetSlots(now time.Time, slots int) (started, expired []Item) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.slots = max(slots, 0)
	return q.fillSlots(now)
}

// Expire removes and returns the waiting items whose deadline is not after now.
func (q *Queue) Expire(now time.Time) []Item {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.expire(now)
}

// Cancel removes a waiting item, such as one whose caller has disconnected. It reports
// whether the item was waiting.
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

// NextDeadline returns the earliest deadline of the waiting items, and false if no item
// waits.
func (q *Queue) NextDeadline() (time.Time, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.deadlines) == 0 {
		return time.Time{}, false
	}
	return q.deadlines[0].item.Deadline, true
}

// RetryAt returns the time from which an offer of an item like the given one is expected
// to succeed, for the answer to an item that was evicted or has expired.
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

// validate returns an *Error of KindInvalid if a field of the item is invalid or its ID is
// in use.
func (q *Queue) validate(item Item) error {
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

// fillSlots starts waiting items in order while slots are free. It returns the items
// that started and those that had expired.
func (q *Queue) fillSlots(now time.Time) (started, expired []Item) {
	expired = q.expire(now)
	for len(q.running) < q.slots && len(q.waiting) > 0 {
		e := q.next(now, q.onlyReservedFree())
		if e == nil {
			break
		}
		q.remove(e)
		q.run(now, e.flow, e.item)
		started = append(started, e.item)
	}
	return started, expired
}

// run starts an item.
func (q *Queue) run(now time.Time, f *flow, item Item) {
	q.charge(now, f, item)
	q.running[item.ID] = run{item: item, started: now}
}

// onlyReservedFree reports whether no slots other than the reserved ones are free, so
// that only contracts within their shares may start items.
func (q *Queue) onlyReservedFree() bool {
	reserve := min(int(math.Ceil(q.cfg.Reserve*float64(q.slots))), q.slots-1)
	return len(q.running) >= q.slots-reserve
}

// expire removes and returns the waiting items whose deadline is not after now.
func (q *Queue) expire(now time.Time) []Item {
	var expired []Item
	for len(q.deadlines) > 0 && !q.deadlines[0].item.Deadline.After(now) {
		e := q.deadlines[0]
		q.remove(e)
		expired = append(expired, e.item)
	}
	return expired
}

// add enqueues an item.
func (q *Queue) add(now time.Time, item Item) {
	e := &entry{item: item, since: now, flow: q.flow(item)}
	q.waiting[item.ID] = e
	heap.Push(&q.deadlines, e)
	e.flow.push(e)
}

// remove removes a waiting entry.
func (q *Queue) remove(e *entry) {
	delete(q.waiting, e.item.ID)
	heap.Remove(&q.deadlines, e.index)
	e.flow.remove(e)
}

// invalid returns an *Error of KindInvalid.
func invalid(op, detail string) error {
	return &Error{Op: op, Kind: KindInvalid, Detail: detail}
}
