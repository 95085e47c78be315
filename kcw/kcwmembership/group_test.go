package kcwmembership_test

import (
	"errors"
	"math/rand"
	"slices"
	"time"

	"kingcupwick.example/kcw/kcwmembership"
	"kingcupwick.example/kcw/kcwpb"
)

// Times of the model. They are those of the fleet's core.
const (
	simTick     = 100 * time.Millisecond
	simElection = 800 * time.Millisecond
	simDelay    = 20 * time.Millisecond
	simPlan     = 200 * time.Millisecond
	simRequest  = 500 * time.Millisecond
	simCatchUp  = 4 * time.Second
)

// entry is an entry of a log. Logs share their common part.
type entry struct {
	index, term int
	// members is the membership in force from here on.
	members *kcwpb.Membership
	// change is the index of the entry that holds members.
	change int
	prev   *entry
}

// at returns the entry at index, which must not exceed e's.
func (e *entry) at(index int) *entry {
	for e.index > index {
		e = e.prev
	}
	return e
}

// isAfter reports whether the log that ends at e is at least as recent as the one that
// ends at other.
func (e *entry) isAfter(other *entry) bool {
	return e.term > other.term || e.term == other.term && e.index >= other.index
}

// holds reports whether other is in the log that ends at e.
func (e *entry) holds(other *entry) bool {
	return e.index >= other.index && e.at(other.index) == other
}

// majority reports whether the identities for which has returns true include a majority of
// each set of voters that decides under m.
func majority(m *kcwpb.Membership, has func(uint64) bool) bool {
	return margin(m, has) >= 0
}

// margin returns how many of the identities for which has returns true could be missing
// while the others include a majority of each set of voters under m. It is negative if even
// all of them are none.
func margin(m *kcwpb.Membership, has func(uint64) bool) int {
	count := func(ids []uint64) int {
		n := 0
		for _, id := range ids {
			if has(id) {
				n++
			}
		}
		return n - (len(ids)/2 + 1)
	}
	least := count(voters(m))
	if len(m.GetOutgoing()) > 0 {
		least = min(least, count(m.GetOutgoing()))
	}
	return least
}

func voters(m *kcwpb.Membership) []uint64 {
	var ids []uint64
	for _, member := range m.GetMembers() {
		if !member.GetLearner() {
			ids = append(ids, member.GetId())
		}
	}
	return ids
}

// replica is one identity and its disk.
type replica struct {
	id      uint64
	address string
	term    int
	log     *entry
	// commit is the highest index that it knows to be committed.
	commit int
	// electAt is when it starts an election without a message from a leader, and heardAt when it
	// last did.
	electAt, heardAt time.Time
	leading          *leading
	planner          *kcwmembership.Planner
	requestAt        time.Time
	// leaving is until when it waits, after its announcement, for the loss of its vote.
	leaving time.Time
}

// leading is the state of a leader.
type leading struct {
	matches  map[uint64]int
	acked    map[uint64]time.Time
	commit   int
	previous int
	first    int
	planAt   time.Time
}

// group is a model of a replicated group without messages: in each tick, a leader's entries
// reach the replicas that it is connected to, and their answers reach it in the next.
type group struct {
	rnd      *rand.Rand
	now      time.Time
	cfg      kcwmembership.Config
	replicas map[uint64]*replica
	// root is the start of all logs.
	root *entry
	// runs reports whether a replica runs and answers, connected whether two that run reach
	// each other, and speed how many entries it stores in a tick.
	runs      func(uint64) bool
	connected func(a, b uint64) bool
	speed     func(uint64) int
	// acked is the last entry that any leader acknowledged, and ackedAt when that was.
	acked   *entry
	ackedAt time.Time
	// splitVote is set if the last election was split.
	splitVote bool
}

func newGroup(rnd *rand.Rand, cfg kcwmembership.Config, now time.Time) *group {
	root := &entry{members: &kcwpb.Membership{}}
	return &group{rnd: rnd, now: now, cfg: cfg, replicas: map[uint64]*replica{}, root: root, acked: root, ackedAt: now}
}

// found adds the founding replicas, all voters.
func (g *group) found(addresses []string) {
	m := &kcwpb.Membership{}
	for i, address := range addresses {
		m.Members = append(m.Members, &kcwpb.Member{Id: uint64(i + 1), Address: address})
	}
	first := &entry{index: 1, term: 1, members: m, change: 1, prev: g.root}
	for i, address := range addresses {
		g.add(uint64(i+1), address).log = first
	}
	g.acked = first
}

// add adds a replica with an empty disk.
func (g *group) add(id uint64, address string) *replica {
	r := &replica{id: id, address: address, log: g.root}
	g.replicas[id] = r
	g.restart(r)
	return r
}

// restart discards what a replica holds in memory.
func (g *group) restart(r *replica) {
	r.leading, r.planner, r.leaving = nil, kcwmembership.New(g.cfg), time.Time{}
	r.requestAt, r.heardAt = g.now, time.Time{}
	g.delayElection(r)
}

func (g *group) delayElection(r *replica) {
	r.electAt = g.now.Add(simElection + time.Duration(g.rnd.Int63n(int64(simElection))))
}

// ids returns the identities in order.
func (g *group) ids() []uint64 {
	ids := make([]uint64, 0, len(g.replicas))
	for id := range g.replicas {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// reach reports whether two replicas exchange messages.
func (g *group) reach(a, b uint64) bool {
	return a == b || g.runs(a) && g.runs(b) && g.connected(a, b)
}

// tick advances the group by simTick.
func (g *group) tick() {
	g.now = g.now.Add(simTick)
	ids := g.ids()
	for _, id := range ids {
		if r := g.replicas[id]; g.runs(id) && r.leading != nil {
			g.lead(r)
		}
	}
	for _, id := range ids {
		if r := g.replicas[id]; g.runs(id) && r.leading == nil {
			g.follow(r)
		}
	}
}

// leader returns the leader of the highest term that runs, nil if there is none.
func (g *group) leader() *replica {
	var found *replica
	for _, id := range g.ids() {
		r := g.replicas[id]
		if r.leading != nil && g.runs(id) && (found == nil || r.term > found.term) {
			found = r
		}
	}
	return found
}

// lead makes a leader plan, replicate and commit.
func (g *group) lead(r *replica) {
	l := r.leading
	if !g.now.Before(l.planAt) {
		l.planAt = g.now.Add(simPlan)
		if change := r.planner.Next(g.status(r), g.now); change != nil {
			if err := g.change(r, change); err != nil {
				r.planner.Refuse(change, g.now)
			}
		}
	}
	recent := func(id uint64) bool { return id == r.id || g.now.Sub(l.acked[id]) <= simElection }
	if !majority(r.log.members, recent) {
		g.stepDown(r)
		return
	}
	g.append(r, nil)
	for _, m := range r.log.members.GetMembers() {
		to := g.replicas[m.GetId()]
		if to == nil || to == r || !g.reach(r.id, to.id) {
			continue
		}
		if to.term > r.term {
			r.term = to.term
			g.stepDown(r)
			return
		}
		g.replicate(r, to)
	}
	l.matches[r.id] = r.log.index
	g.commit(r)
}

// replicate sends entries to a replica and receives its answer to those of the last tick.
func (g *group) replicate(r, to *replica) {
	if to.leading != nil && to.term < r.term {
		g.stepDown(to)
	}
	to.term, to.heardAt = r.term, g.now
	g.delayElection(to)
	r.leading.acked[to.id] = g.now
	shared := to.log
	for shared.index > r.log.index {
		shared = shared.prev
	}
	for r.log.at(shared.index) != shared {
		shared = shared.prev
	}
	if shared == to.log {
		r.leading.matches[to.id] = shared.index
	}
	if speed := g.speed(to.id); speed > 0 {
		to.log = r.log.at(min(r.log.index, shared.index+speed))
		to.commit = max(to.commit, min(r.leading.commit, to.log.index))
	}
}

// commit commits what a majority has, and completes a replacement.
func (g *group) commit(r *replica) {
	l := r.leading
	l.previous = l.commit
	for index := r.log.index; index > l.commit && index >= l.first; index-- {
		if majority(r.log.members, func(id uint64) bool { return l.matches[id] >= index }) {
			l.commit, r.commit = index, index
			break
		}
	}
	if committed := r.log.at(l.commit); l.commit > 0 && !g.acked.holds(committed) {
		g.acked, g.ackedAt = committed, g.now
	}
	if r.log.change > l.commit {
		return
	}
	if len(r.log.members.GetOutgoing()) > 0 {
		g.append(r, &kcwpb.Membership{Members: r.log.members.GetMembers()})
	} else if !slices.Contains(voters(r.log.members), r.id) {
		g.handOver(r)
	}
}

// handOver makes a leader without a vote let a voter that has its whole log seek election at
// once.
func (g *group) handOver(r *replica) {
	g.stepDown(r)
	for _, id := range voters(r.log.members) {
		if to := g.replicas[id]; to != nil && g.reach(r.id, id) && to.log == r.log {
			to.electAt = g.now
			for _, other := range g.replicas {
				other.heardAt = time.Time{}
			}
			return
		}
	}
}

func (g *group) append(r *replica, m *kcwpb.Membership) {
	e := &entry{index: r.log.index + 1, term: r.term, members: r.log.members, change: r.log.change, prev: r.log}
	if m != nil {
		e.members, e.change = m, e.index
	}
	r.log = e
}

func (g *group) stepDown(r *replica) {
	r.leading = nil
	r.planner.Reset()
	g.delayElection(r)
}

// follow makes a replica that does not lead request admission or seek election.
func (g *group) follow(r *replica) {
	fresh := g.now.Sub(r.heardAt) <= simElection
	votes := slices.Contains(voters(r.log.members), r.id) || slices.Contains(r.log.members.GetOutgoing(), r.id)
	if (!votes || !fresh) && r.leaving.IsZero() && !g.now.Before(r.requestAt) {
		r.requestAt = g.now.Add(simRequest)
		if leader := g.leader(); leader != nil && g.reach(r.id, leader.id) {
			leader.planner.RequestAdmission(memberOf(r), g.now)
		}
	}
	if mayLead(r) && !g.now.Before(r.electAt) {
		g.elect(r)
	}
}

// mayLead reports whether r has a vote in the newest committed membership that it knows or
// in a later one.
func mayLead(r *replica) bool {
	for e := r.log; e.index > 0; e = e.at(e.change - 1) {
		if slices.Contains(voters(e.members), r.id) || slices.Contains(e.members.GetOutgoing(), r.id) {
			return true
		}
		if e.change <= r.commit {
			return false
		}
	}
	return false
}

// elect makes r the leader if it gets the votes, and if no other replica seeks election
// before a message of the candidate could arrive. The second election in a row is not split: bounds
// that hold whatever the random timeouts are would have to be infinite.
func (g *group) elect(r *replica) {
	for id, to := range g.replicas {
		collides := !g.splitVote && id != r.id && g.reach(r.id, id) && to.leading == nil && to.electAt.Sub(r.electAt).Abs() < simDelay
		if collides && slices.Contains(voters(r.log.members), id) {
			g.delayElection(r)
			g.delayElection(to)
			g.splitVote = true
			return
		}
	}
	g.delayElection(r)
	grants := func(id uint64) bool {
		to := g.replicas[id]
		if to == nil || !g.reach(r.id, id) {
			return false
		}
		follows := to.leading != nil || g.now.Sub(to.heardAt) <= simElection
		return id == r.id || !follows && r.log.isAfter(to.log)
	}
	if !majority(r.log.members, grants) {
		return
	}
	term := r.term
	for id, to := range g.replicas {
		if grants(id) {
			term = max(term, to.term)
		}
	}
	for id, to := range g.replicas {
		if grants(id) {
			to.term = term + 1
		}
	}
	r.term = term + 1
	g.splitVote = false
	r.leading = &leading{matches: map[uint64]int{}, acked: map[uint64]time.Time{}, first: r.log.index + 1, planAt: g.now}
	for _, m := range r.log.members.GetMembers() {
		r.leading.acked[m.GetId()] = g.now
	}
	for _, id := range r.log.members.GetOutgoing() {
		r.leading.acked[id] = g.now
	}
	g.append(r, nil)
}

func (g *group) status(r *replica) *kcwpb.GroupStatus {
	matches := map[uint64]uint64{}
	for id, match := range r.leading.matches {
		matches[id] = uint64(match)
	}
	return &kcwpb.GroupStatus{
		Id: r.id, Leader: r.id, Commit: uint64(r.leading.commit), Matches: matches, Membership: r.log.members,
	}
}

var (
	errBusy        = errors.New("busy")
	errNotCaughtUp = errors.New("not caught up")
)

// change appends a membership change under the rules of kcwreplica.
func (g *group) change(r *replica, req *kcwpb.ChangeMembersRequest) error {
	l := r.leading
	if l.commit < l.first || r.log.change > l.commit || len(r.log.members.GetOutgoing()) > 0 {
		return errBusy
	}
	promotes := req.GetKind() == kcwpb.ChangeMembersRequest_KIND_PROMOTE || req.GetKind() == kcwpb.ChangeMembersRequest_KIND_REPLACE
	if promotes && l.matches[req.GetMember().GetId()] < max(l.previous, l.first) {
		return errNotCaughtUp
	}
	m := &kcwpb.Membership{}
	for _, old := range r.log.members.GetMembers() {
		member := &kcwpb.Member{Id: old.GetId(), Address: old.GetAddress(), Learner: old.GetLearner()}
		isMember := member.GetId() == req.GetMember().GetId()
		switch {
		case isMember && req.GetKind() == kcwpb.ChangeMembersRequest_KIND_REMOVE:
			continue
		case isMember:
			member.Learner = req.GetKind() == kcwpb.ChangeMembersRequest_KIND_DEMOTE
		case req.GetKind() == kcwpb.ChangeMembersRequest_KIND_REPLACE && member.GetId() == req.GetReplaced():
			member.Learner = true
		}
		m.Members = append(m.Members, member)
	}
	switch req.GetKind() {
	case kcwpb.ChangeMembersRequest_KIND_ADD_LEARNER:
		m.Members = append(m.Members, &kcwpb.Member{Id: req.GetMember().GetId(), Address: req.GetMember().GetAddress(), Learner: true})
	case kcwpb.ChangeMembersRequest_KIND_REPLACE:
		m.Outgoing = voters(r.log.members)
	}
	g.append(r, m)
	return nil
}

func memberOf(r *replica) *kcwpb.Member { return &kcwpb.Member{Id: r.id, Address: r.address} }
