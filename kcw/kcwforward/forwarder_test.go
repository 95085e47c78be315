package kcwforward_test

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwroute"
	"kingcupwick.example/kcw/kcwstop"
)

var (
	repeatable = kcwroute.Route{Kind: kcwroute.Idempotent, MaxAttempts: 2}
	once       = kcwroute.Route{Kind: kcwroute.NonIdempotent, MaxAttempts: 2}
	stream     = kcwroute.Route{Kind: kcwroute.Stream, MaxAttempts: 2}
	resumable  = kcwroute.Route{Kind: kcwroute.Stream, MaxAttempts: 2, Resumable: true}
)

// first returns a script that answers the first request by firstScript and all later
// ones by rest.
func first(firstScript, rest func(e *exchange)) func(e *exchange) {
	return func(e *exchange) {
		if e.number == 1 {
			firstScript(e)
			return
		}
		rest(e)
	}
}

func good(e *exchange) { e.answer(200, "Seal: s\r\n", "whole") }

// TestAttempts checks, for the ways in which an upstream can fail, what the caller
// receives and how many attempts are made.
func TestAttempts(t *testing.T) {
	refuse := func(e *exchange) { e.answer(503, "Not-Run: 1\r\n", "full") }
	misdirect := func(e *exchange) { e.answer(421, "", "not me") }
	fail := func(e *exchange) { e.answer(500, "Seal: f\r\n", "failed") }
	reset := func(e *exchange) { e.closeConn() }
	cut := func(e *exchange) {
		e.answer(200, "", "")
		e.closeConn()
	}
	short := func(e *exchange) {
		_, _ = e.conn.Write([]byte("HTTP/1.1 200 OK\r\nAttempt: id-1\r\nContent-Length: 9\r\n\r\nhalf"))
		e.closeConn()
	}
	garbage := func(e *exchange) {
		_, _ = e.conn.Write([]byte("no answer in the protocol\r\n\r\n"))
		e.closeConn()
	}
	encoded := func(e *exchange) { e.answer(200, "Content-Encoding: gzip\r\n", "spoilt") }
	staleFirst := func(e *exchange) {
		_, _ = e.conn.Write([]byte("HTTP/1.1 200 OK\r\nAttempt: id-0\r\nContent-Length: 6\r\n\r\nsecret"))
		good(e)
	}
	for _, test := range []struct {
		name   string
		route  kcwroute.Route
		script func(e *exchange)
		status int
		body   string
		sends  int
	}{
		{"good", once, good, 200, "whole", 1},
		{"full, once", once, first(refuse, good), 200, "whole", 2},
		{"full everywhere", once, refuse, 503, "", 4},
		{"address reused, once", once, first(misdirect, good), 200, "whole", 2},
		{"failed, once", once, first(fail, good), 500, "failed", 1},
		{"failed, repeatable", repeatable, first(fail, good), 200, "whole", 2},
		{"failed everywhere", repeatable, fail, 500, "failed", 2},
		{"reset, once", once, first(reset, good), 502, "", 1},
		{"reset, repeatable", repeatable, first(reset, good), 200, "whole", 2},
		{"closed after the answer", once, cut, 200, "", 1},
		{"short, once", once, first(short, good), 502, "", 1},
		{"short, repeatable", repeatable, first(short, good), 200, "whole", 2},
		{"garbage, once", once, first(garbage, good), 502, "", 1},
		{"encoded, once", once, first(encoded, good), 502, "", 1},
		{"answer to another request first", once, staleFirst, 200, "whole", 1},
		{"stream refused with a status", stream, fail, 500, "failed", 1},
	} {
		f := newFixture(t, 4, test.route, test.script)
		response, body, err := f.call(t, http.MethodPost, "body")
		if err != nil {
			t.Errorf("%s: %v", test.name, err)
		}
		if response.StatusCode != test.status || test.body != "" && body != test.body || f.arrivals() != test.sends {
			t.Errorf("%s: status %d, body %q after %d sends; want %d, %q, %d", test.name, response.StatusCode, body, f.arrivals(), test.status, test.body, test.sends)
		}
		if f.retries != test.sends-1 {
			t.Errorf("%s: OnRetry was called %d times for %d sends", test.name, f.retries, test.sends)
		}
		if test.status == 502 || test.status == 503 {
			if response.Header.Get("Seal") != "" {
				t.Errorf("%s: the router's own answer carries an upstream's header", test.name)
			}
		}
	}
}

// TestWithdrawn checks that an upstream that states that it leaves, or that it declines
// requests for a time, gets no further requests, whatever the status of its answer.
func TestWithdrawn(t *testing.T) {
	const decline = "Decline: 20000\r\n"
	for _, test := range []struct {
		name       string
		header     string
		status     int
		upstreams  int
		sends      int
		outcome    string
		retryAfter int
	}{
		{"leaves, with an answer", "Leaving: 1\r\n", 200, 1, 1, "Refused", 0},
		{"leaves, with a failure", "Leaving: 1\r\n", 500, 1, 1, "Refused", 0},
		{"declines", "Not-Run: 1\r\n" + decline, 503, 1, 1, "Declined", 20_000},
		{"declines and may have run", decline, 503, 1, 1, "Declined", 20_000},
		{"all decline", "Not-Run: 1\r\n" + decline, 503, 3, 3, "Declined", 20_000},
	} {
		f := newFixture(t, test.upstreams, once, func(e *exchange) { e.answer(test.status, test.header, "x") })
		for range 5 {
			if _, _, err := f.call(t, http.MethodPost, "body"); err != nil {
				t.Errorf("%s: %v", test.name, err)
			}
		}
		response, _, err := f.call(t, http.MethodPost, "body")
		if err != nil {
			t.Errorf("%s: %v", test.name, err)
			continue
		}
		if got := f.arrivals(); got != test.sends {
			t.Errorf("%s: the upstreams received %d requests, want %d", test.name, got, test.sends)
		}
		f.mu.Lock()
		last := f.events[len(f.events)-1]
		f.mu.Unlock()
		after, err := strconv.Atoi(response.Header.Get("Retry-After"))
		if response.StatusCode != 503 || last.Outcome != test.outcome || last.Sends != 0 || err != nil {
			t.Errorf("%s: status %d, outcome %s after %d sends, Retry-After %q", test.name, response.StatusCode, last.Outcome, last.Sends, response.Header.Get("Retry-After"))
		}
		// A caller that retries sooner would be refused again. The tests may take up to
		// maxElapsed, in milliseconds.
		const maxElapsed = 10_000
		if test.retryAfter > 0 && (after < test.retryAfter-maxElapsed || after > 2*test.retryAfter) {
			t.Errorf("%s: Retry-After is %d ms, want about %d", test.name, after, test.retryAfter)
		}
	}
}

// TestUnchanged checks that method, path, query and body reach the upstream unchanged,
// and that the caller's key and hop-by-hop headers do not reach it.
func TestUnchanged(t *testing.T) {
	f := newFixture(t, 1, once, good)
	_, _, _ = f.call(t, http.MethodPut, strings.Repeat("long ", 9999), "Other", "kept", "Connection", "Hop", "Hop", "dropped", "Wait", "5000")
	got := f.requests[0]
	if got.Method != http.MethodPut || got.RequestURI != "/a/x?q=1" || got.Host != "host.example" || f.bodies[0] != strings.Repeat("long ", 9999) {
		t.Errorf("got %s %s at %s with %d bytes", got.Method, got.RequestURI, got.Host, len(f.bodies[0]))
	}
	for name, want := range map[string]string{"Key": "", "Hop": "", "Other": "kept", "Team": "team", "Attempt": "id-1"} {
		if got.Header.Get(name) != want {
			t.Errorf("header %s is %q, want %q", name, got.Header.Get(name), want)
		}
	}
	if wait := got.Header.Get("Wait"); wait == "" || len(wait) > 4 {
		t.Errorf("the forwarded time is %q ms of 5000 ms", wait)
	}
}

// TestStreams checks that the events of a stream reach the caller whole and only once,
// also over a resumption, and that a stream without its end does not look complete.
func TestStreams(t *testing.T) {
	const a, b, c = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"
	whole := func(e *exchange) { e.events(true, a, b, c) }
	rest := func(e *exchange) {
		if e.Header.Get("Last") == "2" {
			e.events(true, c)
			return
		}
		e.events(true, "data: resumed after "+e.Header.Get("Last")+"\n\n")
	}
	cut := func(e *exchange) {
		e.events(false, a+b[:5], b[5:]+c[:7])
		e.closeConn()
	}
	for _, test := range []struct {
		name   string
		route  kcwroute.Route
		script func(e *exchange)
		body   string
		broken bool
	}{
		{"whole", stream, whole, a + b + c, false},
		{"cut in an event", stream, cut, a + b, true},
		{"resumed", resumable, first(cut, rest), a + b + c, false},
		{"cut before the first event", resumable, first(func(e *exchange) { e.events(false); e.closeConn() }, whole), a + b + c, false},
		{"resuming fails", resumable, first(cut, func(e *exchange) { e.closeConn() }), a + b, true},
		{"ends within an event", stream, func(e *exchange) { e.events(true, a, b[:5]) }, a, true},
	} {
		f := newFixture(t, 3, test.route, test.script)
		_, body, err := f.call(t, http.MethodPost, "")
		if body != test.body || (err != nil) != test.broken {
			t.Errorf("%s: got %q and error %v, want %q and broken %v", test.name, body, err, test.body, test.broken)
		}
	}
}

// TestSurplusAnswer checks that a second answer to one request, which stays in a reused
// connection, is not passed on as the answer to the next request.
func TestSurplusAnswer(t *testing.T) {
	f := newFixture(t, 1, once, func(e *exchange) { e.answer(200, "", "answer to "+e.Header.Get("Attempt")) })
	if _, body, _ := f.call(t, http.MethodPost, ""); body != "answer to id-1" {
		t.Fatalf("got %q", body)
	}
	f.mu.Lock()
	firstRequest := f.requests[0]
	f.mu.Unlock()
	firstRequest.answer(200, "", "again")
	if _, body, _ := f.call(t, http.MethodPost, "", "Attempt", "id-2"); body != "answer to id-2" {
		t.Errorf("the second caller got %q", body)
	}
}

// TestEarlyAnswer checks that an upstream may answer before it has read a large body,
// and that the connection is not reused in that case.
func TestEarlyAnswer(t *testing.T) {
	f := newFixture(t, 1, once, func(e *exchange) { e.answer(413, "", "too long") })
	response, body, err := f.call(t, http.MethodPost, strings.Repeat("x", maxBodyBytes), "Leave-Body", "1")
	if err != nil || response.StatusCode != 413 || body != "too long" {
		t.Fatalf("got %d, %q, %v", response.StatusCode, body, err)
	}
	if _, _, err := f.call(t, http.MethodPost, "", "Attempt", "id-2"); err != nil {
		t.Error(err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.requests) > 1 && f.requests[0].conn == f.requests[1].conn {
		t.Error("the second request was sent on a connection that still expects the first body")
	}
}

// TestCallerLeaves checks that the connection to the upstream is closed when the caller
// disconnects.
func TestCallerLeaves(t *testing.T) {
	closed := make(chan struct{})
	f := newFixture(t, 1, resumable, func(e *exchange) {
		e.events(false, "data: a\n\n")
		_, _ = e.conn.Read(make([]byte, 1))
		close(closed)
	})
	ctx, disconnect := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url+"/a/", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "host.example"
	request.Header.Set("Key", "key")
	request.Header.Set("Attempt", "id-1")
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	disconnect()
	_ = response.Body.Close()
	select {
	case <-closed:
	case <-time.After(longTime):
		t.Error("the connection to the upstream is still open after the caller disconnected")
	}
}

// TestLeavingCosts guards against requests that run and are not charged because their callers
// disconnect before the first event. Only a statement of the upstream, or a request that it has
// not got whole, shows that the request was not run; the end of the connection does not.
func TestLeavingCosts(t *testing.T) {
	route := stream
	route.Generates = true
	for _, test := range []struct {
		name string
		// react is what the upstream does when the caller's disconnect reaches it.
		react func(e *exchange)
		used  int64
	}{
		{"dropped", func(e *exchange) { e.closeConn() }, 500},
		{"dropped after the header", func(e *exchange) { e.events(false); e.closeConn() }, 500},
		{"dropped within the first event", func(e *exchange) { e.events(false, "data:"); e.closeConn() }, 500},
		{"states that it did not run", func(e *exchange) { e.answer(503, "Not-Run: 1\r\n", "") }, 0},
		{"misdirected", func(e *exchange) { e.answer(421, "", "") }, 0},
		{"refused without a statement", func(e *exchange) { e.answer(503, "", "") }, 500},
		{"answered meanwhile", func(e *exchange) { e.events(true, "data: a\n\n") }, 500},
		{"silent", func(*exchange) {}, 500},
	} {
		arrived := make(chan struct{})
		f := newFixture(t, 1, route, func(e *exchange) {
			close(arrived)
			_, _ = e.conn.Read(make([]byte, 1))
			test.react(e)
		})
		f.grant(1000, 0, 1000)
		ctx, disconnect := context.WithCancel(t.Context())
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url+"/a/", nil)
		if err != nil {
			t.Fatal(err)
		}
		request.Host = "host.example"
		for name, value := range map[string]string{"Key": "key", "Attempt": "id-1", "Prompt": "500", "Output": "100"} {
			request.Header.Set(name, value)
		}
		done := make(chan struct{})
		go func() {
			response, err := http.DefaultTransport.RoundTrip(request)
			if err == nil {
				_ = response.Body.Close()
			}
			close(done)
		}()
		<-arrived
		disconnect()
		<-done
		for f.forwarder.InFlight() > 0 {
			time.Sleep(time.Millisecond)
		}
		f.checkSpent(t, test.name, test.used)
	}
}

// TestGenerationStatesItsTokens guards against generations that are free because they state no
// number of tokens. Services that generate nothing have none.
func TestGenerationStatesItsTokens(t *testing.T) {
	for _, test := range []struct {
		name        string
		eventTokens int64
		generates   bool
		status      int
	}{
		{"generation", 3, true, http.StatusBadRequest},
		{"service without events", 0, true, http.StatusOK},
		{"plain route", 3, false, http.StatusOK},
	} {
		route := repeatable
		route.Generates = test.generates
		f := newFixture(t, 1, route, good)
		document := newDocument(t, route)
		document.Services[0].EventTokens = test.eventTokens
		f.document.Store(document)
		response, _, _ := f.call(t, http.MethodPost, "")
		if response.StatusCode != test.status || f.arrivals() != map[bool]int{true: 1}[test.status == http.StatusOK] {
			t.Errorf("%s: status %d after %d sends, want %d", test.name, response.StatusCode, f.arrivals(), test.status)
		}
	}
}

// TestPartlySentCosts checks the tokens of a request of which the upstream reads only the head. Its
// body is larger than the buffers of a connection.
func TestPartlySentCosts(t *testing.T) {
	route := stream
	route.Generates = true
	for _, test := range []struct {
		name  string
		react func(e *exchange)
		used  int64
	}{
		{"closed", func(e *exchange) { e.closeConn() }, 0},
		{"answered", func(e *exchange) { e.events(true, "data: a\n\n") }, 503},
	} {
		f := newFixture(t, 1, route, test.react)
		f.grant(1000, 0, 1000)
		_, _, _ = f.call(t, http.MethodPost, strings.Repeat("x", maxBodyBytes), "Leave-Body", "1", "Prompt", "500", "Output", "100")
		for f.forwarder.InFlight() > 0 {
			time.Sleep(time.Millisecond)
		}
		f.checkSpent(t, test.name, test.used)
	}
}

// TestUncountedAnswersCost checks that the output of a generation whose events can't be counted is
// charged at its most.
func TestUncountedAnswersCost(t *testing.T) {
	whole := func(e *exchange) { good(e) }
	for _, test := range []struct {
		name  string
		route kcwroute.Route
		react func(e *exchange)
		used  int64
	}{
		{"stream", stream, func(e *exchange) { e.answer(http.StatusOK, "Content-Type: text/plain\r\n", "whole") }, 600},
		{"idempotent", repeatable, whole, 600},
		{"not idempotent", once, whole, 600},
		{"empty", once, func(e *exchange) { e.answer(http.StatusNoContent, "", "") }, 500},
		{"rejected", once, func(e *exchange) { e.answer(http.StatusBadRequest, "", "too long") }, 500},
		{"failed", once, func(e *exchange) { e.answer(http.StatusInternalServerError, "", "failed") }, 500},
	} {
		test.route.Generates = true
		f := newFixture(t, 1, test.route, test.react)
		f.grant(1000, 0, 1000)
		_, _, _ = f.call(t, http.MethodPost, "", "Prompt", "500", "Output", "100")
		f.checkSpent(t, test.name, test.used)
	}
}

// TestSilentUpstream checks that a repeatable request is sent to another upstream if the
// first is silent on all connections, and that other requests wait until their deadline.
func TestSilentUpstream(t *testing.T) {
	silent := func(*exchange) {}
	f := newSilenceFixture(t, 2, repeatable, shortSilence, first(silent, good))
	if response, body, _ := f.call(t, http.MethodGet, ""); response.StatusCode != 200 || body != "whole" {
		t.Errorf("repeatable: got %d, %q", response.StatusCode, body)
	}
	f = newSilenceFixture(t, 2, once, shortSilence, first(silent, good))
	if response, _, _ := f.call(t, http.MethodPost, "", "Wait", "300"); response.StatusCode != 504 || f.arrivals() != 1 {
		t.Errorf("once: got %d after %d sends, want 504 after one", response.StatusCode, f.arrivals())
	}
}

// TestTokens checks which requests a team's tokens cover, the status of refusals, and
// the tokens spent on an answer.
func TestTokens(t *testing.T) {
	const event = "data: x\n\n"
	route := stream
	route.Generates = true
	for _, test := range []struct {
		name                        string
		granted, available, unspent int64
		status                      int
		used                        int64
	}{
		{"covered", 1000, 0, 1000, 200, 500 + 2*3},
		{"held by others", 100, 0, 5000, 429, 0},
		{"exhausted", 100, 50, 150, 402, 0},
		{"unknown", 100, 5000, 5100, 503, 0},
	} {
		f := newFixture(t, 1, route, func(e *exchange) { e.events(true, event, event) })
		f.grant(test.granted, test.available, test.unspent)
		response, _, _ := f.call(t, http.MethodPost, "", "Prompt", "500", "Output", "100")
		if response.StatusCode != test.status {
			t.Errorf("%s: status %d, want %d", test.name, response.StatusCode, test.status)
		}
		if wait := response.Header.Get("Retry-After"); (wait != "") != (test.status == 429 || test.status == 503) {
			t.Errorf("%s: Retry-After is %q", test.name, wait)
		}
		f.checkSpent(t, test.name, test.used)
	}
}

// TestRefusals checks the status of the router's own refusals, and that the refused
// requests reach no upstream.
func TestRefusals(t *testing.T) {
	f := newFixture(t, 1, once, good)
	for _, test := range []struct {
		name   string
		header []string
		body   string
		status int
	}{
		{"unknown key", []string{"Key", "other"}, "", 401},
		{"no key", []string{"Key", ""}, "", 401},
		{"large body", nil, strings.Repeat("x", maxBodyBytes+1), 413},
	} {
		if response, _, _ := f.call(t, http.MethodPost, test.body, test.header...); response.StatusCode != test.status {
			t.Errorf("%s: status %d, want %d", test.name, response.StatusCode, test.status)
		}
	}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, f.url+"/b/", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "host.example"
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusNotFound || f.arrivals() != 0 {
		t.Errorf("no route: status %d after %d sends", response.StatusCode, f.arrivals())
	}
}

// TestStopping checks which requests a stopping router admits. How quick earlier ones were makes
// no difference.
func TestStopping(t *testing.T) {
	const earlier = 200
	now := time.Now()
	for _, test := range []struct {
		name string
		stop kcwstop.Stop
		// ended is the number of requests of the route that have ended before.
		ended, status int
	}{
		{"not stopping", kcwstop.Stop{}, 0, 200},
		{"deadline before the end", kcwstop.Stop{EndsAt: now.Add(2 * longTime)}, 0, 200},
		{"deadline after the end", kcwstop.Stop{EndsAt: now.Add(longTime / 2)}, 0, 503},
		{"deadline after the end, quick requests before", kcwstop.Stop{EndsAt: now.Add(longTime / 2)}, earlier, 503},
		{"at the end", kcwstop.Stop{EndsAt: now}, earlier, 503},
	} {
		checkAdmission(t, test.name, once, test.stop, test.ended, test.status)
		checkAdmission(t, test.name, repeatable, test.stop, test.ended, test.status)
	}
}

// checkAdmission checks the status of a request that follows ended ones, at a router with the
// given stop.
func checkAdmission(t *testing.T, name string, route kcwroute.Route, stop kcwstop.Stop, ended, status int) {
	t.Helper()
	f := newFixture(t, 1, route, good)
	for i := range ended {
		_, _, _ = f.call(t, http.MethodPost, "", "Attempt", "ended-"+strconv.Itoa(i))
	}
	if !stop.EndsAt.IsZero() {
		f.stop.Store(&stop)
	}
	response, _, _ := f.call(t, http.MethodPost, "", "Attempt", "id-2")
	if response.StatusCode != status {
		t.Errorf("%s, may be repeated %v: status %d, want %d", name, route.MayRepeat(), response.StatusCode, status)
	}
	if closes := response.Close; closes != !stop.EndsAt.IsZero() {
		t.Errorf("%s, may be repeated %v: the answer closes the connection: %v", name, route.MayRepeat(), closes)
	}
}

// TestStoppingRouterRefusesStreamsItCannotEnd guards against streams that are accepted
// while a router stops and cut when its time is over.
func TestStoppingRouterRefusesStreamsItCannotEnd(t *testing.T) {
	longStreams := make(chan struct{})
	f := newFixture(t, 1, resumable, func(e *exchange) {
		e.events(false, "id: 1\n\n")
		if e.Header.Get("Length") == "long" {
			<-longStreams
		}
		_, _ = io.WriteString(e.conn, "0\r\n\r\n")
	})
	var underWay sync.WaitGroup
	defer underWay.Wait()
	defer close(longStreams)
	for i := range 3 {
		underWay.Go(func() { _, _, _ = f.call(t, http.MethodPost, "", "Length", "long", "Attempt", "long-"+strconv.Itoa(i)) })
	}
	for f.forwarder.InFlight() < 3 {
		time.Sleep(time.Millisecond)
	}
	// The long streams have not ended, and so only the short ones have a known duration.
	for i := range 20 {
		_, _, _ = f.call(t, http.MethodPost, "", "Attempt", "short-"+strconv.Itoa(i))
	}
	now := time.Now()
	for _, test := range []struct {
		name string
		stop kcwstop.Stop
		// wait is how long the caller waits.
		wait   time.Duration
		status int
	}{
		{"the stream may take longer", kcwstop.Stop{EndsAt: now.Add(longTime / 2)}, longTime, 503},
		{"the caller leaves before the end", kcwstop.Stop{EndsAt: now.Add(longTime / 2)}, longTime / 4, 200},
	} {
		f.stop.Store(&test.stop)
		sends := f.arrivals()
		response, _, err := f.call(t, http.MethodPost, "", "Attempt", test.name, "Wait", strconv.FormatInt(test.wait.Milliseconds(), 10))
		isRefused := response.StatusCode == http.StatusServiceUnavailable
		if err != nil || response.StatusCode != test.status || !response.Close {
			t.Errorf("%s: status %d, connection closed: %v, error %v; want status %d", test.name, response.StatusCode, response.Close, err, test.status)
		}
		if isRefused && (response.Header.Get("Retry-After") == "" || f.arrivals() != sends) {
			t.Errorf("%s: refused with Retry-After %q, and sent %d times", test.name, response.Header.Get("Retry-After"), f.arrivals()-sends)
		}
	}
}
