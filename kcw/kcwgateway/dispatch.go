package kcwgateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"kingcupwick.example/kcw/kcwupstream"
)

// eventsType is the media type of a stream of events.
const eventsType = "text/event-stream"

// result is how the attempts of a request ended.
type result struct {
	upstream string
	attempt  int
	err      error
	// whole says that an answer is complete but for final, which waits for
	// the bill. Status and header count if no byte was passed on yet.
	whole  bool
	status int
	header http.Header
	final  []byte
	// tokens were used, so far as is known or bounded.
	tokens int64
	// code is the refusal if the answer is not whole.
	code code
	// sent says that a byte of the request may have left, in any attempt, and
	// ran that the request is known to have run.
	sent, ran bool
	// again says that another upstream may do better.
	again bool
}

// outcome says what a refusal tells the caller.
func (r *result) outcome() outcome {
	switch {
	case !r.sent:
		return notRun
	case r.ran:
		return ran
	default:
		return unknown
	}
}

// dispatch gives req to upstreams, to first at first, until one answers.
func (g *Gateway) dispatch(ctx context.Context, req *request, d *delivery, l *lane, first chosen) result {
	tried := map[string]bool{}
	next := first
	l.retries.Deposit()
	for attempt := 1; ; attempt++ {
		now := g.cfg.Now()
		tried[next.upstream.Name()] = true
		res := g.attempt(next.ctx, req, d, next, attempt)
		if !g.triesAgain(ctx, req, d, l, &res) {
			return res
		}
		if !sleepUntil(ctx, now, l.retries.BackoffUntil(now, attempt)) {
			return res
		}
		another, ok := g.pool.pick(ctx, g.cfg.Now(), req, tried)
		if !ok {
			return res
		}
		another.sent = res.sent
		next = another
	}
}

// triesAgain says whether req is given to another upstream after res.
func (g *Gateway) triesAgain(ctx context.Context, req *request, d *delivery, l *lane, res *result) bool {
	if !res.again || res.attempt >= g.cfg.MaxAttempts || d.began || ctx.Err() != nil {
		return false
	}
	return !res.sent || (req.repeatable && l.retries.TryWithdraw())
}

// sleepUntil waits from now until at. It returns false if ctx ends first.
func sleepUntil(ctx context.Context, now, at time.Time) bool {
	timer := time.NewTimer(at.Sub(now))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// chosen is an upstream that was chosen for a request.
type chosen struct {
	*target
	ticket uint64
	// ctx is the request's, with a connection on its way.
	ctx context.Context
	// sent says that a byte of the request may have left in an earlier attempt.
	sent bool
}

// pick chooses an upstream for req, one not tried yet if there is any, and
// begins to connect to it.
func (p *pool) pick(ctx context.Context, now time.Time, req *request, tried map[string]bool) (chosen, bool) {
	var prefix uint64
	if req.chat != nil {
		prefix = req.chat.prefix
	}
	fresh := func(name string) bool { return !tried[name] && p.usable(name) }
	for _, usable := range []func(string) bool{fresh, p.usable} {
		name, ok := p.picker.Pick(now, req.service, prefix, usable)
		if !ok {
			continue
		}
		t := p.targets[name]
		ticket, err := t.breaker.Begin(now)
		if err == nil {
			return chosen{target: t, ticket: ticket, ctx: t.upstream.Connect(ctx)}, true
		}
		p.picker.Finished(now, name)
	}
	return chosen{}, false
}

// drop gives up an upstream that was chosen and is not used.
func (p *pool) drop(c chosen) {
	c.breaker.Cancel(c.ticket)
	p.picker.Finished(p.now(), c.upstream.Name())
}

// attempt gives req to one upstream.
func (g *Gateway) attempt(ctx context.Context, req *request, d *delivery, c chosen, number int) result {
	began := g.cfg.Now()
	defer func() { g.pool.picker.Finished(g.cfg.Now(), c.upstream.Name()) }()
	res := g.watched(ctx, req, d, c, number, began)
	res.upstream, res.attempt = c.upstream.Name(), number
	if c.sent && !res.sent {
		res.sent, res.code = true, codeUpstreamFailed
	}
	return res
}

// watched calls one upstream, and gives up a call whose answer comes in one
// piece when the upstream has sent no load report for long and another one is
// free: the progress of such a call can't be seen. A call that must not be
// repeated is waited for.
func (g *Gateway) watched(ctx context.Context, req *request, d *delivery, c chosen, number int, began time.Time) result {
	if !req.repeatable || req.streams() {
		return g.call(ctx, req, d, c, number, began)
	}
	waiting, giveUp := context.WithCancel(ctx)
	defer giveUp()
	defer c.await(g.pool.nextID.Add(1), giveUp)()
	res := g.call(waiting, req, d, c, number, began)
	if res.code == codeUpstreamFailed && waiting.Err() != nil && ctx.Err() == nil {
		res.code = codeUpstreamSilent
	}
	return res
}

// call sends req to one upstream and takes its answer.
func (g *Gateway) call(ctx context.Context, req *request, d *delivery, c chosen, number int, began time.Time) result {
	out, err := outgoing(ctx, req, number)
	if err != nil {
		c.breaker.Cancel(c.ticket)
		return result{err: err, code: codeUnknownPath}
	}
	limit := g.cfg.AnswerTimeout
	if req.streams() {
		limit = g.cfg.FirstByteTimeout
	}
	resp, err := c.upstream.Send(ctx, out, began.Add(limit))
	if err != nil {
		return g.failed(ctx, req, c, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusInternalServerError {
		c.breaker.Fail(g.cfg.Now(), c.ticket)
	} else {
		c.breaker.Succeed(g.cfg.Now(), c.ticket, began)
	}
	if kcwupstream.Refused(resp) {
		g.pool.leave(c.upstream, true)
		return result{code: codeNoUpstream, again: true}
	}
	if req.streams() && resp.StatusCode == http.StatusOK && isEvents(resp.Header) {
		return g.stream(ctx, req, d, resp)
	}
	return g.buffered(ctx, req, resp)
}

// outgoing returns the request for an upstream.
func outgoing(ctx context.Context, req *request, number int) (*http.Request, error) {
	out, err := http.NewRequestWithContext(ctx, req.method, "http://upstream"+req.uri, bytes.NewReader(req.body))
	if err != nil {
		return nil, err
	}
	out.Header = req.header.Clone()
	out.Header.Set(attemptHeader, strconv.Itoa(number))
	if req.chat != nil {
		out.Header.Set("Content-Type", "application/json")
	}
	return out, nil
}

func isEvents(header http.Header) bool {
	value := header.Get("Content-Type")
	return len(value) >= len(eventsType) && value[:len(eventsType)] == eventsType
}

// failed returns the result of a call that gave no answer.
func (g *Gateway) failed(ctx context.Context, req *request, c chosen, err error) result {
	res := g.broken(ctx, req, err)
	if res.code == codeCallerGone {
		c.breaker.Cancel(c.ticket)
		return res
	}
	c.breaker.Fail(g.cfg.Now(), c.ticket)
	g.pool.leave(c.upstream, false)
	return res
}

// broken returns the result of an answer that did not arrive whole.
func (g *Gateway) broken(ctx context.Context, req *request, err error) result {
	res := result{err: err, code: codeUpstreamFailed, sent: true, again: true}
	var failure *kcwupstream.Error
	if errors.As(err, &failure) {
		res.sent = failure.Kind != kcwupstream.KindNotSent
		if failure.Kind == kcwupstream.KindSilent {
			res.code = codeUpstreamSilent
		}
	}
	if !res.sent {
		res.code = codeNoUpstream
	}
	if context.Cause(ctx) == errCallerGone {
		// What was used is bounded, so that the claim is closed by a bill.
		res.code, res.again, res.ran = codeCallerGone, false, res.sent
		res.tokens = req.reserve
		if req.streams() {
			res.tokens = req.chat.prompt
		}
	}
	return res
}

// buffered reads a whole answer, which is passed on once it is billed.
func (g *Gateway) buffered(ctx context.Context, req *request, resp *http.Response) result {
	body, err := io.ReadAll(io.LimitReader(resp.Body, g.cfg.MaxAnswerBytes+1))
	if err == nil && !isBounded(resp, req.method) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return g.broken(ctx, req, err)
	}
	if int64(len(body)) > g.cfg.MaxAnswerBytes {
		return result{code: codeAnswerTooLarge, tokens: req.reserve, sent: true, ran: true}
	}
	res := result{whole: true, status: resp.StatusCode, header: resp.Header, final: body, sent: true, ran: true}
	res.again = req.repeatable && mayBeRetried(resp.StatusCode)
	tokens, ok := bufferedTokens(req, resp.StatusCode, body)
	if !ok {
		return g.broken(ctx, req, errNoJSON)
	}
	res.tokens = tokens
	return res
}

// isBounded says whether the end of the answer's body can be told from a
// connection that was cut.
func isBounded(resp *http.Response, method string) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || method == http.MethodHead || !mayHaveBody(resp.StatusCode)
}

// mayBeRetried says whether another upstream may do better than this status.
func mayBeRetried(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusInternalServerError, http.StatusBadGateway,
		http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	default:
		return false
	}
}
