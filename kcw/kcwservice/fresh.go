package kcwservice

import "kingcupwick.example/kcw/kcwreplica"

// Fresh reports whether the replica may answer from its own state: it has recent
// contact with a leader that has a quorum, and has caught up since its start.
func (s *Service) Fresh() bool {
	return s.cfg.Group.Fresh() && s.hasCaughtUp()
}

// hasCaughtUp reports whether the replica, as a voter, has applied the whole log that it
// had at its start or, if it was promoted since, when its promotion was in the log, except
// entries that a leader has since truncated. A learner becomes a voter when it has caught
// up. A restarted replica has contact with its leader before it has applied the entries
// that it had acknowledged, and one with an empty disk before it has any state.
func (s *Service) hasCaughtUp() bool {
	if s.caughtUp.Load() {
		return true
	}
	status := s.cfg.Group.Status()
	if !kcwreplica.IsVoter(status.GetMembership(), status.GetId()) {
		return false
	}
	s.lastAsVoter.CompareAndSwap(0, status.Last)
	if status.Applied < min(s.lastAsVoter.Load(), status.Last) {
		return false
	}
	s.caughtUp.Store(true)
	return true
}
