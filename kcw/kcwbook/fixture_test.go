package kcwbook_test

import (
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

// ledger applies commands to one book in a test.
type ledger struct {
	t     testing.TB
	book  *kcwbook.Book
	index uint64
	now   int64
}

func newLedger(t testing.TB) *ledger {
	return &ledger{t: t, book: kcwbook.New(), now: start}
}

// do applies one operation, checks the invariant and returns the result.
func (l *ledger) do(command *kcwpb.Command) *kcwpb.Result {
	l.t.Helper()
	command.At = l.now
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

func (l *ledger) returnGrant(router string, tokens int64, sequence uint64) *kcwpb.Result {
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

// wantCode fails the test unless result has the code. It returns result.
func (l *ledger) wantCode(result *kcwpb.Result, code kcwpb.Code) *kcwpb.Result {
	l.t.Helper()
	if result.GetCode() != code {
		l.t.Fatalf("got %s (%s), want %s", result.GetCode(), result.GetDetail(), code)
	}
	return result
}

// wantBudget fails the test unless the budget has the given parts.
func (l *ledger) wantBudget(prepaid, billed, reserved, granted, withheld int64) {
	l.t.Helper()
	b := l.book.Budget(customer)
	got := fmt.Sprint(b.GetPrepaid(), b.GetBilled(), b.GetReserved(), b.GetGranted(), b.GetWithheld())
	if want := fmt.Sprint(prepaid, billed, reserved, granted, withheld); got != want {
		l.t.Fatalf("prepaid, billed, reserved, granted, withheld: got %s, want %s", got, want)
	}
}

// newStockedLedger returns a ledger with a contract of 1,000 tokens and routers a and b.
func newStockedLedger(t testing.TB) *ledger {
	t.Helper()
	l := newLedger(t)
	l.wantCode(l.put("c-1", 0, &kcwpb.Contract{Customer: customer, PrepaidTokens: 1000}), ok)
	l.wantCode(l.register("a", 1), ok)
	l.wantCode(l.register("b", 1), ok)
	return l
}

const (
	ok       = kcwpb.Code_CODE_OK
	repeated = kcwpb.Code_CODE_REPEATED
	ran      = kcwpb.Outcome_OUTCOME_RAN
	notRun   = kcwpb.Outcome_OUTCOME_NOT_RUN
	unknown  = kcwpb.Outcome_OUTCOME_UNKNOWN
)
