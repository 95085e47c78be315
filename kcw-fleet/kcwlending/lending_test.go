package kcwlending_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"kingcupwick.example/kcw-fleet/kcwlending"
)

const timeout = 10 * time.Second

// purse is a balance of one team.
type purse struct {
	mu    sync.Mutex
	held  int64
	loans int
}

func (p *purse) BorrowAmount(_ string, tokens int64, _ time.Time) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(0, tokens-p.held)
}

func (p *purse) Lend(_ string, tokens int64, _ time.Time) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	lent := min(tokens, p.held)
	p.held -= lent
	return lent
}

func (p *purse) AddBorrowed(_ string, tokens int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held += tokens
	p.loans++
}

// clock is a time that the test sets.
type clock struct{ at atomic.Int64 }

func (c *clock) now() time.Time { return time.Unix(0, c.at.Load()) }

func newLending(p *purse, c *clock) *kcwlending.Lending {
	return kcwlending.New(kcwlending.Config{Router: "r", Balance: p, Timeout: timeout, Now: c.now})
}

func handler(l *kcwlending.Lending) http.Handler {
	_, handler := l.Handler()
	return handler
}

func serve(t *testing.T, handler http.Handler) netip.AddrPort {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return addressOf(server)
}

func addressOf(server *httptest.Server) netip.AddrPort {
	return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
}

// TestAcquire checks from whom a router borrows, and how much.
func TestAcquire(t *testing.T) {
	for _, test := range []struct {
		name string
		// lenders hold these tokens each; one less than zero is gone.
		lenders  []int64
		held     int64
		acquired bool
		after    int64
	}{
		{"one lender", []int64{500}, 0, true, 100},
		{"parts of several", []int64{40, 40, 40}, 0, true, 100},
		{"past one that is gone", []int64{-1, 500}, 0, true, 100},
		{"too little everywhere", []int64{10, 20}, 30, true, 60},
		{"nothing", []int64{0, 0}, 30, false, 30},
		{"nobody known", nil, 30, false, 30},
		{"enough here", []int64{500}, 100, false, 100},
	} {
		own := &purse{held: test.held}
		lending := newLending(own, &clock{})
		var addresses []netip.AddrPort
		for _, held := range test.lenders {
			if held < 0 {
				gone := httptest.NewServer(nil)
				gone.Close()
				addresses = append(addresses, addressOf(gone))
				continue
			}
			addresses = append(addresses, serve(t, handler(newLending(&purse{held: held}, &clock{}))))
		}
		lending.SetLenders(addresses)
		if got := lending.Acquire(t.Context(), "a", 100); got != test.acquired || own.held != test.after {
			t.Errorf("%s: acquired %v, holds %d, want %v and %d", test.name, got, own.held, test.acquired, test.after)
		}
		lending.Close()
	}
}

// TestPause checks that lenders are not asked again at once after nobody lent any.
func TestPause(t *testing.T) {
	var calls atomic.Int64
	empty := handler(newLending(&purse{}, &clock{}))
	address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		empty.ServeHTTP(w, r)
	}))
	c := &clock{}
	lending := newLending(&purse{}, c)
	lending.SetLenders([]netip.AddrPort{address})
	for _, test := range []struct {
		past  time.Duration
		calls int64
	}{{0, 1}, {100 * time.Millisecond, 1}, {200 * time.Millisecond, 2}} {
		c.at.Add(int64(test.past))
		lending.Acquire(t.Context(), "a", 100)
		if got := calls.Load(); got != test.calls {
			t.Errorf("%d calls %v later, want %d", got, test.past, test.calls)
		}
	}
}

// TestLateLoan checks that requests that lack tokens at once share one loan, and
// that a loan counts whose request has ended.
func TestLateLoan(t *testing.T) {
	lender := handler(newLending(&purse{held: 1000}, &clock{}))
	var calls atomic.Int64
	asked, answer := make(chan struct{}), make(chan struct{})
	address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			close(asked)
		}
		<-answer
		lender.ServeHTTP(w, r)
	}))
	own := &purse{}
	lending := newLending(own, &clock{})
	lending.SetLenders([]netip.AddrPort{address})
	ctx, leave := context.WithCancel(t.Context())
	var work sync.WaitGroup
	work.Go(func() { lending.Acquire(ctx, "a", 100) })
	<-asked
	leave()
	late := make(chan bool, 1)
	work.Go(func() { late <- lending.Acquire(t.Context(), "a", 100) })
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	if lending.Acquire(gone, "a", 100) {
		t.Error("a request that has ended waited for a loan")
	}
	close(answer)
	work.Wait()
	if !<-late || calls.Load() != 1 || own.held != 100 || own.loans != 1 {
		t.Errorf("%d calls, %d loans, %d tokens", calls.Load(), own.loans, own.held)
	}
}
