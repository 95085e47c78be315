package kcwreplica

import (
	"time"

	"kingcupwick.example/kcw/kcwpb"
)

// progress is what a leader knows of one other replica.
type progress struct {
	// match is the last index known to be on the replica's disk, next the
	// index to send next.
	match uint64
	next  uint64
	// streaming means that messages are sent without waiting for replies;
	// otherwise one message at a time looks for where the logs meet.
	streaming bool
	// paused means that such a message is under way.
	paused   bool
	inflight []flight
	bytes    int
	// round is the last round that the replica has answered.
	round uint64

	// sending is the snapshot under way, offset the place in it in bytes.
	sending  *kcwpb.SnapshotChunk
	offset   int64
	resendAt time.Time
}

// flight is one message under way.
type flight struct {
	last  uint64
	bytes int
}

// restart goes back to looking for where the logs meet, from next on.
func (p *progress) restart(next uint64) {
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

// sendTo sends what the replica lacks; with heartbeat set it sends a message
// even if there is nothing to add.
func (r *Replica) sendTo(id uint64, p *progress, heartbeat bool, now time.Time) {
	if p.sending == nil && p.next <= r.log.base {
		p.sending, p.offset, p.resendAt = r.snapshot, 0, now
	}
	if p.sending != nil {
		r.sendSnapshotTo(id, p, heartbeat, now)
		return
	}
	var entries []*kcwpb.Entry
	var size int
	if !p.paused && p.bytes < r.cfg.InflightBytes {
		entries, size = r.log.page(p.next-1, r.cfg.MessageBytes)
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
	p.inflight = append(p.inflight, flight{p.next - 1, size})
}

// sendAppend sends entries that follow prev. Until the replica has accepted a
// message it is also told the members, since a new one knows nobody to reply
// to.
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

// sendSnapshotTo asks the driver to send the next part of a snapshot, if none
// is under way or its reply is overdue.
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
			Index: p.sending.Index, Term: p.sending.Term,
			Membership: p.sending.Membership, Offset: p.offset,
		},
	})
}

// SnapshotLost tells that the snapshot of a message put out can't be read any
// more; the newest one is sent instead.
func (r *Replica) SnapshotLost(m *kcwpb.Message) {
	p := r.leading.peers[m.To]
	if p == nil || p.sending == nil || p.sending.Index != m.Chunk.Index {
		return
	}
	p.sending, p.offset = r.snapshot, 0
}

// handleProgress takes a reply to an append or to a part of a snapshot.
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
	grown := m.Index > p.match
	p.acknowledge(m.Index)
	r.endSnapshot(p)
	if p.sending == nil && !p.streaming {
		p.restart(p.match + 1)
		p.streaming = true
	}
	if grown {
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

// endSnapshot goes back to sending entries once the replica has got to where
// they begin. If they begin later by now, a newer snapshot follows.
func (r *Replica) endSnapshot(p *progress) {
	switch {
	case p.sending == nil:
	case p.match >= r.log.base:
		p.sending = nil
		p.restart(p.match + 1)
	case p.match >= p.sending.Index:
		p.sending, p.offset, p.resendAt = r.snapshot, 0, time.Time{}
	}
}

func (r *Replica) handleReject(m *kcwpb.Message, p *progress, now time.Time) {
	if p.sending != nil || m.Index <= p.match {
		return
	}
	if !p.streaming && m.Index != p.next-1 {
		return
	}
	p.restart(max(r.meeting(m), p.match) + 1)
	r.sendTo(m.From, p, false, now)
}

// meeting returns the last index at which the log that a reject describes may
// match this one. It is before the log's base if only a snapshot helps.
func (r *Replica) meeting(m *kcwpb.Message) uint64 {
	if m.Hint < r.log.base {
		return m.Hint
	}
	meet, term := r.log.lastNotAbove(m.Hint, m.LogTerm)
	if term > m.LogTerm {
		return meet - 1
	}
	return meet
}

func (r *Replica) handleSnapshotReply(m *kcwpb.Message, p *progress, now time.Time) {
	if p.sending == nil || p.sending.Index != m.Index {
		return
	}
	p.offset = int64(m.Hint)
	p.resendAt = now
	r.sendTo(m.From, p, false, now)
}
