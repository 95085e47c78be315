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
	settlePauseFirst = 50 * time.Millisecond
	settlePauseMost  = 5 * time.Second
)

// errNotOurs is a claim that this router may not close, or not any more.
var errNotOurs = eris.New("the claim is not this router's to close")

// isFinal says whether an error of settling will not go away.
func isFinal(err error) bool { return errors.Is(err, errNotOurs) }

// settlement returns the closing of the claim of req.
func (g *Gateway) settlement(req *request, res result, outcome kcwpb.Outcome, tokens int64, digest []byte) *kcwpb.SettleClaim {
	return &kcwpb.SettleClaim{
		Customer: req.contract.Customer, Request: req.identity,
		Router: g.cfg.Router, Incarnation: g.cfg.Incarnation, Attempt: req.attempt,
		Outcome: outcome, Tokens: tokens, Repeatable: req.repeatable, Digest: req.digest,
		Upstream: res.upstream, AnswerDigest: digest,
	}
}

// settleOnce closes a claim. It returns nil if that is durable, and an error
// for which isFinal holds if it never will be.
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
		return eris.Wrapf(errNotOurs, "%s", reply.GetCode())
	}
}

// settleUntil closes a claim, trying again until it is durable, never will be,
// or ctx ends.
func (g *Gateway) settleUntil(ctx context.Context, claim *kcwpb.SettleClaim) error {
	pause := settlePauseFirst
	for {
		limited, cancel := context.WithTimeout(ctx, g.cfg.SettleTimeout)
		err := g.settleOnce(limited, claim)
		cancel()
		if err == nil || isFinal(err) {
			return err
		}
		klog.InfoS("claim not settled", "Request", claim.GetRequest(), "Customer", claim.GetCustomer(), "Cause", err.Error())
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return ctx.Err()
		}
		pause = min(2*pause, settlePauseMost)
	}
}
