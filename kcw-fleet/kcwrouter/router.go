// Package kcwrouter implements a router of a document-driven fleet: the server for
// callers, the reports to the core, and the start and stop of the process.
package kcwrouter

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"k8s.io/klog/v2"

	"kingcupwick.example/kcw-fleet/kcwcontrol"
	"kingcupwick.example/kcw-fleet/kcwcore"
	"kingcupwick.example/kcw-fleet/kcwguard"
	"kingcupwick.example/kcw-fleet/kcwlending"
	"kingcupwick.example/kcw-fleet/kcwquota"
	"kingcupwick.example/kcw-fleet/kcwsetup"
	"kingcupwick.example/kcw-fleet/kcwsharing"
	"kingcupwick.example/kcw-fleet/kcwsource"
	"kingcupwick.example/kcw/kcwadmin"
	"kingcupwick.example/kcw/kcwbalance"
	"kingcupwick.example/kcw/kcwbreaker"
	"kingcupwick.example/kcw/kcwconn"
	"kingcupwick.example/kcw/kcwforward"
	"kingcupwick.example/kcw/kcwgrant"
	"kingcupwick.example/kcw/kcwlink"
	"kingcupwick.example/kcw/kcwlog"
	"kingcupwick.example/kcw/kcwmemory"
	"kingcupwick.example/kcw/kcwmeter"
	"kingcupwick.example/kcw/kcwoverload"
	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwplace"
	"kingcupwick.example/kcw/kcwroster"
	"kingcupwick.example/kcw/kcwroute"
	"kingcupwick.example/kcw/kcwrunrecord"
	"kingcupwick.example/kcw/kcwserve"
	"kingcupwick.example/kcw/kcwspeed"
	"kingcupwick.example/kcw/kcwstop"
	"kingcupwick.example/kcw/kcwuptime"
)

const (
	// retryFraction is the fraction of the allowed retries that is used. The rest
	// covers routers that restart and so begin with a new share of the slack.
	retryFraction = 0.8
	// reloadInterval is the time between two reads of the settings file, which may
	// change without a signal.
	reloadInterval = 2 * time.Second
	// returnTimeout bounds a report that returns tokens at a stop. If requests are in
	// flight, the first such report begins that long before they are cut.
	returnTimeout = 500 * time.Millisecond
	// drainPollInterval is the time between two checks of whether a draining router is
	// idle.
	drainPollInterval = 50 * time.Millisecond
	// closePollInterval is that time once the requests in flight have been cut.
	closePollInterval = 5 * time.Millisecond
	// closeTimeout bounds how long the servers wait for the last answers when they
	// close.
	closeTimeout = 100 * time.Millisecond
	// finalReportTimeout is the time for requests that were cut to end and for the report
	// that returns their tokens, and exitMargin the time for the process to end.
	finalReportTimeout = 100 * time.Millisecond
	exitMargin         = 200 * time.Millisecond
	// stopMargin is the part of the grace period that is kept free of requests.
	stopMargin = closeTimeout + finalReportTimeout + exitMargin
	// linkAveragingTime is the time over which the load of the link is averaged. A link
	// that is nearly full carries some dozens of requests in it. Each second until the router is
	// found full is one in which its callers wait in the queue of the link.
	linkAveragingTime = 300 * time.Millisecond
	// requestMemoryFraction is the fraction of the process's memory that bodies, answers
	// and events may hold together. Connections, the roster and the garbage collector
	// need the rest.
	requestMemoryFraction = 0.3
)

// Settings of each upstream's circuit breaker. It opens on three failures in a row, or
// when half of at least six calls within five seconds fail.
const (
	breakerWindow       = 5 * time.Second
	breakerMinCalls     = 6
	breakerFailureRate  = 0.5
	breakerConsecutive  = 3
	breakerPauseFirst   = time.Second
	breakerPauseMax     = 4 * time.Second
	breakerProbeTimeout = 2 * time.Second
)

// Config configures a Router. Every field is needed.
type Config struct {
	Settings *kcwsetup.Router
	// SettingsPath is read again when the settings may have changed.
	SettingsPath string
	Dialect      kcwforward.Dialect
	// Decode reads and checks a configuration document.
	Decode func([]byte) (*kcwroute.Document, error)
	// Lister reads the list of upstreams from the platform.
	Lister kcwcontrol.Lister
	Logger *kcwlog.Logger
	// Dropped returns the number of log lines that were dropped.
	Dropped func() int64
}

// Router is a router process: its servers, its client of the core and its state.
type Router struct {
	cfg         Config
	client      *kcwcore.Client
	balance     *kcwbalance.Balance
	record      *recordKeeper
	roster      *kcwroster.Roster
	guard       *kcwguard.Guard
	quota       *kcwquota.Quota
	speeds      *speedExchange
	link        *kcwlink.Link
	overload    *kcwoverload.Overload
	memory      *kcwmemory.Account
	reporter    *reporter
	lending     *kcwlending.Lending
	sharing     *kcwsharing.Sharing
	shareCaller *kcwsharing.Caller
	listCalls   metric.Int64Counter
	forwarder   *kcwforward.Forwarder
	meter       *kcwmeter.Meter
	public      *kcwserve.Server
	peerServer  *kcwserve.Server
	admin       *kcwadmin.Server
	bounds      bounds
	// stop is nil until the router is told to stop. GraceEndsAt is when the process must have
	// ended then; drain sets it, and Run reads it once the servers have closed.
	stop        atomic.Pointer[kcwstop.Stop]
	graceEndsAt time.Time
	ctx         context.Context
	cancel      context.CancelFunc
}

// New builds a router and listens at its addresses. The caller runs the router.
func New(cfg Config) (*Router, error) {
	s := cfg.Settings
	kcwserve.Host{MemoryMB: s.Host.MemoryMB}.LimitMemory()
	r := &Router{cfg: cfg}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.client = kcwcore.New(kcwcore.Config{Seeds: s.Core.Addresses()})
	uptime, err := kcwuptime.New()
	if err != nil {
		return nil, err
	}
	r.newBalance(uptime)
	if r.meter, err = kcwmeter.New(kcwmeter.Config{Program: "kcw-router", Host: s.Host.Name, Zone: s.Host.Zone}); err != nil {
		return nil, err
	}
	r.newQuota(uptime)
	r.overload = kcwoverload.New(kcwoverload.Config{Cores: s.Host.Cores, Interval: sampleInterval, Rand: newRand()})
	r.speeds = &speedExchange{collector: kcwspeed.NewCollector()}
	r.roster = newRoster(s, kcwroster.Config{
		Limits: r.quota, LostTime: r.overload.LostTime, Speeds: r.speeds.collector, OnSilence: newSilenceObserver(r.meter), OnMalformedLoad: newMalformedLoadObserver(r.meter),
		MaxConns: func(service string) kcwroster.ConnBound { return r.reporter.connBound(service) },
		Conn:     kcwconn.Config{ExtraDialTime: func() time.Duration { return r.overload.ExtraTime(time.Now()) }},
	})
	r.speeds.roster = r.roster
	if r.guard, err = kcwguard.New(kcwguard.Config{Router: s.Host.Name, Detector: s.Parts.Detector(), Now: time.Now}); err != nil {
		return nil, err
	}
	r.memory = kcwmemory.New(r.requestMemory())
	r.link = kcwlink.New(kcwlink.Config{BytesPerSecond: kcwsetup.BytesPerSecond(s.Host.LinkMbps), TimeConstant: linkAveragingTime})
	r.lending = kcwlending.New(kcwlending.Config{Router: s.Host.Name, Balance: r.balance, Timeout: s.Grants.LendTimeout, Now: time.Now})
	r.shareCaller = kcwsharing.NewCaller(s.Grants.LendTimeout)
	r.sharing = kcwsharing.New(kcwsharing.Config{
		Read: r.readList, Call: r.shareCaller.Call, Parts: r.guard, Limits: r.quota, Rand: newRand(), Now: time.Now,
		Apply: func(list []*kcwpb.UpstreamRecord, readAt time.Time, source kcwsharing.Source) {
			r.reporter.applyOtherList(list, readAt, source)
		},
	})
	r.reporter = &reporter{
		settings: s, client: r.client, lending: r.lending, sharing: r.sharing, balance: r.balance, roster: r.roster, guard: r.guard, quota: r.quota, speeds: r.speeds, decode: cfg.Decode,
		uptime: uptime, overload: r.overload, record: r.record, incarnation: uint64(time.Now().UnixNano()),
		round: newRound(), wake: make(chan struct{}, 1), ahead: make(chan struct{}, 1), answeredAt: time.Now(),
	}
	r.reporter.follower = &follower{
		source: kcwsource.New(kcwsource.Config{Zone: s.Host.Zone, Rand: newRand()}),
		call:   r.client, version: r.reporter.version, apply: r.reporter.applyDocument, answeredAt: time.Now(),
	}
	r.listCalls = r.meter.Counter("kcw_router_list_readings", "Readings of the list of upstreams by this router itself.")
	if r.forwarder, err = r.newForwarder(); err != nil {
		return nil, err
	}
	return r, r.listen()
}

// newBalance creates the balance, and the keeper of its record if the host has a disk.
func (r *Router) newBalance(uptime *kcwuptime.Clock) {
	s := r.cfg.Settings
	cfg := kcwbalance.Config{
		Grant:  kcwgrant.Config{Endurance: s.Grants.Endurance, IdleAfter: s.Grants.IdleAfter, Memory: s.Grants.Memory},
		Active: s.Grants.Active, ActivateAfter: s.Grants.ActivateAfter, Fresh: s.Grants.Fresh, Uptime: uptime.Now,
		OnShort: func() { r.reporter.reportAhead() },
	}
	if s.Host.Folder != "" {
		r.record = &recordKeeper{
			record: kcwrunrecord.New(kcwrunrecord.Config{Folder: s.Host.Folder}), uptime: uptime.Now,
			incarnation: func() uint64 { return r.reporter.currentIncarnation() }, opened: make(chan struct{}),
		}
		cfg.Horizon = r.record.activeUntil
	}
	r.balance = kcwbalance.New(cfg)
	if r.record != nil {
		r.record.balance = r.balance
	}
}

func (r *Router) newQuota(uptime *kcwuptime.Clock) {
	s := r.cfg.Settings
	malformed := r.meter.Counter("kcw_router_limits_malformed", "Upstreams that have named a rate limit that can't be read.")
	held := r.meter.Counter("kcw_router_limit_held", "Requests for whose upstreams with a rate limit there was no permit, by service.")
	r.quota = kcwquota.New(kcwquota.Config{
		OnMalformed: func() { malformed.Add(r.ctx, 1) },
		OnHeld:      func(service string) { held.Add(r.ctx, 1, metric.WithAttributes(attribute.String("service", service))) },
		Ask: func(ctx context.Context, upstreams []string, spare float64) (string, error) {
			return r.client.Permit(ctx, &kcwpb.FleetPermitRequest{Router: s.Host.Name, Upstreams: upstreams, Spare: spare})
		},
		AskTimeout: s.Grants.LendTimeout, Cold: s.Cold.Config(), Rand: newRand(), Now: uptime.Time,
	})
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// newRoster returns the roster with the collaborators that are set in cfg.
func newRoster(s *kcwsetup.Router, cfg kcwroster.Config) *kcwroster.Roster {
	u := s.Upstream
	return kcwroster.New(kcwroster.Config{
		Zone: s.Host.Zone,
		Placer: kcwplace.New(kcwplace.Config{
			LoadFactor: u.LoadFactor, LoadMargin: u.LoadMargin, ZoneMargin: u.ZoneMargin, Rand: newRand(),
		}),
		SpeedPlacer: kcwplace.New(kcwplace.Config{
			LoadFactor: u.LoadFactor, LoadMargin: u.SpeedLoadMargin, ZoneMargin: u.ZoneMargin, Rand: newRand(),
		}),
		Breaker: kcwbreaker.Config{
			Window: breakerWindow, MinCalls: breakerMinCalls, FailureRate: breakerFailureRate, ConsecutiveFailures: breakerConsecutive,
			// Slow calls don't open the breaker: placement already accounts for load.
			SlowRate: 1, SlowAfter: time.Hour,
			Probes: 1, ProbeTimeout: breakerProbeTimeout, InitialBackoff: breakerPauseFirst, MaxBackoff: breakerPauseMax,
		},
		Conn: kcwconn.Config{
			DialTimeout: u.DialTimeout, ExtraDialTime: cfg.Conn.ExtraDialTime, SilenceTimeout: u.SilenceTimeout, AckTimeout: u.AckTimeout, IdleTimeout: u.IdleTimeout, MaxIdle: u.MaxIdle,
		},
		SilenceTimeout: u.SilenceTimeout, DialPause: u.DialPause, HalfLife: u.LoadHalfLife, PromptWeight: u.PromptWeight,
		LostTime: cfg.LostTime, Limits: cfg.Limits, Speeds: cfg.Speeds, MaxConns: cfg.MaxConns, OnSilence: cfg.OnSilence, OnMalformedLoad: cfg.OnMalformedLoad, Rand: newRand(), Now: time.Now,
	})
}

func (r *Router) newForwarder() (*kcwforward.Forwarder, error) {
	s := r.cfg.Settings
	return kcwforward.New(kcwforward.Config{
		Dialect: r.cfg.Dialect, Document: r.reporter.document.Load, Roster: r.roster, Balance: r.balance, Link: r.link, Overload: r.overload,
		RequestTokens: r.reporter.requestReport, BorrowTokens: r.lending.Acquire, Guard: r.guard, Permits: r.quota, TokenTimeout: s.Grants.AskTimeout,
		RetryRatio: retryFraction * s.Retry.Ratio, RetrySlack: int(retryFraction * s.Retry.Slack), Routers: func() int { return int(r.reporter.routers.Load()) },
		WriteTimeout: s.Limits.IdleTimeout, Memory: r.memory, MaxHeadBytes: int64(s.Limits.MaxHeaderBytes),
		MaxBodyBytes: s.Limits.MaxBodyBytes, MaxAnswerBytes: s.Limits.MaxAnswerBytes, MaxEventBytes: s.Limits.MaxEventBytes,
		UsedWithin: s.Upstream.UsedWithin, SilenceCheckInterval: s.Upstream.Patience,
		Stopping: r.stopping, OnEnd: newObserver(r.meter, r.reporter.documentStatus), OnRetry: logRetry, OnHedge: newHedgeObserver(r.meter), OnWithdrawal: logWithdrawal, Rand: newRand(), Now: time.Now,
	})
}

// listen opens the servers for callers, for other routers and for operators.
func (r *Router) listen() error {
	s := r.cfg.Settings
	var err error
	if err := r.newBounds(); err != nil {
		return err
	}
	r.public, err = kcwserve.New(s.Host.Address, r.forwarder, kcwserve.Config{
		HeaderTimeout: s.Limits.HeaderTimeout, IdleTimeout: s.Limits.IdleTimeout, MaxHeaderBytes: s.Limits.MaxHeaderBytes,
		Bound: r.bounds.Bounds[callersServer], ConnContext: r.forwarder.ConnContext,
	})
	if err != nil {
		return err
	}
	limits := kcwserve.Config{HeaderTimeout: s.Limits.HeaderTimeout, MaxHeaderBytes: s.Limits.MaxHeaderBytes, Bound: r.bounds.Bounds[routersServer]}
	peers := http.NewServeMux()
	peers.Handle(r.lending.Handler())
	peers.Handle(r.sharing.Handler())
	if r.peerServer, err = kcwserve.New(s.LendAddress(), kcwserve.Receive(peers, r.bounds.messages, maxMessageBytes), limits); err != nil {
		return err
	}
	r.registerMetrics()
	r.registerSpeedMetrics()
	r.admin, err = kcwadmin.New(kcwadmin.Config{
		Address: s.Host.AdminAddress, Ready: r.ready, Metrics: r.meter.Handler(),
		OperatorKey: kcwsetup.LoadOperatorKey(s.Host.OperatorKeyFile),
		Dump:        func(context.Context) any { return r.dump() },
		Bound:       r.bounds.Bounds[adminServer], HeaderTimeout: s.Limits.HeaderTimeout, IdleTimeout: s.Limits.IdleTimeout, MaxHeaderBytes: s.Limits.MaxHeaderBytes,
	})
	return err
}

// Reasons why a router is not ready.
var (
	errDraining   = errors.New("the router stops")
	errNoDocument = errors.New("no configuration has been received yet")
	errNoList     = errors.New("no list of upstreams has been received yet")
	errLinkFull   = errors.New("the host's link is nearly full")
	errOverloaded = errors.New("the router has more load than it can serve, and than others")
)

// ready returns nil if the balancer should send callers to the router, and otherwise
// the reason why not.
func (r *Router) ready() error {
	switch {
	case r.stop.Load() != nil:
		return errDraining
	case r.reporter.document.Load() == nil:
		return errNoDocument
	case r.roster.ListedAt().IsZero():
		return errNoList
	}
	now := time.Now()
	full, changed := r.link.Full(now)
	if changed {
		klog.InfoS("Link load changed", "Full", full, "Load", r.link.Load(now), "LinkMbps", r.cfg.Settings.Host.LinkMbps)
	}
	switch {
	case full:
		return errLinkFull
	case !r.overload.IsReady():
		return errOverloaded
	}
	return nil
}
