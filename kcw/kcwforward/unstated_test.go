package kcwforward_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	"kingcupwick.example/kcw/kcwroute"
)

// unstatedFramings are the ways in which the body of an answer may end, or not.
var unstatedFramings = []struct {
	name  string
	write func(e *exchange, status int, header string)
}{
	{"length", func(e *exchange, status int, header string) { e.answer(status, header, "ran") }},
	{"no body", func(e *exchange, status int, header string) { e.answer(status, header, "") }},
	{"large", func(e *exchange, status int, header string) { e.answer(status, header, strings.Repeat("x", 512<<10)) }},
	{"chunks", func(e *exchange, status int, header string) {
		writeHead(e, status, header+"Transfer-Encoding: chunked\r\n")
		_, _ = io.WriteString(e.conn, "3\r\nran\r\n0\r\n\r\n")
	}},
	{"end of the connection", func(e *exchange, status int, header string) {
		writeHead(e, status, header+"Connection: close\r\n")
		_, _ = io.WriteString(e.conn, "ran")
		e.closeConn()
	}},
	{"body that does not come", func(e *exchange, status int, header string) { writeHead(e, status, header+"Content-Length: 3\r\n") }},
	{"body that is cut", func(e *exchange, status int, header string) {
		writeHead(e, status, header+"Content-Length: 3\r\n")
		_, _ = io.WriteString(e.conn, "r")
		e.closeConn()
	}},
	{"events", func(e *exchange, status int, header string) {
		writeHead(e, status, header+eventStream+"Transfer-Encoding: chunked\r\n")
		_, _ = io.WriteString(e.conn, "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n")
	}},
	{"an encoding", func(e *exchange, status int, header string) {
		e.answer(status, header+"Content-Encoding: gzip\r\n", "ran")
	}},
}

func writeHead(e *exchange, status int, header string) {
	fmt.Fprintf(e.conn, "HTTP/1.1 %d X\r\nAttempt: %s\r\n%s\r\n", status, e.Header.Get("Attempt"), header)
}

// TestUnstatedRefusalIsNotPassedOn guards against callers that send a request that must not run
// twice once more, because they got an upstream's status for a request that has not run although
// the upstream did not state that.
func TestUnstatedRefusalIsNotPassedOn(t *testing.T) {
	for _, route := range []kcwroute.Route{once, stream} {
		route.Generates = true
		for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
			for _, framing := range unstatedFramings {
				name := fmt.Sprintf("kind %v, status %d, %s", route.Kind, status, framing.name)
				f := newFixture(t, 2, route, func(e *exchange) { framing.write(e, status, "Seal: s\r\nRetry-After: 1\r\n") })
				f.grant(1000, 0, 1000)
				response, body, err := f.call(t, http.MethodPost, "body", "Prompt", "500", "Output", "100")
				if err != nil || response.StatusCode != http.StatusBadGateway || f.arrivals() != 1 {
					t.Errorf("%s: got %d, %v after %d sends, want 502 after one", name, response.StatusCode, err, f.arrivals())
				}
				if response.Header.Get("Seal") != "" || response.Header.Get("Retry-After") != "" || !strings.Contains(body, "does not state that it did not run") {
					t.Errorf("%s: the caller got %v and %q", name, response.Header, body)
				}
				// The request may have run.
				f.checkSpent(t, name, 500)
			}
		}
	}
}

// TestUnstatedStatusesArePassedOn checks the answers around those of
// TestUnstatedRefusalIsNotPassedOn: what the upstream states is true, other statuses tell the caller
// nothing, and a request that may be repeated does no harm.
func TestUnstatedStatusesArePassedOn(t *testing.T) {
	for _, test := range []struct {
		route       kcwroute.Route
		status      int
		header      string
		want, sends int
		isUpstreams bool
	}{
		{once, 503, refused, 503, 4, false},
		{stream, 429, refused, 503, 4, false},
		{once, 421, "", 503, 4, false},
		{once, 400, "", 400, 1, true},
		{once, 409, "", 409, 1, true},
		{once, 425, "", 425, 1, true},
		{once, 500, "", 500, 1, true},
		{stream, 502, "", 502, 1, true},
		{once, 504, "", 504, 1, true},
		{repeatable, 503, "", 503, 2, true},
		{repeatable, 429, "", 429, 1, true},
		{resumable, 408, "", 408, 1, true},
		{resumable, 503, "", 503, 2, true},
	} {
		f := newFixture(t, 4, test.route, func(e *exchange) { e.answer(test.status, "Seal: s\r\n"+test.header, "upstream's") })
		response, body, err := f.call(t, http.MethodPost, "body")
		isUpstreams := response.Header.Get("Seal") == "s" && body == "upstream's"
		if err != nil || response.StatusCode != test.want || isUpstreams != test.isUpstreams || f.arrivals() != test.sends {
			t.Errorf("kind %v, status %d %q: got %d, the upstream's answer %v, %v after %d sends; want %d, %v after %d",
				test.route.Kind, test.status, test.header, response.StatusCode, isUpstreams, err, f.arrivals(), test.want, test.isUpstreams, test.sends)
		}
	}
}

// TestConnectionStaysAfterUnstatedRefusal checks that an upstream whose answer is not passed on keeps
// its connection if the answer has come whole.
func TestConnectionStaysAfterUnstatedRefusal(t *testing.T) {
	for _, test := range []struct {
		name       string
		isWhole    bool
		connection string
	}{{"whole", true, ""}, {"body does not come", false, ""}, {"closing", true, "Connection: close\r\n"}} {
		f := newFixture(t, 1, once, first(func(e *exchange) {
			if test.isWhole {
				e.answer(http.StatusServiceUnavailable, test.connection, "ran")
				return
			}
			writeHead(e, http.StatusServiceUnavailable, "Content-Length: 3\r\n")
		}, good))
		f.cfg.UsedWithin = longTime
		f.serve(t)
		for i, want := range []int{http.StatusBadGateway, http.StatusOK} {
			// A connection carries no identity twice.
			if response, _, err := f.call(t, http.MethodPost, "", "Attempt", strconv.Itoa(i)); err != nil || response.StatusCode != want {
				t.Errorf("%s: got %d, %v, want %d", test.name, response.StatusCode, err, want)
			}
		}
		position := map[bool]int{true: 2, false: 1}[test.isWhole && test.connection == ""]
		if got := f.requests[1].position; got != position {
			t.Errorf("%s: the second request is number %d on its connection, want %d", test.name, got, position)
		}
	}
}

// TestNoBookingRunsTwice checks, with upstreams that refuse, fail and break off before and after
// they have run a request, that callers who repeat a booking only if a status allows it book once,
// and that no status denies a run.
func TestNoBookingRunsTwice(t *testing.T) {
	const bookings, tries, clients = 400, 3, 8
	statuses := []int{200, 400, 408, 409, 429, 500, 502, 503, 504}
	random := rand.New(rand.NewPCG(uint64(testSeed(t, 62)), 0))
	var mu sync.Mutex
	runs, byBooking := map[string]int{}, map[string]int{}
	script := func(e *exchange) {
		mu.Lock()
		kind, status, framing := random.IntN(6), statuses[random.IntN(len(statuses))], unstatedFramings[random.IntN(5)]
		if kind >= 2 {
			runs[e.Header.Get("Attempt")]++
			byBooking[e.Header.Get("Booking")]++
		}
		mu.Unlock()
		switch kind {
		case 0:
			e.answer(status, refused, "full")
		case 1, 2:
			e.closeConn()
		default:
			framing.write(e, status, "")
		}
	}
	f := newFixture(t, 3, once, script)
	next := make(chan int, bookings)
	for n := range bookings {
		next <- n
	}
	close(next)
	var callers sync.WaitGroup
	for range clients {
		callers.Go(func() {
			for n := range next {
				for try := range tries {
					id := strconv.Itoa(n) + "-" + strconv.Itoa(try)
					response, _, _ := f.call(t, http.MethodPost, "", "Attempt", id, "Booking", strconv.Itoa(n))
					isRefused := response.StatusCode == 408 || response.StatusCode == 421 || response.StatusCode == 429 || response.StatusCode == 503
					mu.Lock()
					if isRefused && runs[id] > 0 {
						t.Errorf("attempt %s got %d and has run", id, response.StatusCode)
					}
					mu.Unlock()
					if !isRefused {
						break
					}
				}
			}
		})
	}
	callers.Wait()
	for booking, n := range byBooking {
		if n > 1 {
			t.Errorf("booking %s ran %d times", booking, n)
		}
	}
}
