package kcwbook

import "kingcupwick.example/kcw/kcwpb"

// settleGranted settles a request that a router started on its grant, without
// opening a claim at the ledger. The ledger may still have a claim for the same
// request: from the same router, whose opening timed out, or from another one that
// received a retry. The request is billed once, whichever of them ran first.
func (s *state) settleGranted(a *account, old *claim, op *kcwpb.SettleClaim) *kcwpb.Result {
	if old != nil {
		if result := settleGrantedConflict(old, op); result != nil {
			result.Grant = a.grantOf(op.GetRouter(), op.GetIncarnation()).message(a.customer)
			return result
		}
	}
	next := a.budget
	var released int64
	if old != nil && !old.isClosed() {
		released = old.tokens
		next.reserved -= released
	}
	own := a.grantOf(op.GetRouter(), op.GetIncarnation())
	repaid := a.releasedToGrant(old, own, released)
	own.tokens += repaid
	next.granted += repaid
	debited, next, ok := a.debitGrants(op, own, next, released-repaid)
	if !ok {
		result := refused(kcwpb.Code_CODE_EXHAUSTED, "neither the grant nor the budget holds the tokens")
		result.Grant = a.grantOf(op.GetRouter(), op.GetIncarnation()).message(a.customer)
		return result
	}
	if op.GetOutcome() == kcwpb.Outcome_OUTCOME_RAN {
		next.billed += op.GetTokens()
	} else {
		next.reserved += op.GetTokens()
	}
	next = next.applyWithheld()
	if !next.valid() {
		return invariantViolation()
	}
	a = s.mutable(a)
	c := s.newSettledClaim(nil, op)
	c.fromGrant = true
	if repaid > 0 && len(debited) == 0 {
		debited = []grant{own}
	}
	c.grantTokens = repaid
	for _, g := range debited {
		c.grantTokens += a.grantOf(g.router, g.incarnation).tokens - g.tokens
		a.putGrant(g)
	}
	a.budget = next
	s.storeSettled(a, old, c)
	result := claimResult(kcwpb.Code_CODE_OK, "", c)
	result.Budget = a.message()
	result.Grant = a.grantOf(op.GetRouter(), op.GetIncarnation()).message(a.customer)
	return result
}

// releasedToGrant returns how many tokens of old's released reservation came from
// the grant own. They are returned to it first, so that in the end the grant is
// reduced by the billed tokens only.
func (a *account) releasedToGrant(old *claim, own grant, released int64) int64 {
	_, found := a.findGrant(own.router, own.incarnation)
	if !found || old == nil || old.router != own.router || old.incarnation != own.incarnation {
		return 0
	}
	return min(old.grantTokens, released)
}

// settleGrantedConflict returns the result of op if the claim old prevents it from
// settling the request, and nil if op may replace old.
func settleGrantedConflict(old *claim, op *kcwpb.SettleClaim) *kcwpb.Result {
	own := old.belongsTo(op.GetRouter(), op.GetIncarnation())
	ran := op.GetOutcome() == kcwpb.Outcome_OUTCOME_RAN
	switch {
	case old.state == kcwpb.ClaimState_CLAIM_STATE_BILLED:
		if own && ran && op.GetTokens() == old.tokens {
			return claimResult(kcwpb.Code_CODE_REPEATED, "", old)
		}
		return claimResult(kcwpb.Code_CODE_BILLED, "the request is billed", old)
	case !ran && !old.isClosed() && !own:
		return claimResult(kcwpb.Code_CODE_FENCED, "the claim belongs to another router incarnation", old)
	case !ran && old.state == kcwpb.ClaimState_CLAIM_STATE_UNKNOWN && old.fromGrant && op.GetTokens() == old.tokens:
		return claimResult(kcwpb.Code_CODE_REPEATED, "", old)
	}
	return nil
}

// debitGrants takes the tokens of op from these sources in turn: own, the grant of
// its incarnation; released, the reservation that the bill replaces; the orphaned
// grants of the same router; the free tokens of next. It returns the changed
// grants and the budget without their tokens, and false if the sources do not
// cover the tokens.
func (a *account) debitGrants(op *kcwpb.SettleClaim, own grant, next budget, released int64) ([]grant, budget, bool) {
	var debited []grant
	need := op.GetTokens()
	debit := func(g grant) {
		amount := min(need, g.tokens)
		if amount == 0 {
			return
		}
		g.tokens -= amount
		next.granted -= amount
		need -= amount
		debited = append(debited, g)
	}
	free := next.free()
	debit(own)
	covered := min(need, released)
	need -= covered
	for _, g := range a.grants {
		if g.router == op.GetRouter() && g.incarnation < op.GetIncarnation() {
			debit(g)
		}
	}
	return debited, next, need <= free-covered
}
