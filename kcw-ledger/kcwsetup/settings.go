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
	"kingcupwick.example/kcw/kcwsettings"
)

// Settings is the INI file of a ledger replica.
type Settings struct {
	Host    Host
	Group   Group
	Founder map[string]Founder
	Keys    keySettings
	Service Service
}

// Host says where the replica runs.
type Host struct {
	Name string `setting:"required"`
	Zone string `setting:"required"`
	// Address is where replicas, routers and operators reach this one.
	Address netip.AddrPort `setting:"required"`
	// AdminAddress serves health, readiness, metrics and the state dump.
	AdminAddress netip.AddrPort `setting:"required"`
	Folder       string         `setting:"required"`
	LogLevel     string         `default:"info" setting:"oneof=error|warning|info|debug|trace"`
}

// Group configures the replicated group.
type Group struct {
	Name string `default:"ledger"`
	// Bootstrap lets a blank folder found the group with the other founders.
	Bootstrap       bool
	Heartbeat       time.Duration `default:"50ms" setting:"min=5ms,max=10s"`
	Election        time.Duration `default:"500ms" setting:"min=15ms,max=60s"`
	SnapshotEntries uint64        `default:"50000" setting:"min=100,max=10000000"`
	KeepEntries     uint64        `default:"5000" setting:"min=0,max=10000000"`
}

// Founder is one founding replica; the section's label is its name.
type Founder struct {
	Zone    string         `setting:"required"`
	Address netip.AddrPort `setting:"required"`
}

// keySettings names the files that hold the keys of the roles.
type keySettings struct {
	PeerKeyFile     string `setting:"required"`
	RouterKeyFile   string `setting:"required"`
	OperatorKeyFile string `setting:"required"`
}

// Service configures the services towards routers.
type Service struct {
	// Beat is the time between two events of a watch at the most.
	Beat time.Duration `default:"1s" setting:"min=10ms,max=10s"`
	// SilentAfter is how long heartbeats of a router may be missing before its
	// repeatable claims may be adopted through another router.
	SilentAfter time.Duration `default:"10s" setting:"min=100ms,max=10m"`
	// StopTimeout bounds a planned stop.
	StopTimeout time.Duration `default:"10s" setting:"min=100ms,max=10m"`
}

// Keys is the keys of the roles.
type Keys struct {
	Peer, Router, Operator string
}

// Load reads and checks the settings at path. The error names every problem.
func Load(path string) (*Settings, error) {
	s := &Settings{}
	if err := kcwsettings.Load(path, s); err != nil {
		return nil, err
	}
	if s.Group.Bootstrap && len(s.Founder) == 0 {
		return nil, eris.Errorf("%s: [Group] Bootstrap needs the sections [Founder \"name\"]", path)
	}
	return s, nil
}

// Founders returns the founding members by name.
func (s *Settings) Founders() []*kcwpb.Member {
	var members []*kcwpb.Member
	for name, founder := range s.Founder {
		members = append(members, &kcwpb.Member{Name: name, Zone: founder.Zone, Address: founder.Address.String()})
	}
	slices.SortFunc(members, func(a, b *kcwpb.Member) int { return strings.Compare(a.Name, b.Name) })
	return members
}

// LoadKeys reads the key files.
func (s *Settings) LoadKeys() (Keys, error) {
	var loaded Keys
	for _, file := range []struct {
		path string
		into *string
	}{
		{s.Keys.PeerKeyFile, &loaded.Peer},
		{s.Keys.RouterKeyFile, &loaded.Router},
		{s.Keys.OperatorKeyFile, &loaded.Operator},
	} {
		data, err := os.ReadFile(file.path)
		if err != nil {
			return Keys{}, eris.Wrap(err, "read a key file")
		}
		*file.into = strings.TrimSpace(string(data))
		if *file.into == "" {
			return Keys{}, eris.Errorf("key file %s is empty", file.path)
		}
	}
	return loaded, nil
}
