package kcwreplica

import (
	"time"

	"kingcupwick.example/kcw/kcwpb"
)

// leaderState is the state that only a leader has.
type leaderState struct {
	peers map[uint64]*progress
	// noopIndex is the index of the empty entry that starts the leader's term.
	noopIndex uint64
	// heartbeatAt is the time of the next round of heartbeats.
	heartbeatAt time.Time
	// lastHeartbeatCommit is the commit index at the last heartbeat, and
	// previousHeartbeatCommit the one at the heartbeat before it. A learner must
	// have reached previousHeartbeatCommit to be promoted.
	previousHeartbeatCommit uint64
	lastHeartbeatCommit     uint64

	// round is the number of the last round started, and rounds are those that
	// no quorum has confirmed yet.
	round  uint64
	rounds []round
	// quorumUntil is when the leader steps down unless a quorum confirms another
	// round.
	quorumUntil time.Time
	reads       []pendingRead

	// transferTo is the replica that leadership is being transferred to, zero if
	// there is none. The transfer is given up at transferUntil.
	transferTo    uint64
	transferUntil time.Time
}

// round is one round of messages to all replicas. If a quorum confirms it, the
// leader may lead until the given time.
type round struct {
	number uint64
	until  time.Time
}

func (r *Replica) becomeLeader(now time.Time) {
	r.role = leader
	r.leader = r.cfg.ID
	r.votes = nil
	r.leading = leaderState{
		peers:       map[uint64]*progress{},
		noopIndex:   r.log.last() + 1,
		quorumUntil: now.Add(r.cfg.Election),
	}
	r.syncPeers()
	r.append(&kcwpb.Entry{
		Index: r.leading.noopIndex, Term: r.term,
		Kind: kcwpb.EntryKind_ENTRY_KIND_NOOP,
	})
	r.startRound(now)
}

// syncPeers adds and removes progress records to match the membership.
func (r *Replica) syncPeers() {
	peers := map[uint64]*progress{}
	for _, m := range r.Membership().Members {
		if m.Id == r.cfg.ID {
			continue
		}
		peers[m.Id] = r.leading.peers[m.Id]
		if peers[m.Id] == nil {
			peers[m.Id] = &progress{next: r.log.last() + 1}
		}
	}
	r.leading.peers = peers
}

// peerIDs returns the other members in the order of the membership. The fixed
// order makes the sequence of messages deterministic.
func (r *Replica) peerIDs() []uint64 {
	var ids []uint64
	for _, m := range r.Membership().Members {
		if m.Id != r.cfg.ID {
			ids = append(ids, m.Id)
		}
	}
	return ids
}

func (r *Replica) tickLeader(now time.Time) {
	if r.leading.transferTo != 0 && !now.Before(r.leading.transferUntil) {
		r.leading.transferTo = 0
	}
	if now.Before(r.leading.heartbeatAt) {
		return
	}
	r.leading.previousHeartbeatCommit = r.leading.lastHeartbeatCommit
	r.leading.lastHeartbeatCommit = r.log.commit
	r.startRound(now)
}

// startRound sends a message to every replica. Replies from a quorum prove that
// this replica was still the leader when the round started.
func (r *Replica) startRound(now time.Time) {
	l := &r.leading
	l.heartbeatAt = now.Add(r.cfg.Heartbeat)
	l.round++
	l.rounds = append(l.rounds, round{l.round, now.Add(r.cfg.Election)})
	for _, id := range r.peerIDs() {
		l.peers[id].paused = false
		r.sendTo(id, l.peers[id], true, now)
	}
	r.confirmRounds()
}

// confirmRounds removes the rounds that a quorum has answered, extends
// quorumUntil accordingly and releases the reads that waited for them.
func (r *Replica) confirmRounds() {
	l := &r.leading
	confirmed := r.quorumOf(func(id uint64) uint64 {
		if id == r.cfg.ID {
			return l.round
		}
		return l.peers[id].round
	})
	for len(l.rounds) > 0 && l.rounds[0].number <= confirmed {
		l.quorumUntil = l.rounds[0].until
		l.rounds = l.rounds[1:]
	}
	r.releaseReads(confirmed)
}

// Propose appends commands with the current term and returns the index of the
// first one. If it returns an error, nothing is appended; the error's Kind is
// NotLeader, or Busy during a leadership transfer or when this replica leads only until
// the loss of its own vote is committed.
func (r *Replica) Propose(commands [][]byte, now time.Time) (uint64, error) {
	if err := r.checkLeading("propose", now); err != nil {
		return 0, err
	}
	if !r.isVoter(r.cfg.ID) {
		return 0, fail("propose", Busy, "the leader is about to step down")
	}
	first := r.log.last() + 1
	for _, data := range commands {
		r.append(&kcwpb.Entry{Index: r.log.last() + 1, Term: r.term, Data: data})
	}
	r.broadcast(now)
	return first, nil
}

func (r *Replica) checkLeading(op string, now time.Time) error {
	r.checkQuorum(now)
	if r.role != leader {
		return fail(op, NotLeader, "another replica leads, or none")
	}
	if r.leading.transferTo != 0 {
		return fail(op, Busy, "leadership is being transferred")
	}
	return nil
}

func (r *Replica) broadcast(now time.Time) {
	for _, id := range r.peerIDs() {
		r.sendTo(id, r.leading.peers[id], false, now)
	}
}

// advanceCommit commits the entries that a quorum of the voters has on disk.
// Only an entry of the current term is committed by counting replicas; it commits
// all entries before it (Ongaro and Ousterhout 2014, section 5.4.2).
func (r *Replica) advanceCommit(now time.Time) {
	index := r.quorumOf(func(id uint64) uint64 {
		if id == r.cfg.ID {
			return r.log.stable
		}
		return r.leading.peers[id].match
	})
	if index <= r.log.commit || !r.log.matches(index, r.term) {
		return
	}
	r.log.commit = index
	r.startReads(now)
	r.completeReplacement(now)
	r.stepDownIfRemoved(now)
}

// stepDownIfRemoved makes a leader step down once the loss of its own vote is
// committed. It first requests an election at the voter most likely to win it, so that
// the group need not wait for an election timeout.
func (r *Replica) stepDownIfRemoved(now time.Time) {
	newest := r.configs[len(r.configs)-1]
	if newest.index > r.log.commit || r.isVoter(r.cfg.ID) {
		return
	}
	r.startRound(now)
	if id := r.successor(); id != 0 {
		r.send(&kcwpb.Message{Kind: timeoutNow, To: id, Term: r.term})
	}
	r.becomeFollower(r.term, 0, now)
}
