package main

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

// settings is the INI file of a ledger replica.
type settings struct {
	Host    hostSettings
	Group   groupSettings
	Founder map[string]founderSettings
	Keys    keySettings
	Service serviceSettings
}

// hostSettings says where the replica runs.
type hostSettings struct {
	Name string `setting:"required"`
	Zone string `setting:"required"`
	// Address is where replicas, routers and operators reach this one.
	Address netip.AddrPort `setting:"required"`
	// AdminAddress serves health, readiness, metrics and the state dump.
	AdminAddress netip.AddrPort `setting:"required"`
	Folder       string         `setting:"required"`
	LogLevel     string         `default:"info" setting:"oneof=error|warning|info|debug|trace"`
}

// groupSettings configures the replicated group.
type groupSettings struct {
	Name string `default:"ledger"`
	// Bootstrap lets a blank folder found the group with the other founders.
	Bootstrap       bool
	Heartbeat       time.Duration `default:"50ms" setting:"min=5ms,max=10s"`
	Election        time.Duration `default:"500ms" setting:"min=15ms,max=60s"`
	SnapshotEntries uint64        `default:"50000" setting:"min=100,max=10000000"`
	KeepEntries     uint64        `default:"5000" setting:"min=0,max=10000000"`
}

// founderSettings is one founding replica; the section's label is its name.
type founderSettings struct {
	Zone    string         `setting:"required"`
	Address netip.AddrPort `setting:"required"`
}

// keySettings names the files that hold the keys of the roles.
type keySettings struct {
	PeerKeyFile     string `setting:"required"`
	RouterKeyFile   string `setting:"required"`
	OperatorKeyFile string `setting:"required"`
}

// serviceSettings configures the services towards routers.
type serviceSettings struct {
	// Beat is the time between two events of a watch at the most.
	Beat time.Duration `default:"1s" setting:"min=10ms,max=10s"`
	// SilentAfter is how long heartbeats of a router may be missing before its
	// repeatable claims may be adopted through another router.
	SilentAfter time.Duration `default:"10s" setting:"min=100ms,max=10m"`
	// StopTimeout bounds a planned stop.
	StopTimeout time.Duration `default:"10s" setting:"min=100ms,max=10m"`
}

// keys is the keys of the roles.
type keys struct {
	peer, router, operator string
}

// loadSettings reads and checks the settings at path.
func loadSettings(path string) (*settings, error) {
	s := &settings{}
	if err := kcwsettings.Load(path, s); err != nil {
		return nil, err
	}
	if s.Group.Bootstrap && len(s.Founder) == 0 {
		return nil, eris.Errorf("%s: [Group] Bootstrap needs the sections [Founder \"name\"]", path)
	}
	return s, nil
}

// founders returns the founding members by name.
func (s *settings) founders() []*kcwpb.Member {
	var members []*kcwpb.Member
	for name, founder := range s.Founder {
		members = append(members, &kcwpb.Member{Name: name, Zone: founder.Zone, Address: founder.Address.String()})
	}
	slices.SortFunc(members, func(a, b *kcwpb.Member) int { return strings.Compare(a.Name, b.Name) })
	return members
}

// load reads the key files.
func (k keySettings) load() (keys, error) {
	var loaded keys
	for _, file := range []struct {
		path string
		into *string
	}{
		{k.PeerKeyFile, &loaded.peer},
		{k.RouterKeyFile, &loaded.router},
		{k.OperatorKeyFile, &loaded.operator},
	} {
		data, err := os.ReadFile(file.path)
		if err != nil {
			return keys{}, eris.Wrap(err, "read a key file")
		}
		*file.into = strings.TrimSpace(string(data))
		if *file.into == "" {
			return keys{}, eris.Errorf("key file %s is empty", file.path)
		}
	}
	return loaded, nil
}
