package kcwmeter

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

func TestHandler(t *testing.T) {
	meter, err := New(Config{Program: "kcw-router", Host: "entry-1", Zone: "tartu-a"})
	if err != nil {
		t.Fatal(err)
	}
	defer meter.Close()
	ctx := context.Background()
	requests := meter.Counter("kcw.requests", "Requests answered.")
	requests.Add(ctx, 2, metric.WithAttributes(attribute.String("outcome", "ran")))
	meter.Counter("kcw.requests", "Requests answered.").Add(ctx, 1, metric.WithAttributes(attribute.String("outcome", "ran")))
	meter.Histogram("kcw.first_token", "Time to the first token.", "s", 0.1, 1).Record(ctx, 0.5)
	meter.Gauge("kcw.in_flight", "Requests in progress.", func(observe func(int64, ...attribute.KeyValue)) {
		observe(7, attribute.String("upstream", "engine-1"))
	})

	recorder := httptest.NewRecorder()
	meter.Handler().ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{
		`kcw_requests_total{outcome="ran"} 3`,
		`kcw_first_token_seconds_bucket{le="1"} 1`,
		`kcw_in_flight{upstream="engine-1"} 7`,
		`cloud_availability_zone="tartu-a"`,
	} {
		if !strings.Contains(recorder.Body.String(), want) {
			t.Errorf("metrics lack %s:\n%s", want, recorder.Body)
		}
	}
}

func TestBadName(t *testing.T) {
	meter, err := New(Config{})
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if recover() == nil {
			t.Error("an invalid name did not panic")
		}
	}()
	meter.Counter("1 2", "")
}
