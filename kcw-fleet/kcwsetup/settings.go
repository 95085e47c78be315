// Package kcwsetup defines and loads the settings files of the daemons of a
// document-driven fleet.
package kcwsetup

import (
	"net/netip"
	"time"

	"k8s.io/klog/v2"

	"kingcupwick.example/kcw/kcwcold"
	"kingcupwick.example/kcw/kcwdetector"
	"kingcupwick.example/kcw/kcwkeyring"
	"kingcupwick.example/kcw/kcwsettings"
)

// Router holds the settings in the INI file of a router.
type Router struct {
	Host     RouterHost
	Core     Core
	Stop     Stop
	Grants   Grants
	Retry    Retry
	Limits   Limits
	Upstream Upstream
	List     List
	Parts    Parts
	Cold     Cold
}

// RouterHost holds a router's name, addresses and host resources.
type RouterHost struct {
	// Name is the router's own name. It is the same at each start.
	Name string `setting:"required"`
	Zone string `setting:"required"`
	// Address is where callers reach the router. AdminAddress serves health,
	// readiness, metrics and the state dump.
	Address      netip.AddrPort `setting:"required"`
	AdminAddress netip.AddrPort `setting:"required"`
	LogLevel     string         `default:"info" setting:"oneof=error|warning|info|debug|trace"`
	// MemoryMB is the memory that the process may use, in MiB. The garbage collector's
	// limit is nine tenths of it, and at least 32 MiB less.
	MemoryMB float64 `default:"256" setting:"min=16,max=1048576"`
	// LinkMbps is the rate of the host's network link in Mbit/s, zero if it is
	// unlimited. A router whose link is nearly full is not ready for new callers.
	LinkMbps float64 `default:"0" setting:"min=0,max=10000000"`
	// Cores is the share of a processor core that the process may use, zero if it is not
	// known. From it a router sees early that its processor is nearly full.
	Cores float64 `default:"0" setting:"min=0,max=1024"`
	// MaxDescriptors is the number of files that the process may have open, sockets included.
	// Zero selects the limit that the process has. Clients get none of the last 200.
	MaxDescriptors int `default:"0" setting:"min=0,max=10000000"`
	// Folder is the router's data folder, empty on a host without a disk. The record that
	// the router stores there bounds the tokens that are lost if the host fails.
	Folder string
	// LendPort is the port at which the router serves other routers, on the host of
	// Address. Zero selects the port after Core.Port.
	LendPort uint16
	// OperatorKeyFile holds the key for the state dump. If there is no such file, the process
	// creates it with a random key. If the setting is empty, the dump is refused.
	OperatorKeyFile string
}

// Core configures how a router finds the core and how often it reports.
type Core struct {
	// Seeds are the addresses of some hosts of the core; their ports are not used. Port
	// is the core's port for routers and its own members.
	Seeds []netip.AddrPort `setting:"required"`
	Port  uint16           `setting:"required"`
	// Interval is the mean time between two reports. By default, four reports fit into
	// the time within which a configuration must be in force.
	Interval time.Duration `default:"250ms" setting:"min=10ms,max=1m"`
	// Timeout bounds one call. A slow disk of the core takes about half of it.
	Timeout time.Duration `default:"600ms" setting:"min=10ms,max=1m"`
}

// Stop configures a planned stop.
type Stop struct {
	// Grace is the time from the signal to the end of the process.
	Grace time.Duration `default:"8s" setting:"min=1s,max=24h"`
	// Notice is the minimum time for which a router that stops listens while it is not
	// ready. The balancer checks readiness every second and acts on the second
	// failure.
	Notice time.Duration `default:"2500ms" setting:"min=0s,max=1h"`
}

// Grants configures the prepaid tokens that a router holds.
type Grants struct {
	// Endurance is how long the tokens held should cover the router's demand.
	Endurance time.Duration `default:"10s" setting:"min=0s,max=24h"`
	// Active is the part of Endurance whose tokens are active, that is usable, at once.
	// While the core is silent, the rest becomes active in proportion to the elapsed time,
	// all of it after ActivateAfter. If the router is lost, tokens that were not active
	// return to the team.
	Active        time.Duration `default:"2s" setting:"min=0s,max=24h"`
	ActivateAfter time.Duration `default:"10s" setting:"min=0s,max=24h"`
	// Memory is the time over which demand is averaged. IdleAfter is how long the router
	// holds the tokens of a team that sends no requests.
	Memory    time.Duration `default:"5s" setting:"min=1s,max=1h"`
	IdleAfter time.Duration `default:"20s" setting:"min=1s,max=24h"`
	// AskTimeout bounds how long one request waits for tokens from the core before it asks
	// other routers. It is two calls of the core under normal load. If that fails and the
	// core answers, the request waits for further reports, up to half of its time.
	AskTimeout time.Duration `default:"200ms" setting:"min=1ms,max=1m"`
	// LendTimeout bounds a call to another router. It is some dozens of round trips
	// between zones.
	LendTimeout time.Duration `default:"60ms" setting:"min=1ms,max=1m"`
	// Fresh is the maximum age of a budget reported by the core at which the router still
	// refuses a request permanently. It spans three reports.
	Fresh time.Duration `default:"750ms" setting:"min=10ms,max=1m"`
}

// Retry bounds the retries of the whole fleet.
type Retry struct {
	// Ratio bounds the retries as a fraction of the first attempts. Slack is the number
	// allowed on top of that, which the routers share.
	Ratio float64 `default:"0.1" setting:"min=0.001,max=1"`
	Slack float64 `default:"50" setting:"min=0,max=1000000"`
}

// Limits bounds the sizes of requests and answers, and the time that callers may take.
type Limits struct {
	MaxBodyBytes   int64 `default:"4194304" setting:"min=1024,max=1073741824"`
	MaxAnswerBytes int64 `default:"4194304" setting:"min=1024,max=1073741824"`
	MaxEventBytes  int   `default:"262144" setting:"min=1024,max=1073741824"`
	MaxHeaderBytes int   `default:"65536" setting:"min=1024,max=16777216"`
	// HeaderTimeout bounds the wait for a request's header. IdleTimeout is how long a
	// caller's idle connection is kept.
	HeaderTimeout time.Duration `default:"10s" setting:"min=100ms,max=1h"`
	IdleTimeout   time.Duration `default:"75s" setting:"min=1s,max=24h"`
}

// Upstream configures the choice of upstreams and the connections to them.
type Upstream struct {
	// DialTimeout bounds the opening of a connection. It is a few hundred round trips
	// between zones.
	DialTimeout time.Duration `default:"300ms" setting:"min=1ms,max=1m"`
	// SilenceTimeout is how long an upstream with waiting requests may be silent on all
	// connections, or may acknowledge nothing on the connection of a request, before the
	// request is sent to another one too if it may be repeated. A queue and a slowness that
	// upstreams state extend it, to three times as long at most.
	SilenceTimeout time.Duration `default:"1s" setting:"min=10ms,max=10m"`
	// AckTimeout is how long sent bytes may stay unacknowledged, or an upstream may accept
	// none, before the connection is closed.
	AckTimeout time.Duration `default:"3s" setting:"min=10ms,max=10m"`
	// Patience is the time between two checks of whether an upstream with waiting
	// requests is silent.
	Patience time.Duration `default:"500ms" setting:"min=10ms,max=10m"`
	// IdleTimeout is how long an idle connection is kept. UsedWithin is how recently a
	// connection must have been used to carry a request that must not run twice.
	IdleTimeout time.Duration `default:"8s" setting:"min=100ms,max=1h"`
	UsedWithin  time.Duration `default:"500ms" setting:"min=0s,max=1m"`
	// MaxIdle bounds the idle connections kept to one upstream.
	MaxIdle int `default:"12" setting:"min=0,max=10000"`
	// DialPause is how long an upstream is skipped after a failed dial.
	DialPause time.Duration `default:"500ms" setting:"min=1ms,max=1m"`
	// Requests with the same prompt prefix go to the same upstream while its load is at
	// most LoadFactor times the mean load plus LoadMargin. ZoneMargin is how much more
	// load an upstream in the router's own zone may have and still be preferred. Loads are
	// fractions of the capacity.
	LoadFactor float64 `default:"1.25" setting:"min=1,max=10"`
	LoadMargin float64 `default:"0.05" setting:"min=0,max=10"`
	ZoneMargin float64 `default:"0.1" setting:"min=0,max=10"`
	// SpeedLoadMargin replaces LoadMargin for services whose upstreams state their slowness.
	// Their loads vary more, as they are shared by all routers, and a home that is left has its
	// prompts read again elsewhere.
	SpeedLoadMargin float64 `default:"0.3" setting:"min=0,max=10"`
	// LoadHalfLife is the age at which the weight of an upstream's load report has
	// halved.
	LoadHalfLife time.Duration `default:"1s" setting:"min=1ms,max=1m"`
	// PromptWeight is the load, in requests, of a thousand prompt tokens in flight.
	PromptWeight float64 `default:"2" setting:"min=0,max=1000"`
}

// List configures the readings of the list of upstreams.
type List struct {
	Address netip.AddrPort `setting:"required"`
	// Interval is the time between two readings by the core's leader while the list
	// changes; it is doubled while the list does not change. All routers that get no list
	// from the core also share one reading per Interval.
	Interval time.Duration `default:"500ms" setting:"min=10ms,max=1h"`
	// StaleAfter is the age of the list at which a router requests a later one from other
	// routers or the platform.
	StaleAfter time.Duration `default:"2500ms" setting:"min=10ms,max=1h"`
	// Timeout bounds one reading.
	Timeout time.Duration `default:"500ms" setting:"min=10ms,max=1m"`
}

// Parts configures when requests are refused because parts of their prompts crash
// upstreams. Routers use these settings while they can't reach the core.
type Parts struct {
	// MinMoments and MinPrompts are at how many separate moments, and on how many
	// different prompts, upstreams must have ended. With one prompt less, one moment more
	// is needed. The numbers are low because each further end costs an upstream.
	MinMoments int `default:"3" setting:"min=2,max=1000"`
	MinPrompts int `default:"3" setting:"min=2,max=1000"`
	// Window is how long an end of an upstream counts.
	Window time.Duration `default:"10m" setting:"min=1s,max=24h"`
	// TrialAfter is the time until one request with the parts is sent again. After each
	// failed trial it is several times as long.
	TrialAfter time.Duration `default:"10m" setting:"min=1s,max=24h"`
	// ProvisionalTrialAfter is that time for parts that were blocked because many upstreams
	// ended at one or two moments. If the trial fails, TrialAfter follows.
	ProvisionalTrialAfter time.Duration `default:"10s" setting:"min=1s,max=24h"`
}

// Cold bounds the requests to upstreams that have just started, of services for which the
// document states what a cold upstream tolerates.
type Cold struct {
	// In any second, a cold upstream gets at most Overage times the requests that it tolerates,
	// and Slack more. Zero for Overage sets no bound.
	Overage float64 `default:"0" setting:"min=0,max=1000"`
	Slack   float64 `default:"0" setting:"min=0,max=1000000"`
}

// Config returns the configuration of the limits of cold upstreams.
func (c *Cold) Config() kcwcold.Config { return kcwcold.Config{Overage: c.Overage, Slack: c.Slack} }

// Fixed parameters of the detection of parts that crash upstreams.
const (
	// partMomentSpan covers the spread of the ends of upstreams that have one cause.
	partMomentSpan = 100 * time.Millisecond
	// partEndSpan is shorter than the restart of an upstream.
	partEndSpan = time.Second
	// partSettle covers the report of a router and the time until it reaches the core.
	partSettle = 400 * time.Millisecond
	// partMinAnswers is the number of answers to other prompts without which a part is
	// not told from an outage of all upstreams.
	partMinAnswers = 10
	// partMaxChance is small against the number of prompts that are cut in a day.
	partMaxChance = 1e-6
	// partMinEnds, partEndShare and partMaxBatchChance are for parts whose prompts come many at a
	// time. One cause, such as the loss of an availability zone, ends a third of the upstreams. A
	// wrong decision costs less, since its parts are tried after ProvisionalTrialAfter.
	partMinEnds        = 5
	partEndShare       = 1.0 / 3
	partMaxBatchChance = 1e-3
	partBatchSettle    = 2 * time.Second
	maxParts           = 16384
	maxPartCuts        = 1024
	// maxCutParts bounds the memory for cuts of prompts with many parts, to a few MB.
	maxCutParts = 16384
)

// Detector returns the configuration of a detector of parts that crash upstreams.
func (p *Parts) Detector() kcwdetector.Config {
	return kcwdetector.Config{
		MinMoments: p.MinMoments, MomentSpan: partMomentSpan, EndSpan: partEndSpan, MinUpstreams: p.MinMoments, MinPrompts: p.MinPrompts, MaxChance: partMaxChance,
		Batch:      kcwdetector.Batch{MinEnds: partMinEnds, EndShare: partEndShare, MaxChance: partMaxBatchChance, Settle: partBatchSettle},
		MinAnswers: partMinAnswers, Settle: partSettle, Window: p.Window, MaxParts: maxParts, MaxCuts: maxPartCuts, MaxCutParts: maxCutParts,
	}
}

// Control holds the settings in the INI file of a member of the core.
type Control struct {
	Host  ControlHost
	Group Group
	List  List
	Stop  Stop
	Parts Parts
	Cold  Cold
}

// ControlHost holds a member's name, addresses and host resources.
type ControlHost struct {
	Name string `setting:"required"`
	Zone string `setting:"required"`
	// Address is where operators reach the member; its port must be the same at all
	// members. PeerAddress is for other members and for routers. AdminAddress serves
	// health, readiness, metrics and the state dump.
	Address      netip.AddrPort `setting:"required"`
	PeerAddress  netip.AddrPort `setting:"required"`
	AdminAddress netip.AddrPort `setting:"required"`
	// Folder holds the replicated log. It is empty on a host without a disk, which only
	// redirects operators and routers to the leader.
	Folder   string
	LogLevel string  `default:"info" setting:"oneof=error|warning|info|debug|trace"`
	MemoryMB float64 `default:"256" setting:"min=16,max=1048576"`
	// LinkMbps is the rate of the host's network link in Mbit/s, zero if it is
	// unlimited. Documents are sent to routers at a fraction of it.
	LinkMbps float64 `default:"0" setting:"min=0,max=10000000"`
	// MaxDescriptors is the number of files that the process may have open, sockets included.
	// Zero selects the limit that the process has. Clients get none of the last 200.
	MaxDescriptors int `default:"0" setting:"min=0,max=10000000"`
	// OperatorKeyFile holds the key for the state dump. If there is no such file, the process
	// creates it with a random key. If the setting is empty, the dump is refused.
	OperatorKeyFile string
}

// Group configures the replicated log.
type Group struct {
	// Seeds are the founding members if Bootstrap is set, and otherwise hosts through
	// which the member finds the others. Their ports are not used. A seed without a disk
	// chooses another host that founds in its place.
	Seeds []netip.AddrPort `setting:"required"`
	// Bootstrap is set only at the first start of the whole fleet, with empty folders.
	Bootstrap bool
	// Losses is the number of members that may be lost at once. 2*Losses+1 members keep
	// their votes unless a successor takes one over.
	Losses int `default:"1" setting:"min=0,max=49"`
	// Heartbeat and Election are the heartbeat interval and the election timeout of the
	// log. An election ends well within the time in which an operator expects an answer.
	Heartbeat time.Duration `default:"100ms" setting:"min=5ms,max=10s"`
	Election  time.Duration `default:"800ms" setting:"min=15ms,max=60s"`
	// SnapshotEntries, SnapshotBytes, KeepEntries and SegmentBytes bound the size of the
	// log, for small disks.
	SnapshotEntries uint64 `default:"2000" setting:"min=100,max=10000000"`
	SnapshotBytes   int64  `default:"4194304" setting:"min=65536,max=1073741824"`
	KeepEntries     uint64 `default:"1000" setting:"min=0,max=10000000"`
	SegmentBytes    int64  `default:"1048576" setting:"min=65536,max=1073741824"`
	// CatchUp is the time after the start of a lost member's successor at which the lost
	// member no longer counts and the next may be lost, so that by then the successor has
	// its vote. A member without progress for a quarter of it is silent.
	CatchUp time.Duration `default:"4s" setting:"min=100ms,max=1h"`
	// MaxDocumentBytes bounds a configuration document.
	MaxDocumentBytes int64 `default:"4194304" setting:"min=1024,max=67108864"`
	// PutTimeout bounds the wait for the commit of a document. It is shorter than the time
	// after which operators try another member.
	PutTimeout time.Duration `default:"900ms" setting:"min=10ms,max=1m"`
}

// LoadRouter reads and validates the settings of a router at path. The error lists every
// problem.
func LoadRouter(path string) (*Router, error) {
	s := &Router{}
	if err := kcwsettings.Load(path, s); err != nil {
		return nil, err
	}
	if err := addEnvironment(&s.Host.Cores, &s.Host.MaxDescriptors, &s.Cold); err != nil {
		return nil, err
	}
	return s, nil
}

// LoadControl reads and validates the settings of a member of the core at path. The error
// lists every problem.
func LoadControl(path string) (*Control, error) {
	s := &Control{}
	if err := kcwsettings.Load(path, s); err != nil {
		return nil, err
	}
	if err := addEnvironment(nil, &s.Host.MaxDescriptors, &s.Cold); err != nil {
		return nil, err
	}
	return s, nil
}

// LoadOperatorKey returns the key for the state dump from the file at path, empty if the dump
// is refused. A key that can't be used is logged, since it is no reason not to serve.
func LoadOperatorKey(path string) string {
	if path == "" {
		return ""
	}
	key, err := kcwkeyring.ReadOrCreateKey(path)
	if err != nil {
		klog.ErrorS(err, "State dump refused for want of a key", "Path", path)
	}
	return key
}

// Addresses returns the addresses at which the seeds of the core serve routers.
func (c *Core) Addresses() []netip.AddrPort { return withPort(c.Seeds, c.Port) }

// LendAddress returns the address at which the router serves other routers.
func (s *Router) LendAddress() netip.AddrPort {
	port := s.Host.LendPort
	if port == 0 {
		port = s.Core.Port + 1
	}
	return netip.AddrPortFrom(s.Host.Address.Addr(), port)
}

// PeerAddresses returns the addresses at which the seeds serve other members.
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

// BytesPerSecond converts the rate of a link from Mbit/s to bytes per second.
func BytesPerSecond(mbps float64) float64 {
	const bytesPerMbit = 1e6 / 8
	return mbps * bytesPerMbit
}
