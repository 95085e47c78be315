package kcwgateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwlimit"
	"kingcupwick.example/kcw/kcwpb"
)

// depositRetries deposits as much into the retry budget of a service as 20 first
// attempts do.
func depositRetries(f *fixture, service string) {
	for range 20 {
		f.gateway.pool.services[service].retries.Deposit()
	}
}

// TestBrokenAnswers checks that an incomplete answer never ends cleanly, and how its
// claim is closed.
func TestBrokenAnswers(t *testing.T) {
	half := `{"choices":[{"index":0,"delta":{"content":"ab"},"finish_reason":null}]}`
	for _, test := range []struct {
		name   string
		answer func(w http.ResponseWriter)
		call   call
		code   code
		// broken is set if the connection must be aborted.
		broken   bool
		billed   int64
		reserved bool
	}{
		{"short body", func(w http.ResponseWriter) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, `{"choices":[]}`)
		}, call{body: chatBody, identity: "i"}, codeUpstreamFailed, false, 0, true},
		{"no JSON", func(w http.ResponseWriter) {
			_, _ = io.WriteString(w, `{"choices":[`)
		}, call{body: chatBody, identity: "i"}, codeUpstreamFailed, false, 0, true},
		{"no length", func(w http.ResponseWriter) {
			conn, out, _ := w.(http.Hijacker).Hijack()
			_, _ = out.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{\"choices\":[]}")
			_ = out.Flush()
			_ = conn.Close()
		}, call{body: chatBody, identity: "i"}, codeUpstreamFailed, false, 0, true},
		{"no first event", func(w http.ResponseWriter) {
			w.Header().Set("Content-Type", eventsType)
		}, call{body: streamBody, identity: "i"}, codeUpstreamFailed, false, 0, true},
		{"no terminator", func(w http.ResponseWriter) {
			w.Header().Set("Content-Type", eventsType)
			writeEvent(w, half)
		}, call{body: streamBody, identity: "i"}, codeUpstreamFailed, true, 0, true},
		{"no terminator, no identity", func(w http.ResponseWriter) {
			w.Header().Set("Content-Type", eventsType)
			writeEvent(w, half)
		}, call{body: streamBody}, codeUpstreamFailed, true, 1, false},
		{"cut within an event", func(w http.ResponseWriter) {
			w.Header().Set("Content-Type", eventsType)
			writeEvent(w, half)
			_, _ = io.WriteString(w, "data: {\"choi")
		}, call{body: streamBody, identity: "i"}, codeUpstreamFailed, true, 0, true},
		{"error event", func(w http.ResponseWriter) {
			w.Header().Set("Content-Type", eventsType)
			writeEvent(w, half)
			writeEvent(w, `{"error":{"message":"out of memory"}}`)
			writeEvent(w, "[DONE]")
		}, call{body: streamBody, identity: "i"}, codeUpstreamFailed, true, 0, true},
		{"silent", func(w http.ResponseWriter) {
			w.Header().Set("Content-Type", eventsType)
			writeEvent(w, half)
			time.Sleep(time.Second)
		}, call{body: streamBody, identity: "i"}, codeUpstreamSilent, true, 0, true},
		{"past the bound", func(w http.ResponseWriter) {
			w.Header().Set("Content-Type", eventsType)
			for range 100 {
				writeEvent(w, half)
			}
			writeEvent(w, "[DONE]")
		}, call{body: streamBody, identity: "i"}, codeBoundPassed, true, 1, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := newLedger(t, "r1")
			e := &engine{before: func(w http.ResponseWriter, _ *http.Request) bool {
				test.answer(w)
				return true
			}}
			f := startGateway(t, l, "r1", map[string][]http.Handler{"engine": {e}}, nil)
			r := f.do(test.call)
			if test.broken {
				_, done := contentOf(r.body)
				if r.err == nil || done || !strings.Contains(r.body, string(test.code)) {
					t.Errorf("passed on as complete: %+v", r)
				}
			} else {
				checkRefusal(t, r, test.code, unknown)
			}
			eventually(t, "claim closed", func() bool { return len(f.gateway.flights.list()) == 0 })
			b := l.book.Budget("pew")
			if (b.GetReserved() > 0) != test.reserved || (b.GetBilled() > 0) != (test.billed > 0) {
				t.Errorf("budget %v, want reserved %v and billed %v", b, test.reserved, test.billed > 0)
			}
		})
	}
}

// TestRetryElsewhere checks that a request is retried on another upstream while no
// byte of an answer has reached the caller.
func TestRetryElsewhere(t *testing.T) {
	for _, test := range []struct {
		name   string
		answer func(w http.ResponseWriter)
	}{
		{"cut", resetConnection},
		{"error", func(w http.ResponseWriter) { w.WriteHeader(http.StatusBadGateway) }},
		{"leaving", func(w http.ResponseWriter) {
			w.Header().Set("Kcw-Draining", "true")
			w.WriteHeader(http.StatusServiceUnavailable)
		}},
		{"empty stream", func(w http.ResponseWriter) { w.Header().Set("Content-Type", eventsType) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := newLedger(t, "r1")
			bad := &engine{before: func(w http.ResponseWriter, _ *http.Request) bool {
				test.answer(w)
				return true
			}}
			good := &engine{words: []string{"whole"}}
			f := startGateway(t, l, "r1", map[string][]http.Handler{"engine": {bad, good}}, nil)
			var sends int64
			for ; bad.runs.Load() == 0 && sends < 1000; sends++ {
				depositRetries(f, "engine")
				// Requests with the same prompt prefix prefer the same upstream, so each
				// prompt is different.
				prompt := fmt.Sprintf("hello %d", sends)
				r := f.do(call{body: strings.Replace(streamBody, "hello", prompt, 1)})
				if words, done := contentOf(r.body); words != "whole" || !done || r.err != nil {
					t.Fatalf("%+v", r)
				}
			}
			if bad.runs.Load() == 0 {
				t.Error("the failing upstream was never tried")
			}
			l.checkBudget(t, "pew", 4*sends, 0)
		})
	}
}

// TestSettleFails checks that no answer ends cleanly before its bill is durable, and
// that a retry gets the answer once the bill is.
func TestSettleFails(t *testing.T) {
	for _, test := range []struct {
		name, body string
		broken     bool
	}{
		{"JSON", chatBody, false},
		{"stream", streamBody, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := newLedger(t, "r1")
			e := &engine{words: []string{"ab", "cd"}}
			f := startGateway(t, l, "r1", map[string][]http.Handler{"engine": {e}}, nil)
			l.setHooks(nil, func(*kcwpb.SettleClaim) (*kcwpb.Result, error) { return nil, errors.New("no leader") })
			r := f.do(call{body: test.body, identity: "i"})
			if test.broken {
				if _, done := contentOf(r.body); r.err == nil || done {
					t.Errorf("passed on as complete: %+v", r)
				}
			} else {
				checkRefusal(t, r, codeNotDurable, unknown)
			}
			l.setHooks(nil, nil)
			eventually(t, "claim closed", func() bool { return len(f.gateway.flights.list()) == 0 })
			r = f.do(call{body: test.body, identity: "i"})
			if r.status != 200 || r.err != nil || r.header.Get(ReplayedHeader) != "true" || e.runs.Load() != 1 {
				t.Errorf("retry: %+v after %d runs", r, e.runs.Load())
			}
			l.checkBudget(t, "pew", 5, 0)
		})
	}
}

// TestCallerGone checks that the upstream request is cancelled when the caller
// disconnects, and that the claim is closed once.
func TestCallerGone(t *testing.T) {
	l := newLedger(t, "r1")
	cancelled := make(chan struct{})
	e := &engine{before: func(w http.ResponseWriter, r *http.Request) bool {
		w.Header().Set("Content-Type", eventsType)
		writeEvent(w, `{"choices":[{"index":0,"delta":{"content":"ab"},"finish_reason":null}]}`)
		<-r.Context().Done()
		close(cancelled)
		return true
	}}
	f := startGateway(t, l, "r1", map[string][]http.Handler{"engine": {e}}, func(c *Config) { c.AnswerTimeout = time.Minute })
	ctx, cancel := context.WithCancel(t.Context())
	resp, err := f.request(ctx, call{body: streamBody, identity: "i"})
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.ReadFull(resp.Body, make([]byte, 10))
	cancel()
	_ = resp.Body.Close()
	select {
	case <-cancelled:
	case <-time.After(20 * time.Second):
		t.Fatal("the upstream was not cancelled")
	}
	eventually(t, "claim closed", func() bool { return len(f.gateway.flights.list()) == 0 })
	claim := l.book.Claim("pew", "i")
	if claim.GetState() != kcwpb.ClaimState_CLAIM_STATE_BILLED || l.settles.Load() != 1 {
		t.Errorf("claim %v after %d settlings", claim, l.settles.Load())
	}
	l.checkBudget(t, "pew", claim.GetTokens(), 0)
}

// TestCallerGoneNotRepeatable checks that a call that must not be repeated is
// completed after its caller disconnects, and that a retry gets the answer.
func TestCallerGoneNotRepeatable(t *testing.T) {
	l := newLedger(t, "r1")
	reached, release := make(chan struct{}), make(chan struct{})
	finish := sync.OnceFunc(func() { close(release) })
	app := &engine{before: func(w http.ResponseWriter, _ *http.Request) bool {
		close(reached)
		<-release
		_, _ = io.WriteString(w, "deposited")
		return true
	}}
	f := startGateway(t, l, "r1", map[string][]http.Handler{"app": {app}}, func(c *Config) { c.AnswerTimeout = time.Minute })
	t.Cleanup(finish)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		resp, err := f.request(ctx, call{path: "/services/app/deposits", body: "5", identity: "i"})
		if err == nil {
			_ = resp.Body.Close()
		}
	}()
	<-reached
	cancel()
	eventually(t, "caller gone", func() bool {
		all := f.gateway.flights.list()
		return len(all) == 1 && all[0].Callers == 0
	})
	finish()
	r := f.do(call{path: "/services/app/deposits", body: "5", identity: "i"})
	if r.body != "deposited" || app.runs.Load() != 1 {
		t.Errorf("%+v after %d runs", r, app.runs.Load())
	}
	l.checkBudget(t, "pew", 5, 0)
}

// TestNotRepeated checks that a call that must not be repeated runs at most once:
// once a byte may have been sent and no answer arrives, every retry is refused with
// the outcome unknown.
func TestNotRepeated(t *testing.T) {
	for _, test := range []struct {
		name string
		call call
	}{
		{"by the contract", call{path: "/services/app/deposits", body: "5", identity: "i"}},
		{"by the header", call{path: "/services/app/visits", body: "5", identity: "i", header: map[string]string{NoRepeatHeader: "true"}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := newLedger(t, "r1")
			app := &engine{before: func(w http.ResponseWriter, _ *http.Request) bool {
				resetConnection(w)
				return true
			}}
			f := startGateway(t, l, "r1", map[string][]http.Handler{"app": {app, app}}, nil)
			depositRetries(f, "app")
			checkRefusal(t, f.do(test.call), codeUpstreamFailed, unknown)
			eventually(t, "claim closed", func() bool { return len(f.gateway.flights.list()) == 0 })
			checkRefusal(t, f.do(test.call), codeOutcomeUnknown, unknown)
			if app.runs.Load() != 1 {
				t.Errorf("ran %d times", app.runs.Load())
			}
			l.checkBudget(t, "pew", 0, 5)
		})
	}
}

// TestGracefulStop checks that a planned stop interrupts no stream and closes every
// claim.
func TestGracefulStop(t *testing.T) {
	l := newLedger(t, "r1")
	const streams = 8
	release := make(chan struct{})
	e := &engine{words: []string{"ab", "cd", "ef"}, during: func(_ http.ResponseWriter, word int) bool {
		if word == 0 {
			<-release
		}
		return true
	}}
	f := startGateway(t, l, "r1", map[string][]http.Handler{"engine": {e}}, nil)
	replies := make(chan reply, streams)
	for range streams {
		go func() { replies <- f.do(call{body: streamBody}) }()
	}
	eventually(t, "streams begun", func() bool { return e.runs.Load() == streams })
	f.gateway.Drain()
	stopped := make(chan error, 2)
	go func() { stopped <- f.server.Config.Shutdown(context.Background()) }()
	go func() {
		err := f.gateway.Stop(context.Background())
		if inFlight := len(f.gateway.flights.list()); inFlight > 0 {
			err = fmt.Errorf("stopped with %d requests in flight", inFlight)
		}
		stopped <- err
	}()
	time.AfterFunc(20*time.Millisecond, func() { close(release) })
	for range streams {
		r := <-replies
		if words, done := contentOf(r.body); words != "abcdef" || !done || r.err != nil {
			t.Errorf("cut by the stop: %+v", r)
		}
	}
	for range cap(stopped) {
		if err := <-stopped; err != nil {
			t.Error(err)
		}
	}
	l.checkBudget(t, "pew", streams*6, 0)
}

// TestOpenUnknown checks that a claim is closed as not run if the response to its
// opening is lost, even if the ledger has opened it.
func TestOpenUnknown(t *testing.T) {
	l := newLedger(t, "r1")
	e := &engine{words: []string{"a"}}
	f := startGateway(t, l, "r1", map[string][]http.Handler{"engine": {e}}, nil)
	l.setHooks(func(claim *kcwpb.OpenClaim) (*kcwpb.Result, error) {
		l.apply(&kcwpb.Command{Op: &kcwpb.Command_OpenClaim{OpenClaim: claim}})
		return nil, errors.New("the answer was lost")
	}, nil)
	checkRefusal(t, f.do(call{body: chatBody, identity: "i"}), codeLedgerUnavailable, notRun)
	eventually(t, "claim closed", func() bool { return len(f.gateway.flights.list()) == 0 })
	l.checkBudget(t, "pew", 0, 0)
	l.setHooks(nil, nil)
	if r := f.do(call{body: chatBody, identity: "i"}); r.status != 200 {
		t.Errorf("retry: %+v", r)
	}
	if e.runs.Load() != 1 {
		t.Errorf("ran %d times", e.runs.Load())
	}
}

// TestBoundSentUpstream checks that an engine always gets a token limit, and neither
// the caller's credentials nor its Idempotency-Key.
func TestBoundSentUpstream(t *testing.T) {
	for _, test := range []struct{ body, want string }{
		{`{"model":"m","messages":[{"content":"a"}]}`, `"max_tokens":100`},
		{`{"model":"m","messages":[{"content":"a"}],"max_tokens":5000}`, `"max_tokens":1000`},
		{`{"model":"m","messages":[{"content":"a"}],"max_completion_tokens":7}`, `"max_tokens":7`},
		{`{"model":"m","messages":[{"content":"a"}],"stream":true}`, `"include_usage":true`},
	} {
		var got string
		l := newLedger(t, "r1")
		e := &engine{words: []string{"a"}}
		spy := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			raw, _ := io.ReadAll(r.Body)
			got = string(raw)
			for _, name := range []string{"Authorization", "Idempotency-Key", "Cookie"} {
				if r.Header.Get(name) != "" {
					got += fmt.Sprintf(" leaked %s", name)
				}
			}
			r.Body = io.NopCloser(strings.NewReader(got))
			e.ServeHTTP(w, r)
		})
		f := startGateway(t, l, "r1", map[string][]http.Handler{"engine": {spy}}, nil)
		f.do(call{body: test.body, identity: "i", header: map[string]string{"Cookie": "c=1"}})
		if !strings.Contains(got, test.want) || strings.Contains(got, "leaked") {
			t.Errorf("the engine got %s, want %s", got, test.want)
		}
	}
}

// TestLimitsAwayFromLedger checks that a router applies its share of a limit to
// claims out of a grant, and releases it when they end.
func TestLimitsAwayFromLedger(t *testing.T) {
	l := newLedger(t, "r1")
	c := contractOf("pew")
	c.Limits.OpenRequests = 2
	l.put(t, c)
	limits, err := kcwlimit.New(kcwlimit.Config{Routers: 2, Rank: 0, Burst: 1})
	if err != nil {
		t.Fatal(err)
	}
	release := make(chan struct{})
	finish := sync.OnceFunc(func() { close(release) })
	var calls atomic.Int64
	e := &engine{words: []string{"a"}, before: func(http.ResponseWriter, *http.Request) bool {
		if calls.Add(1) == 1 {
			<-release
		}
		return false
	}}
	f := startGateway(t, l, "r1", map[string][]http.Handler{"engine": {e}}, func(cfg *Config) { cfg.Limits = limits })
	t.Cleanup(finish)
	l.setHooks(func(claim *kcwpb.OpenClaim) (*kcwpb.Result, error) {
		result := l.apply(&kcwpb.Command{Op: &kcwpb.Command_OpenClaim{OpenClaim: claim}})
		result.GetClaim().FromGrant = true
		return result, nil
	}, nil)
	first := make(chan reply, 1)
	go func() { first <- f.do(call{body: chatBody}) }()
	eventually(t, "first request at the engine", func() bool { return e.runs.Load() == 1 })
	checkRefusal(t, f.do(call{body: chatBody}), codeLimitReached, notRun)
	finish()
	if r := <-first; r.status != 200 {
		t.Errorf("%+v", r)
	}
	if r := f.do(call{body: chatBody}); r.status != 200 {
		t.Errorf("%+v", r)
	}
	l.checkBudget(t, "pew", 8, 0)
}

// TestSlowUpstream checks that a slow stream is not cancelled as long as it makes
// progress.
func TestSlowUpstream(t *testing.T) {
	l := newLedger(t, "r1")
	e := &engine{words: []string{"ab", "cd", "ef", "gh", "ij"}, during: func(http.ResponseWriter, int) bool {
		time.Sleep(100 * time.Millisecond)
		return true
	}}
	f := startGateway(t, l, "r1", map[string][]http.Handler{"engine": {e}}, nil)
	r := f.do(call{body: streamBody})
	if words, done := contentOf(r.body); words != "abcdefghij" || !done || r.err != nil {
		t.Errorf("%+v", r)
	}
	l.checkBudget(t, "pew", 8, 0)
}
