package kcwwallet_test

import (
	"context"
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwgrant"
	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwwallet"
)

// newGrantHolder returns a world with a budget of 1,000 tokens and a router that
// has spent 10 of them and holds a grant of 100.
func newGrantHolder(t *testing.T) (*world, *router) {
	t.Helper()
	w := newWorld(t, 1000)
	r := newRouter(w, "a", kcwgrant.Config{Endurance: 10 * time.Minute, Divisor: wholeBudget, IdleAfter: time.Hour})
	claim, _, err := r.open("first", 10, true)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := r.settle(claim, ran, 10); err != nil {
		t.Fatal(err)
	}
	r.reconcile()
	w.requireBudget("billed 10 reserved 0 granted 100")
	return w, r
}

// requireBudget fails the test unless the budget is want and no invariant was
// violated.
func (w *world) requireBudget(want string) {
	w.t.Helper()
	if got := w.budget(); got != want || w.violation != nil {
		w.t.Fatalf("got %s (%v), want %s", got, w.violation, want)
	}
}

// requireOpened fails the test unless the claim was opened, and returns it.
func requireOpened(t *testing.T, claim *kcwpb.SettleClaim, result *kcwpb.Result, err error) *kcwpb.SettleClaim {
	t.Helper()
	if err != nil || result.GetCode() != codeOK {
		t.Fatalf("result %v, error %v", result, err)
	}
	return claim
}

// requireNotRun fails the test unless opening returned an error of KindNotRun.
func requireNotRun(t *testing.T, _ *kcwpb.SettleClaim, _ *kcwpb.Result, err error) {
	t.Helper()
	var typed *kcwwallet.Error
	if !errors.As(err, &typed) || typed.Kind != kcwwallet.KindNotRun {
		t.Fatalf("error %v", err)
	}
}

func (r *router) mustSettle(claim *kcwpb.SettleClaim, outcome kcwpb.Outcome, tokens int64) {
	r.world.t.Helper()
	if result, err := r.settle(claim, outcome, tokens); err != nil || result.GetCode() != codeOK {
		r.world.t.Fatalf("result %v, error %v", result, err)
	}
}

func TestCutOff(t *testing.T) {
	for _, test := range []struct {
		name string
		run  func(t *testing.T, w *world, r *router)
	}{
		{"served on the grant", func(t *testing.T, w *world, r *router) {
			r.link.cut = true
			claim, result, err := r.open("r", 60, true)
			r.mustSettle(requireOpened(t, claim, result, err), ran, 40)
			w.requireBudget("billed 10 reserved 0 granted 100")
			if _, repeated, _ := r.open("r", 60, true); repeated.GetCode() != kcwpb.Code_CODE_BILLED {
				t.Errorf("a retry got %v", repeated)
			}
			requireRefusal(t, r, "q", 61, true)
			r.link.cut = false
			r.reconcile()
			if b := w.book.Budget(customer); b.GetBilled() != 50 {
				t.Errorf("budget %v", b)
			}
		}},
		{"a request that is not repeatable is refused", func(t *testing.T, _ *world, r *router) {
			r.link.cut = true
			requireRefusal(t, r, "r", 10, false)
		}},
		{"a request that did not run frees its tokens", func(t *testing.T, w *world, r *router) {
			r.link.cut = true
			claim, result, err := r.open("r", 100, true)
			r.mustSettle(requireOpened(t, claim, result, err), notRun, 0)
			w.advance(time.Minute)
			r.link.cut = false
			r.reconcile()
			if b := w.book.Budget(customer); b.GetBilled() != 10 || b.GetReserved() != 0 {
				t.Errorf("budget %v", b)
			}
			r.link.cut = true
			claim, result, err = r.open("q", 100, true)
			requireOpened(t, claim, result, err)
		}},
		{"an opening that is applied after its timeout", func(t *testing.T, w *world, r *router) {
			r.link.next = lateRequest
			claim, result, err := r.open("r", 60, true)
			requireOpened(t, claim, result, err)
			for _, cmd := range w.delayed {
				w.apply(cmd)
			}
			w.requireBudget("billed 10 reserved 60 granted 100")
			r.mustSettle(claim, ran, 40)
			r.reconcile()
			if b := w.book.Budget(customer); b.GetBilled() != 50 || b.GetReserved() != 0 {
				t.Errorf("budget %v", b)
			}
		}},
		{"restart after a bill in the journal", func(t *testing.T, w *world, r *router) {
			r.link.cut = true
			claim, result, err := r.open("r", 60, true)
			r.mustSettle(requireOpened(t, claim, result, err), ran, 40)
			r.link.cut = false
			r.start()
			r.reconcile()
			w.requireBudget("billed 50 reserved 0 granted 0")
		}},
		{"restart with an open claim", func(t *testing.T, w *world, r *router) {
			r.link.cut = true
			claim, result, err := r.open("r", 60, true)
			requireOpened(t, claim, result, err)
			r.link.cut = false
			r.start()
			r.reconcile()
			w.requireBudget("billed 10 reserved 60 granted 0")
			claim, result, err = r.open("r", 60, true)
			r.mustSettle(requireOpened(t, claim, result, err), ran, 40)
			w.advance(time.Minute)
			r.reconcile()
			if b := w.book.Budget(customer); b.GetBilled() != 50 || b.GetReserved() != 0 {
				t.Errorf("budget %v", b)
			}
		}},
		{"a fenced incarnation admits nothing", func(t *testing.T, w *world, r *router) {
			old := r.wallet
			r.start()
			fenced := &router{world: w, name: r.name, wallet: old, link: r.link, incarnation: 1, attempt: 9}
			if _, result, _ := fenced.open("r", 10, true); result.GetCode() != kcwpb.Code_CODE_FENCED {
				t.Errorf("result %v", result)
			}
			r.link.cut = true
			if _, result, _ := fenced.open("q", 10, true); result.GetCode() != kcwpb.Code_CODE_FENCED {
				t.Errorf("result %v", result)
			}
		}},
		{"tokens of an opening with a lost answer stay reserved", func(t *testing.T, w *world, r *router) {
			other := newRouter(w, "b", kcwgrant.Config{})
			claim, result, err := other.open("all", 890, true)
			requireOpened(t, claim, result, err)
			r.link.next = lostAnswer
			claim, result, err = r.open("once", 60, false)
			requireNotRun(t, claim, result, err)
			w.requireBudget("billed 10 reserved 950 granted 40")
			r.link.cut = true
			requireRefusal(t, r, "q", 60, true)
			r.link.cut = false
			w.advance(time.Minute)
			r.mustSettle(claim, notRun, 0)
			w.requireBudget("billed 10 reserved 890 granted 40")
			r.link.cut = true
			requireRefusal(t, r, "p", 60, true)
		}},
		{"settled again", func(t *testing.T, _ *world, r *router) {
			r.link.cut = true
			claim, result, err := r.open("r", 60, true)
			r.mustSettle(requireOpened(t, claim, result, err), ran, 40)
			if repeated, err := r.settle(claim, ran, 40); err != nil || repeated.GetCode() != kcwpb.Code_CODE_REPEATED {
				t.Errorf("result %v, error %v", repeated, err)
			}
			if pending, _ := r.wallet.Pending(); pending != 1 {
				t.Errorf("%d outcomes are pending", pending)
			}
		}},
		{"an opening that arrives after its request was refused", func(t *testing.T, w *world, r *router) {
			claim, result, err := r.open("r", 60, true)
			requireOpened(t, claim, result, err)
			other := newRouter(w, "b", kcwgrant.Config{})
			other.link.next = lateRequest
			requireRefusal(t, other, "r", 60, true)
			other.reconcile()
			w.advance(2 * time.Minute)
			w.apply(w.delayed[0])
			if c := w.book.Claim(customer, "r"); c.GetRouter() != "a" {
				t.Errorf("the claim went to %s", c.GetRouter())
			}
			r.mustSettle(claim, ran, 40)
		}},
		{"grants are released after the requests on them are billed", func(t *testing.T, w *world, r *router) {
			r.link.cut = true
			claim, result, err := r.open("r", 60, true)
			r.mustSettle(requireOpened(t, claim, result, err), ran, 40)
			r.link.cut = false
			r.start()
			r.reconcile()
			billed := slices.IndexFunc(w.trace, func(line string) bool { return strings.Contains(line, "from_grant:true") })
			freed := slices.IndexFunc(w.trace, func(line string) bool { return strings.Contains(line, "release_grant") })
			if billed < 0 || freed < billed {
				t.Errorf("billed by command %d, released by command %d", billed, freed)
			}
		}},
		{"without a data folder", func(t *testing.T, w *world, _ *router) {
			r := newRouter(w, "b", kcwgrant.Config{Endurance: endurance, Divisor: wholeBudget, IdleAfter: idleTime})
			r.folder, r.journal = "", nil
			r.start()
			claim, result, err := r.open("r", 10, true)
			requireOpened(t, claim, result, err)
			r.link.cut = true
			var typed *kcwwallet.Error
			if _, err := r.settle(claim, ran, 10); !errors.As(err, &typed) || typed.Kind != kcwwallet.KindNotDurable {
				t.Errorf("error %v", err)
			}
			requireRefusal(t, r, "q", 10, true)
			r.link.cut = false
			r.mustSettle(claim, ran, 10)
			w.requireBudget("billed 20 reserved 0 granted 100")
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			w, r := newGrantHolder(t)
			test.run(t, w, r)
		})
	}
}

// requireRefusal fails the test unless opening a claim is refused, and settles the
// claim as not run.
func requireRefusal(t *testing.T, r *router, request string, tokens int64, repeatable bool) {
	t.Helper()
	claim, result, err := r.open(request, tokens, repeatable)
	requireNotRun(t, claim, result, err)
	if _, err := r.settle(claim, notRun, 0); err != nil && r.journal != nil {
		t.Fatal(err)
	}
}

func TestClose(t *testing.T) {
	w, r := newGrantHolder(t)
	r.link.cut = true
	claim, result, err := r.open("r", 60, true)
	r.mustSettle(requireOpened(t, claim, result, err), ran, 40)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if r.wallet.Close(ended) == nil {
		t.Error("closed without the ledger")
	}
	r.link.cut = false
	w.advance(time.Minute)
	if err := r.wallet.Close(t.Context()); err != nil {
		t.Error(err)
	}
	w.requireBudget("billed 50 reserved 0 granted 0")
	if _, result, _ := r.open("q", 1, true); result.GetCode() != kcwpb.Code_CODE_FENCED {
		t.Errorf("a closed wallet gave %v", result)
	}
}
