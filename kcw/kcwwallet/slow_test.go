package kcwwallet_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwgrant"
	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwwallet"
)

// slowLedger answers after a delay, or never if answers is nil.
type slowLedger struct {
	calls   atomic.Int64
	answers *world
	after   time.Duration
}

func (l *slowLedger) Submit(ctx context.Context, cmd *kcwpb.Command) (*kcwpb.Result, error) {
	l.calls.Add(1)
	if l.answers == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	select {
	case <-time.After(l.after):
		return l.answers.apply(cmd), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func openAt(t *testing.T, wallet *kcwwallet.Wallet, request string) error {
	t.Helper()
	_, err := wallet.Open(context.Background(), &kcwpb.OpenClaim{
		Customer: customer, Request: request, Router: "a", Incarnation: 1, Attempt: 1, Repeatable: true, Tokens: 10, LeaseNanos: int64(time.Minute),
	})
	return err
}

func newSlowWallet(t *testing.T, ledger *slowLedger, patience time.Duration) *kcwwallet.Wallet {
	t.Helper()
	wallet, err := kcwwallet.New(kcwwallet.Config{
		Ledger: ledger, Policy: kcwgrant.New(kcwgrant.Config{}), Router: "a", Incarnation: 1,
		LedgerDeadline: 20 * time.Millisecond, LedgerPatience: patience, ProbeAfter: time.Minute,
	})
	if err != nil {
		t.Fatal(err)
	}
	return wallet
}

// TestSlowLedgerWithoutGrant checks that a router that has just started, and so
// has no grant, does not refuse requests because the ledger takes longer than
// LedgerDeadline to answer.
func TestSlowLedgerWithoutGrant(t *testing.T) {
	w := newWorld(t, 1000)
	w.apply(&kcwpb.Command{Op: &kcwpb.Command_RegisterRouter{RegisterRouter: &kcwpb.RegisterRouter{Router: "a", Incarnation: 1, Address: "a:1"}}})
	wallet := newSlowWallet(t, &slowLedger{answers: w, after: 100 * time.Millisecond}, time.Minute)
	const requests = 4
	outcomes := make(chan error, requests)
	for i := range requests {
		go func() { outcomes <- openAt(t, wallet, fmt.Sprint("r-", i)) }()
	}
	for range requests {
		if err := <-outcomes; err != nil {
			t.Error(err)
		}
	}
}

// TestSilentLedgerRefusesAtOnce checks that requests are refused without a call of
// the ledger once it has not answered for LedgerPatience.
func TestSilentLedgerRefusesAtOnce(t *testing.T) {
	ledger := &slowLedger{}
	wallet := newSlowWallet(t, ledger, 40*time.Millisecond)
	for i := range 3 {
		if err := openAt(t, wallet, fmt.Sprint("r-", i)); err == nil {
			t.Fatal("a claim was opened without a ledger or a grant")
		}
	}
	if calls := ledger.calls.Load(); calls != 1 {
		t.Errorf("%d calls of the ledger, want 1", calls)
	}
}
