package kcwforward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"kingcupwick.example/kcw/kcwbalance"
	"kingcupwick.example/kcw/kcwmemory"
	"kingcupwick.example/kcw/kcwroute"
	"kingcupwick.example/kcw/kcwserve"
	"kingcupwick.example/kcw/kcwstop"
)

// Values of Retry-After for refused callers. Each is about how long the cause
// usually lasts. Callers wait no longer than until their own deadline.
const (
	// retryAfterNotReady applies while the router has no configuration or list yet.
	retryAfterNotReady = 500 * time.Millisecond
	// retryAfterHeld applies to tokens that other routers hold and are asked to
	// return, which takes two of their reports.
	retryAfterHeld = 600 * time.Millisecond
	// retryAfterNoCore applies if the core could not be asked for tokens.
	retryAfterNoCore = time.Second
	// retryAfterBusy applies if no upstream accepts the request, or if requests in
	// flight hold all memory.
	retryAfterBusy = 300 * time.Millisecond
	// retryAfterStopping applies while the router stops. It is short because other
	// routers can take the request immediately.
	retryAfterStopping = 50 * time.Millisecond
	// retryAfterJitter is the width of the random variation, as a fraction of these
	// times. It prevents refused callers from returning all at once.
	retryAfterJitter = 0.5
)

// call is a request in flight.
type call struct {
	f     *Forwarder
	w     http.ResponseWriter
	r     *http.Request
	start time.Time

	document *kcwroute.Document
	route    *kcwroute.Route
	team     *kcwroute.Team
	service  *kcwroute.Service
	request  RequestInfo
	body     []byte
	hasBody  bool
	deadline time.Time

	// memoryHeld is the memory acquired for the request, in bytes.
	memoryHeld int64
	// reservedTokens is the number of tokens reserved for the request.
	reservedTokens int64
	// isTrial is set if the request tests whether a blocked part still crashes upstreams.
	isTrial bool
	// bodyLeft is set if the request is refused at once and its body is to be discarded after
	// the refusal.
	bodyLeft bool
	// isAtLimit is set if the request ends because all upstreams are at their rate limits.
	isAtLimit bool
	attempts
	// isUnmeasured is set if an answer had a body without events, so that the number of its
	// tokens isn't known.
	isUnmeasured bool
	event        Event
}

// refusal is the router's own answer to a request that no upstream has run.
type refusal struct {
	status     int
	outcome    string
	cause      string
	retryAfter time.Duration
	// isMinimum is set if a retry before retryAfter would be refused too, so that
	// jitter may only lengthen retryAfter.
	isMinimum bool
	// isOverload is set if the caller should retry at another router.
	isOverload bool
}

// admit determines the route, team and service of the request, reads its body and
// reserves its tokens. It returns nil if the request is admitted.
func (c *call) admit() *refusal {
	c.document = c.f.cfg.Document()
	if c.document == nil {
		return &refusal{status: http.StatusServiceUnavailable, outcome: "NoConfiguration", cause: "no configuration has been received yet", retryAfter: retryAfterNotReady}
	}
	c.event.Document = c.document.Version
	if err := c.parseHeader(); err != nil {
		return &refusal{status: http.StatusBadRequest, outcome: "Malformed", cause: err.Error()}
	}
	if c.route == nil {
		return &refusal{status: http.StatusNotFound, outcome: "NoRoute", cause: "no route for the host and path"}
	}
	c.event.Route = c.route.Name
	if !c.endsBeforeStop() {
		return stoppingRefusal(stoppingCause)
	}
	if refusal := c.authenticate(); refusal != nil {
		return refusal
	}
	if refusal := c.checkParts(); refusal != nil {
		return refusal
	}
	if refusal := c.checkOverload(); refusal != nil {
		return refusal
	}
	c.service = c.document.Service(c.route.ChooseService(c.f.randomFloat()))
	c.event.Service = c.service.Name
	if c.f.cfg.Roster.IsEvacuated(c.service.Name) {
		c.skipBody()
		return c.notRunRefusal("all upstreams are in evacuated zones")
	}
	if refusal := c.readBody(); refusal != nil {
		return refusal
	}
	if !c.endsBeforeStop() {
		return stoppingRefusal(stoppingCause)
	}
	return c.reserveTokens()
}

// parseHeader parses the request's headers and matches its route. It leaves the
// route nil if none matches.
func (c *call) parseHeader() error {
	info, err := c.f.cfg.Dialect.ParseRequest(c.r, c.start)
	c.request = info
	c.event.RequestID, c.event.Parts = info.RequestID, info.Parts
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
	if !info.Deadline.IsZero() && info.Deadline.Before(c.deadline) {
		c.deadline = info.Deadline
	}
	return nil
}

// stoppingCause is the cause of refusals and ends that are due to a planned stop.
const stoppingCause = "the router stops before the request would end"

func stoppingRefusal(cause string) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, outcome: "Stopping", cause: cause, retryAfter: retryAfterStopping}
}

// endsBeforeStop reports whether the stop of the router, if there is one, allows an attempt that
// begins now. The stop may begin at any time, so that each attempt asks again.
func (c *call) endsBeforeStop() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isAllowedByStop()
}

// isAllowedByStop is endsBeforeStop for a caller that holds mu.
func (c *call) isAllowedByStop() bool {
	stop, stopping := c.f.cfg.Stopping()
	if !stopping {
		return true
	}
	request := kcwstop.Request{Deadline: c.deadline, AnswerBegun: c.stream.started}
	return stop.Allows(request, c.f.cfg.Now())
}

// latestEnd returns the time at which the request ends at the latest: its deadline, or the end
// of a stop that has begun.
func (c *call) latestEnd() time.Time {
	if stop, stopping := c.f.cfg.Stopping(); stopping && stop.EndsAt.Before(c.deadline) {
		return stop.EndsAt
	}
	return c.deadline
}

// closeIfStopping asks the caller to close its connection if the router stops. It must be
// called before the head of the answer is written.
func (c *call) closeIfStopping() {
	if _, stopping := c.f.cfg.Stopping(); stopping {
		c.w.Header().Set("Connection", "close")
	}
}

// authenticate looks up the team by the caller's key.
func (c *call) authenticate() *refusal {
	team, isAllowed := c.document.Authorize(c.route, c.request.Key)
	if !isAllowed {
		return &refusal{status: http.StatusUnauthorized, outcome: "UnknownKey", cause: "no team holds the key"}
	}
	if team != nil {
		c.team, c.event.Team = team, team.Name
	}
	return nil
}

// checkParts refuses a request whose prompt has parts that crash upstreams. The status
// tells the caller that the request itself is the cause, so that it is not sent again.
func (c *call) checkParts() *refusal {
	blocked, isTrial := c.f.cfg.Guard.Admit(c.request.Parts)
	c.isTrial = isTrial
	if blocked == nil || isTrial {
		return nil
	}
	return &refusal{status: blockedStatus, outcome: blockedOutcome, cause: blockedCause(blocked)}
}

const (
	// blockedStatus and blockedOutcome are the status and the outcome of a request that is
	// refused for the parts of its prompt.
	blockedStatus  = http.StatusBadRequest
	blockedOutcome = "PartBlocked"
)

func blockedCause(parts []string) string {
	return "requests with these parts of the prompt crash upstreams: " + strings.Join(parts, ", ")
}

// skipBody discards the body of a request that is refused before it is read.
func (c *call) skipBody() {
	if c.r.ContentLength == 0 {
		return
	}
	c.f.recordBytes(requestHeadBytes+int(kcwserve.SkipBody(c.w, c.r)), 0)
}

// readBody reads the whole body into memory, so that it can be sent again.
func (c *call) readBody() *refusal {
	limit := c.f.cfg.MaxBodyBytes
	if c.document.Limits.MaxBodyBytes > 0 {
		limit = min(limit, c.document.Limits.MaxBodyBytes)
	}
	c.hasBody = c.r.ContentLength != 0
	if !c.hasBody {
		return nil
	}
	// Reading the body is bounded by the deadline of the whole request.
	control := http.NewResponseController(c.w)
	readDeadline := c.latestEnd()
	if err := control.SetReadDeadline(readDeadline); err != nil {
		return &refusal{status: http.StatusServiceUnavailable, outcome: "CallerGone", cause: "the connection is closed: " + err.Error()}
	}
	// SetReadDeadline fails only on a connection that is closed already.
	stopEnding := context.AfterFunc(c.f.ending, func() { _ = control.SetReadDeadline(c.f.cfg.Now()) })
	defer stopEnding()
	body, acquired, err := c.f.cfg.Memory.Receive(http.MaxBytesReader(c.w, c.r.Body, limit), c.r.ContentLength, limit, func() { _ = control.SetReadDeadline(c.start) })
	c.memoryHeld += acquired
	if err == nil {
		// After a failure the read deadline stays, since the server then reads the
		// rest of the body.
		err = control.SetReadDeadline(time.Time{})
	}
	var large *http.MaxBytesError
	var memory *kcwmemory.Error
	switch {
	case errors.As(err, &large), errors.As(err, &memory) && memory.Kind == kcwmemory.TooLarge:
		return &refusal{status: http.StatusRequestEntityTooLarge, outcome: "TooLarge", cause: "the body is larger than " + strconv.FormatInt(limit, 10) + " bytes"}
	case memory != nil:
		// The connection may have got a deadline in the past, with which its body was aborted.
		c.w.Header().Set("Connection", "close")
		return &refusal{status: http.StatusServiceUnavailable, outcome: "MemoryFull", cause: "the requests under way hold all memory that they may", retryAfter: retryAfterBusy}
	case errors.Is(err, os.ErrDeadlineExceeded) && (readDeadline.Before(c.deadline) || c.f.ending.Err() != nil):
		return stoppingRefusal("the body did not come before the router stops")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &refusal{status: http.StatusRequestTimeout, outcome: "BodySlow", cause: "the body did not come within the time of the request"}
	case err != nil:
		return &refusal{status: http.StatusBadRequest, outcome: "BodyBroken", cause: "the body could not be read: " + err.Error()}
	}
	c.body = body
	c.f.recordBytes(requestHeadBytes+len(body), 0)
	return nil
}

// reserveTokens reserves the largest number of tokens that the request may use. If
// the router holds too few, it requests more from the core, and then from other routers.
func (c *call) reserveTokens() *refusal {
	tokens := c.request.PromptTokens + c.request.OutputTokens
	if c.team == nil || !c.route.Generates {
		return nil
	}
	if tokens == 0 {
		if c.service.EventTokens > 0 {
			return &refusal{status: http.StatusBadRequest, outcome: "NoTokenCounts", cause: "a generation states no number of tokens, so that it can't be charged"}
		}
		return nil
	}
	balance := c.f.cfg.Balance
	c.event.Tokens = tokens
	balance.RecordDemand(c.team.Name, tokens, c.start)
	verdict := balance.Reserve(c.team.Name, tokens, c.start)
	for requests := 0; verdict == kcwbalance.Missing && requests < maxTokenRequests && c.requestTokens(); requests++ {
		verdict = balance.Reserve(c.team.Name, tokens, c.f.cfg.Now())
	}
	for requests := 0; verdict == kcwbalance.Missing && requests < maxTokenRequests && c.borrowTokens(tokens); requests++ {
		verdict = balance.Reserve(c.team.Name, tokens, c.f.cfg.Now())
	}
	verdict = c.waitForCore(verdict, tokens)
	if verdict == kcwbalance.Reserved {
		c.reservedTokens = tokens
		return nil
	}
	c.event.Budget = balance.Budget(c.team.Name)
	c.event.BudgetAge = c.f.cfg.Now().Sub(c.event.Budget.AsOf)
	switch verdict {
	case kcwbalance.Exhausted:
		return &refusal{status: http.StatusPaymentRequired, outcome: "BudgetExhausted", cause: "the team's prepaid tokens don't cover the request"}
	case kcwbalance.Held:
		return &refusal{status: http.StatusTooManyRequests, outcome: "BudgetHeld", cause: "other routers hold the team's last tokens", retryAfter: retryAfterHeld}
	}
	return &refusal{status: http.StatusServiceUnavailable, outcome: "BudgetUnknown", cause: "neither the core nor other routers could be asked for enough tokens", retryAfter: retryAfterNoCore}
}

// maxTokenRequests bounds how often the router requests tokens from the core for one
// request, and how often from other routers. Once may not be enough, since a concurrent
// request can reserve the tokens that were received.
const maxTokenRequests = 2

// requestTokens requests tokens from the core and reports whether it has answered.
func (c *call) requestTokens() bool {
	ctx, cancel := c.tokenContext()
	defer cancel()
	return c.f.cfg.RequestTokens(ctx)
}

// maxTokenWait bounds the further wait for tokens from a core that answers, but late. It is the time
// after which the core counts as lost.
const maxTokenWait = 2 * time.Second

// waitForCore waits for tokens that neither the core nor other routers could provide within
// Config.TokenTimeout, as long as the core answers, up to half of the time left: while the router
// is loaded, its reports take longer. It returns the verdict after that.
func (c *call) waitForCore(verdict kcwbalance.Verdict, tokens int64) kcwbalance.Verdict {
	if verdict != kcwbalance.Missing {
		return verdict
	}
	now := c.f.cfg.Now()
	ctx, cancel := context.WithDeadline(c.r.Context(), now.Add(min(maxTokenWait, c.latestEnd().Sub(now)/2)))
	defer cancel()
	for verdict == kcwbalance.Missing && ctx.Err() == nil && c.f.cfg.RequestTokens(ctx) {
		verdict = c.f.cfg.Balance.Reserve(c.team.Name, tokens, c.f.cfg.Now())
	}
	return verdict
}

// borrowTokens borrows tokens from other routers and reports whether there may be
// enough now.
func (c *call) borrowTokens(tokens int64) bool {
	ctx, cancel := c.tokenContext()
	defer cancel()
	return c.f.cfg.BorrowTokens(ctx, c.team.Name, tokens)
}

// tokenContext returns the context of one wait for tokens.
func (c *call) tokenContext() (context.Context, context.CancelFunc) {
	end := c.f.cfg.Now().Add(c.f.cfg.TokenTimeout)
	if latest := c.latestEnd(); latest.Before(end) {
		end = latest
	}
	return context.WithDeadline(c.r.Context(), end)
}

// settleTokens replaces the reservation by the tokens that the request is charged: those of its
// prompt, once for all attempts, and of the output that was passed on, if any upstream may have
// run it.
func (c *call) settleTokens() {
	if c.reservedTokens == 0 {
		return
	}
	used := int64(0)
	if c.isCharged {
		out := min(c.stream.events*max(c.service.EventTokens, 1), c.request.OutputTokens)
		if c.isUnmeasured {
			out = c.request.OutputTokens
		}
		used = c.request.PromptTokens + out
	}
	c.event.Used = used
	c.f.cfg.Balance.Settle(c.team.Name, c.reservedTokens, used)
}

// refuse answers the caller with r. No upstream has run the request or will run it.
func (c *call) refuse(r *refusal) {
	c.event.Outcome, c.event.Cause = r.outcome, r.cause
	if r.retryAfter > 0 {
		jitter := retryAfterJitter * c.f.randomFloat()
		if !r.isMinimum {
			jitter -= retryAfterJitter / 2
		}
		c.event.RetryAfter = time.Duration(float64(r.retryAfter) * (1 + jitter))
		c.w.Header().Set("Retry-After", c.f.cfg.Dialect.RetryAfter(c.event.RetryAfter))
	}
	if r.isOverload {
		c.refuseAtOnce(r)
		return
	}
	c.fail(r.status, r.cause)
}

// fail writes the router's own answer, as plain text.
func (c *call) fail(status int, text string) {
	c.event.Status = status
	text += "\n"
	c.closeIfStopping()
	h := c.w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(text)))
	c.w.WriteHeader(status)
	// A write fails only if the caller has disconnected.
	_, _ = io.WriteString(c.w, text)
}

// reportEnd passes the event of the ended request to Config.OnEnd.
func (c *call) reportEnd() {
	c.event.Elapsed = c.f.cfg.Now().Sub(c.start)
	c.f.cfg.OnEnd(c.event)
}
