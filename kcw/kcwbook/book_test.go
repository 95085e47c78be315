package kcwbook_test

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"kingcupwick.example/kcw/kcwbook"
	"kingcupwick.example/kcw/kcwpb"
)

const (
	customer = "granite-pew"
	start    = int64(1_700_000_000_000_000_000)
)

// ledger drives one book.
type ledger struct {
	t     testing.TB
	book  *kcwbook.Book
	index uint64
	at    int64
}

func newLedger(t testing.TB) *ledger {
	return &ledger{t: t, book: kcwbook.New(), at: start}
}

// do applies one operation, checks the invariant and returns the result.
func (l *ledger) do(command *kcwpb.Command) *kcwpb.Result {
	l.t.Helper()
	command.At = l.at
	l.index++
	data, err := proto.Marshal(command)
	if err != nil {
		l.t.Fatal(err)
	}
	result := new(kcwpb.Result)
	if err := proto.Unmarshal(l.book.Apply(l.index, data), result); err != nil {
		l.t.Fatal(err)
	}
	if err := l.book.Check(); err != nil {
		l.t.Fatalf("after %v: %v", command, err)
	}
	return result
}

func (l *ledger) put(change string, base uint64, contract *kcwpb.Contract) *kcwpb.Result {
	l.t.Helper()
	return l.do(&kcwpb.Command{Op: &kcwpb.Command_PutContract{PutContract: &kcwpb.PutContract{Change: change, Base: base, Contract: contract}}})
}

func (l *ledger) topUp(change string, tokens int64) *kcwpb.Result {
	l.t.Helper()
	return l.do(&kcwpb.Command{Op: &kcwpb.Command_TopUp{TopUp: &kcwpb.TopUp{Change: change, Customer: customer, Tokens: tokens}}})
}

func (l *ledger) register(router string, incarnation uint64) *kcwpb.Result {
	l.t.Helper()
	return l.do(&kcwpb.Command{Op: &kcwpb.Command_RegisterRouter{RegisterRouter: &kcwpb.RegisterRouter{
		Router: router, Incarnation: incarnation, Address: router + ":1",
	}}})
}

func (l *ledger) retire(change, router string, incarnation uint64) *kcwpb.Result {
	l.t.Helper()
	return l.do(&kcwpb.Command{Op: &kcwpb.Command_RetireRouter{RetireRouter: &kcwpb.RetireRouter{
		Change: change, Router: router, Incarnation: incarnation,
	}}})
}

// opening returns an opening of a repeatable request by incarnation 1.
func opening(router, request string, tokens int64) *kcwpb.OpenClaim {
	return &kcwpb.OpenClaim{
		Customer: customer, Request: request, Tokens: tokens, Router: router, Incarnation: 1,
		Repeatable: true, LeaseNanos: int64(30 * time.Second),
	}
}

func (l *ledger) open(op *kcwpb.OpenClaim) *kcwpb.Result {
	l.t.Helper()
	return l.do(&kcwpb.Command{Op: &kcwpb.Command_OpenClaim{OpenClaim: op}})
}

func settling(router, request string, outcome kcwpb.Outcome, tokens int64) *kcwpb.SettleClaim {
	return &kcwpb.SettleClaim{
		Customer: customer, Request: request, Router: router, Incarnation: 1, Outcome: outcome, Tokens: tokens, Repeatable: true,
	}
}

func (l *ledger) settle(op *kcwpb.SettleClaim) *kcwpb.Result {
	l.t.Helper()
	return l.do(&kcwpb.Command{Op: &kcwpb.Command_SettleClaim{SettleClaim: op}})
}

func (l *ledger) draw(router string, tokens int64, sequence uint64, divisor int64) *kcwpb.Result {
	l.t.Helper()
	return l.do(&kcwpb.Command{Op: &kcwpb.Command_DrawGrant{DrawGrant: &kcwpb.DrawGrant{
		Customer: customer, Router: router, Incarnation: 1, Tokens: tokens, Sequence: sequence, Divisor: divisor,
	}}})
}

func (l *ledger) giveBack(router string, tokens int64, sequence uint64) *kcwpb.Result {
	l.t.Helper()
	return l.do(&kcwpb.Command{Op: &kcwpb.Command_ReturnGrant{ReturnGrant: &kcwpb.ReturnGrant{
		Customer: customer, Router: router, Incarnation: 1, Tokens: tokens, Sequence: sequence,
	}}})
}

func (l *ledger) release(change, router string) *kcwpb.Result {
	l.t.Helper()
	return l.do(&kcwpb.Command{Op: &kcwpb.Command_ReleaseGrant{ReleaseGrant: &kcwpb.ReleaseGrant{
		Change: change, Customer: customer, Router: router, Incarnation: 1,
	}}})
}

func (l *ledger) resolve(change, request string, outcome kcwpb.Outcome, tokens int64) *kcwpb.Result {
	l.t.Helper()
	return l.do(&kcwpb.Command{Op: &kcwpb.Command_ResolveClaim{ResolveClaim: &kcwpb.ResolveClaim{
		Change: change, Customer: customer, Request: request, Outcome: outcome, Tokens: tokens,
	}}})
}

// is fails the test unless result has the code.
func (l *ledger) is(result *kcwpb.Result, code kcwpb.Code) *kcwpb.Result {
	l.t.Helper()
	if result.GetCode() != code {
		l.t.Fatalf("got %s (%s), want %s", result.GetCode(), result.GetDetail(), code)
	}
	return result
}

// parts fails the test unless the budget has the parts.
func (l *ledger) parts(prepaid, billed, reserved, granted, withheld int64) {
	l.t.Helper()
	b := l.book.Budget(customer)
	got := fmt.Sprint(b.GetPrepaid(), b.GetBilled(), b.GetReserved(), b.GetGranted(), b.GetWithheld())
	if want := fmt.Sprint(prepaid, billed, reserved, granted, withheld); got != want {
		l.t.Fatalf("prepaid, billed, reserved, granted, withheld: got %s, want %s", got, want)
	}
}

// stocked returns a ledger with a contract of 1,000 tokens and routers a and b.
func stocked(t testing.TB) *ledger {
	t.Helper()
	l := newLedger(t)
	l.is(l.put("c-1", 0, &kcwpb.Contract{Customer: customer, PrepaidTokens: 1000}), ok)
	l.is(l.register("a", 1), ok)
	l.is(l.register("b", 1), ok)
	return l
}

const (
	ok       = kcwpb.Code_CODE_OK
	repeated = kcwpb.Code_CODE_REPEATED
	ran      = kcwpb.Outcome_OUTCOME_RAN
	notRun   = kcwpb.Outcome_OUTCOME_NOT_RUN
	unknown  = kcwpb.Outcome_OUTCOME_UNKNOWN
)

func TestMalformed(t *testing.T) {
	l := stocked(t)
	before := snapshot(t, l.book)
	for _, data := range [][]byte{nil, {0xff}, bytes.Repeat([]byte{0x0a}, 9), []byte("hello")} {
		result := new(kcwpb.Result)
		if err := proto.Unmarshal(l.book.Apply(9, data), result); err != nil {
			t.Fatal(err)
		}
		l.is(result, kcwpb.Code_CODE_INVALID)
	}
	for _, command := range []*kcwpb.Command{
		{},
		{At: -1, Op: &kcwpb.Command_TopUp{}},
		{Op: &kcwpb.Command_PutContract{PutContract: &kcwpb.PutContract{Change: "c"}}},
		{Op: &kcwpb.Command_PutContract{PutContract: &kcwpb.PutContract{Change: "c", Contract: &kcwpb.Contract{Customer: "Upper"}}}},
		{Op: &kcwpb.Command_RegisterRouter{RegisterRouter: &kcwpb.RegisterRouter{Router: "a"}}},
		{Op: &kcwpb.Command_OpenClaim{OpenClaim: &kcwpb.OpenClaim{Customer: customer, Request: "r", Tokens: -1}}},
		{Op: &kcwpb.Command_OpenClaim{OpenClaim: &kcwpb.OpenClaim{Customer: customer, Request: "r", Digest: []byte{1}}}},
		{Op: &kcwpb.Command_SettleClaim{SettleClaim: &kcwpb.SettleClaim{Customer: customer, Request: "r"}}},
		{Op: &kcwpb.Command_DrawGrant{DrawGrant: &kcwpb.DrawGrant{Customer: customer, Router: "a", Incarnation: 1}}},
		{Op: &kcwpb.Command_ResolveClaim{ResolveClaim: &kcwpb.ResolveClaim{Change: "c", Outcome: unknown}}},
	} {
		data, err := proto.Marshal(command)
		if err != nil {
			t.Fatal(err)
		}
		result := new(kcwpb.Result)
		if err := proto.Unmarshal(l.book.Apply(9, data), result); err != nil {
			t.Fatal(err)
		}
		l.is(result, kcwpb.Code_CODE_INVALID)
	}
	if after := snapshot(t, l.book); !bytes.Equal(before, after) {
		t.Error("a malformed command changed the book")
	}
}

func TestContractChanges(t *testing.T) {
	l := newLedger(t)
	key := bytes.Repeat([]byte{7}, 32)
	first := &kcwpb.Contract{Customer: customer, PrepaidTokens: 100, KeyHashes: [][]byte{key}}
	if got := l.is(l.put("c-1", 0, first), ok); got.GetRevision() != 1 {
		t.Fatalf("revision %d", got.GetRevision())
	}
	if got := l.is(l.put("c-1", 0, first), repeated); got.GetRevision() != 1 {
		t.Fatalf("a resend gave revision %d", got.GetRevision())
	}
	l.is(l.put("c-1", 0, &kcwpb.Contract{Customer: customer, PrepaidTokens: 7}), kcwpb.Code_CODE_MISMATCH)
	won := l.is(l.put("c-2", 1, &kcwpb.Contract{Customer: customer, PrepaidTokens: 200, KeyHashes: [][]byte{key}}), ok)
	lost := l.is(l.put("c-3", 1, &kcwpb.Contract{Customer: customer, PrepaidTokens: 300}), kcwpb.Code_CODE_STALE_REVISION)
	if lost.GetRevision() != won.GetRevision() || lost.GetContract().GetChange() != "c-2" {
		t.Fatalf("the loser was shown %v", lost)
	}
	l.is(l.put("c-1", 0, &kcwpb.Contract{Customer: "kviitung", KeyHashes: [][]byte{key}}), kcwpb.Code_CODE_INVALID)
	if l.book.ContractByKey(key).GetCustomer() != customer {
		t.Error("the key is not found")
	}
	l.is(l.put("c-4", 2, &kcwpb.Contract{Customer: customer, PrepaidTokens: 200, Deleted: true}), ok)
	if l.book.ContractByKey(key) != nil {
		t.Error("the key of a deleted contract is found")
	}
	l.is(l.put("c-1", 0, &kcwpb.Contract{Customer: "kviitung", KeyHashes: [][]byte{key}}), ok)
	list, revision := l.book.Since(2)
	if len(list) != 2 || revision != 4 || !list[0].GetDeleted() || list[1].GetCustomer() != "kviitung" {
		t.Errorf("since 2: %v, %d", list, revision)
	}
	if changes := l.book.Changes(customer); len(changes) != 3 || changes[2].GetChange() != "c-4" {
		t.Errorf("changes %v", changes)
	}
}

func TestReduction(t *testing.T) {
	l := stocked(t)
	l.is(l.open(opening("a", "r-1", 600)), ok)
	l.is(l.topUp("t-1", -700), ok)
	l.parts(600, 0, 600, 0, 300)
	l.is(l.topUp("t-1", -700), repeated)
	l.parts(600, 0, 600, 0, 300)
	l.is(l.open(opening("a", "r-2", 1)), kcwpb.Code_CODE_EXHAUSTED)
	l.is(l.topUp("t-2", -301), kcwpb.Code_CODE_INVALID)
	l.is(l.topUp("t-3", 100), ok)
	l.parts(600, 0, 600, 0, 200)
	l.is(l.settle(settling("a", "r-1", ran, 500)), ok)
	l.parts(500, 500, 0, 0, 100)
	l.is(l.topUp("t-4", 1<<62), kcwpb.Code_CODE_INVALID)
	if contract := l.book.Contract(customer); contract.GetPrepaidTokens() != 400 || contract.GetRevision() != 3 {
		t.Errorf("contract %v", contract)
	}
}

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
			if got.GetOwnerAddress() != "a:1" || got.GetRetryAt() != start+int64(30*time.Second) {
				l.t.Errorf("result %v", got)
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

func TestLimits(t *testing.T) {
	l := newLedger(t)
	l.is(l.put("c-1", 0, &kcwpb.Contract{
		Customer: customer, PrepaidTokens: 1_000_000,
		Limits: &kcwpb.Limits{OpenRequests: 2, RequestsPerMinute: 4, TokensPerMinute: 1000},
	}), ok)
	l.is(l.register("a", 1), ok)
	l.is(l.register("b", 1), ok)
	l.is(l.open(opening("a", "r-1", 500)), ok)
	l.is(l.open(opening("b", "r-2", 400)), ok)
	l.is(l.open(opening("b", "r-3", 10)), kcwpb.Code_CODE_LIMITED)
	l.is(l.settle(settling("a", "r-1", ran, 300)), ok)
	got := l.is(l.open(opening("b", "r-3", 500)), kcwpb.Code_CODE_LIMITED)
	if want := l.at + int64(12*time.Second); got.GetRetryAt() != want {
		t.Errorf("200 tokens are owed: retry at %d, want %d", got.GetRetryAt(), want)
	}
	l.at = got.GetRetryAt() - 1
	l.is(l.open(opening("b", "r-3", 500)), kcwpb.Code_CODE_LIMITED)
	l.at++
	l.is(l.open(opening("b", "r-3", 500)), ok)
	for _, request := range []string{"r-1", "r-2", "r-3"} {
		l.settle(settling("b", request, ran, 0))
	}
	l.is(l.open(opening("b", "r-4", 0)), ok)
	got = l.is(l.open(opening("b", "r-5", 0)), kcwpb.Code_CODE_LIMITED)
	if want := start + int64(15*time.Second); got.GetRetryAt() != want {
		t.Errorf("the fifth request: retry at %d, want %d", got.GetRetryAt(), want)
	}
}

func TestRetention(t *testing.T) {
	l := stocked(t)
	once := opening("a", "once", 10)
	once.Repeatable = false
	for _, op := range []*kcwpb.OpenClaim{opening("a", "again", 10), once} {
		l.is(l.open(op), ok)
		l.is(l.settle(settling("a", op.GetRequest(), ran, 10)), ok)
	}
	l.is(l.draw("b", 100, 1, 1), ok)
	l.at += int64(time.Hour)
	l.is(l.open(opening("a", "again", 10)), kcwpb.Code_CODE_BILLED)
	l.is(l.giveBack("b", 0, 2), ok)
	l.is(l.open(opening("a", "again", 10)), ok)
	l.is(l.open(once), kcwpb.Code_CODE_BILLED)
	l.at += int64(31 * 24 * time.Hour)
	l.is(l.giveBack("b", 100, 3), ok)
	l.is(l.open(once), ok)
}

func TestTimeNeverGoesBack(t *testing.T) {
	l := stocked(t)
	l.at += int64(time.Minute)
	l.is(l.open(opening("a", "r", 1)), ok)
	l.at -= int64(time.Hour)
	l.is(l.open(opening("a", "q", 1)), ok)
	if r, q := l.book.Claim(customer, "r"), l.book.Claim(customer, "q"); r.GetOpenedAt() != q.GetOpenedAt() {
		t.Errorf("opened at %d then %d", r.GetOpenedAt(), q.GetOpenedAt())
	}
}

// snapshot returns the book's state.
func snapshot(t testing.TB, book *kcwbook.Book) []byte {
	t.Helper()
	var out bytes.Buffer
	if err := book.Freeze()(&out); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

func TestRestoreRefusesDamage(t *testing.T) {
	l := stocked(t)
	l.is(l.open(opening("a", "r", 100)), ok)
	l.is(l.draw("a", 100, 1, 1), ok)
	whole := snapshot(t, l.book)
	book := kcwbook.New()
	refuse := func(name string, data []byte) {
		var typed *kcwbook.Error
		if err := book.Restore(bytes.NewReader(data)); !errors.As(err, &typed) || typed.Kind != kcwbook.KindDamaged {
			t.Errorf("%s: error %v", name, err)
		}
	}
	for i := range whole {
		refuse(fmt.Sprintf("cut at %d", i), whole[:i])
		for bit := range 8 {
			flipped := bytes.Clone(whole)
			flipped[i] ^= 1 << bit
			refuse(fmt.Sprintf("bit %d of byte %d flipped", bit, i), flipped)
		}
	}
	refuse("byte added", append(bytes.Clone(whole), 0))
	if book.Revision() != 0 {
		t.Error("a refused snapshot changed the book")
	}
	if err := book.Restore(bytes.NewReader(whole)); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(whole, snapshot(t, book)) {
		t.Error("the restored book differs")
	}
}
