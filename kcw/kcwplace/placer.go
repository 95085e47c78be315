// Package kcwplace chooses an upstream for each request.
//
// It handles two kinds of requests. Requests whose prompts share a prefix go to
// the same upstream, the home of that prefix, so that the prefix is computed and
// cached only once. The home is found by rendezvous hashing (Thaler and
// Ravishankar, Using Name-Based Mappings to Increase Hit Rates, 1998) and is the
// same in every router. A popular prefix could overload its home, so an upstream
// whose load exceeds a bound derived from the mean is skipped in favor of the next
// in rank (Mirrokni, Thorup and Zadimoghaddam, Consistent Hashing with Bounded
// Loads, 2018). Requests without a prefix go to the less loaded of two random
// upstreams (Mitzenmacher, The Power of Two Choices in Randomized Load Balancing,
// 2001).
//
// The Placer does no I/O, and its random source is supplied by the caller.
package kcwplace

import (
	"math/rand/v2"
	"sync"
)

// Config holds the parameters of a Placer.
type Config struct {
	// LoadFactor and LoadMargin bound the load of a prefix's home: the home is
	// skipped if its load exceeds LoadFactor times the mean load plus LoadMargin.
	// Loads are fractions of the capacity.
	LoadFactor, LoadMargin float64
	// ZoneMargin is the amount by which the load of an upstream in the router's
	// zone may exceed that of an upstream in another zone without losing the
	// preference.
	ZoneMargin float64
	// Rand is the source of the random choices. No other code may use it.
	Rand *rand.Rand
}

// Candidate is one upstream that can receive the request.
type Candidate struct {
	// Hash identifies the upstream and is the same in every router.
	Hash uint64
	// Load is the estimated fraction of the capacity in use; it exceeds 1 when
	// requests are queued.
	Load float64
	// SameZone reports whether the upstream is in the router's zone.
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

// Choose returns the index of the candidate for a request whose prompt prefix has
// the hash prefix; 0 means no prefix. If the loads of all candidates exceed the bound
// for homes, a request with a prefix goes to the least loaded one. Choose returns -1 if
// there are no candidates.
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
		if r := Rank(prefix, c.Hash); c.Load <= bound && (best < 0 || r > rank) {
			best, rank = i, r
		}
	}
	if best < 0 {
		return least
	}
	return best
}

// lessLoaded returns the one of two random candidates with the lower adjusted load.
func (p *Placer) lessLoaded(candidates []Candidate) int {
	p.mu.Lock()
	a := p.cfg.Rand.IntN(len(candidates))
	b := p.cfg.Rand.IntN(len(candidates))
	p.mu.Unlock()
	if p.adjustedLoad(candidates[b]) < p.adjustedLoad(candidates[a]) {
		return b
	}
	return a
}

// adjustedLoad returns the load of c, less ZoneMargin if c is in the router's zone.
func (p *Placer) adjustedLoad(c Candidate) float64 {
	if c.SameZone {
		return c.Load - p.cfg.ZoneMargin
	}
	return c.Load
}

// Rank returns the rank of an upstream for requests whose prompt prefix has the hash prefix.
// The upstream of the highest rank is the home of the prefix.
func Rank(prefix, upstream uint64) uint64 { return mix(prefix ^ upstream) }

// mix is the finalizer of SplitMix64 (Steele, Lea and Flood, Fast Splittable
// Pseudorandom Number Generators, 2014).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
