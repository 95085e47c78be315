// Package kcwmeter holds the metrics of one process: OpenTelemetry instruments
// which are read in the Prometheus text format.
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

// Config holds the settings of a Meter.
type Config struct {
	// Program, Host and Zone become labels of target_info.
	Program, Host, Zone string
}

// Kind classifies an Error.
type Kind int

// Setup means that the exporter could not be made.
const Setup Kind = 1

// Error is returned by this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error describes the failure.
func (e *Error) Error() string { return fmt.Sprintf("kcwmeter: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Meter makes instruments. Instruments of the same name are the same
// instrument. It may be used by many goroutines at once.
type Meter struct {
	provider *sdk.MeterProvider
	meter    metric.Meter
	registry *prometheus.Registry
}

// New returns a Meter with a registry of its own. The error is an *Error.
func New(cfg Config) (*Meter, error) {
	registry := prometheus.NewRegistry()
	reader, err := exporter.New(exporter.WithRegisterer(registry), exporter.WithoutScopeInfo())
	if err != nil {
		return nil, &Error{Op: "new", Kind: Setup, Err: eris.Wrap(err, "make the exporter")}
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(reader), sdk.WithResource(resource.NewSchemaless(
		attribute.String("service.name", cfg.Program),
		attribute.String("host.name", cfg.Host),
		attribute.String("cloud.availability_zone", cfg.Zone),
	)))
	return &Meter{provider: provider, meter: provider.Meter("kcw"), registry: registry}, nil
}

// Counter returns the counter of the name. It panics if the name is not valid
// for an instrument.
func (m *Meter) Counter(name, help string) metric.Int64Counter {
	counter, err := m.meter.Int64Counter(name, metric.WithDescription(help))
	must(err)
	return counter
}

// Histogram returns the histogram of the name, with the upper bounds of its
// buckets, in the unit given ("s" for seconds, "By" for bytes). It panics if
// the name is not valid for an instrument.
func (m *Meter) Histogram(name, help, unit string, bounds ...float64) metric.Float64Histogram {
	options := []metric.Float64HistogramOption{metric.WithDescription(help), metric.WithUnit(unit)}
	if len(bounds) > 0 {
		options = append(options, metric.WithExplicitBucketBoundaries(bounds...))
	}
	histogram, err := m.meter.Float64Histogram(name, options...)
	must(err)
	return histogram
}

// Gauge calls read at each collection; read reports each value with the
// attributes that tell it apart. It panics if the name is not valid for an
// instrument.
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

// Close stops collection.
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
