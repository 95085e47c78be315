// Package kcwsource chooses the member of the core from which a router receives
// configuration documents. It does no I/O.
package kcwsource

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"
)

const (
	// pauseFirst and pauseMax bound how long a member that failed is avoided while there are
	// others. The pause doubles with each failure in a row and varies by half, so that routers
	// don't come back to a member in step.
	pauseFirst = time.Second
	pauseMax   = 8 * time.Second
)

// Config configures a Source. Every field but Zone is needed.
type Config struct {
	// Zone is the availability zone of the router. Its members are preferred.
	Zone string
	Rand *rand.Rand
}

// member is a member of the core.
type member struct {
	zone string
	// rank orders the members of a zone. It differs from router to router, so that they
	// spread over the members.
	rank     uint64
	failures int
	// avoidUntil is when the member may be chosen again after a failure.
	avoidUntil time.Time
}

// Source chooses among the members of the core. It is safe for concurrent use.
type Source struct {
	cfg Config

	mu      sync.Mutex
	members map[netip.AddrPort]*member
}

// New returns a Source without members.
func New(cfg Config) *Source { return &Source{cfg: cfg, members: map[netip.AddrPort]*member{}} }

// SetMembers replaces the members. Zones holds the zone of each address; missing ones are
// unknown. What is known of members that remain is kept.
func (s *Source) SetMembers(addresses []netip.AddrPort, zones []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := make(map[netip.AddrPort]*member, len(addresses))
	for i, address := range addresses {
		m := s.members[address]
		if m == nil {
			m = &member{rank: s.cfg.Rand.Uint64()}
		}
		if i < len(zones) {
			m.zone = zones[i]
		}
		next[address] = m
	}
	s.members = next
}

// Next returns the member to call at now: one in the router's zone if possible, and one that
// has not failed lately. If all have failed, it is the one that may be called first. The
// address is not valid if there is no member.
func (s *Source) Next(now time.Time) netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	var best netip.AddrPort
	for address, m := range s.members {
		if !best.IsValid() || s.precedes(m, s.members[best], now) {
			best = address
		}
	}
	return best
}

// precedes reports whether a is a better choice than b at now. The caller holds mu.
func (s *Source) precedes(a, b *member, now time.Time) bool {
	if isAvoided := now.Before(a.avoidUntil); isAvoided != now.Before(b.avoidUntil) {
		return !isAvoided
	} else if isAvoided {
		return a.avoidUntil.Before(b.avoidUntil)
	}
	if isNear := a.zone == s.cfg.Zone; isNear != (b.zone == s.cfg.Zone) {
		return isNear
	}
	return a.rank < b.rank
}

// RecordAnswer records that the member at address answered and is in contact with the core. It
// reports whether the member had failed before.
func (s *Source) RecordAnswer(address netip.AddrPort) (hadFailed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.members[address]
	if m == nil {
		return false
	}
	hadFailed = m.failures > 0
	m.failures, m.avoidUntil = 0, time.Time{}
	return hadFailed
}

// RecordFailure records that the member at address did not answer, or may lack the newest
// document. It reports whether this is its first failure since it answered.
func (s *Source) RecordFailure(address netip.AddrPort, now time.Time) (isFirst bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.members[address]
	if m == nil {
		return false
	}
	pause := pauseMax
	const maxDoublings = 3
	if m.failures < maxDoublings {
		pause = pauseFirst << m.failures
	}
	m.failures++
	m.avoidUntil = now.Add(pause/2 + time.Duration(s.cfg.Rand.Int64N(int64(pause))))
	return m.failures == 1
}

// AllAvoided reports whether every member has failed lately, or there is none.
func (s *Source) AllAvoided(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.members {
		if !now.Before(m.avoidUntil) {
			return false
		}
	}
	return true
}
