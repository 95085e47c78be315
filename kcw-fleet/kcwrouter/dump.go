package kcwrouter

import (
	"net/netip"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"kingcupwick.example/kcw-fleet/kcwquota"
	"kingcupwick.example/kcw/kcwbalance"
	"kingcupwick.example/kcw/kcwblocklist"
	"kingcupwick.example/kcw/kcwconnlimit"
	"kingcupwick.example/kcw/kcwdetector"
	"kingcupwick.example/kcw/kcwoverload"
	"kingcupwick.example/kcw/kcwroster"
)

// dump is the state of a router as operators read it at the admin address.
type dump struct {
	Router, Zone string
	Incarnation  uint64
	// Document is the version of the configuration in force, zero if there is none.
	// DocumentFrom is the host of the core that sent it, and DocumentAge the time since.
	Document     uint64
	DocumentFrom netip.AddrPort
	DocumentAge  string
	// CoreHost is the host of the core that answered last, and ContactAge the time since the
	// report that it answered was sent.
	CoreHost   netip.AddrPort
	ContactAge string
	CoreLost   bool
	ListedAt   time.Time
	InFlight   int64
	Draining   bool
	// Core is the leader, not valid if none is known.
	Core      netip.AddrPort
	Teams     []kcwbalance.Team
	Upstreams []kcwroster.Upstream
	// SpeedsVersion is the version of the table of speeds, zero if there is none.
	SpeedsVersion uint64
	// RateLimits are the limits in force.
	RateLimits []kcwquota.Limit
	// ColdUpstreams are the cold upstreams with a limit.
	ColdUpstreams []kcwquota.Cold
	// Overload is the state by which requests are admitted.
	Overload kcwoverload.State
	// Blocks are the sets of prompt parts that are refused, and Suspects the parts that
	// this router suspects.
	Blocks   []kcwblocklist.Summary
	Suspects []kcwdetector.Suspect
	// EvacuatedZones are the zones whose upstreams get no requests, and EvacuationsVersion the
	// version of the core's evacuations, zero before the first.
	EvacuatedZones     []string
	EvacuationsVersion uint64
	// Connections are those of clients, by server.
	Connections map[string]kcwconnlimit.Stats
}

func (r *Router) dump() dump {
	b := r.reporter.documentStatus()
	d := dump{
		Router: r.cfg.Settings.Host.Name, Zone: r.cfg.Settings.Host.Zone, Incarnation: r.reporter.currentIncarnation(),
		Document: b.Version, DocumentFrom: b.From, CoreHost: b.Host, ContactAge: time.Since(b.ContactAt).String(), CoreLost: b.IsLost,
		ListedAt: r.roster.ListedAt(), InFlight: r.forwarder.InFlight(), Draining: r.stop.Load() != nil,
		Core: r.client.Leader(), Teams: r.balance.Teams(), Upstreams: r.roster.Upstreams(), Blocks: kcwblocklist.Summarize(r.guard.Blocks()), Suspects: r.guard.Suspects(),
		RateLimits: r.quota.Limits(), ColdUpstreams: r.quota.Cold(), SpeedsVersion: r.speeds.version.Load(), Overload: r.overload.State(), Connections: r.bounds.Stats(),
	}
	d.EvacuatedZones, d.EvacuationsVersion = r.roster.Evacuated(), r.reporter.currentEvacuations()
	if b.Version != 0 {
		d.DocumentAge = time.Since(b.ReceivedAt).String()
	}
	return d
}

// registerMetrics registers the gauges, whose values are read at each scrape.
func (r *Router) registerMetrics() {
	r.bounds.register(r.meter)
	r.meter.Gauge("kcw_router_in_flight", "Requests that are not answered.",
		func(observe func(int64, ...attribute.KeyValue)) { observe(r.forwarder.InFlight()) })
	r.meter.Gauge("kcw_router_memory_held", "Memory that bodies, answers and events hold, in bytes.",
		func(observe func(int64, ...attribute.KeyValue)) { observe(r.memory.Held()) })
	r.meter.Gauge("kcw_router_log_dropped", "Log lines dropped because the queue was full.",
		func(observe func(int64, ...attribute.KeyValue)) { observe(r.cfg.Dropped()) })
	r.meter.Gauge("kcw_router_blocks", "Sets of prompt parts that are refused because they crash upstreams.",
		func(observe func(int64, ...attribute.KeyValue)) { observe(int64(len(r.guard.Blocks()))) })
	r.meter.Gauge("kcw_router_suspects", "Prompt parts that this router suspects of crashing upstreams.",
		func(observe func(int64, ...attribute.KeyValue)) { observe(int64(len(r.guard.Suspects()))) })
	r.meter.Gauge("kcw_router_limited_upstreams", "Upstreams that name a rate limit.",
		func(observe func(int64, ...attribute.KeyValue)) { observe(r.quota.Limited()) })
	r.meter.Gauge("kcw_router_evacuated_zones", "Evacuated availability zones, whose upstreams get no requests.",
		func(observe func(int64, ...attribute.KeyValue)) { observe(int64(len(r.roster.Evacuated()))) })
	r.meter.Gauge("kcw_router_conns_open", "Connections to upstreams that are open, by service.",
		func(observe func(int64, ...attribute.KeyValue)) {
			open, _ := r.roster.Conns()
			observeByService(observe, open)
		})
	r.meter.Gauge("kcw_router_conns_idle", "Connections to upstreams that carry no request, by service.",
		func(observe func(int64, ...attribute.KeyValue)) {
			_, idle := r.roster.Conns()
			observeByService(observe, idle)
		})
	r.meter.Gauge("kcw_router_cold_upstreams", "Cold upstreams with a limit.",
		func(observe func(int64, ...attribute.KeyValue)) { observe(r.quota.ColdCount()) })
	r.meter.Gauge("kcw_router_conns_part", "Connections that the router may use at each upstream while the others use theirs, by service; none without a bound.",
		func(observe func(int64, ...attribute.KeyValue)) { observeByService(observe, r.reporter.connParts()) })
	r.meter.Gauge("kcw_router_document", "Version of the configuration in force.",
		func(observe func(int64, ...attribute.KeyValue)) { observe(int64(r.reporter.version())) })
	r.meter.Gauge("kcw_router_document_age", "Time since the configuration in force came, in milliseconds; none before the first.",
		func(observe func(int64, ...attribute.KeyValue)) {
			if b := r.reporter.documentStatus(); b.Version != 0 {
				observe(time.Since(b.ReceivedAt).Milliseconds())
			}
		})
	r.meter.Gauge("kcw_router_contact_age", "Time since the last report that the core has answered was sent, in milliseconds.",
		func(observe func(int64, ...attribute.KeyValue)) {
			observe(time.Since(r.reporter.documentStatus().ContactAt).Milliseconds())
		})
	r.registerLoadMetrics()
}

// observeByService observes a value for each service.
func observeByService(observe func(int64, ...attribute.KeyValue), values map[string]int) {
	for service, n := range values {
		observe(int64(n), attribute.String("service", service))
	}
}
