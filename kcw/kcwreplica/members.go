package kcwreplica

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"kingcupwick.example/kcw/kcwpb"
)

// Kinds of membership change.
const (
	addLearner = kcwpb.ChangeMembersRequest_KIND_ADD_LEARNER
	promote    = kcwpb.ChangeMembersRequest_KIND_PROMOTE
	remove     = kcwpb.ChangeMembersRequest_KIND_REMOVE
	demote     = kcwpb.ChangeMembersRequest_KIND_DEMOTE
	replace    = kcwpb.ChangeMembersRequest_KIND_REPLACE
)

// IsVoter reports whether the replica id votes under membership. During a replacement
// both the outgoing and the incoming voters do.
func IsVoter(membership *kcwpb.Membership, id uint64) bool {
	for _, m := range membership.GetMembers() {
		if m.Id == id && !m.Learner {
			return true
		}
	}
	return slices.Contains(outgoingVoters(membership), id)
}

// outgoingVoters returns the voters before a replacement in progress. It returns none if
// one of them is no member: a program that does not know replacements has removed it, and
// nobody could answer for it.
func outgoingVoters(membership *kcwpb.Membership) []uint64 {
	for _, id := range membership.GetOutgoing() {
		if !slices.ContainsFunc(membership.Members, func(m *kcwpb.Member) bool { return m.Id == id }) {
			return nil
		}
	}
	return membership.GetOutgoing()
}

// incomingVoters returns the identities of the members that have a vote once a
// replacement in progress is complete.
func incomingVoters(membership *kcwpb.Membership) []uint64 {
	var ids []uint64
	for _, m := range membership.Members {
		if !m.Learner {
			ids = append(ids, m.Id)
		}
	}
	return ids
}

// Change appends one membership change and returns its index. The new membership
// is in force at once; the change is final when the index is committed. A replacement
// is then still to be completed by a second entry, which this leader or a later one
// appends without another call. Only one change may be in progress at a time, and none
// before an entry of the leader's term is committed. If Change returns an error,
// nothing is appended; the error's Kind is NotLeader, Busy, NotCaughtUp or Invalid.
func (r *Replica) Change(req *kcwpb.ChangeMembersRequest, now time.Time) (uint64, error) {
	const op = "change"
	if err := r.checkLeading(op, now); err != nil {
		return 0, err
	}
	// The membership that completes a replacement is appended when the one that started it
	// is committed, so that the newest one is not committed while a replacement goes on.
	newest := r.configs[len(r.configs)-1]
	if !r.hasCommitted() || newest.index > r.log.commit {
		return 0, fail(op, Busy, "an earlier change or the term's first entry is not committed")
	}
	membership, err := r.membershipAfter(op, req)
	if err != nil {
		return 0, err
	}
	return r.appendMembership(op, membership, now)
}

// appendMembership appends membership, which is in force at once, and returns its index.
func (r *Replica) appendMembership(op string, membership *kcwpb.Membership, now time.Time) (uint64, error) {
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

// completeReplacement ends the vote of the outgoing voters once the membership that
// started the replacement is committed. A new leader calls it after the first commit of
// its term.
func (r *Replica) completeReplacement(now time.Time) {
	newest := r.configs[len(r.configs)-1]
	if newest.index > r.log.commit || len(newest.membership.Outgoing) == 0 {
		return
	}
	membership := proto.Clone(newest.membership).(*kcwpb.Membership)
	membership.Outgoing = nil
	if _, err := r.appendMembership("complete the replacement", membership, now); err != nil {
		panic("kcwreplica: a stored membership can't be encoded: " + err.Error())
	}
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
	case demote:
		return r.demoteVoter(op, membership, id)
	case replace:
		return r.replaceVoter(op, membership, id, req.Replaced)
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
	setLearner(membership, id, false)
	return membership, nil
}

func (r *Replica) demoteVoter(op string, membership *kcwpb.Membership, id uint64) (*kcwpb.Membership, error) {
	if !r.isVoter(id) {
		return nil, fail(op, Invalid, "not a voter")
	}
	setLearner(membership, id, true)
	if len(incomingVoters(membership)) == 0 {
		return nil, fail(op, Invalid, "no voter would remain")
	}
	return membership, nil
}

// replaceVoter returns the membership with which the learner id starts to replace the
// voter replaced.
func (r *Replica) replaceVoter(op string, membership *kcwpb.Membership, id, replaced uint64) (*kcwpb.Membership, error) {
	if !r.isVoter(replaced) {
		return nil, fail(op, Invalid, "the replica to replace is not a voter")
	}
	outgoing := incomingVoters(membership)
	membership, err := r.promoteLearner(op, membership, id)
	if err != nil {
		return nil, err
	}
	setLearner(membership, replaced, true)
	membership.Outgoing = outgoing
	return membership, nil
}

func setLearner(membership *kcwpb.Membership, id uint64, learner bool) {
	for _, m := range membership.Members {
		if m.Id == id {
			m.Learner = learner
		}
	}
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
	membership.Members = slices.DeleteFunc(membership.Members, func(m *kcwpb.Member) bool { return m.Id == id })
	if len(incomingVoters(membership)) == 0 {
		return nil, fail(op, Invalid, "no voter would remain")
	}
	return membership, nil
}

// Transfer starts the transfer of leadership to the voter that has acknowledged
// the most entries, but not to a voter that is being replaced. Proposals are rejected
// until that voter leads or the election timeout has passed. Transfer reports whether
// it started a transfer.
func (r *Replica) Transfer(now time.Time) bool {
	r.checkQuorum(now)
	if r.role != leader {
		return false
	}
	id := r.successor()
	if id == 0 {
		return false
	}
	r.leading.transferTo = id
	r.leading.transferUntil = now.Add(r.cfg.Election)
	r.tryTransfer()
	return true
}

// successor returns the other voter that has acknowledged the most entries and, among
// equals, has answered last. It returns zero if none receives entries.
func (r *Replica) successor() uint64 {
	var best uint64
	var newest progress
	for _, id := range incomingVoters(r.Membership()) {
		p := r.leading.peers[id]
		if p == nil || !p.streaming {
			continue
		}
		if best == 0 || p.match > newest.match || (p.match == newest.match && p.round > newest.round) {
			best, newest = id, *p
		}
	}
	return best
}

// Resign makes a leader that can't go on step down. It returns the message that makes the
// voter most likely to win an election start one at once, nil if the replica did not lead or
// no other voter receives entries. Unlike other methods it may be called before Advance.
func (r *Replica) Resign(now time.Time) *kcwpb.Message {
	if r.role != leader {
		return nil
	}
	id := r.successor()
	r.becomeFollower(r.term, 0, now)
	if id == 0 {
		return nil
	}
	return &kcwpb.Message{Kind: timeoutNow, From: r.cfg.ID, To: id, Term: r.term}
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
