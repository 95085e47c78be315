// Package kcwentry holds a router of a document-driven fleet: the entry of
// callers, its report to the core, and its start and stop.
package kcwentry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/metric"
	"k8s.io/klog/v2"

	"kingcupwick.example/kcw-fleet/kcwcontrol"
	"kingcupwick.example/kcw-fleet/kcwcore"
	"kingcupwick.example/kcw-fleet/kcwlending"
	"kingcupwick.example/kcw-fleet/kcwserve"
	"kingcupwick.example/kcw-fleet/kcwsetup"
	"kingcupwick.example/kcw-fleet/kcwsharing"
	"kingcupwick.example/kcw/kcwadmin"
	"kingcupwick.example/kcw/kcwbalance"
	"kingcupwick.example/kcw/kcwbreaker"
	"kingcupwick.example/kcw/kcwconn"
	"kingcupwick.example/kcw/kcwforward"
	"kingcupwick.example/kcw/kcwgrant"
	"kingcupwick.example/kcw/kcwhorizon"
	"kingcupwick.example/kcw/kcwlink"
	"kingcupwick.example/kcw/kcwlog"
	"kingcupwick.example/kcw/kcwmemory"
	"kingcupwick.example/kcw/kcwmeter"
	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwplace"
	"kingcupwick.example/kcw/kcwroster"
	"kingcupwick.example/kcw/kcwroute"
	"kingcupwick.example/kcw/kcwuptime"
)

const (
	// retryPart is the part of the allowed retries that is used: routers that
	// restart begin with a new share of the slack.
	retryPart = 0.8
	// reloadInterval is the pause between two looks at the settings file, which
	// may change without a signal.
	reloadInterval = 2 * time.Second
	// finalReport bounds the return of tokens at a stop.
	finalReport = 500 * time.Millisecond
	// drainInterval is the pause between two looks at whether a router that
	// stops is idle.
	drainInterval = 50 * time.Millisecond
	// closeTimeout bounds the end of the last answers once a router closes.
	closeTimeout = 400 * time.Millisecond
	// stopMargin is kept between the last requests and the end of the time that
	// a stop has: the servers close and tokens are returned meanwhile.
	stopMargin = closeTimeout + finalReport + 200*time.Millisecond
	// linkMemory is the time over which the load of the link is averaged, some
	// dozens of requests of a link that is nearly full.
	linkMemory = time.Second
	// requestsPart is the part of the process's memory that bodies, answers and events
	// may hold together; connections, the roster and the collector need the rest.
	requestsPart = 0.3
)

// The breaker of each upstream opens on three failures in a row, or when half of
// six or more calls within five seconds fail.
const (
	breakerWindow      = 5 * time.Second
	breakerCalls       = 6
	breakerRate        = 0.5
	breakerConsecutive = 3
	breakerPause       = time.Second
	breakerPauseMost   = 4 * time.Second
	breakerProbe       = 2 * time.Second
)

// Config configures a Router. Every field is needed.
type Config struct {
	Settings *kcwsetup.Router
	// SettingsPath is read again when the settings may have changed.
	SettingsPath string
	Dialect      kcwforward.Dialect
	// Decode reads and checks a configuration document.
	Decode func([]byte) (*kcwroute.Document, error)
	Lister kcwcontrol.Lister
	Logger *kcwlog.Logger
	// Dropped returns the number of log lines that were dropped.
	Dropped func() int64
}

// Router is one router.
type Router struct {
	cfg       Config
	client    *kcwcore.Client
	balance   *kcwbalance.Balance
	horizon   *horizonKeeper
	roster    *kcwroster.Roster
	link      *kcwlink.Link
	memory    *kcwmemory.Account
	reporter  *reporter
	lending   *kcwlending.Lending
	sharing   *kcwsharing.Sharing
	caller    *kcwsharing.Caller
	listCalls metric.Int64Counter
	forwarder *kcwforward.Forwarder
	meter     *kcwmeter.Meter
	public    *kcwserve.Server
	lender    *kcwserve.Server
	admin     *kcwadmin.Server
	stop      atomic.Pointer[kcwforward.Stop]
	life      context.Context
	end       context.CancelFunc
}

// New makes the parts and listens at the addresses. The caller runs the router.
func New(cfg Config) (*Router, error) {
	s := cfg.Settings
	kcwsetup.LimitMemory(s.Host.MemoryMB)
	r := &Router{cfg: cfg}
	r.life, r.end = context.WithCancel(context.Background())
	r.client = kcwcore.New(kcwcore.Config{Seeds: s.Core.Addresses()})
	uptime, err := kcwuptime.New()
	if err != nil {
		return nil, err
	}
	r.newBalance(uptime)
	r.roster = newRoster(s)
	const megabyte = 1 << 20
	r.memory = kcwmemory.New(int64(requestsPart * s.Host.MemoryMB * megabyte))
	r.link = kcwlink.New(kcwlink.Config{BytesPerSecond: kcwsetup.BytesPerSecond(s.Host.LinkMbps), TimeConstant: linkMemory})
	r.lending = kcwlending.New(kcwlending.Config{Router: s.Host.Name, Balance: r.balance, Timeout: s.Grants.LendTimeout, Now: time.Now})
	r.caller = kcwsharing.NewCaller(s.Grants.LendTimeout)
	r.sharing = kcwsharing.New(kcwsharing.Config{
		Read: r.readList, Call: r.caller.Call, Rand: newRand(), Now: time.Now,
		Apply: func(list []*kcwpb.UpstreamRecord, readAt time.Time, source kcwsharing.Source) {
			r.reporter.takeOther(list, readAt, source)
		},
	})
	r.reporter = &reporter{
		settings: s, client: r.client, lending: r.lending, sharing: r.sharing, balance: r.balance, roster: r.roster, decode: cfg.Decode,
		uptime: uptime, horizon: r.horizon, incarnation: uint64(time.Now().UnixNano()),
		round: newRound(), wake: make(chan struct{}, 1), heardAt: time.Now(),
	}
	if r.meter, err = kcwmeter.New(kcwmeter.Config{Program: "kcw-router", Host: s.Host.Name, Zone: s.Host.Zone}); err != nil {
		return nil, err
	}
	r.listCalls = r.meter.Counter("kcw_router_list_readings", "Readings of the list of upstreams by this router itself.")
	if r.forwarder, err = r.newForwarder(); err != nil {
		return nil, err
	}
	return r, r.listen()
}

// newBalance makes the balance, and the keeper of its record if the host has a disk.
func (r *Router) newBalance(uptime *kcwuptime.Clock) {
	s := r.cfg.Settings
	cfg := kcwbalance.Config{
		Grant:  kcwgrant.Config{Endurance: s.Grants.Endurance, IdleAfter: s.Grants.IdleAfter, Memory: s.Grants.Memory},
		Active: s.Grants.Active, ActivateAfter: s.Grants.ActivateAfter, Fresh: s.Grants.Fresh, Uptime: uptime.Now,
	}
	if s.Host.Folder != "" {
		r.horizon = &horizonKeeper{
			horizon: kcwhorizon.New(kcwhorizon.Config{Folder: s.Host.Folder}), uptime: uptime.Now,
			incarnation: func() uint64 { return r.reporter.number() }, opened: make(chan struct{}),
		}
		cfg.Horizon = r.horizon.until
	}
	r.balance = kcwbalance.New(cfg)
	if r.horizon != nil {
		r.horizon.balance = r.balance
	}
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func newRoster(s *kcwsetup.Router) *kcwroster.Roster {
	u := s.Upstream
	return kcwroster.New(kcwroster.Config{
		Zone: s.Host.Zone,
		Placer: kcwplace.New(kcwplace.Config{
			LoadFactor: u.LoadFactor, LoadMargin: u.LoadMargin, ZoneMargin: u.ZoneMargin, Rand: newRand(),
		}),
		Breaker: kcwbreaker.Config{
			Window: breakerWindow, MinCalls: breakerCalls, FailureRate: breakerRate, ConsecutiveFailures: breakerConsecutive,
			// Slow answers are a matter of load, which placing looks at.
			SlowRate: 1, SlowAfter: time.Hour,
			Probes: 1, ProbeTimeout: breakerProbe, InitialBackoff: breakerPause, MaxBackoff: breakerPauseMost,
		},
		Conn: kcwconn.Config{
			DialTimeout: u.DialTimeout, SilenceTimeout: u.SilenceTimeout, IdleTimeout: u.IdleTimeout, MaxIdle: u.MaxIdle,
		},
		SilenceTimeout: u.SilenceTimeout, DialPause: u.DialPause, HalfLife: u.LoadHalfLife, PromptWeight: u.PromptWeight,
		Rand: newRand(), Now: time.Now,
	})
}

func (r *Router) newForwarder() (*kcwforward.Forwarder, error) {
	s := r.cfg.Settings
	return kcwforward.New(kcwforward.Config{
		Dialect: r.cfg.Dialect, Document: r.reporter.document.Load, Roster: r.roster, Balance: r.balance, Link: r.link,
		RequestTokens: r.reporter.ask, BorrowTokens: r.lending.Acquire, TokenTimeout: s.Grants.AskTimeout,
		RetryRatio: retryPart * s.Retry.Ratio, RetrySlack: int(retryPart * s.Retry.Slack), Routers: func() int { return int(r.reporter.routers.Load()) },
		Memory: r.memory, MaxHeadBytes: int64(s.Limits.MaxHeaderBytes),
		MaxBodyBytes: s.Limits.MaxBodyBytes, MaxAnswerBytes: s.Limits.MaxAnswerBytes, MaxEventBytes: s.Limits.MaxEventBytes,
		UsedWithin: s.Upstream.UsedWithin, SilenceCheckInterval: s.Upstream.Patience,
		Stopping: r.stopping, OnEnd: newObserver(r.meter), OnRetry: logRetry, OnWithdrawal: logWithdrawal, Rand: newRand(), Now: time.Now,
	})
}

// listen opens the servers.
func (r *Router) listen() error {
	s := r.cfg.Settings
	var err error
	r.public, err = kcwserve.New(s.Host.Address, r.forwarder, kcwserve.Config{
		HeaderTimeout: s.Limits.HeaderTimeout, IdleTimeout: s.Limits.IdleTimeout, MaxHeaderBytes: s.Limits.MaxHeaderBytes,
	})
	if err != nil {
		return err
	}
	limits := kcwserve.Config{HeaderTimeout: s.Limits.HeaderTimeout, MaxHeaderBytes: s.Limits.MaxHeaderBytes}
	neighbours := http.NewServeMux()
	neighbours.Handle(r.lending.Handler())
	neighbours.Handle(r.sharing.Handler())
	if r.lender, err = kcwserve.New(s.LendAddress(), neighbours, limits); err != nil {
		return err
	}
	r.measure()
	r.admin, err = kcwadmin.New(kcwadmin.Config{
		Address: s.Host.AdminAddress, Ready: r.ready, Metrics: r.meter.Handler(),
		Dump: func(context.Context) any { return r.dump() },
	})
	return err
}

// Reasons why a router takes no callers.
var (
	errDraining   = errors.New("the router stops")
	errNoDocument = errors.New("no configuration has been received yet")
	errNoList     = errors.New("no list of upstreams has been received yet")
	errLinkFull   = errors.New("the host's link is nearly full")
)

// ready returns nil if the router should get callers.
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
	if full {
		return errLinkFull
	}
	return nil
}
