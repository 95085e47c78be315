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
// timeout while u sent no data to any attempt.
func (r *Roster) isSilent(u *upstream, now time.Time) bool {
	var since time.Time
	for _, began := range u.waiting {
		if u.lastDataAt.After(began) {
			began = u.lastDataAt
		}
		if since.IsZero() || began.Before(since) {
			since = began
		}
	}
	isSilent := !since.IsZero() && now.Sub(since) >= r.cfg.SilenceTimeout
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

// reportSilence calls Config.OnSilence.
func (r *Roster) reportSilence(u *upstream, ended bool) {
	if r.cfg.OnSilence != nil {
		r.cfg.OnSilence(Silence{
			Upstream: u.ID, Service: u.Service, Ended: ended, Since: u.silentSince, Waiting: len(u.waiting), InFlight: u.inFlight,
		})
	}
}
