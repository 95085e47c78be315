package kcwroster

import (
	"fmt"
	"net/netip"
	"time"

	"kingcupwick.example/kcw/kcwconn"
)

// Attempt is one attempt to send a request to an upstream. Done must be called
// exactly once to end it.
type Attempt struct {
	roster        *Roster
	upstream      *upstream
	breakerTicket uint64
	admitted      bool // by the circuit breaker
	began         time.Time
	promptTokens  int64
	answered      bool
	gaps          gaps
}

// ID returns the upstream's ID.
func (a *Attempt) ID() string { return a.upstream.ID }

// Address returns the address of the upstream.
func (a *Attempt) Address() netip.AddrPort { return a.upstream.Address }

// Pool returns the pool of connections to the upstream.
func (a *Attempt) Pool() *kcwconn.Pool { return a.upstream.pool }

// Answered records that the first bytes of an answer arrived.
func (a *Attempt) Answered() {
	now := a.roster.cfg.Now()
	a.roster.mu.Lock()
	defer a.roster.mu.Unlock()
	a.markAnswered()
	a.roster.endSilence(a.upstream, now)
}

// markAnswered removes the attempt from those without an answer, once.
func (a *Attempt) markAnswered() {
	if a.answered {
		return
	}
	a.answered = true
	delete(a.upstream.waiting, a)
	a.upstream.pendingTokens -= a.promptTokens
}

// DataReceived records that more bytes of the answer arrived.
func (a *Attempt) DataReceived() {
	now := a.roster.cfg.Now()
	a.roster.mu.Lock()
	defer a.roster.mu.Unlock()
	a.roster.endSilence(a.upstream, now)
}

// ReportLoad stores a load report of the upstream.
func (a *Attempt) ReportLoad(load Load) {
	now := a.roster.cfg.Now()
	a.roster.mu.Lock()
	defer a.roster.mu.Unlock()
	u := a.upstream
	if load.Slowness > 0 && u.isAbsurd(load) {
		a.roster.reportMalformedLoad(u, "", fmt.Sprintf("%+v", load))
		return
	}
	u.load, u.loadAt, u.loadInFlight = load, now, u.inFlight
	a.addSample(load, now)
}

// IsSilent reports whether an attempt at the upstream has waited for at least the
// silence timeout while the upstream sent no data on any connection.
func (a *Attempt) IsSilent() bool {
	now := a.roster.cfg.Now()
	a.roster.mu.Lock()
	defer a.roster.mu.Unlock()
	return a.roster.isSilent(a.upstream, now)
}

// Outcome is the way in which an attempt ended.
type Outcome int

// Outcomes.
const (
	// Succeeded means that the upstream returned a complete answer and is healthy.
	Succeeded Outcome = iota + 1
	// Failed means that the attempt failed through the upstream's fault.
	Failed
	// Unreachable means that no connection could be opened.
	Unreachable
	// Misdirected means that another upstream answered at the address.
	Misdirected
	// Replaced means that another attempt at the same request has answered first. If the
	// upstream is silent and stays so, the attempt failed.
	Replaced
	// Neutral means that the end doesn't show whether the upstream is healthy, such
	// as when the caller canceled.
	Neutral
)

// Done ends the attempt with the given outcome.
func (a *Attempt) Done(outcome Outcome) {
	now := a.roster.cfg.Now()
	a.roster.mu.Lock()
	defer a.roster.mu.Unlock()
	u := a.upstream
	isLate := outcome == Replaced && a.roster.isSilent(u, now)
	a.markAnswered()
	u.inFlight--
	switch outcome {
	case Unreachable:
		u.dialPausedUntil = now.Add(a.roster.cfg.DialPause)
	case Misdirected:
		u.gone = true
	}
	switch {
	case isLate:
		u.replaced = append(u.replaced, replaced{a.breakerTicket, a.admitted, now.Add(a.roster.cfg.SilenceTimeout)})
	case !a.admitted:
	case outcome == Succeeded:
		u.breaker.Succeed(now, a.breakerTicket, a.began)
	case outcome == Failed || outcome == Unreachable:
		u.breaker.Fail(now, a.breakerTicket)
	default:
		u.breaker.Cancel(a.breakerTicket)
	}
}
