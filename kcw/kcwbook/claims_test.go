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
			l.is(l.open(opening("a", "r", 100)), ok)
			l.is(l.open(opening("a", "r", 100)), repeated)
			l.parts(1000, 0, 100, 0, 0)
			l.is(l.settle(settling("a", "r", ran, 60)), ok)
			l.is(l.settle(settling("a", "r", ran, 60)), repeated)
			l.is(l.settle(settling("a", "r", notRun, 0)), kcwpb.Code_CODE_BILLED)
			l.parts(1000, 60, 0, 0, 0)
		}},
		{"above the reservation", func(l *ledger) {
			l.is(l.open(opening("a", "r", 100)), ok)
			l.is(l.settle(settling("a", "r", ran, 101)), kcwpb.Code_CODE_INVALID)
			l.parts(1000, 0, 100, 0, 0)
		}},
		{"in progress elsewhere", func(l *ledger) {
			l.is(l.open(opening("a", "r", 100)), ok)
			got := l.is(l.open(opening("b", "r", 100)), kcwpb.Code_CODE_IN_PROGRESS)
			if got.GetOwnerAddress() != "a:1" || got.GetRetryAt() != start+int64(5*time.Second) {
				l.t.Errorf("result %v", got)
			}
			for _, test := range []struct{ left, retry time.Duration }{
				{3 * time.Second, 3 * time.Second},
				{time.Millisecond, time.Second},
			} {
				l.at = start + int64(30*time.Second-test.left)
				got = l.is(l.open(opening("b", "r", 100)), kcwpb.Code_CODE_IN_PROGRESS)
				if got.GetRetryAt() != l.at+int64(test.retry) {
					l.t.Errorf("%v of the lease left: result %v", test.left, got)
				}
			}
		}},
		{"adopted after the lease", func(l *ledger) {
			l.is(l.open(opening("a", "r", 100)), ok)
			l.at += int64(30 * time.Second)
			l.is(l.open(opening("b", "r", 120)), ok)
			l.parts(1000, 0, 120, 0, 0)
			l.is(l.settle(settling("a", "r", ran, 50)), kcwpb.Code_CODE_FENCED)
			l.is(l.settle(settling("b", "r", ran, 70)), ok)
			l.is(l.settle(settling("a", "r", ran, 50)), kcwpb.Code_CODE_FENCED)
			got := l.is(l.open(opening("a", "r", 100)), kcwpb.Code_CODE_BILLED)
			if got.GetOwnerAddress() != "b:1" || got.GetClaim().GetTokens() != 70 {
				l.t.Errorf("result %v", got)
			}
			l.parts(1000, 70, 0, 0, 0)
		}},
		{"adopted from a silent router", func(l *ledger) {
			l.is(l.open(opening("a", "r", 100)), ok)
			op := opening("b", "r", 100)
			op.SilentRouter, op.SilentIncarnation = "a", 1
			l.is(l.open(op), ok)
		}},
		{"not adopted if not repeatable", func(l *ledger) {
			op := opening("a", "r", 100)
			op.Repeatable = false
			l.is(l.open(op), ok)
			l.at += int64(time.Hour)
			retry := opening("b", "r", 100)
			retry.SilentRouter, retry.SilentIncarnation = "a", 1
			l.is(l.open(retry), kcwpb.Code_CODE_IN_PROGRESS)
			l.is(l.register("a", 2), ok)
			l.is(l.open(retry), kcwpb.Code_CODE_OUTCOME_UNKNOWN)
			l.parts(1000, 0, 100, 0, 0)
			l.is(l.resolve("o-1", "r", ran, 101), kcwpb.Code_CODE_INVALID)
			l.is(l.resolve("o-1", "r", ran, 80), ok)
			l.is(l.resolve("o-1", "r", ran, 80), repeated)
			l.is(l.open(retry), kcwpb.Code_CODE_BILLED)
			l.parts(1000, 80, 0, 0, 0)
		}},
		{"another digest", func(l *ledger) {
			op := opening("a", "r", 100)
			op.Digest = digest
			l.is(l.open(op), ok)
			op.Digest = other
			l.is(l.open(op), kcwpb.Code_CODE_MISMATCH)
		}},
		{"not run", func(l *ledger) {
			l.is(l.open(opening("a", "r", 100)), ok)
			l.is(l.settle(settling("a", "r", notRun, 0)), ok)
			l.parts(1000, 0, 0, 0, 0)
			l.is(l.open(opening("b", "r", 100)), ok)
			l.is(l.settle(settling("b", "r", ran, 10)), ok)
			l.parts(1000, 10, 0, 0, 0)
		}},
		{"unknown", func(l *ledger) {
			l.is(l.open(opening("a", "r", 100)), ok)
			l.is(l.settle(settling("a", "r", unknown, 40)), ok)
			l.parts(1000, 0, 40, 0, 0)
			l.is(l.open(opening("b", "r", 100)), ok)
			l.parts(1000, 0, 100, 0, 0)
		}},
		{"late opening", func(l *ledger) {
			op := opening("a", "r", 100)
			op.Attempt = 4
			done := settling("a", "r", notRun, 0)
			done.Attempt = 4
			l.is(l.settle(done), ok)
			l.is(l.open(op), kcwpb.Code_CODE_INVALID)
			l.parts(1000, 0, 0, 0, 0)
			op.Attempt = 5
			l.is(l.open(op), ok)
			l.is(l.settle(done), kcwpb.Code_CODE_FENCED)
			l.parts(1000, 0, 100, 0, 0)
		}},
		{"run at a router that lost the claim", func(l *ledger) {
			l.is(l.open(opening("a", "r", 100)), ok)
			l.at += int64(time.Minute)
			l.is(l.open(opening("b", "r", 100)), ok)
			l.is(l.settle(settling("a", "r", ran, 40)), kcwpb.Code_CODE_FENCED)
			l.is(l.settle(settling("b", "r", notRun, 0)), ok)
			l.is(l.settle(settling("a", "r", ran, 40)), ok)
			l.is(l.settle(settling("b", "r", ran, 40)), kcwpb.Code_CODE_FENCED)
			l.parts(1000, 40, 0, 0, 0)
		}},
		{"copy of an opening that has ended", func(l *ledger) {
			late := opening("a", "r", 100)
			late.Serial, late.Over = 1, 1
			next := opening("a", "q", 10)
			next.Serial, next.Over = 2, 2
			l.is(l.open(next), ok)
			l.is(l.open(late), kcwpb.Code_CODE_INVALID)
			l.parts(1000, 0, 10, 0, 0)
			l.is(l.register("a", 2), ok)
			late.Incarnation = 2
			l.is(l.open(late), ok)
		}},
		{"fenced opener", func(l *ledger) {
			l.is(l.register("a", 2), ok)
			l.is(l.open(opening("a", "r", 100)), kcwpb.Code_CODE_FENCED)
			l.is(l.register("a", 1), kcwpb.Code_CODE_FENCED)
			l.is(l.open(opening("c", "r", 100)), kcwpb.Code_CODE_NOT_FOUND)
		}},
		{"settled by the newer incarnation", func(l *ledger) {
			l.is(l.open(opening("a", "r", 100)), ok)
			l.is(l.register("a", 2), ok)
			op := settling("a", "r", notRun, 0)
			op.Incarnation = 2
			l.is(l.settle(op), kcwpb.Code_CODE_FENCED)
			l.parts(1000, 0, 100, 0, 0)
			op = settling("a", "r", ran, 30)
			op.Incarnation = 2
			l.is(l.settle(op), ok)
			l.parts(1000, 30, 0, 0, 0)
		}},
		{"retired", func(l *ledger) {
			l.is(l.open(opening("a", "r", 100)), ok)
			l.is(l.retire("x", "a", 1), ok)
			l.is(l.retire("x", "a", 1), repeated)
			l.is(l.register("a", 1), kcwpb.Code_CODE_FENCED)
			l.is(l.open(opening("b", "r", 100)), ok)
			l.parts(1000, 0, 100, 0, 0)
			l.is(l.register("a", 2), ok)
		}},
	} {
		t.Run(test.name, func(t *testing.T) { test.run(stocked(t)) })
	}
}

func TestGrants(t *testing.T) {
	for _, test := range []struct {
		name string
		run  func(l *ledger)
	}{
		{"sequence", func(l *ledger) {
			l.is(l.draw("a", 500, 1, 4), ok)
			l.parts(1000, 0, 0, 250, 0)
			if got := l.is(l.draw("a", 500, 1, 4), repeated); got.GetTokens() != 250 {
				l.t.Errorf("a resend gave %d", got.GetTokens())
			}
			l.is(l.draw("a", 500, 3, 4), kcwpb.Code_CODE_INVALID)
			l.is(l.giveBack("a", 251, 2), kcwpb.Code_CODE_INVALID)
			l.is(l.giveBack("a", 50, 2), ok)
			l.is(l.giveBack("a", 50, 2), repeated)
			l.parts(1000, 0, 0, 200, 0)
		}},
		{"shrinks", func(l *ledger) {
			l.is(l.draw("a", 10_000, 1, 2), ok)
			l.is(l.draw("a", 10_000, 2, 2), ok)
			l.parts(1000, 0, 0, 750, 0)
		}},
		{"bill away from the ledger", func(l *ledger) {
			l.is(l.draw("a", 100, 1, 1), ok)
			op := settling("a", "r", ran, 40)
			op.FromGrant = true
			l.is(l.settle(op), ok)
			l.is(l.settle(op), repeated)
			l.parts(1000, 40, 0, 60, 0)
			l.is(l.open(opening("b", "r", 10)), kcwpb.Code_CODE_BILLED)
		}},
		{"bill beside an open claim of one's own", func(l *ledger) {
			l.is(l.draw("a", 100, 1, 1), ok)
			l.is(l.open(opening("a", "r", 50)), ok)
			op := settling("a", "r", ran, 40)
			op.FromGrant = true
			l.is(l.settle(op), ok)
			l.parts(1000, 40, 0, 60, 0)
		}},
		{"bill beside another's claim", func(l *ledger) {
			l.is(l.draw("a", 100, 1, 1), ok)
			l.is(l.open(opening("b", "r", 50)), ok)
			op := settling("a", "r", ran, 40)
			op.FromGrant = true
			l.is(l.settle(op), ok)
			l.is(l.settle(settling("b", "r", ran, 40)), kcwpb.Code_CODE_FENCED)
			l.parts(1000, 40, 0, 60, 0)
		}},
		{"billed before by another", func(l *ledger) {
			l.is(l.draw("a", 100, 1, 1), ok)
			l.is(l.open(opening("b", "r", 50)), ok)
			l.is(l.settle(settling("b", "r", ran, 20)), ok)
			op := settling("a", "r", ran, 40)
			op.FromGrant = true
			l.is(l.settle(op), kcwpb.Code_CODE_BILLED)
			l.parts(1000, 20, 0, 100, 0)
		}},
		{"more than the grant", func(l *ledger) {
			l.is(l.draw("a", 100, 1, 1), ok)
			l.is(l.open(opening("b", "r", 900)), ok)
			op := settling("a", "q", ran, 101)
			op.FromGrant = true
			l.is(l.settle(op), kcwpb.Code_CODE_EXHAUSTED)
			l.parts(1000, 0, 900, 100, 0)
		}},
		{"orphaned", func(l *ledger) {
			l.is(l.draw("a", 100, 1, 1), ok)
			l.is(l.release("", "a"), kcwpb.Code_CODE_INVALID)
			l.is(l.register("a", 2), ok)
			l.is(l.draw("a", 100, 2, 1), kcwpb.Code_CODE_FENCED)
			op := settling("a", "r", ran, 40)
			op.FromGrant, op.Incarnation = true, 2
			l.is(l.settle(op), ok)
			l.parts(1000, 40, 0, 60, 0)
			if got := l.is(l.release("o", "a"), ok); got.GetTokens() != 60 {
				l.t.Errorf("released %d", got.GetTokens())
			}
			l.is(l.release("o", "a"), repeated)
			l.is(l.release("", "a"), kcwpb.Code_CODE_NOT_FOUND)
			l.parts(1000, 40, 0, 0, 0)
		}},
		{"shortfall out of the grant", func(l *ledger) {
			l.is(l.draw("a", 100, 1, 1), ok)
			l.is(l.open(opening("b", "q", 870)), ok)
			op := opening("a", "r", 50)
			l.is(l.open(op), kcwpb.Code_CODE_EXHAUSTED)
			op.UseGrant = true
			got := l.is(l.open(op), ok)
			if got.GetClaim().GetGrantTokens() != 20 || got.GetGrant().GetTokens() != 80 {
				l.t.Errorf("result %v", got)
			}
			l.parts(1000, 0, 920, 80, 0)
		}},
		{"shortfall back into the grant", func(l *ledger) {
			l.is(l.draw("a", 100, 1, 1), ok)
			l.is(l.open(opening("b", "q", 870)), ok)
			op := opening("a", "r", 50)
			op.UseGrant = true
			l.is(l.open(op), ok)
			l.parts(1000, 0, 920, 80, 0)
			bill := settling("a", "r", ran, 40)
			bill.FromGrant = true
			l.is(l.settle(bill), ok)
			l.parts(1000, 40, 870, 60, 0)
		}},
		{"withheld from what returns", func(l *ledger) {
			l.is(l.draw("a", 800, 1, 1), ok)
			l.is(l.topUp("t", -500), ok)
			l.parts(800, 0, 0, 800, 300)
			l.is(l.draw("b", 800, 1, 1), ok)
			l.is(l.giveBack("a", 400, 2), ok)
			l.parts(500, 0, 0, 400, 0)
		}},
	} {
		t.Run(test.name, func(t *testing.T) { test.run(stocked(t)) })
	}
}
