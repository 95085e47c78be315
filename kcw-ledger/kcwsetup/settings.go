// Package kcwsetup holds the settings file of a ledger replica.
package kcwsetup

import (
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwserve"
	"kingcupwick.example/kcw/kcwsettings"
)

// Settings holds the contents of a ledger replica's INI file.
type Settings struct {
	Host    Host
	Group   Group
	Founder map[string]Founder
	Keys    keySettings
	Service Service
}

// Host identifies the replica and the host on which it runs.
type Host struct {
	Name string `setting:"required"`
	Zone string `setting:"required"`
	// Address accepts connections from other replicas, routers and operators.
	Address netip.AddrPort `setting:"required"`
	// AdminAddress serves health, readiness, metrics and the state dump.
	AdminAddress netip.AddrPort `setting:"required"`
	// Folder holds the replica's state.
	Folder   string `setting:"required"`
	LogLevel string `default:"info" setting:"oneof=error|warning|info|debug|trace"`
	// MemoryMB is the memory that the process may use, in MiB. Zero selects half of the machine's
	// memory. The bounds of clients are fractions of it.
	MemoryMB float64 `default:"0" setting:"min=0,max=1048576"`
	// MaxDescriptors is the number of files that the process may have open, sockets included.
	// Zero selects the limit that the process has.
	MaxDescriptors int `default:"0" setting:"min=0,max=10000000"`
}

// Group configures the replicated group.
type Group struct {
	Name string `default:"ledger"`
	// Bootstrap allows a replica with an empty folder to create the group
	// together with the other founders.
	Bootstrap bool
	// Heartbeat is the time between a leader's heartbeats.
	Heartbeat time.Duration `default:"50ms" setting:"min=5ms,max=10s"`
	// Election is the shortest time without a leader before an election, and the
	// longest time for which a leader leads without an answer from a quorum. It
	// must be at least three heartbeats.
	Election time.Duration `default:"500ms" setting:"min=15ms,max=60s"`
	// SnapshotEntries is the number of entries after which a snapshot is taken. One
	// is also taken after 64 MiB of entries.
	SnapshotEntries uint64 `default:"50000" setting:"min=100,max=10000000"`
	// KeepEntries is the number of entries that are kept in the log although a
	// snapshot covers them, so that replicas that lag slightly need no snapshot.
	KeepEntries uint64 `default:"5000" setting:"min=0,max=10000000"`
}

// Founder is one founding replica. The label of its section is its name.
type Founder struct {
	Zone    string         `setting:"required"`
	Address netip.AddrPort `setting:"required"`
}

// keySettings holds the paths of the key files, one for each role.
type keySettings struct {
	PeerKeyFile     string `setting:"required"`
	RouterKeyFile   string `setting:"required"`
	OperatorKeyFile string `setting:"required"`
}

// Service configures the replica's RPC service.
type Service struct {
	// Beat is the maximum time between two events of a watch stream.
	Beat time.Duration `default:"1s" setting:"min=10ms,max=10s"`
	// SilentAfter is the time without heartbeats after which another router may
	// adopt the repeatable claims of a router.
	SilentAfter time.Duration `default:"10s" setting:"min=100ms,max=10m"`
	// StopTimeout bounds the duration of a graceful shutdown.
	StopTimeout time.Duration `default:"10s" setting:"min=100ms,max=10m"`
}

// Keys holds the keys by which replicas, routers and operators authenticate.
type Keys struct {
	Peer, Router, Operator string
}

// Load reads and checks the settings at path. The error names every problem,
// but Bootstrap without founders only if there is no other.
func Load(path string) (*Settings, error) {
	s := &Settings{}
	if err := kcwsettings.Load(path, s); err != nil {
		return nil, err
	}
	if s.Group.Bootstrap && len(s.Founder) == 0 {
		return nil, eris.Errorf("%s: [Group] Bootstrap needs the sections [Founder \"name\"]", path)
	}
	if megabytes := s.Host.MemoryMB; megabytes != 0 && megabytes < minMemoryMB {
		return nil, eris.Errorf("%s: [Host] MemoryMB = %v is too little: messages of replicas need at least %d", path, megabytes, minMemoryMB)
	}
	return s, nil
}

// minMemoryMB is the least memory in MiB whose part for messages holds a batch of log entries.
const minMemoryMB = 48

// Process returns what the process may use.
func (s *Settings) Process() kcwserve.Host {
	return kcwserve.Host{MemoryMB: s.Host.MemoryMB, MaxDescriptors: s.Host.MaxDescriptors}
}

// Founders returns the founding members, sorted by name.
func (s *Settings) Founders() []*kcwpb.Member {
	var members []*kcwpb.Member
	for name, founder := range s.Founder {
		members = append(members, &kcwpb.Member{Name: name, Zone: founder.Zone, Address: founder.Address.String()})
	}
	slices.SortFunc(members, func(a, b *kcwpb.Member) int { return strings.Compare(a.Name, b.Name) })
	return members
}

// LoadKeys reads the key files. It returns an error if a file can't be read or is
// empty.
func (s *Settings) LoadKeys() (Keys, error) {
	var loaded Keys
	for _, file := range []struct {
		path   string
		target *string
	}{
		{s.Keys.PeerKeyFile, &loaded.Peer},
		{s.Keys.RouterKeyFile, &loaded.Router},
		{s.Keys.OperatorKeyFile, &loaded.Operator},
	} {
		data, err := os.ReadFile(file.path)
		if err != nil {
			return Keys{}, eris.Wrap(err, "read a key file")
		}
		*file.target = strings.TrimSpace(string(data))
		if *file.target == "" {
			return Keys{}, eris.Errorf("key file %s is empty", file.path)
		}
	}
	return loaded, nil
}
