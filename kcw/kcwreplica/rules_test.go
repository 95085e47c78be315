package kcwreplica

import (
	"errors"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwpb"
)

const second = time.Second

// elect runs s until a leader has committed an entry of its term, and returns that
// leader.
func elect(t *testing.T, s *sim) *node {
	t.Helper()
	if !s.runUntil(10*second, func() bool { return s.leader() != nil && s.leader().replica.hasCommitted() }) {
		t.Fatal("no leader")
	}
	return s.leader()
}

func (s *sim) cut(from, to uint64) {
	s.cuts[[2]uint64{from, to}] = true
}

func (s *sim) run(d time.Duration) {
	s.runUntil(d, func() bool { return false })
}

func kindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}

// A replica that receives or sends no messages must not start a new term, which
// would depose a leader that the others follow.
func TestCutReplicaDoesNotDisrupt(t *testing.T) {
	for _, test := range []struct {
		name                              string
		receives, receivesFollower, sends bool
	}{
		{"is disconnected", false, false, false},
		{"receives nothing", false, false, true},
		{"receives from all but the leader", false, true, true},
		{"sends nothing", true, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSim(1, 3)
			leader := elect(t, s)
			term := leader.replica.Term()
			cut := s.ids[leader.id%3]
			for _, id := range s.ids {
				if !test.receives && (id == leader.id || !test.receivesFollower) {
					s.cut(id, cut)
				}
				if !test.sends {
					s.cut(cut, id)
				}
			}
			s.run(5 * second)
			s.cuts = map[[2]uint64]bool{}
			s.run(second)
			if last := s.leader(); last != leader || last.replica.Term() != term {
				t.Errorf("leader %d of term %d, want %d of term %d", last.id, last.replica.Term(), leader.id, term)
			}
		})
	}
}

// A leader that receives or sends no messages steps down within the election
// timeout, and rejects proposals and reads from then on.
func TestLeaderWithoutQuorumStepsDown(t *testing.T) {
	for _, test := range []struct {
		name            string
		receives, sends bool
	}{
		{"is disconnected", false, false},
		{"receives nothing", false, true},
		{"sends nothing", true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSim(2, 3)
			leader := elect(t, s)
			for _, id := range s.ids {
				if !test.receives {
					s.cut(id, leader.id)
				}
				if !test.sends {
					s.cut(leader.id, id)
				}
			}
			s.run(simElection + simHeartbeat)
			if _, err := leader.replica.Propose([][]byte{nil}, s.now); kindOf(err) != NotLeader {
				t.Errorf("propose gave %v, want not the leader", err)
			}
			if err := leader.replica.Confirm(1, s.now); kindOf(err) != NotLeader {
				t.Errorf("confirm gave %v, want not the leader", err)
			}
		})
	}
}

// A leader whose process was suspended past its deadline rejects the first call
// afterwards, before any tick.
func TestFrozenLeaderRefusesAtOnce(t *testing.T) {
	s := newSim(3, 3)
	leader := elect(t, s)
	resumed := s.now.Add(time.Hour)
	if _, err := leader.replica.Propose([][]byte{nil}, resumed); kindOf(err) != NotLeader {
		t.Errorf("propose gave %v, want not the leader", err)
	}
}

func change(n *node, s *sim, kind kcwpb.ChangeMembersRequest_Kind, id uint64) error {
	req := &kcwpb.ChangeMembersRequest{Kind: kind, Member: &kcwpb.Member{Id: id}}
	_, err := n.replica.Change(req, s.now)
	s.drive(n, false)
	return err
}

func TestMembershipRules(t *testing.T) {
	s := newSim(4, 3)
	leader := elect(t, s)
	follower := s.nodes[s.ids[leader.id%3]]
	for _, test := range []struct {
		name string
		at   *node
		kind kcwpb.ChangeMembersRequest_Kind
		id   uint64
		want Kind
	}{
		{"at a follower", follower, addLearner, 9, NotLeader},
		{"no identity", leader, addLearner, 0, Invalid},
		{"add a member", leader, addLearner, 1, Invalid},
		{"promote a non-member", leader, promote, 9, Invalid},
		{"promote a voter", leader, promote, 1, Invalid},
		{"remove a non-member", leader, remove, 9, Invalid},
		{"add a learner", leader, addLearner, 9, 0},
		{"a second change before the commit", leader, addLearner, 8, Busy},
	} {
		if err := change(test.at, s, test.kind, test.id); kindOf(err) != test.want {
			t.Errorf("%s gave %v, want %v", test.name, err, test.want)
		}
	}
	s.run(second)
	if err := change(leader, s, promote, 9); kindOf(err) != NotCaughtUp {
		t.Errorf("promoting an absent learner gave %v, want not caught up", err)
	}
	s.addNode(9)
	s.run(second)
	if err := change(leader, s, promote, 9); err != nil {
		t.Errorf("promoting a learner that has caught up gave %v", err)
	}
	if !s.recovers() || s.violation != "" {
		t.Errorf("no progress with four voters: %s", s.violation)
	}
}

// A new leader makes no membership change before it has committed an entry of
// its own term.
func TestNoChangeBeforeOwnCommit(t *testing.T) {
	s := newSim(5, 3)
	elect(t, s)
	s.run(second)
	candidate := s.nodes[1]
	if newest := candidate.replica.configs[0]; newest.index > candidate.replica.Commit() {
		t.Fatalf("commit %d, want at least that of the membership, %d", candidate.replica.Commit(), newest.index)
	}
	candidate.replica.campaign(0, s.now)
	s.drive(candidate, false)
	candidate.replica.becomeLeader(s.now)
	if err := change(candidate, s, addLearner, 9); kindOf(err) != Busy {
		t.Errorf("change gave %v, want busy", err)
	}
}

func TestRemovedLeaderStepsDown(t *testing.T) {
	s := newSim(6, 3)
	leader := elect(t, s)
	if err := change(leader, s, remove, leader.id); err != nil {
		t.Fatal(err)
	}
	s.run(5 * second)
	next := s.leader()
	if next == nil || next == leader {
		t.Fatalf("leader %v after the removal of %d", next, leader.id)
	}
	if leader.replica.IsLeader() || next.replica.isVoter(leader.id) {
		t.Error("the removed leader still leads or votes")
	}
}

func TestTransfer(t *testing.T) {
	s := newSim(7, 3)
	leader := elect(t, s)
	term := leader.replica.Term()
	if !leader.replica.Transfer(s.now) {
		t.Fatal("no voter to transfer leadership to")
	}
	if _, err := leader.replica.Propose([][]byte{nil}, s.now); kindOf(err) != Busy {
		t.Errorf("propose during the transfer gave %v, want busy", err)
	}
	s.run(simElection / 2)
	if next := s.leader(); next == nil || next == leader || next.replica.Term() != term+1 {
		t.Errorf("leadership was not transferred within half an election timeout")
	}
}

// A message for another identity is dropped, such as the identity that the same host
// had before it lost its disk.
func TestMessageForAnotherIdentity(t *testing.T) {
	s := newSim(8, 3)
	n := s.nodes[1]
	n.replica.Step(&kcwpb.Message{Kind: vote, From: 2, To: 99, Term: 50, Index: 50, LogTerm: 50}, s.now)
	if _, hasWork := n.replica.Ready(); hasWork || n.replica.Term() != 1 {
		t.Error("a vote was given for another identity")
	}
}
