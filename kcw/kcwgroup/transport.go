package kcwgroup

import (
	"errors"
	"net/netip"

	"k8s.io/klog/v2"

	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwsnapshot"
)

// chunkBytes is the size of the parts in which a snapshot is sent.
const chunkBytes = 256 << 10

// sendingElections is for how many election timeouts after its last part a
// snapshot counts as being sent: the receiver then has it and begins to take
// entries.
const sendingElections = 2

const snapshotKind = kcwpb.MessageKind_MESSAGE_KIND_SNAPSHOT

// sendAll hands messages over by receiver, in order.
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

// fillChunk adds to m the part of the snapshot that it asks for.
func (g *Group) fillChunk(m *kcwpb.Message) bool {
	chunk, err := g.store.Chunk(m.Chunk.Index, m.Chunk.Offset, chunkBytes)
	if err != nil {
		klog.ErrorS(err, "can't send a snapshot", "Group", g.cfg.Group, "To", m.To)
		g.replica.SnapshotLost(m)
		return false
	}
	m.Chunk = chunk
	until := g.cfg.Now().Add(sendingElections * g.cfg.Election)
	g.sendingUntil.Store(&until)
	return true
}

// isSending reports whether a part of a snapshot was sent lately.
func (g *Group) isSending() bool {
	until := g.sendingUntil.Load()
	return until != nil && g.cfg.Now().Before(*until)
}

// contact returns where the replica id is, nil if that is not known.
func (g *Group) contact(id uint64) *kcwpb.Member {
	for _, m := range g.replica.Membership().GetMembers() {
		if m.Id == id {
			return m
		}
	}
	return g.contacts[id]
}

// receive stores a part of a snapshot and, when that is whole, puts it in the
// place of the log.
func (g *Group) receive(m *kcwpb.Message) error {
	next, whole, err := g.store.Receive(m.Chunk)
	var full *kcwsnapshot.Error
	if errors.As(err, &full) && full.Kind == kcwsnapshot.Full {
		// The leader sends the snapshot once more.
		klog.InfoS("No room for a snapshot", "Group", g.cfg.Group, "Index", m.Chunk.Index, "Cause", err.Error())
		return nil
	}
	if err != nil {
		return fail("receive", Storage, err)
	}
	if !whole {
		g.replica.ChunkStored(m, next)
		return nil
	}
	if !g.replica.Restore(m) {
		return nil
	}
	if err := g.whenRoom(func() error { return g.wal.Reset(m.Chunk.Index, m.Chunk.Term) }); err != nil {
		return fail("receive", Storage, err)
	}
	g.applier.push(work{snapshot: m.Chunk})
	return nil
}

// compact cuts the log behind a snapshot that was written.
func (g *Group) compact(meta *kcwpb.SnapshotChunk, err error) error {
	if err != nil {
		klog.ErrorS(err, "can't write a snapshot", "Group", g.cfg.Group, "Index", meta.Index)
		return nil
	}
	base := g.replica.Compact(meta, g.cfg.KeepEntries)
	if err := g.wal.Compact(base); err != nil {
		return fail("compact", Storage, err)
	}
	return nil
}

// withLeader adds the leader's address to e, if it is known.
func (g *Group) withLeader(e *Error) *Error {
	if m := g.contact(g.replica.Leader()); m != nil {
		e.Leader = addressOf(m)
	}
	return e
}

// addressOf returns the address of a member, not valid if it is malformed.
func addressOf(m *kcwpb.Member) netip.AddrPort {
	address, err := netip.ParseAddrPort(m.GetAddress())
	if err != nil {
		klog.InfoS("Malformed address of a member", "Member", m.GetId(), "Address", m.GetAddress(), "Cause", err.Error())
	}
	return address
}

// publish renews what Status returns when the leadership has changed, and
// otherwise once in a while.
func (g *Group) publish() {
	now := g.cfg.Now()
	g.publishHeard(g.replica.LastContact())
	last := g.status.Load()
	same := last != nil && last.Term == g.replica.Term() && last.Leader == g.replica.Leader()
	if same && now.Sub(g.publishedAt) < g.cfg.Heartbeat/ticksPerHeartbeat && !now.Before(g.publishedAt) {
		return
	}
	g.publishedAt = now
	status := g.replica.Status()
	if latest := g.store.Latest(); latest != nil {
		status.Snapshot = latest.Index
	}
	if heard := g.replica.LastContact(); !heard.IsZero() {
		status.HeardAt = heard.UnixNano()
	}
	if g.founding != nil {
		status.Role = "founding"
	}
	if !same {
		klog.InfoS("leadership changed", "Group", g.cfg.Group, "Replica", status.Id,
			"Role", status.Role, "Term", status.Term, "Leader", status.LeaderAddress)
	}
	g.status.Store(status)
}

// stopStatus makes the last status show that the replica has stopped.
func (g *Group) stopStatus() {
	status := g.replica.Status()
	status.Role = "stopped"
	status.Leader, status.LeaderAddress = 0, ""
	g.status.Store(status)
}
