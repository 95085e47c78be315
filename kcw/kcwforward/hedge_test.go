package kcwforward_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
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

// openAttempts are the attempts that upstreams have got and neither answered nor seen closed.
type openAttempts struct {
	mu     sync.Mutex
	open   map[string][]*exchange
	runs   map[string]int
	faults []string
}

// count returns the number of open attempts at the request. It removes those whose connection
// is closed.
func (o *openAttempts) count(id string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.open[id] = slices.DeleteFunc(o.open[id], func(e *exchange) bool { return isClosed(e.conn) })
	return len(o.open[id])
}

// await waits until at most n attempts at the request are open.
func (o *openAttempts) await(id string, n int) {
	for end := time.Now().Add(longTime); o.count(id) > n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			o.mu.Lock()
			o.faults = append(o.faults, fmt.Sprintf("%s: more than %d attempts stay open", id, n))
			o.mu.Unlock()
			return
		}
	}
}

// begin adds an attempt, once at most one other is open. Runs is set if the upstream runs the
// request.
func (o *openAttempts) begin(e *exchange, runs bool) {
	id := e.Header.Get("Attempt")
	o.await(id, 1)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.open[id] = append(o.open[id], e)
	if runs {
		o.runs[id]++
	}
}

func (o *openAttempts) end(e *exchange) {
	id := e.Header.Get("Attempt")
	o.mu.Lock()
	defer o.mu.Unlock()
	o.open[id] = slices.DeleteFunc(o.open[id], func(other *exchange) bool { return other == e })
}

// hedgeBehavior is what an upstream does with one attempt.
type hedgeBehavior struct {
	// Kind is one of the cases of play. The upstream pauses before event PauseAt and closes
	// the connection in event CutAt, if there are so many.
	Kind, PauseAt, CutAt int
	Pause                time.Duration
}

const (
	hedgeEvents    = 5
	hedgeKinds     = 9
	refusingKind   = 0
	failingKind    = 1
	silentKind     = 2
	cuttingKind    = 3
	replayingKind  = 4
	hedgedRequests = 5
)

// hedgedEvents returns the events of the right answer to a request.
func hedgedEvents(id string) []string {
	var events []string
	for i := range hedgeEvents {
		events = append(events, fmt.Sprintf("id: %d\ndata: %s %d\n\n", i+1, id, i))
	}
	return events
}

func (b hedgeBehavior) play(e *exchange, open *openAttempts) {
	open.begin(e, b.Kind != refusingKind)
	defer open.end(e)
	last, _ := strconv.Atoi(e.Header.Get("Last"))
	events := hedgedEvents(e.Header.Get("Attempt"))
	if b.Kind == replayingKind {
		last = 0
	}
	if b.PauseAt <= last {
		time.Sleep(b.Pause)
	}
	switch b.Kind {
	case refusingKind:
		e.answer(http.StatusServiceUnavailable, "Not-Run: 1\r\n", "full")
		return
	case failingKind:
		e.answer(http.StatusInternalServerError, "", "failed")
		return
	case silentKind:
		for !isClosed(e.conn) {
			time.Sleep(time.Millisecond)
		}
		return
	}
	e.events(false)
	for i := last; i < len(events); i++ {
		if i == b.PauseAt && i > last {
			time.Sleep(b.Pause)
		}
		text := events[i]
		if b.Kind == cuttingKind && i == b.CutAt {
			fmt.Fprintf(e.conn, "%x\r\n%s", len(text), text[:len(text)/2])
			e.closeConn()
			return
		}
		fmt.Fprintf(e.conn, "%x\r\n%s\r\n", len(text), text)
	}
	fmt.Fprint(e.conn, "0\r\n\r\n")
}

// Random upstreams pause, are cut, refuse and replay while several requests are hedged.
func TestHedgedStreamHasEachEventOnce(t *testing.T) {
	seed := int64(38)
	if text := os.Getenv("KCW_SEED"); text != "" {
		var err error
		if seed, err = strconv.ParseInt(text, 10, 64); err != nil {
			t.Fatal(err)
		}
	}
	parameters := gopter.DefaultTestParametersWithSeed(seed)
	parameters.MinSuccessfulTests, parameters.Workers = 80, 8
	properties := gopter.NewProperties(parameters)
	var mu sync.Mutex
	wholes, won, lost := 0, 0, 0
	const behaviors = 4 * hedgedRequests
	properties.Property("each caller gets a beginning of its stream", prop.ForAll(
		func(upstreams, attempts int, kinds, pausesAt, pauses, cuts []int) string {
			route := resumable
			route.MaxAttempts = attempts
			open := &openAttempts{open: map[string][]*exchange{}, runs: map[string]int{}}
			f := newSilenceFixture(t, upstreams, route, shortSilence, func(e *exchange) {
				at := (e.number - 1) % behaviors
				hedgeBehavior{kinds[at], pausesAt[at], cuts[at], time.Duration(pauses[at]) * shortSilence / 2}.play(e, open)
			})
			var calls sync.WaitGroup
			for i := range hedgedRequests {
				calls.Go(func() {
					id := "request-" + strconv.Itoa(i)
					ctx, cancel := context.WithTimeout(t.Context(), 2*longTime)
					defer cancel()
					status, body, err := f.tryCallFor(ctx, id, 20*shortSilence)
					isWhole, fault := checkHedged(id, status, body, err)
					open.mu.Lock()
					defer open.mu.Unlock()
					if fault != "" {
						open.faults = append(open.faults, fault)
					}
					if isWhole {
						mu.Lock()
						wholes++
						mu.Unlock()
					}
				})
			}
			calls.Wait()
			for i := range hedgedRequests {
				id := "request-" + strconv.Itoa(i)
				open.await(id, 0)
				open.mu.Lock()
				if open.runs[id] > attempts {
					open.faults = append(open.faults, fmt.Sprintf("%s ran at %d upstreams, %d are allowed", id, open.runs[id], attempts))
				}
				open.mu.Unlock()
			}
			mu.Lock()
			defer mu.Unlock()
			f.mu.Lock()
			defer f.mu.Unlock()
			for _, h := range f.hedges {
				switch h.State {
				case "Won":
					won++
				case "Lost":
					lost++
				}
			}
			open.mu.Lock()
			defer open.mu.Unlock()
			return strings.Join(open.faults, "; ")
		},
		gen.IntRange(2, 3), gen.IntRange(2, 3), gen.SliceOfN(behaviors, gen.IntRange(0, hedgeKinds)),
		gen.SliceOfN(behaviors, gen.IntRange(0, hedgeEvents-1)), gen.SliceOfN(behaviors, gen.IntRange(0, 8)),
		gen.SliceOfN(behaviors, gen.IntRange(0, hedgeEvents-1)),
	))
	properties.TestingRun(t)
	t.Logf("%d whole streams; %d hedges won and %d lost", wholes, won, lost)
	if wholes == 0 || won == 0 || lost == 0 {
		t.Error("the behaviors don't cover whole streams and hedges that win and lose")
	}
}

// checkHedged reports whether the caller got its whole stream, and what is wrong with the
// answer.
func checkHedged(id string, status int, body string, err error) (isWhole bool, fault string) {
	right := strings.Join(hedgedEvents(id), "")
	switch {
	case status == 0:
		return false, fmt.Sprintf("%s: %v", id, err)
	case status != http.StatusOK:
		if strings.Contains(body, "id:") {
			return false, fmt.Sprintf("%s: status %d has events", id, status)
		}
		return false, ""
	case !strings.HasPrefix(right, body):
		return false, fmt.Sprintf("%s: the caller got %q", id, body)
	case err == nil && body != right:
		return false, fmt.Sprintf("%s: %q looks complete", id, body)
	}
	return err == nil, ""
}

// tryCallFor is like tryCall, with a deadline that is stated to the router.
func (f *fixture) tryCallFor(ctx context.Context, id string, wait time.Duration) (status int, body string, err error) {
	return f.tryCallWith(ctx, map[string]string{"Attempt": id, "Key": "key", "Wait": strconv.FormatInt(wait.Milliseconds(), 10)})
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
		if team := f.balance.Teams()[0]; team.Spent != test.used || team.Reserved != 0 {
			t.Errorf("%s: spent %d and reserved %d, want %d and 0", test.name, team.Spent, team.Reserved, test.used)
		}
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
		if team := f.balance.Teams()[0]; team.Spent != test.used || team.Reserved != 0 {
			t.Errorf("%s: spent %d and reserved %d, want %d and 0", test.name, team.Spent, team.Reserved, test.used)
		}
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
