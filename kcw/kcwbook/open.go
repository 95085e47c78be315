package kcwbook

import "kingcupwick.example/kcw/kcwpb"

// openClaim reserves tokens for a request before it is dispatched.
func (s *state) openClaim(op *kcwpb.OpenClaim) *kcwpb.Result {
	if problem := checkOpen(op); problem != "" {
		return invalid(problem)
	}
	if refusal := s.actor(op.GetRouter(), op.GetIncarnation()); refusal != nil {
		return refusal
	}
	r := s.routers[op.GetRouter()]
	if op.GetSerial() != 0 && op.GetSerial() < r.over {
		return invalid("the opening has ended at its router")
	}
	r.ended(op.GetIncarnation(), op.GetOver())
	a := s.live(op.GetCustomer())
	if a == nil {
		return refused(kcwpb.Code_CODE_NOT_FOUND, "the customer is not known")
	}
	old := s.find(a, op.GetRequest())
	if old != nil {
		if result := s.contest(old, op); result != nil {
			return result
		}
	}
	return s.reserve(a, old, op)
}

// contest returns the result of opening a request that has the claim old, nil
// if op may have it.
func (s *state) contest(old *claim, op *kcwpb.OpenClaim) *kcwpb.Result {
	if old.differs(op.GetDigest()) {
		return refused(kcwpb.Code_CODE_MISMATCH, "the request identity was used for another request")
	}
	own := old.router == op.GetRouter() && old.incarnation == op.GetIncarnation()
	late := own && op.GetAttempt() != 0 && op.GetAttempt() <= old.attempt
	switch old.state {
	case kcwpb.ClaimState_CLAIM_STATE_BILLED:
		return s.shown(kcwpb.Code_CODE_BILLED, "the request is billed", old, op)
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
		return s.shown(kcwpb.Code_CODE_OUTCOME_UNKNOWN, "what ran is not known", old, op)
	}
	return s.contestOpen(old, op, own)
}

// contestOpen is contest for a claim in state open.
func (s *state) contestOpen(old *claim, op *kcwpb.OpenClaim, own bool) *kcwpb.Result {
	if own && old.attempt == op.GetAttempt() {
		return showing(kcwpb.Code_CODE_REPEATED, "", old)
	}
	if own && op.GetAttempt() < old.attempt {
		return invalid("the claim was opened again since")
	}
	silent := old.router == op.GetSilentRouter() && old.incarnation == op.GetSilentIncarnation()
	ended := s.at >= old.leaseUntil || silent
	if !own && ended && old.repeatable && op.GetRepeatable() {
		return nil
	}
	result := s.shown(kcwpb.Code_CODE_IN_PROGRESS, "the request is running", old, op)
	result.RetryAt = min(max(old.leaseUntil, s.at+int64(retryPause)), s.at+int64(progressPause))
	return result
}

// shown returns a result that shows old and where its owner answers, if that
// is another router than the one of op.
func (s *state) shown(code kcwpb.Code, detail string, old *claim, op *kcwpb.OpenClaim) *kcwpb.Result {
	result := showing(code, detail, old)
	if r := s.routers[old.router]; r != nil && old.router != op.GetRouter() {
		result.OwnerAddress = r.address
	}
	return result
}

// reserve opens a claim in place of old, which is nil, not run, or adopted.
func (s *state) reserve(a *account, old *claim, op *kcwpb.OpenClaim) *kcwpb.Result {
	adopted := old != nil && !old.isClosed()
	counted := adopted && old.state == kcwpb.ClaimState_CLAIM_STATE_OPEN
	limits := a.contract.GetLimits()
	if !counted && limits.GetOpenRequests() > 0 && a.running >= limits.GetOpenRequests() {
		return limited("too many requests are open", s.at+int64(retryPause))
	}
	requestsDue, tokensDue := a.requestsDue, a.tokensDue
	if !adopted {
		var conforms int64
		requestsDue, conforms = admit(a.requestsDue, s.at, 1, limits.GetRequestsPerMinute())
		if conforms > s.at {
			return limited("too many requests a minute", conforms)
		}
		tokensDue, conforms = admit(a.tokensDue, s.at, op.GetTokens(), limits.GetTokensPerMinute())
		if conforms > s.at {
			return limited("too many tokens a minute", conforms)
		}
	}
	g := a.grantOf(op.GetRouter(), op.GetIncarnation())
	next, taken, ok := a.cover(old, op, g)
	if !ok {
		return s.exhausted(a)
	}
	if !next.valid() {
		return broken()
	}
	a = s.owned(a)
	a.budget = next
	a.requestsDue, a.tokensDue = requestsDue, tokensDue
	if taken > 0 {
		g.tokens -= taken
		a.putGrant(g)
	}
	if !counted {
		a.running++
	}
	c := s.opened(op, taken)
	s.file(a, c)
	s.holds(c.router, a.customer)
	result := showing(kcwpb.Code_CODE_OK, "", c)
	result.Budget = a.message()
	if op.GetUseGrant() {
		result.Grant = g.message(a.customer)
	}
	return result
}

// cover returns the budget with the tokens of op reserved in place of those of
// old, and how many of them come out of the grant g. It returns false if the
// tokens are not there.
func (a *account) cover(old *claim, op *kcwpb.OpenClaim, g grant) (next budget, taken int64, ok bool) {
	next = a.budget
	if old != nil && !old.isClosed() {
		next.reserved -= old.tokens
	}
	if short := op.GetTokens() - next.free(); short > 0 {
		if !op.GetUseGrant() || short > g.tokens {
			return next, 0, false
		}
		taken = short
	}
	next.granted -= taken
	next.reserved += op.GetTokens()
	return next.absorb(), taken, true
}

// opened returns the claim that op opens.
func (s *state) opened(op *kcwpb.OpenClaim, taken int64) *claim {
	c := &claim{
		customer:    op.GetCustomer(),
		request:     op.GetRequest(),
		state:       kcwpb.ClaimState_CLAIM_STATE_OPEN,
		tokens:      op.GetTokens(),
		grantTokens: taken,
		router:      s.routers[op.GetRouter()].name,
		incarnation: op.GetIncarnation(),
		repeatable:  op.GetRepeatable(),
		openedAt:    s.at,
		leaseUntil:  s.at + op.GetLeaseNanos(),
		attempt:     op.GetAttempt(),
	}
	c.setDigest(op.GetDigest())
	return c
}

// limited returns the refusal of a request that a limit holds until retryAt.
func limited(detail string, retryAt int64) *kcwpb.Result {
	result := refused(kcwpb.Code_CODE_LIMITED, detail)
	result.RetryAt = retryAt
	return result
}

// exhausted returns the refusal of a request that the budget can't cover. A
// later try can succeed if tokens may return.
func (s *state) exhausted(a *account) *kcwpb.Result {
	result := refused(kcwpb.Code_CODE_EXHAUSTED, "the budget lacks the tokens")
	result.Tokens = a.budget.free()
	result.Budget = a.message()
	if a.budget.reserved+a.budget.granted > 0 {
		result.RetryAt = s.at + int64(retryPause)
	}
	return result
}
