// Package kcwmembership decides on the membership changes of a replicated group
// that repairs itself: it adds new replicas as learners, gives them votes once they
// have caught up, and takes the votes of members that lost their disk, are silent or
// are about to stop. The package does no I/O and takes the current time as an argument.
//
// The group keeps an odd number of voters, since one voter more than an odd number
// raises the quorum and not the number of voters that may be lost. A further replica is
// a learner that stands by.
package kcwmembership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"kingcupwick.example/kcw/kcwpb"
)

// Kinds of membership change.
const (
	addLearner = kcwpb.ChangeMembersRequest_KIND_ADD_LEARNER
	promote    = kcwpb.ChangeMembersRequest_KIND_PROMOTE
	remove     = kcwpb.ChangeMembersRequest_KIND_REMOVE
	demote     = kcwpb.ChangeMembersRequest_KIND_DEMOTE
	replace    = kcwpb.ChangeMembersRequest_KIND_REPLACE
)

// Config holds the rules of a Planner.
type Config struct {
	// Losses is the number of members that may be lost at once. No voter is removed or
	// demoted without a successor if fewer than 2*Losses+1 voters would remain.
	Losses int
	// SilentAfter is how long a voter's log must have lagged behind the commit index
	// without progress before another replica takes over its vote.
	SilentAfter time.Duration
	// RemoveAfter is how long a learner's log must have lagged without progress before
	// the learner is removed.
	RemoveAfter time.Duration
	// MaxRequestAge is the age above which a request for admission or the announcement of
	// a stop is ignored. A running replica repeats its request, so an older one means that
	// it stopped.
	MaxRequestAge time.Duration
	// MaxPause is the longest time between two calls of Next in which a member can
	// be silent. A leader that was suspended makes no call, and the rest of that time
	// says nothing about the other members.
	MaxPause time.Duration
}

// request is the last message of a replica about its own membership: that it requests
// admission, or that it is about to stop.
type request struct {
	member  *kcwpb.Member
	at      time.Time
	leaving bool
}

// progress is the index up to which a member's log matches the leader's, and when
// the log was last observed to advance or to hold all committed entries.
type progress struct {
	index uint64
	at    time.Time
}

// Planner decides on membership changes at the leader. It is not safe for
// concurrent use.
type Planner struct {
	cfg      Config
	requests map[uint64]request
	progress map[uint64]progress
	// refusedAt is when the group last refused to give a learner a vote.
	refusedAt map[uint64]time.Time
	// calledAt is the time of the last call of Next, and commit the commit index then.
	calledAt time.Time
	commit   uint64
}

// New returns a Planner.
func New(cfg Config) *Planner {
	return &Planner{
		cfg: cfg, requests: map[uint64]request{}, progress: map[uint64]progress{}, refusedAt: map[uint64]time.Time{},
	}
}

// RequestAdmission records that a replica without a vote requested admission at now.
func (p *Planner) RequestAdmission(m *kcwpb.Member, now time.Time) {
	p.requests[m.GetId()] = request{member: m, at: now}
}

// AnnounceStop records that a replica announced at now that it is about to stop.
func (p *Planner) AnnounceStop(m *kcwpb.Member, now time.Time) {
	p.requests[m.GetId()] = request{member: m, at: now, leaving: true}
}

// Refuse records that the group refused change at now. A learner that was to get a vote
// gets none before it has requested admission again.
func (p *Planner) Refuse(change *kcwpb.ChangeMembersRequest, now time.Time) {
	if change.GetKind() == promote || change.GetKind() == replace {
		p.refusedAt[change.GetMember().GetId()] = now
	}
}

// Reset discards what is known about the members. A replica that is not the leader calls
// it, since only the leader observes the members.
func (p *Planner) Reset() {
	clear(p.requests)
	clear(p.progress)
	clear(p.refusedAt)
	p.calledAt, p.commit = time.Time{}, 0
}

// HeardAt returns when the member id last made progress, and the zero time if it is not
// known. It is later than the actual time by pauses of the leader itself.
func (p *Planner) HeardAt(id uint64) time.Time { return p.progress[id].at }

// IsSilent reports whether the member id is silent at now.
func (p *Planner) IsSilent(id uint64, now time.Time) bool {
	heard, found := p.progress[id]
	return found && now.Sub(heard.at) >= p.cfg.SilentAfter
}

// Next returns the membership change that the leader should propose at now, nil
// if none. It returns none while a replacement is in progress.
func (p *Planner) Next(status *kcwpb.GroupStatus, now time.Time) *kcwpb.ChangeMembersRequest {
	p.observe(status, now)
	caughtUp := p.commit
	p.calledAt, p.commit = now, status.GetCommit()
	if len(status.GetMembership().GetOutgoing()) > 0 {
		return nil
	}
	g := p.assess(status, caughtUp, now)
	for _, rule := range []func(*groupState) *kcwpb.ChangeMembersRequest{
		p.removeWiped, p.add, p.shrink, p.replace, p.promote,
	} {
		if change := rule(g); change != nil {
			return change
		}
	}
	return p.removeSilent(g, now)
}

// observe records the members whose log has advanced or matches all committed
// entries, and drops outdated records.
func (p *Planner) observe(status *kcwpb.GroupStatus, now time.Time) {
	if pause := now.Sub(p.calledAt) - p.cfg.MaxPause; pause > 0 && !p.calledAt.IsZero() {
		for id, last := range p.progress {
			p.progress[id] = progress{last.index, last.at.Add(pause)}
		}
	}
	members := map[uint64]bool{}
	for _, m := range status.GetMembership().GetMembers() {
		id := m.GetId()
		members[id] = true
		match := status.GetMatches()[id]
		last, found := p.progress[id]
		if !found || match > last.index || match >= status.GetCommit() || id == status.GetId() {
			p.progress[id] = progress{match, now}
		}
	}
	maps.DeleteFunc(p.progress, func(id uint64, _ progress) bool { return !members[id] })
	maps.DeleteFunc(p.refusedAt, func(id uint64, _ time.Time) bool { return !members[id] })
	maps.DeleteFunc(p.requests, func(_ uint64, r request) bool { return now.Sub(r.at) > p.cfg.MaxRequestAge })
}

// groupState is what Next knows about the members at one time.
type groupState struct {
	// leader is the identity of the replica that decides.
	leader  uint64
	members []*kcwpb.Member
	voters  int
	// wiped holds the members whose disk is lost.
	wiped map[uint64]bool
	// failing holds the voters that should lose their vote, the most urgent first.
	failing []*kcwpb.Member
	// successors holds the learners that may get a vote.
	successors []*kcwpb.Member
}

// assess returns the state of the group at now. A learner has caught up if its log
// matches the leader's up to the index caughtUp.
func (p *Planner) assess(status *kcwpb.GroupStatus, caughtUp uint64, now time.Time) *groupState {
	g := &groupState{leader: status.GetId(), members: status.GetMembership().GetMembers(), wiped: map[uint64]bool{}}
	urgency := map[uint64]time.Time{}
	for i, m := range g.members {
		id := m.GetId()
		own, requested := p.requests[id]
		g.wiped[id] = id != g.leader && (p.isSuperseded(m) || hasLaterReplica(status, i))
		silent := p.IsSilent(id, now)
		match := status.GetMatches()[id]
		switch {
		case m.GetLearner():
			sound := requested && !own.leaving && !silent && !g.wiped[id]
			if sound && match > 0 && match >= caughtUp && own.at.After(p.refusedAt[id]) {
				g.successors = append(g.successors, m)
			}
			continue
		case g.wiped[id]:
			urgency[id] = time.Time{}
		case silent:
			urgency[id] = p.progress[id].at
		case requested && own.leaving:
			urgency[id] = now
		}
		g.voters++
		if _, failing := urgency[id]; failing {
			g.failing = append(g.failing, m)
		}
	}
	slices.SortStableFunc(g.failing, func(a, b *kcwpb.Member) int {
		return urgency[a.GetId()].Compare(urgency[b.GetId()])
	})
	return g
}

// isSuperseded reports whether a replica with another identity has sent a later request
// from the address of m, which means that m has lost its disk.
func (p *Planner) isSuperseded(m *kcwpb.Member) bool {
	own := p.requests[m.GetId()]
	for id, other := range p.requests {
		if id != m.GetId() && other.member.GetAddress() == m.GetAddress() && other.at.After(own.at) {
			return true
		}
	}
	return false
}

// hasLaterReplica reports whether a member that was added after the one at index i has its
// address and has answered the leader.
func hasLaterReplica(status *kcwpb.GroupStatus, i int) bool {
	members := status.GetMembership().GetMembers()
	for _, later := range members[i+1:] {
		if later.GetAddress() == members[i].GetAddress() && status.GetMatches()[later.GetId()] > 0 {
			return true
		}
	}
	return false
}

// removeWiped removes a learner whose disk is lost. A voter whose disk is lost keeps its
// vote until another replica takes it over, so that the number of voters does not fall.
func (p *Planner) removeWiped(g *groupState) *kcwpb.ChangeMembersRequest {
	for _, m := range g.members {
		if m.GetLearner() && g.wiped[m.GetId()] {
			return change(remove, m)
		}
	}
	return nil
}

// add adds a replica that requests admission and is no member.
func (p *Planner) add(g *groupState) *kcwpb.ChangeMembersRequest {
	for _, id := range slices.SortedFunc(maps.Keys(p.requests), cmp.Compare) {
		r := p.requests[id]
		isMember := slices.ContainsFunc(g.members, func(m *kcwpb.Member) bool { return m.GetId() == id })
		if !isMember && !r.leaving && !p.isSuperseded(r.member) {
			return change(addLearner, r.member)
		}
	}
	return nil
}

// shrink takes the vote of a failing voter without a successor, if enough voters remain.
// If the number of voters is even, that lowers the quorum, and the successors stand by.
func (p *Planner) shrink(g *groupState) *kcwpb.ChangeMembersRequest {
	if g.voters-1 < 2*p.cfg.Losses+1 || g.voters%2 == 1 && len(g.successors) > 0 {
		return nil
	}
	if len(g.failing) == 0 {
		return nil
	}
	if m := g.failing[0]; g.wiped[m.GetId()] {
		return change(remove, m)
	}
	return change(demote, g.failing[0])
}

// replace gives the vote of the most urgent failing voter to a successor.
func (p *Planner) replace(g *groupState) *kcwpb.ChangeMembersRequest {
	if len(g.failing) == 0 || len(g.successors) == 0 {
		return nil
	}
	c := change(replace, g.successors[0])
	c.Replaced = g.failing[0].GetId()
	return c
}

// promote gives a learner a vote if that makes the number of voters odd, now or with the
// next learner.
func (p *Planner) promote(g *groupState) *kcwpb.ChangeMembersRequest {
	needed := 1 + g.voters%2
	if len(g.successors) < needed {
		return nil
	}
	return change(promote, g.successors[0])
}

// removeSilent removes a learner that has been silent for long.
func (p *Planner) removeSilent(g *groupState, now time.Time) *kcwpb.ChangeMembersRequest {
	for _, m := range g.members {
		if m.GetLearner() && now.Sub(p.progress[m.GetId()].at) >= p.cfg.RemoveAfter {
			return change(remove, m)
		}
	}
	return nil
}

func change(kind kcwpb.ChangeMembersRequest_Kind, m *kcwpb.Member) *kcwpb.ChangeMembersRequest {
	return &kcwpb.ChangeMembersRequest{Kind: kind, Member: m}
}
