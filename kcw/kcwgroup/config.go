package kcwgroup

import (
	"io"
	"net/netip"
	"os"
	"time"

	"kingcupwick.example/kcw/kcwfolder"
	"kingcupwick.example/kcw/kcwpb"
)

// Default values of Config.
const (
	defaultHeartbeat       = 50 * time.Millisecond
	defaultElection        = 500 * time.Millisecond
	defaultSnapshotEntries = 50_000
	defaultSnapshotBytes   = 64 << 20
	defaultKeepEntries     = 5_000
	defaultSegmentBytes    = 16 << 20
	defaultQueue           = 16_384
)

// machine is the state machine that the log's commands are applied to. Apply and
// Restore are never called concurrently. The function that Freeze returns may run
// during later calls of Apply.
type machine interface {
	// Apply executes one command and returns its result.
	Apply(index uint64, data []byte) []byte
	// Freeze returns a function that writes the state as of the call of Freeze. It may
	// be called again after an error. Freeze itself must return quickly, since no command
	// is applied meanwhile.
	Freeze() func(io.Writer) error
	// Restore replaces the state by one that such a function wrote.
	Restore(io.Reader) error
}

// Config holds the settings of a Group.
type Config struct {
	// Folder holds the replica's state. The caller must keep it open until the
	// group is closed.
	Folder *kcwfolder.Folder
	// Group is the name of the group. Messages of other groups are rejected.
	Group string
	// Name is the name of the replica's host, which is unique in the group, and
	// Zone its availability zone.
	Name string
	Zone string
	// Address is the address at which the other replicas and the routers reach
	// this one.
	Address netip.AddrPort
	// Founders holds the name, zone and address of all founding replicas,
	// including this one unless it may be a substitute. Each founder creates its own
	// identity and sends it to the others. A founder without a disk runs a Delegator in place
	// of a Group. Founders is used only if Bootstrap is set and the folder is empty.
	Founders []*kcwpb.Member
	// Substitute is set at a replica that is not among the founders, and that founds the
	// group in place of one without a disk if that founder's Delegator chooses it.
	Substitute bool
	// Bootstrap lets a replica with an empty folder found the group together with
	// the other founders, once all of them have confirmed that their folders were
	// empty too. If Bootstrap is not set, or the group already exists, a replica
	// with an empty folder gets a new identity, grants no votes and waits to be
	// added as a learner.
	Bootstrap bool
	// Machine is the state machine: Apply, Freeze and Restore.
	Machine machine
	// Send sends messages to another replica. It must not block; it may drop,
	// delay, repeat and reorder messages. It must not modify them, since they are
	// shared.
	Send func(to *kcwpb.Member, msgs []*kcwpb.Message)
	// Heartbeat is the time between a leader's heartbeats; the default is 50 ms.
	Heartbeat time.Duration
	// Election is the shortest time without a leader before an election, and the
	// longest time for which a leader leads without an answer from a quorum. It
	// must be at least three heartbeats; the default is 500 ms.
	Election time.Duration
	// A snapshot is taken once SnapshotEntries entries or SnapshotBytes bytes were
	// applied since the last one; the defaults are 50,000 entries and 64 MiB.
	SnapshotEntries uint64
	SnapshotBytes   int64
	// KeepEntries is the number of entries that are kept in the log although a
	// snapshot covers them, so that replicas that lag slightly need no snapshot;
	// the default is 5,000.
	KeepEntries uint64
	// SegmentBytes is the size at which a log segment is closed; the default is
	// 16 MiB.
	SegmentBytes int64
	// Write writes to a segment of the log, and Remove removes one; the defaults are
	// (*os.File).Write and os.Remove. WriteAt writes to a snapshot; the default is
	// (*os.File).WriteAt.
	Write   func(*os.File, []byte) (int, error)
	WriteAt func(file *os.File, data []byte, offset int64) (int, error)
	Remove  func(path string) error
	// Queue limits the proposals that wait to be appended, and likewise the
	// confirmations that wait to start; the default is 16,384.
	Queue int
	// Seed seeds the random election timeouts; the default is the identity.
	Seed int64
	// Now is the clock; the default is time.Now. Times are compared by their
	// monotonic part where there is one; only the status holds the wall clock time.
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
		return invalid(op, "Folder must be set")
	case cfg.Group == "" || cfg.Name == "":
		return invalid(op, "Group and Name must not be empty")
	case !cfg.Address.IsValid():
		return invalid(op, "Address must be set")
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
			return invalid(op, "founder "+m.GetName()+" has no valid address")
		}
		if m.GetName() == "" || names[m.GetName()] {
			return invalid(op, "the names of the founders must be unique and not empty")
		}
		names[m.GetName()] = true
	}
	switch {
	case cfg.Substitute && names[cfg.Name]:
		return invalid(op, cfg.Name+" is a founder and can't be a substitute")
	case !cfg.Substitute && !names[cfg.Name]:
		return invalid(op, cfg.Name+" is not among the founders")
	}
	return nil
}
