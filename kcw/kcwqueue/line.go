package kcwqueue

import (
	"math"
	"slices"
	"time"
)

// entry is an item that waits.
type entry struct {
	item  Item
	since time.Time
	flow  *flow
	index int // place in the heap of deadlines
}

// level returns the priority that the entry has risen to.
func (e *entry) level(now time.Time, cfg *Config) int {
	return e.flow.level(now, cfg, e.item.Priority)
}

// deadlines is a heap of the waiting entries, the earliest deadline first.
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

// shares is one step of fair queueing: the contracts of the queue, or the teams
// of a contract.
type shares struct {
	nodes   map[string]*share
	virtual float64 // virtual time: the start tag of the last item served
}

// share is one contract or team. For a contract, teams holds its teams; for a
// team, flow holds its lines.
type share struct {
	weight  float64
	tag     float64 // start tag of its next item
	held    int     // items that wait or run
	running int
	used    float64   // mean of running, decayed
	usedAt  time.Time // up to when used is counted
	waiting []int     // waiting items by base priority
	teams   shares
	flow    *flow
}

// flow is the lines of one team of one contract.
type flow struct {
	contract *share
	team     *share
	lines    [][]*entry  // by base priority, the oldest first
	hungry   []time.Time // by base priority, since when it is passed over, or zero
}

// flow returns the flow of an item and makes it if there is none.
func (q *Queue) flow(item Item) *flow {
	contract := q.contracts.node(item.Contract, item.ContractWeight, q.cfg.Priorities)
	if contract.teams.nodes == nil {
		contract.teams.nodes = make(map[string]*share)
	}
	team := contract.teams.node(item.Team, item.TeamWeight, q.cfg.Priorities)
	if team.flow == nil {
		team.flow = &flow{
			contract: contract,
			team:     team,
			lines:    make([][]*entry, q.cfg.Priorities),
			hungry:   make([]time.Time, q.cfg.Priorities),
		}
	}
	return team.flow
}

// node returns the share of a name, made if there is none, with its weight
// brought up to date.
func (s *shares) node(name string, weight float64, priorities int) *share {
	n := s.nodes[name]
	if n == nil {
		n = &share{waiting: make([]int, priorities)}
		s.nodes[name] = n
	}
	n.weight = weight
	return n
}

// serve charges one item of the given cost to a share that starts it.
func (s *shares) serve(n *share, cost float64) {
	n.tag = max(n.tag, s.virtual)
	s.virtual = n.tag
	n.tag += cost / n.weight
}

// use brings the mean use of slots up to now.
func (n *share) use(now time.Time, memory time.Duration) {
	if !now.After(n.usedAt) {
		return
	}
	kept := math.Exp(-float64(now.Sub(n.usedAt)) / float64(memory))
	n.used = float64(n.running) + kept*(n.used-float64(n.running))
	n.usedAt = now
}

// idleUse is the mean use of slots below which a contract counts as idle.
const idleUse = 0.01

// atOnce is how far beyond its share of the slots a contract may go for a moment
// and still be inside its share.
const atOnce = 1.5

// inside reports whether a contract has of late used no more than its share of
// the slots, and now uses not many more. The contracts that are not idle have
// parts of the slots by weight.
func (q *Queue) inside(now time.Time, contract *share) bool {
	weights := 0.0
	for _, n := range q.contracts.nodes {
		n.use(now, q.cfg.UsageTimeConstant)
		if n == contract || n.used > idleUse || n.held > 0 {
			weights += n.weight
		}
	}
	part := float64(q.slots) * contract.weight / weights
	return contract.used <= part && float64(contract.running) <= atOnce*part
}

// prune forgets a share that holds nothing, has no debt, was idle of late, and was
// not passed over since it was last served.
func (s *shares) prune(name string, n *share) {
	if n.held == 0 && n.tag <= s.virtual && n.used <= idleUse && len(n.teams.nodes) == 0 && !n.flow.passedOver() {
		delete(s.nodes, name)
	}
}

// charge counts an item that starts against its shares.
func (q *Queue) charge(now time.Time, f *flow, item Item) {
	f.hungry[item.Priority] = time.Time{}
	if len(f.lines[item.Priority]) > 0 {
		f.hungry[item.Priority] = now
	}
	q.contracts.serve(f.contract, item.Cost)
	f.contract.teams.serve(f.team, item.Cost)
	f.contract.use(now, q.cfg.UsageTimeConstant)
	f.contract.running++
	f.contract.held++
	f.team.held++
}

// correct replaces the expected cost of an item that ended by its true one.
func (q *Queue) correct(now time.Time, item Item, cost float64) {
	f := q.flow(item)
	f.contract.use(now, q.cfg.UsageTimeConstant)
	f.contract.running--
	f.contract.held--
	f.team.held--
	f.contract.tag += (cost - item.Cost) / f.contract.weight
	f.team.tag += (cost - item.Cost) / f.team.weight
}

// sweep forgets the shares that hold nothing and have no debt, each time as many
// requests have ended as there are contracts, and all of them in an idle queue.
func (q *Queue) sweep() {
	if len(q.running) == 0 && len(q.waiting) == 0 {
		q.contracts = shares{nodes: make(map[string]*share)}
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

// push puts an entry at the end of its line.
func (f *flow) push(e *entry) {
	p := e.item.Priority
	f.lines[p] = append(f.lines[p], e)
	f.contract.waiting[p]++
	f.contract.held++
	f.team.waiting[p]++
	f.team.held++
}

// pop takes an entry out of its line.
func (f *flow) pop(e *entry) {
	p := e.item.Priority
	i := slices.Index(f.lines[p], e)
	f.lines[p] = slices.Delete(f.lines[p], i, i+1)
	f.contract.waiting[p]--
	f.contract.held--
	f.team.waiting[p]--
	f.team.held--
}

// level returns the level that the line of a priority has risen to. It rises with
// the time for which the line is passed over, not with an item's own time in it:
// else the long line of a flood would rise above the fresh items of other shares,
// and a line whose items are refused or given up before they rise would starve.
func (f *flow) level(now time.Time, cfg *Config, priority int) int {
	if f.hungry[priority].IsZero() {
		return priority
	}
	risen := max(int64(now.Sub(f.hungry[priority])/cfg.Aging), 0)
	return int(min(int64(priority)+risen, int64(cfg.Priorities-1)))
}

// passOver notes that an item of the priority was offered and did not start.
func (f *flow) passOver(now time.Time, priority int) {
	if f.hungry[priority].IsZero() {
		f.hungry[priority] = now
	}
}

// passedOver reports whether a line has been passed over since it was served.
func (f *flow) passedOver() bool {
	return f != nil && slices.ContainsFunc(f.hungry, func(t time.Time) bool { return !t.IsZero() })
}

// above returns how many items of the given base priority or a larger one wait.
func (n *share) above(priority int) int {
	sum := 0
	for _, waiting := range n.waiting[priority:] {
		sum += waiting
	}
	return sum
}
