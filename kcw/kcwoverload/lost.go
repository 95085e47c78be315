package kcwoverload

import "time"

// maxLost bounds the intervals of lost time that are kept. At ten samples a second they cover
// 25 s, longer than any request waits.
const maxLost = 256

// lostTime holds the intervals in which the router was late, the newest last.
type lostTime struct {
	intervals []interval
}

type interval struct{ from, to time.Time }

// add adds an interval that ends after all others.
func (l *lostTime) add(from, to time.Time) {
	if n := len(l.intervals); n > 0 {
		if last := &l.intervals[n-1]; !from.After(last.to) {
			last.to = to
			return
		}
	}
	if len(l.intervals) == maxLost {
		l.intervals = append(l.intervals[:0], l.intervals[maxLost/2:]...)
	}
	l.intervals = append(l.intervals, interval{from, to})
}

// within returns how much of the time between from and to was lost.
func (l *lostTime) within(from, to time.Time) time.Duration {
	sum := time.Duration(0)
	for i := len(l.intervals) - 1; i >= 0 && l.intervals[i].to.After(from); i-- {
		sum += overlap(l.intervals[i], interval{from, to})
	}
	return sum
}

// overlap returns the length of the overlap of two intervals.
func overlap(a, b interval) time.Duration {
	if b.from.After(a.from) {
		a.from = b.from
	}
	if b.to.Before(a.to) {
		a.to = b.to
	}
	return max(0, a.to.Sub(a.from))
}

// recordLost records the time that was lost up to the sample s, which is late by the given time.
// While the link is busy all time counts, since what arrives may have waited for it.
func (o *Overload) recordLost(previous, s Sample, late time.Duration) {
	switch {
	case isLinkLate(s) && !previous.At.IsZero():
		o.lost.add(previous.At, s.At)
	case late >= minLateness:
		o.lost.add(s.At.Add(-late), s.At)
	}
}

func isLinkLate(s Sample) bool { return s.LinkDelay >= lateLinkDelay || s.LinkLoad >= lateLinkLoad }

// LostTime returns how much of the time between from and now the router was late. What did not
// arrive in that time may have arrived without having been handled.
func (o *Overload) LostTime(from, now time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	lost := o.lost.within(from, now)
	if overdue := o.overdue(now); overdue >= minLateness {
		lost += overlap(interval{now.Add(-overdue), now}, interval{from, now})
	}
	return lost
}

// IsLate reports whether the router itself is late at now, so that it can't be told whether
// others are.
func (o *Overload) IsLate(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.delay(now) >= targetLateness || isLinkLate(o.last)
}

// maxExtraTime bounds ExtraTime, so that a caller that waits for a second can still be refused.
const maxExtraTime = 600 * time.Millisecond

// ExtraTime returns how much longer than usual to wait at now for something that takes a few
// round trips, such as a new connection, because the router is late.
func (o *Overload) ExtraTime(now time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	extra := max(o.delay(now), o.last.LinkDelay)
	if extra < minLateness {
		return 0
	}
	return min(passes*extra, maxExtraTime)
}
