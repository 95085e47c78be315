package kcwbalance_test

import (
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwbalance"
	"kingcupwick.example/kcw/kcwgrant"
	"kingcupwick.example/kcw/kcwpb"
)

var start = time.Unix(1_700_000_000, 0)

func newBalance() *kcwbalance.Balance {
	return kcwbalance.New(kcwbalance.Config{
		Grant: kcwgrant.Config{Endurance: 10 * time.Second, IdleAfter: time.Minute, Memory: 5 * time.Second},
		Fresh: time.Second,
	})
}

func heard(b *kcwbalance.Balance, granted, available, unspent int64, scarce bool) {
	b.Heard([]*kcwpb.Allowance{{Team: "a", Granted: granted, Available: available, Unspent: unspent, Scarce: scarce}}, 4, start)
}

func TestReserve(t *testing.T) {
	for _, test := range []struct {
		name                        string
		granted, available, unspent int64
		at                          time.Time
		want                        kcwbalance.Verdict
	}{
		{"held here", 100, 0, 100, start, kcwbalance.Reserved},
		{"free at the core", 10, 500, 510, start, kcwbalance.Missing},
		{"held by others", 10, 20, 500, start, kcwbalance.Held},
		{"used up", 10, 20, 30, start, kcwbalance.Exhausted},
		{"used up, but heard long ago", 10, 20, 30, start.Add(2 * time.Second), kcwbalance.Missing},
	} {
		b := newBalance()
		heard(b, test.granted, test.available, test.unspent, false)
		if got := b.Reserve("a", 100, test.at); got != test.want {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}

// TestTotals follows the totals of one team through requests and reports.
func TestTotals(t *testing.T) {
	b := newBalance()
	b.Demand("a", 100, start)
	if got := b.Reserve("a", 100, start); got != kcwbalance.Missing {
		t.Fatalf("without tokens: %v", got)
	}
	r := b.Reports(start)[0]
	if r.GetLeast() != 100 || r.GetWant() < 100 {
		t.Errorf("the report asks for %d, at least %d; want 100 at least", r.GetWant(), r.GetLeast())
	}
	heard(b, 1000, 9000, 10_000, false)
	if got := b.Reserve("a", 100, start); got != kcwbalance.Reserved {
		t.Fatalf("with tokens: %v", got)
	}
	b.Settle("a", 100, 40)
	if r := b.Reports(start)[0]; r.GetSpent() != 40 || r.GetLeast() != 0 {
		t.Errorf("spent %d and least %d, want 40 and 0", r.GetSpent(), r.GetLeast())
	}
	b.Return()
	if r := b.Reports(start)[0]; r.GetReturned() != 960 || r.GetWant() != 0 {
		t.Errorf("returned %d and wants %d, want 960 and 0", r.GetReturned(), r.GetWant())
	}
	if got := b.Reserve("a", 1, start); got == kcwbalance.Reserved {
		t.Error("returned tokens were reserved")
	}
	// An answer made before the return must not bring the tokens back.
	heard(b, 1000, 9000, 10_000, false)
	if got := b.Reserve("a", 1, start); got == kcwbalance.Reserved {
		t.Error("an old answer brought returned tokens back")
	}
}

// TestScarceReturns plays a budget that runs out: a router gives back what its
// demand does not need when others lack tokens.
func TestScarceReturns(t *testing.T) {
	b := newBalance()
	b.Demand("a", 10, start)
	heard(b, 1000, 0, 1000, true)
	r := b.Reports(start)[0]
	if r.GetReturned() < 900 {
		t.Errorf("returned %d of 1000 idle tokens", r.GetReturned())
	}
}

// TestEndurance plays a steady demand: after some seconds the router holds what
// it needs for the endurance, within its part of the budget.
func TestEndurance(t *testing.T) {
	b := newBalance()
	now := start
	var granted int64
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		b.Demand("a", 10, now)
		for _, r := range b.Reports(now) {
			granted = max(granted, r.GetWant()+r.GetReturned()+r.GetSpent())
		}
		b.Heard([]*kcwpb.Allowance{{Team: "a", Granted: granted, Available: 100_000, Unspent: 100_000}}, 4, now)
	}
	const rate, endurance = 100, 10
	if granted < rate*endurance*3/4 || granted > rate*endurance*5/4 {
		t.Errorf("holds %d tokens at a demand of %d a second, want about %d", granted, rate, rate*endurance)
	}
}
