package kcwreplica

import (
	"time"

	"kingcupwick.example/kcw/kcwpb"
)

// Short names for the message kinds.
const (
	preVote       = kcwpb.MessageKind_MESSAGE_KIND_PREVOTE
	preVoteReply  = kcwpb.MessageKind_MESSAGE_KIND_PREVOTE_REPLY
	vote          = kcwpb.MessageKind_MESSAGE_KIND_VOTE
	voteReply     = kcwpb.MessageKind_MESSAGE_KIND_VOTE_REPLY
	appendEntries = kcwpb.MessageKind_MESSAGE_KIND_APPEND
	appendReply   = kcwpb.MessageKind_MESSAGE_KIND_APPEND_REPLY
	snapshotPart  = kcwpb.MessageKind_MESSAGE_KIND_SNAPSHOT
	snapshotReply = kcwpb.MessageKind_MESSAGE_KIND_SNAPSHOT_REPLY
	timeoutNow    = kcwpb.MessageKind_MESSAGE_KIND_TIMEOUT_NOW
)

// transferHint marks a vote request in an election that the leader itself
// requested.
const transferHint = 1

// Step handles a message from another replica. Messages addressed to another
// identity are dropped.
func (r *Replica) Step(m *kcwpb.Message, now time.Time) {
	if m.To != r.cfg.ID || m.From == r.cfg.ID || m.From == 0 {
		return
	}
	r.checkQuorum(now)
	switch {
	case m.Term > r.term:
		if !r.handleHigherTerm(m, now) {
			return
		}
	case m.Term < r.term:
		r.rejectLowerTerm(m)
		return
	}
	r.dispatch(m, now)
}

// handleHigherTerm adopts the higher term of m if its kind requires that, and
// reports whether m is to be handled.
func (r *Replica) handleHigherTerm(m *kcwpb.Message, now time.Time) bool {
	switch m.Kind {
	case vote, preVote:
		if r.HasLeader(now) && m.Hint != transferHint {
			r.reply(m, &kcwpb.Message{Term: r.term, Reject: true})
			return false
		}
		if m.Kind == preVote {
			return true
		}
	case preVoteReply:
		if !m.Reject {
			return true
		}
	}
	leaderID := uint64(0)
	if m.Kind == appendEntries || m.Kind == snapshotPart {
		leaderID = m.From
	}
	r.becomeFollower(m.Term, leaderID, now)
	return true
}

// rejectLowerTerm sends the current term to the sender of a message with a lower
// one, so that a replaced leader steps down.
func (r *Replica) rejectLowerTerm(m *kcwpb.Message) {
	switch m.Kind {
	case vote, preVote, appendEntries, snapshotPart:
		r.reply(m, &kcwpb.Message{Term: r.term, Reject: true})
	}
}

// reply sends answer as the reply to m once the current state is saved.
func (r *Replica) reply(m, answer *kcwpb.Message) {
	answer.Kind = replyKind(m.Kind)
	answer.To = m.From
	answer.Round = m.Round
	r.sendAfterSave(answer)
}

func replyKind(request kcwpb.MessageKind) kcwpb.MessageKind {
	switch request {
	case preVote:
		return preVoteReply
	case vote:
		return voteReply
	}
	return appendReply
}

func (r *Replica) dispatch(m *kcwpb.Message, now time.Time) {
	switch m.Kind {
	case preVote:
		r.handlePreVote(m)
	case vote:
		r.handleVote(m, now)
	case preVoteReply:
		r.handlePreVoteReply(m, now)
	case voteReply:
		if r.role == candidate {
			r.countVote(m.From, !m.Reject, now)
		}
	case appendEntries:
		r.followLeader(m, now)
		r.handleAppend(m)
	case snapshotPart:
		r.followLeader(m, now)
		r.handleSnapshot(m)
	case timeoutNow:
		if r.isVoter(r.cfg.ID) && r.role != leader {
			r.campaign(transferHint, now)
		}
	case appendReply, snapshotReply:
		if r.role == leader {
			r.handleProgress(m, now)
		}
	}
}

// Tick performs the timed work that is due at now, such as heartbeats and
// elections.
func (r *Replica) Tick(now time.Time) {
	r.checkQuorum(now)
	if r.role == leader {
		r.tickLeader(now)
		return
	}
	if now.Before(r.electionAt) || !r.mayCampaign() {
		return
	}
	r.preCampaign(now)
}

// checkQuorum makes a leader step down if no quorum has answered it within the
// election timeout.
func (r *Replica) checkQuorum(now time.Time) {
	if r.role == leader && !now.Before(r.leading.quorumUntil) {
		r.becomeFollower(r.term, 0, now)
	}
}
