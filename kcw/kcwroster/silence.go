package kcwroster

import "time"

// Silence describes an upstream that became silent or no longer is.
type Silence struct {
	Upstream, Service string
	// Ended is set if the upstream is no longer silent.
	Ended bool
	// Since is when the upstream last sent data, or when the oldest request that waits for
	// its answer was sent if that is later.
	Since time.Time
	// Waiting is the number of this router's requests without an answer, and InFlight that
	// of all its requests at the upstream.
	Waiting, InFlight int
}

// isSilent reports whether an attempt at u has waited for at least the silence
// timeout while u sent no data to any attempt. An attempt that another one replaced meanwhile
// counts as waiting until it is known whether the upstream was only late.
func (r *Roster) isSilent(u *upstream, now time.Time) bool {
	r.failReplaced(u, now)
	if len(u.replaced) > 0 {
		return true
	}
	var since time.Time
	for _, began := range u.waiting {
		if u.lastDataAt.After(began) {
			began = u.lastDataAt
		}
		if since.IsZero() || began.Before(since) {
			since = began
		}
	}
	isSilent := !since.IsZero() && r.hasWaited(since, now)
	switch {
	case isSilent && u.silentSince.IsZero():
		u.silentSince = since
		r.reportSilence(u, false)
	case !isSilent && !u.silentSince.IsZero():
		r.reportSilence(u, true)
		u.silentSince = time.Time{}
	}
	return isSilent
}

// hasWaited reports whether the silence timeout has passed between since and now, apart from the
// time in which this router itself was late.
func (r *Roster) hasWaited(since, now time.Time) bool {
	waited := now.Sub(since)
	if waited >= r.cfg.SilenceTimeout && r.cfg.LostTime != nil {
		waited -= r.cfg.LostTime(since, now)
	}
	return waited >= r.cfg.SilenceTimeout
}

// replaced is an attempt that another one has replaced while its upstream was silent. If the
// upstream sends no data until failsAt, the attempt counts as failed.
type replaced struct {
	breakerTicket uint64
	admitted      bool
	failsAt       time.Time
}

// failReplaced counts the replaced attempts at u as failed whose time is over.
func (r *Roster) failReplaced(u *upstream, now time.Time) {
	for len(u.replaced) > 0 && r.hasWaited(u.replaced[0].failsAt.Add(-r.cfg.SilenceTimeout), now) {
		if u.replaced[0].admitted {
			u.breaker.Fail(now, u.replaced[0].breakerTicket)
		}
		u.replaced = u.replaced[1:]
	}
}

// endSilence records that u has sent data. The attempts that others have replaced did not
// fail: the upstream was late.
func (r *Roster) endSilence(u *upstream, now time.Time) {
	u.lastDataAt = now
	r.failReplaced(u, now)
	for _, a := range u.replaced {
		if a.admitted {
			u.breaker.Cancel(a.breakerTicket)
		}
	}
	u.replaced = nil
	if !u.silentSince.IsZero() {
		r.isSilent(u, now)
	}
}

// reportSilence calls Config.OnSilence.
func (r *Roster) reportSilence(u *upstream, ended bool) {
	if r.cfg.OnSilence != nil {
		r.cfg.OnSilence(Silence{
			Upstream: u.ID, Service: u.Service, Ended: ended, Since: u.silentSince, Waiting: len(u.waiting), InFlight: u.inFlight,
		})
	}
}
