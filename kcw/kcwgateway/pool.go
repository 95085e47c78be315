package kcwgateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"kingcupwick.example/kcw/kcwavailability"
	"kingcupwick.example/kcw/kcwbreaker"
	"kingcupwick.example/kcw/kcwpick"
	"kingcupwick.example/kcw/kcwqueue"
	"kingcupwick.example/kcw/kcwretry"
	"kingcupwick.example/kcw/kcwupstream"
)

// Parameters of the queues, the picker, the retry budgets and the circuit breakers.
const (
	// priorities is the number of priorities: the sum of the contract's and the
	// team's, each from 0 to 9, is at most 18.
	priorities = 19
	// queueAging is the time after which the waiting requests of a team and priority
	// rise by one priority if none of them has started.
	queueAging = 2 * time.Second
	// queueReserve is the fraction of the slots that only contracts within their
	// shares may use. queueTimeConstant is the time constant of the mean use that
	// determines whether a contract is within its share.
	queueReserve       = 0.1
	queueTimeConstant  = 10 * time.Second
	queueInitialHold   = 2 * time.Second
	loadHalfLife       = 300 * time.Millisecond
	zoneMargin         = 0.1
	prefixMargin       = 0.5
	pickMaxUtilization = 0.95
	// silenceTimeoutsBeforeRetry is the number of silence timeouts without a load
	// report after which a call whose answer comes in one piece is tried on another
	// upstream instead.
	silenceTimeoutsBeforeRetry = 3
	retryRatio                 = 0.1
	retryBurst                 = 10
	retryInitialBackoff        = 10 * time.Millisecond
	retryMaxBackoff            = 500 * time.Millisecond
	breakerWindow              = 10 * time.Second
	breakerMinCalls            = 20
	breakerFailureRate         = 0.5
	breakerSlowRate            = 0.9
	breakerConsecutiveFailures = 5
	breakerProbes              = 2
	breakerInitialBackoff      = 500 * time.Millisecond
	breakerMaxBackoff          = 30 * time.Second
)

// pool holds the upstreams of all services. Lock order: the mu of a serviceQueue is
// not held while a queue, retry budget, picker, availability table or breaker is
// called. The Picker calls the availability table and the breakers under its own lock;
// these call no other component.
type pool struct {
	now func() time.Time
	// routers is the number of routers that share the upstreams.
	routers      atomic.Int64
	availability *kcwavailability.Table
	picker       *kcwpick.Picker
	targets      map[string]*target
	services     map[string]*serviceQueue
	nextID       atomic.Uint64
	// silenceTimeout is the maximum age of the last load report of an upstream that
	// gets requests.
	silenceTimeout time.Duration
}

// serviceQueue is the queue and the retry budget of one service.
type serviceQueue struct {
	service string
	queue   *kcwqueue.Queue
	retries *kcwretry.Budget

	mu sync.Mutex
	// waiting holds a channel for each queued item. It receives true if the item
	// starts, and false if it is evicted or expires.
	waiting map[uint64]chan bool
}

func newPool(cfg Config) (*pool, error) {
	seed := cfg.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	availability, err := kcwavailability.New(kcwavailability.Config{Silence: cfg.SilenceTimeout})
	if err != nil {
		return nil, eris.Wrap(err, "members")
	}
	picker, err := kcwpick.New(kcwpick.Config{
		Zone: cfg.Zone, HalfLife: loadHalfLife, ZoneMargin: zoneMargin, PrefixMargin: prefixMargin, MaxUtilization: pickMaxUtilization, YieldRange: cfg.PrefixYield,
		Rand: rand.New(rand.NewPCG(seed, 0)),
	})
	if err != nil {
		return nil, eris.Wrap(err, "picker")
	}
	p := &pool{now: cfg.Now, silenceTimeout: cfg.SilenceTimeout, availability: availability, picker: picker, targets: map[string]*target{}, services: map[string]*serviceQueue{}}
	p.routers.Store(int64(cfg.Routers))
	for i, u := range cfg.Upstreams {
		if err := p.addUpstream(cfg, u, seed, uint64(i+1)); err != nil {
			return nil, eris.Wrapf(err, "upstream %s", u.Name())
		}
	}
	return p, nil
}

// addUpstream adds an upstream, and the queue of its service if it is the first one.
func (p *pool) addUpstream(cfg Config, u *kcwupstream.Upstream, seed, stream uint64) error {
	if err := p.picker.Add(u.Service(), u.Name(), u.Zone(), cfg.UpstreamCapacity); err != nil {
		return err
	}
	breaker, err := kcwbreaker.New(kcwbreaker.Config{
		Window: breakerWindow, MinCalls: breakerMinCalls, FailureRate: breakerFailureRate, SlowRate: breakerSlowRate,
		ConsecutiveFailures: breakerConsecutiveFailures, SlowAfter: cfg.AnswerTimeout, Probes: breakerProbes, ProbeTimeout: cfg.AnswerTimeout,
		InitialBackoff: breakerInitialBackoff, MaxBackoff: breakerMaxBackoff, Rand: rand.New(rand.NewPCG(seed, 3*stream)),
	})
	if err != nil {
		return err
	}
	p.availability.Add(u.Name())
	p.targets[u.Name()] = &target{upstream: u, breaker: breaker, lastReportAt: p.now(), replaceCalls: map[uint64]func(){}}
	if p.services[u.Service()] != nil {
		return nil
	}
	queue, err := kcwqueue.New(kcwqueue.Config{
		Capacity: cfg.QueueCapacity, Priorities: priorities, Aging: queueAging, InitialHold: queueInitialHold,
		Reserve: queueReserve, UsageTimeConstant: queueTimeConstant,
		Rand: rand.New(rand.NewPCG(seed, 3*stream+1)),
	})
	if err != nil {
		return err
	}
	retries, err := kcwretry.New(kcwretry.Config{
		Ratio: retryRatio, Burst: retryBurst, InitialBalance: cfg.FirstRetries, InitialBackoff: retryInitialBackoff, MaxBackoff: retryMaxBackoff,
		Rand: rand.New(rand.NewPCG(seed, 3*stream+2)),
	})
	if err != nil {
		return err
	}
	p.services[u.Service()] = &serviceQueue{service: u.Service(), queue: queue, retries: retries, waiting: map[uint64]chan bool{}}
	return nil
}

// usable reports whether an upstream may get a request now.
func (p *pool) usable(name string) bool {
	now := p.now()
	return p.availability.Usable(now, name) && p.targets[name].breaker.Ready(now)
}

// poll fetches the load of all upstreams at the interval until ctx ends.
func (p *pool) poll(ctx context.Context, interval time.Duration) {
	var all sync.WaitGroup
	for _, t := range p.targets {
		all.Go(func() { p.pollUpstream(ctx, t.upstream, interval) })
	}
	all.Wait()
}

func (p *pool) pollUpstream(ctx context.Context, u *kcwupstream.Upstream, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		p.fetchLoad(ctx, u)
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// fetchLoad fetches one load report and applies it.
func (p *pool) fetchLoad(ctx context.Context, u *kcwupstream.Upstream) {
	sent := p.now()
	err := u.Poll(ctx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		p.availability.Suspect(p.now(), u.Name())
		if p.hasAlternative(u) {
			p.targets[u.Name()].replaceIfSilent(p.now(), silenceTimeoutsBeforeRetry*p.silenceTimeout)
		}
	} else {
		p.targets[u.Name()].recordReport(p.now())
		p.availability.Answered(p.now(), u.Name(), sent, u.Draining())
		running, waiting, capacity, at := u.Load()
		if capacity > 0 {
			p.picker.Report(u.Name(), kcwpick.Load{Running: running, Waiting: waiting, Capacity: capacity, At: at})
		}
	}
	p.resize(u.Service())
}

// hasAlternative reports whether another upstream of the service is usable.
func (p *pool) hasAlternative(u *kcwupstream.Upstream) bool {
	for name, t := range p.targets {
		if name != u.Name() && t.upstream.Service() == u.Service() && p.usable(name) {
			return true
		}
	}
	return false
}

// resize sets the slots of a service's queue to this router's part of the capacity
// of the usable upstreams, rounded up.
func (p *pool) resize(service string) {
	q := p.services[service]
	routers := int(p.routers.Load())
	slots := (p.picker.Capacity(service, p.usable) + routers - 1) / routers
	started, expired := q.queue.SetSlots(p.now(), slots)
	q.notify(started, true)
	q.notify(expired, false)
}

// markUnavailable records that an upstream is draining or, if draining is false, that
// a call to it has failed.
func (p *pool) markUnavailable(u *kcwupstream.Upstream, draining bool) {
	if draining {
		p.availability.Draining(p.now(), u.Name())
	} else {
		p.availability.Suspect(p.now(), u.Name())
	}
	p.resize(u.Service())
}

// slot is a slot in the queue of a service, held by one request while it runs.
type slot struct {
	pool    *pool
	service *serviceQueue
	id      uint64
}

// release frees the slot of a request that used cost tokens.
func (p *slot) release(cost int64) {
	started, expired := p.service.queue.Release(p.pool.now(), p.id, max(float64(cost), 1))
	p.service.notify(started, true)
	p.service.notify(expired, false)
}

// acquireSlot waits until req may start. It refuses at once a request that cannot
// start before its deadline.
func (p *pool) acquireSlot(ctx context.Context, req *request) (*slot, *refusal) {
	now := p.now()
	q := p.services[req.service]
	if q == nil || p.picker.Capacity(req.service, p.usable) == 0 {
		return nil, refuse(codeNoUpstream, now, "")
	}
	item := p.queueItem(req, now)
	decision := q.subscribe(item.ID)
	started, evicted, err := q.queue.Offer(now, item)
	if evicted != nil {
		q.notify([]kcwqueue.Item{*evicted}, false)
	}
	if err != nil {
		q.unsubscribe(item.ID)
		return nil, queueRefusal(err, now)
	}
	if started {
		q.unsubscribe(item.ID)
		return &slot{pool: p, service: q, id: item.ID}, nil
	}
	return p.awaitDecision(ctx, q, item, decision)
}

// awaitDecision waits until a queued item starts or leaves the queue.
func (p *pool) awaitDecision(ctx context.Context, q *serviceQueue, item kcwqueue.Item, decision <-chan bool) (*slot, *refusal) {
	timer := time.NewTimer(item.Deadline.Sub(p.now()))
	defer timer.Stop()
	var ctxErr error
	select {
	case starts := <-decision:
		return p.slotOrRefusal(q, item, starts)
	case <-timer.C:
	case <-ctx.Done():
		ctxErr = ctx.Err()
	}
	if !q.queue.Cancel(item.ID) {
		return p.slotOrRefusal(q, item, <-decision)
	}
	q.unsubscribe(item.ID)
	if ctxErr != nil {
		return nil, refuse(codeCallerGone, p.now(), "").withOutcome(notRun, true)
	}
	return p.slotOrRefusal(q, item, false)
}

// slotOrRefusal returns the slot of an item that starts, or else its refusal.
func (p *pool) slotOrRefusal(q *serviceQueue, item kcwqueue.Item, starts bool) (*slot, *refusal) {
	if starts {
		return &slot{pool: p, service: q, id: item.ID}, nil
	}
	now := p.now()
	return nil, refuse(codeQueueFull, now, "").withRetryAt(q.queue.RetryAt(now, item))
}

// queueItem returns the queue item for a request.
func (p *pool) queueItem(req *request, now time.Time) kcwqueue.Item {
	return kcwqueue.Item{
		ID:       p.nextID.Add(1),
		Contract: req.contract.Customer, Team: req.team.Name,
		ContractWeight: float64(max(req.contract.Weight, 1)), TeamWeight: float64(max(req.team.Weight, 1)),
		Priority: int(req.priority()),
		Cost:     max(float64(req.reservation), 1),
		Deadline: req.contract.Limits.DeadlineAt(now),
	}
}

func queueRefusal(err error, now time.Time) *refusal {
	var failure *kcwqueue.Error
	if errors.As(err, &failure) && !failure.RetryAt.IsZero() {
		return refuse(codeQueueFull, now, "").withRetryAt(failure.RetryAt)
	}
	return refuse(codeQueueFull, now, "")
}

// subscribe returns a channel that receives true when the item starts, or false when
// it is evicted or expires.
func (q *serviceQueue) subscribe(id uint64) <-chan bool {
	decision := make(chan bool, 1)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting[id] = decision
	return decision
}

func (q *serviceQueue) unsubscribe(id uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiting, id)
}

// notify sends starts to the channels of the items and removes them.
func (q *serviceQueue) notify(items []kcwqueue.Item, starts bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, item := range items {
		if decision, ok := q.waiting[item.ID]; ok {
			delete(q.waiting, item.ID)
			decision <- starts
		}
	}
}
