package main

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"kingcupwick.example/kcw/kcwconnlimit"
	"kingcupwick.example/kcw/kcwmeter"
)

// dump is the state of the router, as served at the operator address.
type dump struct {
	Router      string
	Zone        string
	Incarnation uint64
	Revision    uint64
	// Contracts is the number of contracts in memory. FreshAt is when the watch
	// last received an event from a replica that had contact with a quorum.
	Contracts int
	FreshAt   time.Time
	// PendingOutcomes is the number of outcomes that the ledger hasn't yet
	// acknowledged, RefusedOutcomes the number that it refused.
	PendingOutcomes, RefusedOutcomes int
	Gateway                          any
	// Connections are those of clients, by server.
	Connections map[string]kcwconnlimit.Stats
}

func (p *process) dump(incarnation uint64) dump {
	contracts, freshAt := p.catalog.Size()
	pending, refused := p.wallet.Pending()
	return dump{
		PendingOutcomes: pending, RefusedOutcomes: refused,
		Router: p.settings.Host.Name, Zone: p.settings.Host.Zone, Incarnation: incarnation,
		Revision: p.catalog.Revision(), Contracts: contracts, FreshAt: freshAt, Gateway: p.gateway.Dump(), Connections: p.bounds.Stats(),
	}
}

// timeBounds are the upper bounds of the buckets of the time histograms, in
// seconds.
var timeBounds = []float64{0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.46, 1, 2, 5, 10, 30, 60, 300}

// newObserver returns the function that records the metrics of a finished
// request.
func newObserver(m *kcwmeter.Meter) func(service, code string, firstByte, total time.Duration, tokens int64) {
	requests := m.Counter("kcw_requests", "Requests that ended, by service and code.")
	tokensUsed := m.Counter("kcw_tokens", "Tokens of requests that ended, by service.")
	firstByteTime := m.Histogram("kcw_first_byte", "Time until the first byte of an answer.", "s", timeBounds...)
	totalTime := m.Histogram("kcw_request", "Time until a request ended.", "s", timeBounds...)
	return func(service, code string, firstByte, total time.Duration, tokens int64) {
		ctx := context.Background()
		serviceAttribute := attribute.String("service", service)
		requests.Add(ctx, 1, metric.WithAttributes(serviceAttribute, attribute.String("code", code)))
		tokensUsed.Add(ctx, tokens, metric.WithAttributes(serviceAttribute))
		totalTime.Record(ctx, total.Seconds(), metric.WithAttributes(serviceAttribute))
		if firstByte > 0 {
			firstByteTime.Record(ctx, firstByte.Seconds(), metric.WithAttributes(serviceAttribute))
		}
	}
}
