// Package kcwoverload determines from samples whether a router is overloaded: whether its
// share of the processor, the link or the memory of its host is exhausted. It decides which
// requests to admit, whether the router is ready for new callers, which fraction of its
// connections to close, and whether a delay is the router's own.
//
// Refusals follow the time that work waits for the processor, which is what callers notice. A
// queue is controlled in the manner of CoDel (Nichols and Jacobson, Controlling Queue Delay, ACM
// Queue 10(5), 2012): the shortest wait within some samples shows whether a queue stands, while
// a single long one may be a garbage collection. The rate of admissions then follows the capacity
// that the queue shows.
//
// The package is designed for a host with 0.1 to 1 cores and a link of 5 to 100 Mbit/s that
// gets up to 50 times the load that it can serve, and about ten samples a second. It does no
// I/O and takes the time as an argument.
package kcwoverload

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Thresholds follow from the responses that are due first, those of plain services: within
// 120 to 300 ms. A request passes the run queue about three times on its way through the
// router (its head, the connection to its upstream, the response).
const (
	// targetQueue is the wait above which a queue at the processor is too long: a
	// third of the time within which a plain response is due at the earliest.
	targetQueue = 40 * time.Millisecond
	// passes is the number of times that a request passes the run queue.
	passes = 3
	// standingSamples is the number of samples of which the least late one shows whether a
	// queue stands.
	standingSamples = 3
	// minLost is the lateness from which a sample counts as time that the router has
	// lost. Timers and goroutines of an idle process are late by less.
	minLost = 15 * time.Millisecond
	// maxLinkDelay is how long bytes may wait for the link when a request of the highest
	// priority is admitted.
	maxLinkDelay = 100 * time.Millisecond
	// lateLinkDelay and lateLinkLoad are the delay and the load of the link from which what
	// arrives late may be late because of it.
	lateLinkDelay = 40 * time.Millisecond
	lateLinkLoad  = 0.75
	// suspendedAfter is the lateness of a sample from which the process was suspended, unless
	// it used its processor share meanwhile or was as late just before.
	suspendedAfter = time.Second
	// suspendedUse is the part of the processor share that a process that was suspended has
	// used at most.
	suspendedUse = 0.5
	// maxMemory is the part of the memory for requests above which none is admitted.
	maxMemory = 0.9
)

// Config configures an Overload.
type Config struct {
	// Cores is the share of a processor core that the process may use, zero if it is not
	// known.
	Cores float64
	// Interval is the time between two samples.
	Interval time.Duration
	Rand     *rand.Rand
}

// Sample is one measurement.
type Sample struct {
	// At is when the sample was taken. Queue is how long the sampler had waited for the processor
	// just before, behind the work that could run, as a request does. Time for which the whole
	// process did not run before that is no queue: refusals would not shorten it.
	At    time.Time
	Queue time.Duration
	// Processor is the processor time that the process has used so far, negative if it is not
	// known.
	Processor time.Duration
	// LinkLoad is the load of the link as a fraction of its rate, and LinkDelay how long
	// bytes wait for it.
	LinkLoad  float64
	LinkDelay time.Duration
	// Memory is the part in use of the memory that requests may hold, without what can be freed
	// for others.
	Memory float64
	// Excess is the ratio of the router's load to the mean load of the fleet's routers, zero
	// if it is not known.
	Excess float64
}

// Overload decides about the load of one router. It is safe for concurrent use.
type Overload struct {
	cfg Config

	mu sync.Mutex
	// last is the newest sample, and late how late it was. Due is when the next is to be taken.
	// Queues holds Queue of the newest samples, the newest last. Use is the average use of the
	// processor share.
	last   Sample
	due    time.Time
	late   time.Duration
	queues []time.Duration
	use    float64
	// suspendedAt is when the process was last found to have been suspended, and gapAt when a
	// sample was last late by suspendedAfter.
	suspendedAt, gapAt time.Time
	lost               lostTime
	admission          admission
	readiness          readiness
}

// New returns an Overload without samples, which admits all requests.
func New(cfg Config) *Overload {
	return &Overload{cfg: cfg}
}

// Change is a change of state to log.
type Change int

// Changes that one sample can cause.
const (
	// Unchanged means that there is nothing to log.
	Unchanged Change = iota
	// LimitBegun means that the rate of admissions is limited from now on, and LimitEnded
	// that it no longer is.
	LimitBegun
	LimitEnded
	// Full means that the router is no longer ready for new callers, and Recovered that it is
	// again.
	Full
	Recovered
	// Suspended means that the process was suspended until now.
	Suspended
)

// String returns the name of the change for logs.
func (c Change) String() string {
	return [...]string{"Unchanged", "LimitBegun", "LimitEnded", "Full", "Recovered", "Suspended"}[c]
}

// minPause is the part of Config.Interval that passes at least between two samples, however late
// the first is.
const minPause = 4

// Due returns when the next sample is due, zero before the first.
func (o *Overload) Due() time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.due
}

// Record adds a sample, and returns the most important change that it has caused.
func (o *Overload) Record(s Sample) Change {
	o.mu.Lock()
	defer o.mu.Unlock()
	previous := o.last
	o.last = s
	late := o.overdue(s.At)
	o.late = late
	o.due = s.At.Add(o.cfg.Interval - min(late, o.cfg.Interval-o.cfg.Interval/minPause))
	o.recordLost(previous, s, late)
	elapsed := s.At.Sub(previous.At)
	use := -1.0
	if o.cfg.Cores > 0 && s.Processor >= 0 && previous.Processor >= 0 && elapsed > 0 && !previous.At.IsZero() {
		use = (s.Processor - previous.Processor).Seconds() / elapsed.Seconds() / o.cfg.Cores
	}
	if o.wasSuspended(late, use, s.At) {
		o.suspendedAt = s.At
		o.queues = o.queues[:0]
		o.admission.resume(s.At)
		o.readiness.pressedSince = time.Time{}
		return Suspended
	}
	if use >= 0 {
		const weight = 0.3 // An average over about three samples.
		o.use += weight * (use - o.use)
	}
	if o.isResuming(s.At) {
		return Unchanged
	}
	if len(o.queues) == standingSamples {
		copy(o.queues, o.queues[1:])
		o.queues = o.queues[:standingSamples-1]
	}
	o.queues = append(o.queues, s.Queue)
	change := o.admission.update(s.At, o.queues, o.use)
	if readiness := o.readiness.update(s, o.pressure(), o.cfg.Rand); readiness != Unchanged {
		change = readiness
	}
	return change
}

// wasSuspended reports whether a sample that is late by the given time shows that the process
// was suspended. Use is the part used of the processor share, negative if it is not known: then a
// second such sample soon after the first shows that the process is overloaded.
func (o *Overload) wasSuspended(late time.Duration, use float64, at time.Time) bool {
	if late < suspendedAfter {
		return false
	}
	former := o.gapAt
	o.gapAt = at
	if use >= 0 {
		return use < suspendedUse
	}
	const soon = 5 * time.Second
	return former.IsZero() || at.Sub(former) > late+soon
}

// isResuming reports whether the process was suspended shortly before now, so that it is late
// because of what has arrived meanwhile.
func (o *Overload) isResuming(now time.Time) bool {
	return !o.suspendedAt.IsZero() && now.Sub(o.suspendedAt) < suspendedAfter
}

// standing returns the queue that all recent samples had at least, zero if there are too few.
func (o *Overload) standing() time.Duration {
	if len(o.queues) < standingSamples {
		return 0
	}
	return slices.Min(o.queues)
}

// overdue returns for how long the next sample has been due at now, zero if it is not.
func (o *Overload) overdue(now time.Time) time.Duration {
	if o.due.IsZero() {
		return 0
	}
	return max(0, now.Sub(o.due))
}

// delay returns how long a request waits for the processor at now.
func (o *Overload) delay(now time.Time) time.Duration {
	delay := o.overdue(now)
	if len(o.queues) > 0 {
		delay = max(delay, o.queues[len(o.queues)-1])
	}
	return delay
}

// State describes an Overload, for dumps and metrics.
type State struct {
	// Lateness is how late the last sample was, and Queue how long requests wait for the
	// processor: what all recent samples waited at least. Use is the part used of the processor
	// share, zero if it is not known.
	Lateness, Queue time.Duration
	Use             float64
	// Limit is the number of requests admitted per second, zero if it is not limited.
	Limit float64
	// Excess is that of the last sample. Full is set while the router is not ready for new
	// callers.
	Excess float64
	Full   bool
	// Refused is the number of requests refused.
	Refused int64
}

// State returns the current state.
func (o *Overload) State() State {
	o.mu.Lock()
	defer o.mu.Unlock()
	return State{
		Lateness: o.late, Queue: o.standing(), Use: o.use, Limit: o.admission.limit, Excess: o.last.Excess, Full: o.readiness.full, Refused: o.admission.refusals,
	}
}
