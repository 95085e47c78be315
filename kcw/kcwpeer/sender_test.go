package kcwpeer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"

	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwpb/kcwpbconnect"
)

const waitTimeout = 30 * time.Second

// peer records the messages that it receives.
type peer struct {
	mu    sync.Mutex
	keys  map[string]bool
	calls int
	terms []uint64
}

func (p *peer) Exchange(_ context.Context, req *connect.Request[kcwpb.ExchangeRequest]) (*connect.Response[kcwpb.ExchangeResponse], error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	p.keys[req.Header().Get("Authorization")] = true
	for _, m := range req.Msg.Messages {
		p.terms = append(p.terms, m.Term)
	}
	return connect.NewResponse(&kcwpb.ExchangeResponse{}), nil
}

func (p *peer) received(term uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.terms {
		if t == term {
			return true
		}
	}
	return false
}

// serve starts a server for p whose handler is wrapped by wrap.
func serve(t *testing.T, p *peer, wrap func(http.Handler) http.Handler) *kcwpb.Member {
	t.Helper()
	p.keys = map[string]bool{}
	mux := http.NewServeMux()
	mux.Handle(kcwpbconnect.NewPeerHandler(p))
	server := httptest.NewServer(wrap(mux))
	t.Cleanup(server.Close)
	return &kcwpb.Member{Address: strings.TrimPrefix(server.URL, "http://")}
}

func plain(h http.Handler) http.Handler {
	return h
}

func newSender(t *testing.T, cfg Config) *Sender {
	t.Helper()
	cfg.Group = "test"
	cfg.Key = "secret"
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func message(term uint64) []*kcwpb.Message {
	return []*kcwpb.Message{{Term: term, Entries: []*kcwpb.Entry{{Data: make([]byte, 100)}}}}
}

func waitFor(t *testing.T, done func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition not met in time")
		}
	}
}

func TestMessagesArriveInOrderWithKey(t *testing.T) {
	p := &peer{}
	to := serve(t, p, plain)
	s := newSender(t, Config{Timeout: 10 * time.Second})
	const n = 500
	for term := uint64(1); term <= n; term++ {
		s.Send(to, message(term))
	}
	waitFor(t, func() bool { return p.received(n) })
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, term := range p.terms {
		if term != uint64(i)+1 {
			t.Fatalf("message %d has term %d", i, term)
		}
	}
	if len(p.keys) != 1 || !p.keys["Bearer secret"] {
		t.Errorf("keys %v", p.keys)
	}
	if p.calls >= n {
		t.Errorf("%d calls for %d messages: nothing was batched", p.calls, n)
	}
}

// TestSilentConnectionIsReplaced checks that a connection that stops answering is
// closed and that a new one is used.
func TestSilentConnectionIsReplaced(t *testing.T) {
	var mu sync.Mutex
	requests := map[string]int{}
	first := ""
	release := make(chan struct{})
	silent := func(h http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			if first == "" {
				first = r.RemoteAddr
			}
			requests[r.RemoteAddr]++
			hang := r.RemoteAddr == first && requests[first] > 1
			mu.Unlock()
			if hang {
				<-release
				return
			}
			h.ServeHTTP(w, r)
		})
	}
	p := &peer{}
	to := serve(t, p, silent)
	t.Cleanup(func() { close(release) })
	s := newSender(t, Config{Timeout: 100 * time.Millisecond})
	s.Send(to, message(1))
	waitFor(t, func() bool { return p.received(1) })
	s.Send(to, message(2))
	term := uint64(3)
	waitFor(t, func() bool {
		s.Send(to, message(term))
		return p.received(3) || p.received(term)
	})
	mu.Lock()
	defer mu.Unlock()
	if len(requests) < 2 || requests[first] != 2 {
		t.Errorf("requests by connection: %v, of which %s is silent", requests, first)
	}
}

// TestQueueIsBounded checks that Send does not block and that the queue of a replica
// that does not answer stays bounded.
func TestQueueIsBounded(t *testing.T) {
	const bound = 10_000
	s := newSender(t, Config{Timeout: time.Hour, QueueBytes: bound})
	release := make(chan struct{})
	to := serve(t, &peer{}, func(http.Handler) http.Handler {
		return http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release })
	})
	defer close(release)
	for term := range uint64(10_000) {
		s.Send(to, message(term))
	}
	l := s.links[to.Address]
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.bytes > bound+1000 {
		t.Errorf("%d bytes are queued, want at most about %d", l.bytes, bound)
	}
}

func TestIdleLinkIsRemoved(t *testing.T) {
	p := &peer{}
	to := serve(t, p, plain)
	s := newSender(t, Config{Idle: 10 * time.Millisecond, Timeout: 10 * time.Second})
	for term := uint64(1); term <= 2; term++ {
		s.Send(to, message(term))
		waitFor(t, func() bool { return p.received(term) })
		waitFor(t, func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return len(s.links) == 0
		})
	}
}
