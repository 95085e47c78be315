// Package kcwentry holds a router of a document-driven fleet: the entry of
// callers, its report to the core, and its start and stop.
package kcwentry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-kratos/kratos/v2"
	"go.opentelemetry.io/otel/attribute"
	"k8s.io/klog/v2"

	"kingcupwick.example/kcw-fleet/kcwcore"
	"kingcupwick.example/kcw-fleet/kcwreload"
	"kingcupwick.example/kcw-fleet/kcwserve"
	"kingcupwick.example/kcw-fleet/kcwsetup"
	"kingcupwick.example/kcw/kcwadmin"
	"kingcupwick.example/kcw/kcwbalance"
	"kingcupwick.example/kcw/kcwbreaker"
	"kingcupwick.example/kcw/kcwconn"
	"kingcupwick.example/kcw/kcwforward"
	"kingcupwick.example/kcw/kcwgrant"
	"kingcupwick.example/kcw/kcwlog"
	"kingcupwick.example/kcw/kcwmeter"
	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwplace"
	"kingcupwick.example/kcw/kcwroster"
	"kingcupwick.example/kcw/kcwroute"
	"kingcupwick.example/kcw/kcwuptime"
)

const (
	// memoryPart is the fraction of the memory that the garbage collector
	// keeps below.
	memoryPart = 0.9
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

// lister reads the list of upstreams.
type lister interface {
	// Read returns the upstreams listed. Entries that can't be read are left
	// out; skipped says how many.
	Read(ctx context.Context) (upstreams []*kcwpb.UpstreamRecord, skipped int, err error)
}

// Config configures a Router. Every field is needed.
type Config struct {
	Settings *kcwsetup.Router
	// SettingsPath is read again when the settings may have changed.
	SettingsPath string
	Dialect      dialect
	// Decode reads and checks a configuration document.
	Decode func([]byte) (*kcwroute.Document, error)
	Lister lister
	Logger *kcwlog.Logger
	// Dropped returns the number of log lines that were dropped.
	Dropped func() int64
}

// dialect reads and writes the headers of callers and upstreams.
type dialect interface {
	ReadCall(r *http.Request, now time.Time) (kcwforward.Call, error)
	UpstreamHeader(caller http.Header, a kcwforward.Attempt, now time.Time) http.Header
	ReadAnswer(status int, h http.Header, now time.Time) kcwforward.Answer
	RetryAfter(d time.Duration) string
}

// Router is one router.
type Router struct {
	cfg       Config
	client    *kcwcore.Client
	balance   *kcwbalance.Balance
	roster    *kcwroster.Roster
	reporter  *reporter
	forwarder *kcwforward.Forwarder
	meter     *kcwmeter.Meter
	public    *kcwserve.Server
	admin     *kcwadmin.Server
	stop      atomic.Pointer[kcwforward.Stop]
	// seeds belong to the reload.
	seeds []netip.AddrPort
	life  context.Context
	end   context.CancelFunc
}

// New makes the parts and listens at the addresses. The caller runs the router.
func New(cfg Config) (*Router, error) {
	s := cfg.Settings
	const megabyte = 1 << 20
	debug.SetMemoryLimit(int64(memoryPart * float64(s.Host.MemoryMB*megabyte)))
	r := &Router{cfg: cfg, seeds: s.Core.Seeds}
	r.life, r.end = context.WithCancel(context.Background())
	r.client = kcwcore.New(kcwcore.Config{Seeds: coreSeeds(s), Timeout: s.Core.Timeout})
	uptime, err := kcwuptime.New()
	if err != nil {
		return nil, err
	}
	r.balance = kcwbalance.New(kcwbalance.Config{
		Grant:  kcwgrant.Config{Endurance: s.Grants.Endurance, IdleAfter: s.Grants.IdleAfter, Memory: s.Grants.Memory},
		Active: s.Grants.Active, Sleep: s.Grants.Sleep, Fresh: s.Grants.Fresh, Uptime: uptime.Now,
	})
	r.roster = newRoster(s)
	r.reporter = &reporter{
		router: s.Host.Name, client: r.client, balance: r.balance, roster: r.roster, decode: cfg.Decode,
		uptime: uptime, interval: s.Core.Interval, incarnation: uint64(time.Now().UnixNano()),
		round: newRound(), wake: make(chan struct{}, 1), heardAt: time.Now(),
	}
	if r.meter, err = kcwmeter.New(kcwmeter.Config{Program: "kcw-router", Host: s.Host.Name, Zone: s.Host.Zone}); err != nil {
		return nil, err
	}
	if r.forwarder, err = r.newForwarder(); err != nil {
		return nil, err
	}
	return r, r.listen()
}

// coreSeeds returns where the seeds answer routers.
func coreSeeds(s *kcwsetup.Router) []netip.AddrPort {
	var seeds []netip.AddrPort
	for _, seed := range s.Core.Seeds {
		seeds = append(seeds, netip.AddrPortFrom(seed.Addr(), s.Core.Port))
	}
	return seeds
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func newRoster(s *kcwsetup.Router) *kcwroster.Roster {
	u := s.Upstream
	return kcwroster.New(kcwroster.Config{
		Zone: s.Host.Zone,
		Placer: kcwplace.New(kcwplace.Config{
			Factor: u.LoadFactor, Margin: u.LoadMargin, ZoneMargin: u.ZoneMargin, Rand: newRand(),
		}),
		Breaker: kcwbreaker.Config{
			Window: breakerWindow, MinCalls: breakerCalls, FailureRate: breakerRate, Consecutive: breakerConsecutive,
			// Slow answers are a matter of load, which placing looks at.
			SlowRate: 1, SlowAfter: time.Hour,
			Probes: 1, ProbeTimeout: breakerProbe, PauseFirst: breakerPause, PauseMost: breakerPauseMost,
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
		Dialect: r.cfg.Dialect, Document: r.reporter.document.Load, Roster: r.roster, Balance: r.balance,
		Ask: r.reporter.ask, AskTimeout: s.Grants.AskTimeout,
		RetryRatio: retryPart * s.Retry.Ratio, RetrySlack: int(retryPart * float64(s.Retry.Slack)), Routers: func() int { return int(r.reporter.routers.Load()) },
		MaxBodyBytes: s.Limits.MaxBodyBytes, MaxAnswerBytes: s.Limits.MaxAnswerBytes, MaxEventBytes: s.Limits.MaxEventBytes,
		UsedWithin: s.Upstream.UsedWithin, Patience: s.Upstream.Patience,
		Stopping: r.stopping, Observe: newObserver(r.meter), Rand: newRand(), Now: time.Now,
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
	return nil
}

// Run serves until a signal stops the router.
func (r *Router) Run() error {
	s := r.cfg.Settings
	klog.InfoS("Router starts", "Address", s.Host.Address, "Zone", s.Host.Zone, "Incarnation", r.reporter.incarnation, "Seeds", s.Core.Seeds,
		"Boot", r.reporter.uptime.Boot(), "Uptime", r.reporter.uptime.Started().String())
	go r.reporter.run(r.life)
	go r.readLists()
	go kcwreload.New(kcwreload.Config{Interval: reloadInterval, Reload: r.reload}).Run(r.life)
	app := kratos.New(
		kratos.Name("kcw-router"), kratos.Logger(r.cfg.Logger), kratos.Server(r.public, r.admin),
		kratos.StopTimeout(closeTimeout), kratos.BeforeStop(r.drain),
	)
	err := app.Run()
	if r.stop.Load() != nil && errors.Is(err, context.DeadlineExceeded) {
		// The time of a planned stop is over with requests under way.
		klog.InfoS("Requests cut at the stop", "InFlight", r.forwarder.InFlight())
		err = nil
	}
	r.giveBack()
	r.end()
	r.client.Close()
	klog.InfoS("Router stopped", "LinesDropped", r.cfg.Dropped())
	return err
}

// drain takes the router out of the balancer and serves on: the balancer may send
// callers to the last routers of a zone although they are not ready. It ends when
// no request is under way, or the time that a stop has is over.
func (r *Router) drain(context.Context) error {
	s := r.cfg.Settings.Stop
	now := time.Now()
	stop := &kcwforward.Stop{TakesUntil: now.Add(s.Notice), EndsAt: now.Add(s.Grace - stopMargin)}
	r.stop.Store(stop)
	klog.InfoS("Router drains", "Grace", s.Grace.String(), "InFlight", r.forwarder.InFlight())
	time.Sleep(s.Notice)
	for r.forwarder.InFlight() > 0 && time.Now().Before(stop.EndsAt) {
		time.Sleep(drainInterval)
	}
	klog.InfoS("Router closes", "InFlight", r.forwarder.InFlight(), "Elapsed", time.Since(now).String())
	return nil
}

// stopping returns the planned stop that the router makes, if any.
func (r *Router) stopping() (kcwforward.Stop, bool) {
	if stop := r.stop.Load(); stop != nil {
		return *stop, true
	}
	return kcwforward.Stop{}, false
}

// giveBack returns the tokens that are left.
func (r *Router) giveBack() {
	r.balance.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), finalReport)
	defer cancel()
	if !r.reporter.ask(ctx) {
		klog.InfoS("Tokens not returned", "Cause", "the core did not answer")
	}
}

// readLists reads the list while the core brings none that is fresh.
func (r *Router) readLists() {
	s := r.cfg.Settings.List
	for r.life.Err() == nil {
		// All routers that are cut off read, at half of the allowed rate.
		const part = 2
		pause := max(s.Interval, time.Duration(part*float64(max(1, r.reporter.routers.Load()))/s.Rate*float64(time.Second)))
		time.Sleep(pause/2 + rand.N(pause))
		if time.Since(r.roster.ListedAt()) < s.StaleAfter {
			continue
		}
		ctx, cancel := context.WithTimeout(r.life, s.Timeout)
		began := time.Now()
		upstreams, skipped, err := r.cfg.Lister.Read(ctx)
		cancel()
		if err != nil {
			klog.InfoS("List of upstreams not read", "Cause", err.Error(), "ListedAt", r.roster.ListedAt())
			continue
		}
		klog.V(kcwlog.DebugVerbosity).InfoS("List of upstreams read", "Upstreams", len(upstreams), "Skipped", skipped)
		r.reporter.ownList(upstreams, began)
	}
}

// reload reads the settings again and takes the seeds from them.
func (r *Router) reload(signalled bool) {
	s, err := kcwsetup.LoadRouter(r.cfg.SettingsPath)
	if err != nil {
		klog.ErrorS(err, "Settings not reloaded")
		return
	}
	changed := !slices.Equal(r.seeds, s.Core.Seeds)
	if changed {
		r.client.SetSeeds(coreSeeds(s))
		r.seeds = s.Core.Seeds
	}
	if changed || signalled {
		klog.InfoS("Settings reloaded", "Signal", signalled, "SeedsChanged", changed, "Seeds", s.Core.Seeds)
	}
}

// dump is the state of a router for operators.
type dump struct {
	Router, Zone string
	Incarnation  uint64
	Document     uint64
	ListedAt     time.Time
	InFlight     int64
	Draining     bool
	Core         netip.AddrPort
	Teams        []kcwbalance.Team
	Upstreams    []kcwroster.Upstream
}

func (r *Router) dump() dump {
	d := dump{
		Router: r.cfg.Settings.Host.Name, Zone: r.cfg.Settings.Host.Zone, Incarnation: r.reporter.incarnation,
		ListedAt: r.roster.ListedAt(), InFlight: r.forwarder.InFlight(), Draining: r.stop.Load() != nil,
		Core: r.client.Target(), Teams: r.balance.Teams(), Upstreams: r.roster.Upstreams(),
	}
	if document := r.reporter.document.Load(); document != nil {
		d.Document = document.Version
	}
	return d
}

// measure declares the metrics that are read when they are asked for.
func (r *Router) measure() {
	r.meter.Gauge("kcw_router_in_flight", "Requests that are not answered.",
		func(observe func(int64, ...attribute.KeyValue)) { observe(r.forwarder.InFlight()) })
	r.meter.Gauge("kcw_router_log_dropped", "Log lines dropped because the queue was full.",
		func(observe func(int64, ...attribute.KeyValue)) { observe(r.cfg.Dropped()) })
	r.meter.Gauge("kcw_router_document", "Version of the configuration in force.",
		func(observe func(int64, ...attribute.KeyValue)) { observe(int64(r.dump().Document)) })
}
