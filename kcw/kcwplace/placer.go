// Package kcwplace holds the choice of an upstream for one request.
//
// It answers two loads. Requests whose prompts begin alike go to the same
// upstream, whichever router they come through, by rendezvous hashing (Thaler
// and Ravishankar, Using Name-Based Mappings to Increase Hit Rates, 1998), so
// that a shared prompt is read once. A hot prefix would overrun its home, so
// that an upstream loaded beyond a bound over the mean is passed over for the
// next in rank (Mirrokni, Thorup and Zadimoghaddam, Consistent Hashing with
// Bounded Loads, 2018). Requests without a prefix go to the less loaded of two
// random upstreams (Mitzenmacher, The Power of Two Choices in Randomized Load
// Balancing, 2001).
//
// The Placer does no I/O and takes its random source from outside.
package kcwplace

import (
	"math/rand/v2"
	"sync"
)

// Config holds the rules of a Placer.
type Config struct {
	// LoadFactor and LoadMargin bound the load of a prefix's home: it is passed over
	// above LoadFactor times the mean load plus LoadMargin. Loads are fractions of
	// the capacity.
	LoadFactor, LoadMargin float64
	// ZoneMargin is by how much the load of an upstream in the router's zone
	// may exceed that of one elsewhere and still be preferred.
	ZoneMargin float64
	// Rand is the source of the random choices, used by this Placer alone.
	Rand *rand.Rand
}

// Candidate is one upstream that may be given the request.
type Candidate struct {
	// Hash identifies the upstream, alike in every router.
	Hash uint64
	// Load is the estimated fraction of the capacity in use; it exceeds one
	// when requests wait.
	Load float64
	// SameZone says that the upstream is in the router's zone.
	SameZone bool
}

// Placer chooses upstreams. It is safe for concurrent use.
type Placer struct {
	cfg Config
	mu  sync.Mutex
}

// New returns a Placer. It panics if cfg has no random source.
func New(cfg Config) *Placer {
	if cfg.Rand == nil {
		panic("kcwplace: no random source")
	}
	return &Placer{cfg: cfg}
}

// Choose returns the index of the candidate for a request whose prompt begins
// with prefix; zero stands for no prefix. It returns -1 if there is none.
func (p *Placer) Choose(candidates []Candidate, prefix uint64) int {
	switch {
	case len(candidates) == 0:
		return -1
	case prefix == 0:
		return p.lessLoaded(candidates)
	}
	bound := 0.0
	for _, c := range candidates {
		bound += c.Load / float64(len(candidates))
	}
	bound = bound*p.cfg.LoadFactor + p.cfg.LoadMargin
	best, least := -1, 0
	var rank uint64
	for i, c := range candidates {
		if c.Load < candidates[least].Load {
			least = i
		}
		if r := mix(prefix ^ c.Hash); c.Load <= bound && (best < 0 || r > rank) {
			best, rank = i, r
		}
	}
	if best < 0 {
		return least
	}
	return best
}

// lessLoaded compares two random candidates, and prefers a near one that is not
// loaded much more.
func (p *Placer) lessLoaded(candidates []Candidate) int {
	p.mu.Lock()
	a := p.cfg.Rand.IntN(len(candidates))
	b := p.cfg.Rand.IntN(len(candidates))
	p.mu.Unlock()
	if p.cost(candidates[b]) < p.cost(candidates[a]) {
		return b
	}
	return a
}

func (p *Placer) cost(c Candidate) float64 {
	if c.SameZone {
		return c.Load - p.cfg.ZoneMargin
	}
	return c.Load
}

// mix is the finalizer of SplitMix64 (Steele, Lea and Flood, Fast Splittable
// Pseudorandom Number Generators, 2014).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
