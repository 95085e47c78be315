package kcwforward_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwroute"
)

// pauseTime is how long upstreams pause, several times the time after which they are silent.
const pauseTime = 4 * shortSilence

// pause is a case in which upstreams send nothing for pauseTime and then go on.
type pause struct {
	name      string
	upstreams int
	route     kcwroute.Route
	// begun is the number of streams whose first events have arrived before the pause, and
	// waiting that of requests that wait for their first byte.
	begun, waiting int
	// again is what an upstream does with a request that has been sent before. It is nil if
	// the upstream pauses too.
	again func(e *exchange)
}

// goOnAfter sends the answer, or what is left of it, once resumed is closed.
func goOnAfter(e *exchange, resumed <-chan struct{}, route kcwroute.Route) {
	switch {
	case route.Kind != kcwroute.Stream:
		<-resumed
		good(e)
	case e.Header.Get("Begun") != "" && e.Header.Get("Last") == "":
		e.events(false, event1, event2)
		<-resumed
		rest := event3 + event4
		fmt.Fprintf(e.conn, "%x\r\n%s\r\n0\r\n\r\n", len(rest), rest)
	default:
		<-resumed
		goOn(e)
	}
}

// run makes the calls of the case and returns the number of callers that got a whole answer.
func (p pause) run(t *testing.T) (wholes int, f *fixture) {
	t.Helper()
	resumed := make(chan struct{})
	var mu sync.Mutex
	sends := map[string]int{}
	f = newSilenceFixture(t, p.upstreams, p.route, shortSilence, func(e *exchange) {
		mu.Lock()
		id := e.Header.Get("Attempt")
		sends[id]++
		isAgain := sends[id] > 1
		mu.Unlock()
		if isAgain && p.again != nil {
			p.again(e)
			return
		}
		goOnAfter(e, resumed, p.route)
	})
	var calls sync.WaitGroup
	wantBody := whole
	if p.route.Kind != kcwroute.Stream {
		wantBody = "whole"
	}
	call := func(id, begun string) {
		calls.Go(func() {
			status, body, err := f.tryCall(t.Context(), id, begun)
			if status == http.StatusOK && body == wantBody && err == nil {
				mu.Lock()
				wholes++
				mu.Unlock()
			}
		})
	}
	for i := range p.begun {
		call(fmt.Sprintf("begun-%d", i), "1")
	}
	for f.arrivals() < p.begun {
		time.Sleep(time.Millisecond)
	}
	for i := range p.waiting {
		call(fmt.Sprintf("waiting-%d", i), "")
	}
	time.AfterFunc(pauseTime, func() { close(resumed) })
	calls.Wait()
	return wholes, f
}

// tryCall sends one request and returns the status and the body of its answer. The error is
// that of the call or of reading the body.
func (f *fixture) tryCall(ctx context.Context, id, begun string) (status int, body string, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url+"/a/x", strings.NewReader(""))
	if err != nil {
		return 0, "", err
	}
	request.Host = "host.example"
	for name, value := range map[string]string{"Attempt": id, "Key": "key", "Begun": begun} {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	got, err := io.ReadAll(response.Body)
	return response.StatusCode, string(got), err
}

// TestPauseOfUpstreamCutsNoRequest checks that no attempt is ended for the silence of its
// upstream before another one has begun to answer.
func TestPauseOfUpstreamCutsNoRequest(t *testing.T) {
	refuse := func(e *exchange) { e.answer(503, "Not-Run: 1\r\n", "full") }
	oneAttempt := resumable
	oneAttempt.MaxAttempts = 1
	for _, p := range []pause{
		{"streams and a request that waits", 1, resumable, 4, 1, nil},
		{"streams that can't be resumed", 1, stream, 4, 1, nil},
		{"streams with one attempt", 1, oneAttempt, 4, 1, nil},
		{"other upstreams refuse", 3, resumable, 4, 1, refuse},
		{"other upstreams break off", 3, resumable, 4, 1, (*exchange).closeConn},
		{"all upstreams pause, more requests than retries", 2, resumable, 60, 10, nil},
		{"first byte late", 1, resumable, 0, 1, nil},
		{"first byte late, others refuse", 3, resumable, 0, 1, refuse},
		{"first byte late, others break off", 3, resumable, 0, 1, (*exchange).closeConn},
		{"idempotent", 1, repeatable, 0, 4, nil},
		{"idempotent, all upstreams pause, more requests than retries", 2, repeatable, 0, 40, nil},
		{"not to be repeated", 2, once, 0, 10, nil},
	} {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			if wholes, _ := p.run(t); wholes != p.begun+p.waiting {
				t.Errorf("%d of %d callers got a whole answer", wholes, p.begun+p.waiting)
			}
		})
	}
}

// TestSilentHedgeIsHedged checks that a further attempt follows when the first one has failed
// and the upstream of the hedge is silent too.
func TestSilentHedgeIsHedged(t *testing.T) {
	route := repeatable
	route.MaxAttempts = 3
	hedged := make(chan struct{})
	f := newSilenceFixture(t, 3, route, shortSilence, func(e *exchange) {
		switch e.number {
		case 1:
			<-hedged
			e.closeConn()
		case 2:
			close(hedged)
		default:
			good(e)
		}
	})
	if status, body, err := f.tryCall(t.Context(), "id-1", ""); status != http.StatusOK || body != "whole" || err != nil {
		t.Errorf("status %d, body %q, %v", status, body, err)
	}
	if f.arrivals() != 3 {
		t.Errorf("%d attempts, want 3", f.arrivals())
	}
}
