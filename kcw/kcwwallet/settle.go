package kcwwallet

import (
	"context"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"kingcupwick.example/kcw/kcwpb"
)

// Settle closes a claim with its outcome, and returns when that is durable: at
// the ledger, or in the journal, from where the ledger is told later. An *Error
// of KindNotDurable means that it is neither; the caller settles again.
func (w *Wallet) Settle(ctx context.Context, claim *kcwpb.SettleClaim) (*kcwpb.Result, error) {
	e, result := w.settling(claim)
	if result != nil {
		return result, nil
	}
	if e.local {
		return w.settleLocal(e, claim)
	}
	settle := proto.Clone(claim).(*kcwpb.SettleClaim)
	if w.answering(settle) {
		answer, err := w.submit(ctx, &kcwpb.Command{Op: &kcwpb.Command_SettleClaim{SettleClaim: settle}}, w.cfg.LedgerDeadline)
		if err == nil {
			w.settled(e, answer)
			return answer, nil
		}
	}
	return w.settleLater(e, settle)
}

// answering says whether the ledger is worth a call, and readies claim for it.
func (w *Wallet) answering(claim *kcwpb.SettleClaim) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	claim.Over = w.over()
	return w.cfg.Journal == nil || w.asks(w.cfg.Now(), true)
}

// settling returns the entry of the claim, a new one if only the ledger has it.
// It returns a result if nothing is left to do.
func (w *Wallet) settling(claim *kcwpb.SettleClaim) (*entry, *kcwpb.Result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.claims[name{claim.GetCustomer(), claim.GetRequest()}]
	if e == nil || e.open.GetAttempt() != claim.GetAttempt() || e.open.GetIncarnation() != claim.GetIncarnation() {
		if e != nil && e.open == nil && e.settle.GetAttempt() == claim.GetAttempt() && e.settle.GetIncarnation() == claim.GetIncarnation() {
			return nil, e.repeated()
		}
		return &entry{name: name{claim.GetCustomer(), claim.GetRequest()}, busy: true}, nil
	}
	switch {
	case e.settle != nil:
		return nil, e.repeated()
	case e.busy:
		return nil, &kcwpb.Result{Code: kcwpb.Code_CODE_LIMITED, Detail: "the claim is being opened or settled"}
	case !e.asked && !e.local && claim.GetOutcome() == kcwpb.Outcome_OUTCOME_NOT_RUN:
		w.drop(e)
		return nil, &kcwpb.Result{Code: kcwpb.Code_CODE_OK, Claim: e.claim(kcwpb.ClaimState_CLAIM_STATE_NOT_RUN, 0)}
	case e.local && claim.GetTokens() > e.hold:
		return nil, &kcwpb.Result{Code: kcwpb.Code_CODE_INVALID, Detail: "the tokens pass the reservation"}
	}
	e.busy = true
	return e, nil
}

// repeated returns the result of settling e once more.
func (e *entry) repeated() *kcwpb.Result {
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

// settled takes the ledger's answer to the settling of e, whose opening may have
// taken tokens out of the grant.
func (w *Wallet) settled(e *entry, result *kcwpb.Result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if e.hold == 0 {
		w.drop(e)
		return
	}
	// Only a claim of this very opening shows what it took. What another claim
	// hides counts as taken until the grant is next compared.
	gone := e.hold
	c := result.GetClaim()
	if c.GetRouter() == e.open.GetRouter() && c.GetIncarnation() == e.open.GetIncarnation() && c.GetAttempt() == e.open.GetAttempt() {
		gone = c.GetGrantTokens()
	}
	w.balance(e.name.customer).give(e.hold, gone)
	e.hold = 0
	w.drop(e)
}

// settleLocal closes a claim that ran out of the grant.
func (w *Wallet) settleLocal(e *entry, claim *kcwpb.SettleClaim) (*kcwpb.Result, error) {
	settle := proto.Clone(claim).(*kcwpb.SettleClaim)
	settle.FromGrant = true
	settle.Repeatable = e.open.GetRepeatable()
	if settle.GetOutcome() == kcwpb.Outcome_OUTCOME_NOT_RUN {
		settle.Tokens = 0
	}
	if settle.GetOutcome() == kcwpb.Outcome_OUTCOME_NOT_RUN && !e.asked {
		return w.abandon(e, settle), nil
	}
	return w.settleLater(e, settle)
}

// abandon forgets a claim that did not run and of which the ledger can't know.
func (w *Wallet) abandon(e *entry, settle *kcwpb.SettleClaim) *kcwpb.Result {
	// A lost note leaves a claim of unknown outcome, which is safe.
	_ = w.cfg.Journal.Note(&kcwpb.JournalRecord{Record: &kcwpb.JournalRecord_Confirmed{Confirmed: settle}})
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.balance(e.name.customer)
	p.local--
	p.give(e.hold, 0)
	w.drop(e)
	return &kcwpb.Result{Code: kcwpb.Code_CODE_OK, Claim: e.claim(kcwpb.ClaimState_CLAIM_STATE_NOT_RUN, 0)}
}

// settleLater makes the outcome durable in the journal and has the ledger told.
func (w *Wallet) settleLater(e *entry, settle *kcwpb.SettleClaim) (*kcwpb.Result, error) {
	if w.cfg.Journal == nil {
		w.release(e)
		return nil, &Error{Op: "Settle", Kind: KindNotDurable, Err: eris.New("the ledger does not answer and there is no journal")}
	}
	if err := w.journaled(&kcwpb.JournalRecord{Record: &kcwpb.JournalRecord_Settled{Settled: settle}}); err != nil {
		w.release(e)
		return nil, &Error{Op: "Settle", Kind: KindNotDurable, Err: eris.Wrap(err, "journal the outcome")}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.balance(e.name.customer)
	if e.local {
		p.local--
	}
	if settle.GetFromGrant() && settle.GetOutcome() != kcwpb.Outcome_OUTCOME_NOT_RUN {
		p.spend(e.hold, settle.GetTokens())
		e.hold = 0
	}
	p.unconfirmed++
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

// release lets e be settled again.
func (w *Wallet) release(e *entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e.busy = false
}
