package kcwroster

import "time"

// takesNone reports whether the upstream gets no new request at all: it leaves, or
// is gone.
func (u *upstream) takesNone() bool { return u.Leaving || u.gone || u.saidLeaving }

// MarkLeaving notes that an answer of the upstream said that it leaves. It reports
// whether this is news.
func (t *Attempt) MarkLeaving() bool {
	t.roster.mu.Lock()
	defer t.roster.mu.Unlock()
	news := !t.upstream.saidLeaving
	t.upstream.saidLeaving = true
	return news
}

// MarkDeclined notes that the upstream wants no request from this router until then.
func (t *Attempt) MarkDeclined(until time.Time) {
	t.roster.mu.Lock()
	defer t.roster.mu.Unlock()
	if until.After(t.upstream.declinedUntil) {
		t.upstream.declinedUntil = until
	}
}

// FreeAt returns when the first upstream of the service wants requests again, if
// all that may be given work have declined them for a time; otherwise zero.
func (r *Roster) FreeAt(service string) time.Time {
	now := r.cfg.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var first time.Time
	for _, u := range r.services[service] {
		switch {
		case u.takesNone():
		case !now.Before(u.declinedUntil):
			return time.Time{}
		case first.IsZero() || u.declinedUntil.Before(first):
			first = u.declinedUntil
		}
	}
	return first
}
