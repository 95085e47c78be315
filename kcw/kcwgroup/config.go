package kcwgroup

import (
	"io"
	"net/netip"
	"os"
	"time"

	"kingcupwick.example/kcw/kcwfolder"
	"kingcupwick.example/kcw/kcwpb"
)

// Defaults of Config.
const (
	defaultHeartbeat       = 50 * time.Millisecond
	defaultElection        = 500 * time.Millisecond
	defaultSnapshotEntries = 50_000
	defaultSnapshotBytes   = 64 << 20
	defaultKeepEntries     = 5_000
	defaultSegmentBytes    = 16 << 20
	defaultQueue           = 16_384
)

// machine is the state that the log is applied to. Apply and Restore are never
// called at the same time; the function that Freeze returns may run during
// later calls of Apply.
type machine interface {
	// Apply carries out one command and returns its result.
	Apply(index uint64, data []byte) []byte
	// Freeze returns, without long delay, a function that writes the state as
	// of now.
	Freeze() func(io.Writer) error
	// Restore replaces the state by one that Freeze's function wrote.
	Restore(io.Reader) error
}

// Config is what a Group needs.
type Config struct {
	// Folder holds the replica's state; the caller keeps it open until the
	// group is closed.
	Folder *kcwfolder.Folder
	// Group names the group. Messages of another group are refused.
	Group string
	// Name is the replica's host, unique in the group, and Zone its
	// availability zone.
	Name string
	Zone string
	// Address is where the other replicas and the routers reach this one.
	Address netip.AddrPort
	// Founders are all founding replicas, this one included, by name, zone and
	// address; identities are minted by each and exchanged. They matter only
	// for a blank folder with Bootstrap set.
	Founders []*kcwpb.Member
	// Bootstrap lets a replica with a blank folder found the group along with
	// the other founders, once all of them have confirmed that they are blank
	// too. Without it, and also when the group exists already, a blank folder
	// gets a fresh identity, which votes for nobody and waits until an operator
	// adds it as a learner.
	Bootstrap bool
	// Machine is the state machine: Apply, Freeze and Restore.
	Machine machine
	// Send hands messages over for another replica. It must not block; it may
	// drop, delay, repeat and reorder messages. The messages are shared and
	// must not be changed.
	Send func(to *kcwpb.Member, msgs []*kcwpb.Message)
	// Heartbeat is the time between a leader's heartbeats, 50 ms if zero.
	Heartbeat time.Duration
	// Election is the least time without a leader before an election, and the
	// longest that a leader leads without hearing from a quorum; 500 ms if
	// zero. It must be at least three heartbeats.
	Election time.Duration
	// SnapshotEntries and SnapshotBytes bound the log applied since the last
	// snapshot; 50,000 entries and 64 MiB if zero.
	SnapshotEntries uint64
	SnapshotBytes   int64
	// KeepEntries is how many entries stay in the log behind a snapshot, for
	// replicas that are a little behind; 5,000 if zero.
	KeepEntries uint64
	// SegmentBytes is the size at which a log segment is closed; 16 MiB if
	// zero.
	SegmentBytes int64
	// Write writes to a segment of the log, (*os.File).Write if nil.
	Write func(*os.File, []byte) (int, error)
	// Queue bounds the proposals waiting to be appended; 16,384 if zero.
	Queue int
	// Seed seeds the random election delays; the identity if zero.
	Seed int64
	// Now is the clock, time.Now if nil. Only differences of its readings are
	// used, by their monotonic part where there is one.
	Now func() time.Time
}

func (cfg Config) withDefaults() Config {
	if cfg.Heartbeat == 0 {
		cfg.Heartbeat = defaultHeartbeat
	}
	if cfg.Election == 0 {
		cfg.Election = defaultElection
	}
	if cfg.SnapshotEntries == 0 {
		cfg.SnapshotEntries = defaultSnapshotEntries
	}
	if cfg.SnapshotBytes == 0 {
		cfg.SnapshotBytes = defaultSnapshotBytes
	}
	if cfg.KeepEntries == 0 {
		cfg.KeepEntries = defaultKeepEntries
	}
	if cfg.SegmentBytes == 0 {
		cfg.SegmentBytes = defaultSegmentBytes
	}
	if cfg.Queue == 0 {
		cfg.Queue = defaultQueue
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return cfg
}

func (cfg Config) check() error {
	const op = "configure"
	switch {
	case cfg.Folder == nil:
		return invalid(op, "no Folder")
	case cfg.Group == "" || cfg.Name == "":
		return invalid(op, "Group and Name must not be empty")
	case !cfg.Address.IsValid():
		return invalid(op, "no Address")
	case cfg.Machine == nil || cfg.Send == nil:
		return invalid(op, "Machine and Send must be set")
	case cfg.Heartbeat < 0 || cfg.Election < 3*cfg.Heartbeat:
		return invalid(op, "Election must be at least three heartbeats")
	}
	return cfg.checkFounders(op)
}

func (cfg Config) checkFounders(op string) error {
	if !cfg.Bootstrap {
		return nil
	}
	names := map[string]bool{}
	for _, m := range cfg.Founders {
		if _, err := netip.ParseAddrPort(m.GetAddress()); err != nil {
			return invalid(op, "founder "+m.GetName()+" has no address")
		}
		if m.GetName() == "" || names[m.GetName()] {
			return invalid(op, "founders need names of their own")
		}
		names[m.GetName()] = true
	}
	if !names[cfg.Name] {
		return invalid(op, cfg.Name+" is not among the founders")
	}
	return nil
}
