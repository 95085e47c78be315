package kcwgateway

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"

	"kingcupwick.example/kcw/kcwkeyring"
	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwupstream"
)

// newPausingUpstream runs an upstream that sends nothing, also no load report, for the given
// time from its first request on.
func newPausingUpstream(t *testing.T, pause time.Duration, handler http.Handler) netip.AddrPort {
	t.Helper()
	begun, resumed := make(chan struct{}), make(chan struct{})
	begin := sync.OnceFunc(func() {
		close(begun)
		time.AfterFunc(pause, func() { close(resumed) })
	})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/load" {
			begin()
			<-resumed
			handler.ServeHTTP(w, r)
			return
		}
		select {
		case <-begun:
			<-resumed
		default:
		}
		_, _ = io.WriteString(w, `{"Running":0,"Waiting":0,"Capacity":64}`)
	}))
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// TestPauseOfUpstreamEndsNoCall checks that a call is not cancelled for the silence of its
// upstream unless another attempt may follow.
func TestPauseOfUpstreamEndsNoCall(t *testing.T) {
	for _, test := range []struct {
		name                   string
		attempts, firstRetries int
	}{
		{"one attempt", 1, 10},
		{"more calls than retries", 3, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			l := newLedger(t, "r1")
			good := &engine{words: []string{"whole"}}
			address := newPausingUpstream(t, 3*time.Second, good)
			f := startGateway(t, l, "r1", map[string][]http.Handler{"engine": {good}}, func(cfg *Config) {
				cfg.Upstreams = append(cfg.Upstreams, kcwupstream.New(kcwupstream.Config{
					Name: "pausing", Service: "engine", Zone: "a", Address: address,
					ProgressTimeout: time.Minute, DialTimeout: 200 * time.Millisecond,
				}))
				cfg.SilenceTimeout = 500 * time.Millisecond
				cfg.MaxAttempts, cfg.FirstRetries = test.attempts, test.firstRetries
			})
			var calls sync.WaitGroup
			for i := range 16 {
				calls.Go(func() {
					r := f.do(call{body: strings.Replace(chatBody, "hello", fmt.Sprintf("hello %d", i), 1)})
					if r.err != nil || r.status != http.StatusOK || !strings.Contains(r.body, "whole") {
						t.Errorf("call %d: status %d, error %v: %s", i, r.status, r.err, r.body)
					}
				})
			}
			calls.Wait()
		})
	}
}

// TestAnswerOfSilentRouterIsNotGone checks that a caller whose answer is kept by a router that
// pauses, or can't be reached, may come back and then gets it.
func TestAnswerOfSilentRouterIsNotGone(t *testing.T) {
	for _, test := range []struct {
		name string
		// fail makes the other router fail a call.
		fail func(w http.ResponseWriter, r *http.Request)
	}{
		{"silent", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }},
		{"closes the connection", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			l := newLedger(t, "r1", "r2")
			upstreams := map[string][]http.Handler{"engine": {&engine{words: []string{"ab", "cd"}}}}
			const processKey = "key-of-the-processes"
			ring, err := kcwkeyring.New(kcwkeyring.Config{Keys: map[string]string{"processes": processKey}})
			if err != nil {
				t.Fatal(err)
			}
			f1 := startGateway(t, l, "r1", upstreams, func(c *Config) { c.Peers = ring })
			f2 := startGateway(t, l, "r2", upstreams, func(c *Config) { c.PeerKey = processKey })
			mux := http.NewServeMux()
			mux.Handle(f1.gateway.Answers())
			var isFailing atomic.Bool
			isFailing.Store(true)
			internal := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if isFailing.Load() {
					_, _ = io.Copy(io.Discard, r.Body)
					test.fail(w, r)
					return
				}
				mux.ServeHTTP(w, r)
			}))
			t.Cleanup(internal.Close)
			l.setHooks(func(claim *kcwpb.OpenClaim) (*kcwpb.Result, error) {
				result := l.apply(&kcwpb.Command{Op: &kcwpb.Command_OpenClaim{OpenClaim: claim}})
				if result.GetCode() != kcwpb.Code_CODE_OK {
					result.OwnerAddress = internal.Listener.Addr().String()
				}
				return result, nil
			}, nil)
			first := f1.do(call{body: chatBody, identity: "i"})
			refused := f2.do(call{body: chatBody, identity: "i"})
			checkRefusal(t, refused, codeAnswerUnreachable, ran)
			if refused.header.Get("Retry-After") == "" {
				t.Error("the caller isn't told to come back")
			}
			isFailing.Store(false)
			if second := f2.do(call{body: chatBody, identity: "i"}); second.err != nil || second.status != http.StatusOK || second.body != first.body {
				t.Errorf("first %+v, second %+v", first, second)
			}
			l.checkBudget(t, "pew", 5, 0)
		})
	}
}

// Another router ends its answer before the last part.
func TestPeerErrorHasCause(t *testing.T) {
	for _, test := range []struct {
		err  error
		kind Kind
	}{
		{nil, KindPeer},
		{io.ErrUnexpectedEOF, KindPeerSilent},
		{connect.NewWireError(connect.CodeNotFound, io.EOF), KindPeer},
	} {
		if err := peerError(test.err, "call"); err.Kind != test.kind || err.Err == nil {
			t.Errorf("%v: got kind %d and cause %v, want kind %d", test.err, err.Kind, err.Err, test.kind)
		}
	}
}
