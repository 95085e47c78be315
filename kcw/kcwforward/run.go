package kcwforward

import (
	"context"
	"net/http"
	"slices"
	"time"

	"kingcupwick.example/kcw/kcwpermit"
	"kingcupwick.example/kcw/kcwroster"
)

// result is how an attempt ended.
type result int

const (
	// delivered: the whole answer was passed on to the caller.
	delivered result = iota + 1
	// notRun: the upstream did not run the request and will not run it.
	notRun
	// unknownRun: the upstream may have run the request, and no whole answer came.
	unknownRun
	// failedRun: the upstream ran the request and answered with a status of 500 or
	// above. The answer is buffered in case no other attempt is made.
	failedRun
	// callerGone: the caller disconnected.
	callerGone
	// oversized: the answer exceeds what the router may hold, as it would at another
	// upstream.
	oversized
	// expired: the deadline of the request has passed.
	expired
	// blocked: the prompt has parts that crash upstreams.
	blocked
	// replaced: another attempt has answered first.
	replaced
	// stopped: the request was not sent, because the router stops.
	stopped
)

// maxExtraSends is the number of attempts allowed beyond the route's maximum after an
// attempt that did not run the request.
const maxExtraSends = 2

// maxEnginePriority is the lowest priority that engines accept; zero is the highest.
const maxEnginePriority = 9

// prioritiesPerTeam is the number of route priorities within one team priority.
const prioritiesPerTeam = 3

// run makes attempts until an answer is delivered, no other attempt is allowed, or the
// deadline has passed.
func (c *call) run() {
	c.retryBudget = c.f.retryBudget(c.service.Name)
	c.retryBudget.Deposit()
	lastCause := "no upstream may be given work"
	for {
		if !c.f.cfg.Now().Before(c.deadline) {
			c.finish(expired, "the time of the request is over; "+lastCause)
			return
		}
		if parts := c.f.cfg.Guard.Match(c.request.Parts); parts != nil && !(c.isTrial && c.sends == 0) {
			c.finish(blocked, blockedCause(parts))
			return
		}
		if !c.endsBeforeStop() {
			cause := stoppingCause
			if c.sends > 0 {
				cause += "; " + lastCause
			}
			c.finish(stopped, cause)
			return
		}
		isRetry := c.connected > 0
		if isRetry && !c.retryBudget.TryWithdraw() {
			c.finish(notRun, noRetriesCause+"; "+lastCause)
			return
		}
		c.mu.Lock()
		a := c.newAttempt()
		c.mu.Unlock()
		isAtLimit := a.choose()
		c.event.Permit, c.event.Displaced, c.event.Avoided = a.permit, a.displaced, a.avoided
		if a.ticket == nil {
			c.mu.Lock()
			a.remove()
			c.mu.Unlock()
			if isRetry {
				c.retryBudget.Refund()
			}
			if isAtLimit {
				lastCause = "all upstreams are at their rate limits; " + lastCause
			}
			c.isAtLimit = isAtLimit
			c.finish(notRun, lastCause)
			return
		}
		last, res := c.compete(a)
		if isRetry && a.conn == nil {
			c.retryBudget.Refund()
		}
		c.event.Sends, c.event.Upstream = c.sends, last.ticket.ID()
		c.event.Permit, c.event.Displaced, c.event.Avoided = last.permit, last.displaced, last.avoided
		c.event.Cut, c.event.Begun = last.cut, c.stream.started
		lastCause = last.cause
		if !c.mayContinue(res) {
			c.finish(res, lastCause)
			return
		}
		c.event.Cause = lastCause
		c.f.cfg.OnRetry(c.event)
	}
}

// choose chooses an upstream that was not tried and begins the attempt there, with a permit if
// that is one with a rate limit. The ticket stays nil if there is none. If all upstreams are at
// their rate limits, choose sets isAtLimit.
func (a *attempt) choose() (isAtLimit bool) {
	a.mu.Lock()
	request := kcwroster.Request{
		Service: a.service.Name, Prefix: a.request.Prefix, PromptTokens: a.request.PromptTokens, UsedAfter: a.usedAfter(),
		Tried: slices.Clone(a.tried), IsHedge: a.silent != "",
	}
	a.mu.Unlock()
	a.avoided = a.f.cfg.Guard.Avoided(a.request.Parts)
	request.Avoided = a.avoided
	limited, hasOther := a.f.cfg.Roster.Limited(request)
	if len(limited) > 0 {
		ctx, cancel := context.WithDeadline(a.ctx, a.latestEnd())
		defer cancel()
		a.granted = a.f.cfg.Permits.Acquire(ctx, kcwpermit.Claim{
			RequestID: a.request.RequestID, Service: a.service.Name, Team: a.event.Team, Priority: a.enginePriority(), Size: float64(a.request.PromptTokens),
			Upstreams: limited, HasOther: hasOther,
		})
		request.Permit, a.permit = a.granted.Upstream, a.granted.Upstream
		if request.Permit == "" {
			a.displaced = limited[0]
		}
	}
	ticket := a.f.cfg.Roster.Begin(request)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ticket = ticket; ticket == nil {
		return len(limited) > 0
	}
	a.tried = append(a.tried, ticket.ID())
	a.sends++
	return false
}

// mayContinue reports whether another attempt may follow when all have ended, the last one with
// res.
func (c *call) mayContinue(res result) bool {
	switch res {
	case notRun:
		return c.maySend() && (c.possibleRuns == 0 || c.mayRepeat(c.possibleRuns))
	case unknownRun, failedRun:
		return c.mayRepeat(c.possibleRuns)
	}
	return false
}

// maySend reports whether the request was sent so few times that it may be sent once more
// after an attempt that did not run it.
func (c *call) maySend() bool { return c.sends < max(1, c.route.MaxAttempts)+maxExtraSends }

// mayRepeat reports whether the request may be sent once more after it may have run
// possibleRuns times. A stream may only if another upstream can go on with it.
func (c *call) mayRepeat(possibleRuns int) bool {
	return c.route.MayRepeat() && possibleRuns < c.route.MaxAttempts && !c.stream.isUnordered
}

// finish ends the request after its last attempt ended with res: it sets the outcome of
// the event and, unless the answer was delivered, answers the caller.
func (c *call) finish(res result, cause string) {
	c.event.Cause = cause
	switch {
	case res == delivered:
		c.event.Outcome, c.event.Cause = "Delivered", ""
	case res == callerGone:
		c.event.Outcome = "CallerGone"
		// The caller may have closed only its sending side.
		c.abort()
	case c.stream.started:
		c.event.Outcome = "StreamBroken"
		c.abort()
	case c.lastFailure != nil:
		c.event.Outcome = "UpstreamFailed"
		c.lastFailure.write(c)
	case res == blocked:
		c.event.Outcome = blockedOutcome
		c.fail(blockedStatus, cause)
	case res == expired && c.mayHaveRun:
		c.event.Outcome = "Expired"
		c.fail(http.StatusGatewayTimeout, cause)
	case c.mayHaveRun:
		c.event.Outcome = "OutcomeUnknown"
		c.fail(http.StatusBadGateway, cause)
	case res == stopped:
		c.refuse(stoppingRefusal(cause))
	default:
		c.refuse(c.notRunRefusal(cause))
	}
}

// notRunRefusal returns the refusal of a request that no upstream has run. If all
// upstreams have declined requests for a time, Retry-After is the time until the first
// of them accepts requests again, and if they are at their rate limits, until there may be
// a permit. The end of an evacuation is not known.
func (c *call) notRunRefusal(cause string) *refusal {
	r := &refusal{status: http.StatusServiceUnavailable, outcome: "Refused", cause: cause, retryAfter: retryAfterBusy}
	if c.isAtLimit {
		r.outcome, r.retryAfter = "AtLimit", c.f.cfg.Permits.ReturnAfter(c.service.Name)
		r.isMinimum = true
		return r
	}
	if c.f.cfg.Roster.IsEvacuated(c.service.Name) {
		r.outcome = "Evacuated"
		return r
	}
	if c.f.cfg.Roster.IsAtBound(c.service.Name) {
		r.outcome = "AtConnBound"
		return r
	}
	if freeAt := c.f.cfg.Roster.FreeAt(c.service.Name); !freeAt.IsZero() {
		r.outcome, r.retryAfter = "Declined", freeAt.Sub(c.f.cfg.Now())
		r.isMinimum = true
	}
	return r
}

// enginePriority returns the priority that engines give the request, zero being the
// highest. It orders requests by the team's priority, then by the route's.
func (c *call) enginePriority() int {
	priority := c.route.Priority
	if c.team != nil && c.team.HasPriority {
		priority = c.team.Priority*prioritiesPerTeam + min(c.route.Priority, prioritiesPerTeam-1)
	}
	return min(max(priority, 0), maxEnginePriority)
}

// usedAfter returns the earliest time of last use at which an idle connection may be
// reused for the request, zero if any may be. An idle connection may be stale, and a
// request that must not run twice can't be repeated if it fails on one.
func (c *call) usedAfter() time.Time {
	if c.route.MayRepeat() {
		return time.Time{}
	}
	return c.f.cfg.Now().Add(-c.f.cfg.UsedWithin)
}
