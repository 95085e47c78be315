package kcwbook

import "kingcupwick.example/kcw/kcwpb"

// settleGranted closes a claim that a router opened away from the ledger. The
// ledger may hold a claim for the same request, by the same router whose
// opening timed out or by another that a retry reached: whatever ran first, the
// request has one bill.
func (s *state) settleGranted(a *account, old *claim, op *kcwpb.SettleClaim) *kcwpb.Result {
	if old != nil {
		if result := contestGranted(old, op); result != nil {
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
	back := a.shortfall(old, own, released)
	own.tokens += back
	next.granted += back
	drafts, next, ok := a.draft(op, own, next, released-back)
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
	next = next.absorb()
	if !next.valid() {
		return broken()
	}
	a = s.owned(a)
	c := s.settled(nil, op)
	c.fromGrant = true
	if back > 0 && len(drafts) == 0 {
		drafts = []grant{own}
	}
	c.grantTokens = back
	for _, g := range drafts {
		c.grantTokens += a.grantOf(g.router, g.incarnation).tokens - g.tokens
		a.putGrant(g)
	}
	a.budget = next
	s.close(a, old, c)
	result := showing(kcwpb.Code_CODE_OK, "", c)
	result.Budget = a.message()
	result.Grant = a.grantOf(op.GetRouter(), op.GetIncarnation()).message(a.customer)
	return result
}

// shortfall returns what of the reservation released of old came out of the
// grant own. It goes back there first, so that the grant ends short of just what
// the bill takes.
func (a *account) shortfall(old *claim, own grant, released int64) int64 {
	_, found := a.findGrant(own.router, own.incarnation)
	if !found || old == nil || old.router != own.router || old.incarnation != own.incarnation {
		return 0
	}
	return min(old.grantTokens, released)
}

// contestGranted returns the result of settling out of a grant a request that
// has the claim old, nil if op decides its outcome.
func contestGranted(old *claim, op *kcwpb.SettleClaim) *kcwpb.Result {
	own := old.belongsTo(op.GetRouter(), op.GetIncarnation())
	ran := op.GetOutcome() == kcwpb.Outcome_OUTCOME_RAN
	switch {
	case old.state == kcwpb.ClaimState_CLAIM_STATE_BILLED:
		if own && ran && op.GetTokens() == old.tokens {
			return showing(kcwpb.Code_CODE_REPEATED, "", old)
		}
		return showing(kcwpb.Code_CODE_BILLED, "the request is billed", old)
	case !ran && !old.isClosed() && !own:
		return showing(kcwpb.Code_CODE_FENCED, "the claim belongs to another router incarnation", old)
	case !ran && old.state == kcwpb.ClaimState_CLAIM_STATE_UNKNOWN && old.fromGrant && op.GetTokens() == old.tokens:
		return showing(kcwpb.Code_CODE_REPEATED, "", old)
	}
	return nil
}

// draft takes the tokens of op out of own, the grant of its incarnation, then out of
// released, the reservation that the bill replaces, then out of the orphaned
// grants of the same router, then out of what is free in next. It returns the
// changed grants and the budget without their part.
func (a *account) draft(op *kcwpb.SettleClaim, own grant, next budget, released int64) ([]grant, budget, bool) {
	var drafts []grant
	need := op.GetTokens()
	take := func(g grant) {
		taken := min(need, g.tokens)
		if taken == 0 {
			return
		}
		g.tokens -= taken
		next.granted -= taken
		need -= taken
		drafts = append(drafts, g)
	}
	free := next.free()
	take(own)
	covered := min(need, released)
	need -= covered
	for _, g := range a.grants {
		if g.router == op.GetRouter() && g.incarnation < op.GetIncarnation() {
			take(g)
		}
	}
	return drafts, next, need <= free-covered
}
