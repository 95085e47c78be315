package kcwgateway

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"kingcupwick.example/kcw/kcwpb"
)

const (
	settleInitialBackoff = 50 * time.Millisecond
	settleMaxBackoff     = 5 * time.Second
)

// errNotOwner reports a claim that this router may not close, or may no longer
// close.
var errNotOwner = eris.New("this router does not own the claim")

// isFinal reports whether err is permanent, so that closing the claim must not be
// retried.
func isFinal(err error) bool { return errors.Is(err, errNotOwner) }

// newSettlement returns the command that closes the claim of req.
func (g *Gateway) newSettlement(req *request, res attemptResult, outcome kcwpb.Outcome, tokens int64, digest []byte) *kcwpb.SettleClaim {
	return &kcwpb.SettleClaim{
		Customer: req.contract.Customer, Request: req.identity,
		Router: g.cfg.Router, Incarnation: g.cfg.Incarnation, Attempt: req.openAttempt,
		Outcome: outcome, Tokens: tokens, Repeatable: req.repeatable, Digest: req.digest,
		Upstream: res.upstream, AnswerDigest: digest,
	}
}

// settleOnce tries to close a claim. It returns nil if the claim is durably closed. If
// isFinal holds for the error, this router can never close the claim.
func (g *Gateway) settleOnce(ctx context.Context, claim *kcwpb.SettleClaim) error {
	reply, err := g.cfg.Accounts.Settle(ctx, claim)
	if err != nil {
		return eris.Wrap(err, "settle")
	}
	switch reply.GetCode() {
	case kcwpb.Code_CODE_OK, kcwpb.Code_CODE_REPEATED:
		return nil
	case kcwpb.Code_CODE_UNSPECIFIED, kcwpb.Code_CODE_LIMITED:
		return eris.Errorf("settle: %s", reply.GetCode())
	default:
		return eris.Wrapf(errNotOwner, "%s", reply.GetCode())
	}
}

// settleUntil tries to close a claim until it is durably closed, a permanent error
// occurs, or ctx ends.
func (g *Gateway) settleUntil(ctx context.Context, claim *kcwpb.SettleClaim) error {
	backoff := settleInitialBackoff
	for {
		timeoutCtx, cancel := context.WithTimeout(ctx, g.cfg.SettleTimeout)
		err := g.settleOnce(timeoutCtx, claim)
		cancel()
		if err == nil || isFinal(err) {
			return err
		}
		klog.InfoS("claim not settled", "Request", claim.GetRequest(), "Customer", claim.GetCustomer(), "Cause", err.Error())
		select {
		case <-time.After(backoff):
		case <-ctx.Done():
			return ctx.Err()
		}
		backoff = min(2*backoff, settleMaxBackoff)
	}
}
