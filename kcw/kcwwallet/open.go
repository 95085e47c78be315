package kcwwallet

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"kingcupwick.example/kcw/kcwpb"
)

// Open opens a claim before its request is dispatched: at the ledger, or, if
// the ledger does not answer within the deadline, out of the router's grant if
// that covers the request, which may be repeated. Other requests wait longer for the
// ledger, unless it has been silent already. The request may run only if the result's code is
// CODE_OK or CODE_REPEATED. An *Error of KindNotRun means that it must not run;
// the caller then settles the claim as not run.
func (w *Wallet) Open(ctx context.Context, claim *kcwpb.OpenClaim) (*kcwpb.Result, error) {
	e, result := w.begin(claim)
	if result != nil {
		return result, nil
	}
	if e.asked {
		answer, err := w.submit(ctx, &kcwpb.Command{Op: &kcwpb.Command_OpenClaim{OpenClaim: e.open}}, e.patience)
		if err == nil {
			return w.opened(e, answer), nil
		}
	}
	if !w.fallBack(e, ctx.Err() == nil) {
		return nil, &Error{Op: "Open", Kind: KindNotRun, Err: eris.New("the ledger does not answer and the grant does not cover the request")}
	}
	record := &kcwpb.JournalRecord{Record: &kcwpb.JournalRecord_Opened{Opened: e.open}}
	if err := w.journaled(record); err != nil {
		w.withdraw(e)
		return nil, &Error{Op: "Open", Kind: KindNotRun, Err: eris.Wrap(err, "journal the claim")}
	}
	return w.started(e), nil
}

// begin notes the claim, and holds what the ledger may take from the grant for
// it. It returns a result if the claim can't be opened.
func (w *Wallet) begin(claim *kcwpb.OpenClaim) (*entry, *kcwpb.Result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fenced {
		return nil, &kcwpb.Result{Code: kcwpb.Code_CODE_FENCED, Detail: "the router incarnation was replaced"}
	}
	if w.closing {
		return nil, &kcwpb.Result{Code: kcwpb.Code_CODE_FENCED, Detail: "the router is stopping"}
	}
	now := w.cfg.Now()
	e := &entry{name: name{claim.GetCustomer(), claim.GetRequest()}, open: claim, busy: true}
	if old := w.claims[e.name]; old != nil {
		return nil, w.contested(old, now)
	}
	p := w.balance(e.name.customer)
	p.demand = w.cfg.Policy.Add(p.demand, claim.GetTokens(), now)
	w.claims[e.name] = e
	isCovered := w.cfg.Journal != nil && claim.GetRepeatable() && claim.GetTokens() <= p.free
	e.patience = w.cfg.LedgerPatience
	if isCovered {
		e.patience = w.cfg.LedgerDeadline
	}
	if e.asked = w.asks(now, isCovered); e.asked {
		e.hold = min(p.free, claim.GetTokens())
		e.open.UseGrant = e.hold > 0
		p.take(e.hold)
		p.asking++
		p.takes++
		w.serial++
		w.sent[w.serial] = true
		e.open.Serial, e.open.Over = w.serial, w.over()
	}
	return e, nil
}

// contested returns the result of opening a claim that the wallet has.
func (w *Wallet) contested(old *entry, now time.Time) *kcwpb.Result {
	if old.settle.GetOutcome() == kcwpb.Outcome_OUTCOME_RAN {
		return &kcwpb.Result{
			Code:   kcwpb.Code_CODE_BILLED,
			Detail: "the request is billed",
			Claim:  old.claim(kcwpb.ClaimState_CLAIM_STATE_BILLED, old.settle.GetTokens()),
			Tokens: old.settle.GetTokens(),
		}
	}
	return &kcwpb.Result{
		Code:    kcwpb.Code_CODE_IN_PROGRESS,
		Detail:  "an earlier try is not settled",
		Claim:   old.claim(kcwpb.ClaimState_CLAIM_STATE_OPEN, old.hold),
		RetryAt: now.Add(w.cfg.ProbeAfter).UnixNano(),
	}
}

// opened takes the ledger's answer to the opening of e.
func (w *Wallet) opened(e *entry, result *kcwpb.Result) *kcwpb.Result {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.sent, e.open.GetSerial())
	p := w.balance(e.name.customer)
	p.asking--
	p.give(e.hold, taken(e, result))
	w.drop(e)
	if result.GetCode() == kcwpb.Code_CODE_FENCED {
		w.fenced = true
	}
	return result
}

// taken returns the tokens that the opening of e took out of the grant at the
// ledger, as result shows.
func taken(e *entry, result *kcwpb.Result) int64 {
	c := result.GetClaim()
	if c.GetRouter() != e.open.GetRouter() || c.GetIncarnation() != e.open.GetIncarnation() || c.GetAttempt() != e.open.GetAttempt() {
		return 0
	}
	return c.GetGrantTokens()
}

// fallBack holds the tokens of e out of the grant. It returns false if the
// request may not run without the ledger or is wanted no longer.
func (w *Wallet) fallBack(e *entry, wanted bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.balance(e.name.customer)
	if e.asked {
		delete(w.sent, e.open.GetSerial())
		p.asking--
	}
	more := e.open.GetTokens() - e.hold
	if !wanted || !e.open.GetRepeatable() || w.cfg.Journal == nil || w.fenced || more > p.free {
		e.busy = false
		return false
	}
	p.take(more)
	p.local++
	p.takes++
	e.hold = e.open.GetTokens()
	e.local = true
	return true
}

// withdraw takes back the opening of e out of the grant.
func (w *Wallet) withdraw(e *entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.balance(e.name.customer)
	p.local--
	e.local, e.busy = false, false
	if !e.asked {
		p.give(e.hold, 0)
		e.hold = 0
	}
}

// started returns the result of opening e out of the grant.
func (w *Wallet) started(e *entry) *kcwpb.Result {
	w.mu.Lock()
	defer w.mu.Unlock()
	e.busy = false
	return &kcwpb.Result{
		Code:   kcwpb.Code_CODE_OK,
		Tokens: e.hold,
		Claim:  e.claim(kcwpb.ClaimState_CLAIM_STATE_OPEN, e.hold),
	}
}
