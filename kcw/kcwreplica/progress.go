package kcwreplica

import (
	"time"

	"kingcupwick.example/kcw/kcwpb"
)

// progress is the leader's record of one other replica.
type progress struct {
	// match is the last index that the replica has acknowledged to be on its
	// disk, next the index to send next.
	match uint64
	next  uint64
	// streaming means that messages are sent without waiting for replies.
	// Otherwise the leader probes, one message at a time, for the last index at
	// which the logs match.
	streaming bool
	// paused means that a probe is awaiting its reply.
	paused bool
	// inflight are the messages sent and not yet acknowledged, and bytes is
	// their total size.
	inflight []inflightMessage
	bytes    int
	// round is the last round that the replica has answered.
	round uint64

	// sendingSnapshot is the snapshot being sent, nil if there is none;
	// snapshotOffset is the offset of its next chunk, in bytes, and resendAt when
	// that chunk may be sent again.
	sendingSnapshot *kcwpb.SnapshotChunk
	snapshotOffset  int64
	resendAt        time.Time
}

// inflightMessage is a message that was sent and is not yet acknowledged.
type inflightMessage struct {
	last  uint64
	bytes int
}

// probeFrom stops streaming and starts to probe for the last matching index, with
// next as the index to send next.
func (p *progress) probeFrom(next uint64) {
	p.next = next
	p.streaming = false
	p.paused = false
	p.inflight = nil
	p.bytes = 0
}

func (p *progress) acknowledge(index uint64) {
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	for len(p.inflight) > 0 && p.inflight[0].last <= p.match {
		p.bytes -= p.inflight[0].bytes
		p.inflight = p.inflight[1:]
	}
}

// sendTo sends the replica the entries or the snapshot that it lacks. If heartbeat
// is set, it sends a message even if the replica lacks nothing.
func (r *Replica) sendTo(id uint64, p *progress, heartbeat bool, now time.Time) {
	if p.sendingSnapshot == nil && p.next <= r.log.base {
		p.sendingSnapshot, p.snapshotOffset, p.resendAt = r.snapshot, 0, now
	}
	if p.sendingSnapshot != nil {
		r.sendSnapshotTo(id, p, heartbeat, now)
		return
	}
	var entries []*kcwpb.Entry
	var size int
	if !p.paused && p.bytes < r.cfg.InflightBytes {
		entries, size = r.log.entriesAfter(p.next-1, r.cfg.MessageBytes)
	}
	if len(entries) == 0 && !heartbeat {
		return
	}
	r.sendAppend(id, p, p.next-1, entries)
	if len(entries) == 0 {
		return
	}
	if !p.streaming {
		p.paused = true
		return
	}
	p.next += uint64(len(entries))
	p.bytes += size
	p.inflight = append(p.inflight, inflightMessage{p.next - 1, size})
}

// sendAppend sends entries that follow index prev. Until the replica has accepted
// a message, each message also holds the membership, since a new replica has no
// other source for the leader's address.
func (r *Replica) sendAppend(id uint64, p *progress, prev uint64, entries []*kcwpb.Entry) {
	term, _ := r.log.termAt(prev)
	m := &kcwpb.Message{
		Kind: appendEntries, To: id, Term: r.term, Round: r.leading.round,
		Index: prev, LogTerm: term, Commit: r.log.commit, Entries: entries,
	}
	if !p.streaming {
		m.Membership = r.Membership()
	}
	r.send(m)
}

// sendSnapshotTo asks the driver to send the next chunk of a snapshot, unless a
// chunk was sent less than an election timeout ago and its reply is outstanding.
func (r *Replica) sendSnapshotTo(id uint64, p *progress, heartbeat bool, now time.Time) {
	if heartbeat {
		r.sendAppend(id, p, r.log.base, nil)
	}
	if now.Before(p.resendAt) {
		return
	}
	p.resendAt = now.Add(r.cfg.Election)
	r.send(&kcwpb.Message{
		Kind: snapshotPart, To: id, Term: r.term, Round: r.leading.round,
		Chunk: &kcwpb.SnapshotChunk{
			Index: p.sendingSnapshot.Index, Term: p.sendingSnapshot.Term,
			Membership: p.sendingSnapshot.Membership, Offset: p.snapshotOffset,
		},
	})
}

// SnapshotLost must be called when the snapshot that the outgoing message m refers
// to can no longer be read; the newest one is sent instead.
func (r *Replica) SnapshotLost(m *kcwpb.Message) {
	p := r.leading.peers[m.To]
	if p == nil || p.sendingSnapshot == nil || p.sendingSnapshot.Index != m.Chunk.Index {
		return
	}
	p.sendingSnapshot, p.snapshotOffset = r.snapshot, 0
}

// handleProgress handles a reply to appended entries or to a snapshot chunk.
func (r *Replica) handleProgress(m *kcwpb.Message, now time.Time) {
	p := r.leading.peers[m.From]
	if p == nil {
		return
	}
	if m.Round > p.round && m.Round <= r.leading.round {
		p.round = m.Round
		r.confirmRounds()
	}
	switch {
	case m.Kind == snapshotReply:
		r.handleSnapshotReply(m, p, now)
	case m.Reject:
		r.handleReject(m, p, now)
	default:
		r.handleAccept(m, p, now)
	}
}

func (r *Replica) handleAccept(m *kcwpb.Message, p *progress, now time.Time) {
	advanced := m.Index > p.match
	p.acknowledge(m.Index)
	r.endSnapshot(p)
	if p.sendingSnapshot == nil && !p.streaming {
		p.probeFrom(p.match + 1)
		p.streaming = true
	}
	if advanced {
		r.advanceCommit(now)
	}
	if r.role != leader {
		return
	}
	r.sendTo(m.From, p, false, now)
	if r.leading.transferTo == m.From {
		r.tryTransfer()
	}
}

// endSnapshot returns to sending entries once the replica has reached the index
// before the leader's first entry. If the log was compacted past the snapshot in the
// meantime, the newest snapshot is sent next.
func (r *Replica) endSnapshot(p *progress) {
	switch {
	case p.sendingSnapshot == nil:
	case p.match >= r.log.base:
		p.sendingSnapshot = nil
		p.probeFrom(p.match + 1)
	case p.match >= p.sendingSnapshot.Index:
		p.sendingSnapshot, p.snapshotOffset, p.resendAt = r.snapshot, 0, time.Time{}
	}
}

func (r *Replica) handleReject(m *kcwpb.Message, p *progress, now time.Time) {
	if p.sendingSnapshot != nil || m.Index <= p.match {
		return
	}
	if !p.streaming && m.Index != p.next-1 {
		return
	}
	p.probeFrom(max(r.lastPossibleMatch(m), p.match) + 1)
	r.sendTo(m.From, p, false, now)
}

// lastPossibleMatch returns the last index at which the log of the rejecting
// replica may match this one. The index is below the log's base if the replica
// needs a snapshot.
func (r *Replica) lastPossibleMatch(m *kcwpb.Message) uint64 {
	if m.Hint < r.log.base {
		return m.Hint
	}
	index, term := r.log.lastWithTermAtMost(m.Hint, m.LogTerm)
	if term > m.LogTerm {
		return index - 1
	}
	return index
}

func (r *Replica) handleSnapshotReply(m *kcwpb.Message, p *progress, now time.Time) {
	if p.sendingSnapshot == nil || p.sendingSnapshot.Index != m.Index {
		return
	}
	p.snapshotOffset = int64(m.Hint)
	p.resendAt = now
	r.sendTo(m.From, p, false, now)
}
