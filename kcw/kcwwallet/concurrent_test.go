package kcwwallet_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwgrant"
	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwwallet"
)

// lossyLedger loses commands and answers at random unless it is reliable.
type lossyLedger struct {
	world    *world
	mu       sync.Mutex
	random   *rand.Rand
	reliable bool
}

func (s *lossyLedger) Submit(_ context.Context, cmd *kcwpb.Command) (*kcwpb.Result, error) {
	s.mu.Lock()
	chance := s.random.IntN(10)
	reliable := s.reliable
	s.mu.Unlock()
	if chance == 0 && !reliable {
		return nil, errSilent
	}
	result := s.world.apply(cmd)
	if chance == 1 && !reliable {
		return nil, errSilent
	}
	return result, nil
}

// TestConcurrentRequests checks that every request that ran has its bill when many
// callers open and settle claims concurrently with Reconcile and the ledger loses
// commands and answers.
func TestConcurrentRequests(t *testing.T) {
	w := newWorld(t, 100_000)
	r := newRouter(w, "a", kcwgrant.Config{})
	ledger := &lossyLedger{world: w, random: rand.New(rand.NewPCG(seed, 2))}
	wallet, err := kcwwallet.New(kcwwallet.Config{
		Ledger: ledger, Journal: r.journal, Router: "a", Incarnation: 1, ProbeAfter: time.Millisecond, Now: w.clock,
		Policy: kcwgrant.New(kcwgrant.Config{Endurance: endurance, Divisor: 2, IdleAfter: idleTime}),
	})
	if err != nil {
		t.Fatal(err)
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	bills := make(map[string]int64)
	for caller := range 8 {
		group.Go(func() {
			for i := range 40 {
				request, tokens := fmt.Sprintf("r-%d-%d", caller, i), int64(1+i)
				if serve(wallet, uint64(caller*1000+i+1), request, tokens) {
					mu.Lock()
					bills[request] = tokens
					mu.Unlock()
				}
				w.advance(10 * time.Millisecond)
				if i%5 == 0 {
					wallet.Reconcile(context.Background())
				}
			}
		})
	}
	group.Wait()
	ledger.reliable = true
	for range 3 {
		w.advance(time.Second)
		wallet.Reconcile(context.Background())
	}
	if pending, refused := wallet.Pending(); pending > 0 || refused > 0 || w.violation != nil {
		t.Errorf("%d outcomes are pending, %d are refused, %v", pending, refused, w.violation)
	}
	for request, tokens := range bills {
		if c := w.book.Claim(customer, request); c.GetState() != kcwpb.ClaimState_CLAIM_STATE_BILLED || c.GetTokens() != tokens {
			t.Errorf("%s ran for %d tokens: %v", request, tokens, c)
		}
	}
	if b := w.book.Budget(customer); b.GetReserved() != 0 {
		t.Errorf("reservations are left: %v", b)
	}
}

// serve opens a claim and settles it as run, or as not run if the request may not
// run. It reports whether the request ran.
func serve(wallet *kcwwallet.Wallet, attempt uint64, request string, tokens int64) bool {
	result, err := wallet.Open(context.Background(), &kcwpb.OpenClaim{
		Customer: customer, Request: request, Router: "a", Incarnation: 1, Attempt: attempt,
		Repeatable: true, Tokens: tokens, LeaseNanos: int64(time.Minute),
	})
	admitted := err == nil && result.GetCode() == codeOK
	outcome := notRun
	if admitted {
		outcome = ran
	} else {
		tokens = 0
	}
	for {
		_, err := wallet.Settle(context.Background(), &kcwpb.SettleClaim{
			Customer: customer, Request: request, Router: "a", Incarnation: 1, Attempt: attempt,
			Repeatable: true, Outcome: outcome, Tokens: tokens,
		})
		if err == nil {
			return admitted
		}
	}
}
