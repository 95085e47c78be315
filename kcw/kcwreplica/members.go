package kcwreplica

import (
	"time"

	"google.golang.org/protobuf/proto"

	"kingcupwick.example/kcw/kcwpb"
)

// Kinds of membership change.
const (
	addLearner = kcwpb.ChangeMembersRequest_KIND_ADD_LEARNER
	promote    = kcwpb.ChangeMembersRequest_KIND_PROMOTE
	remove     = kcwpb.ChangeMembersRequest_KIND_REMOVE
)

// Change appends one membership change and returns its index. The new membership
// is in force at once; the change is final when the index is committed. Only one
// change may be in progress at a time, and none before an entry of the leader's
// term is committed. If Change returns an error, nothing is appended; the error's
// Kind is NotLeader, Busy, NotCaughtUp or Invalid.
func (r *Replica) Change(req *kcwpb.ChangeMembersRequest, now time.Time) (uint64, error) {
	const op = "change"
	if err := r.checkLeading(op, now); err != nil {
		return 0, err
	}
	newest := r.configs[len(r.configs)-1]
	if !r.hasCommitted() || newest.index > r.log.commit {
		return 0, fail(op, Busy, "an earlier change or the term's first entry is not committed")
	}
	membership, err := r.membershipAfter(op, req)
	if err != nil {
		return 0, err
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(membership)
	if err != nil {
		return 0, fail(op, Invalid, err.Error())
	}
	index := r.log.last() + 1
	r.append(&kcwpb.Entry{
		Index: index, Term: r.term,
		Kind: kcwpb.EntryKind_ENTRY_KIND_MEMBERSHIP, Data: data,
	})
	r.syncPeers()
	r.broadcast(now)
	return index, nil
}

func (r *Replica) membershipAfter(op string, req *kcwpb.ChangeMembersRequest) (*kcwpb.Membership, error) {
	id := req.GetMember().GetId()
	current := r.member(id)
	switch {
	case id == 0:
		return nil, fail(op, Invalid, "no identity")
	case req.Kind == addLearner && current != nil:
		return nil, fail(op, Invalid, "already a member")
	case req.Kind != addLearner && current == nil:
		return nil, fail(op, Invalid, "not a member")
	}
	membership := proto.Clone(r.Membership()).(*kcwpb.Membership)
	switch req.Kind {
	case addLearner:
		learner := proto.Clone(req.Member).(*kcwpb.Member)
		learner.Learner = true
		membership.Members = append(membership.Members, learner)
		return membership, nil
	case promote:
		return r.promoteLearner(op, membership, id)
	case remove:
		return removeMember(op, membership, id)
	}
	return nil, fail(op, Invalid, "unknown kind of change")
}

func (r *Replica) promoteLearner(op string, membership *kcwpb.Membership, id uint64) (*kcwpb.Membership, error) {
	if r.isVoter(id) {
		return nil, fail(op, Invalid, "already a voter")
	}
	if p := r.leading.peers[id]; !r.isCaughtUp(p) {
		return nil, fail(op, NotCaughtUp, "the learner lacks committed entries")
	}
	for _, m := range membership.Members {
		if m.Id == id {
			m.Learner = false
		}
	}
	return membership, nil
}

// isCaughtUp reports whether a replica has the first entry of the leader's term
// and everything that was committed at the heartbeat before the last one.
func (r *Replica) isCaughtUp(p *progress) bool {
	if p == nil || !p.streaming {
		return false
	}
	return p.match >= max(r.leading.previousHeartbeatCommit, r.leading.noopIndex)
}

func removeMember(op string, membership *kcwpb.Membership, id uint64) (*kcwpb.Membership, error) {
	var members []*kcwpb.Member
	voters := 0
	for _, m := range membership.Members {
		if m.Id == id {
			continue
		}
		members = append(members, m)
		if !m.Learner {
			voters++
		}
	}
	if voters == 0 {
		return nil, fail(op, Invalid, "no voter would remain")
	}
	return &kcwpb.Membership{Members: members}, nil
}

// Transfer starts the transfer of leadership to the voter that has acknowledged
// the most entries. Proposals are rejected until that voter leads or the election
// timeout has passed. Transfer reports whether it started a transfer.
func (r *Replica) Transfer(now time.Time) bool {
	r.checkQuorum(now)
	if r.role != leader {
		return false
	}
	var best uint64
	for _, id := range r.peerIDs() {
		p := r.leading.peers[id]
		if !r.isVoter(id) || !p.streaming {
			continue
		}
		if best == 0 || p.match > r.leading.peers[best].match {
			best = id
		}
	}
	if best == 0 {
		return false
	}
	r.leading.transferTo = best
	r.leading.transferUntil = now.Add(r.cfg.Election)
	r.tryTransfer()
	return true
}

// tryTransfer makes the transfer's target start an election once it has the whole
// log.
func (r *Replica) tryTransfer() {
	id := r.leading.transferTo
	if r.leading.peers[id].match == r.log.last() {
		r.send(&kcwpb.Message{Kind: timeoutNow, To: id, Term: r.term})
	}
}

// IsTransferring reports whether a leadership transfer is in progress.
func (r *Replica) IsTransferring() bool {
	return r.role == leader && r.leading.transferTo != 0
}
