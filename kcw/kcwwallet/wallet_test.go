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

// stocked returns a world with 1,000 tokens and a router that holds a grant of
// 100 of them and has spent 10.
func stocked(t *testing.T) (*world, *router) {
	t.Helper()
	w := newWorld(t, 1000)
	r := newRouter(w, "a", kcwgrant.Config{Endurance: 10 * time.Minute, Divisor: allOfIt, IdleAfter: time.Hour})
	claim, _, err := r.open("first", 10, true)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := r.settle(claim, ran, 10); err != nil {
		t.Fatal(err)
	}
	r.tend()
	w.is("billed 10 reserved 0 granted 100")
	return w, r
}

// is fails the test unless the budget is as told and no rule was broken.
func (w *world) is(want string) {
	w.t.Helper()
	if got := w.budget(); got != want || w.overdrawn != nil {
		w.t.Fatalf("got %s (%v), want %s", got, w.overdrawn, want)
	}
}

// mayRun fails the test unless an opening may run, and returns its claim.
func mayRun(t *testing.T, claim *kcwpb.SettleClaim, result *kcwpb.Result, err error) *kcwpb.SettleClaim {
	t.Helper()
	if err != nil || result.GetCode() != codeOK {
		t.Fatalf("result %v, error %v", result, err)
	}
	return claim
}

// mayNotRun fails the test unless an opening is told not to run.
func mayNotRun(t *testing.T, _ *kcwpb.SettleClaim, _ *kcwpb.Result, err error) {
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
		{"served out of the grant", func(t *testing.T, w *world, r *router) {
			r.link.cut = true
			claim, result, err := r.open("r", 60, true)
			r.mustSettle(mayRun(t, claim, result, err), ran, 40)
			w.is("billed 10 reserved 0 granted 100")
			if _, again, _ := r.open("r", 60, true); again.GetCode() != kcwpb.Code_CODE_BILLED {
				t.Errorf("a retry got %v", again)
			}
			refuses(t, r, "q", 61, true)
			r.link.cut = false
			r.tend()
			if b := w.book.Budget(customer); b.GetBilled() != 50 {
				t.Errorf("budget %v", b)
			}
		}},
		{"not to be repeated is refused", func(t *testing.T, _ *world, r *router) {
			r.link.cut = true
			refuses(t, r, "r", 10, false)
		}},
		{"not run gives the tokens back", func(t *testing.T, w *world, r *router) {
			r.link.cut = true
			claim, result, err := r.open("r", 100, true)
			r.mustSettle(mayRun(t, claim, result, err), notRun, 0)
			w.pass(time.Minute)
			r.link.cut = false
			r.tend()
			if b := w.book.Budget(customer); b.GetBilled() != 10 || b.GetReserved() != 0 {
				t.Errorf("budget %v", b)
			}
			r.link.cut = true
			claim, result, err = r.open("q", 100, true)
			mayRun(t, claim, result, err)
		}},
		{"an opening that commits after its timeout", func(t *testing.T, w *world, r *router) {
			r.link.next = lateRequest
			claim, result, err := r.open("r", 60, true)
			mayRun(t, claim, result, err)
			for _, cmd := range w.late {
				w.apply(cmd)
			}
			w.is("billed 10 reserved 60 granted 100")
			r.mustSettle(claim, ran, 40)
			r.tend()
			if b := w.book.Budget(customer); b.GetBilled() != 50 || b.GetReserved() != 0 {
				t.Errorf("budget %v", b)
			}
		}},
		{"restart after a bill in the journal", func(t *testing.T, w *world, r *router) {
			r.link.cut = true
			claim, result, err := r.open("r", 60, true)
			r.mustSettle(mayRun(t, claim, result, err), ran, 40)
			r.link.cut = false
			r.start()
			r.tend()
			w.is("billed 50 reserved 0 granted 0")
		}},
		{"restart with a claim at work", func(t *testing.T, w *world, r *router) {
			r.link.cut = true
			claim, result, err := r.open("r", 60, true)
			mayRun(t, claim, result, err)
			r.link.cut = false
			r.start()
			r.tend()
			w.is("billed 10 reserved 60 granted 0")
			claim, result, err = r.open("r", 60, true)
			r.mustSettle(mayRun(t, claim, result, err), ran, 40)
			w.pass(time.Minute)
			r.tend()
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
		{"a lost answer keeps the shortfall from others", func(t *testing.T, w *world, r *router) {
			other := newRouter(w, "b", kcwgrant.Config{})
			claim, result, err := other.open("all", 890, true)
			mayRun(t, claim, result, err)
			r.link.next = lostAnswer
			claim, result, err = r.open("once", 60, false)
			mayNotRun(t, claim, result, err)
			w.is("billed 10 reserved 950 granted 40")
			r.link.cut = true
			refuses(t, r, "q", 60, true)
			r.link.cut = false
			w.pass(time.Minute)
			r.mustSettle(claim, notRun, 0)
			w.is("billed 10 reserved 890 granted 40")
			r.link.cut = true
			refuses(t, r, "p", 60, true)
		}},
		{"settled again", func(t *testing.T, _ *world, r *router) {
			r.link.cut = true
			claim, result, err := r.open("r", 60, true)
			r.mustSettle(mayRun(t, claim, result, err), ran, 40)
			if again, err := r.settle(claim, ran, 40); err != nil || again.GetCode() != kcwpb.Code_CODE_REPEATED {
				t.Errorf("result %v, error %v", again, err)
			}
			if pending, _ := r.wallet.Pending(); pending != 1 {
				t.Errorf("%d outcomes wait", pending)
			}
		}},
		{"a copy of an opening that comes after it was given up", func(t *testing.T, w *world, r *router) {
			claim, result, err := r.open("r", 60, true)
			mayRun(t, claim, result, err)
			other := newRouter(w, "b", kcwgrant.Config{})
			other.link.next = lateRequest
			refuses(t, other, "r", 60, true)
			other.tend()
			w.pass(2 * time.Minute)
			w.apply(w.late[0])
			if c := w.book.Claim(customer, "r"); c.GetRouter() != "a" {
				t.Errorf("the claim went to %s", c.GetRouter())
			}
			r.mustSettle(claim, ran, 40)
		}},
		{"grants are released after what they paid for is billed", func(t *testing.T, w *world, r *router) {
			r.link.cut = true
			claim, result, err := r.open("r", 60, true)
			r.mustSettle(mayRun(t, claim, result, err), ran, 40)
			r.link.cut = false
			r.start()
			r.tend()
			billed := slices.IndexFunc(w.trace, func(line string) bool { return strings.Contains(line, "from_grant:true") })
			freed := slices.IndexFunc(w.trace, func(line string) bool { return strings.Contains(line, "release_grant") })
			if billed < 0 || freed < billed {
				t.Errorf("billed by command %d, released by command %d", billed, freed)
			}
		}},
		{"without a data folder", func(t *testing.T, w *world, _ *router) {
			r := newRouter(w, "b", kcwgrant.Config{Endurance: endured, Divisor: allOfIt, IdleAfter: idleTime})
			r.folder, r.journal = "", nil
			r.start()
			claim, result, err := r.open("r", 10, true)
			mayRun(t, claim, result, err)
			r.link.cut = true
			var typed *kcwwallet.Error
			if _, err := r.settle(claim, ran, 10); !errors.As(err, &typed) || typed.Kind != kcwwallet.KindNotDurable {
				t.Errorf("error %v", err)
			}
			refuses(t, r, "q", 10, true)
			r.link.cut = false
			r.mustSettle(claim, ran, 10)
			w.is("billed 20 reserved 0 granted 100")
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			w, r := stocked(t)
			test.run(t, w, r)
		})
	}
}

// refuses opens a claim, which must be refused, and settles it as not run.
func refuses(t *testing.T, r *router, request string, tokens int64, repeatable bool) {
	t.Helper()
	claim, result, err := r.open(request, tokens, repeatable)
	mayNotRun(t, claim, result, err)
	if _, err := r.settle(claim, notRun, 0); err != nil && r.journal != nil {
		t.Fatal(err)
	}
}

func TestClose(t *testing.T) {
	w, r := stocked(t)
	r.link.cut = true
	claim, result, err := r.open("r", 60, true)
	r.mustSettle(mayRun(t, claim, result, err), ran, 40)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if r.wallet.Close(ended) == nil {
		t.Error("closed without the ledger")
	}
	r.link.cut = false
	w.pass(time.Minute)
	if err := r.wallet.Close(t.Context()); err != nil {
		t.Error(err)
	}
	w.is("billed 50 reserved 0 granted 0")
	if _, result, _ := r.open("q", 1, true); result.GetCode() != kcwpb.Code_CODE_FENCED {
		t.Errorf("a closed wallet gave %v", result)
	}
}
