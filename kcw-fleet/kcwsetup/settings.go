// Package kcwsetup holds the settings files of the daemons of a document-driven
// fleet.
package kcwsetup

import (
	"net/netip"
	"runtime/debug"
	"time"

	"kingcupwick.example/kcw/kcwsettings"
)

// Router is the INI file of a router.
type Router struct {
	Host     RouterHost
	Core     Core
	Stop     Stop
	Grants   Grants
	Retry    Retry
	Limits   Limits
	Upstream Upstream
	List     List
}

// RouterHost says where a router runs.
type RouterHost struct {
	// Name is the router's own name, the same at each start.
	Name string `setting:"required"`
	Zone string `setting:"required"`
	// Address is where callers reach the router. AdminAddress serves health,
	// readiness, metrics and the state dump.
	Address      netip.AddrPort `setting:"required"`
	AdminAddress netip.AddrPort `setting:"required"`
	LogLevel     string         `default:"info" setting:"oneof=error|warning|info|debug|trace"`
	// MemoryMB is the memory of the host's share that one process may use, in
	// MiB; the garbage collector keeps below nine tenths of it.
	MemoryMB float64 `default:"256" setting:"min=16,max=1048576"`
	// LinkMbps is the rate of the host's network link in Mbit/s, zero if it has no
	// bound. A router whose link is nearly full takes no new callers.
	LinkMbps float64 `default:"0" setting:"min=0,max=10000000"`
	// Folder is the router's data folder, empty on a host without a disk. What the
	// router keeps there bounds the tokens that are lost with it.
	Folder string
	// LendPort is where the router lends tokens to others, on the host of
	// Address. Zero stands for the port after that of the core.
	LendPort uint16
}

// Core says how the core is found and how often routers report to it.
type Core struct {
	// Seeds are the addresses of some hosts of the core; their ports are not
	// used. Port is where the core answers routers and its own members.
	Seeds []netip.AddrPort `setting:"required"`
	Port  uint16           `setting:"required"`
	// Interval is the time between two reports: four lie within the time in
	// which a configuration is to be in force.
	Interval time.Duration `default:"250ms" setting:"min=10ms,max=1m"`
	// Timeout bounds one call; a slow disk of the core takes about half.
	Timeout time.Duration `default:"600ms" setting:"min=10ms,max=1m"`
}

// Stop bounds a planned stop.
type Stop struct {
	// Grace is the time from the signal to the end of the process.
	Grace time.Duration `default:"8s" setting:"min=1s,max=24h"`
	// Notice is how long the router takes requests at least while it is not
	// ready: the balancer asks each second and acts on the second miss.
	Notice time.Duration `default:"2500ms" setting:"min=0s,max=1h"`
}

// Grants says what a router holds of prepaid tokens.
type Grants struct {
	// Endurance is how long the router should serve its demand by itself.
	Endurance time.Duration `default:"10s" setting:"min=0s,max=24h"`
	// Active is how long it may do so at once. The rest becomes active while the core is
	// silent, in proportion to the time and all after ActivateAfter. What was not active
	// comes back to the team if the router is lost.
	Active        time.Duration `default:"2s" setting:"min=0s,max=24h"`
	ActivateAfter time.Duration `default:"10s" setting:"min=0s,max=24h"`
	// Memory is the time over which demand is averaged, and IdleAfter how long
	// a team without requests keeps its tokens here.
	Memory    time.Duration `default:"5s" setting:"min=1s,max=1h"`
	IdleAfter time.Duration `default:"20s" setting:"min=1s,max=24h"`
	// AskTimeout bounds the wait of one request for tokens, two calls of the
	// core under normal load.
	AskTimeout time.Duration `default:"200ms" setting:"min=1ms,max=1m"`
	// LendTimeout bounds the call of one other router for tokens, some dozens of
	// round trips between zones.
	LendTimeout time.Duration `default:"60ms" setting:"min=1ms,max=1m"`
	// Fresh is how old the core's state of a budget may be to refuse a request
	// permanently, three reports.
	Fresh time.Duration `default:"750ms" setting:"min=10ms,max=1m"`
}

// Retry bounds attempts beyond the first, over the whole fleet.
type Retry struct {
	// Ratio is their part of the first attempts, and Slack the number on top,
	// which the routers share.
	Ratio float64 `default:"0.1" setting:"min=0.001,max=1"`
	Slack float64 `default:"50" setting:"min=0,max=1000000"`
}

// Limits bounds what a router holds.
type Limits struct {
	MaxBodyBytes   int64 `default:"4194304" setting:"min=1024,max=1073741824"`
	MaxAnswerBytes int64 `default:"4194304" setting:"min=1024,max=1073741824"`
	MaxEventBytes  int   `default:"262144" setting:"min=1024,max=1073741824"`
	MaxHeaderBytes int   `default:"65536" setting:"min=1024,max=16777216"`
	// HeaderTimeout bounds the wait for a request's header, IdleTimeout how
	// long a caller's connection is kept without one.
	HeaderTimeout time.Duration `default:"10s" setting:"min=100ms,max=1h"`
	IdleTimeout   time.Duration `default:"75s" setting:"min=1s,max=24h"`
}

// Upstream says how upstreams are used and chosen.
type Upstream struct {
	// DialTimeout bounds the opening of a connection, a few hundred round
	// trips between zones.
	DialTimeout time.Duration `default:"300ms" setting:"min=1ms,max=1m"`
	// SilenceTimeout is how long an upstream may be silent on all connections while
	// requests wait there, and how long sent bytes may stay unacknowledged.
	SilenceTimeout time.Duration `default:"1s" setting:"min=10ms,max=10m"`
	// Patience is the pause between two looks at whether a waited-for upstream
	// is silent.
	Patience time.Duration `default:"500ms" setting:"min=10ms,max=10m"`
	// IdleTimeout is how long an unused connection is kept, and UsedWithin how
	// lately one must have been used to carry a request that may not repeat.
	IdleTimeout time.Duration `default:"8s" setting:"min=100ms,max=1h"`
	UsedWithin  time.Duration `default:"500ms" setting:"min=0s,max=1m"`
	// MaxIdle bounds the unused connections kept to one upstream.
	MaxIdle int `default:"12" setting:"min=0,max=10000"`
	// DialPause is how long an upstream that can't be connected is passed over.
	DialPause time.Duration `default:"500ms" setting:"min=1ms,max=1m"`
	// LoadFactor and LoadMargin bound the load of a prefix's home, ZoneMargin
	// the preference for the own zone, as fractions of the capacity.
	LoadFactor float64 `default:"1.25" setting:"min=1,max=10"`
	LoadMargin float64 `default:"0.05" setting:"min=0,max=10"`
	ZoneMargin float64 `default:"0.1" setting:"min=0,max=10"`
	// LoadHalfLife is the age at which an upstream's load report counts
	// half.
	LoadHalfLife time.Duration `default:"1s" setting:"min=1ms,max=1m"`
	// PromptWeight is the load, in requests, of a thousand prompt tokens on
	// their way.
	PromptWeight float64 `default:"2" setting:"min=0,max=1000"`
}

// List says how the list of upstreams is read.
type List struct {
	Address netip.AddrPort `setting:"required"`
	// Interval is the time between two readings by the core's leader of a list that
	// changes, and twice that for one that does not; and by all routers together that get no list
	// from the core.
	Interval time.Duration `default:"500ms" setting:"min=10ms,max=1h"`
	// StaleAfter is how old the list may get before a router looks for a later one
	// elsewhere.
	StaleAfter time.Duration `default:"2500ms" setting:"min=10ms,max=1h"`
	Timeout    time.Duration `default:"500ms" setting:"min=10ms,max=1m"`
}

// Control is the INI file of a member of the core.
type Control struct {
	Host  ControlHost
	Group Group
	List  List
	Stop  Stop
}

// ControlHost says where a member of the core runs.
type ControlHost struct {
	Name string `setting:"required"`
	Zone string `setting:"required"`
	// Address is where operators reach the member; the port is the same at all
	// members. PeerAddress is for other members and for routers, AdminAddress
	// serves health, readiness, metrics and the state dump.
	Address      netip.AddrPort `setting:"required"`
	PeerAddress  netip.AddrPort `setting:"required"`
	AdminAddress netip.AddrPort `setting:"required"`
	// Folder holds the log. A host without a disk gives none and only sends
	// operators and routers to the leader.
	Folder   string
	LogLevel string  `default:"info" setting:"oneof=error|warning|info|debug|trace"`
	MemoryMB float64 `default:"256" setting:"min=16,max=1048576"`
	// LinkMbps is the rate of the host's network link in Mbit/s, zero if it has no
	// bound. Documents are sent to routers at a part of it.
	LinkMbps float64 `default:"0" setting:"min=0,max=10000000"`
}

// Group configures the replicated log.
type Group struct {
	// Seeds are the founders if Bootstrap is set, and otherwise where the
	// others are looked for; their ports are not used.
	Seeds     []netip.AddrPort `setting:"required"`
	Bootstrap bool
	// Losses is the number of members that may be lost at once; one more than
	// twice as many keep their votes even if some are silent.
	Losses int `default:"1" setting:"min=0,max=49"`
	// Heartbeat and Election are those of the log: an election ends well
	// within the time in which an operator expects an answer.
	Heartbeat time.Duration `default:"100ms" setting:"min=5ms,max=10s"`
	Election  time.Duration `default:"800ms" setting:"min=15ms,max=60s"`
	// SnapshotEntries, SnapshotBytes and KeepEntries bound the log on small
	// disks.
	SnapshotEntries uint64 `default:"2000" setting:"min=100,max=10000000"`
	SnapshotBytes   int64  `default:"4194304" setting:"min=65536,max=1073741824"`
	KeepEntries     uint64 `default:"1000" setting:"min=0,max=10000000"`
	SegmentBytes    int64  `default:"1048576" setting:"min=65536,max=1073741824"`
	// RemoveAfter is how long a member must be silent to be removed where
	// enough others vote.
	RemoveAfter time.Duration `default:"10s" setting:"min=1s,max=24h"`
	// MaxDocumentBytes bounds a configuration document.
	MaxDocumentBytes int64 `default:"4194304" setting:"min=1024,max=67108864"`
	// PutTimeout bounds the wait for the commit of a document, below the time
	// after which operators turn to another member.
	PutTimeout time.Duration `default:"900ms" setting:"min=10ms,max=1m"`
}

// LoadRouter reads and checks the settings of a router at path. The error names
// every problem.
func LoadRouter(path string) (*Router, error) {
	s := &Router{}
	if err := kcwsettings.Load(path, s); err != nil {
		return nil, err
	}
	return s, nil
}

// LoadControl reads and checks the settings of a member of the core at path. The
// error names every problem.
func LoadControl(path string) (*Control, error) {
	s := &Control{}
	if err := kcwsettings.Load(path, s); err != nil {
		return nil, err
	}
	return s, nil
}

// Addresses returns where the seeds of the core answer routers.
func (c *Core) Addresses() []netip.AddrPort { return withPort(c.Seeds, c.Port) }

// LendAddress returns where the router lends tokens.
func (s *Router) LendAddress() netip.AddrPort {
	port := s.Host.LendPort
	if port == 0 {
		port = s.Core.Port + 1
	}
	return netip.AddrPortFrom(s.Host.Address.Addr(), port)
}

// PeerAddresses returns where the seeds answer other members.
func (s *Control) PeerAddresses() []netip.AddrPort {
	return withPort(s.Group.Seeds, s.Host.PeerAddress.Port())
}

func withPort(hosts []netip.AddrPort, port uint16) []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, host := range hosts {
		addresses = append(addresses, netip.AddrPortFrom(host.Addr(), port))
	}
	return addresses
}

// BytesPerSecond returns the rate of a link that is given in Mbit/s.
func BytesPerSecond(mbps float64) float64 {
	const bytesPerMbit = 1e6 / 8
	return mbps * bytesPerMbit
}

// memoryPart is the fraction of a process's memory that the garbage collector
// keeps below.
const memoryPart = 0.9

// LimitMemory makes the garbage collector keep below a process's memory, given in
// MiB.
func LimitMemory(megabytes float64) {
	const megabyte = 1 << 20
	debug.SetMemoryLimit(int64(memoryPart * megabytes * megabyte))
}
