package kcwgateway

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwcontract"
	"kingcupwick.example/kcw/kcwmemory"
	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwstatus"
)

// TestRefusals triggers each refusal that is decided before an upstream is called.
func TestRefusals(t *testing.T) {
	long := strings.Repeat("x", 4096)
	for _, test := range []struct {
		name    string
		call    call
		change  func(*kcwcontract.Contract)
		config  func(*Config)
		open    func(*kcwpb.OpenClaim) (*kcwpb.Result, error)
		code    code
		outcome outcome
		status  int
	}{
		{name: "no JSON", call: call{body: "{"}, code: codeMalformedBody, status: 400},
		{name: "not UTF-8", call: call{body: "{\"model\":\"\xff\"}"}, code: codeMalformedBody, status: 400},
		{name: "no messages", call: call{body: `{"model":"m"}`}, code: codeMalformedBody, status: 400},
		{name: "oversized", call: call{body: long}, config: func(c *Config) { c.MaxBodyBytes = 1024 }, code: codeBodyTooLarge, status: 413},
		{name: "no memory for the body", call: call{path: "/services/app/x", body: long}, config: func(c *Config) { c.Memory = kcwmemory.New(1024) }, code: codeMemoryFull, status: 503},
		{name: "no memory to parse", call: call{body: chatBody}, config: func(c *Config) { c.Memory = kcwmemory.New(int64(3 * len(chatBody))) }, code: codeMemoryFull, status: 503},
		{name: "unsupported", call: call{body: `{"model":"m","messages":[{"content":"a"}],"best_of":3}`}, code: codeUnsupported, status: 400},
		{name: "long prompt", call: call{body: `{"model":"m","messages":[{"content":"` + long + `"}]}`}, change: func(c *kcwcontract.Contract) { c.Limits.MaxPromptTokens = 100 }, code: codeTooManyTokens, status: 400},
		{name: "identity", call: call{body: chatBody, identity: "a b"}, code: codeInvalidIdentity, status: 400},
		{name: "unknown key", call: call{body: chatBody, key: "nobody"}, code: codeUnknownKey, status: 401},
		{name: "unknown model", call: call{body: strings.Replace(chatBody, `"m"`, `"n"`, 1)}, code: codeUnknownModel, status: 404},
		{name: "not permitted", call: call{path: "/services/other/x"}, code: codeNotPermitted, status: 403},
		{name: "odd path", call: call{path: "/services/app/x%2f..%2fdeposits"}, code: codeUnknownPath, status: 404},
		{name: "unknown path", call: call{path: "/v2"}, code: codeUnknownPath, status: 404},
		{name: "method", call: call{method: "GET"}, code: codeMethodNotAllowed, status: 405},
		{name: "service method", call: call{method: "PUT", path: "/services/app/x"}, code: codeMethodNotAllowed, status: 405},
		{name: "budget", call: call{body: chatBody}, change: func(c *kcwcontract.Contract) { c.PrepaidTokens = 10 }, code: codeBudgetExhausted, status: 402},
		{name: "limit", call: call{body: chatBody}, open: answerOpen(kcwpb.Code_CODE_LIMITED), code: codeLimitReached, status: 429},
		{name: "no upstream", call: call{body: strings.Replace(chatBody, `"m"`, `"idle"`, 1)}, change: func(c *kcwcontract.Contract) {
			c.Models = append(c.Models, kcwcontract.Model{Name: "idle", Upstream: "nowhere"})
		}, code: codeNoUpstream, status: 503},
		{name: "ledger", call: call{body: chatBody}, open: func(*kcwpb.OpenClaim) (*kcwpb.Result, error) {
			return nil, errors.New("no leader")
		}, code: codeLedgerUnavailable, status: 503},
		{name: "fenced", call: call{body: chatBody}, open: answerOpen(kcwpb.Code_CODE_FENCED), code: codeRouterFenced, status: 503},
		{name: "elsewhere", call: call{body: chatBody, identity: "i"}, open: answerOpen(kcwpb.Code_CODE_IN_PROGRESS), code: codeInProgress, outcome: unknown, status: 409},
		{name: "unknown outcome", call: call{body: chatBody, identity: "i"}, open: answerOpen(kcwpb.Code_CODE_OUTCOME_UNKNOWN), code: codeOutcomeUnknown, outcome: unknown, status: 409},
		{name: "answer gone", call: call{body: chatBody, identity: "i"}, open: answerOpen(kcwpb.Code_CODE_BILLED), code: codeAnswerGone, outcome: ran, status: 409},
		{name: "reused elsewhere", call: call{body: chatBody, identity: "i"}, open: answerOpen(kcwpb.Code_CODE_MISMATCH), code: codeIdentityReused, status: 422},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := newLedger(t, "r1")
			if test.change != nil {
				c := contractOf("pew")
				test.change(c)
				l.put(t, c)
			}
			e := &engine{words: []string{"a"}}
			app := &engine{words: []string{"a"}}
			f := startGateway(t, l, "r1", map[string][]http.Handler{"engine": {e}, "app": {app}}, test.config)
			l.setHooks(test.open, nil)
			r := f.do(test.call)
			want := test.outcome
			if want == "" {
				want = notRun
			}
			checkRefusal(t, r, test.code, want)
			if r.status != test.status {
				t.Errorf("status %d, want %d", r.status, test.status)
			}
			if e.runs.Load()+app.runs.Load() != 0 {
				t.Error("an upstream was reached")
			}
			l.setHooks(nil, nil)
			eventually(t, "nothing in flight", func() bool { return len(f.gateway.flights.list()) == 0 })
			l.checkBudget(t, "pew", 0, 0)
		})
	}
}

func answerOpen(c kcwpb.Code) func(*kcwpb.OpenClaim) (*kcwpb.Result, error) {
	return func(*kcwpb.OpenClaim) (*kcwpb.Result, error) { return &kcwpb.Result{Code: c}, nil }
}

func TestRefusedWhileStopping(t *testing.T) {
	l := newLedger(t, "r1")
	f := startGateway(t, l, "r1", map[string][]http.Handler{"engine": {&engine{}}}, nil)
	f.gateway.Drain()
	if f.gateway.Ready() == nil {
		t.Error("ready while draining")
	}
	if r := f.do(call{body: chatBody}); r.status != 200 {
		t.Errorf("a draining router answered %d", r.status)
	}
	f.gateway.stopped.Store(true)
	checkRefusal(t, f.do(call{body: chatBody}), codeRouterDraining, notRun)
	f.gateway.stopped.Store(false)
	f.gateway.Fence()
	checkRefusal(t, f.do(call{body: chatBody}), codeRouterFenced, notRun)
}

// TestQueueFull checks that a request that cannot start by its deadline is refused.
func TestQueueFull(t *testing.T) {
	l := newLedger(t, "r1")
	c := contractOf("pew")
	c.Limits.QueueDeadline = 50 * time.Millisecond
	l.put(t, c)
	release := make(chan struct{})
	e := &engine{before: func(http.ResponseWriter, *http.Request) bool {
		<-release
		return false
	}}
	f := startGateway(t, l, "r1", map[string][]http.Handler{"engine": {e}}, nil)
	f.gateway.pool.services["engine"].queue.SetSlots(time.Now(), 1)
	replies := make(chan reply, 65)
	for range cap(replies) {
		go func() { replies <- f.do(call{body: chatBody}) }()
	}
	checkRefusal(t, <-replies, codeQueueFull, notRun)
	close(release)
	for range cap(replies) - 1 {
		if r := <-replies; r.status != 200 {
			checkRefusal(t, r, codeQueueFull, notRun)
		}
	}
	l.checkBudget(t, "pew", 3*e.runs.Load(), 0)
}

// TestRefusalSpecs checks that the table of refusals has no duplicate codes, and that
// each entry has a message and an error status.
func TestRefusalSpecs(t *testing.T) {
	seen := map[code]bool{}
	for _, m := range refusalSpecs {
		if seen[m.code] || m.message == "" || m.status < 400 {
			t.Errorf("bad entry %+v", m)
		}
		seen[m.code] = true
	}
}

// TestSlots checks that routers that share an engine of 64 slots use equal parts of
// them, rounded up.
func TestSlots(t *testing.T) {
	for _, test := range []struct{ routers, want int }{{0, 64}, {1, 64}, {10, 7}, {100, 1}} {
		l := newLedger(t, "r1")
		l.put(t, contractOf("pew"))
		f := startGateway(t, l, "r1", map[string][]http.Handler{"engine": {&engine{}}}, func(cfg *Config) { cfg.Routers = test.routers })
		hasSlots := func(want int) func() bool {
			return func() bool {
				slots, _, _ := f.gateway.pool.services["engine"].queue.Counts()
				return slots == want
			}
		}
		eventually(t, "the engine's capacity", hasSlots(test.want))
		f.gateway.SetRouters(4)
		f.gateway.SetRouters(0)
		eventually(t, "a quarter of the capacity", hasSlots(16))
	}
}

// TestStatusesThatPromiseNotRunAreTrue checks that statuses that state that a request has not run
// are used for no other request.
func TestStatusesThatPromiseNotRunAreTrue(t *testing.T) {
	for _, spec := range refusalSpecs {
		if kcwstatus.Status(spec.status).MeansNotRun() && spec.outcome != notRun {
			t.Errorf("%s: status %d for a request with outcome %v", spec.code, spec.status, spec.outcome)
		}
	}
}
