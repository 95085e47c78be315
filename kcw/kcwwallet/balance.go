package kcwwallet

import (
	"time"

	"kingcupwick.example/kcw/kcwgrant"
	"kingcupwick.example/kcw/kcwpb"
)

// balance is what the wallet knows of one customer's budget and of its grant. The
// ledger's grant is at least free, held and spent together.
type balance struct {
	// free is granted and neither held nor spent.
	free int64
	// held is kept for claims.
	held int64
	// spent is settled out of the grant and not confirmed by the ledger.
	spent int64
	// asking counts the calls that may take from the grant at the ledger.
	asking int
	// local counts the claims that run out of the grant, and unconfirmed the
	// outcomes that the ledger is to be told.
	local       int
	unconfirmed int
	// sequence is that of the last draw or return whose result is known, and
	// move is the one after it, if it was sent.
	sequence uint64
	move     *kcwpb.Command
	// takes counts the calls that could take from the grant, to tell whether the
	// ledger's view of the grant is of now.
	takes uint64
	// noted says that the journal names the grant.
	noted     bool
	demand    kcwgrant.Demand
	available int64
	touchedAt time.Time
	recalled  bool
}

// balance returns the balance of customer.
func (w *Wallet) balance(customer string) *balance {
	p := w.balances[customer]
	if p == nil {
		p = new(balance)
		w.balances[customer] = p
	}
	return p
}

// take holds tokens that are free.
func (p *balance) take(tokens int64) {
	p.free -= tokens
	p.held += tokens
}

// give ends a hold of tokens, of which the ledger took some out of the grant.
func (p *balance) give(hold, taken int64) {
	p.held -= hold
	p.free += hold - min(hold, taken)
}

// spend ends a hold of tokens, of which some are spent.
func (p *balance) spend(hold, tokens int64) {
	p.held -= hold
	p.free += hold - tokens
	p.spent += tokens
}

// isQuiet says whether nothing but draws and returns changes the grant now, so
// that all that was spent out of it is settled.
func (p *balance) isQuiet() bool {
	return p.asking == 0 && p.local == 0 && p.unconfirmed == 0 && p.held == 0 && p.move == nil
}

// compare takes the ledger's view of the grant if nothing could change the grant
// since takes was read.
func (p *balance) compare(grant *kcwpb.Grant, takes uint64) {
	if grant != nil && p.takes == takes && p.isQuiet() {
		p.free = grant.GetTokens()
	}
}
