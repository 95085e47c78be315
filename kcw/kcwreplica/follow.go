package kcwreplica

import (
	"time"

	"kingcupwick.example/kcw/kcwpb"
)

// followLeader records the sender of m as the leader of the current term.
func (r *Replica) followLeader(m *kcwpb.Message, now time.Time) {
	if r.role != follower {
		r.becomeFollower(r.term, m.From, now)
	}
	r.firstElection = false
	r.leader = m.From
	r.leaderUntil = now.Add(r.cfg.Election)
	r.resetElection(now)
}

func (r *Replica) handleAppend(m *kcwpb.Message) {
	prev, prevTerm, entries := m.Index, m.LogTerm, m.Entries
	if !areContiguous(prev, entries) {
		return
	}
	if prev < r.log.commit {
		// The committed part of the log is the same on every leader.
		skip := min(r.log.commit-prev, uint64(len(entries)))
		entries = entries[skip:]
		prev = r.log.commit
		prevTerm, _ = r.log.termAt(prev)
	}
	if !r.log.matches(prev, prevTerm) {
		r.rejectAppend(m)
		return
	}
	r.merge(entries)
	last := prev + uint64(len(entries))
	r.log.commit = max(r.log.commit, min(m.Commit, last))
	r.reply(m, &kcwpb.Message{Term: r.term, Index: last})
}

func areContiguous(prev uint64, entries []*kcwpb.Entry) bool {
	for i, e := range entries {
		if e.Index != prev+uint64(i)+1 {
			return false
		}
	}
	return true
}

// merge appends the entries that the log lacks. It first removes the log's
// entries from the first one on whose term differs.
func (r *Replica) merge(entries []*kcwpb.Entry) {
	for _, e := range entries {
		if r.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= r.log.last() {
			r.truncateAfter(e.Index - 1)
		}
		r.append(e)
	}
}

func (r *Replica) truncateAfter(index uint64) {
	r.log.truncateAfter(index)
	for r.configs[len(r.configs)-1].index > index {
		r.configs = r.configs[:len(r.configs)-1]
	}
}

func (r *Replica) rejectAppend(m *kcwpb.Message) {
	hint, hintTerm := r.log.lastWithTermAtMost(m.Index, m.LogTerm)
	r.reply(m, &kcwpb.Message{
		Term: r.term, Reject: true,
		Index: m.Index, Hint: hint, LogTerm: hintTerm,
	})
}

func (r *Replica) handleSnapshot(m *kcwpb.Message) {
	index := m.Chunk.GetIndex()
	if r.log.matches(index, m.Chunk.GetTerm()) {
		// Entries after index may have been acknowledged and must be kept.
		r.log.commit = max(r.log.commit, index)
	}
	if index <= r.log.commit {
		r.reply(m, &kcwpb.Message{Term: r.term, Index: r.log.commit})
		return
	}
	r.out.Chunks = append(r.out.Chunks, m)
}

// ChunkStored acknowledges a message of Ready.Chunks whose snapshot is not
// complete yet; next is the offset of the next chunk, in bytes.
func (r *Replica) ChunkStored(m *kcwpb.Message, next int64) {
	r.sendAfterSave(&kcwpb.Message{
		Kind: snapshotReply, To: m.From, Term: r.term, Round: m.Round,
		Index: m.Chunk.Index, Hint: uint64(next),
	})
}

// Restore acknowledges a message of Ready.Chunks that completes a snapshot, which
// must be on disk. It reports whether the driver must reset its log and its state
// machine to the snapshot, which is not the case if the log has since been
// committed up to the snapshot's index or beyond.
func (r *Replica) Restore(m *kcwpb.Message) bool {
	chunk := m.Chunk
	restored := chunk.Index > r.log.commit
	if restored {
		r.log.reset(chunk.Index, chunk.Term)
		r.configs = []config{{chunk.Index, chunk.Membership}}
		r.snapshot = snapshotMeta(chunk)
	}
	r.sendAfterSave(&kcwpb.Message{
		Kind: appendReply, To: m.From, Term: r.term, Round: m.Round, Index: r.log.commit,
	})
	return restored
}

func snapshotMeta(chunk *kcwpb.SnapshotChunk) *kcwpb.SnapshotChunk {
	return &kcwpb.SnapshotChunk{Index: chunk.Index, Term: chunk.Term, Membership: chunk.Membership}
}

// Compact must be called when a snapshot is on disk. It drops the entries that
// the snapshot covers, except for the last keep ones, and returns the index up
// to which entries are dropped.
func (r *Replica) Compact(snapshot *kcwpb.SnapshotChunk, keep uint64) uint64 {
	if r.snapshot != nil && snapshot.Index <= r.snapshot.Index {
		return r.log.base
	}
	r.snapshot = snapshotMeta(snapshot)
	if snapshot.Index > keep {
		r.log.compact(snapshot.Index - keep)
	}
	for len(r.configs) > 1 && r.configs[1].index <= r.log.base {
		r.configs = r.configs[1:]
	}
	return r.log.base
}
