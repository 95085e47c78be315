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
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwbalance"
	"kingcupwick.example/kcw/kcwbreaker"
	"kingcupwick.example/kcw/kcwcold"
	"kingcupwick.example/kcw/kcwconn"
	"kingcupwick.example/kcw/kcwdetector"
	"kingcupwick.example/kcw/kcwforward"
	"kingcupwick.example/kcw/kcwgrant"
	"kingcupwick.example/kcw/kcwlink"
	"kingcupwick.example/kcw/kcwmemory"
	"kingcupwick.example/kcw/kcwoverload"
	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwpermit"
	"kingcupwick.example/kcw/kcwplace"
	"kingcupwick.example/kcw/kcwroster"
	"kingcupwick.example/kcw/kcwroute"
	"kingcupwick.example/kcw/kcwstop"
)

// longTime is longer than any test takes.
const longTime = 30 * time.Second

// maxBodyBytes is the limit of a request's body, larger than the buffers of a
// connection.
const maxBodyBytes = 16 << 20

// dialect is a Dialect with one plain header for each value.
type dialect struct{}

func (dialect) ParseRequest(r *http.Request, now time.Time) (kcwforward.RequestInfo, error) {
	info := kcwforward.RequestInfo{RequestID: r.Header.Get("Attempt"), Key: r.Header.Get("Key"), LastEventID: r.Header.Get("Last"), Parts: strings.Fields(r.Header.Get("Parts")), Prompt: r.Header.Get("Prompt-Part")}
	if ms, err := strconv.Atoi(r.Header.Get("Wait")); err == nil {
		info.Deadline = now.Add(time.Duration(ms) * time.Millisecond)
	}
	info.PromptTokens, _ = strconv.ParseInt(r.Header.Get("Prompt"), 10, 64)
	info.OutputTokens, _ = strconv.ParseInt(r.Header.Get("Output"), 10, 64)
	return info, nil
}

func (dialect) UpstreamHeader(caller http.Header, a kcwforward.AttemptInfo, now time.Time) http.Header {
	h := caller.Clone()
	kcwforward.RemoveHopHeaders(h)
	for _, name := range []string{"Key", "Last", "Content-Length"} {
		h.Del(name)
	}
	h.Set("Wait", strconv.FormatInt(a.Deadline.Sub(now).Milliseconds(), 10))
	h.Set("Team", a.Team)
	h.Set("Upstream", a.Upstream)
	h.Set("Last", a.LastEventID)
	return h
}

func (dialect) ParseResponse(status int, h http.Header, now time.Time) kcwforward.ResponseInfo {
	misdirected := status == http.StatusMisdirectedRequest
	info := kcwforward.ResponseInfo{
		RequestID: h.Get("Attempt"), Misdirected: misdirected, NotRun: misdirected || h.Get("Not-Run") != "", Leaving: h.Get("Leaving") != "",
	}
	if ms, err := strconv.Atoi(h.Get("Decline")); err == nil {
		info.DeclinedUntil = now.Add(time.Duration(ms) * time.Millisecond)
	}
	var load kcwroster.Load
	if n, _ := fmt.Sscanf(h.Get("Load"), "%d,%d,%d,%f", &load.Running, &load.Waiting, &load.Slots, &load.Slowness); n >= 3 {
		info.Load = &load
	} else {
		info.MalformedLoad = h.Get("Load")
	}
	if text := h.Get("Limit"); text != "" {
		var err error
		if info.RateLimit, err = strconv.ParseFloat(text, 64); err != nil {
			info.RateLimit, info.MalformedLimit = 0, text
		}
	}
	return info
}

func (dialect) RetryAfter(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

// shortSilence is the time after which upstreams are silent in the tests of that.
const shortSilence = 100 * time.Millisecond

// exchange is a request that arrived at an upstream, with its connection.
type exchange struct {
	*http.Request
	conn net.Conn
	// number is the position of the request among those of all upstreams, from one, and
	// position that among those of the connection.
	number, position int
}

// answer writes an answer that carries the request's ID.
func (e *exchange) answer(status int, header, body string) {
	fmt.Fprintf(e.conn, "HTTP/1.1 %d X\r\nAttempt: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, e.Header.Get("Attempt"), header, len(body), body)
}

// eventStream is the header of a stream.
const eventStream = "Content-Type: text/event-stream\r\n"

// events writes the chunks of a chunked answer, and the end of the answer if complete
// is set.
func (e *exchange) events(complete bool, chunks ...string) {
	fmt.Fprintf(e.conn, "HTTP/1.1 200 OK\r\nAttempt: %s\r\n%sTransfer-Encoding: chunked\r\n\r\n", e.Header.Get("Attempt"), eventStream)
	for _, c := range chunks {
		fmt.Fprintf(e.conn, "%x\r\n%s\r\n", len(c), c)
	}
	if complete {
		_, _ = io.WriteString(e.conn, "0\r\n\r\n")
	}
}

// closeConn closes the connection without finishing an answer.
func (e *exchange) closeConn() { _ = e.conn.Close() }

// fixture is a forwarder with scripted upstreams.
type fixture struct {
	// listeners are those of the upstreams.
	listeners []net.Listener
	cfg       kcwforward.Config
	forwarder *kcwforward.Forwarder
	roster    *kcwroster.Roster
	balance   *kcwbalance.Balance
	memory    *kcwmemory.Account
	overload  *kcwoverload.Overload
	server    *httptest.Server
	url       string
	// document is the configuration in force.
	document atomic.Pointer[kcwroute.Document]
	// stop is the planned stop, nil for none.
	stop atomic.Pointer[kcwstop.Stop]
	// bound is the bound on the connections to each upstream, nil for none.
	bound atomic.Pointer[kcwroster.ConnBound]
	// onTokenRequest is called instead of asking the core for tokens, unless it is nil. It is
	// set between requests.
	onTokenRequest func() bool

	mu       sync.Mutex
	requests []*exchange
	bodies   []string
	events   []kcwforward.Event
	hedges   []kcwforward.Hedge
	// retries counts the calls of OnRetry.
	retries int
	guard   *guard
	limits  *limits
	speeds  *speeds
}

// guard is a PartGuard that refuses prompts with given parts and keeps what it is told.
type guard struct {
	mu sync.Mutex
	// blocked are the parts whose prompts are refused. After the first cut, those in
	// blockedAfterCut are refused too.
	blocked, blockedAfterCut []string
	// trials is the number of requests that are admitted nevertheless.
	trials int
	begun  [][]string
	cuts   []kcwdetector.Cut
	// whole and unproven count the answers that have ended, the latter with their connection.
	whole, unproven int
	// avoided holds the upstreams that prompts with a part avoid.
	avoided map[string][]string
}

func (g *guard) Admit(parts []string) (blocked []string, isTrial bool) {
	blocked = g.Match(parts)
	g.mu.Lock()
	defer g.mu.Unlock()
	if blocked == nil || g.trials == 0 {
		return blocked, false
	}
	g.trials--
	return blocked, true
}

func (g *guard) Match(parts []string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, part := range parts {
		if slices.Contains(g.blocked, part) {
			return []string{part}
		}
	}
	return nil
}

func (g *guard) Avoided(parts []string) (upstreams []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, part := range parts {
		upstreams = append(upstreams, g.avoided[part]...)
	}
	return upstreams
}

func (g *guard) Begin(parts []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.begun = append(g.begun, parts)
}

func (g *guard) Complete(_ []string, isWhole bool, sentAt time.Time) {
	if sentAt.IsZero() {
		panic("no time of sending")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if isWhole {
		g.whole++
	} else {
		g.unproven++
	}
}

func (g *guard) Cut(cut kcwdetector.Cut) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cuts = append(g.cuts, cut)
	g.blocked = append(g.blocked, g.blockedAfterCut...)
}

// newFixture starts a forwarder and upstreams that call script for each request. Each
// connection stays open unless script closes it. No upstream is taken for silent, however
// slow the test runs.
func newFixture(t *testing.T, upstreams int, route kcwroute.Route, script func(e *exchange)) *fixture {
	t.Helper()
	return newSilenceFixture(t, upstreams, route, longTime, script)
}

// newSilenceFixture is like newFixture, with the time after which an upstream that sends
// nothing is silent.
func newSilenceFixture(t *testing.T, upstreams int, route kcwroute.Route, silence time.Duration, script func(e *exchange)) *fixture {
	t.Helper()
	return newTimedFixture(t, upstreams, route, silence, longTime, script)
}

// newTimedFixture is like newSilenceFixture, with the time for which a caller may take nothing.
func newTimedFixture(t *testing.T, upstreams int, route kcwroute.Route, silence, writeTimeout time.Duration, script func(e *exchange)) *fixture {
	t.Helper()
	f := &fixture{memory: kcwmemory.New(4 * maxBodyBytes), overload: newOverload(), guard: &guard{}, limits: &limits{limited: map[string]bool{}, permits: map[string]int{}}, speeds: &speeds{}}
	roster := newRoster(f.limits, f.speeds, silence, f.connBound)
	f.roster = roster
	var entries []kcwroster.Entry
	for i := range upstreams {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = listener.Close() })
		f.listeners = append(f.listeners, listener)
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
	f.document.Store(newDocument(t, route))
	f.cfg = kcwforward.Config{
		Dialect: dialect{}, Document: f.document.Load, Roster: roster, Balance: f.balance,
		BorrowTokens: func(context.Context, string, int64) bool { return false },
		Guard:        f.guard, Permits: f.limits,
		Memory: f.memory, MaxHeadBytes: 1 << 16,
		Overload:      f.overload,
		Link:          kcwlink.New(kcwlink.Config{TimeConstant: time.Second}),
		RequestTokens: func(context.Context) bool { return f.onTokenRequest != nil && f.onTokenRequest() }, TokenTimeout: time.Second,
		RetryRatio: 0.1, RetrySlack: 10, Routers: func() int { return 1 },
		MaxBodyBytes: maxBodyBytes, MaxAnswerBytes: 1 << 20, MaxEventBytes: 1 << 16,
		WriteTimeout: writeTimeout, UsedWithin: time.Second, SilenceCheckInterval: 20 * time.Millisecond, Stopping: f.stopping,
		OnEnd: func(e kcwforward.Event) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.events = append(f.events, e)
		},
		OnWithdrawal: func(string, string, kcwforward.ResponseInfo) {},
		OnHedge: func(h kcwforward.Hedge) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.hedges = append(f.hedges, h)
		},
		OnRetry: func(kcwforward.Event) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.retries++
		},
		Rand: rand.New(rand.NewPCG(1, 1)), Now: time.Now,
	}
	f.serve(t)
	return f
}

// serve starts a forwarder with the fixture's configuration.
func (f *fixture) serve(t *testing.T) {
	t.Helper()
	var err error
	if f.forwarder, err = kcwforward.New(f.cfg); err != nil {
		t.Fatal(err)
	}
	f.server = httptest.NewUnstartedServer(f.forwarder)
	f.server.Config.ConnContext = f.forwarder.ConnContext
	f.server.Start()
	t.Cleanup(f.server.Close)
	f.url = f.server.URL
}

func (f *fixture) stopping() (kcwstop.Stop, bool) {
	if stop := f.stop.Load(); stop != nil {
		return *stop, true
	}
	return kcwstop.Stop{}, false
}

// beginStop begins a planned stop that ends after d.
func (f *fixture) beginStop(d time.Duration) {
	f.stop.Store(&kcwstop.Stop{EndsAt: time.Now().Add(d)})
}

func (f *fixture) connBound(string) kcwroster.ConnBound {
	if bound := f.bound.Load(); bound != nil {
		return *bound
	}
	return kcwroster.ConnBound{}
}

func newRoster(limits *limits, speeds *speeds, silence time.Duration, maxConns func(string) kcwroster.ConnBound) *kcwroster.Roster {
	return kcwroster.New(kcwroster.Config{
		Placer: kcwplace.New(kcwplace.Config{LoadFactor: 1.25, LoadMargin: 0.1, Rand: rand.New(rand.NewPCG(1, 1))}),
		Breaker: kcwbreaker.Config{
			Window: time.Second, MinCalls: 100, FailureRate: 1, SlowRate: 1, ConsecutiveFailures: 100, SlowAfter: time.Minute,
			Probes: 1, ProbeTimeout: time.Second, InitialBackoff: time.Second, MaxBackoff: time.Second,
		},
		Conn:           kcwconn.Config{DialTimeout: longTime, SilenceTimeout: silence, AckTimeout: longTime, IdleTimeout: longTime, MaxIdle: 4},
		SilenceTimeout: silence, DialPause: time.Millisecond, HalfLife: time.Second,
		Limits: limits, Speeds: speeds, MaxConns: maxConns, OnMalformedLoad: speeds.addMalformed, Rand: rand.New(rand.NewPCG(2, 2)), Now: time.Now,
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

// accept runs script for each request of each connection.
func (f *fixture) accept(listener net.Listener, script func(e *exchange)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			reader := bufio.NewReader(conn)
			for position := 1; ; position++ {
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				e := &exchange{Request: r, conn: conn, position: position}
				f.mu.Lock()
				f.requests = append(f.requests, e)
				e.number = len(f.requests)
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

// call sends one request and returns the answer and its body. The error is that of
// reading the body.
func (f *fixture) call(t *testing.T, method, body string, header ...string) (*http.Response, string, error) {
	t.Helper()
	response := f.open(t, method, strings.NewReader(body), header...)
	defer func() { _ = response.Body.Close() }()
	got, err := io.ReadAll(response.Body)
	return response, string(got), err
}

// open sends one request and returns the answer once its head has come. The caller closes the
// body.
func (f *fixture) open(t *testing.T, method string, body io.Reader, header ...string) *http.Response {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, f.url+"/a/x?q=1", body)
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
	return response
}

// checkSpent checks the number of tokens that the team has spent, and that none are reserved.
func (f *fixture) checkSpent(t *testing.T, name string, want int64) {
	t.Helper()
	if team := f.balance.Teams()[0]; team.Spent != want || team.Reserved != 0 {
		t.Errorf("%s: spent %d and reserved %d, want %d and 0", name, team.Spent, team.Reserved, want)
	}
}

// testSeed returns the seed of a random test: KCW_SEED if that is set.
func testSeed(t *testing.T, seed int64) int64 {
	t.Helper()
	text := os.Getenv("KCW_SEED")
	if text == "" {
		return seed
	}
	seed, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return seed
}

// arrivals returns the number of requests that arrived at upstreams.
func (f *fixture) arrivals() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.requests)
}

// rawAnswer is what a caller sees on its connection.
type rawAnswer struct {
	status     int
	seal, body string
	// isWhole is set if nothing shows that the answer is broken, endsWithConn if only the end
	// of the connection ends it.
	isWhole, endsWithConn bool
}

// callRaw sends one request on a connection of its own and reads the answer.
func (f *fixture) callRaw(method, proto string) (rawAnswer, error) {
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		return rawAnswer{}, err
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, method+" /a/x "+proto+"\r\nHost: host.example\r\nAttempt: id-1\r\nKey: key\r\n\r\n"); err != nil {
		return rawAnswer{}, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return rawAnswer{}, nil
	}
	got := rawAnswer{status: response.StatusCode, seal: strings.Join(response.Header["Seal"], ",")}
	got.endsWithConn = response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Close
	body, err := io.ReadAll(response.Body)
	got.body, got.isWhole = string(body), err == nil
	return got, nil
}

// closeUpstreams closes the connections of the upstreams.
func (f *fixture) closeUpstreams() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.requests {
		_ = e.conn.Close()
	}
}

// grant grants the team tokens. Available and unspent are the tokens of the team that
// the core reports as not granted and as not used by any router.
func (f *fixture) grant(tokens, available, unspent int64) {
	f.balance.Reserve("team", tokens, time.Now())
	f.balance.ApplyAllowances(f.balance.Report(time.Now()), []*kcwpb.Allowance{{
		Team: "team", Granted: tokens, Available: available, Unspent: unspent, Share: tokens,
	}})
}

// outage is a sign of an outage that was reported.
type outage struct {
	upstream string
	sign     kcwcold.Sign
}

// limits keeps the rate limits of upstreams in a test.
type limits struct {
	mu sync.Mutex
	// limited holds the upstreams with a limit, permits the permits that are left.
	limited map[string]bool
	permits map[string]int
	notices []kcwroster.LimitNotice
	claims  []kcwpermit.Claim
	// late is the number of permits that expire before their requests can be sent.
	late    int
	outages []outage
	// onAcquire is called before a permit is acquired, unless it is nil.
	onAcquire func()
	// acquire is called instead of Acquire, unless it is nil.
	acquire func(ctx context.Context, claim kcwpermit.Claim) string
}

func (l *limits) Observe(notice kcwroster.LimitNotice) {
	l.mu.Lock()
	defer l.mu.Unlock()
	notice.Elapsed = 0
	l.notices = append(l.notices, notice)
}

func (l *limits) Retain(func(string) bool) {}

func (l *limits) IsLimiting() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.limited) > 0
}

func (l *limits) HasLimit(upstream string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limited[upstream]
}

func (l *limits) Acquire(ctx context.Context, claim kcwpermit.Claim) kcwpermit.Permit {
	return kcwpermit.Permit{Upstream: l.take(ctx, claim)}
}

func (l *limits) MaySend(kcwpermit.Permit) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.late--
	return l.late < 0
}

func (l *limits) ReportOutage(upstream string, sign kcwcold.Sign) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outages = append(l.outages, outage{upstream, sign})
}

// take returns the upstream of a permit, empty if there is none.
func (l *limits) take(ctx context.Context, claim kcwpermit.Claim) string {
	if l.acquire != nil {
		return l.acquire(ctx, claim)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.claims = append(l.claims, claim)
	if l.onAcquire != nil {
		l.onAcquire()
	}
	for _, upstream := range claim.Upstreams {
		if l.permits[upstream] > 0 {
			l.permits[upstream]--
			return upstream
		}
	}
	return ""
}

func (l *limits) ReturnAfter(string) time.Duration { return 2 * time.Second }
