// Package kcwmeter provides the metrics of one process as OpenTelemetry instruments
// that are exported in the Prometheus text format.
package kcwmeter

import (
	"context"
	"fmt"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/resource"
)

// Config configures a Meter.
type Config struct {
	// Program, Host and Zone become labels of target_info.
	Program, Host, Zone string
}

// Kind classifies an Error.
type Kind int

// Setup means that the exporter could not be created or shut down.
const Setup Kind = 1

// Error is returned by this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation and the cause.
func (e *Error) Error() string { return fmt.Sprintf("kcwmeter: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Meter creates instruments. Instruments with the same name share their values. It
// is safe for concurrent use.
type Meter struct {
	provider *sdk.MeterProvider
	meter    metric.Meter
	registry *prometheus.Registry
}

// New returns a Meter with its own registry. The error is an *Error.
func New(cfg Config) (*Meter, error) {
	registry := prometheus.NewRegistry()
	reader, err := exporter.New(exporter.WithRegisterer(registry), exporter.WithoutScopeInfo())
	if err != nil {
		return nil, &Error{Op: "new", Kind: Setup, Err: eris.Wrap(err, "create the exporter")}
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(reader), sdk.WithResource(resource.NewSchemaless(
		attribute.String("service.name", cfg.Program),
		attribute.String("host.name", cfg.Host),
		attribute.String("cloud.availability_zone", cfg.Zone),
	)))
	return &Meter{provider: provider, meter: provider.Meter("kcw"), registry: registry}, nil
}

// Counter returns the counter called name. It panics if name is not a valid
// instrument name.
func (m *Meter) Counter(name, help string) metric.Int64Counter {
	counter, err := m.meter.Int64Counter(name, metric.WithDescription(help))
	must(err)
	return counter
}

// Histogram returns the histogram called name, in a unit such as "s" for seconds or
// "By" for bytes. The bounds are the upper bounds of its buckets; without any the
// defaults of OpenTelemetry apply. It panics if name is not a valid instrument name.
func (m *Meter) Histogram(name, help, unit string, bounds ...float64) metric.Float64Histogram {
	options := []metric.Float64HistogramOption{metric.WithDescription(help), metric.WithUnit(unit)}
	if len(bounds) > 0 {
		options = append(options, metric.WithExplicitBucketBoundaries(bounds...))
	}
	histogram, err := m.meter.Float64Histogram(name, options...)
	must(err)
	return histogram
}

// Gauge creates a gauge that calls read at each collection. The function read passes
// each value with its attributes to observe. Gauge panics if name is not a valid
// instrument name.
func (m *Meter) Gauge(name, help string, read func(observe func(value int64, attrs ...attribute.KeyValue))) {
	callback := func(_ context.Context, o metric.Int64Observer) error {
		read(func(value int64, attrs ...attribute.KeyValue) {
			o.Observe(value, metric.WithAttributes(attrs...))
		})
		return nil
	}
	_, err := m.meter.Int64ObservableGauge(name, metric.WithDescription(help), metric.WithInt64Callback(callback))
	must(err)
}

// Handler serves the metrics in the Prometheus text format.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Close shuts the instruments down.
func (m *Meter) Close() error {
	if err := m.provider.Shutdown(context.Background()); err != nil {
		return &Error{Op: "close", Kind: Setup, Err: eris.Wrap(err, "shut down the provider")}
	}
	return nil
}

func must(err error) {
	if err != nil {
		panic("kcwmeter: " + err.Error())
	}
}
