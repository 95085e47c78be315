package kcwwallet

import (
	"time"

	"kingcupwick.example/kcw/kcwgrant"
	"kingcupwick.example/kcw/kcwpb"
)

// balance is the wallet's view of one customer's budget and of the router's grant
// from it. The grant in the ledger is at least the sum of free, held and spent.
type balance struct {
	// free is the tokens that are granted and neither held nor spent.
	free int64
	// held is the tokens reserved for claims.
	held int64
	// spent is the tokens settled on the grant that the ledger has not confirmed.
	spent int64
	// opensInFlight counts the calls in progress that may take from the grant in
	// the ledger.
	opensInFlight int
	// localClaims counts the claims that were opened on the grant without the
	// ledger's answer and are not settled, and unconfirmed the outcomes in the
	// journal that the ledger has not confirmed.
	localClaims int
	unconfirmed int
	// sequence numbers the last draw or return that the ledger answered, and
	// transfer is the next one if it was sent and is unanswered.
	sequence uint64
	transfer *kcwpb.Command
	// version counts the calls that could take from the grant. The grant in an
	// answer of the ledger is current if version is the same as before the call.
	version uint64
	// isJournaled is whether the journal has a record of the grant.
	isJournaled bool
	demand      kcwgrant.Demand
	// available is the part of the customer's budget that is neither billed,
	// reserved nor granted, by the ledger's last answer.
	available int64
	// touchedAt is when the ledger last accepted a draw or return.
	touchedAt time.Time
	// recalled is whether the ledger has asked for the unused tokens.
	recalled bool
}

// balance returns the balance of customer.
func (w *Wallet) balance(customer string) *balance {
	b := w.balances[customer]
	if b == nil {
		b = new(balance)
		w.balances[customer] = b
	}
	return b
}

// reserve moves tokens from free to held.
func (b *balance) reserve(tokens int64) {
	b.free -= tokens
	b.held += tokens
}

// releaseHold ends a reservation of hold tokens. The ledger has deducted the given
// number of tokens from the grant; the rest of the reservation becomes free.
func (b *balance) releaseHold(hold, deducted int64) {
	b.held -= hold
	b.free += hold - min(hold, deducted)
}

// spend ends a reservation of hold tokens, of which tokens are spent.
func (b *balance) spend(hold, tokens int64) {
	b.held -= hold
	b.free += hold - tokens
	b.spent += tokens
}

// isIdle reports whether no claim holds or uses tokens of the grant, no outcome
// is unconfirmed, and no call that changes the grant is in flight. Everything
// spent on the grant is then settled in the ledger.
func (b *balance) isIdle() bool {
	return b.opensInFlight == 0 && b.localClaims == 0 && b.unconfirmed == 0 && b.held == 0 && b.transfer == nil
}

// adoptLedgerView sets free to the tokens of the ledger's grant, if version shows
// that nothing could have changed the grant since the call and the balance is idle.
func (b *balance) adoptLedgerView(grant *kcwpb.Grant, version uint64) {
	if grant != nil && b.version == version && b.isIdle() {
		b.free = grant.GetTokens()
	}
}
