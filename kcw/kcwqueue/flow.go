package kcwqueue

import (
	"math"
	"slices"
	"time"
)

// entry is a waiting item.
type entry struct {
	item  Item
	since time.Time // start of the wait
	flow  *flow
	index int // in the heap of deadlines
}

// level returns the priority of the entry after aging.
func (e *entry) level(now time.Time, cfg *Config) int {
	return e.flow.level(now, cfg, e.item.Priority)
}

// deadlines is a heap of the waiting entries with the earliest deadline at the root.
type deadlines []*entry

func (d deadlines) Len() int { return len(d) }

func (d deadlines) Less(i, j int) bool { return d[i].item.Deadline.Before(d[j].item.Deadline) }

func (d deadlines) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].index, d[j].index = i, j
}

// Push implements heap.Interface.
func (d *deadlines) Push(x any) {
	e := x.(*entry)
	e.index = len(*d)
	*d = append(*d, e)
}

// Pop implements heap.Interface.
func (d *deadlines) Pop() any {
	last := len(*d) - 1
	e := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	return e
}

// scheduler is one level of the fair queueing hierarchy. It schedules the contracts of
// the queue, or the teams of a contract.
type scheduler struct {
	nodes       map[string]*node
	virtualTime float64 // start tag of the last item served
}

// node is one contract or team. The node of a contract holds the scheduler of its
// teams, and the node of a team holds the team's flow.
type node struct {
	weight      float64
	startTag    float64   // of the next item
	items       int       // that wait or run
	running     int       // items that run
	meanRunning float64   // exponentially decaying mean of running
	meanAt      time.Time // time of the last update of meanRunning
	waiting     []int     // waiting items by base priority
	teams       scheduler
	flow        *flow
}

// flow holds the waiting entries of one team of one contract.
type flow struct {
	contract *node
	team     *node
	queues   [][]*entry // by base priority, oldest entry first
	// passedOverSince holds, by base priority, the start of the time for which items have
	// been offered or waiting and none has started. It is zero if there is no such time.
	passedOverSince []time.Time
}

// flow returns the flow of an item and creates it if necessary.
func (q *Queue) flow(item Item) *flow {
	contract := q.contracts.node(item.Contract, item.ContractWeight, q.cfg.Priorities)
	if contract.teams.nodes == nil {
		contract.teams.nodes = make(map[string]*node)
	}
	team := contract.teams.node(item.Team, item.TeamWeight, q.cfg.Priorities)
	if team.flow == nil {
		team.flow = &flow{
			contract:        contract,
			team:            team,
			queues:          make([][]*entry, q.cfg.Priorities),
			passedOverSince: make([]time.Time, q.cfg.Priorities),
		}
	}
	return team.flow
}

// node returns the node with the given name and sets its weight. It creates the node
// if necessary.
func (s *scheduler) node(name string, weight float64, priorities int) *node {
	n := s.nodes[name]
	if n == nil {
		n = &node{waiting: make([]int, priorities)}
		s.nodes[name] = n
	}
	n.weight = weight
	return n
}

// serve advances the tags for an item of the given cost that starts at node n.
func (s *scheduler) serve(n *node, cost float64) {
	n.startTag = max(n.startTag, s.virtualTime)
	s.virtualTime = n.startTag
	n.startTag += cost / n.weight
}

// updateMean brings the decaying mean of the running items up to now.
func (n *node) updateMean(now time.Time, timeConstant time.Duration) {
	if !now.After(n.meanAt) {
		return
	}
	decay := math.Exp(-float64(now.Sub(n.meanAt)) / float64(timeConstant))
	n.meanRunning = float64(n.running) + decay*(n.meanRunning-float64(n.running))
	n.meanAt = now
}

// idleMean is the mean number of running items up to which a contract counts as idle.
const idleMean = 0.01

// burstFactor is the multiple of its share of the slots that a contract may use for a
// short time and still count as within its share.
const burstFactor = 1.5

// withinShare reports whether the contract's mean use of slots is at most its share,
// and its current use at most burstFactor times its share. The slots are divided by
// weight among the contracts that are not idle.
func (q *Queue) withinShare(now time.Time, contract *node) bool {
	totalWeight := 0.0
	for _, n := range q.contracts.nodes {
		n.updateMean(now, q.cfg.UsageTimeConstant)
		if n == contract || n.meanRunning > idleMean || n.items > 0 {
			totalWeight += n.weight
		}
	}
	share := float64(q.slots) * contract.weight / totalWeight
	return contract.meanRunning <= share && float64(contract.running) <= burstFactor*share
}

// prune deletes the node n with the given name if it holds no items and no teams, has no
// debt (its start tag is not after the virtual time), is idle, and has not been passed over
// since it was last served.
func (s *scheduler) prune(name string, n *node) {
	if n.items == 0 && n.startTag <= s.virtualTime && n.meanRunning <= idleMean && len(n.teams.nodes) == 0 && !n.flow.passedOver() {
		delete(s.nodes, name)
	}
}

// charge charges the expected cost of an item that starts to its contract and team.
func (q *Queue) charge(now time.Time, f *flow, item Item) {
	f.passedOverSince[item.Priority] = time.Time{}
	if len(f.queues[item.Priority]) > 0 {
		f.passedOverSince[item.Priority] = now
	}
	q.contracts.serve(f.contract, item.Cost)
	f.contract.teams.serve(f.team, item.Cost)
	f.contract.updateMean(now, q.cfg.UsageTimeConstant)
	f.contract.running++
	f.contract.items++
	f.team.items++
}

// correctCost replaces the expected cost of an item that has ended with its actual cost.
func (q *Queue) correctCost(now time.Time, item Item, cost float64) {
	f := q.flow(item)
	f.contract.updateMean(now, q.cfg.UsageTimeConstant)
	f.contract.running--
	f.contract.items--
	f.team.items--
	f.contract.startTag += (cost - item.Cost) / f.contract.weight
	f.team.startTag += (cost - item.Cost) / f.team.weight
}

// sweep is called for each request that has ended. In an idle queue it deletes all
// nodes. Otherwise, once per as many calls as there are contracts, it deletes the nodes
// that prune allows.
func (q *Queue) sweep() {
	if len(q.running) == 0 && len(q.waiting) == 0 {
		q.contracts = scheduler{nodes: make(map[string]*node)}
		q.ended = 0
		return
	}
	q.ended++
	if q.ended < len(q.contracts.nodes) {
		return
	}
	q.ended = 0
	for name, contract := range q.contracts.nodes {
		for team, n := range contract.teams.nodes {
			contract.teams.prune(team, n)
		}
		q.contracts.prune(name, contract)
	}
}

// push appends an entry to its queue.
func (f *flow) push(e *entry) {
	p := e.item.Priority
	f.queues[p] = append(f.queues[p], e)
	f.contract.waiting[p]++
	f.contract.items++
	f.team.waiting[p]++
	f.team.items++
}

// remove removes an entry from its queue.
func (f *flow) remove(e *entry) {
	p := e.item.Priority
	i := slices.Index(f.queues[p], e)
	f.queues[p] = slices.Delete(f.queues[p], i, i+1)
	f.contract.waiting[p]--
	f.contract.items--
	f.team.waiting[p]--
	f.team.items--
}

// level returns the level to which the queue of a priority has risen by aging. It rises
// with the time for which the queue has been passed over, not with the waiting time of
// single items. With the latter, the long queue of a flood would rise above new items
// of other contracts and teams, and a queue whose items are refused or canceled before
// they rise would starve.
func (f *flow) level(now time.Time, cfg *Config, priority int) int {
	if f.passedOverSince[priority].IsZero() {
		return priority
	}
	steps := max(int64(now.Sub(f.passedOverSince[priority])/cfg.Aging), 0)
	return int(min(int64(priority)+steps, int64(cfg.Priorities-1)))
}

// passOver records that an item of the priority was offered and did not start.
func (f *flow) passOver(now time.Time, priority int) {
	if f.passedOverSince[priority].IsZero() {
		f.passedOverSince[priority] = now
	}
}

// passedOver reports whether any queue of the flow has been passed over since it was
// last served.
func (f *flow) passedOver() bool {
	return f != nil && slices.ContainsFunc(f.passedOverSince, func(t time.Time) bool { return !t.IsZero() })
}

// waitingFrom returns the number of waiting items whose base priority is at least the
// given one.
func (n *node) waitingFrom(priority int) int {
	sum := 0
	for _, waiting := range n.waiting[priority:] {
		sum += waiting
	}
	return sum
}
