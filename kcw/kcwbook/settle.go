package kcwbook

import "kingcupwick.example/kcw/kcwpb"

// settleClaim closes a claim with its outcome. A fenced incarnation may still
// say what became of a claim that nobody has adopted.
func (s *state) settleClaim(op *kcwpb.SettleClaim) *kcwpb.Result {
	if problem := checkSettle(op); problem != "" {
		return invalid(problem)
	}
	r := s.routers[op.GetRouter()]
	if r == nil || op.GetIncarnation() > r.incarnation {
		return refused(kcwpb.Code_CODE_NOT_FOUND, "the router incarnation is not registered")
	}
	r.ended(op.GetIncarnation(), op.GetOver())
	a := s.accounts[op.GetCustomer()]
	if a == nil {
		return refused(kcwpb.Code_CODE_NOT_FOUND, "the customer is not known")
	}
	old := s.find(a, op.GetRequest())
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
	if own && old.isOpening(op) {
		return s.settleOpen(a, old, op)
	}
	if old.isDecidedBy(op.GetOutcome()) {
		return s.settleLate(a, old, op)
	}
	return showing(kcwpb.Code_CODE_FENCED, "the claim belongs to another router incarnation or attempt", old)
}

// isOpening says whether op, by the router of c, is about the opening that made
// c. A newer incarnation knows that a request ran from its journal, but never
// that an opening of an older one did not run.
func (c *claim) isOpening(op *kcwpb.SettleClaim) bool {
	if c.incarnation != op.GetIncarnation() {
		return op.GetOutcome() != kcwpb.Outcome_OUTCOME_NOT_RUN
	}
	return op.GetAttempt() == 0 || op.GetAttempt() == c.attempt
}

// settleUnopened notes that a request did not run whose opening may still come,
// so that a late copy of the opening is refused.
func (s *state) settleUnopened(a *account, op *kcwpb.SettleClaim) *kcwpb.Result {
	if op.GetOutcome() != kcwpb.Outcome_OUTCOME_NOT_RUN || op.GetAttempt() == 0 {
		return refused(kcwpb.Code_CODE_NOT_FOUND, "the request has no claim")
	}
	a = s.owned(a)
	c := s.settled(nil, op)
	s.file(a, c)
	return showing(kcwpb.Code_CODE_OK, "", c)
}

// isDecidedBy says whether an outcome told by another router than the owner
// decides c: a run does where the owner did not run the request or does not
// know.
func (c *claim) isDecidedBy(outcome kcwpb.Outcome) bool {
	undecided := c.state == kcwpb.ClaimState_CLAIM_STATE_NOT_RUN || c.state == kcwpb.ClaimState_CLAIM_STATE_UNKNOWN
	return undecided && outcome == kcwpb.Outcome_OUTCOME_RAN
}

// settleLate bills a request that ran at a router from which another adopted the
// claim old. The bill comes out of the reservation, if there still is one, and
// out of what is free.
func (s *state) settleLate(a *account, old *claim, op *kcwpb.SettleClaim) *kcwpb.Result {
	next := a.budget
	if !old.isClosed() {
		next.reserved -= old.tokens
	}
	next.billed += op.GetTokens()
	next = next.absorb()
	if !next.valid() {
		return showing(kcwpb.Code_CODE_FENCED, "the claim belongs to another router incarnation", old)
	}
	a = s.owned(a)
	a.budget = next
	c := s.settled(nil, op)
	s.file(a, c)
	result := showing(kcwpb.Code_CODE_OK, "", c)
	result.Budget = a.message()
	return result
}

// settleClosed returns the result of settling a claim that is closed.
func (s *state) settleClosed(a *account, old *claim, op *kcwpb.SettleClaim) *kcwpb.Result {
	if old.state == kcwpb.ClaimState_CLAIM_STATE_BILLED {
		if op.GetOutcome() == kcwpb.Outcome_OUTCOME_RAN && op.GetTokens() == old.tokens {
			return showing(kcwpb.Code_CODE_REPEATED, "", old)
		}
		return showing(kcwpb.Code_CODE_BILLED, "the request is billed", old)
	}
	if op.GetOutcome() == kcwpb.Outcome_OUTCOME_RAN && op.GetAttempt() != old.attempt {
		return s.settleLate(a, old, op)
	}
	if op.GetOutcome() != kcwpb.Outcome_OUTCOME_NOT_RUN {
		return showing(kcwpb.Code_CODE_INVALID, "the request was settled as not run", old)
	}
	if op.GetAttempt() > old.attempt {
		return s.settleUnopened(a, op)
	}
	return showing(kcwpb.Code_CODE_REPEATED, "", old)
}

// settleOpen closes old, a claim in state open or unknown.
func (s *state) settleOpen(a *account, old *claim, op *kcwpb.SettleClaim) *kcwpb.Result {
	kept := op.GetTokens()
	if op.GetOutcome() == kcwpb.Outcome_OUTCOME_NOT_RUN {
		kept = 0
	}
	if kept > old.tokens {
		return showing(kcwpb.Code_CODE_INVALID, "the tokens pass the reservation", old)
	}
	next := a.budget
	next.reserved -= old.tokens
	switch op.GetOutcome() {
	case kcwpb.Outcome_OUTCOME_RAN:
		next.billed += kept
	case kcwpb.Outcome_OUTCOME_UNKNOWN:
		next.reserved += kept
	}
	next = next.absorb()
	if !next.valid() {
		return broken()
	}
	a = s.owned(a)
	a.budget = next
	a.tokensDue = refund(a.tokensDue, old.tokens-kept, a.contract.GetLimits().GetTokensPerMinute())
	c := s.settled(old, op)
	s.close(a, old, c)
	result := showing(kcwpb.Code_CODE_OK, "", c)
	result.Budget = a.message()
	return result
}

// settled returns the claim that op makes of old, which is nil for a request
// that has no claim.
func (s *state) settled(old *claim, op *kcwpb.SettleClaim) *claim {
	var c *claim
	if old != nil {
		c = old.with()
	} else {
		c = &claim{
			customer:    op.GetCustomer(),
			request:     op.GetRequest(),
			repeatable:  op.GetRepeatable(),
			openedAt:    s.at,
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
		c.closedAt = s.at
	}
	c.upstream = op.GetUpstream()
	c.setAnswer(op.GetAnswerDigest())
	return c
}

// close files c, which settles old, in a.
func (s *state) close(a *account, old, c *claim) {
	if old != nil && old.state == kcwpb.ClaimState_CLAIM_STATE_OPEN {
		a.running--
	}
	s.file(a, c)
}

// resolveClaim closes a claim of unknown outcome on an operator's word.
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
	digest := digestOf([]byte(changeResolve), []byte(op.GetRequest()), number(int64(op.GetOutcome())), number(op.GetTokens()))
	if result := first(a.changes, op.GetChange(), digest); result != nil {
		return result
	}
	old := s.find(a, op.GetRequest())
	if old == nil {
		return refused(kcwpb.Code_CODE_NOT_FOUND, "the request has no claim")
	}
	if old.state != kcwpb.ClaimState_CLAIM_STATE_UNKNOWN {
		return showing(kcwpb.Code_CODE_INVALID, "the outcome of the claim is not unknown", old)
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
	noted := s.changed(s.accounts[a.customer], op.GetChange(), changeResolve, op.GetTokens(), digest)
	noted.Claim = result.GetClaim()
	noted.Tokens = result.GetTokens()
	return noted
}
