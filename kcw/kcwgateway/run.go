package kcwgateway

import (
	"context"
	"errors"
	"time"

	"kingcupwick.example/kcw/kcwlimit"
	"kingcupwick.example/kcw/kcwpb"
)

// run waits for a slot, opens the claim of req, sends req to an upstream and closes
// the claim.
func (g *Gateway) run(ctx context.Context, req *request, f *flight, d *delivery) requestResult {
	s, refused := g.pool.acquireSlot(ctx, req)
	if refused != nil {
		return g.reject(ctx, req, refused)
	}
	var cost int64
	defer func() { s.release(cost) }()
	// The connection to the upstream is set up while the claim is opened.
	first, ok := g.pool.pick(ctx, g.cfg.Now(), req, nil)
	if !ok {
		return g.reject(ctx, req, refuse(codeNoUpstream, g.cfg.Now(), ""))
	}
	opened, failed := g.open(ctx, req)
	if !opened {
		g.pool.cancelSelection(first)
		return failed
	}
	if req.limitedLocally {
		defer g.cfg.Limits.Close(req.contract.Customer)
	}
	if !req.repeatable {
		// If it were cancelled halfway, its outcome would be unknown. It is completed
		// instead, and its answer is stored for a retry.
		g.flights.detach(f)
	}
	res := g.dispatch(ctx, req, d, s.service, first)
	cost = res.tokens
	return g.settleAttempt(ctx, req, d, res)
}

// reject ends a request that gets no upstream with the given refusal. A request
// that must not be repeated, and whose identity the caller gave, may be a retry of
// one that ran. The state of its claim shows that; a claim that reject itself opens
// for this check is closed as not run.
func (g *Gateway) reject(ctx context.Context, req *request, refused *refusal) requestResult {
	if req.repeatable || !req.identityGiven || refused.code == codeCallerGone {
		return requestResult{refusal: refused}
	}
	opened, failed := g.open(ctx, req)
	if !opened {
		return failed
	}
	if req.limitedLocally {
		g.cfg.Limits.Close(req.contract.Customer)
	}
	return requestResult{refusal: refused, pendingSettlement: g.newSettlement(req, attemptResult{}, kcwpb.Outcome_OUTCOME_NOT_RUN, 0, nil)}
}

// open opens the claim of req. If opened is false, the request ends with the result
// returned.
func (g *Gateway) open(ctx context.Context, req *request) (opened bool, failed requestResult) {
	req.openAttempt = g.openAttempts.Add(1)
	claim := &kcwpb.OpenClaim{
		Customer: req.contract.Customer, Request: req.identity, Tokens: req.reservation,
		Router: g.cfg.Router, Incarnation: g.cfg.Incarnation, Attempt: req.openAttempt,
		Repeatable: req.repeatable, Digest: req.digest,
		LeaseNanos: int64(g.cfg.AnswerTimeout),
	}
	openCtx, cancel := context.WithTimeout(ctx, g.cfg.OpenTimeout)
	defer cancel()
	reply, err := g.cfg.Accounts.Open(openCtx, claim)
	now := g.cfg.Now()
	if err != nil {
		// The ledger may still open the claim later, so it is closed as not run.
		refused := refuse(codeLedgerUnavailable, now, "")
		if req.identityGiven && !req.repeatable {
			// An earlier attempt with the same identity may have run.
			refused.outcome = unknown
		}
		return false, requestResult{refusal: refused, pendingSettlement: g.newSettlement(req, attemptResult{err: err}, kcwpb.Outcome_OUTCOME_NOT_RUN, 0, nil)}
	}
	switch reply.GetCode() {
	case kcwpb.Code_CODE_OK, kcwpb.Code_CODE_REPEATED:
		return g.checkOpened(req, reply)
	case kcwpb.Code_CODE_BILLED, kcwpb.Code_CODE_IN_PROGRESS:
		return false, g.fromOwner(ctx, req, reply)
	default:
		return false, requestResult{refusal: openRefusal(reply, now)}
	}
}

// checkOpened checks that the claim in the reply, if there is one, is open and was
// opened by this attempt of this incarnation of the router. It applies the limits to
// a claim out of a grant.
func (g *Gateway) checkOpened(req *request, reply *kcwpb.Result) (bool, requestResult) {
	claim := reply.GetClaim()
	owned := claim.GetRouter() == g.cfg.Router && claim.GetIncarnation() == g.cfg.Incarnation
	if claim != nil && (!owned || claim.GetAttempt() != req.openAttempt || claim.GetState() != kcwpb.ClaimState_CLAIM_STATE_OPEN) {
		return false, requestResult{refusal: refuse(codeInProgress, g.cfg.Now(), "")}
	}
	if claim.GetFromGrant() && g.cfg.Limits != nil {
		return g.applyLimits(req)
	}
	return true, requestResult{}
}

// applyLimits counts a request whose claim was opened out of a grant against this
// router's share of the limits. The ledger applies the limits to all other claims.
func (g *Gateway) applyLimits(req *request) (bool, requestResult) {
	now := g.cfg.Now()
	err := g.cfg.Limits.Open(now, req.contract.Customer, req.contract.Message().GetLimits(), req.reservation)
	if err == nil {
		req.limitedLocally = true
		return true, requestResult{}
	}
	refused := refuse(codeLimitReached, now, "")
	var failure *kcwlimit.Error
	if errors.As(err, &failure) && !failure.RetryAt.IsZero() {
		refused.withRetryAt(failure.RetryAt)
	}
	return false, requestResult{refusal: refused, result: attemptResult{err: err}, pendingSettlement: g.newSettlement(req, attemptResult{}, kcwpb.Outcome_OUTCOME_NOT_RUN, 0, nil)}
}

// openRefusal returns the refusal for a claim that was not opened.
func openRefusal(reply *kcwpb.Result, now time.Time) *refusal {
	var refused *refusal
	switch reply.GetCode() {
	case kcwpb.Code_CODE_EXHAUSTED:
		refused = refuse(codeBudgetExhausted, now, "")
	case kcwpb.Code_CODE_LIMITED:
		refused = refuse(codeLimitReached, now, "")
	case kcwpb.Code_CODE_FENCED:
		refused = refuse(codeRouterFenced, now, "")
	case kcwpb.Code_CODE_NOT_FOUND:
		refused = refuse(codeUnknownKey, now, "")
	case kcwpb.Code_CODE_MISMATCH:
		refused = refuse(codeIdentityReused, now, "")
	case kcwpb.Code_CODE_OUTCOME_UNKNOWN:
		refused = refuse(codeOutcomeUnknown, now, "")
	case kcwpb.Code_CODE_BILLED:
		refused = refuse(codeAnswerGone, now, "")
	case kcwpb.Code_CODE_IN_PROGRESS:
		refused = refuse(codeInProgress, now, "")
	default:
		refused = refuse(codeLedgerUnavailable, now, "")
	}
	if at := reply.GetRetryAt(); at > 0 {
		refused.withRetryAt(time.Unix(0, at))
	}
	// The time that the ledger returns is limited, since the failure of the claim's owner
	// is detected long before its lease ends.
	if latest := now.Add(longWait); reply.GetCode() == kcwpb.Code_CODE_IN_PROGRESS && refused.retryAt.After(latest) {
		refused.withRetryAt(latest)
	}
	return refused
}

// fromOwner returns the result of a request whose claim is already open or billed.
// If another router owns the claim, the answer is fetched from it.
func (g *Gateway) fromOwner(ctx context.Context, req *request, reply *kcwpb.Result) requestResult {
	// If this router owns the claim, the request is refused without waiting: no answer
	// to it is stored here.
	if reply.GetOwnerAddress() != "" && reply.GetClaim().GetRouter() != g.cfg.Router {
		answer, err := g.fetch(ctx, reply, req)
		if err == nil {
			return requestResult{peerAnswer: answer}
		}
		refused := openRefusal(reply, g.cfg.Now())
		var failure *Error
		if refused.code == codeAnswerGone && errors.As(err, &failure) && failure.Kind == KindPeerSilent {
			refused = refuse(codeAnswerUnreachable, g.cfg.Now(), "")
		}
		return requestResult{refusal: refused, result: attemptResult{err: err}}
	}
	return requestResult{refusal: openRefusal(reply, g.cfg.Now())}
}

// settleAttempt closes the claim according to the result of the last attempt.
func (g *Gateway) settleAttempt(ctx context.Context, req *request, d *delivery, res attemptResult) requestResult {
	if res.complete {
		d.storeWithheld(res.withheld)
		settle := g.newSettlement(req, res, kcwpb.Outcome_OUTCOME_RAN, res.tokens, d.digest.Sum(nil))
		settleCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), g.cfg.SettleTimeout)
		defer cancel()
		err := g.settleOnce(settleCtx, settle)
		switch {
		case err == nil:
			return requestResult{result: res}
		case isFinal(err):
			res.err, res.complete = err, false
			return requestResult{result: res, refusal: refuse(codeNotDurable, g.cfg.Now(), "").withOutcome(unknown, req.repeatable)}
		default:
			res.err = err
			return requestResult{result: res, refusal: refuse(codeNotDurable, g.cfg.Now(), ""), pendingSettlement: settle}
		}
	}
	refused := refuse(res.code, g.cfg.Now(), "").withOutcome(res.outcome(), req.repeatable)
	return requestResult{result: res, refusal: refused, pendingSettlement: g.failedSettlement(req, res)}
}

// failedSettlement returns the settlement for a request without a complete answer.
func (g *Gateway) failedSettlement(req *request, res attemptResult) *kcwpb.SettleClaim {
	switch {
	case !res.sent:
		return g.newSettlement(req, res, kcwpb.Outcome_OUTCOME_NOT_RUN, 0, nil)
	case res.ran:
		return g.newSettlement(req, res, kcwpb.Outcome_OUTCOME_RAN, res.tokens, nil)
	default:
		// The tokens stay reserved until a retry or an operator resolves the claim.
		return g.newSettlement(req, res, kcwpb.Outcome_OUTCOME_UNKNOWN, req.reservation, nil)
	}
}
