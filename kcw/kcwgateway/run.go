package kcwgateway

import (
	"context"
	"errors"
	"time"

	"kingcupwick.example/kcw/kcwlimit"
	"kingcupwick.example/kcw/kcwpb"
)

// run takes a request from the queue through its claim to its upstream.
func (g *Gateway) run(ctx context.Context, req *request, f *flight, d *delivery) ending {
	at, bad := g.pool.admit(ctx, req)
	if bad != nil {
		return g.reject(ctx, req, bad)
	}
	var cost int64
	defer func() { at.release(cost) }()
	// The connection is opened while the claim is.
	first, ok := g.pool.pick(ctx, g.cfg.Now(), req, nil)
	if !ok {
		return g.reject(ctx, req, refuse(codeNoUpstream, g.cfg.Now(), ""))
	}
	opened, e := g.open(ctx, req)
	if !opened {
		g.pool.drop(first)
		return e
	}
	if req.limited {
		defer g.cfg.Limits.Close(req.contract.Customer)
	}
	if !req.repeatable {
		// Cancelled halfway its outcome would be unknown; finished, its answer
		// is kept for a retry.
		g.flights.hold(f)
	}
	res := g.dispatch(ctx, req, d, at.lane, first)
	cost = res.tokens
	return g.close(ctx, req, d, res)
}

// reject ends a request that gets no upstream, for the reason bad. A request
// that must not be repeated and that its caller named may be a retry of one that
// ran: its claim tells, and is closed again if it was opened by this.
func (g *Gateway) reject(ctx context.Context, req *request, bad *refusal) ending {
	if req.repeatable || !req.named || bad.code == codeCallerGone {
		return ending{refusal: bad}
	}
	opened, e := g.open(ctx, req)
	if !opened {
		return e
	}
	if req.limited {
		g.cfg.Limits.Close(req.contract.Customer)
	}
	return ending{refusal: bad, settle: g.settlement(req, result{}, kcwpb.Outcome_OUTCOME_NOT_RUN, 0, nil)}
}

// open opens the claim of req. If opened is false the request ended there.
func (g *Gateway) open(ctx context.Context, req *request) (opened bool, e ending) {
	req.attempt = g.attempts.Add(1)
	claim := &kcwpb.OpenClaim{
		Customer: req.contract.Customer, Request: req.identity, Tokens: req.reserve,
		Router: g.cfg.Router, Incarnation: g.cfg.Incarnation, Attempt: req.attempt,
		Repeatable: req.repeatable, Digest: req.digest,
		LeaseNanos: int64(g.cfg.AnswerTimeout),
	}
	limited, cancel := context.WithTimeout(ctx, g.cfg.OpenTimeout)
	defer cancel()
	reply, err := g.cfg.Accounts.Open(limited, claim)
	now := g.cfg.Now()
	if err != nil {
		// The claim may yet be opened, so that it is closed as not run.
		bad := refuse(codeLedgerUnavailable, now, "")
		if req.named && !req.repeatable {
			// An earlier try under this name may have run.
			bad.outcome = unknown
		}
		return false, ending{refusal: bad, settle: g.settlement(req, result{err: err}, kcwpb.Outcome_OUTCOME_NOT_RUN, 0, nil)}
	}
	switch reply.GetCode() {
	case kcwpb.Code_CODE_OK, kcwpb.Code_CODE_REPEATED:
		return g.opened(req, reply)
	case kcwpb.Code_CODE_BILLED, kcwpb.Code_CODE_IN_PROGRESS:
		return false, g.elsewhere(ctx, req, reply)
	default:
		return false, ending{refusal: openRefusal(reply, now)}
	}
}

// opened checks that a claim told to be open is this opening's.
func (g *Gateway) opened(req *request, reply *kcwpb.Result) (bool, ending) {
	claim := reply.GetClaim()
	ours := claim.GetRouter() == g.cfg.Router && claim.GetIncarnation() == g.cfg.Incarnation
	if claim != nil && (!ours || claim.GetAttempt() != req.attempt || claim.GetState() != kcwpb.ClaimState_CLAIM_STATE_OPEN) {
		return false, ending{refusal: refuse(codeInProgress, g.cfg.Now(), "")}
	}
	if claim.GetFromGrant() && g.cfg.Limits != nil {
		return g.limit(req)
	}
	return true, ending{}
}

// limit counts a request away from the ledger, which else applies the limits.
func (g *Gateway) limit(req *request) (bool, ending) {
	now := g.cfg.Now()
	err := g.cfg.Limits.Open(now, req.contract.Customer, req.contract.Message().GetLimits(), req.reserve)
	if err == nil {
		req.limited = true
		return true, ending{}
	}
	bad := refuse(codeLimitReached, now, "")
	var failure *kcwlimit.Error
	if errors.As(err, &failure) && !failure.RetryAt.IsZero() {
		bad.until(failure.RetryAt)
	}
	return false, ending{refusal: bad, result: result{err: err}, settle: g.settlement(req, result{}, kcwpb.Outcome_OUTCOME_NOT_RUN, 0, nil)}
}

// openRefusal returns the refusal for a claim that was not opened.
func openRefusal(reply *kcwpb.Result, now time.Time) *refusal {
	var bad *refusal
	switch reply.GetCode() {
	case kcwpb.Code_CODE_EXHAUSTED:
		bad = refuse(codeBudgetExhausted, now, "")
	case kcwpb.Code_CODE_LIMITED:
		bad = refuse(codeLimitReached, now, "")
	case kcwpb.Code_CODE_FENCED:
		bad = refuse(codeRouterFenced, now, "")
	case kcwpb.Code_CODE_NOT_FOUND:
		bad = refuse(codeUnknownKey, now, "")
	case kcwpb.Code_CODE_MISMATCH:
		bad = refuse(codeIdentityReused, now, "")
	case kcwpb.Code_CODE_OUTCOME_UNKNOWN:
		bad = refuse(codeOutcomeUnknown, now, "")
	case kcwpb.Code_CODE_BILLED:
		bad = refuse(codeAnswerGone, now, "")
	case kcwpb.Code_CODE_IN_PROGRESS:
		bad = refuse(codeInProgress, now, "")
	default:
		bad = refuse(codeLedgerUnavailable, now, "")
	}
	if at := reply.GetRetryAt(); at > 0 {
		bad.until(time.Unix(0, at))
	}
	// An owner that is gone is noticed long before its lease ends.
	if soon := now.Add(longWait); reply.GetCode() == kcwpb.Code_CODE_IN_PROGRESS && bad.retryAt.After(soon) {
		bad.until(soon)
	}
	return bad
}

// elsewhere answers a request whose claim another router works on or closed.
func (g *Gateway) elsewhere(ctx context.Context, req *request, reply *kcwpb.Result) ending {
	// A claim of this router's own would be waited for in vain: no answer is
	// kept here.
	if reply.GetOwnerAddress() != "" && reply.GetClaim().GetRouter() != g.cfg.Router {
		answer, err := g.fetch(ctx, reply, req)
		if err == nil {
			return ending{replay: answer}
		}
		return ending{refusal: openRefusal(reply, g.cfg.Now()), result: result{err: err}}
	}
	return ending{refusal: openRefusal(reply, g.cfg.Now())}
}

// close closes the claim after the attempt that counts.
func (g *Gateway) close(ctx context.Context, req *request, d *delivery, res result) ending {
	if res.whole {
		d.keep(res.final)
		settle := g.settlement(req, res, kcwpb.Outcome_OUTCOME_RAN, res.tokens, d.digest.Sum(nil))
		limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), g.cfg.SettleTimeout)
		defer cancel()
		err := g.settleOnce(limited, settle)
		switch {
		case err == nil:
			return ending{result: res}
		case isFinal(err):
			res.err, res.whole = err, false
			return ending{result: res, refusal: refuse(codeNotDurable, g.cfg.Now(), "").as(unknown, req.repeatable)}
		default:
			res.err = err
			return ending{result: res, refusal: refuse(codeNotDurable, g.cfg.Now(), ""), settle: settle}
		}
	}
	bad := refuse(res.code, g.cfg.Now(), "").as(res.outcome(), req.repeatable)
	return ending{result: res, refusal: bad, settle: g.failedSettlement(req, res)}
}

// failedSettlement returns how the claim of a request without a whole answer
// is closed.
func (g *Gateway) failedSettlement(req *request, res result) *kcwpb.SettleClaim {
	switch {
	case !res.sent:
		return g.settlement(req, res, kcwpb.Outcome_OUTCOME_NOT_RUN, 0, nil)
	case res.ran:
		return g.settlement(req, res, kcwpb.Outcome_OUTCOME_RAN, res.tokens, nil)
	default:
		// The tokens stay reserved for a retry or an operator's word.
		return g.settlement(req, res, kcwpb.Outcome_OUTCOME_UNKNOWN, req.reserve, nil)
	}
}
