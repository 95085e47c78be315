package kcwgateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwupstream"
)

// newFreezingUpstream runs an upstream that stops responding, also to load requests,
// from its first request until the test ends.
func newFreezingUpstream(t *testing.T, frozen *atomic.Bool) netip.AddrPort {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/load" && !frozen.Load() {
			_, _ = io.WriteString(w, `{"Running":0,"Waiting":0,"Capacity":64}`)
			return
		}
		frozen.Store(true)
		<-release
	}))
	t.Cleanup(func() {
		close(release)
		server.CloseClientConnections()
		server.Close()
	})
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// TestFrozenUpstreamWholeAnswer checks that a request whose answer comes in one piece
// is retried on another upstream when its upstream stops responding, long before the
// answer's deadline.
func TestFrozenUpstreamWholeAnswer(t *testing.T) {
	l := newLedger(t, "r1")
	l.put(t, contractOf("pew"))
	var frozen atomic.Bool
	address := newFreezingUpstream(t, &frozen)
	good := &engine{words: []string{"whole"}}
	f := startGateway(t, l, "r1", map[string][]http.Handler{"engine": {good}}, func(cfg *Config) {
		cfg.Upstreams = append(cfg.Upstreams, kcwupstream.New(kcwupstream.Config{
			Name: "frozen", Service: "engine", Zone: "a", Address: address,
			DialTimeout: 50 * time.Millisecond, ProgressTimeout: time.Minute,
		}))
		cfg.SilenceTimeout = 50 * time.Millisecond
		cfg.FirstRetries = 10
	})
	for n := 0; !frozen.Load(); n++ {
		prompt := fmt.Sprintf("hello %d", n)
		ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
		resp, err := f.request(ctx, call{body: strings.Replace(chatBody, "hello", prompt, 1)})
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		cancel()
		if err != nil || resp.StatusCode != http.StatusOK || !strings.Contains(string(body), "whole") {
			t.Fatalf("status %d, error %v: %s", resp.StatusCode, err, body)
		}
	}
}

// TestRetryWithoutUpstream checks that the retry of a call that may have run is refused
// with the outcome unknown, also while no upstream is usable, and that a new call is
// refused with the outcome not-run.
func TestRetryWithoutUpstream(t *testing.T) {
	l := newLedger(t, "r1")
	hangs := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	})
	f := startGateway(t, l, "r1", map[string][]http.Handler{"app": {hangs}}, func(cfg *Config) {
		cfg.AnswerTimeout = 200 * time.Millisecond
		// Another load report would make the upstream usable again.
		cfg.PollInterval, cfg.SilenceTimeout = time.Hour, time.Hour
	})
	deposit := call{path: "/services/app/deposits", identity: "d-1", body: "{}"}
	checkRefusal(t, f.do(deposit), codeUpstreamSilent, unknown)
	eventually(t, "the claim is closed", func() bool { return len(f.gateway.flights.list()) == 0 })
	f.gateway.pool.markUnavailable(f.gateway.cfg.Upstreams[0], true)
	checkRefusal(t, f.do(deposit), codeOutcomeUnknown, unknown)
	deposit.identity = "d-2"
	checkRefusal(t, f.do(deposit), codeNoUpstream, notRun)
	eventually(t, "the second claim is closed", func() bool { return len(f.gateway.flights.list()) == 0 })
	l.checkBudget(t, "pew", 0, 5)
	l.setHooks(func(*kcwpb.OpenClaim) (*kcwpb.Result, error) { return nil, errors.New("no leader") }, nil)
	checkRefusal(t, f.do(deposit), codeLedgerUnavailable, unknown)
	deposit.identity = ""
	checkRefusal(t, f.do(deposit), codeNoUpstream, notRun)
}
