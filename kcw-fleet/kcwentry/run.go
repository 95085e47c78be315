package kcwentry

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/go-kratos/kratos/v2"
	"k8s.io/klog/v2"

	"kingcupwick.example/kcw-fleet/kcwreload"
	"kingcupwick.example/kcw-fleet/kcwsetup"
	"kingcupwick.example/kcw/kcwforward"
	"kingcupwick.example/kcw/kcwlog"
)

// Run serves until a signal stops the router.
func (r *Router) Run() error {
	s := r.cfg.Settings
	klog.InfoS("Router starts", "Address", s.Host.Address, "Zone", s.Host.Zone, "Incarnation", r.reporter.number(), "Seeds", s.Core.Seeds,
		"Boot", r.reporter.uptime.Boot(), "Uptime", r.reporter.uptime.Started().String())
	go r.reporter.run(r.life)
	go r.readLists()
	go kcwreload.New(kcwreload.Config{Interval: reloadInterval, Reload: r.reload}).Run(r.life)
	app := kratos.New(
		kratos.Name("kcw-router"), kratos.Logger(r.cfg.Logger), kratos.Server(r.public, r.lender, r.admin),
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
	r.lending.Close()
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
	changed := r.client.SetSeeds(s.Core.Addresses())
	if changed || signalled {
		klog.InfoS("Settings reloaded", "Signal", signalled, "SeedsChanged", changed, "Seeds", s.Core.Seeds)
	}
}
