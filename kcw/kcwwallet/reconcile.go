package kcwwallet

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"kingcupwick.example/kcw/kcwgrant"
	"kingcupwick.example/kcw/kcwpb"
)

// touchPeriod is the time after which an unchanged grant is refreshed by a return
// of zero tokens, which shows the ledger that all spending on it is settled.
const touchPeriod = 20 * time.Minute

// Reconcile submits the outcomes in the journal to the ledger, releases the grants
// of older incarnations, and draws and returns tokens as the policy plans. It stops
// at the first call that the ledger does not answer.
func (w *Wallet) Reconcile(ctx context.Context) {
	w.reconciling.Lock()
	defer w.reconciling.Unlock()
	if !w.submitPending(ctx) || !w.releaseOldGrants(ctx) {
		return
	}
	if w.cfg.Journal == nil {
		return
	}
	for _, customer := range w.customers() {
		if !w.reconcileGrant(ctx, customer) {
			return
		}
	}
	if err := w.cfg.Journal.Compact(); err != nil {
		klog.ErrorS(err, "journal not compacted")
	}
}

// customers returns the customers that have a balance, sorted.
func (w *Wallet) customers() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := make([]string, 0, len(w.balances))
	for customer := range w.balances {
		list = append(list, customer)
	}
	slices.Sort(list)
	return list
}

// submitPending submits the outcomes in the journal to the ledger, oldest first. It
// returns false if the ledger does not answer.
func (w *Wallet) submitPending(ctx context.Context) bool {
	w.mu.Lock()
	count := len(w.pending)
	w.mu.Unlock()
	for range count {
		w.mu.Lock()
		e := w.pending[0]
		version := w.balance(e.name.customer).version
		// Submit a copy: the client may still be encoding the one of an earlier call.
		settle := proto.Clone(e.settle).(*kcwpb.SettleClaim)
		if settle.GetIncarnation() == w.cfg.Incarnation {
			settle.Over = w.oldestInFlight()
		}
		w.mu.Unlock()
		result, err := w.submit(ctx, &kcwpb.Command{Op: &kcwpb.Command_SettleClaim{SettleClaim: settle}}, w.cfg.LedgerDeadline)
		if err != nil {
			return false
		}
		if awaitsOtherRouter(e, result) {
			w.postpone(e)
			continue
		}
		w.confirm(e, result, version)
	}
	return true
}

// awaitsOtherRouter reports whether a bill must wait because another router took
// over the claim and has not closed it. The bill counts if the request did not run
// there.
func awaitsOtherRouter(e *entry, result *kcwpb.Result) bool {
	return result.GetCode() == kcwpb.Code_CODE_FENCED &&
		e.settle.GetOutcome() == kcwpb.Outcome_OUTCOME_RAN &&
		result.GetClaim().GetState() != kcwpb.ClaimState_CLAIM_STATE_BILLED
}

// postpone moves e, the oldest pending entry, to the end of the queue.
func (w *Wallet) postpone(e *entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending = append(w.pending[1:], e)
}

// confirm processes the ledger's answer to the outcome of e, which was submitted
// at the given version of the balance.
func (w *Wallet) confirm(e *entry, result *kcwpb.Result, version uint64) {
	code := result.GetCode()
	final := code != kcwpb.Code_CODE_EXHAUSTED && code != kcwpb.Code_CODE_INVALID
	if final {
		record := &kcwpb.JournalRecord{Record: &kcwpb.JournalRecord_Confirmed{Confirmed: e.settle}}
		if err := w.cfg.Journal.Note(record); err != nil {
			klog.ErrorS(err, "confirmation of an outcome not written to the journal")
		}
	} else {
		klog.InfoS("ledger refused the outcome", "Customer", e.name.customer, "Request", e.name.request,
			"Code", code.String(), "Detail", result.GetDetail())
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending = w.pending[1:]
	if !final {
		w.refused++
	}
	if e.settle.GetIncarnation() == w.cfg.Incarnation {
		w.settleBalance(e, code == kcwpb.Code_CODE_OK || code == kcwpb.Code_CODE_REPEATED || !final, result)
		w.balance(e.name.customer).adoptLedgerView(result.GetGrant(), version)
	}
	w.forget(e)
}

// settleBalance removes e from its balance. The parameter isDeducted is true if the
// ledger deducted the tokens of the outcome from the grant, or refused the outcome.
// If it is false, tokens spent on the grant become free again.
func (w *Wallet) settleBalance(e *entry, isDeducted bool, result *kcwpb.Result) {
	b := w.balance(e.name.customer)
	b.unconfirmed--
	if e.settle.GetFromGrant() && e.settle.GetOutcome() != kcwpb.Outcome_OUTCOME_NOT_RUN {
		b.spent -= e.settle.GetTokens()
		if !isDeducted {
			b.free += e.settle.GetTokens()
		}
		return
	}
	if e.hold > 0 {
		grantTokens := e.hold
		if c := result.GetClaim(); c.GetRouter() == e.open.GetRouter() &&
			c.GetIncarnation() == e.open.GetIncarnation() && c.GetAttempt() == e.open.GetAttempt() {
			grantTokens = c.GetGrantTokens()
		}
		b.releaseHold(e.hold, grantTokens)
		e.hold = 0
	}
}

// releaseOldGrants has the ledger free the remainder of the grants of older
// incarnations. It returns false if the ledger does not answer.
func (w *Wallet) releaseOldGrants(ctx context.Context) bool {
	var kept []*kcwpb.Grant
	for i, g := range w.oldGrants {
		result, err := w.submit(ctx, &kcwpb.Command{Op: &kcwpb.Command_ReleaseGrant{ReleaseGrant: &kcwpb.ReleaseGrant{
			Customer: g.GetCustomer(), Router: g.GetRouter(), Incarnation: g.GetIncarnation(),
		}}}, w.cfg.LedgerDeadline)
		if err != nil {
			w.oldGrants = append(kept, w.oldGrants[i:]...)
			return false
		}
		if result.GetCode() != kcwpb.Code_CODE_OK && result.GetCode() != kcwpb.Code_CODE_NOT_FOUND {
			kept = append(kept, g)
			continue
		}
		record := &kcwpb.JournalRecord{Record: &kcwpb.JournalRecord_Released{Released: g}}
		if err := w.cfg.Journal.Note(record); err != nil {
			klog.ErrorS(err, "release of a grant not written to the journal")
		}
	}
	w.oldGrants = kept
	return true
}

// reconcileGrant draws or returns tokens of customer's grant if that is due. It
// returns false if the ledger does not answer.
func (w *Wallet) reconcileGrant(ctx context.Context, customer string) bool {
	if !w.ensureJournaled(customer) {
		return true
	}
	cmd, version := w.nextTransfer(customer)
	if cmd == nil {
		return true
	}
	result, err := w.submit(ctx, cmd, w.cfg.LedgerDeadline)
	if err != nil {
		return false
	}
	w.finishTransfer(customer, cmd, result, version)
	return true
}

// ensureJournaled writes customer's grant to the journal before the first draw, so
// that a later incarnation releases it. It returns false if there is no grant to
// maintain or the journal failed.
func (w *Wallet) ensureJournaled(customer string) bool {
	w.mu.Lock()
	b := w.balances[customer]
	isJournaled, isNeeded := b.isJournaled, b.available > 0 && !b.demand.At.IsZero()
	w.mu.Unlock()
	if isJournaled || !isNeeded {
		return isJournaled
	}
	g := &kcwpb.Grant{Customer: customer, Router: w.cfg.Router, Incarnation: w.cfg.Incarnation}
	if err := w.appendRecord(&kcwpb.JournalRecord{Record: &kcwpb.JournalRecord_Drawn{Drawn: g}}); err != nil {
		klog.ErrorS(err, "grant not written to the journal and not drawn")
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	b.isJournaled = true
	return true
}

// nextTransfer returns the draw or return that is due, nil if none is, and the
// version of the balance.
func (w *Wallet) nextTransfer(customer string) (*kcwpb.Command, uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.balances[customer]
	now := w.cfg.Now()
	if b.transfer != nil || w.fenced {
		return b.transfer, b.version
	}
	if b.localClaims > 0 || b.unconfirmed > 0 {
		return nil, 0
	}
	tokens := w.cfg.Policy.Plan(kcwgrant.Holding{
		Free: b.free, Available: b.available, Demand: b.demand, Recalled: b.recalled,
	}, now)
	if w.closing {
		tokens = -b.free
	}
	switch {
	case tokens > 0 && b.available > 0:
		b.transfer = w.drawCommand(customer, b, tokens)
	case tokens < 0:
		b.free += tokens
		b.transfer = w.returnCommand(customer, b, -tokens)
	case b.free > 0 && now.Sub(b.touchedAt) >= touchPeriod:
		b.transfer = w.returnCommand(customer, b, 0)
	}
	return b.transfer, b.version
}

// drawCommand returns the command that adds tokens to the grant.
func (w *Wallet) drawCommand(customer string, b *balance, tokens int64) *kcwpb.Command {
	return &kcwpb.Command{Op: &kcwpb.Command_DrawGrant{DrawGrant: &kcwpb.DrawGrant{
		Customer: customer, Router: w.cfg.Router, Incarnation: w.cfg.Incarnation,
		Tokens: tokens, Sequence: b.sequence + 1, Divisor: w.cfg.Policy.Divisor(),
	}}}
}

// returnCommand returns the command that gives tokens of the grant back.
func (w *Wallet) returnCommand(customer string, b *balance, tokens int64) *kcwpb.Command {
	return &kcwpb.Command{Op: &kcwpb.Command_ReturnGrant{ReturnGrant: &kcwpb.ReturnGrant{
		Customer: customer, Router: w.cfg.Router, Incarnation: w.cfg.Incarnation,
		Tokens: tokens, Sequence: b.sequence + 1,
	}}}
}

// finishTransfer processes the ledger's answer to a draw or return that was
// submitted at the given version of the balance.
func (w *Wallet) finishTransfer(customer string, cmd *kcwpb.Command, result *kcwpb.Result, version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.balances[customer]
	b.transfer = nil
	switch result.GetCode() {
	case kcwpb.Code_CODE_OK, kcwpb.Code_CODE_REPEATED:
		b.sequence++
		b.touchedAt = w.cfg.Now()
		b.recalled = false
		if cmd.GetDrawGrant() != nil {
			b.free += result.GetTokens()
		}
		b.adoptLedgerView(result.GetGrant(), version)
	case kcwpb.Code_CODE_FENCED:
		w.fenced = true
	default:
		klog.InfoS("ledger refused a draw or return", "Customer", customer, "Code", result.GetCode().String(), "Detail", result.GetDetail())
		if g := result.GetGrant(); g != nil {
			b.sequence = g.GetSequence()
		}
	}
}
