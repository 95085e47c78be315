package kcwreplica

import (
	"errors"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwpb"
)

const second = time.Second

// elect runs s until a leader has committed an entry of its term.
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

// A replica that hears nobody, or is heard by nobody, must not raise the term
// and so depose a leader that the others follow.
func TestCutReplicaDoesNotDisrupt(t *testing.T) {
	for _, test := range []struct {
		name                          string
		hears, hearsFollower, isHeard bool
	}{
		{"cut off", false, false, false},
		{"hears nobody", false, false, true},
		{"hears all but the leader", false, true, true},
		{"is heard by nobody", true, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSim(1, 3)
			leader := elect(t, s)
			term := leader.replica.Term()
			cut := s.ids[leader.id%3]
			for _, id := range s.ids {
				if !test.hears && (id == leader.id || !test.hearsFollower) {
					s.cut(id, cut)
				}
				if !test.isHeard {
					s.cut(cut, id)
				}
			}
			s.run(5 * second)
			s.cuts = map[[2]uint64]bool{}
			s.run(second)
			if now := s.leader(); now != leader || now.replica.Term() != term {
				t.Errorf("leader %d of term %d, want %d of term %d", now.id, now.replica.Term(), leader.id, term)
			}
		})
	}
}

// A leader that nobody hears or that hears nobody steps down within the
// election timeout, and refuses proposals and reads from then on.
func TestLeaderWithoutQuorumStepsDown(t *testing.T) {
	for _, test := range []struct {
		name           string
		hears, isHeard bool
	}{
		{"cut off", false, false},
		{"hears nobody", false, true},
		{"is heard by nobody", true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSim(2, 3)
			leader := elect(t, s)
			for _, id := range s.ids {
				if !test.hears {
					s.cut(id, leader.id)
				}
				if !test.isHeard {
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

// After a freeze the first call finds the deadline passed, before any tick.
func TestFrozenLeaderRefusesAtOnce(t *testing.T) {
	s := newSim(3, 3)
	leader := elect(t, s)
	late := s.now.Add(time.Hour)
	if _, err := leader.replica.Propose([][]byte{nil}, late); kindOf(err) != NotLeader {
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
		{"promote a stranger", leader, promote, 9, Invalid},
		{"promote a voter", leader, promote, 1, Invalid},
		{"remove a stranger", leader, remove, 9, Invalid},
		{"add a learner", leader, addLearner, 9, 0},
		{"a second change at once", leader, addLearner, 8, Busy},
	} {
		if err := change(test.at, s, test.kind, test.id); kindOf(err) != test.want {
			t.Errorf("%s gave %v, want %v", test.name, err, test.want)
		}
	}
	s.run(second)
	if err := change(leader, s, promote, 9); kindOf(err) != NotCaughtUp {
		t.Errorf("promoting an absent learner gave %v, want not caught up", err)
	}
	s.nodes[9] = &node{id: 9}
	s.ids = append(s.ids, 9)
	s.restart(s.nodes[9])
	s.run(second)
	if err := change(leader, s, promote, 9); err != nil {
		t.Errorf("promoting a learner that has caught up gave %v", err)
	}
	if !s.settle() || s.violation != "" {
		t.Errorf("no progress with four voters: %s", s.violation)
	}
}

// A new leader makes no membership change before it has committed an entry of
// its own term.
func TestNoChangeBeforeOwnCommit(t *testing.T) {
	s := newSim(5, 3)
	elect(t, s)
	candidate := s.nodes[1]
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
		t.Fatal("nobody to transfer to")
	}
	if _, err := leader.replica.Propose([][]byte{nil}, s.now); kindOf(err) != Busy {
		t.Errorf("propose during the transfer gave %v, want busy", err)
	}
	s.run(simElection / 2)
	if next := s.leader(); next == nil || next == leader || next.replica.Term() != term+1 {
		t.Errorf("leadership was not handed over within half an election timeout")
	}
}

// A message for another identity, as of a disk that was lost, is dropped.
func TestMessageForAnotherIdentity(t *testing.T) {
	s := newSim(8, 3)
	n := s.nodes[1]
	n.replica.Step(&kcwpb.Message{Kind: vote, From: 2, To: 99, Term: 50, Index: 50, LogTerm: 50}, s.now)
	if _, busy := n.replica.Ready(); busy || n.replica.Term() != 1 {
		t.Error("a vote was given for another identity")
	}
}
