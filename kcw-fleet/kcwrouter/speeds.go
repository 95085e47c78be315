package kcwrouter

import (
	"context"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"k8s.io/klog/v2"

	"kingcupwick.example/kcw/kcwmeter"
	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwroster"
	"kingcupwick.example/kcw/kcwspeed"
)

// speedExchange sends what this router has measured of the upstreams' speeds with its reports,
// and gives the roster what all routers have measured. Only the reporter calls it, one report
// after the other.
type speedExchange struct {
	collector *kcwspeed.Collector
	roster    *kcwroster.Roster
	// version is that of the table that the roster has, zero if it has none.
	version atomic.Uint64
	// received counts the entries of the table that have come.
	received atomic.Int64
	reported kcwspeed.Report
}

// maxVersionStep is the largest difference between two versions of one table. The versions of the
// tables of two processes differ by more.
const maxVersionStep = 1 << 32

// Report adds the samples since the last acknowledged report to req, which is sent at now.
func (x *speedExchange) Report(req *kcwpb.FleetSyncRequest, now time.Time) {
	x.reported = x.collector.Report(now)
	req.Speeds, req.SpeedsVersion = x.reported.Speeds, x.version.Load()
}

// EndReport applies the answer to the report that was sent at sentAt, nil if there is none.
func (x *speedExchange) EndReport(response *kcwpb.FleetSyncResponse, sentAt time.Time) {
	if response == nil {
		return
	}
	x.collector.Acknowledge(x.reported)
	before, version := x.version.Load(), response.GetSpeedsVersion()
	if before == 0 && version == 0 {
		// No upstream states its slowness.
		return
	}
	isNew := version < before || version-before > maxVersionStep
	speeds := make([]kcwroster.Speed, 0, len(response.GetSpeeds()))
	for _, s := range response.GetSpeeds() {
		speeds = append(speeds, kcwroster.Speed{
			Upstream: s.GetUpstream(), Capacity: float64(s.GetCapacity()), PerSecond: float64(s.GetSamples()),
			Load: kcwroster.Load{Running: int(s.GetRunning()), Waiting: int(s.GetWaiting()), Slots: int(s.GetSlots()), Slowness: float64(s.GetSlowness())},
		})
	}
	x.roster.SetSpeeds(speeds, isNew, sentAt)
	x.version.Store(version)
	x.received.Add(int64(len(speeds)))
	if isNew && before != 0 {
		klog.InfoS("Table of speeds replaced", "Before", before, "Version", version, "Entries", len(speeds))
	}
}

// newMalformedLoadObserver returns a callback that logs and counts the upstreams whose load can't
// be read.
func newMalformedLoadObserver(m *kcwmeter.Meter) func(kcwroster.MalformedLoad) {
	malformed := m.Counter("kcw_router_loads_malformed", "Upstreams that have stated a load that can't be read whole, by service.")
	return func(l kcwroster.MalformedLoad) {
		malformed.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", l.Service)))
		klog.InfoS("Load can't be read whole", "Upstream", l.Upstream, "Service", l.Service, "Text", l.Text, "Request", l.RequestID)
	}
}

// registerSpeedMetrics registers the gauges of the speeds of upstreams.
func (r *Router) registerSpeedMetrics() {
	r.meter.Gauge("kcw_router_speeds_collected", "Upstreams of which samples wait for a report.",
		func(observe func(int64, ...attribute.KeyValue)) { observe(int64(r.speeds.collector.Collected())) })
	r.meter.Gauge("kcw_router_speeds_received", "Entries of the table of speeds received since the start.",
		func(observe func(int64, ...attribute.KeyValue)) { observe(r.speeds.received.Load()) })
	r.meter.Gauge("kcw_router_speeds_shared", "Upstreams whose load and capacity are known from all routers.",
		func(observe func(int64, ...attribute.KeyValue)) { observe(int64(r.roster.SharedSpeeds())) })
}
