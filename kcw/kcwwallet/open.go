package kcwwallet

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"kingcupwick.example/kcw/kcwpb"
)

// Open opens a claim before its request is dispatched. It submits the claim to
// the ledger. If the ledger does not answer within LedgerDeadline, the request is
// repeatable and the router's grant covers it, the claim is opened on the grant.
// Requests that the grant can't serve wait for LedgerPatience, or fail at once if
// the ledger has not answered for that long already. The request may run only if
// the result's code is CODE_OK or CODE_REPEATED. An *Error of KindNotRun means
// that it must not run; the caller then settles the claim as not run.
func (w *Wallet) Open(ctx context.Context, claim *kcwpb.OpenClaim) (*kcwpb.Result, error) {
	e, result := w.prepareOpen(claim)
	if result != nil {
		return result, nil
	}
	if e.submitted {
		answer, err := w.submit(ctx, &kcwpb.Command{Op: &kcwpb.Command_OpenClaim{OpenClaim: e.open}}, e.timeout)
		if err == nil {
			return w.finishOpen(e, answer), nil
		}
	}
	if !w.openFromGrant(e, ctx.Err() == nil) {
		return nil, &Error{Op: "Open", Kind: KindNotRun, Err: eris.New("the ledger does not answer and the grant does not cover the request")}
	}
	record := &kcwpb.JournalRecord{Record: &kcwpb.JournalRecord_Opened{Opened: e.open}}
	if err := w.appendRecord(record); err != nil {
		w.cancelLocal(e)
		return nil, &Error{Op: "Open", Kind: KindNotRun, Err: eris.Wrap(err, "journal the claim")}
	}
	return w.finishLocalOpen(e), nil
}

// prepareOpen registers the claim and reserves the tokens that the ledger may take
// from the grant for it. It returns a result if the claim can't be opened.
func (w *Wallet) prepareOpen(claim *kcwpb.OpenClaim) (*entry, *kcwpb.Result) {
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
		return nil, w.conflictResult(old, now)
	}
	b := w.balance(e.name.customer)
	b.demand = w.cfg.Policy.Add(b.demand, claim.GetTokens(), now)
	w.claims[e.name] = e
	isCovered := w.cfg.Journal != nil && claim.GetRepeatable() && claim.GetTokens() <= b.free
	e.timeout = w.cfg.LedgerPatience
	if isCovered {
		e.timeout = w.cfg.LedgerDeadline
	}
	if e.submitted = w.shouldSubmit(now, isCovered); e.submitted {
		e.hold = min(b.free, claim.GetTokens())
		e.open.UseGrant = e.hold > 0
		b.reserve(e.hold)
		b.opensInFlight++
		b.version++
		w.serial++
		w.inFlight[w.serial] = true
		e.open.Serial, e.open.Over = w.serial, w.oldestInFlight()
	}
	return e, nil
}

// conflictResult returns the result of opening a claim whose customer and request
// the wallet has registered already.
func (w *Wallet) conflictResult(old *entry, now time.Time) *kcwpb.Result {
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

// finishOpen processes the ledger's answer to the opening of e and forgets e: if the
// claim was opened, the ledger alone holds it.
func (w *Wallet) finishOpen(e *entry, result *kcwpb.Result) *kcwpb.Result {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.inFlight, e.open.GetSerial())
	b := w.balance(e.name.customer)
	b.opensInFlight--
	b.releaseHold(e.hold, grantTokensTaken(e, result))
	w.forget(e)
	if result.GetCode() == kcwpb.Code_CODE_FENCED {
		w.fenced = true
	}
	return result
}

// grantTokensTaken returns the tokens that the ledger took from the grant to open
// e, by the claim in result. It is zero if that claim belongs to another attempt.
func grantTokensTaken(e *entry, result *kcwpb.Result) int64 {
	c := result.GetClaim()
	if c.GetRouter() != e.open.GetRouter() || c.GetIncarnation() != e.open.GetIncarnation() || c.GetAttempt() != e.open.GetAttempt() {
		return 0
	}
	return c.GetGrantTokens()
}

// openFromGrant reserves the tokens of e on the grant. It returns false if the
// request may not run without the ledger, or if isWaiting is false because the
// caller no longer waits.
func (w *Wallet) openFromGrant(e *entry, isWaiting bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.balance(e.name.customer)
	if e.submitted {
		delete(w.inFlight, e.open.GetSerial())
		b.opensInFlight--
	}
	more := e.open.GetTokens() - e.hold
	if !isWaiting || !e.open.GetRepeatable() || w.cfg.Journal == nil || w.fenced || more > b.free {
		e.busy = false
		return false
	}
	b.reserve(more)
	b.localClaims++
	b.version++
	e.hold = e.open.GetTokens()
	e.local = true
	return true
}

// cancelLocal reverts openFromGrant after the journal failed. The reservation
// remains if the ledger may have opened the claim.
func (w *Wallet) cancelLocal(e *entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.balance(e.name.customer)
	b.localClaims--
	e.local, e.busy = false, false
	if !e.submitted {
		b.releaseHold(e.hold, 0)
		e.hold = 0
	}
}

// finishLocalOpen returns the result of opening e on the grant.
func (w *Wallet) finishLocalOpen(e *entry) *kcwpb.Result {
	w.mu.Lock()
	defer w.mu.Unlock()
	e.busy = false
	return &kcwpb.Result{
		Code:   kcwpb.Code_CODE_OK,
		Tokens: e.hold,
		Claim:  e.claim(kcwpb.ClaimState_CLAIM_STATE_OPEN, e.hold),
	}
}
