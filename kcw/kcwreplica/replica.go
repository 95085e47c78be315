// Package kcwreplica implements the consensus of a replicated group as a
// deterministic state machine without I/O. Its inputs are messages, ticks and
// proposals, each with the current time; its outputs are messages, entries to
// store and entries to apply.
//
// The algorithm is Raft: Ongaro and Ousterhout, "In Search of an Understandable
// Consensus Algorithm", 2014. Pre-vote, check-quorum, read index, learners,
// membership changes and leadership transfer are from Ongaro, "Consensus: Bridging
// Theory and Practice", 2014.
//
// A member is added, promoted, demoted or removed by a single-server change (Ongaro
// 2014, section 4.1). No change starts before the leader has committed an entry of its
// own term, since otherwise two leaders could make different changes to the same
// membership whose majorities do not overlap. A learner replaces a voter by joint
// consensus (Ongaro and Ousterhout 2014, section 6; Ongaro 2014, section 4.3), so that
// the number of voters, and of failures that the group survives, stays the same
// throughout. Until the replacement is complete, elections, commits and rounds of
// heartbeats need a majority of the voters before it and a majority of those after it.
// Whichever replica leads completes it.
package kcwreplica

import (
	"math/rand"
	"sort"
	"time"

	"kingcupwick.example/kcw/kcwpb"
)

// Default values of Config, in bytes.
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

// Config holds the settings and the stored state of a Replica.
type Config struct {
	ID uint64
	// Term and Vote are the values saved last.
	Term uint64
	Vote uint64
	// Snapshot holds the index, term and membership of the newest snapshot; it is
	// nil if there is none.
	Snapshot *kcwpb.SnapshotChunk
	// Entries are the saved entries, in order and without gaps.
	Entries []*kcwpb.Entry
	// Heartbeat is the time between a leader's heartbeats. Election is the
	// election timeout: the shortest time without a leader before an election.
	Heartbeat time.Duration
	Election  time.Duration
	// MessageBytes limits the size of the entries in one message, InflightBytes
	// the size of the entries sent to one replica and not yet acknowledged. The
	// defaults are 512 KiB and 8 MiB.
	MessageBytes  int
	InflightBytes int
	Rand          *rand.Rand
	Now           time.Time
}

// Ready lists what the driver of a Replica must do, in the order of the fields.
type Ready struct {
	// Messages may be sent at once.
	Messages []*kcwpb.Message
	// If MustSave is set, Term, Vote and Entries must be on disk before Replies
	// are sent. Entries replace all saved entries from the index of the first one
	// on.
	MustSave bool
	Term     uint64
	Vote     uint64
	Entries  []*kcwpb.Entry
	Replies  []*kcwpb.Message
	// Committed holds the entries to apply, in order.
	Committed []*kcwpb.Entry
	// Chunks holds messages with snapshot chunks to store. After Advance, the
	// driver must call ChunkStored or Restore for each.
	Chunks []*kcwpb.Message
	// Reads holds the reads that are now confirmed.
	Reads []Read
}

// Read is a confirmed read. Once Index is applied, the state machine's state is no
// older than the call of Confirm with that ID.
type Read struct {
	ID    uint64
	Index uint64
}

// Replica is the consensus state of one replica. It must be used by one goroutine
// at a time.
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

	// electionAt is when the replica starts an election. Until leaderUntil votes
	// are rejected, because of a recent message from a leader.
	electionAt  time.Time
	leaderUntil time.Time
	// firstElection is set until the first contact with a leader or the first new
	// term after the start.
	firstElection bool
	votes         map[uint64]bool

	leading leaderState
	out     Ready
}

// New returns a replica that continues from the stored state in cfg. The error's
// Kind is Invalid if a setting is wrong, and Damaged if the snapshot and the
// entries are inconsistent.
func New(cfg Config) (*Replica, error) {
	if cfg.ID == 0 || cfg.Rand == nil || cfg.Heartbeat <= 0 || cfg.Election <= cfg.Heartbeat {
		return nil, fail("new", Invalid, "ID, Rand, Heartbeat and Election must be set, and Election must exceed Heartbeat")
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
		snapshot: cfg.Snapshot, firstElection: true,
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
		return fail("new", Damaged, "entries between the snapshot and the start of the log are missing")
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

// append appends an entry to the log, and puts its membership in force if it holds
// one.
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

// Leader returns the identity of the leader of the current term, or zero if it is
// unknown.
func (r *Replica) Leader() uint64 {
	return r.leader
}

// IsLeader reports whether this replica is the leader.
func (r *Replica) IsLeader() bool {
	return r.role == leader
}

// Commit returns the commit index.
func (r *Replica) Commit() uint64 {
	return r.log.commit
}

// Membership returns the newest membership in the log, which need not be
// committed. The caller must not modify it.
func (r *Replica) Membership() *kcwpb.Membership {
	return r.configs[len(r.configs)-1].membership
}

// HasLeader reports whether the replica is the leader and a quorum has confirmed
// it within the election timeout, or has received a message from a leader within
// that time.
func (r *Replica) HasLeader(now time.Time) bool {
	if r.role == leader {
		return now.Before(r.leading.quorumUntil)
	}
	return r.leader != 0 && now.Before(r.leaderUntil)
}

// Status returns the replica's status, except for Applied and Snapshot, which the
// driver must set.
func (r *Replica) Status() *kcwpb.GroupStatus {
	status := &kcwpb.GroupStatus{
		Id: r.cfg.ID, Term: r.term, Leader: r.leader, Role: r.role.String(),
		Commit: r.log.commit, First: r.log.base + 1, Last: r.log.last(),
		Membership: r.Membership(),
	}
	if m := r.member(r.leader); m != nil {
		status.LeaderAddress = m.Address
	}
	if !r.isVoter(r.cfg.ID) {
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

// LastContact returns the time of the last contact with a quorum, if the replica
// is the leader, or otherwise with a leader. It returns the zero time if there was
// none.
func (r *Replica) LastContact() time.Time {
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
	return IsVoter(r.Membership(), id)
}

// quorumOf returns the largest value that a quorum has or exceeds: a majority of the
// voters and, during a replacement, also a majority of the outgoing voters.
func (r *Replica) quorumOf(value func(id uint64) uint64) uint64 {
	membership := r.Membership()
	quorum := majorityOf(incomingVoters(membership), value)
	if outgoing := outgoingVoters(membership); len(outgoing) > 0 {
		quorum = min(quorum, majorityOf(outgoing, value))
	}
	return quorum
}

// majorityOf returns the largest value that a majority of ids have or exceed, and zero
// if there are none.
func majorityOf(ids []uint64, value func(id uint64) uint64) uint64 {
	if len(ids) == 0 {
		return 0
	}
	var values []uint64
	for _, id := range ids {
		values = append(values, value(id))
	}
	sort.Slice(values, func(i, j int) bool { return values[i] > values[j] })
	return values[len(values)/2]
}

// Ready returns the pending work, and false if there is none. The driver must save
// the result and then call Advance before any other method.
func (r *Replica) Ready() (Ready, bool) {
	ready := r.out
	r.out = Ready{}
	ready.Term, ready.Vote = r.term, r.vote
	ready.Entries = r.log.between(r.log.stable, r.log.last())
	ready.MustSave = len(ready.Entries) > 0 || r.term != r.savedTerm || r.vote != r.savedVote
	ready.Committed = r.log.between(r.log.delivered, r.log.commit)
	r.log.delivered = r.log.commit
	hasWork := ready.MustSave || len(ready.Messages) > 0 || len(ready.Replies) > 0 ||
		len(ready.Committed) > 0 || len(ready.Chunks) > 0 || len(ready.Reads) > 0
	return ready, hasWork
}

// Advance must be called when ready is saved.
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

// send queues a message that may be sent at once.
func (r *Replica) send(m *kcwpb.Message) {
	m.From = r.cfg.ID
	r.out.Messages = append(r.out.Messages, m)
}

// sendAfterSave queues a message that must not be sent before the current term,
// vote and entries are saved.
func (r *Replica) sendAfterSave(m *kcwpb.Message) {
	m.From = r.cfg.ID
	r.out.Replies = append(r.out.Replies, m)
}
