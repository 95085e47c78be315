package kcwforward_test

import (
	"net/http"
	"testing"
)

// TestNothingDeniedWithoutConfiguration guards against a router that denies requests before it
// knows any configuration.
func TestNothingDeniedWithoutConfiguration(t *testing.T) {
	f := newFixture(t, 1, once, func(*exchange) {})
	f.document.Store(nil)
	for _, header := range [][]string{nil, {"Key", "unknown"}} {
		response, _, err := f.call(t, http.MethodGet, "", header...)
		if err != nil {
			t.Fatal(err)
		}
		if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
			t.Errorf("with %v: status %d, Retry-After %q", header, response.StatusCode, response.Header.Get("Retry-After"))
		}
	}
	if n := f.arrivals(); n != 0 {
		t.Errorf("%d requests were sent on", n)
	}
}
