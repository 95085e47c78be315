// Package kcwroster keeps the run-time state of the upstreams that a router can
// use: which ones are listed, leaving, replaced at their address or suspected of
// being faulty, how loaded they are, and the connections to each. It also exports
// Entry, one upstream of a list, and Attempt, one attempt to send a request to an
// upstream.
package kcwroster

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"kingcupwick.example/kcw/kcwbreaker"
	"kingcupwick.example/kcw/kcwconn"
	"kingcupwick.example/kcw/kcwplace"
)

// Entry describes one upstream of a list.
type Entry struct {
	// ID identifies the upstream.
	ID, Service, Zone string
	Address           netip.AddrPort
	// Slots is the number of requests that the upstream runs concurrently.
	Slots   int
	Leaving bool
	// ColdUntil is when the upstream stops being cold by the list, zero if it is not cold.
	ColdUntil time.Time
	// Born is when the process of the upstream started, by the upstream's own clock, zero if
	// it is not known. A process that starts again may keep its ID.
	Born time.Time
}

// Load is a load report of an upstream.
type Load struct {
	// Running, Waiting and Slots are numbers of requests.
	Running, Waiting, Slots int
	// Slowness is how long work takes on the upstream's host at the time of the report,
	// relative to the usual, zero if the report does not state it.
	Slowness float64
}

// Config configures a Roster.
type Config struct {
	// Zone is the router's own availability zone.
	Zone   string
	Placer *kcwplace.Placer
	// SpeedPlacer replaces Placer for services whose upstreams state their slowness. It is
	// optional.
	SpeedPlacer *kcwplace.Placer
	// Breaker configures the breaker of each upstream; its Rand is ignored.
	Breaker kcwbreaker.Config
	// Conn configures the connections; its Address is ignored.
	Conn kcwconn.Config
	// SilenceTimeout is how long requests may wait at an upstream that sends no
	// data at all. After it the upstream is suspected, and receives requests only if
	// all upstreams that may receive them are suspected.
	SilenceTimeout time.Duration
	// DialPause is how long an upstream is suspected after an attempt to open a
	// connection to it failed.
	DialPause time.Duration
	// HalfLife is the age at which the weight of a load report has fallen to
	// one half.
	HalfLife time.Duration
	// PromptWeight is the load, in requests, of a thousand prompt tokens that
	// this router has sent and that have received no answer yet.
	PromptWeight float64
	// LostTime returns how much of the time between from and now this router itself was late,
	// so that it may not have handled what upstreams had sent. It is called with the roster
	// locked, and is optional.
	LostTime func(from, now time.Time) time.Duration
	// Limits keeps the rate limits that upstreams name. It is optional.
	Limits limiter
	// MaxConns returns the bound on the connections to each upstream of a service. It is called
	// with the roster locked. It is optional.
	MaxConns func(service string) ConnBound
	// Speeds collects samples of upstreams that state their slowness. It is optional.
	Speeds collector
	// OnSilence is called when an upstream becomes silent and when it no longer is. It is
	// called with the roster locked and must not block. It is optional.
	OnSilence func(Silence)
	// OnMalformedLoad is called for the first load report of an upstream that can't be read whole,
	// like OnSilence. It is optional.
	OnMalformedLoad func(MalformedLoad)
	Rand            *rand.Rand
	Now             func() time.Time
}

// upstream is the state of one listed upstream.
type upstream struct {
	Entry
	hash    uint64
	breaker *kcwbreaker.Breaker
	pool    *kcwconn.Pool
	// inFlight is the number of this router's attempts that have not ended, and
	// pendingTokens the number of prompt tokens of those without an answer.
	inFlight      int
	pendingTokens int64
	// waiting holds the attempts without an answer and when each one began.
	waiting    map[*Attempt]time.Time
	lastDataAt time.Time
	// silentSince is when the silence of the upstream began, zero if it is not silent.
	silentSince time.Time
	// replaced holds the attempts that others have replaced during the silence, the
	// earliest first.
	replaced []replaced
	// load is the newest load report. It was received at loadAt, when loadInFlight
	// attempts of this router were in flight.
	load         Load
	loadAt       time.Time
	loadInFlight int
	speed
	// dialPausedUntil is the end of the pause after a failed dial.
	dialPausedUntil time.Time
	// declinedUntil is the end of the time for which the upstream declines requests
	// from this router.
	declinedUntil time.Time
	// gone is set once another upstream has answered at this upstream's address,
	// announcedLeaving once an answer of the upstream has announced that it leaves.
	gone, announcedLeaving bool
	// evacuated is set while the upstream's zone is evacuated.
	evacuated bool
}

// Roster holds the state of all listed upstreams. It is safe for concurrent use.
// Lock order: mu before the locks of breakers, pools, the placer and Config.Limits.
type Roster struct {
	cfg Config

	mu       sync.Mutex
	byID     map[string]*upstream
	services map[string][]*upstream
	listedAt time.Time
	// evacuatedZones are the zones whose upstreams receive no requests.
	evacuatedZones map[string]bool
	// speedsAt is when the shared speeds were confirmed last, and statedAt when an upstream of
	// a service last stated its slowness, by service.
	speedsAt time.Time
	statedAt map[string]time.Time
}

// New returns an empty roster. It panics if cfg has no Placer, Rand or Now.
func New(cfg Config) *Roster {
	if cfg.Placer == nil || cfg.Rand == nil || cfg.Now == nil {
		panic("kcwroster: Placer, Rand and Now must be set")
	}
	return &Roster{cfg: cfg, byID: map[string]*upstream{}, services: map[string][]*upstream{}, statedAt: map[string]time.Time{}}
}

// Update replaces the list of upstreams with entries, a list read at readAt, and
// returns the changes for the log. A list that was read before the current one is
// ignored.
func (r *Roster) Update(entries []Entry, readAt time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if readAt.Before(r.listedAt) {
		return nil
	}
	r.listedAt = readAt
	var changes []string
	next := make(map[string]*upstream, len(entries))
	r.services = make(map[string][]*upstream)
	for _, e := range entries {
		u := r.byID[e.ID]
		switch {
		case u != nil && u.isRestartedAs(e):
			// What is known of the former process does not hold for the new one. Its rate
			// limit ends with the first answer that names none.
			u = r.newUpstream(e)
			changes = append(changes, "restarted "+e.ID)
		case u == nil || u.Address != e.Address || u.Service != e.Service:
			u = r.newUpstream(e)
			changes = append(changes, "added "+e.ID)
		case u.Leaving && !e.Leaving:
			// The upstream has restarted under the same identity.
			u.announcedLeaving = false
			changes = append(changes, "returned "+e.ID)
		case u.Leaving != e.Leaving:
			changes = append(changes, "leaving "+e.ID)
		}
		if e.Born.IsZero() {
			e.Born = u.Born
		}
		u.Entry = e
		u.evacuated = r.evacuatedZones[e.Zone]
		next[e.ID] = u
		r.services[e.Service] = append(r.services[e.Service], u)
	}
	for id, u := range r.byID {
		if next[id] == u {
			continue
		}
		u.pool.Close()
		if next[id] == nil || !u.isRestartedAs(next[id].Entry) {
			changes = append(changes, "removed "+id)
		}
	}
	r.byID = next
	r.spreadSent(r.cfg.Now())
	maps.DeleteFunc(r.statedAt, func(service string, _ time.Time) bool { return r.services[service] == nil })
	if r.cfg.Limits != nil {
		r.cfg.Limits.Retain(func(id string) bool { return next[id] != nil })
	}
	return changes
}

// isRestartedAs reports whether the process of u has ended and e lists another one under the
// same ID, service and address.
func (u *upstream) isRestartedAs(e Entry) bool {
	return u.Address == e.Address && u.Service == e.Service && !u.Born.IsZero() && !e.Born.IsZero() && !u.Born.Equal(e.Born)
}

// newUpstream returns the state of a newly listed upstream. It panics if Config.Breaker is
// invalid.
func (r *Roster) newUpstream(e Entry) *upstream {
	breaker := r.cfg.Breaker
	breaker.Rand = rand.New(rand.NewPCG(r.cfg.Rand.Uint64(), r.cfg.Rand.Uint64()))
	b, err := kcwbreaker.New(breaker)
	if err != nil {
		panic("kcwroster: " + err.Error())
	}
	conn := r.cfg.Conn
	conn.Address = e.Address
	conn.Now = r.cfg.Now
	return &upstream{
		Entry: e, hash: xxhash.Sum64String(e.ID), breaker: b, pool: kcwconn.New(conn),
		waiting: map[*Attempt]time.Time{},
	}
}

// ConfirmList records that the current list was read again at readAt and has not
// changed.
func (r *Roster) ConfirmList(readAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if readAt.After(r.listedAt) {
		r.listedAt = readAt
	}
}

// ListedAt returns when the current list was last read.
func (r *Roster) ListedAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listedAt
}

// Request describes the request for which an upstream is chosen.
type Request struct {
	Service string
	// Prefix is the hash of the prefix that the prompt shares with others, or 0
	// if there is none.
	Prefix uint64
	// PromptTokens is the size of the prompt in tokens.
	PromptTokens int64
	// UsedAfter is the earliest time of last use at which an idle connection may carry the
	// request, zero if any may.
	UsedAfter time.Time
	// Permit is the upstream with a rate limit for which the request has a permit, empty if
	// there is none.
	Permit string
	// Tried holds the IDs of the upstreams that were already tried, Avoided those of the ones
	// that are chosen only if all others that may be chosen are suspected.
	Tried, Avoided []string
	// IsHedge is set if the request is open at another upstream already. Then only an
	// upstream that is not suspected may be chosen.
	IsHedge bool
}

// Begin chooses an upstream for a request and counts an attempt at it. It returns
// nil if the service has no upstream that may receive requests without a permit.
func (r *Roster) Begin(request Request) *Attempt {
	now := r.cfg.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	usable := r.withoutLimit(r.usable(request, now), request.Permit)
	if len(usable) == 0 {
		return nil
	}
	u := r.choose(usable, request, now)
	u.pool.SetMaxOpen(u.maxOpen(r.connBound(request.Service), now))
	ticket, err := u.breaker.Begin(now)
	a := &Attempt{roster: r, upstream: u, breakerTicket: ticket, admitted: err == nil, began: now, promptTokens: request.PromptTokens}
	u.recordSent(now)
	u.inFlight++
	u.pendingTokens += a.promptTokens
	u.waiting[a] = now
	return a
}

// choose chooses one of the given upstreams for the request. It panics if there are none.
func (r *Roster) choose(upstreams []*upstream, request Request, now time.Time) *upstream {
	estimate := r.estimator(request, now)
	candidates := make([]kcwplace.Candidate, len(upstreams))
	for i, u := range upstreams {
		candidates[i] = kcwplace.Candidate{Hash: u.hash, Load: estimate(u), SameZone: u.Zone == r.cfg.Zone}
	}
	placer := r.cfg.Placer
	if r.cfg.SpeedPlacer != nil && r.isPlacedBySpeed(request.Service, now) {
		placer = r.cfg.SpeedPlacer
	}
	chosen := placer.Choose(candidates, request.Prefix)
	if request.Prefix == 0 {
		chosen = r.preferIdle(upstreams, candidates, chosen, request, now)
	}
	return upstreams[chosen]
}

// usable returns the upstreams of the service that may receive the request, without the
// suspected ones and without those to avoid. If all others are suspected, it returns those to
// avoid, and if all are, it returns them all unless the request is a hedge, since the suspicion
// then doesn't distinguish between them.
func (r *Roster) usable(request Request, now time.Time) []*upstream {
	var healthy, avoided, suspected []*upstream
	bound := r.connBound(request.Service)
	for _, u := range r.services[request.Service] {
		if u.isUnavailable() || now.Before(u.declinedUntil) || slices.Contains(request.Tried, u.ID) || u.isAtBound(bound, now) {
			continue
		}
		switch isHealthy := u.breaker.Ready(now) && !now.Before(u.dialPausedUntil) && !r.isSilent(u, now); {
		case isHealthy && slices.Contains(request.Avoided, u.ID):
			avoided = append(avoided, u)
		case isHealthy:
			healthy = append(healthy, u)
		default:
			suspected = append(suspected, u)
		}
	}
	switch {
	case len(healthy) > 0:
		return healthy
	case len(avoided) > 0 || request.IsHedge:
		return avoided
	}
	return suspected
}

// maxLoadAge is the age from which a load report doesn't describe the current load.
const maxLoadAge = 5 * time.Second

// meanLoad returns the mean fraction of capacity in use over those upstreams of the
// service that have a recent load report, and 0 if none has.
func (r *Roster) meanLoad(service string, now time.Time) float64 {
	sum, n := 0.0, 0
	for _, u := range r.services[service] {
		if u.load.Slots > 0 && now.Sub(u.loadAt) < maxLoadAge {
			sum += float64(u.load.Running+u.load.Waiting) / float64(u.load.Slots)
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

// estimate returns the estimated fraction of u's capacity in use. It is u's load
// report, whose weight falls with age in favor of the service's mean, adjusted by
// the attempts that this router has begun and ended since the report.
func (r *Roster) estimate(u *upstream, mean float64, now time.Time) float64 {
	slots := float64(max(u.Slots, 1))
	reported, own := mean, float64(u.inFlight)
	if u.load.Slots > 0 {
		weight := 1 / (1 + now.Sub(u.loadAt).Seconds()/r.cfg.HalfLife.Seconds())
		reported = weight*float64(u.load.Running+u.load.Waiting)/float64(u.load.Slots) + (1-weight)*mean
		own = float64(u.inFlight) - weight*float64(u.loadInFlight)
	}
	const thousand = 1000
	return reported + (max(0, own)+r.cfg.PromptWeight*float64(u.pendingTokens)/thousand)/slots
}

// Upstream is the state of one upstream as shown in dumps.
type Upstream struct {
	Entry
	// State is Gone, Leaving, Evacuated, Declining, Silent or the state of the breaker.
	State    string
	InFlight int
	Load     Load
	LoadAt   time.Time
	// Shared is the entry of the table of speeds, Slots of its load being zero if there is none.
	Shared Speed
	// Opened is the number of connections opened so far. Open are those that are open, and Idle
	// those of them that carry no request.
	Opened     int64
	Open, Idle int
}

// Upstreams returns the state of all upstreams, sorted by ID.
func (r *Roster) Upstreams() []Upstream {
	now := r.cfg.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Upstream, 0, len(r.byID))
	for _, u := range r.byID {
		state := u.breaker.State()
		switch {
		case u.gone:
			state = "Gone"
		case u.announcedLeaving:
			state = "Leaving"
		case u.evacuated:
			state = "Evacuated"
		case now.Before(u.declinedUntil):
			state = "Declining"
		case r.isSilent(u, now):
			state = "Silent"
		}
		conns := u.pool.Counts()
		list = append(list, Upstream{
			Entry: u.Entry, State: state, InFlight: u.inFlight, Load: u.load, LoadAt: u.loadAt, Shared: u.shared, Opened: conns.Opened, Open: conns.Open, Idle: conns.Idle,
		})
	}
	slices.SortFunc(list, func(a, b Upstream) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// Count returns the number of upstreams of the service that may receive requests,
// including suspected ones.
func (r *Roster) Count(service string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, u := range r.services[service] {
		if !u.isUnavailable() {
			n++
		}
	}
	return n
}
