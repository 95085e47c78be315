package kcwforward

import (
	"net/http"
	"time"

	"kingcupwick.example/kcw/kcwroster"
)

// result says how an attempt ended.
type result int

const (
	// delivered: the answer went to the caller.
	delivered result = iota + 1
	// notRun: the upstream did not run the request and won't.
	notRun
	// unknown: the upstream may have run the request, and no whole answer came.
	unknown
	// refusedRun: the upstream ran the request and answered with a failure,
	// which is kept in case no other attempt is made.
	refusedRun
	// callerGone: the caller left.
	callerGone
	// expired: the time of the request is over.
	expired
)

// extraSends is how many upstreams may be tried beyond the route's attempts as
// long as each of them says that it did not run the request.
const extraSends = 2

// maxRank is the last rank that engines know.
const maxRank = 9

// ranksPerTeam is how many ranks of routes one rank of teams spans.
const ranksPerTeam = 3

// run makes attempts until one answers, none is left, or time is over.
func (c *call) run() {
	budget := c.f.budget(c.service.Name)
	budget.Deposit()
	var tried []string
	var kept *heldAnswer
	// runs counts the attempts after which the request may have run, arrivals
	// those that reached an upstream.
	runs, arrivals := 0, 0
	last := "no upstream may be given work"
	for sends := 0; ; sends++ {
		if !c.f.cfg.Now().Before(c.deadline) {
			c.giveUp(expired, kept, "the time of the request is over; "+last)
			return
		}
		if arrivals > 0 && !budget.TryWithdraw() {
			c.giveUp(notRun, kept, "no retries are left; "+last)
			return
		}
		ticket := c.f.cfg.Roster.Begin(kcwroster.Request{
			Service: c.service.Name, Prefix: c.said.Prefix, PromptTokens: c.said.PromptTokens, Tried: tried,
		})
		if ticket == nil {
			c.giveUp(notRun, kept, last)
			return
		}
		tried = append(tried, ticket.ID())
		a := &attempt{call: c, ticket: ticket, final: !c.mayTryAgain(runs + 1)}
		got := a.do()
		c.event.Sends, c.event.Upstream = sends+1, ticket.ID()
		last = a.cause
		if a.held != nil {
			kept = a.held
		}
		if a.conn != nil {
			arrivals++
		}
		if got == unknown || got == refusedRun {
			runs++
		}
		if !c.goesOn(got, sends+1, runs) {
			c.giveUp(got, kept, last)
			return
		}
		c.event.Cause = last
		c.f.cfg.OnRetry(c.event)
	}
}

// goesOn reports whether another attempt may follow one that ended with got, the
// one of number sends, after runs that may have run.
func (c *call) goesOn(got result, sends, runs int) bool {
	switch got {
	case notRun:
		return sends < max(1, c.route.MaxAttempts)+extraSends
	case unknown, refusedRun:
		return c.mayTryAgain(runs)
	}
	return false
}

// mayTryAgain reports whether the request may be sent once more after it may
// have run so many times.
func (c *call) mayTryAgain(runs int) bool {
	return c.route.MayRepeat() && runs < c.route.MaxAttempts
}

// giveUp gives the caller its final answer after the last attempt ended with
// got.
func (c *call) giveUp(got result, kept *heldAnswer, cause string) {
	c.event.Cause = cause
	switch {
	case got == delivered:
		c.event.Outcome, c.event.Cause = "Delivered", ""
		c.f.pace.Observe(c.route.Name, c.f.cfg.Now().Sub(c.start))
	case got == callerGone:
		c.event.Outcome = "CallerGone"
	case c.stream.begun:
		c.event.Outcome = "StreamBroken"
		// The connection is closed without the end of the stream, so that the
		// answer does not look complete.
		panic(http.ErrAbortHandler)
	case kept != nil:
		c.event.Outcome = "UpstreamFailed"
		kept.write(c)
	case got == expired && c.mayHaveRun:
		c.event.Outcome = "Expired"
		c.fail(http.StatusGatewayTimeout, cause)
	case c.mayHaveRun:
		c.event.Outcome = "OutcomeUnknown"
		c.fail(http.StatusBadGateway, cause)
	default:
		c.refuse(c.unplaced(cause))
	}
}

// unplaced returns the refusal of a request that no upstream has run. Where all
// upstreams have declined requests for a time, the caller returns when the first
// wants some again.
func (c *call) unplaced(cause string) *refusal {
	r := &refusal{status: http.StatusServiceUnavailable, outcome: "Refused", cause: cause, retryAfter: retryBusy}
	if free := c.f.cfg.Roster.FreeAt(c.service.Name); !free.IsZero() {
		r.outcome, r.retryAfter = "Declined", free.Sub(c.f.cfg.Now())
		r.notBefore = true
	}
	return r
}

// rank returns the rank that the request has at engines: teams first, then the
// kinds of a team's requests.
func (c *call) rank() int {
	rank := c.route.Priority
	if c.team != nil && c.team.HasPriority {
		rank = c.team.Priority*ranksPerTeam + min(c.route.Priority, ranksPerTeam-1)
	}
	return min(max(rank, 0), maxRank)
}

// usedAfter returns how lately a kept connection must have been used.
func (c *call) usedAfter() time.Time {
	if c.route.MayRepeat() {
		return time.Time{}
	}
	return c.f.cfg.Now().Add(-c.f.cfg.UsedWithin)
}
