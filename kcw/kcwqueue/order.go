package kcwqueue

import (
	"math"
	"time"
)

// first returns the entry that starts next: of the highest level, of the
// contract with the smallest start tag there, of its team with the smallest,
// and of that the one that has waited longest. With reserved set, only contracts
// inside their shares count. It returns nil if there is none.
func (q *Queue) first(now time.Time, reserved bool) *entry {
	top := -1
	var admitted []*share
	for _, contract := range q.contracts.nodes {
		if contract.above(0) == 0 || reserved && !q.inside(now, contract) {
			continue
		}
		admitted = append(admitted, contract)
		for _, team := range contract.teams.nodes {
			if e := team.flow.head(now, &q.cfg, 0); e != nil {
				top = max(top, e.level(now, &q.cfg))
			}
		}
	}
	var best *entry
	for _, contract := range admitted {
		e := q.firstOf(now, contract, top)
		if e != nil && (best == nil || before(&q.contracts, e, best, e.flow.contract, best.flow.contract)) {
			best = e
		}
	}
	return best
}

// firstOf returns the entry of one contract that starts next, of those at the
// level top, or nil.
func (q *Queue) firstOf(now time.Time, contract *share, top int) *entry {
	var best *entry
	for _, team := range contract.teams.nodes {
		e := team.flow.head(now, &q.cfg, top)
		if e != nil && (best == nil || before(&contract.teams, e, best, e.flow.team, best.flow.team)) {
			best = e
		}
	}
	return best
}

// before reports whether entry a of share m starts before entry b of share n.
// A share that was passed over for its priority keeps no claim to the past:
// its tag counts from the virtual time.
func before(s *shares, a, b *entry, m, n *share) bool {
	tagA, tagB := max(m.tag, s.virtual), max(n.tag, s.virtual)
	if tagA != tagB {
		return tagA < tagB
	}
	return a.older(b)
}

// older orders entries by their time in the queue, then by identity.
func (e *entry) older(other *entry) bool {
	if !e.since.Equal(other.since) {
		return e.since.Before(other.since)
	}
	return e.item.ID < other.item.ID
}

// head returns the flow's entry of the highest level, if that is at least
// least, and of equal ones the oldest.
func (f *flow) head(now time.Time, cfg *Config, least int) *entry {
	var best *entry
	for _, line := range f.lines {
		if len(line) == 0 {
			continue
		}
		e := line[0]
		level := e.level(now, cfg)
		if level < least {
			continue
		}
		if best == nil || level > best.level(now, cfg) || (level == best.level(now, cfg) && e.older(best)) {
			best = e
		}
	}
	return best
}

// victim returns the waiting entry that gives up its place to item: the newest
// of the lowest level, of the team and contract that wait most beyond their
// weights. It returns nil if that entry goes before item.
func (q *Queue) victim(now time.Time, item Item) *entry {
	var worst *entry
	for _, e := range q.waiting {
		if worst == nil || q.worse(now, e, worst) {
			worst = e
		}
	}
	mine := q.flow(item)
	level, own := q.rank(now, worst), mine.level(now, &q.cfg, item.Priority)
	if level != own {
		if level < own {
			return worst
		}
		return nil
	}
	if mine.contract != worst.flow.contract {
		if worst.flow.contract.excess(0) > mine.contract.excess(1) {
			return worst
		}
		return nil
	}
	if mine.team != worst.flow.team && worst.flow.team.excess(0) > mine.team.excess(1) {
		return worst
	}
	return nil
}

// rank returns the level by which an entry keeps its place: only the first of a
// line gains by the time for which the line is passed over.
func (q *Queue) rank(now time.Time, e *entry) int {
	if e.flow.lines[e.item.Priority][0] == e {
		return e.level(now, &q.cfg)
	}
	return e.item.Priority
}

// worse reports whether a is evicted before b.
func (q *Queue) worse(now time.Time, a, b *entry) bool {
	if la, lb := q.rank(now, a), q.rank(now, b); la != lb {
		return la < lb
	}
	if ea, eb := a.flow.contract.excess(0), b.flow.contract.excess(0); ea != eb {
		return ea > eb
	}
	if ea, eb := a.flow.team.excess(0), b.flow.team.excess(0); ea != eb {
		return ea > eb
	}
	return b.older(a)
}

// excess returns the waiting items and extra more over the share's weight.
func (n *share) excess(extra int) float64 {
	return float64(n.above(0)+extra) / n.weight
}

// expected returns when an item offered at now can be expected to start. The
// items that go before it are at most all that wait with its priority or more,
// and at most those which the other shares get while its own share works off
// what is before it there.
func (q *Queue) expected(now time.Time, item Item) time.Time {
	if q.slots == 0 {
		return now
	}
	f := q.flow(item)
	level := f.level(now, &q.cfg, item.Priority)
	ahead := f.contract.teams.ahead(f.team, level, float64(f.team.above(level)))
	ahead = min(ahead, float64(f.contract.above(level)))
	ahead = q.contracts.ahead(f.contract, level, ahead)
	wait := (ahead + 1) * float64(q.hold) / float64(q.slots)
	return now.Add(time.Duration(min(wait, math.MaxInt64/4)))
}

// ahead returns how many items of all shares start before one that has own
// items of its own share before it.
func (s *shares) ahead(mine *share, level int, own float64) float64 {
	total, weights := 0, mine.weight
	for _, n := range s.nodes {
		waiting := n.above(level)
		total += waiting
		if waiting > 0 && n != mine {
			weights += n.weight
		}
	}
	return min(float64(total), (own+1)*weights/mine.weight-1)
}

// learn takes the time that an ended request held its slot into the mean.
func (q *Queue) learn(held time.Duration) {
	const gain = 1.0 / 32
	q.hold += time.Duration(gain * float64(max(held, 0)-q.hold))
	q.hold = max(q.hold, 1)
}

// retryAt returns when an item like this one, with as long a time to its
// deadline, can be expected to be admitted, with up to a half more as jitter.
func (q *Queue) retryAt(now time.Time, item Item) time.Time {
	slack := max(item.Deadline.Sub(now), 0)
	wait := q.expected(now, item).Sub(now) - slack
	wait = max(wait, q.hold/time.Duration(max(q.slots, 1)), 1)
	return now.Add(wait + time.Duration(q.cfg.Rand.Int64N(int64(wait)/2+1)))
}
