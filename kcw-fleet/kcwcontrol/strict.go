package kcwcontrol

import (
	"time"

	"kingcupwick.example/kcw/kcwratelimit"
)

const (
	// strictInterval is the time between two checks of which upstreams are cold.
	strictInterval = 100 * time.Millisecond
	// strictLinger is how long the limit of an upstream is kept after its cold time, or after
	// a router has asked for a permit for it: routers may take it for cold a little longer, or
	// know earlier of an outage than the leader.
	strictLinger = 3 * time.Second
)

// lead takes note of the term in which this member leads. At the start of a term, another member
// may just have issued permits, and some of the routers may be cut off. Routers returns all of
// them.
func (k *limitKeeper) lead(term uint64, routers func() []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if term == k.term {
		return
	}
	k.term = term
	k.issuer.Begin(routers(), k.now())
}

// updateStrict brings the limits of cold upstreams up to date. The caller holds mu.
func (k *limitKeeper) updateStrict(now time.Time) {
	k.strictAt = now
	coldNow := k.cold.now()
	for _, b := range k.cold.bounds() {
		k.keepStrict(b.Upstream, now.Add(b.Until.Sub(coldNow)+strictLinger))
		k.setLimit(b.Upstream, now)
	}
	for id, until := range k.strict {
		if !now.Before(until) {
			delete(k.strict, id)
			k.setLimit(id, now)
		}
	}
}

// keepStrict keeps the limit of the cold upstream until the given time or longer. The caller
// holds mu.
func (k *limitKeeper) keepStrict(upstream string, until time.Time) {
	if until.After(k.strict[upstream]) {
		k.strict[upstream] = until
	}
}

// prepare sees to it that there are limits for the upstreams for which a router asks for a
// permit. One that has none here is cold as far as the router knows. The caller holds mu.
func (k *limitKeeper) prepare(upstreams []string, now time.Time) {
	for _, id := range upstreams {
		_, isStrict := k.strict[id]
		if !isStrict && (k.issuer.Has(id) || k.cold.potential(id).PerSecond == 0) {
			continue
		}
		k.keepStrict(id, now.Add(strictLinger))
		if !isStrict {
			k.setLimit(id, now)
		}
	}
}

// setLimit puts the limit of the upstream in force: the stricter one of those that the upstream
// names and that it has while it is cold. The caller holds mu.
func (k *limitKeeper) setLimit(upstream string, now time.Time) {
	l, _ := k.table.Get(upstream)
	if _, isStrict := k.strict[upstream]; isStrict {
		if b := k.cold.potential(upstream); b.PerSecond > 0 {
			cold := kcwratelimit.Limit{Upstream: upstream, Service: b.Service, PerSecond: b.PerSecond, Most: b.Most, AnsweredAt: l.AnsweredAt}
			if l.PerSecond > 0 {
				cold.PerSecond = min(cold.PerSecond, l.PerSecond)
			}
			l = cold
		}
	}
	if l.PerSecond == 0 {
		k.issuer.Remove(upstream)
		return
	}
	k.issuer.SetLimit(l, now)
}
