package kcwqueue

import (
	"math"
	"time"
)

// next returns the waiting entry that starts next, or nil if there is none. Only entries
// of the highest level are considered. Of their contracts, the one with the smallest
// start tag is chosen, of its teams likewise, and of that team's entries the oldest. If
// reserved is set, only contracts within their shares are considered.
func (q *Queue) next(now time.Time, reserved bool) *entry {
	top := -1
	var eligible []*node
	for _, contract := range q.contracts.nodes {
		if contract.waitingFrom(0) == 0 || reserved && !q.withinShare(now, contract) {
			continue
		}
		eligible = append(eligible, contract)
		for _, team := range contract.teams.nodes {
			if e := team.flow.head(now, &q.cfg, 0); e != nil {
				top = max(top, e.level(now, &q.cfg))
			}
		}
	}
	var best *entry
	for _, contract := range eligible {
		e := q.nextOf(now, contract, top)
		if e != nil && (best == nil || before(&q.contracts, e, best, e.flow.contract, best.flow.contract)) {
			best = e
		}
	}
	return best
}

// nextOf returns the entry of one contract that starts next, or nil if none of its
// entries has at least the level top.
func (q *Queue) nextOf(now time.Time, contract *node, top int) *entry {
	var best *entry
	for _, team := range contract.teams.nodes {
		e := team.flow.head(now, &q.cfg, top)
		if e != nil && (best == nil || before(&contract.teams, e, best, e.flow.team, best.flow.team)) {
			best = e
		}
	}
	return best
}

// before reports whether entry a of node m starts before entry b of node n. A start tag
// that lies before the virtual time counts as the virtual time, so that a node gains no
// credit while entries of higher levels are served.
func before(s *scheduler, a, b *entry, m, n *node) bool {
	tagA, tagB := max(m.startTag, s.virtualTime), max(n.startTag, s.virtualTime)
	if tagA != tagB {
		return tagA < tagB
	}
	return a.older(b)
}

// older reports whether e was enqueued before other. Entries enqueued at the same time
// are ordered by ID.
func (e *entry) older(other *entry) bool {
	if !e.since.Equal(other.since) {
		return e.since.Before(other.since)
	}
	return e.item.ID < other.item.ID
}

// head returns the flow's oldest entry of the highest level, or nil if no entry has at
// least the level minLevel.
func (f *flow) head(now time.Time, cfg *Config, minLevel int) *entry {
	var best *entry
	for _, queue := range f.queues {
		if len(queue) == 0 {
			continue
		}
		e := queue[0]
		level := e.level(now, cfg)
		if level < minLevel {
			continue
		}
		if best == nil || level > best.level(now, cfg) || (level == best.level(now, cfg) && e.older(best)) {
			best = e
		}
	}
	return best
}

// victim returns the waiting entry to evict in favor of item: the newest entry of the
// lowest level, of the contract and team with the most waiting items relative to their
// weights. It returns nil if that entry precedes item.
func (q *Queue) victim(now time.Time, item Item) *entry {
	var candidate *entry
	for _, e := range q.waiting {
		if candidate == nil || q.evictedBefore(now, e, candidate) {
			candidate = e
		}
	}
	itemFlow := q.flow(item)
	candidateLevel, itemLevel := q.evictionLevel(now, candidate), itemFlow.level(now, &q.cfg, item.Priority)
	if candidateLevel != itemLevel {
		if candidateLevel < itemLevel {
			return candidate
		}
		return nil
	}
	if itemFlow.contract != candidate.flow.contract {
		if candidate.flow.contract.waitingPerWeight(0) > itemFlow.contract.waitingPerWeight(1) {
			return candidate
		}
		return nil
	}
	if itemFlow.team != candidate.flow.team && candidate.flow.team.waitingPerWeight(0) > itemFlow.team.waitingPerWeight(1) {
		return candidate
	}
	return nil
}

// evictionLevel returns the level that decides which entry is evicted: for the first entry
// of a queue the level to which the queue has risen, and for all others their base
// priority.
func (q *Queue) evictionLevel(now time.Time, e *entry) int {
	if e.flow.queues[e.item.Priority][0] == e {
		return e.level(now, &q.cfg)
	}
	return e.item.Priority
}

// evictedBefore reports whether a is evicted before b.
func (q *Queue) evictedBefore(now time.Time, a, b *entry) bool {
	if la, lb := q.evictionLevel(now, a), q.evictionLevel(now, b); la != lb {
		return la < lb
	}
	if ea, eb := a.flow.contract.waitingPerWeight(0), b.flow.contract.waitingPerWeight(0); ea != eb {
		return ea > eb
	}
	if ea, eb := a.flow.team.waitingPerWeight(0), b.flow.team.waitingPerWeight(0); ea != eb {
		return ea > eb
	}
	return b.older(a)
}

// waitingPerWeight returns the number of the node's waiting items, plus extra, divided by
// its weight.
func (n *node) waitingPerWeight(extra int) float64 {
	return float64(n.waitingFrom(0)+extra) / n.weight
}

// expectedStart returns the time at which an item offered at now is expected to start.
// The number of items that start before it is estimated as the smaller of two bounds: the
// number of all waiting items of at least its level, and the number that all contracts and
// teams start, in proportion to their weights, until those before it in its own contract
// and team have started.
func (q *Queue) expectedStart(now time.Time, item Item) time.Time {
	if q.slots == 0 {
		return now
	}
	f := q.flow(item)
	level := f.level(now, &q.cfg, item.Priority)
	ahead := f.contract.teams.ahead(f.team, level, float64(f.team.waitingFrom(level)))
	ahead = min(ahead, float64(f.contract.waitingFrom(level)))
	ahead = q.contracts.ahead(f.contract, level, ahead)
	wait := (ahead + 1) * float64(q.meanHold) / float64(q.slots)
	return now.Add(time.Duration(min(wait, math.MaxInt64/4)))
}

// ahead returns the number of items of all nodes that are expected to start before an item
// of itemNode, given the number own of those items that are of itemNode.
func (s *scheduler) ahead(itemNode *node, level int, own float64) float64 {
	total, totalWeight := 0, itemNode.weight
	for _, n := range s.nodes {
		waiting := n.waitingFrom(level)
		total += waiting
		if waiting > 0 && n != itemNode {
			totalWeight += n.weight
		}
	}
	return min(float64(total), (own+1)*totalWeight/itemNode.weight-1)
}

// updateMeanHold adds the time for which a request held its slot to the moving mean.
func (q *Queue) updateMeanHold(held time.Duration) {
	const gain = 1.0 / 32
	q.meanHold += time.Duration(gain * float64(max(held, 0)-q.meanHold))
	q.meanHold = max(q.meanHold, 1)
}

// retryAt returns the time at which an item like the given one, with the same time to
// its deadline, is expected to be admitted. Jitter adds up to half of the wait.
func (q *Queue) retryAt(now time.Time, item Item) time.Time {
	slack := max(item.Deadline.Sub(now), 0)
	wait := q.expectedStart(now, item).Sub(now) - slack
	wait = max(wait, q.meanHold/time.Duration(max(q.slots, 1)), 1)
	return now.Add(wait + time.Duration(q.cfg.Rand.Int64N(int64(wait)/2+1)))
}
