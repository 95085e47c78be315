package kcwgroup

import (
	"net/netip"

	"k8s.io/klog/v2"

	"kingcupwick.example/kcw/kcwpb"
)

// chunkBytes is the size of the chunks in which a snapshot is sent.
const chunkBytes = 256 << 10

// sendingTimeouts is the number of election timeouts for which a snapshot counts as
// being sent after its last chunk. In that time the receiver stores the snapshot and
// begins to receive entries.
const sendingTimeouts = 2

const snapshotKind = kcwpb.MessageKind_MESSAGE_KIND_SNAPSHOT

// sendAll sends messages in one batch per receiver, each in the given order.
func (g *Group) sendAll(msgs []*kcwpb.Message) {
	batches := map[uint64][]*kcwpb.Message{}
	for _, m := range msgs {
		if m.Kind == snapshotKind && !g.fillChunk(m) {
			continue
		}
		batches[m.To] = append(batches[m.To], m)
	}
	for id, batch := range batches {
		if to := g.contact(id); to != nil {
			g.cfg.Send(to, batch)
		}
	}
}

// fillChunk adds the requested chunk of the snapshot to m. It reports whether m can be
// sent.
func (g *Group) fillChunk(m *kcwpb.Message) bool {
	chunk, err := g.store.Chunk(m.Chunk.Index, m.Chunk.Offset, chunkBytes)
	if err != nil {
		klog.ErrorS(err, "can't send a snapshot", "Group", g.cfg.Group, "To", m.To)
		g.replica.SnapshotLost(m)
		return false
	}
	m.Chunk = chunk
	until := g.cfg.Now().Add(sendingTimeouts * g.cfg.Election)
	g.sendingUntil.Store(&until)
	return true
}

// isSending reports whether a snapshot counts as being sent, that is, whether a chunk
// was sent within the last sendingTimeouts election timeouts.
func (g *Group) isSending() bool {
	until := g.sendingUntil.Load()
	return until != nil && g.cfg.Now().Before(*until)
}

// contact returns the member record of the replica id, with its address, or nil if it
// is unknown.
func (g *Group) contact(id uint64) *kcwpb.Member {
	for _, m := range g.replica.Membership().GetMembers() {
		if m.Id == id {
			return m
		}
	}
	return g.contacts[id]
}

// receive stores a chunk of a snapshot. Once the snapshot is complete, receive resets
// the log to it and queues it for the applier.
func (g *Group) receive(m *kcwpb.Message) error {
	next, complete, err := g.store.Receive(m.Chunk)
	if isFull(err) {
		// The leader will send the snapshot again.
		klog.InfoS("Disk is too full for a received snapshot", "Group", g.cfg.Group, "Index", m.Chunk.Index, "Cause", err.Error())
		return nil
	}
	if err != nil {
		return fail("receive", Storage, err)
	}
	if !complete {
		g.replica.ChunkStored(m, next)
		return nil
	}
	if !g.replica.Restore(m) {
		return nil
	}
	if err := g.retryWhileFull(func() error { return g.wal.Reset(m.Chunk.Index, m.Chunk.Term) }); err != nil {
		return fail("receive", Storage, err)
	}
	g.applier.push(work{snapshot: m.Chunk})
	return nil
}

// compact removes log entries that a new snapshot covers. If err is set, the snapshot was
// not written, and compact only logs err.
func (g *Group) compact(meta *kcwpb.SnapshotChunk, err error) error {
	if err != nil {
		klog.ErrorS(err, "can't write a snapshot", "Group", g.cfg.Group, "Index", meta.Index)
		return nil
	}
	g.compactTo = max(g.compactTo, g.replica.Compact(meta, g.cfg.KeepEntries))
	return g.compactLog()
}

// withLeader sets the leader's address in e, if it is known.
func (g *Group) withLeader(e *Error) *Error {
	if m := g.contact(g.replica.Leader()); m != nil {
		e.Leader = addressOf(m)
	}
	return e
}

// addressOf returns the address of a member, or an invalid one if it is malformed.
func addressOf(m *kcwpb.Member) netip.AddrPort {
	address, err := netip.ParseAddrPort(m.GetAddress())
	if err != nil {
		klog.InfoS("Malformed address of a member", "Member", m.GetId(), "Address", m.GetAddress(), "Cause", err.Error())
	}
	return address
}

// publish updates the status that Status returns: at once if the leader or the term
// has changed, and otherwise once per tick interval.
func (g *Group) publish() {
	now := g.cfg.Now()
	g.publishContact(g.replica.LastContact())
	last := g.status.Load()
	unchanged := last != nil && last.Term == g.replica.Term() && last.Leader == g.replica.Leader()
	if unchanged && now.Sub(g.publishedAt) < g.cfg.Heartbeat/ticksPerHeartbeat && !now.Before(g.publishedAt) {
		return
	}
	g.publishedAt = now
	status := g.replica.Status()
	if latest := g.store.Latest(); latest != nil {
		status.Snapshot = latest.Index
	}
	if contact := g.replica.LastContact(); !contact.IsZero() {
		status.HeardAt = contact.UnixNano()
	}
	if g.founding != nil {
		status.Role = "founding"
	}
	if !unchanged {
		klog.InfoS("leadership changed", "Group", g.cfg.Group, "Replica", status.Id,
			"Role", status.Role, "Term", status.Term, "Leader", status.LeaderAddress)
	}
	g.status.Store(status)
}

// publishStopped publishes the final status, with the role "stopped".
func (g *Group) publishStopped() {
	status := g.replica.Status()
	status.Role = "stopped"
	status.Leader, status.LeaderAddress = 0, ""
	g.status.Store(status)
}
