package kcwforward_test

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwroster"
	"kingcupwick.example/kcw/kcwroute"
)

// surplus is an answer that belongs to no request.
type surplus struct {
	status int
	// id is the identity that the answer carries, empty for none.
	id     string
	header string
	// framing is "length", "chunked" or, for an interim answer, "none".
	framing string
	times   int
}

// write writes the answer s.times times.
func (s surplus) write(e *exchange) {
	head := fmt.Sprintf("HTTP/1.1 %d X\r\n%s", s.status, s.header)
	if s.id != "" {
		head += "Attempt: " + s.id + "\r\n"
	}
	text := head + "Content-Length: 6\r\n\r\nsecret"
	switch s.framing {
	case "chunked":
		text = head + "Transfer-Encoding: chunked\r\n\r\n6\r\nsecret\r\n0\r\n\r\n"
	case "none":
		text = head + "\r\n"
	}
	_, _ = e.conn.Write([]byte(strings.Repeat(text, s.times)))
}

const refused = "Not-Run: 1\r\n"

// newKept returns a fixture whose upstreams each have a connection that has carried a
// request. On that, script answers.
func newKept(t *testing.T, upstreams int, route kcwroute.Route, script func(e *exchange)) *fixture {
	t.Helper()
	return newSilenceKept(t, upstreams, route, longTime, script)
}

// newSilenceKept is like newKept, with the time after which an upstream that sends nothing is
// silent.
func newSilenceKept(t *testing.T, upstreams int, route kcwroute.Route, silence time.Duration, script func(e *exchange)) *fixture {
	t.Helper()
	f := newSilenceFixture(t, upstreams, route, silence, func(e *exchange) {
		if strings.HasPrefix(e.Header.Get("Attempt"), "warm") {
			// The next request goes to another upstream.
			e.answer(503, refused, "")
			return
		}
		script(e)
	})
	if _, _, err := f.call(t, http.MethodPost, "", "Attempt", "warm"); err != nil {
		t.Fatal(err)
	}
	if f.arrivals() != upstreams {
		t.Fatalf("%d of %d upstreams have a kept connection", f.arrivals(), upstreams)
	}
	f.limits.mu.Lock()
	f.limits.notices = nil
	f.limits.mu.Unlock()
	return f
}

// runs returns how often the request with the given identity was sent.
func (f *fixture) runs(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, e := range f.requests {
		if e.Header.Get("Attempt") == id {
			n++
		}
	}
	return n
}

// checkOnce checks that a request is sent once and that its caller gets the answer to it,
// if its upstream writes s before that on a kept connection.
func checkOnce(t *testing.T, route kcwroute.Route, s surplus) *fixture {
	t.Helper()
	f := newKept(t, 3, route, func(e *exchange) {
		if e.position > 1 {
			s.write(e)
		}
		good(e)
	})
	response, body, err := f.call(t, http.MethodPost, "body")
	if err != nil || response.StatusCode != 200 || body != "whole" || f.runs("id-1") != 1 {
		t.Errorf("after %+v: status %d, body %q, %v, and the request ran %d times; want its answer and one run", s, response.StatusCode, body, err, f.runs("id-1"))
	}
	for f.forwarder.InFlight() > 0 {
		time.Sleep(time.Millisecond)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	surplusAnswers := s.times
	if s.status < http.StatusOK {
		surplusAnswers = 0
	}
	if got := f.events[len(f.events)-1].Surplus; got != surplusAnswers {
		t.Errorf("after %+v: the event counts %d surplus answers, want %d", s, got, surplusAnswers)
	}
	return f
}

// An earlier refusal is written once more, without an identity.
func TestRefusalWithoutIdentityRunsNoRequestTwice(t *testing.T) {
	for _, status := range []int{503, 429, 421, 408, 400, 500, 504} {
		for _, route := range []kcwroute.Route{once, repeatable} {
			checkOnce(t, route, surplus{status: status, header: refused, framing: "length", times: 1})
			checkOnce(t, route, surplus{status: status, framing: "length", times: 1})
		}
	}
}

// An answer to an earlier request has no length.
func TestChunkedSurplusAnswerFailsNoRequest(t *testing.T) {
	for _, id := range []string{"warm", ""} {
		for _, status := range []int{200, 503} {
			checkOnce(t, once, surplus{status: status, id: id, header: refused, framing: "chunked", times: 1})
		}
	}
}

// Several answers to earlier requests come first.
func TestSurplusAnswersInARowFailNoRequest(t *testing.T) {
	for _, times := range []int{2, 3, 9} {
		for _, framing := range []string{"length", "chunked"} {
			checkOnce(t, once, surplus{status: 503, id: "warm", header: refused, framing: framing, times: times})
		}
	}
}

// Skipped answers are bounded in number and size; the request then may have run.
func TestSurplusAnswersAreBounded(t *testing.T) {
	const tooMany, tooLarge = 1000, 2 << 20
	for _, test := range []struct {
		name   string
		header string
		times  int
	}{
		{"many", "Attempt: warm\r\nContent-Length: 0\r\n\r\n", tooMany},
		{"large", "Attempt: warm\r\nContent-Length: " + strconv.Itoa(tooLarge) + "\r\n\r\n" + strings.Repeat("x", tooLarge), 1},
		{"large together", "Content-Length: 200000\r\n\r\n" + strings.Repeat("x", 200000), 8},
		{"up to the end of the connection", "\r\nsecret", 1},
		{"closing", "Connection: close\r\nContent-Length: 0\r\n\r\n", 1},
	} {
		for _, route := range []kcwroute.Route{once, repeatable} {
			f := newKept(t, 2, route, func(e *exchange) {
				if e.number == 3 {
					_, _ = e.conn.Write([]byte(strings.Repeat("HTTP/1.1 503 X\r\n"+refused+test.header, test.times)))
					return
				}
				good(e)
			})
			response, _, err := f.call(t, http.MethodPost, "")
			status, runs := 502, 1
			if route.MayRepeat() {
				status, runs = 200, 2
			}
			if err != nil || response.StatusCode != status || f.runs("id-1") != runs {
				t.Errorf("%s: status %d, %v after %d sends, want %d after %d", test.name, response.StatusCode, err, f.runs("id-1"), status, runs)
			}
		}
	}
}

// Load, leaving, declining and limits of an answer to no request are ignored.
func TestSurplusAnswersStateNothing(t *testing.T) {
	for _, id := range []string{"", "warm"} {
		for _, status := range []int{103, 200, 503} {
			for _, header := range []string{"Leaving: 1\r\n", "Decline: 20000\r\n", "Limit: 3\r\n", "Load: 4,4,4\r\n"} {
				framing := "length"
				if status < http.StatusOK {
					framing = "none"
				}
				f := checkOnce(t, once, surplus{status: status, id: id, header: refused + header, framing: framing, times: 1})
				for _, u := range f.roster.Upstreams() {
					if u.State != "Closed" || u.Load != (kcwroster.Load{}) {
						t.Errorf("after status %d with %q: the state of %s is %s, its load %+v", status, header, u.ID, u.State, u.Load)
					}
				}
				want := []string{"id-1 0"}
				var got []string
				for _, n := range f.limits.notices {
					got = append(got, fmt.Sprint(n.RequestID, " ", n.PerSecond))
				}
				if !slices.Equal(got, want) {
					t.Errorf("after status %d with %q: the limits are %q, want %q", status, header, got, want)
				}
			}
		}
	}
}

// An upstream that sends only an answer to another request is silent.
func TestSurplusAnswerIsNoSignOfLife(t *testing.T) {
	for _, id := range []string{"", "warm"} {
		f := newSilenceKept(t, 2, repeatable, shortSilence, func(e *exchange) {
			if e.number == 3 {
				surplus{status: 503, id: id, header: refused, framing: "length", times: 1}.write(e)
				return
			}
			good(e)
		})
		response, body, err := f.call(t, http.MethodPost, "")
		if err != nil || response.StatusCode != 200 || body != "whole" || f.runs("id-1") != 2 {
			t.Errorf("identity %q: status %d, body %q, %v after %d sends", id, response.StatusCode, body, err, f.runs("id-1"))
		}
	}
}

// A new connection carries a refusal without an identity.
func TestRefusalWithoutIdentityPromisesNothing(t *testing.T) {
	for _, test := range []struct {
		route  kcwroute.Route
		status int
		header string
		want   int
		sends  int
	}{
		{once, 503, refused, 502, 1},
		{once, 503, "", 502, 1},
		{once, 429, refused, 502, 1},
		{once, 429, "", 502, 1},
		{once, 421, "", 502, 1},
		{once, 408, "", 502, 1},
		{once, 400, refused, 502, 1},
		{once, 400, "", 400, 1},
		{once, 500, "", 500, 1},
		{once, 200, "", 504, 1},
		{stream, 503, refused, 502, 1},
		{repeatable, 503, refused, 200, 2},
		{repeatable, 421, "", 200, 2},
		{repeatable, 500, "", 200, 2},
		{resumable, 503, refused, 200, 2},
	} {
		f := newFixture(t, 2, test.route, first(func(e *exchange) {
			fmt.Fprintf(e.conn, "HTTP/1.1 %d X\r\n%sContent-Length: 1\r\n\r\nx", test.status, test.header)
		}, func(e *exchange) {
			e.answer(200, "Content-Type: text/event-stream\r\n", "id: 1\n\n")
		}))
		wait := longTime
		if test.want == http.StatusGatewayTimeout {
			wait = shortSilence
		}
		response, _, err := f.call(t, http.MethodPost, "", "Wait", strconv.FormatInt(wait.Milliseconds(), 10))
		if err != nil || response.StatusCode != test.want || f.arrivals() != test.sends {
			t.Errorf("kind %d, status %d %q: the caller got %d, %v after %d sends, want %d after %d", test.route.Kind, test.status, test.header, response.StatusCode, err, f.arrivals(), test.want, test.sends)
		}
	}
}

// A caller comes back with its identity, and the first refusal is written once more.
func TestReturningCallerIsNotToldOfEarlierRefusal(t *testing.T) {
	for _, route := range []kcwroute.Route{once, repeatable} {
		f := newFixture(t, 1, route, func(e *exchange) {
			if e.number == 1 {
				e.answer(503, refused, "")
				return
			}
			if e.position > 1 {
				e.answer(503, refused, "")
			}
			good(e)
		})
		first, _, _ := f.call(t, http.MethodPost, "")
		second, body, err := f.call(t, http.MethodPost, "")
		if first.StatusCode != 503 || err != nil || second.StatusCode != 200 || body != "whole" {
			t.Errorf("the first answer is %d, the second %d with %q and %v", first.StatusCode, second.StatusCode, body, err)
		}
	}
}

// An earlier answer can't be told from that to a request without an identity.
func TestRequestWithoutIdentityGetsNoEarlierAnswer(t *testing.T) {
	for _, s := range []surplus{
		{status: 200, framing: "length", times: 1},
		{status: 503, header: refused, framing: "length", times: 1},
	} {
		f := newKept(t, 2, once, func(e *exchange) {
			if e.position > 1 {
				s.write(e)
			}
			good(e)
		})
		response, body, err := f.call(t, http.MethodPost, "", "Attempt", "")
		if err != nil || response.StatusCode != 200 || body != "whole" || f.runs("") != 1 {
			t.Errorf("after %+v: status %d, body %q, %v, and the request ran %d times", s, response.StatusCode, body, err, f.runs(""))
		}
	}
}

// An answer to HEAD has a length and no body, and is written once more.
func TestHeadAnswerIsNotReadAsBody(t *testing.T) {
	head := func(e *exchange) {
		fmt.Fprintf(e.conn, "HTTP/1.1 200 OK\r\nAttempt: %s\r\nContent-Length: 40\r\n\r\n", e.Header.Get("Attempt"))
	}
	f := newFixture(t, 1, once, func(e *exchange) {
		if e.Method == http.MethodHead {
			head(e)
			return
		}
		if e.position > 1 {
			fmt.Fprintf(e.conn, "HTTP/1.1 200 OK\r\nAttempt: id-0\r\nContent-Length: 40\r\n\r\n")
		}
		good(e)
	})
	response, _, err := f.call(t, http.MethodHead, "", "Attempt", "id-0")
	if err != nil || response.StatusCode != 200 || response.ContentLength != 40 {
		t.Errorf("the answer to HEAD is %v, %v", response, err)
	}
	response, body, err := f.call(t, http.MethodPost, "")
	if err != nil || response.StatusCode != 200 || body != "whole" {
		t.Errorf("the answer after that to HEAD: %v, %q, %v", response, body, err)
	}
}
