package kcwreplica

import (
	"time"

	"kingcupwick.example/kcw/kcwpb"
)

// Short names of the kinds of message.
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

// transferHint in a vote request says that the leader itself asked for the
// election.
const transferHint = 1

// Step takes a message from another replica. Messages for another identity are
// dropped.
func (r *Replica) Step(m *kcwpb.Message, now time.Time) {
	if m.To != r.cfg.ID || m.From == r.cfg.ID || m.From == 0 {
		return
	}
	r.expire(now)
	switch {
	case m.Term > r.term:
		if !r.admitTerm(m, now) {
			return
		}
	case m.Term < r.term:
		r.answerStale(m)
		return
	}
	r.dispatch(m, now)
}

// admitTerm moves to the later term of m where the kind of message calls for
// it, and reports whether m is to be handled.
func (r *Replica) admitTerm(m *kcwpb.Message, now time.Time) bool {
	switch m.Kind {
	case vote, preVote:
		if r.HeardLeader(now) && m.Hint != transferHint {
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
	from := uint64(0)
	if m.Kind == appendEntries || m.Kind == snapshotPart {
		from = m.From
	}
	r.becomeFollower(m.Term, from, now)
	return true
}

// answerStale tells the sender of an earlier term about the current one, so
// that a replaced leader steps down.
func (r *Replica) answerStale(m *kcwpb.Message) {
	switch m.Kind {
	case vote, preVote, appendEntries, snapshotPart:
		r.reply(m, &kcwpb.Message{Term: r.term, Reject: true})
	}
}

// reply answers a request by the reply of its kind, once all before is saved.
func (r *Replica) reply(m, answer *kcwpb.Message) {
	answer.Kind = replyKind(m.Kind)
	answer.To = m.From
	answer.Round = m.Round
	r.sendSaved(answer)
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

// Tick does what is due at now.
func (r *Replica) Tick(now time.Time) {
	r.expire(now)
	if r.role == leader {
		r.tickLeader(now)
		return
	}
	if now.Before(r.electionAt) || !r.mayCampaign() {
		return
	}
	r.preCampaign(now)
}

// expire makes a leader step down that has not heard from a quorum within the
// election timeout.
func (r *Replica) expire(now time.Time) {
	if r.role == leader && !now.Before(r.leading.quorumUntil) {
		r.becomeFollower(r.term, 0, now)
	}
}
