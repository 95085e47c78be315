package kcwreplica

import (
	"time"

	"kingcupwick.example/kcw/kcwpb"
)

// leading is what only a leader keeps.
type leading struct {
	peers map[uint64]*progress
	// start is the index of the empty entry that began the term.
	start uint64
	// heartbeatAt is when the next round of heartbeats is due.
	heartbeatAt time.Time
	// settled is the commit index of one heartbeat ago, which a learner must
	// have reached to be promoted.
	settled uint64
	ticked  uint64

	// rounds are the rounds not yet confirmed by a quorum.
	round       uint64
	rounds      []round
	quorumUntil time.Time
	reads       []pendingRead

	transferTo    uint64
	transferUntil time.Time
}

// round is one round of messages to all replicas.
type round struct {
	number uint64
	until  time.Time
}

func (r *Replica) becomeLeader(now time.Time) {
	r.role = leader
	r.leader = r.cfg.ID
	r.votes = nil
	r.leading = leading{
		peers:       map[uint64]*progress{},
		start:       r.log.last() + 1,
		quorumUntil: now.Add(r.cfg.Election),
	}
	r.syncPeers()
	r.append(&kcwpb.Entry{
		Index: r.leading.start, Term: r.term,
		Kind: kcwpb.EntryKind_ENTRY_KIND_NOOP,
	})
	r.startRound(now)
}

// syncPeers makes the progress records fit the membership.
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

// peerIDs returns the other members in the order of the membership, so that
// the same inputs give the same messages.
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
	r.leading.settled = r.leading.ticked
	r.leading.ticked = r.log.commit
	r.startRound(now)
}

// startRound sends a message to every replica, whose reply shows that this
// replica still led when the round began.
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

// confirmRounds finds the last round that a quorum has answered.
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

// Propose appends commands and returns the index of the first one; all have
// the current term. The error's Kind is NotLeader, or Busy during a transfer
// of leadership; then nothing is appended.
func (r *Replica) Propose(commands [][]byte, now time.Time) (uint64, error) {
	if err := r.checkLeading("propose", now); err != nil {
		return 0, err
	}
	first := r.log.last() + 1
	for _, data := range commands {
		r.append(&kcwpb.Entry{Index: r.log.last() + 1, Term: r.term, Data: data})
	}
	r.broadcast(now)
	return first, nil
}

func (r *Replica) checkLeading(op string, now time.Time) error {
	r.expire(now)
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

// advanceCommit commits what a majority of the voters have on their disks.
// Only an entry of the current term is committed by counting (Ongaro and
// Ousterhout 2014, section 5.4.2).
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
	r.startWaitingReads(now)
	r.leaveIfRemoved(now)
}

// leaveIfRemoved makes a leader step down once its removal is committed.
func (r *Replica) leaveIfRemoved(now time.Time) {
	newest := r.configs[len(r.configs)-1]
	if newest.index > r.log.commit || r.isVoter(r.cfg.ID) {
		return
	}
	r.startRound(now)
	r.becomeFollower(r.term, 0, now)
}
