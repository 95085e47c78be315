package kcwoverload

import (
	"slices"
	"time"
)

// The rate of admissions is the product of two factors. The capacity is the rate that the router
// can serve; it is learned slowly, by gain in each sample. The other factor falls to minDrain while
// a queue stands that would last for drainTime, so that the queue is served first. Without the
// second, the rate could only follow a queue that already holds what was admitted too much, and
// would swing.
const (
	gain      = 0.04
	drainTime = 400 * time.Millisecond
	minDrain  = 0.1
	// shrinking is the ratio of the lateness to the former one up to which a queue shrinks. The
	// capacity is then no lower than the rate.
	shrinking = 0.95
	// fullGain replaces gain for an increase while the process uses its whole share of the
	// processor.
	fullGain = 0.005
	// fullUse is the use of the processor share from which it counts as used up.
	fullUse = 0.92
	// minRate is the least number of requests admitted per second, so that the effect of
	// admissions can still be measured.
	minRate = 2
	// burstTime is the time whose admissions may come at once, at least minBurst of them. A
	// request of low priority leaves part of that to requests of a higher one.
	burstTime = 2 * targetLateness
	minBurst  = 4
	// unboundAfter is the time without a refusal after which the rate is no longer limited.
	unboundAfter = 2 * time.Second
	// rateWeight is the weight of a sample in the average of the rate of admissions.
	rateWeight = 0.4
	// severeLateness is the lateness of which two samples are enough to show a queue.
	severeLateness = 2 * targetLateness
	// maxOverdue is the lateness of a sample that has not been taken yet from which no
	// request is admitted: what already waits takes as long as the time in which a plain
	// response is due.
	maxOverdue = 4 * targetLateness
	// minRetryAfter and maxRetryAfter bound Retry-After. The retry reaches another router, so
	// that it need not wait for this one for long.
	minRetryAfter, maxRetryAfter = 50 * time.Millisecond, time.Second
)

// admission limits the rate of admissions.
type admission struct {
	// capacity is the number of requests per second that the router can serve, zero while
	// admissions are not limited. Limit is the number to admit per second, and credit the
	// number that may be admitted at once, as of creditAt.
	capacity, limit, credit float64
	creditAt                time.Time
	// rate is the average rate of admissions. admitted counts those since sampledAt.
	rate      float64
	admitted  int
	sampledAt time.Time
	// begunEarly is set if the limit began after the last sample.
	begunEarly bool
	// refusedAt is when the limit was last too low for a request. Refusals counts all refusals,
	// refused those since sampledAt, and refusedPart is the average part of the requests.
	refusedAt   time.Time
	refusals    int64
	refused     int
	refusedPart float64
}

// resume begins anew after a suspension.
func (a *admission) resume(now time.Time) {
	a.admitted, a.refused, a.sampledAt, a.creditAt = 0, 0, now, now
}

// update adapts the limit to the newest samples, whose lateness is given, the newest last. Use is
// the used part of the processor share.
func (a *admission) update(now time.Time, lateness []time.Duration, use float64) Change {
	elapsed := now.Sub(a.sampledAt).Seconds()
	if elapsed > 0 && !a.sampledAt.IsZero() {
		a.rate += rateWeight * (float64(a.admitted)/elapsed - a.rate)
	}
	if all := a.admitted + a.refused; all > 0 {
		a.refusedPart += rateWeight * (float64(a.refused)/float64(all) - a.refusedPart)
	}
	a.admitted, a.refused, a.sampledAt = 0, 0, now
	const pair = 2
	if len(lateness) < pair {
		return Unchanged
	}
	oldest, newest := lateness[0], lateness[len(lateness)-1]
	queue := min(lateness[len(lateness)-pair], newest)
	stands := queue > severeLateness || len(lateness) == standingSamples && slices.Min(lateness) > targetLateness
	switch {
	case a.capacity == 0 && !stands:
		return Unchanged
	case a.capacity == 0:
		a.begin(queue, (newest-oldest).Seconds()/(float64(len(lateness)-1)*elapsed), now)
		return LimitBegun
	case now.Sub(a.refusedAt) >= unboundAfter && queue <= targetLateness:
		a.capacity, a.limit = 0, 0
		return LimitEnded
	}
	begunEarly := a.begunEarly
	a.begunEarly = false
	a.learn(queue, float64(newest) < shrinking*float64(oldest), use, now)
	a.setLimit(queue, now)
	if begunEarly {
		return LimitBegun
	}
	return Unchanged
}

// begin begins to limit admissions. Queue is the present queue, which has grown by the given part
// of the time.
func (a *admission) begin(queue time.Duration, growth float64, now time.Time) {
	// A queue grows by the part of the rate that exceeds the capacity.
	a.capacity = a.rate / (1 + max(0, growth))
	a.credit, a.creditAt, a.refusedAt = 0, now, now
	a.setLimit(queue, now)
}

// isBinding reports whether the limit was too low for a request shortly before now.
func (a *admission) isBinding(now time.Time) bool {
	return a.limit > 0 && now.Sub(a.refusedAt) < unboundAfter/4
}

// learn adapts the capacity to the queue.
func (a *admission) learn(queue time.Duration, shrinks bool, use float64, now time.Time) {
	excess := min(max(float64(queue-targetLateness)/float64(targetLateness), -1), 1)
	isBinding := a.isBinding(now)
	switch {
	case excess > 0 && shrinks, excess < 0 && !isBinding:
		return
	case excess > 0 && !isBinding:
		a.capacity = min(a.capacity, a.rate)
	case excess < 0 && use >= fullUse:
		a.capacity *= 1 + fullGain
		return
	}
	a.capacity *= 1 - gain*excess
}

// setLimit sets the limit for a queue of the given length.
func (a *admission) setLimit(queue time.Duration, now time.Time) {
	a.refill(now)
	a.capacity = max(a.capacity, minRate)
	drain := min(max(1-float64(queue-targetLateness)/float64(drainTime), minDrain), 1)
	a.limit = max(drain*a.capacity, minRate)
}

// burst returns the number of requests that may be admitted at once.
func (a *admission) burst() float64 { return max(minBurst, a.limit*burstTime.Seconds()) }

func (a *admission) refill(now time.Time) {
	if elapsed := now.Sub(a.creditAt).Seconds(); elapsed > 0 {
		a.credit = min(a.credit+elapsed*a.limit, a.burst())
		a.creditAt = now
	}
}

// take takes the credit for a request. If there is too little, it returns the time until there
// will be enough.
func (a *admission) take(urgency float64, now time.Time) (wait time.Duration, ok bool) {
	if a.limit == 0 {
		return 0, true
	}
	a.refill(now)
	needed := 1 + (1-urgency)*(a.burst()-1)/2
	if a.credit >= needed {
		a.credit--
		return 0, true
	}
	a.refusedAt = now
	return time.Duration((needed - a.credit) / a.limit * float64(time.Second)), false
}

// Request describes a request to admit.
type Request struct {
	// Urgency is the priority of the request, from zero for the lowest to one.
	Urgency float64
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// LinkDelay is how long bytes wait for the link.
	LinkDelay time.Duration
}

// Cause is why a request is refused.
type Cause string

// Causes of refusals.
const (
	// Admitted means that the request is not refused.
	Admitted Cause = ""
	// Processor means that requests wait too long for the processor, Link that bytes wait too
	// long for the link, and Memory that requests hold most of the memory that they may.
	Processor Cause = "the processor"
	Link      Cause = "the link"
	Memory    Cause = "the memory"
)

// Admit decides about a request before its body is read. If it is refused, retryAfter is the time
// after which this router could serve it.
func (o *Overload) Admit(r Request, now time.Time) (cause Cause, retryAfter time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	cause, retryAfter = o.decide(r, now)
	if cause == Admitted {
		o.admission.admitted++
		return Admitted, 0
	}
	o.admission.refusals++
	o.admission.refused++
	return cause, min(max(retryAfter, minRetryAfter), maxRetryAfter)
}

// beginEarly begins to limit admissions if the last sample was late and the next one is severely
// overdue: the queue then grows so fast that the samples come too late.
func (o *Overload) beginEarly(overdue time.Duration, now time.Time) {
	a := &o.admission
	if a.capacity > 0 || overdue <= severeLateness || overdue >= suspendedAfter || len(o.lateness) == 0 {
		return
	}
	late := o.lateness[len(o.lateness)-1]
	if late <= targetLateness {
		return
	}
	elapsed := now.Sub(a.sampledAt).Seconds()
	a.rate += rateWeight * (float64(a.admitted)/elapsed - a.rate)
	a.begin(overdue, (overdue-late).Seconds()/elapsed, now)
	a.begunEarly = true
}

// generalWait returns the least time after which a refused request should return. It is not zero if
// others are known to have as much load, so that a retry at once would probably be refused too: it
// then grows with the part of the requests that are refused.
func (o *Overload) generalWait() time.Duration {
	if o.last.Excess <= 0 || o.last.Excess >= fullExcess {
		return 0
	}
	return time.Duration(o.admission.refusedPart * float64(maxRetryAfter))
}

func (o *Overload) decide(r Request, now time.Time) (cause Cause, retryAfter time.Duration) {
	urgency := min(max(r.Urgency, 0), 1)
	delay := o.delay(now)
	overdue := o.overdue(now)
	o.beginEarly(overdue, now)
	switch linkBound := time.Duration((1 + urgency) / 2 * float64(maxLinkDelay)); {
	case o.last.Memory >= maxMemory:
		return Memory, maxRetryAfter / 2
	case r.LinkDelay > linkBound:
		return Link, r.LinkDelay - linkBound/2
	case overdue >= maxOverdue && overdue < suspendedAfter && !o.isResuming(now):
		return Processor, overdue
	case delay > targetLateness && delay < suspendedAfter && now.Add(passes*delay).After(r.Deadline):
		return Processor, delay
	}
	if wait, ok := o.admission.take(urgency, now); !ok {
		return Processor, max(wait+o.standing(), o.generalWait())
	}
	return Admitted, 0
}
