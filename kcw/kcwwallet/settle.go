package kcwwallet

import (
	"context"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"kingcupwick.example/kcw/kcwpb"
)

// Settle closes a claim with its outcome and returns when the outcome is durable,
// either in the ledger or in the journal, from which Reconcile submits it later.
// An *Error of KindNotDurable means that it is in neither; the caller settles
// again.
func (w *Wallet) Settle(ctx context.Context, claim *kcwpb.SettleClaim) (*kcwpb.Result, error) {
	e, result := w.prepareSettle(claim)
	if result != nil {
		return result, nil
	}
	if e.local {
		return w.settleLocal(e, claim)
	}
	settle := proto.Clone(claim).(*kcwpb.SettleClaim)
	if w.prepareSubmit(settle) {
		answer, err := w.submit(ctx, &kcwpb.Command{Op: &kcwpb.Command_SettleClaim{SettleClaim: settle}}, w.cfg.LedgerDeadline)
		if err == nil {
			w.finishSettle(e, answer)
			return answer, nil
		}
	}
	return w.settleInJournal(e, settle)
}

// prepareSubmit sets claim.Over and reports whether the outcome is submitted to the
// ledger before it is written to the journal.
func (w *Wallet) prepareSubmit(claim *kcwpb.SettleClaim) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	claim.Over = w.oldestInFlight()
	return w.cfg.Journal == nil || w.shouldSubmit(w.cfg.Now(), true)
}

// prepareSettle returns the entry of the claim, or a new one if only the ledger
// holds the claim. It returns a result if the claim can't be settled now or
// nothing is left to do.
func (w *Wallet) prepareSettle(claim *kcwpb.SettleClaim) (*entry, *kcwpb.Result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.claims[name{claim.GetCustomer(), claim.GetRequest()}]
	if e == nil || e.open.GetAttempt() != claim.GetAttempt() || e.open.GetIncarnation() != claim.GetIncarnation() {
		if e != nil && e.open == nil && e.settle.GetAttempt() == claim.GetAttempt() && e.settle.GetIncarnation() == claim.GetIncarnation() {
			return nil, e.repeatedResult()
		}
		return &entry{name: name{claim.GetCustomer(), claim.GetRequest()}, busy: true}, nil
	}
	switch {
	case e.settle != nil:
		return nil, e.repeatedResult()
	case e.busy:
		return nil, &kcwpb.Result{Code: kcwpb.Code_CODE_LIMITED, Detail: "the claim is being opened or settled"}
	case !e.submitted && !e.local && claim.GetOutcome() == kcwpb.Outcome_OUTCOME_NOT_RUN:
		w.forget(e)
		return nil, &kcwpb.Result{Code: kcwpb.Code_CODE_OK, Claim: e.claim(kcwpb.ClaimState_CLAIM_STATE_NOT_RUN, 0)}
	case e.local && claim.GetTokens() > e.hold:
		return nil, &kcwpb.Result{Code: kcwpb.Code_CODE_INVALID, Detail: "the tokens pass the reservation"}
	}
	e.busy = true
	return e, nil
}

// repeatedResult returns the result of settling e again.
func (e *entry) repeatedResult() *kcwpb.Result {
	return &kcwpb.Result{
		Code:   kcwpb.Code_CODE_REPEATED,
		Tokens: e.settle.GetTokens(),
		Claim:  e.claim(stateOf(e.settle.GetOutcome()), e.settle.GetTokens()),
	}
}

// stateOf returns the state of a claim that was settled with outcome.
func stateOf(outcome kcwpb.Outcome) kcwpb.ClaimState {
	switch outcome {
	case kcwpb.Outcome_OUTCOME_RAN:
		return kcwpb.ClaimState_CLAIM_STATE_BILLED
	case kcwpb.Outcome_OUTCOME_NOT_RUN:
		return kcwpb.ClaimState_CLAIM_STATE_NOT_RUN
	}
	return kcwpb.ClaimState_CLAIM_STATE_UNKNOWN
}

// finishSettle processes the ledger's answer to the settlement of e, whose opening
// may have taken tokens from the grant.
func (w *Wallet) finishSettle(e *entry, result *kcwpb.Result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if e.hold == 0 {
		w.forget(e)
		return
	}
	// Only a claim of this attempt shows how many tokens its opening took from the
	// grant. Otherwise the whole hold counts as deducted until adoptLedgerView
	// corrects the balance.
	deducted := e.hold
	c := result.GetClaim()
	if c.GetRouter() == e.open.GetRouter() && c.GetIncarnation() == e.open.GetIncarnation() && c.GetAttempt() == e.open.GetAttempt() {
		deducted = c.GetGrantTokens()
	}
	w.balance(e.name.customer).releaseHold(e.hold, deducted)
	e.hold = 0
	w.forget(e)
}

// settleLocal closes a claim that was opened on the grant.
func (w *Wallet) settleLocal(e *entry, claim *kcwpb.SettleClaim) (*kcwpb.Result, error) {
	settle := proto.Clone(claim).(*kcwpb.SettleClaim)
	settle.FromGrant = true
	settle.Repeatable = e.open.GetRepeatable()
	if settle.GetOutcome() == kcwpb.Outcome_OUTCOME_NOT_RUN {
		settle.Tokens = 0
	}
	if settle.GetOutcome() == kcwpb.Outcome_OUTCOME_NOT_RUN && !e.submitted {
		return w.discardLocal(e, settle), nil
	}
	return w.settleInJournal(e, settle)
}

// discardLocal removes a claim that did not run and was never submitted to the
// ledger.
func (w *Wallet) discardLocal(e *entry, settle *kcwpb.SettleClaim) *kcwpb.Result {
	// If this record is lost, the claim is later settled with an unknown outcome,
	// which is safe.
	_ = w.cfg.Journal.Note(&kcwpb.JournalRecord{Record: &kcwpb.JournalRecord_Confirmed{Confirmed: settle}})
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.balance(e.name.customer)
	b.localClaims--
	b.releaseHold(e.hold, 0)
	w.forget(e)
	return &kcwpb.Result{Code: kcwpb.Code_CODE_OK, Claim: e.claim(kcwpb.ClaimState_CLAIM_STATE_NOT_RUN, 0)}
}

// settleInJournal makes the outcome durable in the journal and queues it for
// Reconcile.
func (w *Wallet) settleInJournal(e *entry, settle *kcwpb.SettleClaim) (*kcwpb.Result, error) {
	if w.cfg.Journal == nil {
		w.clearBusy(e)
		return nil, &Error{Op: "Settle", Kind: KindNotDurable, Err: eris.New("the ledger does not answer and there is no journal")}
	}
	if err := w.appendRecord(&kcwpb.JournalRecord{Record: &kcwpb.JournalRecord_Settled{Settled: settle}}); err != nil {
		w.clearBusy(e)
		return nil, &Error{Op: "Settle", Kind: KindNotDurable, Err: eris.Wrap(err, "journal the outcome")}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.balance(e.name.customer)
	if e.local {
		b.localClaims--
	}
	if settle.GetFromGrant() && settle.GetOutcome() != kcwpb.Outcome_OUTCOME_NOT_RUN {
		b.spend(e.hold, settle.GetTokens())
		e.hold = 0
	}
	b.unconfirmed++
	e.settle = settle
	e.busy = false
	if w.claims[e.name] == nil {
		w.claims[e.name] = e
	}
	w.pending = append(w.pending, e)
	return &kcwpb.Result{
		Code:   kcwpb.Code_CODE_OK,
		Tokens: settle.GetTokens(),
		Claim:  e.claim(stateOf(settle.GetOutcome()), settle.GetTokens()),
	}, nil
}

// clearBusy allows e to be settled again.
func (w *Wallet) clearBusy(e *entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e.busy = false
}
