package kcwroster

import "time"

// isUnavailable reports whether the upstream receives no new requests at all, because
// it leaves, another upstream has its address, or its zone is evacuated.
func (u *upstream) isUnavailable() bool { return u.isWithdrawn() || u.evacuated }

// isWithdrawn reports whether the upstream leaves or another upstream has its address.
func (u *upstream) isWithdrawn() bool { return u.Leaving || u.gone || u.announcedLeaving }

// MarkLeaving records that an answer of the upstream announced that it leaves. It
// reports whether this is the first such announcement.
func (a *Attempt) MarkLeaving() bool {
	a.roster.mu.Lock()
	defer a.roster.mu.Unlock()
	first := !a.upstream.announcedLeaving
	a.upstream.announcedLeaving = true
	return first
}

// MarkDeclined records that the upstream declines requests from this router until
// the given time. An earlier time than the recorded one is ignored.
func (a *Attempt) MarkDeclined(until time.Time) {
	a.roster.mu.Lock()
	defer a.roster.mu.Unlock()
	if until.After(a.upstream.declinedUntil) {
		a.upstream.declinedUntil = until
	}
}

// FreeAt returns the earliest time at which an upstream of the service accepts
// requests again, if all upstreams that are not leaving or gone currently decline
// them. Otherwise it returns the zero time.
func (r *Roster) FreeAt(service string) time.Time {
	now := r.cfg.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var earliest time.Time
	for _, u := range r.services[service] {
		switch {
		case u.isUnavailable():
		case !now.Before(u.declinedUntil):
			return time.Time{}
		case earliest.IsZero() || u.declinedUntil.Before(earliest):
			earliest = u.declinedUntil
		}
	}
	return earliest
}
