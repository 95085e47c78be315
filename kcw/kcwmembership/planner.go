// Package kcwmembership decides on the membership changes of a replicated group
// that repairs itself: it adds new replicas as learners, promotes them to voters
// once they have caught up, and removes members that lost their disk or failed
// permanently. A host or disk that fails right after another was replaced is
// replaced in turn. The package does no I/O and takes the current time as an
// argument.
package kcwmembership

import (
	"time"

	"kingcupwick.example/kcw/kcwpb"
)

// Config holds the rules of a Planner.
type Config struct {
	// Voters is the intended number of voters. A silent voter is removed only
	// while the group has more voters than that.
	Voters int
	// SilentAfter is how long a member's log must have lagged behind the commit
	// index without progress before the member counts as silent.
	SilentAfter time.Duration
	// MaxRequestAge is the age above which a request for admission is ignored. A
	// running replica repeats its request, so an older one means that it stopped.
	MaxRequestAge time.Duration
}

// admissionRequest is a replica that requests admission and the time of its last
// request.
type admissionRequest struct {
	member *kcwpb.Member
	at     time.Time
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
	requests map[uint64]admissionRequest
	progress map[uint64]progress
}

// New returns a Planner.
func New(cfg Config) *Planner {
	return &Planner{cfg: cfg, requests: map[uint64]admissionRequest{}, progress: map[uint64]progress{}}
}

// RequestAdmission records that a replica without a vote requested admission at now.
func (p *Planner) RequestAdmission(m *kcwpb.Member, now time.Time) {
	p.requests[m.GetId()] = admissionRequest{m, now}
}

// ResetProgress discards the observed progress of the members. A replica that is not
// the leader calls it, since only the leader observes progress.
func (p *Planner) ResetProgress() {
	clear(p.progress)
}

// Next returns the membership change that the leader should propose at now, nil
// if none. The group may refuse a promotion, since Next does not check that the
// learner has caught up.
func (p *Planner) Next(status *kcwpb.GroupStatus, now time.Time) *kcwpb.ChangeMembersRequest {
	p.observe(status, now)
	for id, request := range p.requests {
		if now.Sub(request.at) > p.cfg.MaxRequestAge {
			delete(p.requests, id)
			continue
		}
		if change := p.admit(status, request.member); change != nil {
			return change
		}
	}
	return p.remove(status, now)
}

// observe records the members whose log has advanced or matches all committed
// entries.
func (p *Planner) observe(status *kcwpb.GroupStatus, now time.Time) {
	for _, m := range status.GetMembership().GetMembers() {
		match := status.GetMatches()[m.GetId()]
		last, found := p.progress[m.GetId()]
		if !found || match > last.index || match >= status.GetCommit() {
			p.progress[m.GetId()] = progress{match, now}
		}
	}
}

// admit returns the next change that brings m closer to being a voter, nil if m
// is one.
func (p *Planner) admit(status *kcwpb.GroupStatus, m *kcwpb.Member) *kcwpb.ChangeMembersRequest {
	for _, member := range status.GetMembership().GetMembers() {
		switch {
		case member.GetId() == m.GetId() && member.GetLearner():
			return change(kcwpb.ChangeMembersRequest_KIND_PROMOTE, member)
		case member.GetId() == m.GetId():
			return nil
		case member.GetAddress() == m.GetAddress():
			// A new replica at a member's address means that the member lost its disk.
			return change(kcwpb.ChangeMembersRequest_KIND_REMOVE, member)
		}
	}
	return change(kcwpb.ChangeMembersRequest_KIND_ADD_LEARNER, m)
}

// remove returns the removal of a silent learner, or of a silent voter if enough
// voters remain; nil if there is neither.
func (p *Planner) remove(status *kcwpb.GroupStatus, now time.Time) *kcwpb.ChangeMembersRequest {
	voters := 0
	for _, m := range status.GetMembership().GetMembers() {
		if !m.GetLearner() {
			voters++
		}
	}
	for _, m := range status.GetMembership().GetMembers() {
		silent := now.Sub(p.progress[m.GetId()].at) >= p.cfg.SilentAfter
		if silent && m.GetId() != status.GetId() && (m.GetLearner() || voters > p.cfg.Voters) {
			return change(kcwpb.ChangeMembersRequest_KIND_REMOVE, m)
		}
	}
	return nil
}

func change(kind kcwpb.ChangeMembersRequest_Kind, m *kcwpb.Member) *kcwpb.ChangeMembersRequest {
	return &kcwpb.ChangeMembersRequest{Kind: kind, Member: m}
}
