package kcwgateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"kingcupwick.example/kcw/kcwanswer"
	"kingcupwick.example/kcw/kcwpb"
)

// errCallerGone is the cancellation cause of a request whose callers have all
// disconnected.
var errCallerGone = eris.New("all callers have disconnected")

// requestResult is the result of executing a request.
type requestResult struct {
	// result is that of the last attempt.
	result attemptResult
	// refusal is nil if the answer is complete and its bill durable.
	refusal *refusal
	// pendingSettlement is the settlement that must still be made durable to close
	// the claim, or nil.
	pendingSettlement *kcwpb.SettleClaim
	// peerAnswer is an answer that was fetched from another router.
	peerAnswer *kcwpb.AnswerPart
}

// startOrJoin executes req, or attaches the caller to the execution that is in
// progress. It returns the refusal of a request that is not started, or nil.
func (g *Gateway) startOrJoin(w http.ResponseWriter, r *http.Request, req *request) *refusal {
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(r.Context()))
	f, first, match := g.flights.join(req.flightKey(), req.digest, cancel)
	if !match {
		cancel(nil)
		return refuse(codeIdentityReused, g.cfg.Now(), "")
	}
	// The caller leaves the flight exactly once: when its connection closes or when this
	// function returns, whichever occurs first.
	stopLeave := context.AfterFunc(r.Context(), func() { g.flights.leave(f, errCallerGone) })
	defer func() {
		if stopLeave() {
			g.flights.leave(f, errCallerGone)
		}
	}()
	if !first {
		cancel(nil)
		return g.attach(w, r, req, f)
	}
	defer cancel(nil)
	answer, err := g.cfg.Answers.Get(req.contract.Customer, req.identity, req.digest)
	var failure *kcwanswer.Error
	if errors.As(err, &failure) && failure.Kind == kcwanswer.KindMismatch {
		refused := refuse(codeIdentityReused, g.cfg.Now(), "")
		g.flights.resolve(f, flightResult{refusal: refused})
		g.flights.remove(f)
		return refused
	}
	if err == nil {
		g.flights.resolve(f, flightResult{answer: answer})
		g.flights.remove(f)
		g.replay(r.Context(), w, req, answer)
		return nil
	}
	g.serveFirst(ctx, w, req, f)
	return nil
}

// attach waits for the result of a flight that another connection started, and
// answers with it.
func (g *Gateway) attach(w http.ResponseWriter, r *http.Request, req *request, f *flight) *refusal {
	timer := time.NewTimer(g.cfg.AnswerTimeout)
	defer timer.Stop()
	select {
	case <-f.done:
	case <-timer.C:
		return refuse(codeInProgress, g.cfg.Now(), "")
	case <-r.Context().Done():
		return refuse(codeCallerGone, g.cfg.Now(), "")
	}
	switch {
	case f.result.answer != nil:
		g.replay(r.Context(), w, req, f.result.answer)
		return nil
	case f.result.refusal.code == codeCallerGone:
		// The callers that disconnected were others, not this one.
		return refuse(codeInProgress, g.cfg.Now(), "")
	default:
		return f.result.refusal
	}
}

// serveFirst executes a request and answers its first caller.
func (g *Gateway) serveFirst(ctx context.Context, w http.ResponseWriter, req *request, f *flight) {
	d := newDelivery(w, req, g.cfg)
	res := g.run(ctx, req, f, d)
	g.publish(req, f, d, res)
	g.logRequest(req, d, res)
	switch {
	case res.peerAnswer != nil:
		g.replay(ctx, w, req, res.peerAnswer)
	case res.refusal == nil:
		req.memory.deliver(d.deadline, func() { d.finish(res.result) })
	case d.started:
		d.sendError(res.refusal)
		// The caller has part of the answer. Only an aborted connection shows that it is
		// incomplete.
		panic(http.ErrAbortHandler)
	default:
		g.extendWriteDeadline(w)
		res.refusal.write(w, req.identity, g.cfg.Now())
	}
}

// publish passes the result to every caller of the flight. If the claim is still
// open, publish closes it in the background.
func (g *Gateway) publish(req *request, f *flight, d *delivery, res requestResult) {
	shared := flightResult{refusal: res.refusal, answer: res.peerAnswer}
	answer := res.peerAnswer
	if res.result.complete {
		answer = d.storedAnswer(res.result)
	}
	if res.refusal == nil && shared.answer == nil {
		shared.answer = answer
	}
	if shared.answer == nil && shared.refusal == nil {
		shared.refusal = refuse(codeAnswerGone, g.cfg.Now(), "")
	}
	g.flights.resolve(f, shared)
	if res.pendingSettlement == nil {
		g.endFlight(req, f, answer)
		return
	}
	g.unsettled.Add(1)
	g.settling.Go(func() {
		defer g.unsettled.Add(-1)
		if g.settleUntil(g.settleCtx, res.pendingSettlement) != nil {
			answer = nil
		}
		g.endFlight(req, f, answer)
	})
}

// endFlight stores a complete answer whose bill is durable and removes the flight.
// It stores the answer first, so that a retry finds either the flight or the
// answer.
func (g *Gateway) endFlight(req *request, f *flight, answer *kcwpb.AnswerPart) {
	if answer != nil {
		g.cfg.Answers.Put(req.contract.Customer, req.identity, req.digest, answer, req.contract.AnswerRetention)
	}
	g.flights.remove(f)
}

// replay answers with a stored answer.
func (g *Gateway) replay(ctx context.Context, w http.ResponseWriter, req *request, answer *kcwpb.AnswerPart) {
	// The error is that of a caller that has left.
	if req.memory.acquireAnswer(ctx, int64(len(answer.GetBody()))) != nil {
		panic(http.ErrAbortHandler)
	}
	deadline := &writeDeadline{control: http.NewResponseController(w)}
	deadline.set(g.cfg.Now().Add(g.cfg.WriteTimeout))
	req.memory.deliver(deadline, func() {
		header := w.Header()
		header.Set("Content-Type", answer.GetContentType())
		header.Set(RequestHeader, req.identity)
		header.Set(ReplayedHeader, "true")
		w.WriteHeader(int(answer.GetStatus()))
		// A write fails only if the caller has disconnected or was cut.
		_, _ = w.Write(answer.GetBody())
	})
}

// logRequest logs a request that ended and reports it to the observer.
func (g *Gateway) logRequest(req *request, d *delivery, res requestResult) {
	codeText, out := "ok", ran
	switch {
	case res.refusal != nil:
		codeText, out = string(res.refusal.code), res.refusal.outcome
	case res.result.code != "":
		codeText, out = string(res.result.code), unknown
	}
	klog.InfoS("request", "Request", req.identity, "Customer", req.contract.Customer, "Team", req.team.Name,
		"Service", req.service, "Upstream", res.result.upstream, "Attempt", res.result.attempt, "Outcome", string(out),
		"Code", codeText, "Tokens", res.result.tokens, "Cause", errorText(res.result.err))
	g.observe(req.service, codeText, req.startedAt, d.firstByteAt, res.result.tokens)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
