package kcwroster

import (
	"math"
	"time"

	"kingcupwick.example/kcw/kcwspeed"
)

// Speed is an upstream's entry in the table of speeds, merged over all routers.
type Speed struct {
	Upstream string
	// Load is the newest load report; Slots is zero if nothing is known. Its Slowness is how
	// long work takes at the upstream, from the reports and the first bytes of all routers.
	Load Load
	// Capacity is the load that the upstream handles well relative to its service, and
	// PerSecond the number of answers that it gives.
	Capacity, PerSecond float64
}

// collector collects the samples of the upstreams.
type collector interface {
	// Add adds an answer that came at now.
	Add(answer kcwspeed.Answer, now time.Time)
	// AddFirstByte adds the first byte of an answer that was added.
	AddFirstByte(first kcwspeed.FirstByte, now time.Time)
	// AddGap adds the mean gap between the events of a stream.
	AddGap(gap kcwspeed.Gap, now time.Time)
}

const (
	// slownessLifetime is how long a service is placed by speeds after an answer of one of its
	// upstreams has stated its slowness.
	slownessLifetime = 30 * time.Second
	// maxSpeedAge is the age at which the shared speeds are no longer used. It allows for some
	// lost reports.
	maxSpeedAge = 2 * time.Second
	// speedDelay is how old a shared load is on average when it arrives: two pauses between
	// reports and the interval at which the leader refreshes its table.
	speedDelay = 300 * time.Millisecond
	// sentLifetime is the time in which the requests that this router has sent to an upstream
	// lose weight by the factor e in the choice among upstreams whose load isn't known.
	sentLifetime = 2 * time.Second
	// sentFactor is the load, in requests, of one that this router has just sent to an upstream
	// whose load isn't known. With 1, plain servers had longer queues in the simulation.
	sentFactor = 2
	// minCapacity and maxCapacity bound capacities that another process states.
	minCapacity = 0.1
	maxCapacity = 4
	// maxSlowness bounds the slowness that is counted in both directions.
	maxSlowness = 8
	// maxSilenceFactor bounds the silence that a queue explains, in silence timeouts.
	maxSilenceFactor = 3
)

// speed is the part of the state of an upstream that placement by speeds needs.
type speed struct {
	// shared is the entry of the table of speeds. When it was confirmed last, sharedInFlight attempts of
	// this router were in flight, and inFlightBefore at the confirmation before that.
	shared                         Speed
	sharedInFlight, inFlightBefore int
	// sent is the number of requests that this router has sent, which lose weight with their
	// age, as of sentAt.
	sent   float64
	sentAt time.Time
	// ownSlowness is the mean of what this router's answers have stated, and ownWeight the
	// weight of the samples in it, which lose weight with their age, as of sampledAt.
	ownSlowness, ownWeight float64
	sampledAt              time.Time
	// hasMalformedLoad is set once a load report could not be read whole.
	hasMalformedLoad bool
	// newest is the report that meansOfSpeeds has used last, if there was one.
	newest    report
	hasNewest bool
}

// SetSpeeds sets entries of the table of speeds that was in force at the given time. If isNew is
// set, the table is another one and all former entries are dropped.
func (r *Roster) SetSpeeds(speeds []Speed, isNew bool, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if isNew {
		for _, u := range r.byID {
			u.shared = Speed{}
		}
	}
	for _, s := range speeds {
		u := r.byID[s.Upstream]
		switch {
		case u == nil:
			continue
		case u.isAbsurd(s.Load):
			s = Speed{}
		case !(s.Capacity > 0):
			s.Capacity = 1
		}
		s.Capacity = min(max(s.Capacity, minCapacity), maxCapacity)
		u.shared = s
	}
	r.speedsAt = at
	for _, u := range r.byID {
		u.inFlightBefore, u.sharedInFlight = u.sharedInFlight, u.inFlight
		if u.shared.Load.Slots > 0 {
			r.statedAt[u.Service] = at
		}
	}
}

// isPlacedBySpeed reports whether the upstreams of a service have stated their slowness lately.
// Other services are placed by each router's own load reports.
func (r *Roster) isPlacedBySpeed(service string, now time.Time) bool {
	at, found := r.statedAt[service]
	return found && now.Sub(at) < slownessLifetime
}

// sharedSpeed returns u's entry in the table of speeds, and whether it is in force.
func (r *Roster) sharedSpeed(u *upstream, now time.Time) (Speed, bool) {
	return u.shared, u.shared.Load.Slots > 0 && now.Sub(r.speedsAt) < maxSpeedAge
}

// capacity returns the capacity of u. Without the core it follows from what this router's own
// answers have stated, as in kcwspeed but without the mean of the service, which is the same for
// all.
func (r *Roster) capacity(u *upstream, now time.Time) float64 {
	if s, isKnown := r.sharedSpeed(u, now); isKnown {
		return s.Capacity
	}
	const costExponent = 0.6
	return min(max(math.Pow(r.slowness(u, now), -costExponent), minCapacity), maxCapacity)
}

// slowness returns how long work takes at u, 1 if it is not known.
func (r *Roster) slowness(u *upstream, now time.Time) float64 {
	s, isKnown := r.sharedSpeed(u, now)
	if !isKnown {
		// One sample of the usual speed keeps a single answer from deciding.
		weight := u.ownWeight * slownessDecay(now.Sub(u.sampledAt))
		return (weight*u.ownSlowness + 1) / (weight + 1)
	}
	if !(s.Load.Slowness > 0) {
		return 1
	}
	return min(max(s.Load.Slowness, 1.0/maxSlowness), maxSlowness)
}

// slownessDecay returns the factor by which samples of that age have lost weight.
func slownessDecay(age time.Duration) float64 {
	const halfLife = 5 * time.Second // A router sees about one answer of an engine in that time.
	return math.Exp2(-max(0, age.Seconds()) / halfLife.Seconds())
}

// isAbsurd reports whether a load report contradicts the list of upstreams by so much that it would
// draw most requests of the service to u.
func (u *upstream) isAbsurd(load Load) bool {
	const maxFactor = 8
	return u.Slots > 0 && load.Slots > maxFactor*u.Slots
}

// report is a load report with its age.
type report struct {
	load Load
	age  time.Duration
	// weight is that of the report, and since the number of this router's requests that it
	// does not contain.
	weight, since float64
}

// newestReport returns the newer one of the router's own load report of u and the shared one. The
// weight of a report falls with the part of the slots that other requests have taken since: at
// an upstream that answers many times within the age of the report, all routers would otherwise
// choose the same one for as long as they have the report.
func (r *Roster) newestReport(u *upstream, now time.Time) (report, bool) {
	shared, isShared := r.sharedSpeed(u, now)
	age := now.Sub(r.speedsAt) + speedDelay
	if own := now.Sub(u.loadAt); u.load.Slots > 0 && own < maxLoadAge && (!isShared || own < age) {
		w := 1 / (1 + own.Seconds()/r.cfg.HalfLife.Seconds())
		if isShared {
			w = turnoverWeight(shared, own)
		}
		return report{u.load, own, w, float64(u.inFlight) - w*float64(u.loadInFlight)}, true
	}
	if !isShared {
		return report{}, false
	}
	w := turnoverWeight(shared, age)
	// The load reports in the table are from before its last confirmation.
	return report{shared.Load, age, w, float64(u.inFlight) - w*float64(min(u.sharedInFlight, u.inFlightBefore))}, true
}

// turnoverWeight returns the weight of a load report of that age. It is one half once as many
// requests as half of the slots have ended and others have begun.
func turnoverWeight(s Speed, age time.Duration) float64 {
	return 1 / (1 + 2*s.PerSecond*age.Seconds()/float64(s.Load.Slots))
}

// estimator returns the function that estimates the part of an upstream's capacity in use, for the
// upstreams of a service.
func (r *Roster) estimator(request Request, now time.Time) func(u *upstream) float64 {
	service := request.Service
	if r.isPlacedBySpeed(service, now) {
		mean, unknown := r.meansOfSpeeds(service, now)
		return func(u *upstream) float64 { return r.estimateBySpeed(u, mean, unknown, request.Prefix != 0, now) }
	}
	mean := r.meanLoad(service, now)
	return func(u *upstream) float64 { return r.estimate(u, mean, now) }
}

// meansOfSpeeds returns the mean part of the capacity in use over the upstreams of a service whose
// load is known, 0 if none is, and the mean weight that their reports have lost, 1 if none is.
func (r *Roster) meansOfSpeeds(service string, now time.Time) (mean, unknown float64) {
	load, slots, n := 0.0, 0.0, 0.0
	for _, u := range r.services[service] {
		known, found := r.newestReport(u, now)
		u.newest, u.hasNewest = known, found
		if found {
			load += float64(known.load.Running + known.load.Waiting)
			slots += float64(known.load.Slots) * r.capacity(u, now)
			unknown += 1 - known.weight
			n++
		}
	}
	if slots == 0 {
		return 0, 1
	}
	return load / slots, unknown / n
}

// estimateBySpeed returns the estimated part of u's capacity in use, for a service that is placed
// by speeds and has the given means, which meansOfSpeeds has just returned. The less the loads of
// the service are known, the more it counts how much work this router has sent to u lately: this
// spreads requests over upstreams whose loads change faster than routers learn of them. Work counts
// by the square of how long it takes, since the choice between two random upstreams follows a
// difference only in part. Neither counts for a request with a home (hasHome): that is the same in
// every router until it is overloaded, and a home that is left by chance has its prompts read again
// elsewhere.
func (r *Roster) estimateBySpeed(u *upstream, mean, unknown float64, hasHome bool, now time.Time) float64 {
	const thousand = 1000
	capacity := r.capacity(u, now)
	slots := float64(max(u.Slots, 1))
	reported, own := mean, float64(u.inFlight)
	if known := u.newest; u.hasNewest {
		slots = float64(known.load.Slots)
		reported = known.weight*float64(known.load.Running+known.load.Waiting)/slots/capacity + (1-known.weight)*mean
		if !hasHome {
			reported += r.spread(u, known, now) / (slots * capacity)
		}
		own = known.since
	}
	slowness := r.slowness(u, now)
	sent := 0.0
	if !hasHome {
		sent = sentFactor * unknown * u.sentBy(now) * slowness * slowness
	}
	return reported + (max(0, own)+r.cfg.PromptWeight*float64(u.pendingTokens)/thousand)/(slots*capacity) + sent/slots
}

// spread returns a random number of requests to add to a shared report. All routers have the same
// report. A spread as wide as the number of requests that come within its age keeps them from all
// choosing the same upstream before they learn of it.
func (r *Roster) spread(u *upstream, known report, now time.Time) float64 {
	// The width is that of a uniform distribution, about twice that with deviation 1: routers learn
	// of a change later than the age of the table says, since small changes are not published.
	const width, maxPart = 8, 0.25
	shared, isShared := r.sharedSpeed(u, now)
	if !isShared {
		return 0
	}
	came := min(shared.PerSecond*known.age.Seconds(), maxPart*float64(known.load.Slots))
	return known.weight * known.weight * came * width * (r.cfg.Rand.Float64() - 0.5)
}

// spreadSent gives the upstreams that were added the mean of the requests sent to the others of
// their service, so that not all routers send to a new upstream first.
func (r *Roster) spreadSent(now time.Time) {
	for _, upstreams := range r.services {
		sum, n := 0.0, 0
		for _, u := range upstreams {
			if !u.sentAt.IsZero() {
				sum += u.sentBy(now)
				n++
			}
		}
		for _, u := range upstreams {
			if u.sentAt.IsZero() && n > 0 {
				u.sent, u.sentAt = sum/float64(n), now
			}
		}
	}
}

// recordSent records that a request is sent to u.
func (u *upstream) recordSent(now time.Time) {
	u.sent, u.sentAt = u.sentBy(now)+1, now
}

// sentBy returns the number of requests sent, as of now.
func (u *upstream) sentBy(now time.Time) float64 {
	if u.sentAt.IsZero() {
		return 0
	}
	return u.sent * math.Exp(-max(0, now.Sub(u.sentAt).Seconds())/sentLifetime.Seconds())
}

// silenceTimeout returns how long u may send no data while requests wait, before it counts as
// silent. Requests that wait for the slots that others have taken, and the slowness of the
// upstream, explain a longer wait.
func (r *Roster) silenceTimeout(u *upstream, now time.Time) time.Duration {
	timeout := r.cfg.SilenceTimeout
	if !r.isPlacedBySpeed(u.Service, now) {
		return timeout
	}
	factor := max(1, r.slowness(u, now))
	if known, found := r.newestReport(u, now); found {
		queue := float64(known.load.Running+known.load.Waiting-known.load.Slots) + max(0, known.since)
		if shared, isShared := r.sharedSpeed(u, now); isShared && queue > 0 && known.load.Waiting > 0 {
			factor += queue / max(shared.PerSecond, 1) / timeout.Seconds()
		}
	}
	return time.Duration(min(factor, maxSilenceFactor) * float64(timeout))
}

// ReportFirstByte records that the first byte of an answer came to which the route intends the
// given time, zero if none. It is called after ReportLoad.
func (a *Attempt) ReportFirstByte(target time.Duration) {
	if a.roster.cfg.Speeds == nil {
		return
	}
	now := a.roster.cfg.Now()
	a.roster.cfg.Speeds.AddFirstByte(kcwspeed.FirstByte{
		Upstream: a.upstream.ID, Service: a.upstream.Service, PromptTokens: a.promptTokens, Elapsed: now.Sub(a.began), Target: target,
	}, now)
}

// gaps sums up the gaps between the events of a stream.
type gaps struct {
	lastAt, since time.Time
	count         int
}

// EventsReceived records that events of a stream arrived, on a route that intends the given
// longest gap, zero if none.
func (a *Attempt) EventsReceived(target time.Duration) {
	// A mean over a second has some dozens of gaps.
	const span = time.Second
	if a.roster.cfg.Speeds == nil {
		return
	}
	now := a.roster.cfg.Now()
	g := &a.gaps
	if g.lastAt.IsZero() {
		g.lastAt, g.since = now, now
		return
	}
	g.count++
	g.lastAt = now
	if now.Sub(g.since) < span {
		return
	}
	mean := now.Sub(g.since) / time.Duration(g.count)
	g.since, g.count = now, 0
	a.roster.cfg.Speeds.AddGap(kcwspeed.Gap{Upstream: a.upstream.ID, Service: a.upstream.Service, Mean: mean, Target: target}, now)
}

// addSample passes a load report on to Config.Speeds, and notes whether it states its slowness.
// The caller must hold the roster's lock.
func (a *Attempt) addSample(load Load, now time.Time) {
	u := a.upstream
	if !(load.Slowness > 0) {
		return
	}
	a.roster.statedAt[u.Service] = now
	weight := u.ownWeight * slownessDecay(now.Sub(u.sampledAt))
	u.ownSlowness = (weight*u.ownSlowness + min(max(load.Slowness, 1.0/maxSlowness), maxSlowness)) / (weight + 1)
	u.ownWeight, u.sampledAt = weight+1, now
	if a.roster.cfg.Speeds != nil {
		a.roster.cfg.Speeds.Add(kcwspeed.Answer{
			Upstream: u.ID, Service: u.Service, Running: load.Running, Waiting: load.Waiting, Slots: load.Slots, Slowness: load.Slowness,
		}, now)
	}
}

// MalformedLoad is a load report that can't be read whole.
type MalformedLoad struct {
	Upstream, Service string
	// Text is the report, and RequestID identifies the request to whose answer it belongs.
	Text, RequestID string
}

// ReportMalformedLoad passes the text of a load report that can't be read whole on to
// Config.OnMalformedLoad, once for each upstream. An empty text is ignored.
func (a *Attempt) ReportMalformedLoad(requestID, text string) {
	if text == "" {
		return
	}
	a.roster.mu.Lock()
	defer a.roster.mu.Unlock()
	a.roster.reportMalformedLoad(a.upstream, requestID, text)
}

// reportMalformedLoad calls Config.OnMalformedLoad for the first malformed load of u. The caller
// must hold mu.
func (r *Roster) reportMalformedLoad(u *upstream, requestID, text string) {
	if r.cfg.OnMalformedLoad == nil || u.hasMalformedLoad {
		return
	}
	u.hasMalformedLoad = true
	r.cfg.OnMalformedLoad(MalformedLoad{Upstream: u.ID, Service: u.Service, Text: text, RequestID: requestID})
}

// SharedSpeeds returns the number of upstreams of which all routers together know the load.
func (r *Roster) SharedSpeeds() int {
	now := r.cfg.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, u := range r.byID {
		if _, isKnown := r.sharedSpeed(u, now); isKnown {
			n++
		}
	}
	return n
}
