package kcwservice

import "kingcupwick.example/kcw/kcwpb"

// Fresh reports whether the replica may answer from its own state: it has
// heard from a leader with a quorum lately, and since its start it has caught up
// with what it held before.
func (s *Service) Fresh() bool {
	return s.cfg.Group.Fresh() && s.hasCaughtUp()
}

// hasCaughtUp reports whether the replica has once been a voter that had applied
// the log of its start. A restarted replica hears its leader before it has
// applied what it had acknowledged, and one with a blank disk before it has any
// state. The part of that log which a leader has cut off since does not count.
func (s *Service) hasCaughtUp() bool {
	if s.caughtUp.Load() {
		return true
	}
	status := s.cfg.Group.Status()
	if !isVoter(status) || status.Applied < min(s.lastAtStart, status.Last) {
		return false
	}
	s.caughtUp.Store(true)
	return true
}

// isVoter reports whether the replica of status is a member with a vote: a
// learner gets one when it has caught up.
func isVoter(status *kcwpb.GroupStatus) bool {
	for _, m := range status.GetMembership().GetMembers() {
		if m.Id == status.Id {
			return !m.Learner
		}
	}
	return false
}
