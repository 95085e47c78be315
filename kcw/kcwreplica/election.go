package kcwreplica

import (
	"time"

	"kingcupwick.example/kcw/kcwpb"
)

// Bounds of the first election timeout after a start, as fractions of
// Config.Election. The first timeout is shorter than later ones so that a group
// whose replicas all start together soon has a leader. It does not disrupt a
// working group, since replicas in contact with a leader reject the pre-vote.
// With the election timeouts in use, firstElectionMin covers several round trips
// and disk writes; the range up to firstElectionMax is random jitter that makes
// simultaneous candidates rare.
const (
	firstElectionMin = 0.125
	firstElectionMax = 0.5
)

// resetElection sets the time of the next election to a random time between one
// and two election timeouts from now, or sooner for the first election.
func (r *Replica) resetElection(now time.Time) {
	low, high := 1.0, 2.0
	if r.firstElection {
		low, high = firstElectionMin, firstElectionMax
	}
	timeouts := low + (high-low)*r.cfg.Rand.Float64()
	r.electionAt = now.Add(time.Duration(timeouts * float64(r.cfg.Election)))
}

func (r *Replica) becomeFollower(term, leaderID uint64, now time.Time) {
	if term > r.term {
		r.term = term
		r.vote = 0
		r.firstElection = false
	}
	r.role = follower
	r.leader = leaderID
	r.votes = nil
	r.leading = leaderState{}
	r.resetElection(now)
}

// mayCampaign reports whether the replica is a voter in any membership that may
// be in force: the newest committed one or a later, uncommitted one. A replica
// whose removal is not committed may be the only one that can be elected
// (Ongaro 2014, section 4.2.2).
func (r *Replica) mayCampaign() bool {
	for i := len(r.configs) - 1; i >= 0; i-- {
		if IsVoter(r.configs[i].membership, r.cfg.ID) {
			return true
		}
		if r.configs[i].index <= r.log.commit {
			return false
		}
	}
	return false
}

// preCampaign starts a pre-vote, which determines whether an election could be won
// and does not start a new term.
func (r *Replica) preCampaign(now time.Time) {
	r.becomeFollower(r.term, 0, now)
	r.role = preCandidate
	r.votes = map[uint64]bool{}
	r.requestVotes(preVote, r.term+1, 0)
	r.countVote(r.cfg.ID, true, now)
}

// campaign starts an election in a new term. The replica's own vote counts once
// it is saved.
func (r *Replica) campaign(hint uint64, now time.Time) {
	r.becomeFollower(r.term+1, 0, now)
	r.role = candidate
	r.vote = r.cfg.ID
	r.votes = map[uint64]bool{}
	r.requestVotes(vote, r.term, hint)
}

func (r *Replica) requestVotes(kind kcwpb.MessageKind, term, hint uint64) {
	for _, m := range r.Membership().Members {
		if m.Id == r.cfg.ID || !r.isVoter(m.Id) {
			continue
		}
		r.sendAfterSave(&kcwpb.Message{
			Kind: kind, To: m.Id, Term: term, Hint: hint,
			Index: r.log.last(), LogTerm: r.log.lastTerm(),
		})
	}
}

// countVote records one vote. Once a quorum has granted theirs, a pre-candidate
// starts its election and a candidate becomes leader.
func (r *Replica) countVote(from uint64, granted bool, now time.Time) {
	if !r.isVoter(from) {
		return
	}
	r.votes[from] = granted
	granting := r.quorumOf(func(id uint64) uint64 {
		if r.votes[id] {
			return 1
		}
		return 0
	})
	switch {
	case granting == 0:
	case r.role == preCandidate:
		r.campaign(0, now)
	case r.role == candidate:
		r.becomeLeader(now)
	}
}

// isUpToDate reports whether a candidate's log is at least as new as this
// replica's.
func (r *Replica) isUpToDate(m *kcwpb.Message) bool {
	if m.LogTerm != r.log.lastTerm() {
		return m.LogTerm > r.log.lastTerm()
	}
	return m.Index >= r.log.last()
}

func (r *Replica) handlePreVote(m *kcwpb.Message) {
	if m.Term > r.term && r.isUpToDate(m) {
		r.reply(m, &kcwpb.Message{Term: m.Term})
		return
	}
	r.reply(m, &kcwpb.Message{Term: r.term, Reject: true})
}

func (r *Replica) handleVote(m *kcwpb.Message, now time.Time) {
	mayGrant := r.vote == m.From || (r.vote == 0 && r.leader == 0)
	if !mayGrant || !r.isUpToDate(m) {
		r.reply(m, &kcwpb.Message{Term: r.term, Reject: true})
		return
	}
	r.vote = m.From
	r.resetElection(now)
	r.reply(m, &kcwpb.Message{Term: r.term})
}

func (r *Replica) handlePreVoteReply(m *kcwpb.Message, now time.Time) {
	if r.role != preCandidate || m.Reject || m.Term != r.term+1 {
		return
	}
	r.countVote(m.From, true, now)
}
