package kcwforward_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwbalance"
	"kingcupwick.example/kcw/kcwbreaker"
	"kingcupwick.example/kcw/kcwconn"
	"kingcupwick.example/kcw/kcwforward"
	"kingcupwick.example/kcw/kcwgrant"
	"kingcupwick.example/kcw/kcwlink"
	"kingcupwick.example/kcw/kcwmemory"
	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwplace"
	"kingcupwick.example/kcw/kcwroster"
	"kingcupwick.example/kcw/kcwroute"
)

// longTime is longer than any test takes.
const longTime = 30 * time.Second

// largest is the largest body in bytes, more than the buffers of a connection
// take.
const largest = 16 << 20

// dialect is a plain dialect for tests.
type dialect struct{}

func (dialect) ParseRequest(r *http.Request, now time.Time) (kcwforward.RequestInfo, error) {
	call := kcwforward.RequestInfo{RequestID: r.Header.Get("Attempt"), Key: r.Header.Get("Key"), LastEventID: r.Header.Get("Last")}
	if ms, err := strconv.Atoi(r.Header.Get("Wait")); err == nil {
		call.Deadline = now.Add(time.Duration(ms) * time.Millisecond)
	}
	call.PromptTokens, _ = strconv.ParseInt(r.Header.Get("Prompt"), 10, 64)
	call.OutputTokens, _ = strconv.ParseInt(r.Header.Get("Output"), 10, 64)
	return call, nil
}

func (dialect) UpstreamHeader(caller http.Header, a kcwforward.AttemptInfo, now time.Time) http.Header {
	h := caller.Clone()
	kcwforward.RemoveHopHeaders(h)
	for _, name := range []string{"Key", "Last", "Content-Length"} {
		h.Del(name)
	}
	h.Set("Wait", strconv.FormatInt(a.Deadline.Sub(now).Milliseconds(), 10))
	h.Set("Team", a.Team)
	h.Set("Last", a.LastEventID)
	return h
}

func (dialect) ParseResponse(status int, h http.Header, now time.Time) kcwforward.ResponseInfo {
	misdirected := status == http.StatusMisdirectedRequest
	answer := kcwforward.ResponseInfo{
		RequestID: h.Get("Attempt"), Misdirected: misdirected, NotRun: misdirected || h.Get("Not-Run") != "", Leaving: h.Get("Leaving") != "",
	}
	if ms, err := strconv.Atoi(h.Get("Decline")); err == nil {
		answer.DeclinedUntil = now.Add(time.Duration(ms) * time.Millisecond)
	}
	return answer
}

func (dialect) RetryAfter(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

// exchange is one request at an upstream, with its connection.
type exchange struct {
	*http.Request
	conn net.Conn
	// nth counts the requests at all upstreams from one.
	nth int
}

// answer writes an answer with the request's identity.
func (e *exchange) answer(status int, header, body string) {
	fmt.Fprintf(e.conn, "HTTP/1.1 %d X\r\nAttempt: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, e.Header.Get("Attempt"), header, len(body), body)
}

// events begins a chunked answer and writes the chunks, and its end if whole.
func (e *exchange) events(whole bool, chunks ...string) {
	fmt.Fprintf(e.conn, "HTTP/1.1 200 OK\r\nAttempt: %s\r\nTransfer-Encoding: chunked\r\n\r\n", e.Header.Get("Attempt"))
	for _, c := range chunks {
		fmt.Fprintf(e.conn, "%x\r\n%s\r\n", len(c), c)
	}
	if whole {
		_, _ = io.WriteString(e.conn, "0\r\n\r\n")
	}
}

// reset closes the connection without an end.
func (e *exchange) reset() { _ = e.conn.Close() }

// fixture is a forwarder before scripted upstreams.
type fixture struct {
	forwarder *kcwforward.Forwarder
	balance   *kcwbalance.Balance
	memory    *kcwmemory.Account
	url       string
	// stop is the planned stop, set between requests.
	stop kcwforward.Stop

	mu     sync.Mutex
	seen   []*exchange
	bodies []string
	events []kcwforward.Event
	// retried counts the attempts that another followed.
	retried int
}

// newFixture starts upstreams that all follow script, which may keep a
// connection open by leaving it alone.
func newFixture(t *testing.T, upstreams int, route kcwroute.Route, script func(e *exchange)) *fixture {
	t.Helper()
	f := &fixture{memory: kcwmemory.New(4 * largest)}
	roster := newRoster()
	var entries []kcwroster.Entry
	for i := range upstreams {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = listener.Close() })
		go f.accept(listener, script)
		entries = append(entries, kcwroster.Entry{
			ID: "u" + strconv.Itoa(i), Service: "s", Slots: 4, Address: listener.Addr().(*net.TCPAddr).AddrPort(),
		})
	}
	roster.Update(entries, time.Now())
	f.balance = kcwbalance.New(kcwbalance.Config{
		Grant:         kcwgrant.Config{Endurance: time.Second, IdleAfter: time.Minute, Memory: time.Second},
		ActivateAfter: longTime, Fresh: longTime, Uptime: func() time.Duration { return 0 },
	})
	document := newDocument(t, route)
	var err error
	f.forwarder, err = kcwforward.New(kcwforward.Config{
		Dialect: dialect{}, Document: func() *kcwroute.Document { return document }, Roster: roster, Balance: f.balance,
		BorrowTokens: func(context.Context, string, int64) bool { return false },
		Memory:       f.memory, MaxHeadBytes: 1 << 16,
		Link:          kcwlink.New(kcwlink.Config{TimeConstant: time.Second}),
		RequestTokens: func(context.Context) bool { return false }, TokenTimeout: time.Second,
		RetryRatio: 0.1, RetrySlack: 10, Routers: func() int { return 1 },
		MaxBodyBytes: largest, MaxAnswerBytes: 1 << 20, MaxEventBytes: 1 << 16,
		UsedWithin: time.Second, SilenceCheckInterval: 20 * time.Millisecond, Stopping: func() (kcwforward.Stop, bool) { return f.stop, !f.stop.EndsAt.IsZero() },
		OnEnd: func(e kcwforward.Event) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.events = append(f.events, e)
		},
		OnWithdrawal: func(string, string, kcwforward.ResponseInfo) {},
		OnRetry: func(kcwforward.Event) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.retried++
		},
		Rand: rand.New(rand.NewPCG(1, 1)), Now: time.Now,
	})
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(f.forwarder)
	t.Cleanup(server.Close)
	f.url = server.URL
	return f
}

func newRoster() *kcwroster.Roster {
	return kcwroster.New(kcwroster.Config{
		Placer: kcwplace.New(kcwplace.Config{LoadFactor: 1.25, LoadMargin: 0.1, Rand: rand.New(rand.NewPCG(1, 1))}),
		Breaker: kcwbreaker.Config{
			Window: time.Second, MinCalls: 100, FailureRate: 1, SlowRate: 1, ConsecutiveFailures: 100, SlowAfter: time.Minute,
			Probes: 1, ProbeTimeout: time.Second, InitialBackoff: time.Second, MaxBackoff: time.Second,
		},
		Conn:           kcwconn.Config{DialTimeout: longTime, SilenceTimeout: longTime, IdleTimeout: longTime, MaxIdle: 4},
		SilenceTimeout: 100 * time.Millisecond, DialPause: time.Millisecond, HalfLife: time.Second,
		Rand: rand.New(rand.NewPCG(2, 2)), Now: time.Now,
	})
}

func newDocument(t *testing.T, route kcwroute.Route) *kcwroute.Document {
	t.Helper()
	route.Name, route.Host, route.Prefix, route.Timeout = "r", "host.example", "/a/", longTime
	route.Backends = []kcwroute.Backend{{Service: "s", Weight: 1}}
	document := &kcwroute.Document{
		Version: 1, Routes: []kcwroute.Route{route},
		Services: []kcwroute.Service{{Name: "s", EventTokens: 3}},
		Teams:    []kcwroute.Team{{Name: "team", Keys: []string{"key"}}},
	}
	if err := document.Index(); err != nil {
		t.Fatal(err)
	}
	return document
}

// accept serves connections, one request after the other.
func (f *fixture) accept(listener net.Listener, script func(e *exchange)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			reader := bufio.NewReader(conn)
			for {
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				e := &exchange{Request: r, conn: conn}
				f.mu.Lock()
				f.seen = append(f.seen, e)
				e.nth = len(f.seen)
				f.mu.Unlock()
				if r.Header.Get("Leave-Body") == "" {
					body, _ := io.ReadAll(r.Body)
					f.mu.Lock()
					f.bodies = append(f.bodies, string(body))
					f.mu.Unlock()
				}
				script(e)
			}
		}()
	}
}

// call sends one request. The error is that of reading the answer's body.
func (f *fixture) call(t *testing.T, method, body string, header ...string) (*http.Response, string, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, f.url+"/a/x?q=1", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "host.example"
	request.Header.Set("Attempt", "id-1")
	request.Header.Set("Key", "key")
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	got, err := io.ReadAll(response.Body)
	return response, string(got), err
}

// runs returns the number of requests that reached upstreams.
func (f *fixture) runs() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.seen)
}

// grant gives the team tokens, of which the core has some more.
func (f *fixture) grant(tokens, available, unspent int64) {
	f.balance.Reserve("team", tokens, time.Now())
	f.balance.ApplyAllowances(f.balance.Report(time.Now()), []*kcwpb.Allowance{{
		Team: "team", Granted: tokens, Available: available, Unspent: unspent, Share: tokens,
	}})
}
