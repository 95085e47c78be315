package kcwforward

import (
	"context"
	"slices"
	"sync"
	"time"

	"kingcupwick.example/kcw/kcwconn"
	"kingcupwick.example/kcw/kcwretry"
	"kingcupwick.example/kcw/kcwroster"
)

// attempts is the state that the attempts of one request share. One is open at a time, or two
// while the upstream of the first of them is silent: the second one is a hedge, as in Dean and
// Barroso, The Tail at Scale, Communications of the ACM 56(2), 2013. The attempt that answers
// first replaces the other one.
type attempts struct {
	retryBudget *kcwretry.Budget

	// mu guards the fields below, also those of the attempts' resumptions. Lock order: mu
	// before the locks of the retry budget, the guard and the roster.
	mu sync.Mutex
	// open holds the attempts that have not ended, at most maxOpen.
	open []*attempt
	// tried holds the IDs of the upstreams that were tried, also by open attempts.
	tried []string
	// sends counts the attempts made. Of those that have ended, possibleRuns counts the ones
	// that may have run the request, and connected the ones that had a connection.
	sends, possibleRuns, connected int
	// mayHaveRun is set if an upstream may have run the request, in an attempt that has ended,
	// and isCharged if the tokens of that are charged.
	mayHaveRun, isCharged bool
	// last is the attempt that ended last without having been replaced, and lastResult how.
	last       *attempt
	lastResult result
	// lastFailure is the last answer with a status of 500 or above, nil if there is none.
	lastFailure *bufferedAnswer
	stream      streamProgress
	// writer is the attempt that is passing on events or has a whole answer, nil if there is
	// none.
	writer *attempt
	// notHedged holds the reasons reported why no hedge could begin.
	notHedged []string
}

// maxOpen bounds the open attempts of one request.
const maxOpen = 2

// HedgeState is what happened to a hedge.
type HedgeState string

const (
	// HedgeBegun means that the request was sent to another upstream too.
	HedgeBegun HedgeState = "Begun"
	// HedgeNotBegun means that no other upstream could be given the request.
	HedgeNotBegun HedgeState = "NotBegun"
	// HedgeWon means that the hedge has answered first.
	HedgeWon HedgeState = "Won"
	// HedgeLost means that the silent upstream has answered first.
	HedgeLost HedgeState = "Lost"
	// HedgeFailed means that the hedge has ended without an answer that could be passed on.
	HedgeFailed HedgeState = "Failed"
)

// Hedge describes a second attempt beside one whose upstream is silent, for logs and metrics.
type Hedge struct {
	RequestID, Service string
	// Silent is the upstream of the first attempt, and Upstream that of the hedge. It is
	// empty if there is none.
	Silent, Upstream string
	State            HedgeState
	// Cause is the reason for HedgeNotBegun and HedgeFailed.
	Cause string
	// Events is the number of events that the caller has got.
	Events int64
}

// compete makes the attempt, and hedges while the upstream of the open attempt is silent. It
// returns when all of them have ended, with the one that ended last without having been
// replaced, and how.
func (c *call) compete(first *attempt) (*attempt, result) {
	first.watchSilence()
	first.end(first.do())
	for {
		c.mu.Lock()
		if len(c.open) == 0 {
			last, res := c.last, c.lastResult
			c.mu.Unlock()
			return last, res
		}
		next := c.open[0]
		c.mu.Unlock()
		<-next.ended
	}
}

// newAttempt adds an open attempt, whose upstream is still to be chosen. The caller must hold
// mu.
func (c *call) newAttempt() *attempt {
	a := &attempt{call: c, ended: make(chan struct{}), lastEventID: c.stream.lastEventID}
	a.ctx, a.cancel = context.WithCancel(c.r.Context())
	if c.stream.started {
		a.resumed = &resumption{progress: &c.stream}
	}
	c.open = append(c.open, a)
	return a
}

// watchSilence begins to check for silence of the upstream if another attempt may follow
// although this one may have run the request.
func (a *attempt) watchSilence() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.mayRepeat(a.possibleRuns + 1) {
		a.silenceCheck = time.AfterFunc(a.f.cfg.SilenceCheckInterval, a.checkSilence)
	}
}

// check sets the connection to check for silence.
func (a *attempt) check(conn *kcwconn.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.checked = conn
}

// checkSilence begins a hedge if the upstream or its connection is silent.
func (a *attempt) checkSilence() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !slices.Contains(a.open, a) {
		return
	}
	now := a.f.cfg.Now()
	a.silenceCheck.Reset(a.nextCheck(now))
	isOver := a.ctx.Err() != nil || !now.Before(a.deadline)
	if isOver || len(a.open) == maxOpen || a.writer != nil || !a.isSilent(now) {
		return
	}
	if cause := a.reserveHedge(); cause != "" {
		a.reportNotHedged(a.ticket.ID(), cause)
		return
	}
	hedge := a.newAttempt()
	hedge.silent = a.ticket.ID()
	go hedge.hedge()
}

// isSilent reports whether the upstream is silent, or only the connection to it. While the router
// itself is late, neither can be told. The caller must hold mu.
func (a *attempt) isSilent(now time.Time) bool {
	isSilent := a.ticket.IsSilent() || a.checked != nil && a.checked.IsSilent(now)
	return isSilent && !a.f.cfg.Overload.IsLate(now)
}

// nextCheck returns the time until the next check for silence. The caller must hold mu.
func (a *attempt) nextCheck(now time.Time) time.Duration {
	interval := a.f.cfg.SilenceCheckInterval
	if a.checked != nil && now.Before(a.checked.SilentFrom) {
		interval = min(interval, a.checked.SilentFrom.Sub(now))
	}
	return interval
}

// noRetriesCause is the cause of ends and of hedges not begun for want of a retry.
const noRetriesCause = "no retries are left"

// reserveHedge reserves a hedge in the retry budget. It returns the reason if the request can't
// be sent once more. The caller must hold mu.
func (c *call) reserveHedge() string {
	switch {
	case !c.mayRepeat(c.possibleRuns + 1), !c.maySend():
		return "no other attempt is allowed"
	case c.f.cfg.Guard.Match(c.request.Parts) != nil:
		return "the prompt has parts that crash upstreams"
	case !c.isAllowedByStop():
		return stoppingCause
	case !c.retryBudget.TryReserve():
		return noRetriesCause
	}
	return ""
}

// hedge chooses an upstream for a hedge and makes the attempt. The retry is withdrawn only then:
// choosing can wait for a permit, while other requests need retries. The retry budget is
// refunded if the request is not sent.
func (a *attempt) hedge() {
	isAtLimit := a.choose()
	switch {
	case a.ctx.Err() != nil:
		a.releaseHedge("")
	case a.ticket == nil && isAtLimit:
		a.releaseHedge("all other upstreams are at their rate limits")
	case a.ticket == nil:
		a.releaseHedge("no other upstream may be given work")
	case !a.endsBeforeStop():
		a.releaseHedge(stoppingCause)
	case !a.retryBudget.WithdrawReserved():
		a.abandonHedge(noRetriesCause)
	default:
		a.mu.Lock()
		a.reportHedge(HedgeBegun, "")
		a.mu.Unlock()
		a.watchSilence()
		res := a.do()
		if a.conn == nil {
			a.retryBudget.Refund()
		}
		a.end(res)
	}
}

// releaseHedge releases the retry that was reserved for a hedge and abandons the hedge.
func (a *attempt) releaseHedge(cause string) {
	a.retryBudget.Release()
	a.abandonHedge(cause)
}

// abandonHedge ends a hedge that was not begun. Cause is the reason to report, empty if the
// request no longer needs one.
func (a *attempt) abandonHedge(cause string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ticket != nil {
		a.ticket.Done(kcwroster.Neutral)
		a.sends--
		a.tried = slices.DeleteFunc(a.tried, func(id string) bool { return id == a.ticket.ID() })
	}
	if cause != "" {
		a.reportNotHedged(a.silent, cause)
	}
	a.remove()
}

// reportNotHedged reports why no hedge could begin beside the attempt at the upstream silent,
// once for each reason. The caller must hold mu.
func (c *call) reportNotHedged(silent, cause string) {
	if slices.Contains(c.notHedged, cause) {
		return
	}
	c.notHedged = append(c.notHedged, cause)
	c.f.cfg.OnHedge(Hedge{
		RequestID: c.request.RequestID, Service: c.service.Name, Silent: silent, State: HedgeNotBegun, Cause: cause, Events: c.stream.events,
	})
}

// reportHedge calls Config.OnHedge for the hedge a, whose upstream was chosen. The caller must
// hold mu.
func (a *attempt) reportHedge(state HedgeState, cause string) {
	a.f.cfg.OnHedge(Hedge{
		RequestID: a.request.RequestID, Service: a.service.Name, Silent: a.silent, Upstream: a.ticket.ID(), State: state, Cause: cause, Events: a.stream.events,
	})
}

// claim makes a the attempt that answers the caller, to the end of the request. It returns
// false if another one has answered first.
func (a *attempt) claim() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.isReplaced {
		return false
	}
	a.replaceOthers()
	a.writer = a
	return true
}

// replaceOthers ends the other open attempt. The caller must hold mu.
func (a *attempt) replaceOthers() {
	for _, other := range a.open {
		if other == a || other.isReplaced {
			continue
		}
		other.isReplaced = true
		other.cancel()
		switch {
		case a.isHedgeOf(other):
			a.reportHedge(HedgeWon, "")
		case other.ticket != nil:
			other.reportHedge(HedgeLost, "")
		}
	}
}

// isHedgeOf reports whether a was begun because the upstream of other was silent.
func (a *attempt) isHedgeOf(other *attempt) bool {
	return other.ticket != nil && a.silent == other.ticket.ID()
}

// wasReplaced reports whether another attempt has answered first.
func (a *attempt) wasReplaced() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.isReplaced
}

// endWrite records that the events of takeEvents were passed on, if there were any.
func (a *attempt) endWrite() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.writer == a {
		a.writer = nil
	}
}

// isStreamStarted reports whether the caller has got the head of a stream.
func (c *call) isStreamStarted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stream.started
}

// eventsPassedOn returns the number of events that the caller has got.
func (c *call) eventsPassedOn() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stream.events
}

// end records how the attempt ended. A hedge that fails does not end the attempt beside it, whose
// upstream may only be late.
func (a *attempt) end(res result) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.remove()
	if a.conn != nil {
		a.connected++
	}
	a.call.mayHaveRun = a.call.mayHaveRun || a.mayHaveRun
	a.call.isCharged = a.call.isCharged || a.isCharged
	a.call.memoryHeld += a.memoryHeld
	a.event.Surplus += a.surplus
	if a.isReplaced {
		res = replaced
	}
	if res == unknownRun || res == failedRun || res == replaced && a.mayHaveRun {
		a.possibleRuns++
	}
	if res == replaced {
		return
	}
	if a.failedAnswer != nil {
		a.lastFailure = a.failedAnswer
	}
	a.last, a.lastResult = a, res
	if len(a.open) > 0 && a.isHedgeOf(a.open[0]) && res != delivered && res != callerGone {
		a.reportHedge(HedgeFailed, a.cause)
	}
}

// remove removes the attempt from those that are open. The caller must hold mu.
func (a *attempt) remove() {
	a.open = slices.DeleteFunc(a.open, func(other *attempt) bool { return other == a })
	a.cancel()
	if a.silenceCheck != nil {
		a.silenceCheck.Stop()
	}
	close(a.ended)
}
