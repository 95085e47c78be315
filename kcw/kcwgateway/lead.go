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

// errCallerGone is the cause of a request whose callers all went away.
var errCallerGone = eris.New("no caller is left")

// ending is how the work on a request ended.
type ending struct {
	// result is the attempt that counts.
	result result
	// refusal is nil if the answer is whole and its bill durable.
	refusal *refusal
	// settle is a closing of the claim that is not durable yet, or nil.
	settle *kcwpb.SettleClaim
	// replay is an answer that another router gave.
	replay *kcwpb.AnswerPart
}

// begin works on req, or attaches the caller to the work under way. It returns
// the refusal of a request that is not begun, or nil.
func (g *Gateway) begin(w http.ResponseWriter, r *http.Request, req *request) *refusal {
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(r.Context()))
	f, first, match := g.flights.join(req.id(), req.digest, cancel)
	if !match {
		cancel(nil)
		return refuse(codeIdentityReused, g.cfg.Now(), "")
	}
	// The caller leaves once: when its connection ends or its answer does.
	left := context.AfterFunc(r.Context(), func() { g.flights.leave(f, errCallerGone) })
	defer func() {
		if left() {
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
		bad := refuse(codeIdentityReused, g.cfg.Now(), "")
		g.flights.decide(f, verdict{refusal: bad})
		g.flights.end(f)
		return bad
	}
	if err == nil {
		g.flights.decide(f, verdict{answer: answer})
		g.flights.end(f)
		g.replay(w, req, answer)
		return nil
	}
	g.lead(ctx, w, req, f)
	return nil
}

// attach waits for the end of a request that another connection began.
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
	case f.verdict.answer != nil:
		g.replay(w, req, f.verdict.answer)
		return nil
	case f.verdict.refusal.code == codeCallerGone:
		// That caller is another one.
		return refuse(codeInProgress, g.cfg.Now(), "")
	default:
		return f.verdict.refusal
	}
}

// lead does the work on a request and answers its first caller.
func (g *Gateway) lead(ctx context.Context, w http.ResponseWriter, req *request, f *flight) {
	d := newDelivery(w, req, g.cfg)
	e := g.run(ctx, req, f, d)
	g.finish(req, f, d, e)
	g.log(req, d, e)
	switch {
	case e.replay != nil:
		g.replay(w, req, e.replay)
	case e.refusal == nil:
		d.finish(e.result)
	case d.began:
		d.fail(e.refusal)
		// Only a closed connection shows that the answer is not whole.
		panic(http.ErrAbortHandler)
	default:
		g.limitWrite(w)
		e.refusal.write(w, req.identity, g.cfg.Now())
	}
}

// finish gives the ending to every caller of the flight, and closes the claim
// in the background if it is still open.
func (g *Gateway) finish(req *request, f *flight, d *delivery, e ending) {
	v := verdict{refusal: e.refusal, answer: e.replay}
	answer := e.replay
	if e.result.whole {
		answer = d.answer(e.result)
	}
	if e.refusal == nil && v.answer == nil {
		v.answer = answer
	}
	if v.answer == nil && v.refusal == nil {
		v.refusal = refuse(codeAnswerGone, g.cfg.Now(), "")
	}
	g.flights.decide(f, v)
	if e.settle == nil {
		g.conclude(req, f, answer)
		return
	}
	g.unsettled.Add(1)
	g.closing.Go(func() {
		defer g.unsettled.Add(-1)
		if g.settleUntil(g.life, e.settle) != nil {
			answer = nil
		}
		g.conclude(req, f, answer)
	})
}

// conclude keeps a whole answer whose bill is durable, and ends the flight.
// The answer is kept first, so that a retry finds one or the other.
func (g *Gateway) conclude(req *request, f *flight, answer *kcwpb.AnswerPart) {
	if answer != nil {
		g.cfg.Answers.Put(req.contract.Customer, req.identity, req.digest, answer, req.contract.AnswerRetention)
	}
	g.flights.end(f)
}

// replay answers with a kept answer.
func (g *Gateway) replay(w http.ResponseWriter, req *request, answer *kcwpb.AnswerPart) {
	g.limitWrite(w)
	header := w.Header()
	header.Set("Content-Type", answer.GetContentType())
	header.Set(RequestHeader, req.identity)
	header.Set(ReplayedHeader, "true")
	w.WriteHeader(int(answer.GetStatus()))
	// A failed write means that the caller is gone.
	_, _ = w.Write(answer.GetBody())
}

// log writes one line for a request that ended.
func (g *Gateway) log(req *request, d *delivery, e ending) {
	name, out := "ok", ran
	if e.refusal != nil {
		name, out = string(e.refusal.code), e.refusal.outcome
	}
	klog.InfoS("request", "Request", req.identity, "Customer", req.contract.Customer, "Team", req.team.Name,
		"Service", req.service, "Upstream", e.result.upstream, "Attempt", e.result.attempt, "Outcome", string(out),
		"Code", name, "Tokens", e.result.tokens, "Cause", text(e.result.err))
	g.observe(req.service, name, req.startedAt, d.firstByteAt, e.result.tokens)
}

func text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
