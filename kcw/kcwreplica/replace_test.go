package kcwreplica

import (
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"kingcupwick.example/kcw/kcwpb"
)

// isolate cuts all links of the replica id.
func (s *sim) isolate(id uint64) {
	for _, other := range s.ids {
		s.cut(id, other)
		s.cut(other, id)
	}
}

// addLearner adds a replica with an empty disk as a learner and runs s until it has
// caught up.
func (s *sim) addLearner(t *testing.T, leader *node, id uint64) {
	t.Helper()
	if err := change(leader, s, addLearner, id); err != nil {
		t.Fatal(err)
	}
	s.addNode(id)
	s.run(second)
}

func replaceMember(n *node, s *sim, id, replaced uint64) error {
	req := &kcwpb.ChangeMembersRequest{Kind: replace, Member: &kcwpb.Member{Id: id}, Replaced: replaced}
	_, err := n.replica.Change(req, s.now)
	s.drive(n, false)
	return err
}

// isReplaced reports whether the replica n has committed the membership in which id
// has replaced replaced.
func isReplaced(n *node, id, replaced uint64) bool {
	newest := n.replica.configs[len(n.replica.configs)-1]
	return newest.index <= n.replica.Commit() && len(newest.membership.Outgoing) == 0 &&
		slices.Contains(incomingVoters(newest.membership), id) &&
		!slices.Contains(incomingVoters(newest.membership), replaced)
}

func TestReplaceRules(t *testing.T) {
	s := newSim(1, 3)
	leader := elect(t, s)
	follower := s.ids[leader.id%3]
	s.addLearner(t, leader, 8)
	if err := change(leader, s, addLearner, 9); err != nil {
		t.Fatal(err)
	}
	s.run(second)
	for _, test := range []struct {
		name     string
		id       uint64
		replaced uint64
		want     Kind
	}{
		{"no identity", 0, follower, Invalid},
		{"no identity to replace", 8, 0, Invalid},
		{"a replica that is not a member", 7, follower, Invalid},
		{"a replica to replace that is not a member", 8, 7, Invalid},
		{"a voter for a voter", leader.id, follower, Invalid},
		{"a voter for itself", follower, follower, Invalid},
		{"a learner for itself", 8, 8, Invalid},
		{"a learner for a learner", 8, 9, Invalid},
		{"a learner that is behind", 9, follower, NotCaughtUp},
		{"a learner that has caught up", 8, follower, 0},
		{"a second replacement before the first is committed", 9, follower, Busy},
	} {
		if err := replaceMember(leader, s, test.id, test.replaced); kindOf(err) != test.want {
			t.Errorf("%s gave %v, want %v", test.name, err, test.want)
		}
	}
	s.run(second)
	if !isReplaced(leader, 8, follower) {
		t.Errorf("membership %v, want %d replaced by 8", leader.replica.Membership(), follower)
	}
}

func TestDemoteRules(t *testing.T) {
	s := newSim(1, 1)
	leader := elect(t, s)
	s.addLearner(t, leader, 9)
	for _, test := range []struct {
		name string
		kind kcwpb.ChangeMembersRequest_Kind
		id   uint64
		want Kind
	}{
		{"demote a replica that is not a member", demote, 8, Invalid},
		{"demote a learner", demote, 9, Invalid},
		{"demote the only voter", demote, leader.id, Invalid},
		{"promote the learner", promote, 9, 0},
		{"demote one of two voters", demote, 9, 0},
	} {
		if err := change(leader, s, test.kind, test.id); kindOf(err) != test.want {
			t.Errorf("%s gave %v, want %v", test.name, err, test.want)
		}
		s.run(second)
	}
	if m := leader.replica.member(9); m == nil || !m.Learner || leader.replica.isVoter(9) {
		t.Errorf("member %v, want a learner", m)
	}
}

// A voter that is gone is replaced although the learner that replaces it receives
// nothing from the start of the replacement on.
func TestReplacementWithSilentLearner(t *testing.T) {
	s := newSim(2, 3)
	leader := elect(t, s)
	gone := s.ids[leader.id%3]
	s.isolate(gone)
	s.addLearner(t, leader, 9)
	s.isolate(gone)
	s.isolate(9)
	if err := replaceMember(leader, s, 9, gone); err != nil {
		t.Fatal(err)
	}
	s.run(second)
	if s.leader() != leader || !isReplaced(leader, 9, gone) {
		t.Errorf("leader %d with %v, want %d with %d replaced by 9", s.leader().id, s.leader().replica.Membership(), leader.id, gone)
	}
}

// After a voter that is gone was replaced, the group survives the loss of one more.
func TestReplacementRestoresTolerance(t *testing.T) {
	s := newSim(3, 3)
	leader := elect(t, s)
	gone := s.ids[leader.id%3]
	s.isolate(gone)
	s.addLearner(t, leader, 9)
	s.isolate(gone)
	if err := replaceMember(leader, s, 9, gone); err != nil {
		t.Fatal(err)
	}
	s.run(second)
	s.isolate(leader.id)
	s.run(second)
	next := s.leader()
	if next == nil || next == leader || !next.replica.hasCommitted() {
		t.Errorf("no leader after %d was replaced and %d lost", gone, leader.id)
	}
}

// A replacement that its leader has not completed is completed by the next one.
func TestReplacementIsCompletedByNextLeader(t *testing.T) {
	for _, test := range []struct {
		name string
		// receives is set if the old leader can commit the first of the two
		// memberships.
		receives bool
	}{
		{"neither membership committed", false},
		{"the first membership committed", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSim(4, 3)
			old := elect(t, s)
			replaced := s.ids[old.id%3]
			s.addLearner(t, old, 9)
			for _, id := range s.ids {
				if !test.receives {
					s.cut(id, old.id)
				}
			}
			if err := replaceMember(old, s, 9, replaced); err != nil {
				t.Fatal(err)
			}
			first := old.replica.log.last()
			if !s.runUntil(second, func() bool { return old.replica.log.last() > first || !old.replica.IsLeader() }) {
				t.Fatal("the replacement was neither continued nor given up")
			}
			// What the old leader sent after the first membership is lost.
			s.inTransit = nil
			s.isolate(old.id)
			s.run(5 * second)
			next := s.leader()
			if next == nil || next == old || !isReplaced(next, 9, replaced) {
				t.Fatalf("leader %v, want another than %d with %d replaced by 9", next, old.id, replaced)
			}
			if !s.recovers() || s.violation != "" {
				t.Errorf("no progress after the replacement: %s", s.violation)
			}
		})
	}
}

// replacing makes node 1 of {1, 2, 3}, with 4 a learner, hold an uncommitted membership
// in which 4 replaces 3.
func replacing(s *sim) *node {
	s.addNode(4)
	n := s.nodes[1]
	joint := &kcwpb.Membership{
		Members:  []*kcwpb.Member{{Id: 1}, {Id: 2}, {Id: 3, Learner: true}, {Id: 4}},
		Outgoing: []uint64{1, 2, 3},
	}
	data, _ := proto.Marshal(joint)
	n.entries = append(n.entries, &kcwpb.Entry{Index: 2, Term: 2, Kind: kcwpb.EntryKind_ENTRY_KIND_MEMBERSHIP, Data: data})
	n.term = 3
	s.restart(n)
	return n
}

// During a replacement, elections, commits, reads and the leader's lease need a majority
// of the outgoing and a majority of the incoming voters.
func TestReplacementNeedsBothMajorities(t *testing.T) {
	for _, test := range []struct {
		name    string
		answers []uint64
		quorum  bool
	}{
		{"nobody answers", nil, false},
		{"a majority of the incoming voters answers", []uint64{4}, false},
		{"a majority of the outgoing voters answers", []uint64{3}, false},
		{"a voter of both answers", []uint64{2}, true},
		{"a majority of each answers", []uint64{3, 4}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSim(5, 3)
			n := replacing(s)
			s.now = s.now.Add(2 * simElection)
			n.replica.Tick(s.now)
			s.drive(n, false)
			for _, id := range test.answers {
				s.answer(n, &kcwpb.Message{Kind: preVoteReply, From: id, Term: 4})
			}
			if elects := n.replica.Term() == 4; elects != test.quorum {
				t.Errorf("election started %v, want %v", elects, test.quorum)
			}

			n = replacing(newSim(5, 3))
			n.replica.campaign(0, s.now)
			s.drive(n, false)
			for _, id := range test.answers {
				s.answer(n, &kcwpb.Message{Kind: voteReply, From: id, Term: 4})
			}
			if n.replica.IsLeader() != test.quorum {
				t.Errorf("elected %v, want %v", n.replica.IsLeader(), test.quorum)
			}

			n = replacing(newSim(5, 3))
			r := n.replica
			r.campaign(0, s.now)
			s.drive(n, false)
			r.becomeLeader(s.now)
			s.drive(n, false)
			until := r.leading.quorumUntil
			s.now = s.now.Add(simHeartbeat)
			if err := r.Confirm(7, s.now); err != nil {
				t.Fatal(err)
			}
			for _, id := range test.answers {
				r.Step(&kcwpb.Message{
					Kind: appendReply, From: id, To: 1, Term: 4, Round: r.leading.round, Index: r.leading.noopIndex,
				}, s.now)
			}
			if committed := r.Commit() >= r.leading.noopIndex; committed != test.quorum {
				t.Errorf("committed %v, want %v", committed, test.quorum)
			}
			s.drive(n, false)
			for _, id := range test.answers {
				r.Step(&kcwpb.Message{
					Kind: appendReply, From: id, To: 1, Term: 4, Round: r.leading.round, Index: r.leading.noopIndex,
				}, s.now)
			}
			ready, _ := r.Ready()
			if confirmed := len(ready.Reads) > 0; confirmed != test.quorum {
				t.Errorf("read confirmed %v, want %v", confirmed, test.quorum)
			}
			if extended := r.leading.quorumUntil.After(until); extended != test.quorum {
				t.Errorf("lease extended %v, want %v", extended, test.quorum)
			}
		})
	}
}

// The first membership of a replacement is committed before the second one is appended,
// also when an earlier entry is committed meanwhile.
func TestReplacementIsNotCompletedEarly(t *testing.T) {
	s := newSim(6, 3)
	leader := elect(t, s)
	s.addLearner(t, leader, 9)
	earlier, err := leader.replica.Propose([][]byte{nil}, s.now)
	if err != nil {
		t.Fatal(err)
	}
	if err := replaceMember(leader, s, 9, s.ids[leader.id%3]); err != nil {
		t.Fatal(err)
	}
	for _, id := range s.ids {
		s.answer(leader, &kcwpb.Message{Kind: appendReply, From: id, Term: leader.replica.Term(), Index: earlier})
	}
	if commit := leader.replica.Commit(); commit != earlier {
		t.Fatalf("commit %d, want %d", commit, earlier)
	}
	if last := leader.replica.log.last(); last != earlier+1 {
		t.Errorf("%d entries after the earlier one, want the first membership alone", last-earlier)
	}
}

// A value is that of a quorum if a majority of the incoming and a majority of the
// outgoing voters have it. For an even number of voters, a majority of all their votes
// together does not imply that.
func TestQuorumOfEvenNumber(t *testing.T) {
	s := newSim(6, 1)
	r := s.nodes[1].replica
	r.configs = []config{{1, &kcwpb.Membership{
		Members:  []*kcwpb.Member{{Id: 1}, {Id: 2}, {Id: 3}, {Id: 4, Learner: true}, {Id: 5}},
		Outgoing: []uint64{1, 2, 3, 4},
	}}}
	for _, test := range []struct {
		have   []uint64
		quorum bool
	}{
		{[]uint64{1, 2}, false},
		{[]uint64{1, 2, 4}, false},
		{[]uint64{1, 2, 5}, false},
		{[]uint64{1, 2, 3}, true},
		{[]uint64{1, 2, 4, 5}, true},
	} {
		got := r.quorumOf(func(id uint64) uint64 {
			if slices.Contains(test.have, id) {
				return 1
			}
			return 0
		})
		if (got == 1) != test.quorum {
			t.Errorf("%v: quorum %v, want %v", test.have, got == 1, test.quorum)
		}
	}
}

// A leader that is replaced or demoted leads until that is committed and then hands over
// to a voter without an election timeout.
func TestLeaderWithoutVoteHandsOver(t *testing.T) {
	for _, test := range []struct {
		name string
		kind kcwpb.ChangeMembersRequest_Kind
	}{
		{"replaced", replace},
		{"demoted", demote},
		{"removed", remove},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSim(6, 3)
			old := elect(t, s)
			s.addLearner(t, old, 9)
			term := old.replica.Term()
			req := &kcwpb.ChangeMembersRequest{Kind: test.kind, Member: &kcwpb.Member{Id: old.id}}
			if test.kind == replace {
				req.Member.Id, req.Replaced = 9, old.id
			}
			if _, err := old.replica.Change(req, s.now); err != nil {
				t.Fatal(err)
			}
			s.drive(old, false)
			if test.kind != replace {
				if _, err := old.replica.Propose([][]byte{nil}, s.now); kindOf(err) != Busy {
					t.Errorf("propose at a leader that gives up its vote gave %v, want busy", err)
				}
			}
			s.run(simElection / 2)
			next := s.leader()
			if next == nil || next == old || next.replica.Term() != term+1 || !next.replica.hasCommitted() {
				t.Fatalf("leader %v half an election timeout later, want one of term %d", next, term+1)
			}
			if next.replica.isVoter(old.id) {
				t.Errorf("%d still votes", old.id)
			}
			s.run(5 * second)
			if s.leader() != next || next.replica.Term() != term+1 {
				t.Errorf("%d leads in term %d, want %d in %d", s.leader().id, s.leader().replica.Term(), next.id, term+1)
			}
		})
	}
}

// A voter that was replaced, demoted or removed while it was away comes back with its
// log, by which it is a voter. It does not disrupt the group and can be added again.
func TestReturningVoterDoesNotDisrupt(t *testing.T) {
	for _, test := range []struct {
		name    string
		changes []kcwpb.ChangeMembersRequest_Kind
	}{
		{"replaced", []kcwpb.ChangeMembersRequest_Kind{replace}},
		{"replaced and removed", []kcwpb.ChangeMembersRequest_Kind{replace, remove}},
		{"demoted", []kcwpb.ChangeMembersRequest_Kind{demote}},
		{"removed", []kcwpb.ChangeMembersRequest_Kind{remove}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSim(7, 3)
			away := elect(t, s)
			s.addLearner(t, away, 9)
			s.isolate(away.id)
			if _, err := away.replica.Propose([][]byte{[]byte("never committed")}, s.now); err != nil {
				t.Fatal(err)
			}
			s.drive(away, false)
			s.run(second)
			leader := elect(t, s)
			term := leader.replica.Term()
			for _, kind := range test.changes {
				var err error
				if kind == replace {
					err = replaceMember(leader, s, 9, away.id)
				} else {
					err = change(leader, s, kind, away.id)
				}
				if err != nil {
					t.Fatal(err)
				}
				s.run(second)
			}
			s.cuts = map[[2]uint64]bool{}
			s.restart(away)
			if !away.replica.isVoter(away.id) {
				t.Fatal("the replica that returns is not a voter by its log")
			}
			s.run(5 * second)
			if s.leader() != leader || leader.replica.Term() != term {
				t.Fatalf("%d leads in term %d, want %d in term %d", s.leader().id, s.leader().replica.Term(), leader.id, term)
			}
			if leader.replica.member(away.id) == nil {
				if err := change(leader, s, addLearner, away.id); err != nil {
					t.Fatal(err)
				}
				s.run(second)
			}
			if away.replica.isVoter(away.id) || away.applied < leader.replica.log.last() {
				t.Errorf("%d applied %d of %d with %v", away.id, away.applied, leader.replica.log.last(), away.replica.Membership())
			}
			if err := change(leader, s, promote, away.id); err != nil {
				t.Errorf("promotion of the replica that returned: %v", err)
			}
			if !s.recovers() || s.violation != "" {
				t.Errorf("no progress: %s", s.violation)
			}
		})
	}
}

// A replacement in progress is part of a snapshot and survives a restart from it.
func TestSnapshotDuringReplacement(t *testing.T) {
	s := newSim(8, 3)
	n := replacing(s)
	r := n.replica
	n.applied = 2
	r.log.commit = 2
	s.compact(n)
	s.restart(n)
	if got := n.replica.Membership().Outgoing; !slices.Equal(got, []uint64{1, 2, 3}) {
		t.Errorf("outgoing %v after the restart, want [1 2 3]", got)
	}
}

// A leader elected under a replacement whose outgoing voter was removed by a program without
// replacements dereferenced a missing progress record.
func TestRemovedOutgoingVoterDoesNotStopLeaders(t *testing.T) {
	s := newSim(9, 3)
	leader := elect(t, s)
	membership := proto.Clone(leader.replica.Membership()).(*kcwpb.Membership)
	membership.Outgoing = []uint64{1, 2, 9}
	if _, err := leader.replica.appendMembership("change", membership, s.now); err != nil {
		t.Fatal(err)
	}
	s.drive(leader, false)
	s.run(second)
	if got := leader.replica.Membership().Outgoing; len(got) > 0 || leader.replica.Commit() < leader.replica.log.last() {
		t.Errorf("outgoing %v, commit %d of %d; want a complete replacement", got, leader.replica.Commit(), leader.replica.log.last())
	}
}
