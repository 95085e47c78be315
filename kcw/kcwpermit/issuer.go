package kcwpermit

import (
	"time"

	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwratelimit"
)

// bucket holds the permits of one upstream that have not been issued.
type bucket struct {
	limit    kcwratelimit.Limit
	tokens   float64
	filledAt time.Time
	probedAt time.Time
	// strict is the budget of a limit with a Most, for silent routers of all of them.
	strict          budget
	silent, routers int
}

// Issuer issues permits for the requests of all routers. It is not safe for concurrent use.
type Issuer struct {
	buckets map[string]*bucket
	// services holds the buckets of each service.
	services map[string]map[string]*bucket
	// routers holds when each router last reported. The fraction of the limits that is
	// issued was computed from it at countedAt.
	routers   map[string]time.Time
	fraction  float64
	countedAt time.Time
	// silent is the number of routers that had stopped reporting at countedAt.
	silent int
	// unheard holds the routers of Begin that have not reported since, until unheardUntil.
	unheard      map[string]bool
	unheardUntil time.Time
}

// NewIssuer returns an Issuer without limits.
func NewIssuer() *Issuer {
	return &Issuer{buckets: map[string]*bucket{}, services: map[string]map[string]*bucket{}, routers: map[string]time.Time{}, fraction: 1}
}

// Begin records that the Issuer begins to issue permits at now, when another one may just have
// ended. The buckets of limits with a Most are emptied, and the given routers count as cut off,
// as far as these limits are concerned, until they report.
func (s *Issuer) Begin(routers []string, now time.Time) {
	s.unheard, s.unheardUntil = make(map[string]bool, len(routers)), now.Add(rememberFor)
	for _, name := range routers {
		s.unheard[name] = true
	}
	for _, b := range s.buckets {
		if b.limit.Most > 0 {
			s.fill(b, now)
			b.tokens = 0
		}
	}
}

// SetLimit puts the newest limit of an upstream in force at now. A limit of zero has ended.
// The bucket of a new limit is empty: permits that another Issuer has issued may still be
// valid.
func (s *Issuer) SetLimit(l kcwratelimit.Limit, now time.Time) {
	b := s.buckets[l.Upstream]
	if b != nil && b.limit.Service != l.Service {
		s.Remove(l.Upstream)
		b = nil
	}
	switch {
	case l.PerSecond == 0:
		s.Remove(l.Upstream)
		return
	case b == nil:
		b = &bucket{filledAt: now, limit: l}
		s.buckets[l.Upstream] = b
		if s.services[l.Service] == nil {
			s.services[l.Service] = map[string]*bucket{}
		}
		s.services[l.Service][l.Upstream] = b
		return
	}
	s.fill(b, now)
	if l.Most > 0 && b.limit.Most == 0 {
		// Permits that were issued before may be used for longer than strict ones.
		b.tokens = 0
	}
	if l.PerSecond != b.limit.PerSecond || l.Most != b.limit.Most {
		b.routers = 0
	}
	b.limit = l
	s.fill(b, now)
}

// Has reports whether the upstream has a limit.
func (s *Issuer) Has(upstream string) bool { return s.buckets[upstream] != nil }

// Remove removes the upstream.
func (s *Issuer) Remove(upstream string) {
	b := s.buckets[upstream]
	if b == nil {
		return
	}
	delete(s.buckets, upstream)
	delete(s.services[b.limit.Service], upstream)
	if len(s.services[b.limit.Service]) == 0 {
		delete(s.services, b.limit.Service)
	}
}

// strictBudget returns the budget of b, which has a limit with a Most.
func (s *Issuer) strictBudget(b *bucket) budget {
	silent := s.silent + len(s.unheard)
	routers := max(1, len(s.routers)+len(s.unheard))
	if b.routers != routers || b.silent != silent {
		b.routers, b.silent = routers, silent
		b.strict = newBudget(b.limit.PerSecond, b.limit.Most, b.silent, b.routers)
	}
	return b.strict
}

// capacity returns the maximum number of tokens in b.
func (s *Issuer) capacity(b *bucket) float64 {
	if b.limit.Most > 0 {
		return s.strictBudget(b).capacity
	}
	return max(minCapacity, 1+s.fraction*b.limit.PerSecond*burst.Seconds())
}

// fill adds the tokens of the time since the last call.
func (s *Issuer) fill(b *bucket, now time.Time) {
	if elapsed := now.Sub(b.filledAt); elapsed > 0 {
		rate := s.fraction * b.limit.PerSecond
		if b.limit.Most > 0 {
			rate = s.strictBudget(b).rate
		}
		b.tokens += rate * elapsed.Seconds()
		b.filledAt = now
	}
	b.tokens = min(b.tokens, s.capacity(b))
}

// Hear records a report of a router.
func (s *Issuer) Hear(router string, now time.Time) {
	s.routers[router] = now
	delete(s.unheard, router)
	if now.After(s.unheardUntil) {
		s.unheard = nil
	}
	const countInterval = 100 * time.Millisecond
	if now.Sub(s.countedAt) < countInterval {
		return
	}
	s.countedAt = now
	silent := 0
	for name, at := range s.routers {
		switch age := now.Sub(at); {
		case age > rememberFor:
			delete(s.routers, name)
		case age > silentAfter:
			silent++
		}
	}
	s.silent = silent
	s.fraction = 1 - aloneFraction*float64(silent)/float64(len(s.routers))
}

// Grant issues a permit at now for the first of the upstreams that has one left, and returns
// that upstream. It returns an empty string if none has. Spare is the part of the tokens of a
// full bucket, beside the one that is taken, that is left to others, zero to one.
func (s *Issuer) Grant(upstreams []string, spare float64, now time.Time) string {
	for _, upstream := range upstreams {
		b := s.buckets[upstream]
		if b == nil {
			continue
		}
		s.fill(b, now)
		if b.tokens >= 1+spare*maxSpare*max(0, s.capacity(b)-1) {
			b.tokens--
			return upstream
		}
	}
	return ""
}

// Issue returns permits for the demand of a router, as many as there are at now, and those
// for probes that are due.
func (s *Issuer) Issue(demand []*kcwpb.PermitDemand, now time.Time) []*kcwpb.UpstreamPermits {
	var issued []*kcwpb.UpstreamPermits
	for _, d := range demand {
		service := s.services[d.GetService()]
		if len(service) == 0 {
			continue
		}
		permits := map[*bucket]*kcwpb.UpstreamPermits{}
		take := func(b *bucket) *kcwpb.UpstreamPermits {
			if permits[b] == nil {
				permits[b] = &kcwpb.UpstreamPermits{Upstream: b.limit.Upstream}
				issued = append(issued, permits[b])
			}
			b.tokens--
			permits[b].Permits++
			return permits[b]
		}
		for _, b := range service {
			s.fill(b, now)
		}
		if b := dueProbe(service, now); b != nil {
			b.probedAt = now
			take(b).Probe = true
		}
		for range min(d.GetPermits(), MaxPermits) {
			b := s.fullest(service)
			if b == nil {
				break
			}
			take(b)
		}
	}
	return issued
}

// dueProbe returns the bucket with a token whose upstream has not answered for the longest
// time, probeAfter at least, nil if there is none. A limit with a Most ends by itself and
// needs no probes.
func dueProbe(service map[string]*bucket, now time.Time) *bucket {
	var due *bucket
	for _, b := range service {
		if b.limit.Most > 0 || b.tokens < 1 || now.Sub(b.limit.AnsweredAt) <= probeAfter || now.Sub(b.probedAt) <= probeAfter {
			continue
		}
		if due == nil || b.limit.AnsweredAt.Before(due.limit.AnsweredAt) || b.limit.AnsweredAt.Equal(due.limit.AnsweredAt) && b.limit.Upstream < due.limit.Upstream {
			due = b
		}
	}
	return due
}

// fullest returns the fullest bucket that has a token, nil if there is none.
func (s *Issuer) fullest(service map[string]*bucket) *bucket {
	var best *bucket
	most := 0.0
	for _, b := range service {
		fill := b.tokens / s.capacity(b)
		if b.tokens < 1 || fill < most || fill == most && b.limit.Upstream > best.limit.Upstream {
			continue
		}
		best, most = b, fill
	}
	return best
}

// Available returns the permits of an upstream that have not been issued at now, zero if it
// has no limit.
func (s *Issuer) Available(upstream string, now time.Time) float64 {
	b := s.buckets[upstream]
	if b == nil {
		return 0
	}
	s.fill(b, now)
	return b.tokens
}
