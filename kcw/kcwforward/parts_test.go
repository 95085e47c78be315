package kcwforward_test

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"

	"kingcupwick.example/kcw/kcwroute"
)

// TestBlockedParts checks which requests with parts that crash upstreams are sent, and
// that callers are told that the request itself is the cause.
func TestBlockedParts(t *testing.T) {
	const event = "id: 1\ndata: a\n\n"
	serve := func(e *exchange) { e.events(true, event) }
	crash := func(e *exchange) { e.closeConn() }
	for _, test := range []struct {
		name   string
		guard  *guard
		script func(e *exchange)
		status int
		sends  int
	}{
		{"a part of the prompt is blocked", &guard{blocked: []string{"crashing"}}, serve, 400, 0},
		{"another part is blocked", &guard{blocked: []string{"other"}}, serve, 200, 1},
		{"a trial succeeds", &guard{blocked: []string{"crashing"}, trials: 1}, serve, 200, 1},
		{"a trial fails and is not repeated", &guard{blocked: []string{"crashing"}, trials: 1}, crash, 400, 1},
		{"the part is blocked while the request is under way", &guard{blockedAfterCut: []string{"crashing"}}, crash, 400, 1},
	} {
		f := newFixture(t, 3, resumable, test.script)
		f.guard.blocked, f.guard.blockedAfterCut, f.guard.trials = test.guard.blocked, test.guard.blockedAfterCut, test.guard.trials
		response, _, err := f.call(t, http.MethodPost, "", "Parts", "class crashing")
		if err != nil || response.StatusCode != test.status || f.arrivals() != test.sends {
			t.Errorf("%s: got status %d after %d sends, %v; want %d after %d", test.name, response.StatusCode, f.arrivals(), err, test.status, test.sends)
		}
		if after := response.Header.Get("Retry-After"); after != "" {
			t.Errorf("%s: the caller is told to return after %s", test.name, after)
		}
	}
}

// TestPartEvidence guards against parts that crash upstreams within the answer and are never
// refused, because the beginning of an answer was taken for its end. It checks which ends of
// attempts are evidence against the parts of a prompt, and which are evidence for them.
func TestPartEvidence(t *testing.T) {
	const event = "id: 1\ndata: a\n\n"
	closeDelimited := func(body string) func(e *exchange) {
		return func(e *exchange) {
			fmt.Fprintf(e.conn, "HTTP/1.1 200 OK\r\nAttempt: %s\r\n%s\r\n%s", e.Header.Get("Attempt"), eventStream, body)
			e.closeConn()
		}
	}
	for _, test := range []struct {
		name   string
		route  kcwroute.Route
		script func(e *exchange)
		// cuts are those before an event of the answer, cutsWithin those after it.
		cuts, cutsWithin, begun, whole, unproven int
	}{
		{name: "whole stream", route: stream, script: func(e *exchange) { e.events(true, event) }, begun: 1, whole: 1},
		{name: "closed without an answer", route: stream, script: func(e *exchange) { e.closeConn() }, cuts: 1},
		{name: "closed before the first event", route: stream, script: func(e *exchange) { e.events(false); e.closeConn() }, cuts: 1},
		{name: "closed in the first event", route: stream, script: func(e *exchange) { e.events(false, event[:4]); e.closeConn() }, cuts: 1},
		{name: "closed after the first event", route: stream, script: func(e *exchange) { e.events(false, event); e.closeConn() }, cutsWithin: 1, begun: 1},
		{name: "ends with its connection", route: stream, script: closeDelimited(event), begun: 1, unproven: 1},
		{name: "ends with its connection within an event", route: stream, script: closeDelimited(event + event[:4]), cutsWithin: 1, begun: 1},
		{name: "whole answer", route: repeatable, script: func(e *exchange) { e.answer(200, "", "x") }, begun: 1, whole: 1},
		{name: "failure", route: repeatable, script: func(e *exchange) { e.answer(500, "", "x") }},
		{name: "not run", route: repeatable, script: func(e *exchange) { e.answer(503, "Not-Run: 1\r\n", "x") }},
		{
			name: "resumed elsewhere", route: resumable, script: first(func(e *exchange) { e.closeConn() }, func(e *exchange) { e.events(true, event) }),
			cuts: 1, begun: 1, whole: 1,
		},
		{
			name: "resumed elsewhere after the first event", route: resumable,
			script:     first(func(e *exchange) { e.events(false, event); e.closeConn() }, func(e *exchange) { e.events(true, "id: 2\ndata: b\n\n") }),
			cutsWithin: 1, begun: 2, whole: 1,
		},
	} {
		f := newFixture(t, 2, test.route, test.script)
		_, _, _ = f.call(t, http.MethodPost, "", "Parts", "class subject", "Prompt-Part", "own")
		f.guard.mu.Lock()
		within := 0
		for _, c := range f.guard.cuts {
			if c.Begun {
				within++
			}
			if c.Request != "id-1" || c.Prompt != "own" || !strings.HasPrefix(c.Upstream, "u") || !slices.Equal(c.Parts, []string{"class", "subject"}) || c.SentAt.IsZero() || c.At.Before(c.SentAt) || !c.Address.IsValid() {
				t.Errorf("%s: got cut %+v", test.name, c)
			}
		}
		if got, want := [...]int{len(f.guard.cuts) - within, within, len(f.guard.begun), f.guard.whole, f.guard.unproven},
			[...]int{test.cuts, test.cutsWithin, test.begun, test.whole, test.unproven}; got != want {
			t.Errorf("%s: got %v, want %v cuts before and within an answer, begun, whole and unproven answers", test.name, got, want)
		}
		f.guard.mu.Unlock()
	}
}

// TestSuspectedPartIsTriedElsewhere guards against prompts with a part that may crash upstreams
// that are sent to the same upstream again and again, which can't show whether the part or the
// upstream is the cause.
func TestSuspectedPartIsTriedElsewhere(t *testing.T) {
	f := newFixture(t, 3, repeatable, good)
	f.guard.avoided = map[string][]string{"crashing": {"u0", "u2"}}
	for i := range 20 {
		_, _, _ = f.call(t, http.MethodPost, "", "Attempt", "id-"+strconv.Itoa(i), "Parts", "class crashing")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.events {
		if e.Upstream != "u1" || !slices.Equal(e.Avoided, []string{"u0", "u2"}) {
			t.Errorf("%s went to %s, avoided %q", e.RequestID, e.Upstream, e.Avoided)
		}
	}
}
