// Package kcwcold decides which upstreams are cold, until when, and how many requests they
// may get meanwhile. A cold upstream has just started. It is slow, and it crashes if it gets
// far more requests than it tolerates.
//
// The load that it is designed for is a list of some hundred upstreams that is read about
// twice a second and is up to a second late, while upstreams are cold for a few seconds. The
// list alone would therefore tell of most of the cold time too late. So an upstream also
// counts as cold if it is new to the list, or if it had an outage, until a list that was read
// later says otherwise.
//
// A statement that an upstream is cold is kept if a later one that is shorter may be older: a
// cold time that is too long costs the coordination of a few requests, and one that is too
// short can cost the upstream.
//
// The package does no I/O and reads no clock. The callers choose the clock; all times of one
// Tracker are by the same one.
package kcwcold

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

const (
	// lag is the longest time by which a list is late, which is 0.8 s, and some margin.
	lag = time.Second
	// recheck is the time from the last sign of an outage within which the upstream may
	// start again without a further sign: the longest pause of a circuit breaker, after
	// which one of the routers tries again, is about as long.
	recheck = 3 * time.Second
	// hold is the time for which a shorter cold time of a later list does not replace a
	// longer one. After a change of leader, the new leader may not know yet of outages that
	// the former one had been told of.
	hold = 3 * time.Second
	// minZoneSigns is the number of upstreams of a service and zone that have signs of outages
	// at about the same time if the whole zone may have one, and zoneSilence the time for which
	// no other of them has answered then. A router tries only some of them in that time.
	minZoneSigns = 3
	zoneSilence  = time.Second
	// maxGap is the time between two readings from which on the later one counts as the first:
	// most upstreams that are new to it are not new.
	maxGap = 30 * time.Second
	// timeoutSpan is the time within which timeouts at upstreams of several zones count as
	// the router's own fault. An outage of upstreams is in one zone.
	timeoutSpan = 2 * time.Second
	// tolerance is the difference of two statements of the same end of a cold time.
	tolerance = 100 * time.Millisecond
)

// Config configures a Tracker. In any second, a cold upstream may get Overage times the
// requests per second that it tolerates, and Slack more. No upstream is limited if Overage is
// zero.
type Config struct {
	Overage, Slack float64
}

// Service is what the configuration states of the upstreams of a service: how long they stay
// cold after a start, and how many requests per second a cold one tolerates, zero for any
// number.
type Service struct {
	ColdFor   time.Duration
	PerSecond float64
}

// Upstream is an entry of the list.
type Upstream struct {
	ID, Service, Zone string
	Address           netip.AddrPort
	Leaving           bool
	// Born is when the process started, by its own clock, zero if it is not known.
	Born time.Time
	// Left is how much longer the upstream stays cold as of the reading of the list, zero if
	// it is not cold, and negative if the figure can't be read.
	Left time.Duration
}

// Sign is a sign of an outage.
type Sign int

const (
	// Refused means that a connection was refused.
	Refused Sign = iota + 1
	// Cut means that a connection was closed before the answer was whole.
	Cut
	// TimedOut means that no connection could be opened in time, which can also be the fault
	// of the router or of the network.
	TimedOut
	// Reported means that another process has reported an outage.
	Reported
)

// Bound is how many requests a cold upstream may get: PerSecond on average, and Most in any
// second.
type Bound struct {
	Upstream, Service string
	PerSecond, Most   float64
	Until             time.Time
}

// state is what a Tracker holds of one upstream.
type state struct {
	Upstream
	// statedUntil is the end of the cold time as stated by the list that was read at statedAt.
	statedUntil, statedAt time.Time
	// newAt is when the list was read that had the upstream first, zero if a later reading has
	// confirmed its figures. outageAt is the time of the last sign of an outage, of the upstream
	// or of its zone, zero if the list has stated a cold time since. signAt is that of the last
	// sign of the upstream itself.
	newAt, outageAt, signAt time.Time
	// answeredAt is when the upstream last answered this process.
	answeredAt time.Time
}

// Tracker holds which upstreams are cold. It is not safe for concurrent use.
type Tracker struct {
	cfg       Config
	services  map[string]Service
	upstreams map[string]*state
	readAt    time.Time
	// malformed holds the upstreams whose cold time could not be read.
	malformed map[string]bool
	// timeouts holds the time of the last timeout by zone.
	timeouts map[string]time.Time
}

// New returns a Tracker without upstreams.
func New(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, upstreams: map[string]*state{}, malformed: map[string]bool{}, timeouts: map[string]time.Time{}}
}

// SetServices replaces the services.
func (t *Tracker) SetServices(services map[string]Service) { t.services = services }

// Update replaces the list by one that was read at readAt, or with the current one if that is
// later: the caller decides which list is newer, and may know the time not quite. It returns the upstreams whose cold
// time can't be read, each once.
func (t *Tracker) Update(list []Upstream, readAt time.Time) (malformed []string) {
	if readAt.Before(t.readAt) {
		readAt = t.readAt
	}
	// All upstreams of the first list are new.
	isFirst := t.readAt.IsZero() || readAt.Sub(t.readAt) > maxGap
	next := make(map[string]*state, len(list))
	for _, u := range list {
		s := t.upstreams[u.ID]
		if s == nil || s.isOther(u) {
			s = &state{statedAt: readAt}
			if !isFirst {
				s.newAt = readAt
			}
		}
		if u.Born.IsZero() {
			u.Born = s.Born
		}
		s.Upstream = u
		next[u.ID] = s
		if u.Left < 0 {
			if !t.malformed[u.ID] {
				t.malformed[u.ID] = true
				malformed = append(malformed, u.ID)
			}
			continue
		}
		s.state(u.Left, t.services[u.Service].ColdFor, readAt)
	}
	t.upstreams = next
	for id := range t.malformed {
		if next[id] == nil {
			delete(t.malformed, id)
		}
	}
	t.Confirm(readAt)
	return malformed
}

// isOther reports whether u may be another process than that of s. The one of an upstream that
// was leaving has ended.
func (s *state) isOther(u Upstream) bool {
	return s.Address != u.Address || s.Service != u.Service || s.Leaving && !u.Leaving ||
		!s.Born.IsZero() && !u.Born.IsZero() && !s.Born.Equal(u.Born)
}

// state takes note of the cold time that a list states which was read at readAt.
func (s *state) state(left, coldFor time.Duration, readAt time.Time) {
	end := readAt.Add(left)
	if end.After(s.statedUntil) || readAt.Sub(s.statedAt) >= hold {
		s.statedUntil, s.statedAt = end, readAt
	}
	// A process that has started since the outage stays cold for at least as long.
	if left > 0 && !s.outageAt.IsZero() && !end.Before(s.outageAt.Add(coldFor-tolerance)) {
		s.outageAt = time.Time{}
	}
}

// Confirm records that the list was read again at readAt and has not changed. The cold times
// that it states still count from the reading before.
func (t *Tracker) Confirm(readAt time.Time) {
	if !readAt.After(t.readAt) {
		return
	}
	t.readAt = readAt
	for _, s := range t.upstreams {
		if readAt.Sub(s.newAt) >= lag {
			s.newAt = time.Time{}
		}
	}
}

// Report takes note of a sign of an outage of the upstream. IsNews is set if others should be
// told: the upstream counts as cold for longer now than it did before, by half of the time for
// which it is cold.
func (t *Tracker) Report(upstream string, sign Sign, at time.Time) (isNews bool) {
	s := t.upstreams[upstream]
	if s == nil || !t.isBounded(s.Service) || t.services[s.Service].ColdFor == 0 {
		return false
	}
	if sign == TimedOut {
		t.timeouts[s.Zone] = at
		for zone, last := range t.timeouts {
			if at.Sub(last) > timeoutSpan {
				delete(t.timeouts, zone)
			}
		}
		if len(t.timeouts) > 1 {
			return false
		}
	}
	before := t.until(s)
	if at.After(s.signAt) {
		s.signAt = at
	}
	s.extend(at)
	if sign != Reported && t.isZoneOut(s, at) {
		for _, other := range t.upstreams {
			if other.Service == s.Service && other.Zone == s.Zone {
				other.extend(at)
			}
		}
	}
	return t.until(s).Sub(before) > t.services[s.Service].ColdFor/2
}

// extend records that the upstream may have an outage at the given time.
func (s *state) extend(at time.Time) {
	if at.After(s.outageAt) {
		s.outageAt = at
	}
}

// Answered records that the upstream has answered.
func (t *Tracker) Answered(upstream string, at time.Time) {
	if s := t.upstreams[upstream]; s != nil {
		s.answeredAt = at
	}
}

// isZoneOut reports whether several upstreams of the service and zone of s had signs of outages
// shortly before the given time and none has answered, so that the others, which may not have
// been tried, can have an outage too. A process that gets the outages from others has those of
// all upstreams; another sees those of the upstreams that it tries.
func (t *Tracker) isZoneOut(s *state, at time.Time) bool {
	signs := 0
	for _, other := range t.upstreams {
		if other.Service != s.Service || other.Zone != s.Zone {
			continue
		}
		if at.Sub(other.answeredAt) < zoneSilence {
			return false
		}
		if at.Sub(other.signAt) <= recheck {
			signs++
		}
	}
	return signs >= minZoneSigns
}

// isBounded reports whether cold upstreams of the service are limited.
func (t *Tracker) isBounded(service string) bool {
	return t.cfg.Overage > 0 && t.services[service].PerSecond > 0
}

// IsBounding reports whether any service has a limit for cold upstreams.
func (t *Tracker) IsBounding() bool {
	for service := range t.services {
		if t.isBounded(service) {
			return true
		}
	}
	return false
}

// until returns the end of the cold time of s.
func (t *Tracker) until(s *state) time.Time {
	until := s.statedUntil
	coldFor := t.services[s.Service].ColdFor
	if coldFor == 0 {
		return until
	}
	if end := s.newAt.Add(coldFor + lag); !s.newAt.IsZero() && end.After(until) {
		until = end
	}
	if end := s.outageAt.Add(coldFor + recheck); !s.outageAt.IsZero() && end.After(until) {
		until = end
	}
	return until
}

// Bound returns the bound of the upstream at now, and whether there is one.
func (t *Tracker) Bound(upstream string, now time.Time) (Bound, bool) {
	s := t.upstreams[upstream]
	if s == nil {
		return Bound{}, false
	}
	b := t.Potential(upstream)
	return b, b.PerSecond > 0 && now.Before(b.Until)
}

// Potential returns the bound that the upstream has while it is cold, and when it ends or has
// ended. PerSecond is zero if the upstream is not listed, or never limited because it is cold.
func (t *Tracker) Potential(upstream string) Bound {
	s := t.upstreams[upstream]
	if s == nil || !t.isBounded(s.Service) {
		return Bound{}
	}
	perSecond := t.services[s.Service].PerSecond
	return Bound{
		Upstream: upstream, Service: s.Service, PerSecond: perSecond,
		Most: perSecond*t.cfg.Overage + t.cfg.Slack, Until: t.until(s),
	}
}

// Bounds returns the bounds at now, sorted by upstream.
func (t *Tracker) Bounds(now time.Time) []Bound {
	if t.cfg.Overage <= 0 {
		return nil
	}
	var bounds []Bound
	for id := range t.upstreams {
		if b, isCold := t.Bound(id, now); isCold {
			bounds = append(bounds, b)
		}
	}
	slices.SortFunc(bounds, func(a, b Bound) int { return strings.Compare(a.Upstream, b.Upstream) })
	return bounds
}

// Outages returns the upstreams that count as cold at now because of an outage, sorted.
func (t *Tracker) Outages(now time.Time) []string {
	var ids []string
	for id, s := range t.upstreams {
		if !s.outageAt.IsZero() && now.Sub(s.outageAt) < t.services[s.Service].ColdFor+recheck && t.isBounded(s.Service) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Until returns the end of the upstream's cold time, which may be over, whether or not the
// upstream is limited meanwhile.
func (t *Tracker) Until(upstream string) time.Time {
	if s := t.upstreams[upstream]; s != nil {
		return t.until(s)
	}
	return time.Time{}
}

// Malformed returns the number of upstreams whose cold time can't be read.
func (t *Tracker) Malformed() int { return len(t.malformed) }
