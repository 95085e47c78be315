package kcwpermit

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwratelimit"
)

const (
	// rateTime is the time over which the rates of requests and of permits are averaged.
	rateTime = 3 * time.Second
	// idleAfter is the time without requests after which a router asks for no more probes.
	idleAfter = 10 * time.Second
	// askFactor is the ratio of the requests that ask for a permit to the permits that the
	// router expects. Fewer requests would often leave a permit unused.
	askFactor = 2
	// sampleSize is the number of requests whose sizes are compared.
	sampleSize = 128
	// maxAhead bounds the time after which a refused caller is told to return.
	maxAhead = 10 * time.Second
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

// serviceState is what a router keeps of the permits for the upstreams of one service.
type serviceState struct {
	// requests is the rate of requests for which a permit could be used, granted that of
	// permits received.
	requests, granted rate
	// optional holds the last requests that could go elsewhere, and bound those that could
	// not.
	optional, bound sample
	queue           queue
	// returnAt is when the last caller that was refused may return.
	returnAt time.Time
}

// Stock holds the permits of a router. It is not safe for concurrent use.
type Stock struct {
	rand     *rand.Rand
	routers  int
	holdings map[string]*holding
	services map[string]*serviceState
	// aloneRates holds results of strictAloneRate.
	aloneRates map[strictKey]float64
	// answeredAt is when the last report that the core has answered was sent.
	answeredAt time.Time
}

// NewStock returns an empty Stock that takes random numbers from random.
func NewStock(random *rand.Rand) *Stock {
	return &Stock{rand: random, holdings: map[string]*holding{}, services: map[string]*serviceState{}, aloneRates: map[strictKey]float64{}}
}

// IsAlone reports whether the router has got no answer from the core for a while, so that it
// sends requests without permits.
func (s *Stock) IsAlone(now time.Time) bool {
	return !s.answeredAt.IsZero() && now.Sub(s.answeredAt) > silentAfter
}

// Rank records a request and returns its rank among the first, as many as get permits: one
// for the first, zero for the last of these, and less for all others. The largest come first,
// or the most urgent ones among those that can't go elsewhere. Least is the number of permits
// per second that the router should get at least.
func (s *Stock) Rank(claim *Claim, least float64, now time.Time) float64 {
	state := s.service(claim.Service)
	// The rate without this request: seen at a request, the rate with it is too high.
	requests := state.requests.at(now)
	state.requests.add(1, now)
	share := min(1, askFactor*max(least, state.granted.at(now))/requests)
	// A random number orders equal requests.
	if claim.HasOther {
		return 1 - state.optional.add(entry{0, claim.Size, s.rand.Float64()})/share
	}
	return 1 - state.bound.add(entry{claim.Priority, claim.Size, s.rand.Float64()})/share
}

// entry is one request of a sample.
type entry struct {
	priority     int
	size, random float64
}

// compare orders the most urgent entries first, then the largest.
func (e entry) compare(other entry) int {
	return cmp.Or(cmp.Compare(e.priority, other.priority), cmp.Compare(other.size, e.size), cmp.Compare(other.random, e.random))
}

// sample holds the last sampleSize requests.
type sample struct {
	entries []entry
	next    int
}

// add adds an entry and returns the share of the entries that come before it.
func (s *sample) add(e entry) float64 {
	if len(s.entries) < sampleSize {
		s.entries = append(s.entries, e)
	} else {
		s.entries[s.next] = e
		s.next = (s.next + 1) % sampleSize
	}
	before := 0
	for _, other := range s.entries {
		if other.compare(e) < 0 {
			before++
		}
	}
	return float64(before) / float64(len(s.entries))
}

// GrantRate returns the permits per second that the router has got lately.
func (s *Stock) GrantRate(service string, now time.Time) float64 {
	return s.service(service).granted.at(now)
}

// Permit is a permit for one request.
type Permit struct {
	// Upstream is empty if there is no permit.
	Upstream string
	// EndsAt is the time from which the request may no longer be sent, zero if the time of
	// sending doesn't matter.
	EndsAt time.Time
}

// Take takes a permit for one of the upstreams of the limits, which are in force, in their
// order.
func (s *Stock) Take(limits []kcwratelimit.Limit, now time.Time) Permit {
	for _, l := range limits {
		if h := s.holdings[l.Upstream]; h != nil && h.valid(now) > 0 && h.isProbe {
			return s.take(l, now)
		}
	}
	for _, l := range limits {
		if h := s.holdings[l.Upstream]; h != nil && h.valid(now) > 0 {
			return s.take(l, now)
		}
	}
	if !s.IsAlone(now) {
		return Permit{}
	}
	for _, l := range limits {
		if !now.Before(s.aloneAt(l, now)) {
			return s.take(l, now)
		}
	}
	return Permit{}
}

// take uses up a permit for l, or the next request without one.
func (s *Stock) take(l kcwratelimit.Limit, now time.Time) Permit {
	h := s.hold(l.Upstream, l.Service)
	h.isProbe = false
	permit := Permit{Upstream: l.Upstream, EndsAt: now.Add(strictValidity)}
	if len(h.expires) > 0 {
		permit.EndsAt = h.expires[0]
		h.expires = h.expires[1:]
	} else {
		h.aloneAt = now.Add(s.aloneInterval(l))
	}
	if l.Most == 0 {
		permit.EndsAt = time.Time{}
	}
	return permit
}

// Granted records a permit for l that the core has issued to a request of this router which was
// sent at sentAt, and returns it.
func (s *Stock) Granted(l kcwratelimit.Limit, sentAt, now time.Time) Permit {
	s.service(l.Service).granted.add(1, now)
	if l.Most == 0 {
		return Permit{Upstream: l.Upstream}
	}
	return Permit{Upstream: l.Upstream, EndsAt: sentAt.Add(strictValidity)}
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
	perSecond := aloneFraction * l.PerSecond
	if l.Most > 0 {
		perSecond = s.aloneRate(l)
	}
	return seconds(float64(max(1, s.routers)) / perSecond)
}

// aloneRate returns the rate of all routers that get no answers from the core, for a limit with
// a Most.
func (s *Stock) aloneRate(l kcwratelimit.Limit) float64 {
	key := strictKey{l.PerSecond, l.Most}
	rate, found := s.aloneRates[key]
	if !found {
		if len(s.aloneRates) >= maxAloneRates {
			clear(s.aloneRates)
		}
		rate = strictAloneRate(l.PerSecond, l.Most)
		s.aloneRates[key] = rate
	}
	return rate
}

// strictKey is the figures of a limit on which its rates depend.
type strictKey struct{ perSecond, most float64 }

// maxAloneRates bounds the rates that are kept. Services with cold upstreams are few.
const maxAloneRates = 64

// seconds returns a time of at most an hour.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, time.Hour.Seconds()) * float64(time.Second))
}

func (s *Stock) service(name string) *serviceState {
	state := s.services[name]
	if state == nil {
		state = &serviceState{}
		s.services[name] = state
	}
	return state
}

// Demand returns the demand for the report that is sent at now: permits for the requests that
// wait, and none for services that only get probes.
func (s *Stock) Demand(now time.Time) []*kcwpb.PermitDemand {
	var demand []*kcwpb.PermitDemand
	for service, state := range s.services {
		if len(state.queue.waiting) > 0 || now.Sub(state.requests.addedAt) < idleAfter {
			demand = append(demand, &kcwpb.PermitDemand{Service: service, Permits: uint32(min(len(state.queue.waiting), MaxPermits))})
		}
	}
	slices.SortFunc(demand, func(a, b *kcwpb.PermitDemand) int { return strings.Compare(a.GetService(), b.GetService()) })
	return demand
}

// Receive adds the permits with which the core has answered the report of sentAt, and grants
// them to the requests that wait. Routers is the number of routers in the fleet. LimitOf
// returns the limit in force of an upstream, with a rate of zero if it has none.
func (s *Stock) Receive(permits []*kcwpb.UpstreamPermits, routers int, limitOf func(upstream string) kcwratelimit.Limit, sentAt, now time.Time) {
	s.routers, s.answeredAt = routers, sentAt
	for _, h := range s.holdings {
		h.aloneAt = time.Time{}
	}
	for _, p := range permits {
		l := limitOf(p.GetUpstream())
		if l.PerSecond == 0 {
			continue
		}
		endsAt := sentAt.Add(validity)
		if l.Most > 0 {
			endsAt = sentAt.Add(strictValidity)
		}
		h := s.hold(p.GetUpstream(), l.Service)
		h.valid(now)
		count := min(int(p.GetPermits()), MaxPermits-len(h.expires))
		for range count {
			h.expires = append(h.expires, endsAt)
		}
		h.isProbe = h.isProbe || p.GetProbe()
		s.service(l.Service).granted.add(float64(count), now)
	}
	held := map[string]int{}
	for _, h := range s.holdings {
		held[h.service] += h.valid(now)
	}
	for service, state := range s.services {
		state.queue.serve(held[service], now)
	}
}

// Fail refuses all requests that wait, because the core has not answered a report.
func (s *Stock) Fail() {
	for _, state := range s.services {
		state.queue.refuseAll()
	}
}

// Void drops the permits of an upstream whose limit has become stricter or has ended.
func (s *Stock) Void(upstream string) { delete(s.holdings, upstream) }

// Wait adds a request to those that wait for a permit. The result is nil if too many are
// more urgent.
func (s *Stock) Wait(claim Claim, now time.Time) *Waiter {
	state := s.service(claim.Service)
	return state.queue.join(claim, int(math.Ceil(state.granted.at(now)*maxWait.Seconds()))+1, now)
}

// IsWaiting reports whether requests for the service wait for permits.
func (s *Stock) IsWaiting(service string) bool { return len(s.service(service).queue.waiting) > 0 }

// Leave removes a request that no longer waits.
func (s *Stock) Leave(w *Waiter) { s.service(w.claim.Service).queue.leave(w) }

// ReturnAt returns when the next caller that is refused at now for want of permits should
// return: as far apart from the callers refused before as permits arrive, of which least per
// second are expected.
func (s *Stock) ReturnAt(service string, least float64, now time.Time) time.Time {
	state := s.service(service)
	apart := seconds(1 / max(state.granted.at(now), least, math.SmallestNonzeroFloat32))
	if state.returnAt.Before(now) {
		state.returnAt = now
	}
	state.returnAt = state.returnAt.Add(apart)
	if latest := now.Add(maxAhead); state.returnAt.After(latest) {
		state.returnAt = latest
	}
	return state.returnAt
}

// Held returns the permits held for the upstream at now.
func (s *Stock) Held(upstream string, now time.Time) int {
	if h := s.holdings[upstream]; h != nil {
		return h.valid(now)
	}
	return 0
}

// rate is an exponentially weighted rate of events per second over rateTime.
type rate struct {
	value   float64
	addedAt time.Time
}

func (r *rate) at(now time.Time) float64 {
	return r.value * math.Exp(-max(0, now.Sub(r.addedAt).Seconds())/rateTime.Seconds())
}

func (r *rate) add(n float64, now time.Time) {
	r.value, r.addedAt = r.at(now)+n/rateTime.Seconds(), now
}
