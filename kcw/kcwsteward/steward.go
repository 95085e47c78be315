// Package kcwsteward decides on the members of a core that looks after itself:
// it admits newcomers as learners, gives them a vote when they have caught up,
// and removes members whose disk was lost or that are gone permanently. It answers
// the loss of a host or its disk right after the repair of another. It does no
// I/O and takes the clock as an argument.
package kcwsteward

import (
	"time"

	"kingcupwick.example/kcw/kcwpb"
)

// Config holds the rules of a Steward.
type Config struct {
	// Voters is the number of voters below which none is removed for being
	// silent.
	Voters int
	// SilentAfter is how long a voter must have received nothing before it
	// counts as gone.
	SilentAfter time.Duration
	// MaxRequestAge is the age up to which a request for admission is honoured: the
	// newcomer must still be running, and repeats its request.
	MaxRequestAge time.Duration
}

// asking is a newcomer and when it asked last.
type asking struct {
	member *kcwpb.Member
	at     time.Time
}

// reach is how far the log of a member was known to reach, and since when.
type reach struct {
	index uint64
	at    time.Time
}

// Steward decides on membership changes at the leader. It is not safe for
// concurrent use.
type Steward struct {
	cfg     Config
	asking  map[uint64]asking
	reached map[uint64]reach
}

// New returns a Steward.
func New(cfg Config) *Steward {
	return &Steward{cfg: cfg, asking: map[uint64]asking{}, reached: map[uint64]reach{}}
}

// RequestAdmission records that a replica without a vote requested admission at now.
func (s *Steward) RequestAdmission(m *kcwpb.Member, now time.Time) {
	s.asking[m.GetId()] = asking{m, now}
}

// ResetProgress discards the observed progress of the members. A replica that is not
// the leader calls it, since only the leader observes progress.
func (s *Steward) ResetProgress() {
	clear(s.reached)
}

// Next returns the change that the leader should make at now, nil if none. The
// change may be refused, since a learner may not have caught up.
func (s *Steward) Next(status *kcwpb.GroupStatus, now time.Time) *kcwpb.ChangeMembersRequest {
	s.note(status, now)
	for id, ask := range s.asking {
		if now.Sub(ask.at) > s.cfg.MaxRequestAge {
			delete(s.asking, id)
			continue
		}
		if change := s.admit(status, ask.member); change != nil {
			return change
		}
	}
	return s.remove(status, now)
}

// note keeps when the log of each member was last seen to grow.
func (s *Steward) note(status *kcwpb.GroupStatus, now time.Time) {
	for _, m := range status.GetMembership().GetMembers() {
		match := status.GetMatches()[m.GetId()]
		seen, known := s.reached[m.GetId()]
		if !known || match > seen.index || match >= status.GetCommit() {
			s.reached[m.GetId()] = reach{match, now}
		}
	}
}

// admit returns the next step towards a vote for the newcomer m.
func (s *Steward) admit(status *kcwpb.GroupStatus, m *kcwpb.Member) *kcwpb.ChangeMembersRequest {
	for _, member := range status.GetMembership().GetMembers() {
		switch {
		case member.GetId() == m.GetId() && member.GetLearner():
			return change(kcwpb.ChangeMembersRequest_KIND_PROMOTE, member)
		case member.GetId() == m.GetId():
			return nil
		case member.GetAddress() == m.GetAddress():
			// The newcomer runs at the address of a member, whose disk is lost.
			return change(kcwpb.ChangeMembersRequest_KIND_REMOVE, member)
		}
	}
	return change(kcwpb.ChangeMembersRequest_KIND_ADD_LEARNER, m)
}

// remove returns the removal of a member that is gone, as long as enough voters
// remain.
func (s *Steward) remove(status *kcwpb.GroupStatus, now time.Time) *kcwpb.ChangeMembersRequest {
	voters := 0
	for _, m := range status.GetMembership().GetMembers() {
		if !m.GetLearner() {
			voters++
		}
	}
	for _, m := range status.GetMembership().GetMembers() {
		silent := now.Sub(s.reached[m.GetId()].at) >= s.cfg.SilentAfter
		if silent && m.GetId() != status.GetId() && (m.GetLearner() || voters > s.cfg.Voters) {
			return change(kcwpb.ChangeMembersRequest_KIND_REMOVE, m)
		}
	}
	return nil
}

func change(kind kcwpb.ChangeMembersRequest_Kind, m *kcwpb.Member) *kcwpb.ChangeMembersRequest {
	return &kcwpb.ChangeMembersRequest{Kind: kind, Member: m}
}
