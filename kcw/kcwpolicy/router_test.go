package kcwpolicy

import (
	"math/rand/v2"
	"time"

	"kingcupwick.example/kcw/kcwavailability"
	"kingcupwick.example/kcw/kcwbreaker"
	"kingcupwick.example/kcw/kcwpick"
	"kingcupwick.example/kcw/kcwqueue"
	"kingcupwick.example/kcw/kcwretry"
)

const (
	firstDeadline = 5 * time.Second // of the caller, for the first token
	tryDeadline   = 2 * time.Second // of the router, for the first token of one try
	maxTries      = 5
)

// variant is a combination of policies.
type variant struct {
	name     string
	pick     string // "picker", "round robin" or "least"
	queue    bool
	budget   bool // retry budget; without it, up to maxTries tries
	guard    bool // circuit breakers and availability
	noPrefix bool // requests have no prefix
	tune     func(*kcwpick.Config)
}

// request is one request of a caller.
type request struct {
	contract int
	prefix   uint64
	tokens   int
	arrived  time.Time
	tries    int
	excluded map[string]bool
	state    int    // 0 in progress, 1 first token received, 2 ended
	cancel   func() // ends the current try; nil if there is none
}

// router is a fake router that uses the policies of a variant.
type router struct {
	fleet        *fleet
	zone         string
	rng          *rand.Rand
	picker       *kcwpick.Picker
	availability *kcwavailability.Table
	queue        *kcwqueue.Queue
	budget       *kcwretry.Budget
	breakers     map[string]*kcwbreaker.Breaker
	inFlight     map[string]int
	nextEngine   int
	waiting      map[uint64]*request
	nextID       uint64
	slots        int
}

func newRouter(f *fleet, i int) *router {
	r := &router{
		fleet: f, zone: f.engines[i%3].zone, rng: newRand(f.seed, uint64(1000+i)),
		breakers: make(map[string]*kcwbreaker.Breaker), inFlight: make(map[string]int), waiting: make(map[uint64]*request),
	}
	r.nextEngine = newRand(f.seed, uint64(100000+i)).IntN(len(f.engines)) // each router starts its round robin at a random engine
	cfg := kcwpick.Config{Zone: r.zone, HalfLife: 300 * time.Millisecond, ZoneMargin: 0.1, PrefixMargin: 0.5, MaxUtilization: 0.95, Rand: r.rng}
	if f.variant.tune != nil {
		f.variant.tune(&cfg)
	}
	r.picker = must(kcwpick.New(cfg))
	r.availability = must(kcwavailability.New(kcwavailability.Config{Silence: 5 * time.Second}))
	r.slots = engineSlots * len(f.engines) / f.scenario.routers
	r.queue = must(kcwqueue.New(kcwqueue.Config{
		Slots: r.slots, Reserve: 0.1, UsageTimeConstant: 10 * time.Second, Capacity: 4 * r.slots, Priorities: 3, Aging: time.Second, InitialHold: 20 * time.Second, Rand: r.rng,
	}))
	r.budget = must(kcwretry.New(kcwretry.Config{
		Ratio: 0.1, Burst: 20, InitialBackoff: 20 * time.Millisecond, MaxBackoff: time.Second, Rand: r.rng,
	}))
	for _, e := range f.engines {
		if err := r.picker.Add("model", e.name, e.zone, engineSlots); err != nil {
			panic(err)
		}
		r.breakers[e.name] = must(kcwbreaker.New(kcwbreaker.Config{
			Window: 10 * time.Second, MinCalls: 8, FailureRate: 0.5, SlowRate: 0.5, ConsecutiveFailures: 3, SlowAfter: time.Second,
			Probes: 2, ProbeTimeout: 5 * time.Second, InitialBackoff: time.Second, MaxBackoff: 20 * time.Second, Rand: r.rng,
		}))
		r.availability.Answered(f.clock.now, e.name, f.clock.now, false)
	}
	return r
}

// arrive accepts a request from a caller.
func (r *router) arrive(req *request) {
	r.fleet.clock.after(firstDeadline, func() { r.giveUp(req) })
	if !r.fleet.variant.queue {
		r.dispatch(req, 0)
		return
	}
	now := r.fleet.clock.now
	r.nextID++
	item := kcwqueue.Item{
		ID: r.nextID, Contract: contractName(req.contract), Team: "team", ContractWeight: 1, TeamWeight: 1,
		Priority: 1, Cost: float64(req.tokens), Deadline: now.Add(firstDeadline),
	}
	r.waiting[item.ID] = req
	started, evicted, err := r.queue.Offer(now, item)
	if evicted != nil {
		r.refuse(evicted.ID)
	}
	switch {
	case err != nil:
		r.refuse(item.ID)
	case started:
		r.dispatch(req, item.ID)
	}
}

// refuse ends a queued request as refused.
func (r *router) refuse(id uint64) {
	r.fleet.recordOutcome(r.waiting[id], "refused")
	delete(r.waiting, id)
}

// dispatch sends one try of a request.
func (r *router) dispatch(req *request, id uint64) {
	clock := r.fleet.clock
	name, ok := r.choose(req)
	if !ok || req.state == 2 {
		r.fleet.recordOutcome(req, "refused")
		r.release(req, id)
		return
	}
	if req.tries++; req.tries == 1 {
		r.budget.Deposit()
		r.fleet.firstTries++
	} else {
		r.fleet.retries++
	}
	began := clock.now
	ticket, _ := r.breakers[name].Begin(began)
	r.inFlight[name]++
	e := r.fleet.byName[name]
	t := &try{prefix: req.prefix, tokens: req.tokens}
	ended := false
	finish := func() {
		ended = true
		req.cancel = nil
		r.inFlight[name]--
		r.picker.Finished(clock.now, name)
	}
	req.cancel = func() {
		e.remove(t)
		finish()
		r.breakers[name].Cancel(ticket)
		r.release(req, id)
	}
	failed := func() {
		if ended {
			return
		}
		finish()
		r.breakers[name].Fail(clock.now, ticket)
		req.exclude(name)
		r.retry(req, id)
	}
	t.rejected = failed
	t.first = func(hit bool) {
		r.breakers[name].Succeed(clock.now, ticket, began)
		r.fleet.recordFirstToken(req, hit, e.zone == r.zone)
	}
	t.ended = func() { finish(); r.fleet.recordOutcome(req, "ok"); r.release(req, id) }
	clock.after(networkDelay, func() { e.accept(t) })
	clock.after(tryDeadline, func() {
		if !ended && req.state != 1 {
			e.remove(t)
			failed()
		}
	})
}

// retry retries a request if that is allowed, and otherwise ends it as failed.
func (r *router) retry(req *request, id uint64) {
	allowed := req.state == 0 && req.tries < maxTries
	if allowed && r.fleet.variant.budget {
		allowed = r.budget.TryWithdraw()
	}
	if !allowed {
		r.fleet.recordOutcome(req, "failed")
		r.release(req, id)
		return
	}
	retryAt := r.fleet.clock.now
	if r.fleet.variant.budget {
		retryAt = r.budget.BackoffUntil(retryAt, req.tries)
	}
	r.fleet.clock.at(retryAt, func() { r.dispatch(req, id) })
}

// release frees the request's slot and dispatches the requests that start.
func (r *router) release(req *request, id uint64) {
	if id == 0 {
		return
	}
	delete(r.waiting, id)
	r.handle(r.queue.Release(r.fleet.clock.now, id, float64(req.tokens)))
}

// handle refuses the expired items of the queue and dispatches the started ones.
func (r *router) handle(started, expired []kcwqueue.Item) {
	for _, item := range expired {
		r.refuse(item.ID)
	}
	for _, item := range started {
		r.dispatch(r.waiting[item.ID], item.ID)
	}
}

// giveUp ends a request as late if its caller has received no first token by the
// deadline.
func (r *router) giveUp(req *request) {
	for _, item := range r.queue.Expire(r.fleet.clock.now) {
		r.refuse(item.ID)
	}
	if req.state != 0 {
		return
	}
	r.fleet.recordOutcome(req, "late")
	if req.cancel != nil {
		req.cancel()
	}
}

// choose chooses an upstream by the policy of the variant.
func (r *router) choose(req *request) (string, bool) {
	now := r.fleet.clock.now
	usable := func(name string) bool {
		if req.excluded[name] {
			return false
		}
		return !r.fleet.variant.guard || r.availability.Usable(now, name) && r.breakers[name].Ready(now)
	}
	if r.fleet.variant.pick == "picker" {
		prefix := req.prefix
		if r.fleet.variant.noPrefix {
			prefix = 0
		}
		return r.picker.Pick(now, "model", prefix, usable)
	}
	best := ""
	for i := range r.fleet.engines {
		name := r.fleet.engines[(r.nextEngine+i)%len(r.fleet.engines)].name
		if usable(name) && (best == "" || r.fleet.variant.pick == "least" && r.inFlight[name] < r.inFlight[best]) {
			best = name
		}
	}
	r.nextEngine++
	return best, best != ""
}

func (req *request) exclude(name string) {
	if req.excluded == nil {
		req.excluded = make(map[string]bool)
	}
	req.excluded[name] = true
}

// poll handles the result of polling an engine: its load report, or a failure if ok is
// false.
func (r *router) poll(e *engine, load kcwpick.Load, ok bool) {
	if !ok {
		r.availability.Suspect(r.fleet.clock.now, e.name)
		return
	}
	r.picker.Report(e.name, load)
	r.availability.Answered(r.fleet.clock.now, e.name, load.At, false)
}
