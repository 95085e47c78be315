package kcwbook

import "kingcupwick.example/kcw/kcwpb"

// settleClaim closes a claim with its outcome. A fenced incarnation may still
// settle a claim that no other router has adopted.
func (s *state) settleClaim(op *kcwpb.SettleClaim) *kcwpb.Result {
	if problem := checkSettle(op); problem != "" {
		return invalid(problem)
	}
	r := s.routers[op.GetRouter()]
	if r == nil || op.GetIncarnation() > r.incarnation {
		return refused(kcwpb.Code_CODE_NOT_FOUND, "the router incarnation is not registered")
	}
	r.raiseMinSerial(op.GetIncarnation(), op.GetOver())
	a := s.accounts[op.GetCustomer()]
	if a == nil {
		return refused(kcwpb.Code_CODE_NOT_FOUND, "the customer is not known")
	}
	old := s.findClaim(a, op.GetRequest())
	if op.GetFromGrant() && op.GetOutcome() != kcwpb.Outcome_OUTCOME_NOT_RUN {
		return s.settleGranted(a, old, op)
	}
	if old == nil {
		return s.settleUnopened(a, op)
	}
	own := old.belongsTo(op.GetRouter(), op.GetIncarnation())
	if own && old.isClosed() {
		return s.settleClosed(a, old, op)
	}
	if own && old.matchesOpening(op) {
		return s.settleOpen(a, old, op)
	}
	if old.isDecidedBy(op.GetOutcome()) {
		return s.settleLate(a, old, op)
	}
	return claimResult(kcwpb.Code_CODE_FENCED, "the claim belongs to another router incarnation or attempt", old)
}

// matchesOpening reports whether op, by the router of c, refers to the opening that
// created c. A newer incarnation can find in its journal that a request of an older
// one ran, but never that it did not run.
func (c *claim) matchesOpening(op *kcwpb.SettleClaim) bool {
	if c.incarnation != op.GetIncarnation() {
		return op.GetOutcome() != kcwpb.Outcome_OUTCOME_NOT_RUN
	}
	return op.GetAttempt() == 0 || op.GetAttempt() == c.attempt
}

// settleUnopened records that a request did not run although its opening may still
// arrive, so that a late copy of the opening is refused.
func (s *state) settleUnopened(a *account, op *kcwpb.SettleClaim) *kcwpb.Result {
	if op.GetOutcome() != kcwpb.Outcome_OUTCOME_NOT_RUN || op.GetAttempt() == 0 {
		return refused(kcwpb.Code_CODE_NOT_FOUND, "the request has no claim")
	}
	a = s.mutable(a)
	c := s.newSettledClaim(nil, op)
	s.storeClaim(a, c)
	return claimResult(kcwpb.Code_CODE_OK, "", c)
}

// isDecidedBy reports whether an outcome from another router than the owner decides
// c: only a run does, and only if the owner did not run the request or its outcome
// there is unknown.
func (c *claim) isDecidedBy(outcome kcwpb.Outcome) bool {
	undecided := c.state == kcwpb.ClaimState_CLAIM_STATE_NOT_RUN || c.state == kcwpb.ClaimState_CLAIM_STATE_UNKNOWN
	return undecided && outcome == kcwpb.Outcome_OUTCOME_RAN
}

// settleLate bills a request that ran although old, its current claim, belongs to
// another router or attempt. The bill is taken from the reservation of old, if
// there still is one, and from the free tokens.
func (s *state) settleLate(a *account, old *claim, op *kcwpb.SettleClaim) *kcwpb.Result {
	next := a.budget
	if !old.isClosed() {
		next.reserved -= old.tokens
	}
	next.billed += op.GetTokens()
	next = next.applyWithheld()
	if !next.valid() {
		return claimResult(kcwpb.Code_CODE_FENCED, "the claim belongs to another router incarnation", old)
	}
	a = s.mutable(a)
	a.budget = next
	c := s.newSettledClaim(nil, op)
	s.storeClaim(a, c)
	result := claimResult(kcwpb.Code_CODE_OK, "", c)
	result.Budget = a.message()
	return result
}

// settleClosed returns the result of settling a claim that is closed.
func (s *state) settleClosed(a *account, old *claim, op *kcwpb.SettleClaim) *kcwpb.Result {
	if old.state == kcwpb.ClaimState_CLAIM_STATE_BILLED {
		if op.GetOutcome() == kcwpb.Outcome_OUTCOME_RAN && op.GetTokens() == old.tokens {
			return claimResult(kcwpb.Code_CODE_REPEATED, "", old)
		}
		return claimResult(kcwpb.Code_CODE_BILLED, "the request is billed", old)
	}
	if op.GetOutcome() == kcwpb.Outcome_OUTCOME_RAN && op.GetAttempt() != old.attempt {
		return s.settleLate(a, old, op)
	}
	if op.GetOutcome() != kcwpb.Outcome_OUTCOME_NOT_RUN {
		return claimResult(kcwpb.Code_CODE_INVALID, "the request was settled as not run", old)
	}
	if op.GetAttempt() > old.attempt {
		return s.settleUnopened(a, op)
	}
	return claimResult(kcwpb.Code_CODE_REPEATED, "", old)
}

// settleOpen closes old, a claim in state open or unknown.
func (s *state) settleOpen(a *account, old *claim, op *kcwpb.SettleClaim) *kcwpb.Result {
	used := op.GetTokens()
	if op.GetOutcome() == kcwpb.Outcome_OUTCOME_NOT_RUN {
		used = 0
	}
	if used > old.tokens {
		return claimResult(kcwpb.Code_CODE_INVALID, "the tokens pass the reservation", old)
	}
	next := a.budget
	next.reserved -= old.tokens
	switch op.GetOutcome() {
	case kcwpb.Outcome_OUTCOME_RAN:
		next.billed += used
	case kcwpb.Outcome_OUTCOME_UNKNOWN:
		next.reserved += used
	}
	next = next.applyWithheld()
	if !next.valid() {
		return invariantViolation()
	}
	a = s.mutable(a)
	a.budget = next
	a.tokensDue = refund(a.tokensDue, old.tokens-used, a.contract.GetLimits().GetTokensPerMinute())
	c := s.newSettledClaim(old, op)
	s.storeSettled(a, old, c)
	result := claimResult(kcwpb.Code_CODE_OK, "", c)
	result.Budget = a.message()
	return result
}

// newSettledClaim returns the claim that replaces old when op settles it. If old is
// nil, it returns a new claim with the request, router and attempt of op.
func (s *state) newSettledClaim(old *claim, op *kcwpb.SettleClaim) *claim {
	var c *claim
	if old != nil {
		c = old.clone()
	} else {
		c = &claim{
			customer:    op.GetCustomer(),
			request:     op.GetRequest(),
			repeatable:  op.GetRepeatable(),
			openedAt:    s.now,
			attempt:     op.GetAttempt(),
			router:      s.routers[op.GetRouter()].name,
			incarnation: op.GetIncarnation(),
		}
		c.setDigest(op.GetDigest())
	}
	c.tokens = op.GetTokens()
	switch op.GetOutcome() {
	case kcwpb.Outcome_OUTCOME_RAN:
		c.state = kcwpb.ClaimState_CLAIM_STATE_BILLED
	case kcwpb.Outcome_OUTCOME_NOT_RUN:
		c.state = kcwpb.ClaimState_CLAIM_STATE_NOT_RUN
		c.tokens = 0
	default:
		c.state = kcwpb.ClaimState_CLAIM_STATE_UNKNOWN
	}
	if c.isClosed() {
		c.closedAt = s.now
	}
	c.upstream = op.GetUpstream()
	c.setAnswerDigest(op.GetAnswerDigest())
	return c
}

// storeSettled stores c, which settles old, in a.
func (s *state) storeSettled(a *account, old, c *claim) {
	if old != nil && old.state == kcwpb.ClaimState_CLAIM_STATE_OPEN {
		a.running--
	}
	s.storeClaim(a, c)
}

// resolveClaim closes a claim of unknown outcome at an operator's request.
func (s *state) resolveClaim(op *kcwpb.ResolveClaim) *kcwpb.Result {
	switch {
	case !isIdentity(op.GetChange()):
		return invalid("the change identity is empty or too long")
	case op.GetOutcome() != kcwpb.Outcome_OUTCOME_RAN && op.GetOutcome() != kcwpb.Outcome_OUTCOME_NOT_RUN:
		return invalid("the outcome is neither ran nor not run")
	case !isAmount(op.GetTokens()):
		return invalid("the tokens are out of range")
	}
	a := s.accounts[op.GetCustomer()]
	if a == nil {
		return refused(kcwpb.Code_CODE_NOT_FOUND, "the customer is not known")
	}
	digest := digestOf([]byte(changeResolve), []byte(op.GetRequest()), int64Bytes(int64(op.GetOutcome())), int64Bytes(op.GetTokens()))
	if result := repeatedResult(a.changes, op.GetChange(), digest); result != nil {
		return result
	}
	old := s.findClaim(a, op.GetRequest())
	if old == nil {
		return refused(kcwpb.Code_CODE_NOT_FOUND, "the request has no claim")
	}
	if old.state != kcwpb.ClaimState_CLAIM_STATE_UNKNOWN {
		return claimResult(kcwpb.Code_CODE_INVALID, "the outcome of the claim is not unknown", old)
	}
	result := s.settleOpen(a, old, &kcwpb.SettleClaim{
		Outcome:      op.GetOutcome(),
		Tokens:       op.GetTokens(),
		Upstream:     old.upstream,
		AnswerDigest: nil,
	})
	if result.GetCode() != kcwpb.Code_CODE_OK {
		return result
	}
	recorded := s.recordChange(s.accounts[a.customer], op.GetChange(), changeResolve, op.GetTokens(), digest)
	recorded.Claim = result.GetClaim()
	recorded.Tokens = result.GetTokens()
	return recorded
}
