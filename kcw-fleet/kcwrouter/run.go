package kcwrouter

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/go-kratos/kratos/v2"
	"k8s.io/klog/v2"

	"kingcupwick.example/kcw-fleet/kcwreload"
	"kingcupwick.example/kcw-fleet/kcwsetup"
	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwstop"
)

// Run serves until a signal stops the router.
func (r *Router) Run() error {
	s := r.cfg.Settings
	klog.InfoS("Router starts", "Address", s.Host.Address, "Zone", s.Host.Zone, "Incarnation", r.reporter.currentIncarnation(), "Seeds", s.Core.Seeds,
		"Boot", r.reporter.uptime.Boot(), "Uptime", r.reporter.uptime.Started().String())
	r.start()
	go kcwreload.New(kcwreload.Config{Interval: reloadInterval, Reload: r.reload}).Run(r.ctx)
	app := kratos.New(
		kratos.Name("kcw-router"), kratos.Logger(r.cfg.Logger), kratos.Server(r.public, r.peerServer, r.admin),
		kratos.StopTimeout(closeTimeout), kratos.BeforeStop(r.drain),
	)
	err := app.Run()
	returnBy := time.Now().Add(returnTimeout)
	if r.stop.Load() != nil {
		returnBy = r.graceEndsAt.Add(-exitMargin)
		if errors.Is(err, context.DeadlineExceeded) {
			// Requests or new connections were left when the servers had to be closed.
			err = r.closeConnections()
		}
	}
	r.returnTokens(returnBy)
	r.cancel()
	r.client.Close()
	r.lending.Close()
	r.shareCaller.Close()
	klog.InfoS("Router stopped", "LinesDropped", r.cfg.Dropped())
	return err
}

// start starts what keeps the router's state up to date.
func (r *Router) start() {
	if r.record != nil {
		go r.record.run(r.ctx)
	}
	go r.sampleLoad()
	go r.reporter.run(r.ctx)
	go r.reporter.follower.run(r.ctx)
	go r.refreshList()
}

// drain makes the router unready and keeps serving, because the balancer may send
// callers to the last routers of a zone even if they are not ready. It returns when
// no request is in flight, or when the grace period less stopMargin is over. In the second
// case it returns tokens before that, and ends the requests that are left.
func (r *Router) drain(context.Context) error {
	s := r.cfg.Settings.Stop
	now := time.Now()
	r.graceEndsAt = now.Add(s.Grace)
	cutAt := r.graceEndsAt.Add(-stopMargin)
	r.stop.Store(&kcwstop.Stop{EndsAt: cutAt})
	klog.InfoS("Router drains", "Grace", s.Grace.String(), "InFlight", r.forwarder.InFlight())
	time.Sleep(s.Notice)
	r.awaitIdle(cutAt.Add(-returnTimeout), drainPollInterval)
	if r.forwarder.InFlight() > 0 {
		r.returnTokens(cutAt)
		r.awaitIdle(cutAt, drainPollInterval)
	}
	klog.InfoS("Router closes", "InFlight", r.forwarder.InFlight(), "Elapsed", time.Since(now).String())
	// From here on, no request is passed on, since it would be cut.
	r.stop.Store(&kcwstop.Stop{EndsAt: time.Now()})
	r.endRequests(cutAt)
	return nil
}

// endRequests ends the requests that are in flight at cutAt. It returns at once if there is
// none or cutAt has not come.
func (r *Router) endRequests(cutAt time.Time) {
	if n := r.forwarder.InFlight(); n > 0 && !time.Now().Before(cutAt) {
		klog.InfoS("Stop aborted requests in flight", "InFlight", n)
		r.forwarder.End()
	}
}

// closeConnections closes the connections that are left after the servers have closed, once
// no request is in flight on them or the time of such requests is over.
func (r *Router) closeConnections() error {
	cutAt := r.graceEndsAt.Add(-stopMargin)
	r.awaitIdle(cutAt, drainPollInterval)
	r.endRequests(cutAt)
	r.awaitIdle(cutAt.Add(closeTimeout), closePollInterval)
	err := r.public.Close()
	r.awaitIdle(cutAt.Add(closeTimeout+finalReportTimeout/2), closePollInterval)
	return err
}

// stopping returns the planned stop that is in progress, if any.
func (r *Router) stopping() (kcwstop.Stop, bool) {
	if stop := r.stop.Load(); stop != nil {
		return *stop, true
	}
	return kcwstop.Stop{}, false
}

// awaitIdle returns when no request is in flight, or at deadline.
func (r *Router) awaitIdle(deadline time.Time, pollInterval time.Duration) {
	for r.forwarder.InFlight() > 0 && time.Now().Before(deadline) {
		time.Sleep(min(pollInterval, time.Until(deadline)))
	}
}

// returnTokens returns the tokens that are free to the core. It gives up at deadline, or
// after returnTimeout.
func (r *Router) returnTokens(deadline time.Time) {
	r.balance.Stop()
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	ctx, cancelReturn := context.WithTimeout(ctx, returnTimeout)
	defer cancelReturn()
	if !r.reporter.startReport(ctx) {
		klog.InfoS("Tokens not returned", "Cause", "the core did not answer", "InFlight", r.forwarder.InFlight())
	}
}

// refreshList gets the list from other routers or the platform while the core's list is
// stale. It does nothing while the router has no configuration: such a router serves no
// requests, and the core sends it the list along with the configuration.
func (r *Router) refreshList() {
	s := r.cfg.Settings.List
	for r.ctx.Err() == nil {
		time.Sleep(s.Interval/2 + rand.N(s.Interval))
		if r.reporter.document.Load() == nil || time.Since(r.roster.ListedAt()) < s.StaleAfter {
			continue
		}
		var peers []netip.AddrPort
		if latest := r.reporter.peers.Load(); latest != nil {
			peers = *latest
		}
		r.sharing.Refresh(r.ctx, peers, int(r.reporter.routers.Load()))
	}
}

// readList reads the list from the platform.
func (r *Router) readList(ctx context.Context) ([]*kcwpb.UpstreamRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Settings.List.Timeout)
	defer cancel()
	records, skipped, err := r.cfg.Lister.Read(ctx)
	r.listCalls.Add(ctx, 1)
	if err == nil {
		klog.InfoS("List of upstreams read", "Upstreams", len(records), "Skipped", skipped, "ListedAt", r.roster.ListedAt())
	}
	return records, err
}

// reload reads the settings again and applies their seeds.
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
