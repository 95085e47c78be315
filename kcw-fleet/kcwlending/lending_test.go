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

// account is a balance with one team's tokens.
type account struct {
	mu    sync.Mutex
	held  int64
	loans int
}

func (a *account) BorrowAmount(_ string, tokens int64, _ time.Time) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(0, tokens-a.held)
}

func (a *account) Lend(_ string, tokens int64, _ time.Time) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	lent := min(tokens, a.held)
	a.held -= lent
	return lent
}

func (a *account) AddBorrowed(_ string, tokens int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.held += tokens
	a.loans++
}

// clock is a clock that the test advances.
type clock struct{ at atomic.Int64 }

func (c *clock) now() time.Time { return time.Unix(0, c.at.Load()) }

func newLending(p *account, c *clock) *kcwlending.Lending {
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

// TestAcquire checks from which lenders a router borrows, and how much.
func TestAcquire(t *testing.T) {
	for _, test := range []struct {
		name string
		// lenders are the tokens that each lender holds; a negative number stands for a
		// lender that is gone.
		lenders  []int64
		held     int64
		acquired bool
		after    int64
	}{
		{"one lender", []int64{500}, 0, true, 100},
		{"several lenders", []int64{40, 40, 40}, 0, true, 100},
		{"a lender that is gone", []int64{-1, 500}, 0, true, 100},
		{"not enough in total", []int64{10, 20}, 30, true, 60},
		{"lenders without tokens", []int64{0, 0}, 30, false, 30},
		{"no lenders", nil, 30, false, 30},
		{"enough without a loan", []int64{500}, 100, false, 100},
	} {
		own := &account{held: test.held}
		lending := newLending(own, &clock{})
		var addresses []netip.AddrPort
		for _, held := range test.lenders {
			if held < 0 {
				gone := httptest.NewServer(nil)
				gone.Close()
				addresses = append(addresses, addressOf(gone))
				continue
			}
			addresses = append(addresses, serve(t, handler(newLending(&account{held: held}, &clock{}))))
		}
		lending.SetLenders(addresses)
		if got := lending.Acquire(t.Context(), "a", 100); got != test.acquired || own.held != test.after {
			t.Errorf("%s: acquired %v, holds %d, want %v and %d", test.name, got, own.held, test.acquired, test.after)
		}
		lending.Close()
	}
}

// TestPause checks that no loan is requested during the pause after one that yielded no
// tokens.
func TestPause(t *testing.T) {
	var calls atomic.Int64
	empty := handler(newLending(&account{}, &clock{}))
	address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		empty.ServeHTTP(w, r)
	}))
	c := &clock{}
	lending := newLending(&account{}, c)
	lending.SetLenders([]netip.AddrPort{address})
	for _, test := range []struct {
		delay time.Duration
		calls int64
	}{{0, 1}, {100 * time.Millisecond, 1}, {200 * time.Millisecond, 2}} {
		c.at.Add(int64(test.delay))
		lending.Acquire(t.Context(), "a", 100)
		if got := calls.Load(); got != test.calls {
			t.Errorf("%d calls after %v, want %d", got, test.delay, test.calls)
		}
	}
}

// TestLateLoan checks that concurrent requests share one loan, and that a loan counts
// even if the request that started it has ended.
func TestLateLoan(t *testing.T) {
	lender := handler(newLending(&account{held: 1000}, &clock{}))
	var calls atomic.Int64
	asked, answer := make(chan struct{}), make(chan struct{})
	address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			close(asked)
		}
		<-answer
		lender.ServeHTTP(w, r)
	}))
	own := &account{}
	lending := newLending(own, &clock{})
	lending.SetLenders([]netip.AddrPort{address})
	ctx, abandon := context.WithCancel(t.Context())
	var work sync.WaitGroup
	work.Go(func() { lending.Acquire(ctx, "a", 100) })
	<-asked
	abandon()
	late := make(chan bool, 1)
	work.Go(func() { late <- lending.Acquire(t.Context(), "a", 100) })
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if lending.Acquire(ended, "a", 100) {
		t.Error("a request that has ended waited for a loan")
	}
	close(answer)
	work.Wait()
	if !<-late || calls.Load() != 1 || own.held != 100 || own.loans != 1 {
		t.Errorf("%d calls, %d loans, %d tokens", calls.Load(), own.loans, own.held)
	}
}
