package kcwforward_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"kingcupwick.example/kcw/kcwforward"
	"kingcupwick.example/kcw/kcwpermit"
	"kingcupwick.example/kcw/kcwroute"
)

// The first attempt is refused while the hedge beside it is silent too.
func TestRequestDoesNotStayAtSilentHedge(t *testing.T) {
	f := newSilenceFixture(t, 3, repeatable, shortSilence, func(e *exchange) {
		switch e.number {
		case 1:
			time.Sleep(pauseTime)
			e.answer(http.StatusServiceUnavailable, "Not-Run: 1\r\n", "full")
		case 2:
		default:
			good(e)
		}
	})
	if response, body, _ := f.call(t, http.MethodPost, ""); response.StatusCode != http.StatusOK || body != "whole" {
		t.Errorf("got %d, %q after %d sends, want the answer of the third upstream", response.StatusCode, body, f.arrivals())
	}
}

// isClosed reports whether the router has closed the connection.
func isClosed(conn net.Conn) bool {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		n, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = n == 0 && err == nil || err != nil && !errors.Is(err, unix.EAGAIN)
	})
	return closed || err != nil
}

// The hedge stops after its first event until the silent upstream sees its connection closed.
func TestLoserOfHedgeIsEnded(t *testing.T) {
	closed := make(chan struct{})
	f := newSilenceFixture(t, 2, resumable, shortSilence, func(e *exchange) {
		if e.number == 1 {
			for !isClosed(e.conn) {
				time.Sleep(time.Millisecond)
			}
			close(closed)
			return
		}
		e.events(false, event1)
		<-closed
		rest := event2 + event3 + event4
		fmt.Fprintf(e.conn, "%x\r\n%s\r\n0\r\n\r\n", len(rest), rest)
	})
	if status, body, err := f.tryCall(t.Context(), "a", ""); status != http.StatusOK || body != whole || err != nil {
		t.Errorf("got %d, %q and error %v, want the whole stream", status, body, err)
	}
}

// Both upstreams of a hedged request see that its caller disconnects.
func TestLeavingCallerEndsHedgedAttempts(t *testing.T) {
	for _, test := range []struct {
		name  string
		route kcwroute.Route
		// used is the number of tokens billed, of a prompt of 500.
		used int64
	}{
		{"stream", resumable, 500},
		{"idempotent", repeatable, 500},
	} {
		test.route.Generates = true
		arrived := make(chan struct{}, 2)
		var closed sync.WaitGroup
		closed.Add(2)
		f := newSilenceFixture(t, 2, test.route, shortSilence, func(e *exchange) {
			arrived <- struct{}{}
			for !isClosed(e.conn) {
				time.Sleep(time.Millisecond)
			}
			closed.Done()
		})
		f.grant(1000, 0, 1000)
		ctx, disconnect := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_, _, _ = f.tryCallWith(ctx, map[string]string{"Attempt": "a", "Key": "key", "Prompt": "500", "Output": "100"})
		}()
		<-arrived
		<-arrived
		disconnect()
		<-done
		closed.Wait()
		for f.forwarder.InFlight() > 0 {
			time.Sleep(time.Millisecond)
		}
		f.checkSpent(t, test.name, test.used)
	}
}

// The tokens of a hedged request are billed once, whoever answers.
func TestHedgedRequestIsBilledOnce(t *testing.T) {
	for _, test := range []struct {
		name string
		// first and second are what the two upstreams do. Resumed is closed once the second
		// has got the request.
		first, second func(e *exchange, resumed chan struct{})
		status        int
		used          int64
	}{
		{"the hedge wins", func(*exchange, chan struct{}) {}, func(e *exchange, _ chan struct{}) { e.events(true, whole) }, 200, 500 + 4*3},
		{"the hedge loses", func(e *exchange, resumed chan struct{}) { <-resumed; e.events(true, whole) }, func(_ *exchange, resumed chan struct{}) { close(resumed) }, 200, 500 + 4*3},
		{"the hedge is refused", func(e *exchange, resumed chan struct{}) { <-resumed; e.events(true, whole) }, func(e *exchange, resumed chan struct{}) {
			e.answer(503, "Not-Run: 1\r\n", "")
			close(resumed)
		}, 200, 500 + 4*3},
		{"the hedge breaks off", func(e *exchange, resumed chan struct{}) { <-resumed; e.events(true, whole) }, func(e *exchange, resumed chan struct{}) {
			e.closeConn()
			close(resumed)
		}, 200, 500 + 4*3},
		{"both break off", func(e *exchange, resumed chan struct{}) { <-resumed; e.closeConn() }, func(e *exchange, resumed chan struct{}) {
			e.closeConn()
			close(resumed)
		}, 502, 500},
		{"both are refused", func(e *exchange, resumed chan struct{}) { <-resumed; e.answer(503, "Not-Run: 1\r\n", "") }, func(e *exchange, resumed chan struct{}) {
			e.answer(503, "Not-Run: 1\r\n", "")
			close(resumed)
		}, 503, 0},
	} {
		route := resumable
		route.Generates = true
		resumed := make(chan struct{})
		f := newSilenceFixture(t, 2, route, shortSilence, func(e *exchange) {
			if e.number == 1 {
				test.first(e, resumed)
			} else {
				test.second(e, resumed)
			}
		})
		f.grant(1000, 0, 1000)
		status, _, _ := f.tryCallWith(t.Context(), map[string]string{"Attempt": "a", "Key": "key", "Prompt": "500", "Output": "100"})
		for f.forwarder.InFlight() > 0 {
			time.Sleep(time.Millisecond)
		}
		if status != test.status {
			t.Errorf("%s: got status %d, want %d", test.name, status, test.status)
		}
		f.checkSpent(t, test.name, test.used)
	}
}

// All upstreams pause at once with many requests; the budget is 10 and a tenth of the requests.
func TestHedgesStayWithinRetryBudget(t *testing.T) {
	const requests = 200
	for _, test := range []struct {
		name  string
		route kcwroute.Route
	}{
		{"idempotent", repeatable}, {"stream", resumable}, {"not to be repeated", once},
	} {
		resumed := make(chan struct{})
		f := newSilenceFixture(t, 3, test.route, shortSilence, func(e *exchange) { goOnAfter(e, resumed, test.route) })
		// The upstreams begin to be silent at different times, so that hedges find others.
		var calls sync.WaitGroup
		var mu sync.Mutex
		wholes := 0
		for i := range requests {
			calls.Go(func() {
				if status, _, err := f.tryCall(t.Context(), strconv.Itoa(i), ""); status == http.StatusOK && err == nil {
					mu.Lock()
					wholes++
					mu.Unlock()
				}
			})
			if i == requests/2 {
				time.Sleep(2 * shortSilence)
			}
		}
		time.AfterFunc(pauseTime, func() { close(resumed) })
		calls.Wait()
		if wholes != requests {
			t.Errorf("%s: %d of %d callers got a whole answer", test.name, wholes, requests)
		}
		if retries, limit := f.arrivals()-requests, 10+requests/10; retries > limit || !test.route.MayRepeat() && retries > 0 {
			t.Errorf("%s: %d retries for %d requests, at most %d are allowed", test.name, retries, requests, limit)
		}
	}
}

// A caller that doesn't read holds up a stream whose upstream others find silent.
func TestSlowCallerGetsEachEventOnce(t *testing.T) {
	// The events exceed what the connections on the way hold.
	const events, eventBytes = 400, 1 << 15
	var text []string
	for i := range events {
		text = append(text, fmt.Sprintf("id: %d\ndata: %s\n\n", i+1, strings.Repeat(string(rune('a'+i%26)), eventBytes)))
	}
	f := newSilenceFixture(t, 2, resumable, shortSilence, func(e *exchange) {
		if e.Header.Get("Attempt") != "slow" {
			time.Sleep(pauseTime)
			e.events(true, whole)
			return
		}
		last, _ := strconv.Atoi(e.Header.Get("Last"))
		e.events(true, text[last:]...)
	})
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.url+"/a/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "host.example"
	request.Header.Set("Attempt", "slow")
	request.Header.Set("Key", "key")
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var others sync.WaitGroup
	for i := range 4 {
		others.Go(func() {
			if status, body, err := f.tryCall(t.Context(), strconv.Itoa(i), ""); status != http.StatusOK || body != whole || err != nil {
				t.Errorf("another caller got %d, %q and error %v", status, body, err)
			}
		})
	}
	others.Wait()
	if body, err := io.ReadAll(response.Body); err != nil || string(body) != strings.Join(text, "") {
		t.Errorf("the slow caller got %d bytes, with error %v, that differ from those sent", len(body), err)
	}
}

// Many requests whose upstreams pause compete for the last retries.
func TestReasonAgainstHedgeIsReportedOnce(t *testing.T) {
	p := pause{upstreams: 2, route: repeatable, waiting: 60}
	_, f := p.run(t)
	f.mu.Lock()
	defer f.mu.Unlock()
	reports := map[string]int{}
	for _, h := range f.hedges {
		if h.State != kcwforward.HedgeNotBegun {
			continue
		}
		if reports[h.RequestID+": "+h.Cause]++; reports[h.RequestID+": "+h.Cause] == 2 {
			t.Errorf("%s: %s is reported again", h.RequestID, h.Cause)
		}
	}
	if len(reports) == 0 {
		t.Error("no reason was reported")
	}
}

// An upstream is silent until it sends a part of an answer, without the end of an event.
func TestPartOfAnswerEndsSilence(t *testing.T) {
	for _, test := range []struct{ name, header string }{{"body", ""}, {"event", eventStream}} {
		var f *fixture
		isSilent := func() bool { return f.roster.Upstreams()[0].State == "Silent" }
		hasEnded := make(chan bool, 1)
		waiting := make(chan struct{})
		f = newSilenceFixture(t, 1, resumable, shortSilence, func(e *exchange) {
			if e.Header.Get("Attempt") == "waiting" {
				close(waiting)
				return
			}
			const size = 1 << 20
			fmt.Fprintf(e.conn, "HTTP/1.1 200 X\r\nAttempt: %s\r\n%sContent-Length: %d\r\n\r\nid: 1\ndata: ", e.Header.Get("Attempt"), test.header, size)
			<-waiting
			for !isSilent() {
				time.Sleep(time.Millisecond)
			}
			end := time.Now().Add(longTime / 2)
			for isSilent() && time.Now().Before(end) {
				_, _ = io.WriteString(e.conn, "x")
				time.Sleep(time.Millisecond)
			}
			hasEnded <- time.Now().Before(end)
		})
		ctx, cancel := context.WithCancel(t.Context())
		var calls sync.WaitGroup
		for _, id := range []string{"sending", "waiting"} {
			calls.Go(func() { _, _, _ = f.tryCall(ctx, id, "") })
		}
		if !<-hasEnded {
			t.Errorf("%s: the upstream counts as silent while it sends", test.name)
		}
		cancel()
		calls.Wait()
	}
}

// Hedges that wait for permits, as many as there are retries, leave one to a request that is cut.
func TestHedgeWaitingForPermitWithholdsNoRetry(t *testing.T) {
	const retries = 10
	resumed := make(chan struct{})
	f := newSilenceFixture(t, 2, repeatable, shortSilence, func(e *exchange) {
		switch {
		case e.Header.Get("Attempt") != "cut":
			<-resumed
		case e.Header.Get("Upstream") == "u1":
			e.closeConn()
			return
		}
		good(e)
	})
	f.limits.limited["u1"] = true
	waiting := make(chan struct{}, 100)
	f.limits.acquire = func(ctx context.Context, claim kcwpermit.Claim) string {
		if claim.RequestID == "cut" {
			return "u1"
		}
		if f.arrivals() < retries {
			return ""
		}
		waiting <- struct{}{}
		<-ctx.Done()
		return ""
	}
	var calls sync.WaitGroup
	for i := range retries {
		calls.Go(func() {
			if status, _, err := f.tryCall(t.Context(), strconv.Itoa(i), ""); status != http.StatusOK || err != nil {
				t.Errorf("request %d, whose upstream pauses, got %d and error %v", i, status, err)
			}
		})
	}
	for range retries {
		<-waiting
	}
	if status, body, err := f.tryCall(t.Context(), "cut", ""); status != http.StatusOK || err != nil {
		t.Errorf("the request that was cut got %d, %q and error %v", status, body, err)
	}
	close(resumed)
	calls.Wait()
}

// The upstream of the first attempt pauses and goes on, that of the hedge fails the request.
func TestFailureOfHedgeEndsNoPausedAttempt(t *testing.T) {
	failed := make(chan struct{})
	f := newSilenceFixture(t, 2, repeatable, shortSilence, func(e *exchange) {
		if e.number == 1 {
			<-failed
			time.Sleep(shortSilence)
			good(e)
			return
		}
		e.answer(http.StatusInternalServerError, "", "failed")
		close(failed)
	})
	if status, body, err := f.tryCall(t.Context(), "a", ""); status != http.StatusOK || body != "whole" || err != nil {
		t.Errorf("got %d, %q and error %v, want the answer of the upstream that paused", status, body, err)
	}
}

// Retries that find no upstream leave the budget to a request that is cut later.
func TestRetryThatIsNotSentIsRefunded(t *testing.T) {
	// More than the retries of a new budget and those that the requests add.
	const cut = 12
	f := newFixture(t, 2, repeatable, func(e *exchange) {
		if e.Header.Get("Upstream") == "u0" {
			e.closeConn()
			return
		}
		good(e)
	})
	f.limits.limited["u1"] = true
	f.limits.acquire = func(context.Context, kcwpermit.Claim) string {
		if f.arrivals() <= cut {
			return ""
		}
		return "u1"
	}
	for i := range cut {
		if status, _, err := f.tryCall(t.Context(), strconv.Itoa(i), ""); status != http.StatusBadGateway || err != nil {
			t.Errorf("request %d, for which there is no other upstream, got %d and error %v", i, status, err)
		}
	}
	if status, body, err := f.tryCall(t.Context(), "last", ""); status != http.StatusOK || err != nil {
		t.Errorf("the request that can be sent again got %d, %q and error %v", status, body, err)
	}
}
