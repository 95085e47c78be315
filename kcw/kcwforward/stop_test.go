package kcwforward_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwroute"
)

// TestStoppingRouterPassesOnNothingItMayCut guards against requests that must not be
// repeated and are passed on late in a stop, because earlier ones were quick.
func TestStoppingRouterPassesOnNothingItMayCut(t *testing.T) {
	const (
		quickAnswers = 60
		pause        = time.Second
	)
	for _, test := range []struct {
		name  string
		route kcwroute.Route
		// untilEnd is the time left to the stop, and wait how long the caller waits.
		untilEnd, wait time.Duration
		status         int
	}{
		{"not idempotent", once, 700 * time.Millisecond, 3 * time.Second, http.StatusServiceUnavailable},
		{"stream that can't be resumed", stream, 700 * time.Millisecond, 3 * time.Second, http.StatusServiceUnavailable},
		{"not idempotent, with a deadline before the end", once, longTime, pause / 2, http.StatusGatewayTimeout},
	} {
		f := newFixture(t, 1, test.route, func(e *exchange) {
			if e.number > quickAnswers {
				time.Sleep(pause)
			}
			if test.route.Kind == kcwroute.Stream {
				e.events(true, "id: 1\n\n")
				return
			}
			good(e)
		})
		for i := range quickAnswers {
			_, _, _ = f.call(t, http.MethodPost, "", "Attempt", "quick-"+strconv.Itoa(i))
		}
		f.beginStop(test.untilEnd)
		response, _, err := f.call(t, http.MethodPost, "", "Wait", strconv.FormatInt(test.wait.Milliseconds(), 10))
		isRefused := response.StatusCode == http.StatusServiceUnavailable
		if err != nil || response.StatusCode != test.status || !response.Close {
			t.Errorf("%s: status %d, connection closed: %v, error %v; want status %d", test.name, response.StatusCode, response.Close, err, test.status)
		}
		if sends := f.arrivals() - quickAnswers; isRefused && (sends != 0 || response.Header.Get("Retry-After") == "") {
			t.Errorf("%s: refused with Retry-After %q, and sent %d times", test.name, response.Header.Get("Retry-After"), sends)
		}
	}
}
