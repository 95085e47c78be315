package kcwgroup

import (
	"errors"
	"math/rand"

	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwreplica"
	"kingcupwick.example/kcw/kcwsnapshot"
	"kingcupwick.example/kcw/kcwwal"
)

// open loads the state in the folder, restores the machine and creates the replica.
func (g *Group) open() error {
	var err error
	g.identity, err = loadIdentity(g.cfg)
	if err != nil {
		return err
	}
	if err := g.openSnapshots(); err != nil {
		return err
	}
	if err := g.openLog(); err != nil {
		return err
	}
	entries := g.wal.Entries()
	term, vote := g.wal.State()
	if err := g.openFounding(len(entries) > 0 || g.store.Latest() != nil); err != nil {
		return err
	}
	return g.start(term, vote, entries)
}

func (g *Group) openSnapshots() error {
	path, err := g.cfg.Folder.Sub(snapshotFolder)
	if err != nil {
		return fail("open", Storage, err)
	}
	g.store, err = kcwsnapshot.Open(kcwsnapshot.Config{Path: path, WriteAt: g.cfg.WriteAt})
	if err != nil {
		return fail("open", Storage, err)
	}
	latest := g.store.Latest()
	if latest == nil {
		return nil
	}
	if err := g.store.Load(latest.Index, g.cfg.Machine.Restore); err != nil {
		return fail("open", Storage, err)
	}
	g.applier.resetTo(latest)
	return nil
}

func (g *Group) openLog() error {
	path, err := g.cfg.Folder.Sub(logFolder)
	if err != nil {
		return fail("open", Storage, err)
	}
	g.wal, err = kcwwal.Open(kcwwal.Config{
		Path: path, Owner: g.identity.ID,
		SegmentBytes: g.cfg.SegmentBytes, Existing: g.identity.Started,
		Write: g.cfg.Write, Remove: g.cfg.Remove,
	})
	if err != nil {
		return fail("open", Storage, err)
	}
	if g.identity.Started {
		return nil
	}
	g.identity.Started = true
	if err := g.cfg.Folder.WriteJSON(identityFile, g.identity); err != nil {
		return fail("open", Storage, err)
	}
	return nil
}

// openFounding reads the persisted founders. It resumes or starts the founding, unless
// hasLog is set, which means that the replica already has log entries or a snapshot.
func (g *Group) openFounding(hasLog bool) error {
	var err error
	g.founders, err = loadFounders(g.cfg.Folder)
	if err != nil {
		return err
	}
	if hasLog || (len(g.founders) == 0 && !g.cfg.Bootstrap) {
		return nil
	}
	g.founding = newFoundingState(g.self(), g.cfg.Founders, g.founders)
	return nil
}

// self returns the member record of this replica.
func (g *Group) self() *kcwpb.Member {
	return &kcwpb.Member{
		Id: g.identity.ID, Name: g.cfg.Name, Zone: g.cfg.Zone,
		Address: g.cfg.Address.String(),
	}
}

// start creates the replica from the stored state.
func (g *Group) start(term, vote uint64, entries []*kcwpb.Entry) error {
	seed := g.cfg.Seed
	if seed == 0 {
		seed = int64(g.identity.ID)
	}
	latest := g.store.Latest()
	if latest != nil && len(entries) == 0 && term < latest.Term {
		return fail("open", Storage, errors.New("the log is older than the snapshot"))
	}
	replica, err := kcwreplica.New(kcwreplica.Config{
		ID: g.identity.ID, Term: term, Vote: vote,
		Snapshot: latest, Entries: entries,
		Heartbeat: g.cfg.Heartbeat, Election: g.cfg.Election,
		Rand: rand.New(rand.NewSource(seed)), Now: g.cfg.Now(),
	})
	if err != nil {
		return fail("open", Storage, err)
	}
	g.replica = replica
	return nil
}
