package kcwbook_test

import (
	"bytes"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwpb"
)

func TestClaims(t *testing.T) {
	digest, other := bytes.Repeat([]byte{1}, 32), bytes.Repeat([]byte{2}, 32)
	for _, test := range []struct {
		name string
		run  func(l *ledger)
	}{
		{"resend", func(l *ledger) {
			l.wantCode(l.open(opening("a", "r", 100)), ok)
			l.wantCode(l.open(opening("a", "r", 100)), repeated)
			l.wantBudget(1000, 0, 100, 0, 0)
			l.wantCode(l.settle(settling("a", "r", ran, 60)), ok)
			l.wantCode(l.settle(settling("a", "r", ran, 60)), repeated)
			l.wantCode(l.settle(settling("a", "r", notRun, 0)), kcwpb.Code_CODE_BILLED)
			l.wantBudget(1000, 60, 0, 0, 0)
		}},
		{"above the reservation", func(l *ledger) {
			l.wantCode(l.open(opening("a", "r", 100)), ok)
			l.wantCode(l.settle(settling("a", "r", ran, 101)), kcwpb.Code_CODE_INVALID)
			l.wantBudget(1000, 0, 100, 0, 0)
		}},
		{"in progress elsewhere", func(l *ledger) {
			l.wantCode(l.open(opening("a", "r", 100)), ok)
			got := l.wantCode(l.open(opening("b", "r", 100)), kcwpb.Code_CODE_IN_PROGRESS)
			if got.GetOwnerAddress() != "a:1" || got.GetRetryAt() != start+int64(5*time.Second) {
				l.t.Errorf("result %v", got)
			}
			for _, test := range []struct{ remaining, retry time.Duration }{
				{3 * time.Second, 3 * time.Second},
				{time.Millisecond, time.Second},
			} {
				l.now = start + int64(30*time.Second-test.remaining)
				got = l.wantCode(l.open(opening("b", "r", 100)), kcwpb.Code_CODE_IN_PROGRESS)
				if got.GetRetryAt() != l.now+int64(test.retry) {
					l.t.Errorf("%v of the lease remain: result %v", test.remaining, got)
				}
			}
		}},
		{"adopted after the lease", func(l *ledger) {
			l.wantCode(l.open(opening("a", "r", 100)), ok)
			l.now += int64(30 * time.Second)
			l.wantCode(l.open(opening("b", "r", 120)), ok)
			l.wantBudget(1000, 0, 120, 0, 0)
			l.wantCode(l.settle(settling("a", "r", ran, 50)), kcwpb.Code_CODE_FENCED)
			l.wantCode(l.settle(settling("b", "r", ran, 70)), ok)
			l.wantCode(l.settle(settling("a", "r", ran, 50)), kcwpb.Code_CODE_FENCED)
			got := l.wantCode(l.open(opening("a", "r", 100)), kcwpb.Code_CODE_BILLED)
			if got.GetOwnerAddress() != "b:1" || got.GetClaim().GetTokens() != 70 {
				l.t.Errorf("result %v", got)
			}
			l.wantBudget(1000, 70, 0, 0, 0)
		}},
		{"adopted from a silent router", func(l *ledger) {
			l.wantCode(l.open(opening("a", "r", 100)), ok)
			op := opening("b", "r", 100)
			op.SilentRouter, op.SilentIncarnation = "a", 1
			l.wantCode(l.open(op), ok)
		}},
		{"not adopted if not repeatable", func(l *ledger) {
			op := opening("a", "r", 100)
			op.Repeatable = false
			l.wantCode(l.open(op), ok)
			l.now += int64(time.Hour)
			retry := opening("b", "r", 100)
			retry.SilentRouter, retry.SilentIncarnation = "a", 1
			l.wantCode(l.open(retry), kcwpb.Code_CODE_IN_PROGRESS)
			l.wantCode(l.register("a", 2), ok)
			l.wantCode(l.open(retry), kcwpb.Code_CODE_OUTCOME_UNKNOWN)
			l.wantBudget(1000, 0, 100, 0, 0)
			l.wantCode(l.resolve("o-1", "r", ran, 101), kcwpb.Code_CODE_INVALID)
			l.wantCode(l.resolve("o-1", "r", ran, 80), ok)
			l.wantCode(l.resolve("o-1", "r", ran, 80), repeated)
			l.wantCode(l.open(retry), kcwpb.Code_CODE_BILLED)
			l.wantBudget(1000, 80, 0, 0, 0)
		}},
		{"another digest", func(l *ledger) {
			op := opening("a", "r", 100)
			op.Digest = digest
			l.wantCode(l.open(op), ok)
			op.Digest = other
			l.wantCode(l.open(op), kcwpb.Code_CODE_MISMATCH)
		}},
		{"not run", func(l *ledger) {
			l.wantCode(l.open(opening("a", "r", 100)), ok)
			l.wantCode(l.settle(settling("a", "r", notRun, 0)), ok)
			l.wantBudget(1000, 0, 0, 0, 0)
			l.wantCode(l.open(opening("b", "r", 100)), ok)
			l.wantCode(l.settle(settling("b", "r", ran, 10)), ok)
			l.wantBudget(1000, 10, 0, 0, 0)
		}},
		{"unknown", func(l *ledger) {
			l.wantCode(l.open(opening("a", "r", 100)), ok)
			l.wantCode(l.settle(settling("a", "r", unknown, 40)), ok)
			l.wantBudget(1000, 0, 40, 0, 0)
			l.wantCode(l.open(opening("b", "r", 100)), ok)
			l.wantBudget(1000, 0, 100, 0, 0)
		}},
		{"late opening", func(l *ledger) {
			op := opening("a", "r", 100)
			op.Attempt = 4
			done := settling("a", "r", notRun, 0)
			done.Attempt = 4
			l.wantCode(l.settle(done), ok)
			l.wantCode(l.open(op), kcwpb.Code_CODE_INVALID)
			l.wantBudget(1000, 0, 0, 0, 0)
			op.Attempt = 5
			l.wantCode(l.open(op), ok)
			l.wantCode(l.settle(done), kcwpb.Code_CODE_FENCED)
			l.wantBudget(1000, 0, 100, 0, 0)
		}},
		{"run at a router whose claim was adopted", func(l *ledger) {
			l.wantCode(l.open(opening("a", "r", 100)), ok)
			l.now += int64(time.Minute)
			l.wantCode(l.open(opening("b", "r", 100)), ok)
			l.wantCode(l.settle(settling("a", "r", ran, 40)), kcwpb.Code_CODE_FENCED)
			l.wantCode(l.settle(settling("b", "r", notRun, 0)), ok)
			l.wantCode(l.settle(settling("a", "r", ran, 40)), ok)
			l.wantCode(l.settle(settling("b", "r", ran, 40)), kcwpb.Code_CODE_FENCED)
			l.wantBudget(1000, 40, 0, 0, 0)
		}},
		{"late copy of an ended opening", func(l *ledger) {
			late := opening("a", "r", 100)
			late.Serial, late.Over = 1, 1
			next := opening("a", "q", 10)
			next.Serial, next.Over = 2, 2
			l.wantCode(l.open(next), ok)
			l.wantCode(l.open(late), kcwpb.Code_CODE_INVALID)
			l.wantBudget(1000, 0, 10, 0, 0)
			l.wantCode(l.register("a", 2), ok)
			late.Incarnation = 2
			l.wantCode(l.open(late), ok)
		}},
		{"opening by a fenced router", func(l *ledger) {
			l.wantCode(l.register("a", 2), ok)
			l.wantCode(l.open(opening("a", "r", 100)), kcwpb.Code_CODE_FENCED)
			l.wantCode(l.register("a", 1), kcwpb.Code_CODE_FENCED)
			l.wantCode(l.open(opening("c", "r", 100)), kcwpb.Code_CODE_NOT_FOUND)
		}},
		{"settled by the newer incarnation", func(l *ledger) {
			l.wantCode(l.open(opening("a", "r", 100)), ok)
			l.wantCode(l.register("a", 2), ok)
			op := settling("a", "r", notRun, 0)
			op.Incarnation = 2
			l.wantCode(l.settle(op), kcwpb.Code_CODE_FENCED)
			l.wantBudget(1000, 0, 100, 0, 0)
			op = settling("a", "r", ran, 30)
			op.Incarnation = 2
			l.wantCode(l.settle(op), ok)
			l.wantBudget(1000, 30, 0, 0, 0)
		}},
		{"retired", func(l *ledger) {
			l.wantCode(l.open(opening("a", "r", 100)), ok)
			l.wantCode(l.retire("x", "a", 1), ok)
			l.wantCode(l.retire("x", "a", 1), repeated)
			l.wantCode(l.register("a", 1), kcwpb.Code_CODE_FENCED)
			l.wantCode(l.open(opening("b", "r", 100)), ok)
			l.wantBudget(1000, 0, 100, 0, 0)
			l.wantCode(l.register("a", 2), ok)
		}},
	} {
		t.Run(test.name, func(t *testing.T) { test.run(newStockedLedger(t)) })
	}
}

func TestGrants(t *testing.T) {
	for _, test := range []struct {
		name string
		run  func(l *ledger)
	}{
		{"sequence", func(l *ledger) {
			l.wantCode(l.draw("a", 500, 1, 4), ok)
			l.wantBudget(1000, 0, 0, 250, 0)
			if got := l.wantCode(l.draw("a", 500, 1, 4), repeated); got.GetTokens() != 250 {
				l.t.Errorf("a resend gave %d", got.GetTokens())
			}
			l.wantCode(l.draw("a", 500, 3, 4), kcwpb.Code_CODE_INVALID)
			l.wantCode(l.returnGrant("a", 251, 2), kcwpb.Code_CODE_INVALID)
			l.wantCode(l.returnGrant("a", 50, 2), ok)
			l.wantCode(l.returnGrant("a", 50, 2), repeated)
			l.wantBudget(1000, 0, 0, 200, 0)
		}},
		{"draws limited by the divisor", func(l *ledger) {
			l.wantCode(l.draw("a", 10_000, 1, 2), ok)
			l.wantCode(l.draw("a", 10_000, 2, 2), ok)
			l.wantBudget(1000, 0, 0, 750, 0)
		}},
		{"bill from a grant without a claim", func(l *ledger) {
			l.wantCode(l.draw("a", 100, 1, 1), ok)
			op := settling("a", "r", ran, 40)
			op.FromGrant = true
			l.wantCode(l.settle(op), ok)
			l.wantCode(l.settle(op), repeated)
			l.wantBudget(1000, 40, 0, 60, 0)
			l.wantCode(l.open(opening("b", "r", 10)), kcwpb.Code_CODE_BILLED)
		}},
		{"bill from a grant with an open claim of the same router", func(l *ledger) {
			l.wantCode(l.draw("a", 100, 1, 1), ok)
			l.wantCode(l.open(opening("a", "r", 50)), ok)
			op := settling("a", "r", ran, 40)
			op.FromGrant = true
			l.wantCode(l.settle(op), ok)
			l.wantBudget(1000, 40, 0, 60, 0)
		}},
		{"bill from a grant with an open claim of another router", func(l *ledger) {
			l.wantCode(l.draw("a", 100, 1, 1), ok)
			l.wantCode(l.open(opening("b", "r", 50)), ok)
			op := settling("a", "r", ran, 40)
			op.FromGrant = true
			l.wantCode(l.settle(op), ok)
			l.wantCode(l.settle(settling("b", "r", ran, 40)), kcwpb.Code_CODE_FENCED)
			l.wantBudget(1000, 40, 0, 60, 0)
		}},
		{"already billed by another router", func(l *ledger) {
			l.wantCode(l.draw("a", 100, 1, 1), ok)
			l.wantCode(l.open(opening("b", "r", 50)), ok)
			l.wantCode(l.settle(settling("b", "r", ran, 20)), ok)
			op := settling("a", "r", ran, 40)
			op.FromGrant = true
			l.wantCode(l.settle(op), kcwpb.Code_CODE_BILLED)
			l.wantBudget(1000, 20, 0, 100, 0)
		}},
		{"more than the grant", func(l *ledger) {
			l.wantCode(l.draw("a", 100, 1, 1), ok)
			l.wantCode(l.open(opening("b", "r", 900)), ok)
			op := settling("a", "q", ran, 101)
			op.FromGrant = true
			l.wantCode(l.settle(op), kcwpb.Code_CODE_EXHAUSTED)
			l.wantBudget(1000, 0, 900, 100, 0)
		}},
		{"orphaned", func(l *ledger) {
			l.wantCode(l.draw("a", 100, 1, 1), ok)
			l.wantCode(l.release("", "a"), kcwpb.Code_CODE_INVALID)
			l.wantCode(l.register("a", 2), ok)
			l.wantCode(l.draw("a", 100, 2, 1), kcwpb.Code_CODE_FENCED)
			op := settling("a", "r", ran, 40)
			op.FromGrant, op.Incarnation = true, 2
			l.wantCode(l.settle(op), ok)
			l.wantBudget(1000, 40, 0, 60, 0)
			if got := l.wantCode(l.release("o", "a"), ok); got.GetTokens() != 60 {
				l.t.Errorf("released %d", got.GetTokens())
			}
			l.wantCode(l.release("o", "a"), repeated)
			l.wantCode(l.release("", "a"), kcwpb.Code_CODE_NOT_FOUND)
			l.wantBudget(1000, 40, 0, 0, 0)
		}},
		{"missing tokens taken from the grant", func(l *ledger) {
			l.wantCode(l.draw("a", 100, 1, 1), ok)
			l.wantCode(l.open(opening("b", "q", 870)), ok)
			op := opening("a", "r", 50)
			l.wantCode(l.open(op), kcwpb.Code_CODE_EXHAUSTED)
			op.UseGrant = true
			got := l.wantCode(l.open(op), ok)
			if got.GetClaim().GetGrantTokens() != 20 || got.GetGrant().GetTokens() != 80 {
				l.t.Errorf("result %v", got)
			}
			l.wantBudget(1000, 0, 920, 80, 0)
		}},
		{"missing tokens returned to the grant", func(l *ledger) {
			l.wantCode(l.draw("a", 100, 1, 1), ok)
			l.wantCode(l.open(opening("b", "q", 870)), ok)
			op := opening("a", "r", 50)
			op.UseGrant = true
			l.wantCode(l.open(op), ok)
			l.wantBudget(1000, 0, 920, 80, 0)
			bill := settling("a", "r", ran, 40)
			bill.FromGrant = true
			l.wantCode(l.settle(bill), ok)
			l.wantBudget(1000, 40, 870, 60, 0)
		}},
		{"withheld tokens deducted from returned ones", func(l *ledger) {
			l.wantCode(l.draw("a", 800, 1, 1), ok)
			l.wantCode(l.topUp("t", -500), ok)
			l.wantBudget(800, 0, 0, 800, 300)
			l.wantCode(l.draw("b", 800, 1, 1), ok)
			l.wantCode(l.returnGrant("a", 400, 2), ok)
			l.wantBudget(500, 0, 0, 400, 0)
		}},
	} {
		t.Run(test.name, func(t *testing.T) { test.run(newStockedLedger(t)) })
	}
}
