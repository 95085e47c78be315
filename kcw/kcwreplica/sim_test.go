package kcwreplica

import (
	"fmt"
	"math/rand"
	"time"

	"google.golang.org/protobuf/proto"

	"kingcupwick.example/kcw/kcwpb"
)

const (
	simHeartbeat = 20 * time.Millisecond
	simElection  = 100 * time.Millisecond
)

// node is a replica and its disk, which survives a restart.
type node struct {
	id       uint64
	replica  *Replica
	term     uint64
	vote     uint64
	entries  []*kcwpb.Entry
	snapshot *kcwpb.SnapshotChunk
	applied  uint64
	// reads maps each read to the highest index applied when it was requested.
	reads map[uint64]uint64
}

// sim runs replicas under a random schedule and checks their invariants. It keeps
// the first violation.
type sim struct {
	rnd       *rand.Rand
	now       time.Time
	nodes     map[uint64]*node
	ids       []uint64
	inTransit []*kcwpb.Message
	// cuts holds the one-way links, from and to, that lose all messages.
	cuts map[[2]uint64]bool
	// leaders maps a term to its leader.
	leaders map[uint64]uint64
	// committed holds the entries that any replica has applied, by index, and
	// highest is the largest index of them.
	committed map[uint64]*kcwpb.Entry
	highest   uint64
	counter   int
	violation string
	// started and completed count the first and the second memberships of replacements
	// that were committed, and inherited those of completed whose leader is not the one
	// that started the replacement. demoted counts committed demotions.
	started, completed, inherited, demoted int
}

func newSim(seed int64, n int) *sim {
	s := &sim{
		rnd: rand.New(rand.NewSource(seed)), now: time.Unix(1e9, 0),
		nodes: map[uint64]*node{}, cuts: map[[2]uint64]bool{},
		leaders: map[uint64]uint64{}, committed: map[uint64]*kcwpb.Entry{},
	}
	membership := &kcwpb.Membership{}
	for id := uint64(1); id <= uint64(n); id++ {
		s.ids = append(s.ids, id)
		membership.Members = append(membership.Members, &kcwpb.Member{Id: id})
	}
	data, _ := proto.Marshal(membership)
	first := &kcwpb.Entry{Index: 1, Term: 1, Kind: kcwpb.EntryKind_ENTRY_KIND_MEMBERSHIP, Data: data}
	for _, id := range s.ids {
		s.nodes[id] = &node{id: id, term: 1, entries: []*kcwpb.Entry{first}}
		s.restart(s.nodes[id])
	}
	return s
}

// addNode starts a replica with an empty disk that is not a member.
func (s *sim) addNode(id uint64) *node {
	n := &node{id: id}
	s.nodes[id] = n
	s.ids = append(s.ids, id)
	s.restart(n)
	return n
}

func (s *sim) fail(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf(format, args...)
	}
}

// restart replaces the node's replica by a new one that loads the state on the
// node's disk.
func (s *sim) restart(n *node) {
	replica, err := New(Config{
		ID: n.id, Term: n.term, Vote: n.vote, Snapshot: n.snapshot, Entries: n.entries,
		Heartbeat: simHeartbeat, Election: simElection, MessageBytes: 100, InflightBytes: 400,
		Rand: rand.New(rand.NewSource(s.rnd.Int63())), Now: s.now,
	})
	if err != nil {
		s.fail("restart of %d: %v", n.id, err)
		return
	}
	n.replica = replica
	n.applied = n.snapshot.GetIndex()
	n.reads = map[uint64]uint64{}
}

// drive does the work that the replica's Ready lists. If crash is set, the node
// restarts after it has sent the messages that need no save and before it has saved
// anything.
func (s *sim) drive(n *node, crash bool) {
	for {
		ready, hasWork := n.replica.Ready()
		if !hasWork {
			break
		}
		s.post(ready.Messages)
		if crash {
			s.restart(n)
			return
		}
		if ready.MustSave {
			n.save(ready)
		}
		s.post(ready.Replies)
		n.replica.Advance(ready, s.now)
		for _, e := range ready.Committed {
			s.checkApplied(n, e)
		}
		for _, m := range ready.Chunks {
			s.receive(n, m)
		}
		for _, read := range ready.Reads {
			if read.Index < n.reads[read.ID] {
				s.fail("read %d at %d confirmed at %d, but %d was committed", read.ID, n.id, read.Index, n.reads[read.ID])
			}
		}
		s.checkLeader(n)
	}
}

func (n *node) save(ready Ready) {
	n.term, n.vote = ready.Term, ready.Vote
	if len(ready.Entries) == 0 {
		return
	}
	var kept []*kcwpb.Entry
	for _, e := range n.entries {
		if e.Index < ready.Entries[0].Index {
			kept = append(kept, e)
		}
	}
	n.entries = append(kept, ready.Entries...)
}

// receive stores a snapshot, which the simulation sends as one chunk.
func (s *sim) receive(n *node, m *kcwpb.Message) {
	if !n.replica.Restore(m) {
		return
	}
	n.snapshot, n.entries, n.applied = snapshotMeta(m.Chunk), nil, m.Chunk.Index
}

func (s *sim) post(msgs []*kcwpb.Message) {
	for _, m := range msgs {
		if !s.cuts[[2]uint64{m.From, m.To}] {
			s.inTransit = append(s.inTransit, proto.Clone(m).(*kcwpb.Message))
		}
	}
}

// step performs one random action.
func (s *sim) step() {
	n := s.nodes[s.ids[s.rnd.Intn(len(s.ids))]]
	switch p := s.rnd.Intn(1000); {
	case p < 700:
		s.deliver()
		return
	case p < 850:
		s.now = s.now.Add(time.Duration(s.rnd.Intn(20)) * time.Millisecond)
		n.replica.Tick(s.now)
	case p < 900:
		s.counter++
		_, _ = n.replica.Propose([][]byte{fmt.Appendf(nil, "command %d", s.counter)}, s.now)
	case p < 920:
		s.counter++
		if n.replica.Confirm(uint64(s.counter), s.now) == nil {
			n.reads[uint64(s.counter)] = s.highest
		}
	case p < 940:
		s.cuts[[2]uint64{n.id, s.ids[s.rnd.Intn(len(s.ids))]}] = true
	case p < 950:
		s.cuts = map[[2]uint64]bool{}
	case p < 960:
		s.restart(n)
	case p < 970:
		_, _ = n.replica.Propose([][]byte{[]byte("lost")}, s.now)
		s.drive(n, true)
	case p < 980:
		n.replica.Transfer(s.now)
	case p < 985:
		s.compact(n)
	default:
		n = s.changeMembers(n)
	}
	s.drive(n, false)
}

// changeKinds holds the kinds of random membership changes, the more frequent ones more
// than once.
var changeKinds = []kcwpb.ChangeMembersRequest_Kind{addLearner, addLearner, promote, promote, remove, demote, replace, replace, replace}

// choose returns a random member of n's membership that matches, or zero if there is
// none.
func (s *sim) choose(n *node, matches func(*kcwpb.Member) bool) uint64 {
	members := n.replica.Membership().Members
	for _, i := range s.rnd.Perm(len(members)) {
		if matches(members[i]) {
			return members[i].Id
		}
	}
	return 0
}

// changeMembers requests a random change at the leader or, if there is none or at random,
// at n. It returns the replica with the request. That replica may fail before it has saved
// or right after it has sent the change.
func (s *sim) changeMembers(n *node) *node {
	if leader := s.leader(); leader != nil && s.rnd.Intn(4) > 0 {
		n = leader
	}
	req := &kcwpb.ChangeMembersRequest{
		Kind:     changeKinds[s.rnd.Intn(len(changeKinds))],
		Member:   &kcwpb.Member{Id: s.ids[s.rnd.Intn(len(s.ids))]},
		Replaced: s.ids[s.rnd.Intn(len(s.ids))],
	}
	if req.Kind == replace || req.Kind == promote {
		req.Member.Id = s.choose(n, func(m *kcwpb.Member) bool { return m.Learner })
		req.Replaced = s.choose(n, func(m *kcwpb.Member) bool { return !m.Learner })
	}
	_, _ = n.replica.Change(req, s.now)
	switch s.rnd.Intn(8) {
	case 0:
		s.drive(n, true)
	case 1:
		s.drive(n, false)
		s.restart(n)
	case 2:
		s.drive(n, false)
		s.isolate(n.id)
	}
	return n
}

// deliver chooses a random message in transit and delivers it, delivers it but keeps
// it in transit for a repeated delivery, or loses it.
func (s *sim) deliver() {
	if len(s.inTransit) == 0 {
		return
	}
	i := s.rnd.Intn(len(s.inTransit))
	m := s.inTransit[i]
	p := s.rnd.Intn(100)
	if p >= 5 {
		s.inTransit = append(s.inTransit[:i], s.inTransit[i+1:]...)
	}
	if p >= 95 || s.cuts[[2]uint64{m.From, m.To}] {
		return
	}
	n := s.nodes[m.To]
	n.replica.Step(m, s.now)
	s.drive(n, s.rnd.Intn(200) == 0)
}

func (s *sim) compact(n *node) {
	term, ok := n.replica.log.termAt(n.applied)
	if !ok || n.applied == 0 {
		return
	}
	meta := &kcwpb.SnapshotChunk{Index: n.applied, Term: term}
	for _, c := range n.replica.configs {
		if c.index <= n.applied {
			meta.Membership = c.membership
		}
	}
	base := n.replica.Compact(meta, 2)
	n.snapshot = meta
	for len(n.entries) > 0 && n.entries[0].Index <= base {
		n.entries = n.entries[1:]
	}
}

// recovers repairs all links and reports whether all members then apply a new
// command and a replacement in progress is completed.
func (s *sim) recovers() bool {
	s.cuts = map[[2]uint64]bool{}
	target, term := uint64(0), uint64(0)
	return s.runUntil(4*time.Second, func() bool {
		leader := s.leader()
		if leader == nil || !leader.replica.hasCommitted() {
			return false
		}
		if term != leader.replica.Term() {
			index, err := leader.replica.Propose([][]byte{[]byte("last")}, s.now)
			if err != nil {
				return false
			}
			term, target = leader.replica.Term(), index
		}
		done := target > 0 && len(leader.replica.Membership().Outgoing) == 0
		for id, n := range s.nodes {
			done = done && (n.applied >= target || leader.replica.member(id) == nil)
		}
		return done
	})
}

// runUntil advances the time and delivers all messages on working links, until done
// reports true or the limit is reached.
func (s *sim) runUntil(limit time.Duration, done func() bool) bool {
	for end := s.now.Add(limit); s.now.Before(end); s.now = s.now.Add(time.Millisecond) {
		for _, id := range s.ids {
			s.nodes[id].replica.Tick(s.now)
			s.drive(s.nodes[id], false)
		}
		if done() {
			return true
		}
		pending := s.inTransit
		s.inTransit = nil
		for _, m := range pending {
			if s.nodes[m.To] != nil && !s.cuts[[2]uint64{m.From, m.To}] {
				s.nodes[m.To].replica.Step(m, s.now)
				s.drive(s.nodes[m.To], false)
			}
		}
	}
	return false
}

// leader returns the leader of the latest term, or nil if there is none.
func (s *sim) leader() *node {
	var found *node
	for _, id := range s.ids {
		n := s.nodes[id]
		if n.replica.IsLeader() && (found == nil || n.replica.Term() > found.replica.Term()) {
			found = n
		}
	}
	return found
}
