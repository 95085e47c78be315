package kcwforward_test

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwforward"
	"kingcupwick.example/kcw/kcwroute"
)

// TestStoppingRouterPassesOnNothingItMayCut guards against requests that are passed on late in a
// stop, because earlier ones were quick, and are cut at its end.
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
		{"stream that can be resumed", resumable, 700 * time.Millisecond, 3 * time.Second, http.StatusServiceUnavailable},
		{"idempotent", repeatable, 700 * time.Millisecond, 3 * time.Second, http.StatusServiceUnavailable},
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

// TestStopDuringRequestBeginsNoAttempt guards against attempts that begin after a stop has
// begun and may outlast it.
func TestStopDuringRequestBeginsNoAttempt(t *testing.T) {
	generating := once
	generating.Generates = true
	const stopTime = longTime / 2
	refuse := func(f *fixture, e *exchange) {
		f.beginStop(stopTime)
		e.answer(http.StatusServiceUnavailable, "Not-Run: 1\r\n", "full")
	}
	reset := func(f *fixture, e *exchange) {
		f.beginStop(stopTime)
		e.closeConn()
	}
	fail := func(f *fixture, e *exchange) {
		f.beginStop(stopTime)
		e.answer(http.StatusInternalServerError, "", "failed")
	}
	whole := func(_ *fixture, e *exchange) { good(e) }
	for _, test := range []struct {
		name  string
		route kcwroute.Route
		// prepare arranges for the stop to begin while the request waits.
		prepare func(f *fixture)
		// first is the answer to the first attempt, later ones are answered in full.
		first  func(f *fixture, e *exchange)
		header []string
		// status and sends are those of a request whose deadline is after the stop's end, and
		// inTime is the status if its deadline is before that.
		status, sends, inTime int
	}{
		{"a wait for tokens", generating, func(f *fixture) {
			f.onTokenRequest = func() bool {
				f.beginStop(stopTime)
				f.grant(100, 100, 100)
				return true
			}
		}, whole, []string{"Prompt", "10", "Output", "10"}, 503, 0, 200},
		{"a wait for a permit", once, func(f *fixture) {
			f.limits.limited["u0"], f.limits.limited["u1"] = true, true
			f.limits.permits["u0"], f.limits.permits["u1"] = 1, 1
			f.limits.onAcquire = func() { f.beginStop(stopTime) }
		}, whole, nil, 503, 0, 200},
		{"a retry of a request that was not run", once, nil, refuse, nil, 503, 1, 200},
		{"a retry of a request that may have run", repeatable, nil, reset, nil, 502, 1, 200},
		{"a retry of a request that failed", repeatable, nil, fail, nil, 500, 1, 200},
	} {
		for _, isInTime := range []bool{false, true} {
			var f *fixture
			f = newFixture(t, 2, test.route, first(func(e *exchange) { test.first(f, e) }, good))
			if test.prepare != nil {
				test.prepare(f)
			}
			header, status := test.header, test.status
			if isInTime {
				header, status = append([]string{"Wait", strconv.FormatInt((stopTime / 2).Milliseconds(), 10)}, header...), test.inTime
			}
			response, _, err := f.call(t, http.MethodPost, "", header...)
			if err != nil || response.StatusCode != status || !response.Close {
				t.Errorf("%s, deadline before the end %v: status %d, connection closed: %v, error %v; want status %d", test.name, isInTime, response.StatusCode, response.Close, err, status)
			}
			if !isInTime {
				f.checkStopped(t, test.name, response, test.sends)
			}
		}
	}
}

// TestBegunStreamGoesOnDuringStop guards against a stream that is cut because its upstream breaks
// off during a stop, although another one can go on with it.
func TestBegunStreamGoesOnDuringStop(t *testing.T) {
	var f *fixture
	f = newFixture(t, 2, resumable, first(func(e *exchange) {
		e.events(false, "id: 1\n\n")
		f.beginStop(longTime / 2)
		e.closeConn()
	}, func(e *exchange) { e.events(true, "id: 2\n\n") }))
	_, body, err := f.call(t, http.MethodPost, "")
	if want := "id: 1\n\nid: 2\n\n"; err != nil || body != want || f.arrivals() != 2 {
		t.Errorf("body %q, error %v, sent %d times; want %q", body, err, f.arrivals(), want)
	}
}

// checkStopped checks that an attempt was not begun because of a stop, after the given number
// of attempts.
func (f *fixture) checkStopped(t *testing.T, name string, response *http.Response, sends int) {
	t.Helper()
	if got := f.arrivals(); got != sends {
		t.Errorf("%s: sent %d times, want %d", name, got, sends)
	}
	if isRefused := response.StatusCode == http.StatusServiceUnavailable; isRefused && response.Header.Get("Retry-After") == "" {
		t.Errorf("%s: refused without Retry-After", name)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.events {
		if !strings.Contains(e.Cause, "the router stops") || (e.Outcome == "Stopping") != (e.Status == http.StatusServiceUnavailable) {
			t.Errorf("%s: ended %s with status %d, cause %q", name, e.Outcome, e.Status, e.Cause)
		}
	}
}

// TestStopDuringBodyBeginsNoAttempt guards against a request that is passed on late because its
// body was read slowly.
func TestStopDuringBodyBeginsNoAttempt(t *testing.T) {
	f := newFixture(t, 1, once, good)
	body, rest := io.Pipe()
	go func() {
		_, _ = io.WriteString(rest, "first ")
		for f.forwarder.InFlight() == 0 {
			time.Sleep(time.Millisecond)
		}
		// The router has read the header by now.
		time.Sleep(20 * time.Millisecond)
		f.beginStop(longTime / 2)
		_, _ = io.WriteString(rest, "second")
		_ = rest.Close()
	}()
	response := f.open(t, http.MethodPost, body)
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusServiceUnavailable || !response.Close {
		t.Errorf("status %d, connection closed: %v", response.StatusCode, response.Close)
	}
	f.checkStopped(t, "body", response, 0)
}

// TestBodyIsNotReadBeyondStop guards against a request without an answer whose body is not
// complete when the stop ends.
func TestBodyIsNotReadBeyondStop(t *testing.T) {
	const earlier = 60
	f := newFixture(t, 1, repeatable, good)
	for i := range earlier {
		_, _, _ = f.call(t, http.MethodPost, "", "Attempt", "earlier-"+strconv.Itoa(i))
	}
	f.beginStop(700 * time.Millisecond)
	body, rest := io.Pipe()
	defer func() { _ = rest.Close() }()
	go func() { _, _ = io.WriteString(rest, "first ") }()
	response := f.open(t, http.MethodPost, body)
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusServiceUnavailable || !response.Close || f.arrivals() != earlier {
		t.Errorf("status %d, connection closed: %v, sent %d times", response.StatusCode, response.Close, f.arrivals()-earlier)
	}
}

// TestStopBeginsNoHedge guards against a second attempt beside a silent upstream that may
// outlast the stop.
func TestStopBeginsNoHedge(t *testing.T) {
	var f *fixture
	f = newSilenceFixture(t, 2, repeatable, shortSilence, first(func(e *exchange) {
		f.beginStop(longTime / 2)
		for !f.hasHedge(kcwforward.HedgeNotBegun, "the router stops") && f.arrivals() == 1 {
			time.Sleep(time.Millisecond)
		}
		good(e)
	}, good))
	response, body, err := f.call(t, http.MethodPost, "")
	if err != nil || response.StatusCode != http.StatusOK || body != "whole" {
		t.Errorf("status %d, body %q, error %v", response.StatusCode, body, err)
	}
	if got := f.arrivals(); got != 1 {
		t.Errorf("sent %d times", got)
	}
}

// TestEndAnswersRequestWithSlowBody guards against a request that is cut without an answer
// because its body, which was read already when the stop began, is still not complete.
func TestEndAnswersRequestWithSlowBody(t *testing.T) {
	f := newFixture(t, 1, once, good)
	body, rest := io.Pipe()
	defer func() { _ = rest.Close() }()
	go func() {
		_, _ = io.WriteString(rest, "first ")
		for f.forwarder.InFlight() == 0 {
			time.Sleep(time.Millisecond)
		}
		f.beginStop(0)
		f.forwarder.End()
	}()
	response := f.open(t, http.MethodPost, body)
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusServiceUnavailable || !response.Close {
		t.Errorf("status %d, connection closed: %v", response.StatusCode, response.Close)
	}
	f.checkStopped(t, "body", response, 0)
}

// TestEndAnswersWaitingRequests guards against requests that are cut without an answer, and
// keep their tokens, because the router ends while their upstream is silent.
func TestEndAnswersWaitingRequests(t *testing.T) {
	const tokens = 100
	generating := resumable
	generating.Generates = true
	for _, test := range []struct {
		name   string
		route  kcwroute.Route
		events []string
		header []string
		status int
		// spent is the number of tokens of the request that remain spent.
		spent int64
	}{
		{"not idempotent", once, nil, nil, http.StatusBadGateway, 0},
		{"idempotent", repeatable, nil, nil, http.StatusBadGateway, 0},
		{"stream without events", generating, nil, []string{"Prompt", "10", "Output", "90"}, http.StatusBadGateway, 10},
		{"stream that has begun", generating, []string{"id: 1\n\n"}, []string{"Prompt", "10", "Output", "90"}, http.StatusOK, 13},
	} {
		arrived := make(chan struct{}, 2)
		f := newFixture(t, 2, test.route, func(e *exchange) {
			if test.events != nil {
				e.events(false, test.events...)
			}
			arrived <- struct{}{}
		})
		f.grant(tokens, tokens, tokens)
		end := func() {
			f.beginStop(0)
			f.forwarder.End()
		}
		if test.events == nil {
			go func() {
				<-arrived
				end()
			}()
		}
		response := f.open(t, http.MethodPost, nil, test.header...)
		if test.events != nil {
			end()
		}
		_, err := io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode != test.status || (err != nil) != (test.events != nil) {
			t.Errorf("%s: status %d, error %v; want status %d", test.name, response.StatusCode, err, test.status)
		}
		for f.forwarder.InFlight() > 0 {
			time.Sleep(time.Millisecond)
		}
		if f.arrivals() != 1 {
			t.Errorf("%s: sent %d times", test.name, f.arrivals())
		}
		for _, team := range f.balance.Teams() {
			if team.Reserved != 0 || team.Spent != test.spent {
				t.Errorf("%s: %d tokens are reserved and %d spent, want %d", test.name, team.Reserved, team.Spent, test.spent)
			}
		}
	}
}

// hasHedge reports whether a hedge with the state was reported whose cause begins with cause.
func (f *fixture) hasHedge(state kcwforward.HedgeState, cause string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.hedges {
		if h.State == state && strings.HasPrefix(h.Cause, cause) {
			return true
		}
	}
	return false
}
