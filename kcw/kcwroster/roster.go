// Package kcwroster holds the upstreams that a router knows at run time: which
// are listed, leaving, gone or suspected, how loaded they are, and the
// connections to each. Besides Roster it exports the entries that a list brings
// and the ticket of one attempt.
package kcwroster

import (
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

// Entry is one upstream of a list.
type Entry struct {
	// ID names one incarnation of the upstream.
	ID, Service, Zone string
	Address           netip.AddrPort
	// Slots is how many requests it runs at once.
	Slots   int
	Leaving bool
}

// Load is the load that an upstream reports.
type Load struct {
	Running, Waiting, Slots int
}

// Config configures a Roster.
type Config struct {
	// Zone is the router's own availability zone.
	Zone   string
	Placer *kcwplace.Placer
	// Breaker configures the breaker of each upstream; its Rand is ignored.
	Breaker kcwbreaker.Config
	// Conn configures the connections; its Address is ignored.
	Conn kcwconn.Config
	// SilenceTimeout is how long requests may wait at an upstream that says
	// nothing at all before it gets no more of them.
	SilenceTimeout time.Duration
	// DialPause is how long an upstream is passed over after a connection to
	// it could not be opened.
	DialPause time.Duration
	// HalfLife is the age at which an upstream's load report counts half.
	HalfLife time.Duration
	// PromptWeight is the load, in requests, of a thousand prompt tokens that
	// this router has sent and that are not answered yet.
	PromptWeight float64
	Rand         *rand.Rand
	Now          func() time.Time
}

// upstream is one listed upstream.
type upstream struct {
	Entry
	hash    uint64
	breaker *kcwbreaker.Breaker
	pool    *kcwconn.Pool
	// inFlight are the attempts of this router, pendingTokens the prompt
	// tokens of those without an answer yet.
	inFlight      int
	pendingTokens int64
	waiting       map[*Attempt]time.Time
	heardAt       time.Time
	// load is the upstream's load report as of loadAt, when loadFlight attempts of
	// this router were in flight.
	load       Load
	loadAt     time.Time
	loadFlight int
	pausedTill time.Time
	// declinedUntil is until when the upstream wants no request from this router.
	declinedUntil time.Time
	// gone says that another upstream answered at its address, saidLeaving that an
	// answer of the upstream said that it leaves.
	gone, saidLeaving bool
}

// Roster holds upstreams. It is safe for concurrent use. Lock order: mu before
// the locks of breakers, pools and the placer.
type Roster struct {
	cfg Config

	mu       sync.Mutex
	byID     map[string]*upstream
	services map[string][]*upstream
	listedAt time.Time
}

// New returns an empty roster. It panics if cfg lacks a part.
func New(cfg Config) *Roster {
	if cfg.Placer == nil || cfg.Rand == nil || cfg.Now == nil {
		panic("kcwroster: Placer, Rand and Now are needed")
	}
	return &Roster{cfg: cfg, byID: map[string]*upstream{}, services: map[string][]*upstream{}}
}

// Update replaces the listed upstreams by entries, which were read at readAt, and
// returns the changes for the log. An older reading than the last is ignored.
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
		case u == nil || u.Address != e.Address || u.Service != e.Service:
			u = r.newUpstream(e)
			changes = append(changes, "added "+e.ID)
		case u.Leaving && !e.Leaving:
			// The upstream has started again under its identity.
			u.saidLeaving = false
			changes = append(changes, "back "+e.ID)
		case u.Leaving != e.Leaving:
			changes = append(changes, "leaving "+e.ID)
		}
		u.Entry = e
		next[e.ID] = u
		r.services[e.Service] = append(r.services[e.Service], u)
	}
	for id, u := range r.byID {
		if next[id] != u {
			u.pool.Close()
			changes = append(changes, "removed "+id)
		}
	}
	r.byID = next
	return changes
}

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

// ConfirmList notes that the list in force was read again, unchanged, at readAt.
func (r *Roster) ConfirmList(readAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if readAt.After(r.listedAt) {
		r.listedAt = readAt
	}
}

// ListedAt returns when the list in force was read.
func (r *Roster) ListedAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listedAt
}

// Request describes what an upstream is wanted for.
type Request struct {
	Service string
	// Prefix identifies the beginning that the prompt shares with others, zero
	// if there is none.
	Prefix uint64
	// PromptTokens is the size of the prompt.
	PromptTokens int64
	// Tried are the upstreams that were tried already.
	Tried []string
}

// Begin chooses an upstream for a request and counts the attempt. It returns nil
// if the service has none that may be given work.
func (r *Roster) Begin(want Request) *Attempt {
	now := r.cfg.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	usable := r.usable(want, now)
	if len(usable) == 0 {
		return nil
	}
	mean := r.meanLoad(want.Service, now)
	candidates := make([]kcwplace.Candidate, len(usable))
	for i, u := range usable {
		candidates[i] = kcwplace.Candidate{Hash: u.hash, Load: r.estimate(u, mean, now), SameZone: u.Zone == r.cfg.Zone}
	}
	u := usable[r.cfg.Placer.Choose(candidates, want.Prefix)]
	ticket, err := u.breaker.Begin(now)
	t := &Attempt{roster: r, upstream: u, breaker: ticket, counted: err == nil, began: now, promptTokens: want.PromptTokens}
	u.inFlight++
	u.pendingTokens += t.promptTokens
	u.waiting[t] = now
	return t
}

// usable returns the upstreams of the service that may be given work. If all are
// suspected, suspicion tells nothing, and all are returned.
func (r *Roster) usable(want Request, now time.Time) []*upstream {
	var good, rest []*upstream
	for _, u := range r.services[want.Service] {
		if u.takesNone() || now.Before(u.declinedUntil) || slices.Contains(want.Tried, u.ID) {
			continue
		}
		if u.breaker.Ready(now) && !now.Before(u.pausedTill) && !r.isSilent(u, now) {
			good = append(good, u)
			continue
		}
		rest = append(rest, u)
	}
	if len(good) > 0 {
		return good
	}
	return rest
}

// isSilent reports whether attempts wait at u that has said nothing for the
// silence timeout.
func (r *Roster) isSilent(u *upstream, now time.Time) bool {
	for _, since := range u.waiting {
		if u.heardAt.After(since) {
			since = u.heardAt
		}
		if now.Sub(since) >= r.cfg.SilenceTimeout {
			return true
		}
	}
	return false
}

// meanLoad returns the mean of the fractions last told by the service's
// upstreams.
func (r *Roster) meanLoad(service string, now time.Time) float64 {
	const told = 5 * time.Second // Older load reports tell nothing of now.
	sum, n := 0.0, 0
	for _, u := range r.services[service] {
		if u.load.Slots > 0 && now.Sub(u.loadAt) < told {
			sum += float64(u.load.Running+u.load.Waiting) / float64(u.load.Slots)
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

// estimate returns the fraction of u's capacity in use: its load report, which
// fades to the mean of the service with age, and what this router has started
// and ended since.
func (r *Roster) estimate(u *upstream, mean float64, now time.Time) float64 {
	slots := float64(max(u.Slots, 1))
	told, since := mean, float64(u.inFlight)
	if u.load.Slots > 0 {
		weight := 1 / (1 + now.Sub(u.loadAt).Seconds()/r.cfg.HalfLife.Seconds())
		told = weight*float64(u.load.Running+u.load.Waiting)/float64(u.load.Slots) + (1-weight)*mean
		since = float64(u.inFlight) - weight*float64(u.loadFlight)
	}
	const thousand = 1000
	return told + (max(0, since)+r.cfg.PromptWeight*float64(u.pendingTokens)/thousand)/slots
}

// Attempt is one attempt at an upstream. It is ended exactly once by Done.
type Attempt struct {
	roster       *Roster
	upstream     *upstream
	breaker      uint64
	counted      bool
	began        time.Time
	promptTokens int64
	answered     bool
}

// ID returns the upstream's identity.
func (t *Attempt) ID() string { return t.upstream.ID }

// Pool returns the connections to the upstream.
func (t *Attempt) Pool() *kcwconn.Pool { return t.upstream.pool }

// Answered notes that the first bytes of an answer came.
func (t *Attempt) Answered() {
	now := t.roster.cfg.Now()
	t.roster.mu.Lock()
	defer t.roster.mu.Unlock()
	t.upstream.heardAt = now
	t.answer()
}

func (t *Attempt) answer() {
	if t.answered {
		return
	}
	t.answered = true
	delete(t.upstream.waiting, t)
	t.upstream.pendingTokens -= t.promptTokens
}

// DataReceived notes that more bytes came.
func (t *Attempt) DataReceived() {
	now := t.roster.cfg.Now()
	t.roster.mu.Lock()
	defer t.roster.mu.Unlock()
	t.upstream.heardAt = now
}

// ReportLoad takes the upstream's load report.
func (t *Attempt) ReportLoad(load Load) {
	now := t.roster.cfg.Now()
	t.roster.mu.Lock()
	defer t.roster.mu.Unlock()
	u := t.upstream
	u.load, u.loadAt, u.loadFlight = load, now, u.inFlight
}

// IsSilent reports whether the upstream is silent on all connections.
func (t *Attempt) IsSilent() bool {
	now := t.roster.cfg.Now()
	t.roster.mu.Lock()
	defer t.roster.mu.Unlock()
	return t.roster.isSilent(t.upstream, now)
}

// Outcome says how an attempt ended.
type Outcome int

// Outcomes.
const (
	// Succeeded: a whole answer that shows a sound upstream.
	Succeeded Outcome = iota + 1
	// Failed: an answer or an end that is the upstream's fault.
	Failed
	// Unreachable: no connection could be opened.
	Unreachable
	// Misdirected: another upstream has the address.
	Misdirected
	// Neutral: nothing is known of the upstream, as when the caller left.
	Neutral
)

// Done ends the attempt.
func (t *Attempt) Done(outcome Outcome) {
	now := t.roster.cfg.Now()
	t.roster.mu.Lock()
	defer t.roster.mu.Unlock()
	u := t.upstream
	t.answer()
	u.inFlight--
	switch outcome {
	case Unreachable:
		u.pausedTill = now.Add(t.roster.cfg.DialPause)
	case Misdirected:
		u.gone = true
	}
	switch {
	case !t.counted:
	case outcome == Succeeded:
		u.breaker.Succeed(now, t.breaker, t.began)
	case outcome == Failed || outcome == Unreachable:
		u.breaker.Fail(now, t.breaker)
	default:
		u.breaker.Cancel(t.breaker)
	}
}

// Upstream is the state of one upstream, for dumps.
type Upstream struct {
	Entry
	State    string
	InFlight int
	Load     Load
	LoadAt   time.Time
	Opened   int64
}

// Upstreams returns the state of all upstreams in order of identity.
func (r *Roster) Upstreams() []Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Upstream, 0, len(r.byID))
	for _, u := range r.byID {
		state := u.breaker.State()
		switch {
		case u.gone:
			state = "Gone"
		case u.saidLeaving:
			state = "Leaving"
		case r.cfg.Now().Before(u.declinedUntil):
			state = "Declining"
		}
		list = append(list, Upstream{Entry: u.Entry, State: state, InFlight: u.inFlight, Load: u.load, LoadAt: u.loadAt, Opened: u.pool.Opened()})
	}
	slices.SortFunc(list, func(a, b Upstream) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// Count returns how many upstreams of the service may be given work, suspected
// ones included.
func (r *Roster) Count(service string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, u := range r.services[service] {
		if !u.takesNone() {
			n++
		}
	}
	return n
}
