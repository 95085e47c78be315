// Package kcwpick chooses an upstream for each request.
//
// Load reports arrive late, and some are lost. If all routers followed the newest reports,
// they would all send their requests to the same upstream until the next report
// (Mitzenmacher, How Useful Is Old Information?, 2000; Dahlin, Interpreting Stale Load
// Information, 2000). The Picker therefore compares only a few random upstreams
// (Mitzenmacher, The Power of Two Choices in Randomized Load Balancing, 2001) and the
// one where a request of this router ended last (Mitzenmacher, Prabhakar and Shah, Load
// Balancing with Memory, 2002). To each report it adds the requests that this router
// has started and finished since the report was made. As the report ages, it relies
// increasingly on this router's own requests in flight.
//
// A request with a prefix goes to one of the two homes of that prefix, unless the load
// of the homes exceeds that of the other upstreams by more than a configured margin.
// All routers compute the same homes by rendezvous hashing (Thaler and Ravishankar,
// Using Name-Based Mappings to Increase Hit Rates, 1998). Upstreams in the router's own
// availability zone are preferred in the same way.
//
// The Picker does no I/O and starts no goroutine. The current time is passed to its
// methods, and its random source is supplied by the caller.
package kcwpick

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Config holds the parameters of a Picker.
type Config struct {
	// Zone is the router's own availability zone.
	Zone string
	// HalfLife is the age at which the weight of a load report has fallen to one
	// half. The other half is the weight of the mean of the service's reports.
	HalfLife time.Duration
	// ZoneMargin is the amount by which the utilization of an upstream in the router's
	// zone may exceed that of an upstream in another zone without losing the
	// preference. The whole capacity is 1.
	ZoneMargin float64
	// PrefixMargin is the corresponding margin for the homes of a prefix.
	PrefixMargin float64
	// MaxUtilization is the utilization above which neither preference applies.
	MaxUtilization float64
	// YieldRange is the width of the utilization range below MaxUtilization in
	// which the fraction of the requests that go to their homes falls from one to
	// zero. If many routers share the upstreams, it keeps them from overloading a
	// home between two reports. With few routers, each router's own count is more
	// accurate and 0 is better.
	YieldRange float64
	// Rand is the source of the random choices. No other code may use it.
	Rand *rand.Rand
}

// Load is one load report of an upstream.
type Load struct {
	// Running and Waiting are the numbers of requests that the upstream runs and
	// queues.
	Running int
	Waiting int
	// Capacity is the number of requests that the upstream can run concurrently, at
	// least 1.
	Capacity int
	// At is the time of the report by the router's own clock, which is the time at
	// which the poll was sent.
	At time.Time
}

// Picker chooses among the upstreams of services. It is safe for concurrent use. It
// holds its lock while it calls the function passed to Pick or Capacity, so locks taken
// by that function come after it in the lock order.
type Picker struct {
	cfg Config

	mu       sync.Mutex
	services map[string]*service
	byName   map[string]*upstream
}

// New returns a picker without upstreams. It returns an *Error of KindInvalid if
// HalfLife or MaxUtilization is not positive, a margin or YieldRange is negative, or
// there is no random source.
func New(cfg Config) (*Picker, error) {
	invalid := func(detail string) (*Picker, error) {
		return nil, &Error{Op: "New", Kind: KindInvalid, Detail: detail}
	}
	switch {
	case cfg.HalfLife <= 0:
		return invalid("HalfLife must be positive")
	case !(cfg.MaxUtilization > 0):
		return invalid("MaxUtilization must be positive")
	case !(cfg.ZoneMargin >= 0) || !(cfg.PrefixMargin >= 0) || !(cfg.YieldRange >= 0):
		return invalid("margins and YieldRange must not be negative")
	case cfg.Rand == nil:
		return invalid("Rand must be set")
	}
	return &Picker{cfg: cfg, services: make(map[string]*service), byName: make(map[string]*upstream)}, nil
}

// Add adds an upstream of a service, which is in the given zone and has the given
// capacity until its first load report. It returns an *Error of KindInvalid if the
// capacity is below one or an upstream with the name exists.
func (p *Picker) Add(serviceName, name, zone string, capacity int) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if capacity < 1 {
		return &Error{Op: "Add", Kind: KindInvalid, Detail: "capacity must be at least 1"}
	}
	if p.byName[name] != nil {
		return &Error{Op: "Add", Kind: KindInvalid, Detail: "upstream " + name + " is known"}
	}
	s := p.services[serviceName]
	if s == nil {
		s = &service{}
		p.services[serviceName] = s
	}
	u := &upstream{name: name, hash: xxhash.Sum64String(name), service: s, sameZone: zone == p.cfg.Zone, load: Load{Capacity: capacity}}
	p.byName[name] = u
	s.add(u)
	return nil
}

// Remove removes an upstream. Finished may still be called for its requests in flight.
func (p *Picker) Remove(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.byName[name]
	if u == nil {
		return
	}
	delete(p.byName, name)
	u.service.remove(u)
}

// Report stores a load report. A report that is not newer than the stored one is
// ignored, as is one of an unknown upstream or with a capacity below one.
func (p *Picker) Report(name string, load Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.byName[name]
	if u == nil || load.Capacity < 1 || !load.At.After(u.load.At) {
		return
	}
	u.service.setLoad(u, load)
}

// Pick chooses an upstream of the service among those for which usable returns true, and
// returns its name. From now until the call of Finished, the request counts as in flight
// there. Prefix is a hash of the prompt's prefix, or 0 for none. Pick returns false if no
// upstream is usable.
func (p *Picker) Pick(now time.Time, serviceName string, prefix uint64, usable func(name string) bool) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[serviceName]
	if s == nil {
		return "", false
	}
	u := p.choose(now, s, prefix, usable)
	if u == nil {
		return "", false
	}
	s.removeFreed(u)
	u.inFlight++
	s.inFlight++
	u.started = append(u.started, now)
	u.trim()
	return u.name, true
}

// Finished records that a request counted by Pick ended at now.
func (p *Picker) Finished(now time.Time, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.byName[name]
	if u == nil || u.inFlight == 0 {
		return
	}
	u.inFlight--
	u.service.inFlight--
	u.finished = append(u.finished, now)
	u.service.addFreed(u)
}

// InFlight returns the number of this router's requests in flight at an upstream.
func (p *Picker) InFlight(name string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u := p.byName[name]; u != nil {
		return u.inFlight
	}
	return 0
}

// Capacity returns the total capacity of the service's usable upstreams.
func (p *Picker) Capacity(serviceName string, usable func(name string) bool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[serviceName]
	if s == nil {
		return 0
	}
	sum := 0
	for _, u := range s.all {
		if usable(u.name) {
			sum += u.load.Capacity
		}
	}
	return sum
}

// choose returns the upstream for a request, or nil if none is usable.
func (p *Picker) choose(now time.Time, s *service, prefix uint64, usable func(string) bool) *upstream {
	best := p.lessUtilized(now, p.sample(s.sameZone, usable), p.sample(s.sameZone, usable), 0)
	other := p.lessUtilized(now, p.sample(s.otherZones, usable), p.sample(s.otherZones, usable), 0)
	best = p.lessUtilized(now, best, other, p.cfg.ZoneMargin)
	if n := len(s.recentlyFreed); n > 0 && usable(s.recentlyFreed[n-1].name) {
		best = p.lessUtilized(now, best, s.recentlyFreed[n-1], 0)
	}
	if best == nil || prefix == 0 {
		return best
	}
	homes := s.homes(prefix, usable)
	for _, home := range homes {
		if home != nil && p.accepts(now, home) && p.lessUtilized(now, home, best, p.cfg.PrefixMargin) == home {
			return home
		}
	}
	return best
}

// accepts reports whether a home accepts one more request. It does if its utilization is
// below the range set by YieldRange, and does not above MaxUtilization; in between, the
// probability falls linearly, as in Floyd and Jacobson, Random Early Detection Gateways
// for Congestion Avoidance, 1993.
func (p *Picker) accepts(now time.Time, home *upstream) bool {
	margin := p.cfg.MaxUtilization - p.utilization(now, home)
	return margin >= p.cfg.YieldRange || margin >= 0 && p.cfg.Rand.Float64()*p.cfg.YieldRange < margin
}

// lessUtilized returns b if its utilization is lower than that of a by more than margin,
// and otherwise a. If one of them is nil, it returns the other. The margin is ignored if
// the utilization of a exceeds MaxUtilization, since a preference for a would then only
// make the request wait.
func (p *Picker) lessUtilized(now time.Time, a, b *upstream, margin float64) *upstream {
	switch {
	case a == nil:
		return b
	case b == nil || a == b:
		return a
	}
	utilization := p.utilization(now, a)
	if utilization > p.cfg.MaxUtilization {
		margin = 0
	}
	if p.utilization(now, b)+margin < utilization {
		return b
	}
	return a
}

// utilization returns the estimated utilization of an upstream as a fraction of its
// capacity. It exceeds 1 when requests wait.
func (p *Picker) utilization(now time.Time, u *upstream) float64 {
	age := max(now.Sub(u.load.At), 0)
	weight := math.Exp2(-float64(age) / float64(p.cfg.HalfLife))
	capacity := float64(u.load.Capacity)
	reported := float64(u.load.Running+u.load.Waiting) / capacity
	own := float64(len(u.started)-len(u.finished)) / capacity
	return weight*(reported+own) + (1-weight)*u.service.meanUtilization()*u.relativeInFlight()
}

// sample returns a random usable upstream of the list, or nil if there is none.
func (p *Picker) sample(list []*upstream, usable func(string) bool) *upstream {
	if len(list) == 0 {
		return nil
	}
	first := p.cfg.Rand.IntN(len(list))
	for i := range list {
		if u := list[(first+i)%len(list)]; usable(u.name) {
			return u
		}
	}
	return nil
}
