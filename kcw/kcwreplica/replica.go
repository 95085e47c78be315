// Package kcwreplica holds the consensus of a replicated group as a pure state
// machine: messages, ticks and proposals go in with the time, and messages,
// entries to store and entries to apply come out. It does no I/O.
//
// The method is Raft: Ongaro and Ousterhout, "In Search of an Understandable
// Consensus Algorithm", 2014; pre-vote, check-quorum, read index, learners,
// single-server membership changes and transfer of leadership are from Ongaro,
// "Consensus: Bridging Theory and Practice", 2014.
package kcwreplica

import (
	"math/rand"
	"sort"
	"time"

	"kingcupwick.example/kcw/kcwpb"
)

// Defaults of Config, in bytes.
const (
	defaultMessageBytes  = 512 << 10
	defaultInflightBytes = 8 << 20
)

type role int

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// String returns the role's name.
func (r role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Config is what a Replica starts from.
type Config struct {
	ID uint64
	// Term and Vote are what was saved last.
	Term uint64
	Vote uint64
	// Snapshot gives index, term and membership of the newest snapshot, nil if
	// there is none.
	Snapshot *kcwpb.SnapshotChunk
	// Entries are the saved entries, in order and without gaps.
	Entries []*kcwpb.Entry
	// Heartbeat is the time between heartbeats of a leader, and Election the
	// least time without a leader before an election.
	Heartbeat time.Duration
	Election  time.Duration
	// MessageBytes bounds the entries of one message, InflightBytes those sent
	// to one replica and not yet acknowledged; 512 KiB and 8 MiB if zero.
	MessageBytes  int
	InflightBytes int
	Rand          *rand.Rand
	Now           time.Time
}

// Ready is what a Replica asks its driver to do, in the order of the fields.
type Ready struct {
	// Messages may be sent at once.
	Messages []*kcwpb.Message
	// Term, Vote and Entries must be on the disk before Replies are sent, if
	// MustSave is set. Saved entries from the first one's index on are replaced.
	MustSave bool
	Term     uint64
	Vote     uint64
	Entries  []*kcwpb.Entry
	Replies  []*kcwpb.Message
	// Committed entries are to be applied, in order.
	Committed []*kcwpb.Entry
	// Chunks are messages with parts of a snapshot to store. After Advance each
	// must be answered by ChunkStored or Restore.
	Chunks []*kcwpb.Message
	// Reads are the reads confirmed.
	Reads []Read
}

// Read is a confirmed read: once Index is applied, state that is no older than
// the call of Confirm with that ID may be read.
type Read struct {
	ID    uint64
	Index uint64
}

// Replica is one replica's consensus. It must be used by one goroutine at a
// time.
type Replica struct {
	cfg      Config
	role     role
	term     uint64
	vote     uint64
	leader   uint64
	log      entryLog
	configs  []config
	snapshot *kcwpb.SnapshotChunk

	savedTerm uint64
	savedVote uint64

	// electionAt is when to stand for election, leaderUntil how long votes are
	// refused since a leader was heard.
	electionAt  time.Time
	leaderUntil time.Time
	// early says that no leader was heard and no term begun since the start.
	early bool
	votes map[uint64]bool

	leading leading
	out     Ready
}

// New returns a replica that continues from cfg. The error's Kind is Damaged
// if snapshot and entries do not fit each other.
func New(cfg Config) (*Replica, error) {
	if cfg.ID == 0 || cfg.Rand == nil || cfg.Heartbeat <= 0 || cfg.Election <= cfg.Heartbeat {
		return nil, fail("new", Invalid, "ID, Rand, Heartbeat and a longer Election must be set")
	}
	if cfg.MessageBytes == 0 {
		cfg.MessageBytes = defaultMessageBytes
	}
	if cfg.InflightBytes == 0 {
		cfg.InflightBytes = defaultInflightBytes
	}
	r := &Replica{
		cfg: cfg, term: cfg.Term, vote: cfg.Vote,
		savedTerm: cfg.Term, savedVote: cfg.Vote,
		snapshot: cfg.Snapshot, early: true,
	}
	r.configs = []config{{0, &kcwpb.Membership{}}}
	if cfg.Snapshot != nil {
		r.log.reset(cfg.Snapshot.Index, cfg.Snapshot.Term)
		r.configs = []config{{cfg.Snapshot.Index, cfg.Snapshot.Membership}}
	}
	if err := r.load(cfg.Entries); err != nil {
		return nil, err
	}
	r.cfg.Entries = nil
	r.resetElection(cfg.Now)
	return r, nil
}

func (r *Replica) load(entries []*kcwpb.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	first, base := entries[0].Index, r.log.base
	if first > base+1 {
		return fail("new", Damaged, "entries between the snapshot and the log are missing")
	}
	if first+uint64(len(entries)) <= base {
		return nil
	}
	if first <= base && entries[base-first].Term != r.log.baseTerm {
		return nil
	}
	for _, e := range entries[base+1-first:] {
		if e.Index != r.log.last()+1 {
			return fail("new", Damaged, "entries are not contiguous")
		}
		r.append(e)
	}
	r.log.stable = r.log.last()
	return nil
}

// append adds an entry, and its membership if it holds one.
func (r *Replica) append(e *kcwpb.Entry) {
	r.log.append(e)
	if e.Kind == kcwpb.EntryKind_ENTRY_KIND_MEMBERSHIP {
		r.configs = append(r.configs, config{e.Index, parseMembership(e)})
	}
}

// ID returns the replica's identity.
func (r *Replica) ID() uint64 {
	return r.cfg.ID
}

// Term returns the current term.
func (r *Replica) Term() uint64 {
	return r.term
}

// Leader returns the identity of the leader of the current term, zero if it is
// not known.
func (r *Replica) Leader() uint64 {
	return r.leader
}

// IsLeader reports whether this replica leads.
func (r *Replica) IsLeader() bool {
	return r.role == leader
}

// Commit returns the last index known to be committed.
func (r *Replica) Commit() uint64 {
	return r.log.commit
}

// Membership returns the members of the newest entry that holds them, which
// need not be committed. It must not be changed.
func (r *Replica) Membership() *kcwpb.Membership {
	return r.configs[len(r.configs)-1].membership
}

// HeardLeader reports whether at now the replica leads with a quorum, or has
// heard from a leader within the election timeout.
func (r *Replica) HeardLeader(now time.Time) bool {
	if r.role == leader {
		return now.Before(r.leading.quorumUntil)
	}
	return r.leader != 0 && now.Before(r.leaderUntil)
}

// Status describes the replica. Applied and Snapshot are left to the driver.
func (r *Replica) Status() *kcwpb.GroupStatus {
	status := &kcwpb.GroupStatus{
		Id: r.cfg.ID, Term: r.term, Leader: r.leader, Role: r.role.String(),
		Commit: r.log.commit, First: r.log.base + 1, Last: r.log.last(),
		Membership: r.Membership(),
	}
	if m := r.member(r.leader); m != nil {
		status.LeaderAddress = m.Address
	}
	if m := r.member(r.cfg.ID); m == nil || m.Learner {
		status.Role = "learner"
	}
	if r.role == leader {
		status.Matches = map[uint64]uint64{r.cfg.ID: r.log.stable}
		for id, p := range r.leading.peers {
			status.Matches[id] = p.match
		}
	}
	return status
}

// HeardAt returns when a quorum, of a leader, or the leader, of a follower,
// was last heard; it is the zero time if that is not known.
func (r *Replica) HeardAt() time.Time {
	until := r.leaderUntil
	if r.role == leader {
		until = r.leading.quorumUntil
	}
	if until.IsZero() {
		return until
	}
	return until.Add(-r.cfg.Election)
}

func (r *Replica) member(id uint64) *kcwpb.Member {
	for _, m := range r.Membership().Members {
		if m.Id == id {
			return m
		}
	}
	return nil
}

func (r *Replica) isVoter(id uint64) bool {
	return hasVoter(r.Membership(), id)
}

func hasVoter(membership *kcwpb.Membership, id uint64) bool {
	for _, m := range membership.Members {
		if m.Id == id {
			return !m.Learner
		}
	}
	return false
}

// quorumOf returns the largest number that a majority of the voters reach.
func (r *Replica) quorumOf(number func(id uint64) uint64) uint64 {
	var numbers []uint64
	for _, m := range r.Membership().Members {
		if !m.Learner {
			numbers = append(numbers, number(m.Id))
		}
	}
	if len(numbers) == 0 {
		return 0
	}
	sort.Slice(numbers, func(i, j int) bool { return numbers[i] > numbers[j] })
	return numbers[len(numbers)/2]
}

// Ready returns what there is to do, and false if there is nothing. When it
// is saved, and before any other call, the driver calls Advance.
func (r *Replica) Ready() (Ready, bool) {
	ready := r.out
	r.out = Ready{}
	ready.Term, ready.Vote = r.term, r.vote
	ready.Entries = r.log.between(r.log.stable, r.log.last())
	ready.MustSave = len(ready.Entries) > 0 || r.term != r.savedTerm || r.vote != r.savedVote
	ready.Committed = r.log.between(r.log.handed, r.log.commit)
	r.log.handed = r.log.commit
	busy := ready.MustSave || len(ready.Messages) > 0 || len(ready.Replies) > 0 ||
		len(ready.Committed) > 0 || len(ready.Chunks) > 0 || len(ready.Reads) > 0
	return ready, busy
}

// Advance tells that ready was saved.
func (r *Replica) Advance(ready Ready, now time.Time) {
	if !ready.MustSave {
		return
	}
	r.savedTerm, r.savedVote = ready.Term, ready.Vote
	if n := len(ready.Entries); n > 0 {
		r.log.stable = ready.Entries[n-1].Index
	}
	switch {
	case r.role == leader:
		r.advanceCommit(now)
	case r.role == candidate && r.savedTerm == r.term:
		r.countVote(r.cfg.ID, true, now)
	}
}

// send puts out a message that may go at once.
func (r *Replica) send(m *kcwpb.Message) {
	m.From = r.cfg.ID
	r.out.Messages = append(r.out.Messages, m)
}

// sendSaved puts out a message that must wait until what precedes it is saved.
func (r *Replica) sendSaved(m *kcwpb.Message) {
	m.From = r.cfg.ID
	r.out.Replies = append(r.out.Replies, m)
}
