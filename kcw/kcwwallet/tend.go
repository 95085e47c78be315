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

// touchPeriod is how often the holder of a grant that neither grows nor shrinks
// tells the ledger that all it spent is settled.
const touchPeriod = 20 * time.Minute

// Tend tells the ledger the outcomes that the journal holds, releases the
// grants of older incarnations, and draws and returns tokens as the policy
// says. It ends at the first call that the ledger does not answer.
func (w *Wallet) Tend(ctx context.Context) {
	w.tending.Lock()
	defer w.tending.Unlock()
	if !w.replay(ctx) || !w.releaseOlds(ctx) {
		return
	}
	if w.cfg.Journal == nil {
		return
	}
	for _, customer := range w.customers() {
		if !w.tendPurse(ctx, customer) {
			return
		}
	}
	if err := w.cfg.Journal.Compact(); err != nil {
		klog.ErrorS(err, "journal not compacted")
	}
}

// customers returns the customers of the balances in order.
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

// replay tells the ledger the outcomes of the journal, oldest first. It returns
// false if the ledger does not answer.
func (w *Wallet) replay(ctx context.Context) bool {
	w.mu.Lock()
	rounds := len(w.pending)
	w.mu.Unlock()
	for range rounds {
		w.mu.Lock()
		e := w.pending[0]
		takes := w.balance(e.name.customer).takes
		// A copy, since the client may still be sending an earlier one.
		settle := proto.Clone(e.settle).(*kcwpb.SettleClaim)
		if settle.GetIncarnation() == w.cfg.Incarnation {
			settle.Over = w.over()
		}
		w.mu.Unlock()
		result, err := w.submit(ctx, &kcwpb.Command{Op: &kcwpb.Command_SettleClaim{SettleClaim: settle}}, w.cfg.LedgerDeadline)
		if err != nil {
			return false
		}
		if undecided(e, result) {
			w.postpone(e)
			continue
		}
		w.confirm(e, result, takes)
	}
	return true
}

// undecided says whether a bill waits for another router, which adopted the
// claim and has not closed it: if the request did not run there the bill counts.
func undecided(e *entry, result *kcwpb.Result) bool {
	return result.GetCode() == kcwpb.Code_CODE_FENCED &&
		e.settle.GetOutcome() == kcwpb.Outcome_OUTCOME_RAN &&
		result.GetClaim().GetState() != kcwpb.ClaimState_CLAIM_STATE_BILLED
}

// postpone puts e, the oldest pending entry, last.
func (w *Wallet) postpone(e *entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending = append(w.pending[1:], e)
}

// confirm takes the ledger's answer to the outcome of e, which was sent when the
// balance had takes.
func (w *Wallet) confirm(e *entry, result *kcwpb.Result, takes uint64) {
	code := result.GetCode()
	final := code != kcwpb.Code_CODE_EXHAUSTED && code != kcwpb.Code_CODE_INVALID
	if final {
		record := &kcwpb.JournalRecord{Record: &kcwpb.JournalRecord_Confirmed{Confirmed: e.settle}}
		if err := w.cfg.Journal.Note(record); err != nil {
			klog.ErrorS(err, "journal record not confirmed")
		}
	} else {
		klog.InfoS("outcome refused by the ledger", "Customer", e.name.customer, "Request", e.name.request,
			"Code", code.String(), "Detail", result.GetDetail())
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending = w.pending[1:]
	if !final {
		w.refused++
	}
	if e.settle.GetIncarnation() == w.cfg.Incarnation {
		w.account(e, code == kcwpb.Code_CODE_OK || code == kcwpb.Code_CODE_REPEATED || !final, result)
		w.balance(e.name.customer).compare(result.GetGrant(), takes)
	}
	w.drop(e)
}

// account ends the part of e in its balance. Taken says that the ledger took the
// tokens of the outcome out of the grant.
func (w *Wallet) account(e *entry, taken bool, result *kcwpb.Result) {
	p := w.balance(e.name.customer)
	p.unconfirmed--
	if e.settle.GetFromGrant() && e.settle.GetOutcome() != kcwpb.Outcome_OUTCOME_NOT_RUN {
		p.spent -= e.settle.GetTokens()
		if !taken {
			p.free += e.settle.GetTokens()
		}
		return
	}
	if e.hold > 0 {
		gone := e.hold
		if c := result.GetClaim(); c.GetRouter() == e.open.GetRouter() &&
			c.GetIncarnation() == e.open.GetIncarnation() && c.GetAttempt() == e.open.GetAttempt() {
			gone = c.GetGrantTokens()
		}
		p.give(e.hold, gone)
		e.hold = 0
	}
}

// releaseOlds frees what is left of the grants of older incarnations.
func (w *Wallet) releaseOlds(ctx context.Context) bool {
	var kept []*kcwpb.Grant
	for i, g := range w.olds {
		result, err := w.submit(ctx, &kcwpb.Command{Op: &kcwpb.Command_ReleaseGrant{ReleaseGrant: &kcwpb.ReleaseGrant{
			Customer: g.GetCustomer(), Router: g.GetRouter(), Incarnation: g.GetIncarnation(),
		}}}, w.cfg.LedgerDeadline)
		if err != nil {
			w.olds = append(kept, w.olds[i:]...)
			return false
		}
		if result.GetCode() != kcwpb.Code_CODE_OK && result.GetCode() != kcwpb.Code_CODE_NOT_FOUND {
			kept = append(kept, g)
			continue
		}
		record := &kcwpb.JournalRecord{Record: &kcwpb.JournalRecord_Released{Released: g}}
		if err := w.cfg.Journal.Note(record); err != nil {
			klog.ErrorS(err, "journal record not released")
		}
	}
	w.olds = kept
	return true
}

// tendPurse draws or returns tokens of customer. It returns false if the ledger
// does not answer.
func (w *Wallet) tendPurse(ctx context.Context, customer string) bool {
	if !w.note(customer) {
		return true
	}
	cmd, takes := w.plan(customer)
	if cmd == nil {
		return true
	}
	result, err := w.submit(ctx, cmd, w.cfg.LedgerDeadline)
	if err != nil {
		return false
	}
	w.moved(customer, cmd, result, takes)
	return true
}

// note has the journal name the grant of customer before the first draw, so
// that a later incarnation releases it. It returns false if nothing may be drawn.
func (w *Wallet) note(customer string) bool {
	w.mu.Lock()
	p := w.balances[customer]
	noted, wanted := p.noted, p.available > 0 && !p.demand.At.IsZero()
	w.mu.Unlock()
	if noted || !wanted {
		return noted
	}
	g := &kcwpb.Grant{Customer: customer, Router: w.cfg.Router, Incarnation: w.cfg.Incarnation}
	if err := w.journaled(&kcwpb.JournalRecord{Record: &kcwpb.JournalRecord_Drawn{Drawn: g}}); err != nil {
		klog.ErrorS(err, "no grant drawn")
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	p.noted = true
	return true
}

// plan returns the draw or return that is due, nil if none is, and the takes of
// the balance.
func (w *Wallet) plan(customer string) (*kcwpb.Command, uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.balances[customer]
	now := w.cfg.Now()
	if p.move != nil || w.fenced {
		return p.move, p.takes
	}
	if p.local > 0 || p.unconfirmed > 0 {
		return nil, 0
	}
	tokens := w.cfg.Policy.Plan(kcwgrant.Holding{
		Free: p.free, Available: p.available, Demand: p.demand, Recalled: p.recalled,
	}, now)
	if w.closing {
		tokens = -p.free
	}
	switch {
	case tokens > 0 && p.available > 0:
		p.move = w.draw(customer, p, tokens)
	case tokens < 0:
		p.free += tokens
		p.move = w.giveBack(customer, p, -tokens)
	case p.free > 0 && now.Sub(p.touchedAt) >= touchPeriod:
		p.move = w.giveBack(customer, p, 0)
	}
	return p.move, p.takes
}

// draw returns the command that draws tokens.
func (w *Wallet) draw(customer string, p *balance, tokens int64) *kcwpb.Command {
	return &kcwpb.Command{Op: &kcwpb.Command_DrawGrant{DrawGrant: &kcwpb.DrawGrant{
		Customer: customer, Router: w.cfg.Router, Incarnation: w.cfg.Incarnation,
		Tokens: tokens, Sequence: p.sequence + 1, Divisor: w.cfg.Policy.Divisor(),
	}}}
}

// giveBack returns the command that returns tokens.
func (w *Wallet) giveBack(customer string, p *balance, tokens int64) *kcwpb.Command {
	return &kcwpb.Command{Op: &kcwpb.Command_ReturnGrant{ReturnGrant: &kcwpb.ReturnGrant{
		Customer: customer, Router: w.cfg.Router, Incarnation: w.cfg.Incarnation,
		Tokens: tokens, Sequence: p.sequence + 1,
	}}}
}

// moved takes the ledger's answer to a draw or return that was sent when the
// balance had takes.
func (w *Wallet) moved(customer string, cmd *kcwpb.Command, result *kcwpb.Result, takes uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.balances[customer]
	p.move = nil
	switch result.GetCode() {
	case kcwpb.Code_CODE_OK, kcwpb.Code_CODE_REPEATED:
		p.sequence++
		p.touchedAt = w.cfg.Now()
		p.recalled = false
		if cmd.GetDrawGrant() != nil {
			p.free += result.GetTokens()
		}
		p.compare(result.GetGrant(), takes)
	case kcwpb.Code_CODE_FENCED:
		w.fenced = true
	default:
		klog.InfoS("draw or return refused by the ledger", "Customer", customer, "Code", result.GetCode().String(), "Detail", result.GetDetail())
		if g := result.GetGrant(); g != nil {
			p.sequence = g.GetSequence()
		}
	}
}
