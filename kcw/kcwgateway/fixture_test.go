package kcwgateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"kingcupwick.example/kcw/kcwbook"
	"kingcupwick.example/kcw/kcwcatalog"
	"kingcupwick.example/kcw/kcwcontract"
	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwupstream"
)

const (
	testPrepaid     = 10_000_000
	testIncarnation = 1
	chatBody        = `{"model":"m","messages":[{"role":"user","content":"hello"}],"max_tokens":8}`
	streamBody      = `{"model":"m","messages":[{"role":"user","content":"hello"}],"max_tokens":8,"stream":true}`
)

func TestMain(m *testing.M) {
	klog.SetSlogLogger(slog.New(slog.DiscardHandler))
	os.Exit(m.Run())
}

func keyOf(customer string) string { return "key-of-" + customer + "-for-tests" }

func contractOf(customer string) *kcwcontract.Contract {
	return &kcwcontract.Contract{
		Customer: customer, PrepaidTokens: testPrepaid, Weight: 1,
		Limits: kcwcontract.Limits{MaxPromptTokens: 100_000, MaxCompletionTokens: 1000, DefaultCompletionTokens: 100, QueueDeadline: 5 * time.Second},
		Keys:   []kcwcontract.Key{{Name: "k", Hash: hexHash(keyOf(customer)), Team: "t"}},
		Teams:  []kcwcontract.Team{{Name: "t", Weight: 1}},
		Models: []kcwcontract.Model{{Name: "m", Upstream: "engine"}},
		Services: []kcwcontract.Service{{
			Name: "app", PathPrefix: "/services/app", Methods: []string{"GET", "POST"}, CostTokens: 5,
			NotRepeatable: []string{"/services/app/deposits"},
		}},
	}
}

// ledger implements the interfaces of a gateway's ledger with a Book. A hook that is
// set replaces the operation.
type ledger struct {
	book     *kcwbook.Book
	mu       sync.Mutex
	onOpen   func(*kcwpb.OpenClaim) (*kcwpb.Result, error)
	onSettle func(*kcwpb.SettleClaim) (*kcwpb.Result, error)
	settles  atomic.Int64
}

func newLedger(t testing.TB, routers ...string) *ledger {
	l := &ledger{book: kcwbook.New()}
	for _, name := range routers {
		l.mustApply(t, &kcwpb.Command{Op: &kcwpb.Command_RegisterRouter{RegisterRouter: &kcwpb.RegisterRouter{Router: name, Incarnation: testIncarnation}}})
	}
	for _, customer := range []string{"pew", "kviitung"} {
		l.put(t, contractOf(customer))
	}
	return l
}

func (l *ledger) put(t testing.TB, c *kcwcontract.Contract) {
	t.Helper()
	if err := c.Validate(); err != nil {
		t.Fatal(err)
	}
	base := l.book.Contract(c.Customer).GetRevision()
	l.mustApply(t, &kcwpb.Command{Op: &kcwpb.Command_PutContract{PutContract: &kcwpb.PutContract{
		Change: fmt.Sprintf("%s-%d", c.Customer, l.book.Revision()), Base: base, Contract: c.Message(),
	}}})
}

func (l *ledger) mustApply(t testing.TB, cmd *kcwpb.Command) {
	t.Helper()
	if r := l.apply(cmd); r.GetCode() != kcwpb.Code_CODE_OK {
		t.Fatalf("%v: %v", cmd, r)
	}
}

func (l *ledger) apply(cmd *kcwpb.Command) *kcwpb.Result {
	cmd.At = time.Now().UnixNano()
	raw, _ := proto.Marshal(cmd)
	result := &kcwpb.Result{}
	_ = proto.Unmarshal(l.book.Apply(0, raw), result)
	return result
}

func (l *ledger) setHooks(open func(*kcwpb.OpenClaim) (*kcwpb.Result, error), settle func(*kcwpb.SettleClaim) (*kcwpb.Result, error)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.onOpen, l.onSettle = open, settle
}

func (l *ledger) Open(_ context.Context, claim *kcwpb.OpenClaim) (*kcwpb.Result, error) {
	l.mu.Lock()
	hook := l.onOpen
	l.mu.Unlock()
	if hook != nil {
		return hook(claim)
	}
	return l.apply(&kcwpb.Command{Op: &kcwpb.Command_OpenClaim{OpenClaim: claim}}), nil
}

func (l *ledger) Settle(_ context.Context, claim *kcwpb.SettleClaim) (*kcwpb.Result, error) {
	l.settles.Add(1)
	l.mu.Lock()
	hook := l.onSettle
	l.mu.Unlock()
	if hook != nil {
		return hook(claim)
	}
	return l.apply(&kcwpb.Command{Op: &kcwpb.Command_SettleClaim{SettleClaim: claim}}), nil
}

func (l *ledger) Lookup(_ context.Context, req *kcwpb.LookupRequest) (*kcwpb.LookupResponse, error) {
	c := l.book.ContractByKey(req.GetKeyHash())
	return &kcwpb.LookupResponse{Contract: c, Revision: l.book.Revision(), Found: c != nil}, nil
}

func (l *ledger) Watch(ctx context.Context, _ *kcwpb.WatchRequest, _ func() uint64, _ func(*kcwpb.WatchEvent)) error {
	<-ctx.Done()
	return ctx.Err()
}

// checkBudget fails the test unless the budget has the given amounts and satisfies
// its invariant.
func (l *ledger) checkBudget(t testing.TB, customer string, billed, reserved int64) {
	t.Helper()
	if err := l.book.Check(); err != nil {
		t.Error(err)
	}
	b := l.book.Budget(customer)
	if b.GetBilled() != billed || b.GetReserved() != reserved {
		t.Errorf("%s: billed %d, reserved %d, want %d and %d", customer, b.GetBilled(), b.GetReserved(), billed, reserved)
	}
}

// fixture is a router between a test's caller and upstreams.
type fixture struct {
	t       testing.TB
	ledger  *ledger
	gateway *Gateway
	server  *httptest.Server
}

// startGateway runs a gateway for the router name. Upstreams maps a service to the
// handlers of its upstreams.
func startGateway(t testing.TB, l *ledger, name string, upstreams map[string][]http.Handler, change func(*Config)) *fixture {
	t.Helper()
	cfg := Config{
		Router: name, Incarnation: testIncarnation, Zone: "a", Accounts: l,
		Contracts: kcwcatalog.New(kcwcatalog.Config{Ledger: l}), Seed: 7,
		PollInterval: 10 * time.Millisecond, SettleTimeout: 200 * time.Millisecond,
	}
	for service, handlers := range upstreams {
		for i, handler := range handlers {
			cfg.Upstreams = append(cfg.Upstreams, kcwupstream.New(kcwupstream.Config{
				Name: fmt.Sprintf("%s-%d", service, i), Service: service, Zone: "a",
				Address: startUpstream(t, handler), ProgressTimeout: 300 * time.Millisecond,
			}))
		}
	}
	if change != nil {
		change(&cfg)
	}
	g, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go g.Run(ctx)
	f := &fixture{t: t, ledger: l, gateway: g, server: httptest.NewServer(g)}
	t.Cleanup(func() {
		f.server.CloseClientConnections()
		f.server.Close()
		cancel()
		stop, done := context.WithTimeout(context.Background(), time.Second)
		defer done()
		_ = g.Stop(stop)
	})
	eventually(t, "upstreams usable", func() bool {
		for _, u := range cfg.Upstreams {
			if !g.pool.usable(u.Name()) {
				return false
			}
		}
		return true
	})
	return f
}

// startUpstream runs handler as an upstream that reports its load, and returns its
// address.
func startUpstream(t testing.TB, handler http.Handler) netip.AddrPort {
	mux := http.NewServeMux()
	mux.HandleFunc("/load", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"Running":0,"Waiting":0,"Capacity":64}`)
	})
	mux.Handle("/", handler)
	server := httptest.NewServer(mux)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// eventually waits until check returns true, and fails the test after 20 s.
func eventually(t testing.TB, what string, check func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		if check() {
			return
		}
	}
	t.Fatalf("timed out waiting for: %s", what)
}

// call is a request sent by a test.
type call struct {
	method, path, key, identity, body string
	header                            map[string]string
}

// reply is the response that a test received; err is the error of reading its body.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

func (f *fixture) request(ctx context.Context, c call) (*http.Response, error) {
	if c.method == "" {
		c.method = http.MethodPost
	}
	if c.path == "" {
		c.path = chatPath
	}
	if c.key == "" {
		c.key = keyOf("pew")
	}
	req, err := http.NewRequestWithContext(ctx, c.method, f.server.URL+c.path, strings.NewReader(c.body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	if c.identity != "" {
		req.Header.Set("Idempotency-Key", c.identity)
	}
	for name, value := range c.header {
		req.Header.Set(name, value)
	}
	return http.DefaultClient.Do(req)
}

func (f *fixture) do(c call) reply {
	resp, err := f.request(context.Background(), c)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

// checkRefusal fails the test unless r is a refusal with this code and outcome.
func checkRefusal(t testing.TB, r reply, c code, o outcome) {
	t.Helper()
	var body errorBody
	if err := json.Unmarshal([]byte(r.body), &body); err != nil {
		t.Errorf("%d %q: %v", r.status, r.body, err)
		return
	}
	if body.Error.Code != c || body.Error.Outcome != o {
		t.Errorf("refused as %s %s, want %s %s", body.Error.Code, body.Error.Outcome, c, o)
	}
	retry := r.header.Get("Retry-After") != ""
	if retry != (body.Error.RetryAt != "") {
		t.Errorf("%s: Retry-After is %v, retry_at %q", c, retry, body.Error.RetryAt)
	}
}

// engine answers chat completions with its words and counts the requests.
type engine struct {
	words []string
	runs  atomic.Int64
	// before, if set, runs first and reports whether it has answered the request.
	before func(w http.ResponseWriter, r *http.Request) bool
	// during, if set, runs after each word of a stream and reports whether to continue.
	during func(w http.ResponseWriter, word int) bool
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.runs.Add(1)
	body, _ := io.ReadAll(r.Body)
	var options struct {
		Stream bool `json:"stream"`
	}
	_ = json.Unmarshal(body, &options)
	if e.before != nil && e.before(w, r) {
		return
	}
	if !options.Stream {
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"choices":[{"index":0,"message":{"content":%q},"finish_reason":"stop"}],"usage":{"prompt_tokens":3,"completion_tokens":%d,"total_tokens":%d}}`,
			strings.Join(e.words, ""), len(e.words), len(e.words)+3)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i, word := range e.words {
		writeEvent(w, fmt.Sprintf(`{"choices":[{"index":0,"delta":{"content":%q},"finish_reason":null}]}`, word))
		if e.during != nil && !e.during(w, i) {
			return
		}
	}
	writeEvent(w, `{"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`)
	writeEvent(w, fmt.Sprintf(`{"choices":[],"usage":{"prompt_tokens":3,"completion_tokens":%d,"total_tokens":%d}}`, len(e.words), len(e.words)+3))
	writeEvent(w, "[DONE]")
}

func writeEvent(w http.ResponseWriter, data string) {
	_, _ = io.WriteString(w, "data: "+data+"\n\n")
	_ = http.NewResponseController(w).Flush()
}

// contentOf concatenates the content of a stream's events, and reports whether the
// terminator arrived.
func contentOf(body string) (words string, done bool) {
	for line := range strings.Lines(body) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var c chunk
		_ = json.Unmarshal([]byte(data), &c)
		for _, choice := range c.Choices {
			words += choice.Delta.Content
		}
	}
	return words, done
}

// resetConnection resets the connection of w, which leaves the answer incomplete.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}
