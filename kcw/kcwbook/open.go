package kcwbook

import "kingcupwick.example/kcw/kcwpb"

// openClaim reserves tokens for a request before it is dispatched.
func (s *state) openClaim(op *kcwpb.OpenClaim) *kcwpb.Result {
	if problem := checkOpen(op); problem != "" {
		return invalid(problem)
	}
	if refusal := s.checkIncarnation(op.GetRouter(), op.GetIncarnation()); refusal != nil {
		return refusal
	}
	r := s.routers[op.GetRouter()]
	if op.GetSerial() != 0 && op.GetSerial() < r.minSerial {
		return invalid("the opening has ended at its router")
	}
	r.raiseMinSerial(op.GetIncarnation(), op.GetOver())
	a := s.activeAccount(op.GetCustomer())
	if a == nil {
		return refused(kcwpb.Code_CODE_NOT_FOUND, "the customer is not known")
	}
	old := s.findClaim(a, op.GetRequest())
	if old != nil {
		if result := s.openConflict(old, op); result != nil {
			return result
		}
	}
	return s.reserve(a, old, op)
}

// openConflict returns the result of opening a request that already has the claim
// old, nil if op may replace it.
func (s *state) openConflict(old *claim, op *kcwpb.OpenClaim) *kcwpb.Result {
	if old.digestDiffers(op.GetDigest()) {
		return refused(kcwpb.Code_CODE_MISMATCH, "the request identity was used for another request")
	}
	own := old.router == op.GetRouter() && old.incarnation == op.GetIncarnation()
	late := own && op.GetAttempt() != 0 && op.GetAttempt() <= old.attempt
	switch old.state {
	case kcwpb.ClaimState_CLAIM_STATE_BILLED:
		return s.claimResultWithOwner(kcwpb.Code_CODE_BILLED, "the request is billed", old, op)
	case kcwpb.ClaimState_CLAIM_STATE_NOT_RUN:
		if late {
			return invalid("the opening was settled before")
		}
		return nil
	case kcwpb.ClaimState_CLAIM_STATE_UNKNOWN:
		if late {
			return invalid("the opening was settled before")
		}
		if old.repeatable && op.GetRepeatable() {
			return nil
		}
		return s.claimResultWithOwner(kcwpb.Code_CODE_OUTCOME_UNKNOWN, "what ran is not known", old, op)
	}
	return s.inProgressConflict(old, op, own)
}

// inProgressConflict is openConflict for a claim in state open.
func (s *state) inProgressConflict(old *claim, op *kcwpb.OpenClaim, own bool) *kcwpb.Result {
	if own && old.attempt == op.GetAttempt() {
		return claimResult(kcwpb.Code_CODE_REPEATED, "", old)
	}
	if own && op.GetAttempt() < old.attempt {
		return invalid("the claim was opened again since")
	}
	silent := old.router == op.GetSilentRouter() && old.incarnation == op.GetSilentIncarnation()
	ended := s.now >= old.leaseUntil || silent
	if !own && ended && old.repeatable && op.GetRepeatable() {
		return nil
	}
	result := s.claimResultWithOwner(kcwpb.Code_CODE_IN_PROGRESS, "the request is running", old, op)
	result.RetryAt = min(max(old.leaseUntil, s.now+int64(retryDelay)), s.now+int64(maxProgressRetryDelay))
	return result
}

// claimResultWithOwner returns a result that includes old and, if it belongs to
// another router than that of op, the owner's address.
func (s *state) claimResultWithOwner(code kcwpb.Code, detail string, old *claim, op *kcwpb.OpenClaim) *kcwpb.Result {
	result := claimResult(code, detail, old)
	if r := s.routers[old.router]; r != nil && old.router != op.GetRouter() {
		result.OwnerAddress = r.address
	}
	return result
}

// reserve opens a claim that replaces old, which is nil, was not run, or is adopted.
func (s *state) reserve(a *account, old *claim, op *kcwpb.OpenClaim) *kcwpb.Result {
	adopted := old != nil && !old.isClosed()
	counted := adopted && old.state == kcwpb.ClaimState_CLAIM_STATE_OPEN
	limits := a.contract.GetLimits()
	if !counted && limits.GetOpenRequests() > 0 && a.running >= limits.GetOpenRequests() {
		return limited("too many requests are open", s.now+int64(retryDelay))
	}
	requestsDue, tokensDue := a.requestsDue, a.tokensDue
	if !adopted {
		var conformsAt int64
		requestsDue, conformsAt = admit(a.requestsDue, s.now, 1, limits.GetRequestsPerMinute())
		if conformsAt > s.now {
			return limited("too many requests a minute", conformsAt)
		}
		tokensDue, conformsAt = admit(a.tokensDue, s.now, op.GetTokens(), limits.GetTokensPerMinute())
		if conformsAt > s.now {
			return limited("too many tokens a minute", conformsAt)
		}
	}
	g := a.grantOf(op.GetRouter(), op.GetIncarnation())
	next, grantTokens, ok := a.reserveTokens(old, op, g)
	if !ok {
		return s.exhausted(a)
	}
	if !next.valid() {
		return invariantViolation()
	}
	a = s.mutable(a)
	a.budget = next
	a.requestsDue, a.tokensDue = requestsDue, tokensDue
	if grantTokens > 0 {
		g.tokens -= grantTokens
		a.putGrant(g)
	}
	if !counted {
		a.running++
	}
	c := s.newOpenClaim(op, grantTokens)
	s.storeClaim(a, c)
	s.trackCustomer(c.router, a.customer)
	result := claimResult(kcwpb.Code_CODE_OK, "", c)
	result.Budget = a.message()
	if op.GetUseGrant() {
		result.Grant = g.message(a.customer)
	}
	return result
}

// reserveTokens returns the budget with the tokens of op reserved in place of those
// of old, and how many of them are taken from the grant g. It returns false if
// there are too few tokens.
func (a *account) reserveTokens(old *claim, op *kcwpb.OpenClaim, g grant) (next budget, grantTokens int64, ok bool) {
	next = a.budget
	if old != nil && !old.isClosed() {
		next.reserved -= old.tokens
	}
	if short := op.GetTokens() - next.free(); short > 0 {
		if !op.GetUseGrant() || short > g.tokens {
			return next, 0, false
		}
		grantTokens = short
	}
	next.granted -= grantTokens
	next.reserved += op.GetTokens()
	return next.applyWithheld(), grantTokens, true
}

// newOpenClaim returns the claim that op opens. Of its tokens, grantTokens are taken
// from the grant of the router incarnation.
func (s *state) newOpenClaim(op *kcwpb.OpenClaim, grantTokens int64) *claim {
	c := &claim{
		customer:    op.GetCustomer(),
		request:     op.GetRequest(),
		state:       kcwpb.ClaimState_CLAIM_STATE_OPEN,
		tokens:      op.GetTokens(),
		grantTokens: grantTokens,
		router:      s.routers[op.GetRouter()].name,
		incarnation: op.GetIncarnation(),
		repeatable:  op.GetRepeatable(),
		openedAt:    s.now,
		leaseUntil:  s.now + op.GetLeaseNanos(),
		attempt:     op.GetAttempt(),
	}
	c.setDigest(op.GetDigest())
	return c
}

// limited returns the refusal of a request that exceeds a limit until retryAt.
func limited(detail string, retryAt int64) *kcwpb.Result {
	result := refused(kcwpb.Code_CODE_LIMITED, detail)
	result.RetryAt = retryAt
	return result
}

// exhausted returns the refusal of a request that the budget does not cover. It has
// a retry time if reserved or granted tokens may become free.
func (s *state) exhausted(a *account) *kcwpb.Result {
	result := refused(kcwpb.Code_CODE_EXHAUSTED, "the budget lacks the tokens")
	result.Tokens = a.budget.free()
	result.Budget = a.message()
	if a.budget.reserved+a.budget.granted > 0 {
		result.RetryAt = s.now + int64(retryDelay)
	}
	return result
}
