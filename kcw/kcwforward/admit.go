package kcwforward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"kingcupwick.example/kcw/kcwbalance"
	"kingcupwick.example/kcw/kcwmemory"
	"kingcupwick.example/kcw/kcwroute"
)

// Times after which a refused caller should return. Each is about how long the
// cause usually lasts; callers cap them by the time that they have left.
const (
	// retryUnready is for a router that has no configuration or list yet.
	retryUnready = 500 * time.Millisecond
	// retryHeld is for tokens that other routers hold and are asked to return,
	// which takes two of their reports.
	retryHeld = 600 * time.Millisecond
	// retryMissing is for tokens that the core could not be asked for.
	retryMissing = time.Second
	// retryBusy is for upstreams that take no more work.
	retryBusy = 300 * time.Millisecond
	// retryStopping is for a router that stops: others are there at once.
	retryStopping = 50 * time.Millisecond
	// retrySpread is the fraction by which these times vary at random, so that
	// refused callers don't return together.
	retrySpread = 0.5
)

// call is one request under way.
type call struct {
	f     *Forwarder
	w     http.ResponseWriter
	r     *http.Request
	start time.Time
	// stop is the planned stop that the router makes, if it is stopping.
	stop     Stop
	stopping bool

	document *kcwroute.Document
	route    *kcwroute.Route
	team     *kcwroute.Team
	service  *kcwroute.Service
	said     RequestInfo
	body     []byte
	hasBody  bool
	deadline time.Time

	// taken is the memory taken for the request, in bytes.
	taken int64
	// reserved are the tokens reserved for the request.
	reserved int64
	// mayHaveRun says that an upstream may have run the request.
	mayHaveRun bool
	stream     delivery
	event      Event
}

// refusal is an answer of the router's own, of a request that has not run.
type refusal struct {
	status     int
	outcome    string
	cause      string
	retryAfter time.Duration
	// notBefore says that a return before retryAfter would be in vain, so that the
	// spread of returns only adds to it.
	notBefore bool
}

// admit finds the route, the team, the body and the tokens of the request.
func (c *call) admit() *refusal {
	c.document = c.f.cfg.Document()
	if c.document == nil {
		return &refusal{status: http.StatusServiceUnavailable, outcome: "NoConfiguration", cause: "no configuration has been received yet", retryAfter: retryUnready}
	}
	c.event.Document = c.document.Version
	if err := c.read(); err != nil {
		return &refusal{status: http.StatusBadRequest, outcome: "Malformed", cause: err.Error()}
	}
	if c.route == nil {
		return &refusal{status: http.StatusNotFound, outcome: "NoRoute", cause: "no route for the host and path"}
	}
	c.event.Route = c.route.Name
	if !c.endsInTime() {
		return &refusal{status: http.StatusServiceUnavailable, outcome: "Stopping", cause: "the router stops before the request would end", retryAfter: retryStopping}
	}
	if refusal := c.identify(); refusal != nil {
		return refusal
	}
	c.service = c.document.Service(c.route.ChooseService(c.f.draw()))
	c.event.Service = c.service.Name
	if refusal := c.readBody(); refusal != nil {
		return refusal
	}
	return c.reserve()
}

// read reads the request's headers and finds its route.
func (c *call) read() error {
	said, err := c.f.cfg.Dialect.ParseRequest(c.r, c.start)
	c.said = said
	c.event.RequestID = said.RequestID
	if err != nil {
		return err
	}
	if len(c.r.RequestURI) == 0 || c.r.RequestURI[0] != '/' {
		return errors.New("the request target is not a path")
	}
	c.route = c.document.Match(c.r.Host, c.r.URL.EscapedPath())
	if c.route == nil {
		return nil
	}
	c.deadline = c.start.Add(c.route.Timeout)
	if !said.Deadline.IsZero() && said.Deadline.Before(c.deadline) {
		c.deadline = said.Deadline
	}
	return nil
}

// endsInTime reports whether the request will have its answer before the router
// stops.
func (c *call) endsInTime() bool {
	if !c.stopping || c.start.Before(c.stop.AcceptsUntil) {
		return true
	}
	longest, known := c.f.pace.UpperBound(c.route.Name)
	return known && c.start.Add(longest).Before(c.stop.EndsAt)
}

// identify finds the team by the caller's key.
func (c *call) identify() *refusal {
	if len(c.document.Teams) == 0 || c.route.Public {
		return nil
	}
	c.team = c.document.Team(c.said.Key)
	if c.said.Key == "" || c.team == nil {
		return &refusal{status: http.StatusUnauthorized, outcome: "UnknownKey", cause: "no team holds the key"}
	}
	c.event.Team = c.team.Name
	return nil
}

// readBody reads the whole body, so that it can be sent again.
func (c *call) readBody() *refusal {
	limit := c.f.cfg.MaxBodyBytes
	if c.document.Limits.MaxBodyBytes > 0 {
		limit = min(limit, c.document.Limits.MaxBodyBytes)
	}
	c.hasBody = c.r.ContentLength != 0
	if !c.hasBody {
		return nil
	}
	// A caller that sends slowly has as long as its answer would have.
	control := http.NewResponseController(c.w)
	if err := control.SetReadDeadline(c.deadline); err != nil {
		return &refusal{status: http.StatusServiceUnavailable, outcome: "CallerGone", cause: "the connection is closed: " + err.Error()}
	}
	body, taken, err := c.f.cfg.Memory.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit), c.r.ContentLength, limit)
	c.taken += taken
	if err == nil {
		// After a failure the server reads the rest of the body, within that time too.
		err = control.SetReadDeadline(time.Time{})
	}
	var large *http.MaxBytesError
	var memory *kcwmemory.Error
	switch {
	case errors.As(err, &large), errors.As(err, &memory) && memory.Kind == kcwmemory.TooLarge:
		return &refusal{status: http.StatusRequestEntityTooLarge, outcome: "TooLarge", cause: "the body is larger than " + strconv.FormatInt(limit, 10) + " bytes"}
	case memory != nil:
		return &refusal{status: http.StatusServiceUnavailable, outcome: "MemoryFull", cause: "the requests under way hold all memory that they may", retryAfter: retryBusy}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &refusal{status: http.StatusRequestTimeout, outcome: "BodySlow", cause: "the body did not come within the time of the request"}
	case err != nil:
		return &refusal{status: http.StatusBadRequest, outcome: "BodyBroken", cause: "the body could not be read: " + err.Error()}
	}
	c.body = body
	c.f.carried(headSize+len(body), 0)
	return nil
}

// reserve reserves the request's tokens, at their most, and asks the core if the
// router holds too few.
func (c *call) reserve() *refusal {
	tokens := c.said.PromptTokens + c.said.OutputTokens
	if c.team == nil || !c.route.Generates || tokens == 0 {
		return nil
	}
	balance := c.f.cfg.Balance
	c.event.Tokens = tokens
	balance.RecordDemand(c.team.Name, tokens, c.start)
	verdict := balance.Reserve(c.team.Name, tokens, c.start)
	for asked := 0; verdict == kcwbalance.Missing && asked < maxAsks && c.ask(); asked++ {
		verdict = balance.Reserve(c.team.Name, tokens, c.f.cfg.Now())
	}
	for asked := 0; verdict == kcwbalance.Missing && asked < maxAsks && c.borrow(tokens); asked++ {
		verdict = balance.Reserve(c.team.Name, tokens, c.f.cfg.Now())
	}
	if verdict == kcwbalance.Reserved {
		c.reserved = tokens
		return nil
	}
	c.event.Budget = balance.Budget(c.team.Name)
	c.event.BudgetAge = c.f.cfg.Now().Sub(c.event.Budget.AsOf)
	switch verdict {
	case kcwbalance.Exhausted:
		return &refusal{status: http.StatusPaymentRequired, outcome: "BudgetExhausted", cause: "the team's prepaid tokens don't cover the request"}
	case kcwbalance.Held:
		return &refusal{status: http.StatusTooManyRequests, outcome: "BudgetHeld", cause: "other routers hold the team's last tokens", retryAfter: retryHeld}
	}
	return &refusal{status: http.StatusServiceUnavailable, outcome: "BudgetUnknown", cause: "neither the core nor other routers could be asked for enough tokens", retryAfter: retryMissing}
}

// maxAsks bounds how often one request asks the core for tokens, and how often
// other routers: tokens that came may have gone to another request.
const maxAsks = 2

func (c *call) ask() bool {
	ctx, cancel := context.WithTimeout(c.r.Context(), c.f.cfg.TokenTimeout)
	defer cancel()
	return c.f.cfg.RequestTokens(ctx)
}

func (c *call) borrow(tokens int64) bool {
	ctx, cancel := context.WithTimeout(c.r.Context(), c.f.cfg.TokenTimeout)
	defer cancel()
	return c.f.cfg.BorrowTokens(ctx, c.team.Name, tokens)
}

// settle ends the reservation with what the request has used.
func (c *call) settle() {
	if c.reserved == 0 {
		return
	}
	used := int64(0)
	if c.mayHaveRun {
		out := min(c.stream.events*max(c.service.EventTokens, 1), c.said.OutputTokens)
		used = c.said.PromptTokens + out
	}
	c.event.Used = used
	c.f.cfg.Balance.Settle(c.team.Name, c.reserved, used)
}

// refuse answers for the router itself. The request has not run and won't.
func (c *call) refuse(r *refusal) {
	c.event.Outcome, c.event.Cause = r.outcome, r.cause
	if r.retryAfter > 0 {
		spread := retrySpread * c.f.draw()
		if !r.notBefore {
			spread -= retrySpread / 2
		}
		c.event.RetryAfter = time.Duration(float64(r.retryAfter) * (1 + spread))
		c.w.Header().Set("Retry-After", c.f.cfg.Dialect.RetryAfter(c.event.RetryAfter))
	}
	c.fail(r.status, r.cause)
}

// fail writes an answer of the router's own.
func (c *call) fail(status int, text string) {
	c.event.Status = status
	text += "\n"
	h := c.w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(text)))
	c.w.WriteHeader(status)
	// A failed write means that the caller has gone.
	_, _ = io.WriteString(c.w, text)
}

func (c *call) observe() {
	c.event.Elapsed = c.f.cfg.Now().Sub(c.start)
	c.f.cfg.OnEnd(c.event)
}
