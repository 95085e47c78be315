package kcwforward_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwroute"
)

const (
	event1, event2, event3, event4 = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n", "id: 4\ndata: d\n\n"
	// begun is what the caller has got when the first upstream breaks off.
	begun, whole = event1 + event2, event1 + event2 + event3 + event4
)

// breakOff sends the first two events of a stream and a part of the third.
func breakOff(e *exchange) {
	e.events(false, event1, event2, event3[:4])
	e.closeConn()
}

// goOn sends the events after the last one that the caller has.
func goOn(e *exchange) {
	rest := map[string]string{"": whole, "1": event2 + event3 + event4, "2": event3 + event4, "3": event4}
	e.events(true, rest[e.Header.Get("Last")])
}

// raw returns a script that writes an answer with the given status, header and body as they
// are.
func raw(status int, header, body string) func(e *exchange) {
	return func(e *exchange) {
		fmt.Fprintf(e.conn, "HTTP/1.1 %d X\r\nAttempt: %s\r\n%s\r\n%s", status, e.Header.Get("Attempt"), header, body)
	}
}

// framed returns a script that writes an answer with its length.
func framed(status int, header, body string) func(e *exchange) {
	return func(e *exchange) { e.answer(status, header, body) }
}

// chunked returns a script that writes a whole stream.
func chunked(events ...string) func(e *exchange) {
	return func(e *exchange) { e.events(true, events...) }
}

// resumption is what the upstream sends at which a stream is resumed, after event 2.
type resumption struct {
	name   string
	script func(e *exchange)
	// body is what the caller has got after it. It is complete if isWhole is set.
	body    string
	isWhole bool
}

// checkResumptions checks for each test what the caller gets: if no other attempt may follow,
// the events up to those and then the broken end of the connection, at once; otherwise the
// whole stream.
func checkResumptions(t *testing.T, tests []resumption) {
	t.Helper()
	for _, test := range tests {
		scripts := []func(e *exchange){breakOff, test.script, goOn}
		script := func(e *exchange) { scripts[e.number-1](e) }
		start := time.Now()
		f := newFixture(t, 3, resumable, script)
		response, body, err := f.call(t, http.MethodPost, "")
		if response.StatusCode != 200 || body != test.body || (err == nil) != test.isWhole {
			t.Errorf("%s: status %d, body %q and error %v, want %q and whole %v", test.name, response.StatusCode, body, err, test.body, test.isWhole)
		}
		if time.Since(start) > longTime/2 {
			t.Errorf("%s: the caller waited for its deadline", test.name)
		}
		route := resumable
		route.MaxAttempts = 3
		f = newFixture(t, 3, route, script)
		if _, body, err := f.call(t, http.MethodPost, ""); body != whole || err != nil {
			t.Errorf("%s, and a third upstream: body %q and error %v, want the whole stream", test.name, body, err)
		}
	}
}

// The next upstream of a stream answers with something else.
func TestNoOtherAnswerInStream(t *testing.T) {
	checkResumptions(t, []resumption{
		{"JSON", framed(200, "Content-Type: application/json\r\n", "{\"error\": 1}\n\n"), begun, false},
		{"HTML", framed(200, "Content-Type: text/html\r\n", "<html>\n\n</html>\n\n"), begun, false},
		{"no type", framed(200, "", event3+event4), begun, false},
		{"partial content", framed(206, eventStream, event3+event4), begun, false},
		{"created", framed(201, eventStream, event3+event4), begun, false},
		{"JSON in chunks", raw(200, "Content-Type: application/json\r\nTransfer-Encoding: chunked\r\n", "4\r\n{}\n\n\r\n0\r\n\r\n"), begun, false},
		{"a failure", framed(500, "", "failed\n\n"), begun, false},
		{"a failure of a stream's type", framed(503, eventStream, event3), begun, false},
		{"not found", framed(404, "", "nothing\n\n"), begun, false},
		{"redirect", framed(302, "Location: /\r\n", "\n\n"), begun, false},
		{"not modified", raw(304, eventStream, ""), begun, false},
		{"refused", framed(503, refused, "full\n\n"), whole, true},
		{"encoded", framed(200, eventStream+"Content-Encoding: gzip\r\n", event3+event4), begun, false},
		{"a stream with its character set", framed(200, "Content-Type: text/event-stream; charset=utf-8\r\n", event3+event4), whole, true},
		{"a type in capitals", framed(200, "Content-Type: Text/Event-Stream\r\n", event3+event4), whole, true},
	})
}

// An answer without a body has no bytes to wait for.
func TestAnswerWithoutBodyIsNotAwaited(t *testing.T) {
	checkResumptions(t, []resumption{
		{"no content", raw(204, "", ""), begun, false},
		{"no content, of a stream's type", raw(204, eventStream, ""), begun, false},
		{"no length", raw(200, eventStream+"Content-Length: 0\r\n", ""), begun, false},
		{"reset content", raw(205, "Content-Length: 0\r\n", ""), begun, false},
	})
	for _, test := range []struct {
		name   string
		method string
		script func(e *exchange)
		status int
	}{
		{"no content", http.MethodPost, raw(204, "Seal: s\r\n", ""), 204},
		{"no length", http.MethodPost, raw(200, "Seal: s\r\n"+eventStream+"Content-Length: 0\r\n", ""), 200},
		{"HEAD", http.MethodHead, raw(200, "Seal: s\r\n"+eventStream+"Content-Length: 9\r\n", ""), 200},
		{"HEAD in chunks", http.MethodHead, raw(200, "Seal: s\r\n"+eventStream+"Transfer-Encoding: chunked\r\n", ""), 200},
		{"not modified", http.MethodGet, raw(304, "Seal: s\r\nContent-Length: 9\r\n", ""), 304},
	} {
		for _, route := range []kcwroute.Route{once, repeatable, stream, resumable} {
			f := newFixture(t, 2, route, test.script)
			start := time.Now()
			response, body, err := f.call(t, test.method, "")
			if err != nil || response.StatusCode != test.status || body != "" || response.Header.Get("Seal") != "s" || f.arrivals() != 1 {
				t.Errorf("%s, kind %d: %v, body %q, %v after %d sends", test.name, route.Kind, response, body, err, f.arrivals())
			}
			if time.Since(start) > longTime/2 {
				t.Errorf("%s, kind %d: the caller waited for its deadline", test.name, route.Kind)
			}
		}
	}
}

// The next upstream of a stream sends no events.
func TestEmptyResumptionIsNotTheEnd(t *testing.T) {
	checkResumptions(t, []resumption{
		{"no chunks", chunked(), begun, false},
		{"up to the end of the connection", func(e *exchange) { raw(200, eventStream, "")(e); e.closeConn() }, begun, false},
		{"within an event", chunked(event3[:5]), begun, false},
	})
}

// The next upstream of a stream starts over.
func TestNoEventComesTwice(t *testing.T) {
	other := strings.Replace(event2, "b", "x", 1)
	checkResumptions(t, []resumption{
		{"from the first event", chunked(whole), whole, true},
		{"from the first event, in pieces", chunked(whole[:3], whole[3:20], whole[20:]), whole, true},
		{"from the last event that was passed on", chunked(event2, event3, event4), whole, true},
		{"whole at the last event that was passed on", chunked(event1, event2), begun, false},
		{"with another event", chunked(event1, other, event3, event4), begun, false},
		{"another event before the end", chunked(event1, other), begun, false},
		{"fewer events", chunked(event1), begun, false},
		{"again after the next event", chunked(event3, event3, event4), begun + event3, false},
		{"over again after the next event", chunked(event3, event1, event2), begun + event3, false},
	})
}

// The next upstream of a stream goes on after a gap.
func TestNoEventIsMissing(t *testing.T) {
	checkResumptions(t, []resumption{
		{"at once", chunked(event4), begun, false},
		{"after the first", chunked(event3, "id: 5\ndata: e\n\n"), begun + event3, false},
		{"after the events that were passed on", chunked(event1, event2, event4), begun, false},
	})
}

// The place of the next event in the stream is not known.
func TestResumedEventNeedsItsID(t *testing.T) {
	checkResumptions(t, []resumption{
		{"none", chunked("data: c\n\n", event4), begun, false},
		{"empty", chunked("id:\ndata: c\n\n", event4), begun, false},
		{"no number", chunked("id: c\ndata: c\n\n", event4), begun, false},
		{"negative", chunked("id: -3\ndata: c\n\n", event4), begun, false},
		{"too large", chunked("id: 99999999999999999999\ndata: c\n\n", event4), begun, false},
		{"two", chunked("id: 3\nid: 4\ndata: c\n\n", event4), begun, false},
		{"missing after the next event", chunked(event3, "data: d\n\n"), begun + event3, false},
	})
}

// The place of the last event in the stream is not known.
func TestStreamWithoutOrderIsNotResumed(t *testing.T) {
	for _, events := range []string{
		"data: a\n\n",
		"id: a\ndata: a\n\n",
		"id: 2\ndata: a\n\nid: 1\ndata: b\n\n",
		"id: 1\ndata: a\n\nid: 3\ndata: b\n\n",
		"id: 1\ndata: a\n\ndata: b\n\n",
	} {
		f := newFixture(t, 2, resumable, first(func(e *exchange) { e.events(false, events); e.closeConn() }, chunked(event1, event2)))
		_, body, err := f.call(t, http.MethodPost, "")
		if body != events || err == nil || f.arrivals() != 1 {
			t.Errorf("%q: body %q, error %v after %d sends, want a broken stream after one", events, body, err, f.arrivals())
		}
	}
}

// The caller itself has resumed the stream, and its upstream breaks off.
func TestCallerResumes(t *testing.T) {
	for _, test := range []struct {
		name   string
		next   func(e *exchange)
		body   string
		broken bool
	}{
		{"goes on", goOn, event3 + event4, false},
		{"starts over", chunked(whole), event3 + event4, false},
		{"starts over with another event", chunked(event1, event2, strings.Replace(event3, "c", "x", 1), event4), event3, true},
	} {
		f := newFixture(t, 2, resumable, first(func(e *exchange) { e.events(false, event3); e.closeConn() }, test.next))
		_, body, err := f.call(t, http.MethodPost, "", "Last", "2")
		if body != test.body || (err != nil) != test.broken {
			t.Errorf("%s: body %q and error %v, want %q", test.name, body, err, test.body)
		}
	}
}

// Headers and trailers of the next upstream of a stream are not passed on.
func TestResumptionKeepsHeader(t *testing.T) {
	f := newFixture(t, 2, resumable, first(func(e *exchange) {
		raw(200, "Seal: first\r\n"+eventStream+"Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(begun), begun))(e)
		e.closeConn()
	}, raw(200, "Seal: second\r\nOther: 1\r\n"+eventStream+"Trailer: Seal\r\nTransfer-Encoding: chunked\r\n",
		fmt.Sprintf("%x\r\n%s\r\n0\r\nSeal: third\r\n\r\n", len(event3+event4), event3+event4))))
	response, body, err := f.call(t, http.MethodPost, "")
	if err != nil || body != whole || response.Header.Get("Seal") != "first" || response.Header.Get("Other") != "" || len(response.Trailer) > 0 {
		t.Errorf("header %v, trailer %v, body %q, %v", response.Header, response.Trailer, body, err)
	}
}

// An answer on a stream route has no events whose tokens are counted.
func TestAnswerThatIsNoStreamIsBilled(t *testing.T) {
	const prompt, output = 500, 100
	for _, test := range []struct {
		name   string
		script func(e *exchange)
		used   int64
	}{
		{"text", framed(200, "Content-Type: text/plain\r\n", whole), prompt + output},
		{"nothing", raw(204, "", ""), prompt},
		{"failure", framed(500, "Content-Type: text/plain\r\n", "failed"), prompt},
		{"stream", goOn, prompt + 4*3},
	} {
		route := stream
		route.Generates = true
		f := newFixture(t, 1, route, test.script)
		f.grant(1000, 0, 1000)
		if _, _, err := f.call(t, http.MethodPost, "", "Prompt", strconv.Itoa(prompt), "Output", strconv.Itoa(output)); err != nil {
			t.Errorf("%s: %v", test.name, err)
		}
		for f.forwarder.InFlight() > 0 {
			time.Sleep(time.Millisecond)
		}
		f.checkSpent(t, test.name, test.used)
	}
}

// The first answer on a stream route is no stream.
func TestOtherFirstAnswerIsUnchanged(t *testing.T) {
	for _, test := range []struct {
		name         string
		status       int
		header, body string
	}{
		{"JSON", 200, "Content-Type: application/json\r\n", "{\"a\": 1}"},
		{"JSON with empty lines", 200, "Content-Type: application/json\r\n", "{\n\n\"a\": 1}\n\nx"},
		{"text", 201, "Content-Type: text/plain\r\n", "text"},
		{"not found", 404, "Content-Type: text/plain\r\n", "nothing"},
	} {
		for _, route := range []kcwroute.Route{stream, resumable} {
			f := newFixture(t, 2, route, framed(test.status, "Seal: s\r\n"+test.header, test.body))
			response, body, err := f.call(t, http.MethodPost, "")
			if err != nil || response.StatusCode != test.status || body != test.body || response.Header.Get("Seal") != "s" || f.arrivals() != 1 {
				t.Errorf("%s: %v, body %q, %v after %d sends", test.name, response, body, err, f.arrivals())
			}
		}
	}
}
