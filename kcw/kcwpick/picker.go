// Package kcwpick holds the choice of an upstream for a request.
//
// Load reports arrive late and with gaps, so that routers which all follow the
// newest report would herd to the same upstream until the next one (Mitzenmacher,
// How Useful Is Old Information?, 2000; Dahlin, Interpreting Stale Load
// Information, 2000). The Picker compares only a few upstreams taken at random
// (Mitzenmacher, The Power of Two Choices in Randomized Load Balancing, 2001)
// and the one where a request ended last (Mitzenmacher, Prabhakar and Shah, Load
// Balancing with Memory, 2002). It adds to each report what it has itself started
// and finished since the report was made, and relies, as the report ages, on its
// own requests in flight.
//
// A request with a prefix goes to one of two homes of that prefix, which all
// routers compute alike by rendezvous hashing (Thaler and Ravishankar, Using
// Name-Based Mappings to Increase Hit Rates, 1998), as long as the home is not
// loaded more than the others by a stated margin; in the same way upstreams of the
// own availability zone are preferred.
//
// The Picker does no I/O, starts no goroutine, and takes its clock and random
// source from outside.
package kcwpick

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Config holds the rules of a Picker.
type Config struct {
	// Zone is the router's own availability zone.
	Zone string
	// HalfLife is the age at which a report counts half, and the mean of the
	// service's reports the other half.
	HalfLife time.Duration
	// ZoneMargin is by how much the utilization of an upstream in the own zone
	// may exceed that of one elsewhere and still be preferred; 1 is the whole
	// capacity.
	ZoneMargin float64
	// PrefixMargin is the same for the homes of the prefix.
	PrefixMargin float64
	// MaxUtilization is the utilization above which neither preference counts.
	MaxUtilization float64
	// YieldRange is the range of utilization below Room over which the part of the
	// requests that go to their homes falls from all to none. With many routers
	// it keeps the homes from being overrun between two reports; with few, whose
	// own counts tell more, zero is better.
	YieldRange float64
	// Rand is the source of the random choices, used by this Picker alone.
	Rand *rand.Rand
}

// Load is one load report of an upstream.
type Load struct {
	// Running and Waiting are the requests in work and queued there.
	Running int
	Waiting int
	// Capacity is the number of requests it can work on at once, at least 1.
	Capacity int
	// At is when the report was made, by the router's own clock: when its poll was
	// sent.
	At time.Time
}

// Picker chooses among the upstreams of services. It is safe for concurrent
// use. Its lock is held while the function given to Pick runs, so locks taken
// there come after it in the lock order.
type Picker struct {
	cfg Config

	mu       sync.Mutex
	services map[string]*service
	byName   map[string]*upstream
}

// New returns a picker without upstreams. It returns an *Error of KindInvalid
// if the half-life or the room is not positive, a margin or the yield is
// negative, or there is no random source.
func New(cfg Config) (*Picker, error) {
	bad := func(detail string) (*Picker, error) {
		return nil, &Error{Op: "New", Kind: KindInvalid, Detail: detail}
	}
	switch {
	case cfg.HalfLife <= 0:
		return bad("HalfLife must be positive")
	case !(cfg.MaxUtilization > 0):
		return bad("Room must be positive")
	case !(cfg.ZoneMargin >= 0) || !(cfg.PrefixMargin >= 0) || !(cfg.YieldRange >= 0):
		return bad("margins and Yield must not be negative")
	case cfg.Rand == nil:
		return bad("Rand must be set")
	}
	return &Picker{cfg: cfg, services: make(map[string]*service), byName: make(map[string]*upstream)}, nil
}

// Add makes an upstream of a service known, which is in the given zone and can
// work on so many requests at once until its first report says otherwise. It
// returns an *Error of KindInvalid if the capacity is below one or the name is
// known already.
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
	u := &upstream{name: name, hash: xxhash.Sum64String(name), service: s, near: zone == p.cfg.Zone, load: Load{Capacity: capacity}}
	p.byName[name] = u
	s.add(u)
	return nil
}

// Remove forgets an upstream. Requests in flight there may still be finished.
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

// Report takes a load report. One that is older than the newest is ignored, as
// is one of an unknown upstream or with a capacity below one.
func (p *Picker) Report(name string, load Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.byName[name]
	if u == nil || load.Capacity < 1 || !load.At.After(u.load.At) {
		return
	}
	u.service.replace(u, load)
}

// Pick chooses an upstream of the service for a request, among those for which
// usable returns true, and counts the request in flight there at now until
// Finished. Prefix is a hash of the prompt's beginning, or zero for none. Pick
// returns false if no upstream is usable.
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
	s.take(u)
	u.inFlight++
	s.inFlight++
	u.started = append(u.started, now)
	u.trim()
	return u.name, true
}

// Finished notes that a request which Pick counted has ended at now.
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
	u.service.free(u)
}

// InFlight returns the own requests in flight at an upstream.
func (p *Picker) InFlight(name string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u := p.byName[name]; u != nil {
		return u.inFlight
	}
	return 0
}

// Capacity returns the capacity of the service's usable upstreams together.
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
	best := p.lighter(now, p.sample(s.near, usable), p.sample(s.near, usable), 0)
	far := p.lighter(now, p.sample(s.far, usable), p.sample(s.far, usable), 0)
	best = p.lighter(now, best, far, p.cfg.ZoneMargin)
	if n := len(s.freed); n > 0 && usable(s.freed[n-1].name) {
		best = p.lighter(now, best, s.freed[n-1], 0)
	}
	if best == nil || prefix == 0 {
		return best
	}
	homes := s.homes(prefix, usable)
	for _, home := range homes {
		if home != nil && p.welcome(now, home) && p.lighter(now, home, best, p.cfg.PrefixMargin) == home {
			return home
		}
	}
	return best
}

// welcome reports whether a home has room for one more request: surely below the
// range of Yield, never above Room, and between with a falling probability, as in
// Floyd and Jacobson, Random Early Detection Gateways for Congestion Avoidance,
// 1993.
func (p *Picker) welcome(now time.Time, home *upstream) bool {
	room := p.cfg.MaxUtilization - p.utilization(now, home)
	return room >= p.cfg.YieldRange || room >= 0 && p.cfg.Rand.Float64()*p.cfg.YieldRange < room
}

// lighter returns a unless b is less utilized by more than the margin, and the
// other one if one is nil. The margin falls away where a is nearly full: a
// preference would only make the request wait.
func (p *Picker) lighter(now time.Time, a, b *upstream, margin float64) *upstream {
	switch {
	case a == nil:
		return b
	case b == nil || a == b:
		return a
	}
	full := p.utilization(now, a)
	if full > p.cfg.MaxUtilization {
		margin = 0
	}
	if p.utilization(now, b)+margin < full {
		return b
	}
	return a
}

// utilization returns the expected load of an upstream over its capacity.
func (p *Picker) utilization(now time.Time, u *upstream) float64 {
	age := max(now.Sub(u.load.At), 0)
	fresh := math.Exp2(-float64(age) / float64(p.cfg.HalfLife))
	capacity := float64(u.load.Capacity)
	reported := float64(u.load.Running+u.load.Waiting) / capacity
	own := float64(len(u.started)-len(u.finished)) / capacity
	return fresh*(reported+own) + (1-fresh)*u.service.mean()*u.relative()
}

// sample returns a random usable upstream of the list, or nil.
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
