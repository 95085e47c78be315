package kcwpermit

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwratelimit"
)

const (
	// demandTime is the time over which demand is averaged, and horizon the time whose
	// demand the permits in stock should cover. Both span some reports.
	demandTime = time.Second
	horizon    = 500 * time.Millisecond
)

// Standing is whether a request may go to an upstream.
type Standing int

// Standings.
const (
	// Closed: the upstream has a rate limit, and the router holds no permit.
	Closed Standing = iota
	// Permitted: the router holds a permit.
	Permitted
	// Probe: the router holds a permit that should be used at once, because the upstream
	// has not answered for a while and its limit may have ended.
	Probe
)

// holding is what a router holds for one upstream.
type holding struct {
	service string
	// expires holds when each permit expires, the earliest first.
	expires []time.Time
	isProbe bool
	// aloneAt is when the router may send the next request without a permit while it gets
	// no answers from the core, zero if it got answers lately.
	aloneAt time.Time
}

// need is a router's need of permits for the upstreams of one service.
type need struct {
	// displaced is the rate of requests for which there was no permit, and granted that of
	// permits received.
	displaced, granted rate
	// preferred counts the upstreams that requests since the last report would have gone to.
	preferred map[string]uint32
	line      line
	// returnAt is when the last caller that was refused may return.
	returnAt time.Time
}

// Stock holds the permits of a router. It is not safe for concurrent use.
type Stock struct {
	rand     *rand.Rand
	routers  int
	holdings map[string]*holding
	needs    map[string]*need
	// answeredAt is when the last report that the core has answered was sent.
	answeredAt time.Time
}

// NewStock returns an empty Stock that takes random numbers from random.
func NewStock(random *rand.Rand) *Stock {
	return &Stock{rand: random, holdings: map[string]*holding{}, needs: map[string]*need{}}
}

// isAlone reports whether the router has got no answer from the core for silentAfter.
func (s *Stock) isAlone(now time.Time) bool {
	return !s.answeredAt.IsZero() && now.Sub(s.answeredAt) > silentAfter
}

// Standing returns whether a request may go to the upstream of the limit at now. The limit
// must not have ended.
func (s *Stock) Standing(l kcwratelimit.Limit, now time.Time) Standing {
	h := s.holdings[l.Upstream]
	switch {
	case h != nil && h.valid(now) > 0 && h.isProbe:
		return Probe
	case h != nil && h.valid(now) > 0:
		return Permitted
	case !s.isAlone(now):
		return Closed
	case now.Before(s.aloneAt(l, now)):
		return Closed
	case now.Sub(l.AnsweredAt) > probeAfter:
		return Probe
	}
	return Permitted
}

// valid returns the number of permits that are valid at now, and drops the others.
func (h *holding) valid(now time.Time) int {
	expired := 0
	for expired < len(h.expires) && !now.Before(h.expires[expired]) {
		expired++
	}
	h.expires = h.expires[expired:]
	if len(h.expires) == 0 {
		h.isProbe = false
	}
	return len(h.expires)
}

// hold returns the holding of an upstream.
func (s *Stock) hold(upstream, service string) *holding {
	h := s.holdings[upstream]
	if h == nil {
		h = &holding{service: service}
		s.holdings[upstream] = h
	}
	return h
}

// aloneAt returns when the router may send the next request to the upstream while it gets no
// answers from the core. The first one is at a random time, so that hundreds of routers that
// lose the core at once don't send together.
func (s *Stock) aloneAt(l kcwratelimit.Limit, now time.Time) time.Time {
	h := s.hold(l.Upstream, l.Service)
	if h.aloneAt.IsZero() {
		h.aloneAt = now.Add(time.Duration(s.rand.Float64() * float64(s.aloneInterval(l))))
	}
	return h.aloneAt
}

// aloneInterval returns the time between two requests to the upstream without permits.
func (s *Stock) aloneInterval(l kcwratelimit.Limit) time.Duration {
	return seconds(float64(max(1, s.routers)) / (aloneFraction * l.PerSecond))
}

// seconds returns a time of at most an hour.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, time.Hour.Seconds()) * float64(time.Second))
}

// Take uses up a permit for a request to the upstream of the limit, and reports whether
// there was one.
func (s *Stock) Take(l kcwratelimit.Limit, now time.Time) bool {
	if s.Standing(l, now) == Closed {
		return false
	}
	h := s.hold(l.Upstream, l.Service)
	h.isProbe = false
	if len(h.expires) > 0 {
		h.expires = h.expires[1:]
		return true
	}
	h.aloneAt = now.Add(s.aloneInterval(l))
	return true
}

// Displace records that a request would have gone to an upstream for which there was no
// permit.
func (s *Stock) Displace(service, upstream string, now time.Time) {
	n := s.need(service)
	n.displaced.add(1, now)
	if _, found := n.preferred[upstream]; found || len(n.preferred) < MaxPreferred {
		n.preferred[upstream]++
	}
}

func (s *Stock) need(service string) *need {
	n := s.needs[service]
	if n == nil {
		n = &need{preferred: map[string]uint32{}}
		s.needs[service] = n
	}
	return n
}

// inStock returns the valid permits for the service's upstreams at now.
func (s *Stock) inStock(service string, now time.Time) int {
	sum := 0
	for _, h := range s.holdings {
		if h.service == service {
			sum += h.valid(now)
		}
	}
	return sum
}

// Demand returns the demand for the report that is sent at now.
func (s *Stock) Demand(now time.Time) []*kcwpb.PermitDemand {
	var demand []*kcwpb.PermitDemand
	for service, n := range s.needs {
		wanted := int(math.Ceil(n.displaced.at(now)*horizon.Seconds())) + len(n.line.waiting) - s.inStock(service, now)
		if wanted <= 0 {
			continue
		}
		d := &kcwpb.PermitDemand{Service: service, Permits: uint32(min(wanted, MaxPermits))}
		for upstream, count := range n.preferred {
			d.Preferred = append(d.Preferred, &kcwpb.UpstreamPermits{Upstream: upstream, Permits: count})
		}
		// The most wanted come first; the name makes the order certain.
		slices.SortFunc(d.Preferred, func(a, b *kcwpb.UpstreamPermits) int {
			if a.GetPermits() != b.GetPermits() {
				return int(b.GetPermits()) - int(a.GetPermits())
			}
			return strings.Compare(a.GetUpstream(), b.GetUpstream())
		})
		clear(n.preferred)
		demand = append(demand, d)
	}
	return demand
}

// Receive adds the permits with which the core has answered the report of sentAt, and serves
// those who wait. Routers is the number of routers in the fleet, serviceOf returns the
// service of an upstream that has a limit, empty for another.
func (s *Stock) Receive(permits []*kcwpb.UpstreamPermits, routers int, serviceOf func(upstream string) string, sentAt, now time.Time) {
	s.routers, s.answeredAt = routers, sentAt
	for _, h := range s.holdings {
		h.aloneAt = time.Time{}
	}
	for _, p := range permits {
		service := serviceOf(p.GetUpstream())
		if service == "" {
			continue
		}
		h := s.hold(p.GetUpstream(), service)
		h.valid(now)
		count := min(int(p.GetPermits()), MaxPermits-len(h.expires))
		for range count {
			h.expires = append(h.expires, sentAt.Add(validity))
		}
		h.isProbe = h.isProbe || p.GetProbe()
		s.need(service).granted.add(float64(count), now)
	}
	for service, n := range s.needs {
		n.line.serve(s.inStock(service, now), now)
	}
}

// Fail refuses all who wait, because the core has not answered a report.
func (s *Stock) Fail() {
	for _, n := range s.needs {
		n.line.refuseAll()
	}
}

// Void drops the permits of an upstream, whose limit has become stricter or has ended.
func (s *Stock) Void(upstream string) { delete(s.holdings, upstream) }

// Wait adds a request to those that wait for a permit. The result is nil if too many are
// more urgent.
func (s *Stock) Wait(claim Claim, now time.Time) *Waiter {
	n := s.need(claim.Service)
	return n.line.join(claim, int(math.Ceil(n.granted.at(now)*maxWait.Seconds()))+1, now)
}

// Leave removes a request that no longer waits.
func (s *Stock) Leave(w *Waiter) { s.need(w.claim.Service).line.leave(w) }

// ReturnAt returns when the next caller that is refused at now for want of permits should
// return: as far apart from the callers refused before as permits arrive, of which least per
// second are expected.
func (s *Stock) ReturnAt(service string, least float64, now time.Time) time.Time {
	const maxAhead = 10 * time.Second
	n := s.need(service)
	apart := seconds(1 / max(n.granted.at(now), least, math.SmallestNonzeroFloat32))
	if n.returnAt.Before(now) {
		n.returnAt = now
	}
	n.returnAt = n.returnAt.Add(apart)
	if latest := now.Add(maxAhead); n.returnAt.After(latest) {
		n.returnAt = latest
	}
	return n.returnAt
}

// Held returns the permits held for the upstream at now.
func (s *Stock) Held(upstream string, now time.Time) int {
	if h := s.holdings[upstream]; h != nil {
		return h.valid(now)
	}
	return 0
}

// rate is an exponentially weighted rate of events per second over demandTime.
type rate struct {
	value   float64
	addedAt time.Time
}

func (r *rate) at(now time.Time) float64 {
	return r.value * math.Exp(-max(0, now.Sub(r.addedAt).Seconds())/demandTime.Seconds())
}

func (r *rate) add(n float64, now time.Time) {
	r.value, r.addedAt = r.at(now)+n/demandTime.Seconds(), now
}
