package kcwgateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"kingcupwick.example/kcw/kcwbreaker"
	"kingcupwick.example/kcw/kcwmember"
	"kingcupwick.example/kcw/kcwpick"
	"kingcupwick.example/kcw/kcwqueue"
	"kingcupwick.example/kcw/kcwretry"
	"kingcupwick.example/kcw/kcwupstream"
)

// The rules of the policies. A priority is the sum of the contract's and the
// team's, each from 0 to 9.
const (
	priorities = 19
	queueAging = 2 * time.Second
	// queueReserve is the part of the slots kept for contracts inside their shares,
	// queueMemory the time over which shares are measured.
	queueReserve = 0.1
	queueMemory  = 10 * time.Second
	queueHold    = 2 * time.Second
	loadHalfLife = 300 * time.Millisecond
	zoneMargin   = 0.1
	prefixMargin = 0.5
	pickRoom     = 0.95
	// abandonAfter is after how many silence timeouts without a load report a
	// call that waits for an answer in one piece is tried elsewhere.
	abandonAfter     = 3
	retryRatio       = 0.1
	retryBurst       = 10
	retryPauseFirst  = 10 * time.Millisecond
	retryPauseMost   = 500 * time.Millisecond
	breakerWindow    = 10 * time.Second
	breakerCalls     = 20
	breakerRate      = 0.5
	breakerSlowRate  = 0.9
	breakerRun       = 5
	breakerProbes    = 2
	breakerPause     = 500 * time.Millisecond
	breakerPauseMost = 30 * time.Second
)

// pool holds the upstreams of all services. Lock order: a lane's mu is never
// held while a policy is called; the Picker calls members and breakers under
// its own lock, which call nothing.
type pool struct {
	now func() time.Time
	// routers is how many routers share the upstreams.
	routers atomic.Int64
	members *kcwmember.Table
	picker  *kcwpick.Picker
	targets map[string]*target
	lanes   map[string]*lane
	nextID  atomic.Uint64
	// silence is how long after its last load report an upstream is given work.
	silence time.Duration
}

// lane is the queue and retry budget of one service.
type lane struct {
	service string
	queue   *kcwqueue.Queue
	retries *kcwretry.Budget

	mu sync.Mutex
	// waiting holds, by item, where the item's fate is told: true if it starts.
	waiting map[uint64]chan bool
}

func newPool(cfg Config) (*pool, error) {
	seed := cfg.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	members, err := kcwmember.New(kcwmember.Config{Silence: cfg.SilenceTimeout})
	if err != nil {
		return nil, eris.Wrap(err, "members")
	}
	picker, err := kcwpick.New(kcwpick.Config{
		Zone: cfg.Zone, HalfLife: loadHalfLife, ZoneMargin: zoneMargin, PrefixMargin: prefixMargin, MaxUtilization: pickRoom, YieldRange: cfg.PrefixYield,
		Rand: rand.New(rand.NewPCG(seed, 0)),
	})
	if err != nil {
		return nil, eris.Wrap(err, "picker")
	}
	p := &pool{now: cfg.Now, silence: cfg.SilenceTimeout, members: members, picker: picker, targets: map[string]*target{}, lanes: map[string]*lane{}}
	p.routers.Store(int64(cfg.Routers))
	for i, u := range cfg.Upstreams {
		if err := p.add(cfg, u, seed, uint64(i+1)); err != nil {
			return nil, eris.Wrapf(err, "upstream %s", u.Name())
		}
	}
	return p, nil
}

// add makes an upstream and its lane known.
func (p *pool) add(cfg Config, u *kcwupstream.Upstream, seed, stream uint64) error {
	if err := p.picker.Add(u.Service(), u.Name(), u.Zone(), cfg.UpstreamCapacity); err != nil {
		return err
	}
	breaker, err := kcwbreaker.New(kcwbreaker.Config{
		Window: breakerWindow, MinCalls: breakerCalls, FailureRate: breakerRate, SlowRate: breakerSlowRate,
		ConsecutiveFailures: breakerRun, SlowAfter: cfg.AnswerTimeout, Probes: breakerProbes, ProbeTimeout: cfg.AnswerTimeout,
		InitialBackoff: breakerPause, MaxBackoff: breakerPauseMost, Rand: rand.New(rand.NewPCG(seed, 3*stream)),
	})
	if err != nil {
		return err
	}
	p.members.Add(u.Name())
	p.targets[u.Name()] = &target{upstream: u, breaker: breaker, answeredAt: p.now(), waiting: map[uint64]func(){}}
	if p.lanes[u.Service()] != nil {
		return nil
	}
	queue, err := kcwqueue.New(kcwqueue.Config{
		Capacity: cfg.QueueCapacity, Priorities: priorities, Aging: queueAging, InitialHold: queueHold,
		Reserve: queueReserve, UsageTimeConstant: queueMemory,
		Rand: rand.New(rand.NewPCG(seed, 3*stream+1)),
	})
	if err != nil {
		return err
	}
	retries, err := kcwretry.New(kcwretry.Config{
		Ratio: retryRatio, Burst: retryBurst, InitialBalance: cfg.FirstRetries, InitialBackoff: retryPauseFirst, MaxBackoff: retryPauseMost,
		Rand: rand.New(rand.NewPCG(seed, 3*stream+2)),
	})
	if err != nil {
		return err
	}
	p.lanes[u.Service()] = &lane{service: u.Service(), queue: queue, retries: retries, waiting: map[uint64]chan bool{}}
	return nil
}

// usable says whether an upstream may be given a request now.
func (p *pool) usable(name string) bool {
	now := p.now()
	return p.members.Usable(now, name) && p.targets[name].breaker.Ready(now)
}

// poll asks each upstream for its load until ctx ends.
func (p *pool) poll(ctx context.Context, interval time.Duration) {
	var all sync.WaitGroup
	for _, t := range p.targets {
		all.Go(func() { p.pollOne(ctx, t.upstream, interval) })
	}
	all.Wait()
}

func (p *pool) pollOne(ctx context.Context, u *kcwupstream.Upstream, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		p.report(ctx, u)
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// report takes one load report.
func (p *pool) report(ctx context.Context, u *kcwupstream.Upstream) {
	sent := p.now()
	err := u.Poll(ctx)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		p.members.Suspect(p.now(), u.Name())
		if p.hasOther(u) {
			p.targets[u.Name()].abandon(p.now(), abandonAfter*p.silence)
		}
	} else {
		p.targets[u.Name()].answered(p.now())
		p.members.Answered(p.now(), u.Name(), sent, u.Draining())
		running, waiting, capacity, at := u.Load()
		if capacity > 0 {
			p.picker.Report(u.Name(), kcwpick.Load{Running: running, Waiting: waiting, Capacity: capacity, At: at})
		}
	}
	p.resize(u.Service())
}

// hasOther says whether another upstream of the service may be given work.
func (p *pool) hasOther(u *kcwupstream.Upstream) bool {
	for name, t := range p.targets {
		if name != u.Name() && t.upstream.Service() == u.Service() && p.usable(name) {
			return true
		}
	}
	return false
}

// resize gives the lane of a service this router's part of the slots that its
// usable upstreams have, rounded up.
func (p *pool) resize(service string) {
	l := p.lanes[service]
	routers := int(p.routers.Load())
	slots := (p.picker.Capacity(service, p.usable) + routers - 1) / routers
	started, expired := l.queue.SetSlots(p.now(), slots)
	l.tell(started, true)
	l.tell(expired, false)
}

// leave notes a sign that an upstream must get no more work.
func (p *pool) leave(u *kcwupstream.Upstream, draining bool) {
	if draining {
		p.members.Draining(p.now(), u.Name())
	} else {
		p.members.Suspect(p.now(), u.Name())
	}
	p.resize(u.Service())
}

// place is a running item of a lane.
type place struct {
	pool *pool
	lane *lane
	id   uint64
}

// release frees the place of a request that cost so many tokens.
func (p *place) release(cost int64) {
	started, expired := p.lane.queue.Release(p.pool.now(), p.id, max(float64(cost), 1))
	p.lane.tell(started, true)
	p.lane.tell(expired, false)
}

// admit waits until req may start. It is refused at once if it cannot start
// before its deadline.
func (p *pool) admit(ctx context.Context, req *request) (*place, *refusal) {
	now := p.now()
	l := p.lanes[req.service]
	if l == nil || p.picker.Capacity(req.service, p.usable) == 0 {
		return nil, refuse(codeNoUpstream, now, "")
	}
	item := p.item(req, now)
	fate := l.expect(item.ID)
	started, evicted, err := l.queue.Offer(now, item)
	if evicted != nil {
		l.tell([]kcwqueue.Item{*evicted}, false)
	}
	if err != nil {
		l.forget(item.ID)
		return nil, queueRefusal(err, now)
	}
	if started {
		l.forget(item.ID)
		return &place{pool: p, lane: l, id: item.ID}, nil
	}
	return p.await(ctx, l, item, fate)
}

// await waits for the fate of an item in the queue.
func (p *pool) await(ctx context.Context, l *lane, item kcwqueue.Item, fate <-chan bool) (*place, *refusal) {
	timer := time.NewTimer(item.Deadline.Sub(p.now()))
	defer timer.Stop()
	var ended error
	select {
	case starts := <-fate:
		return p.placed(l, item, starts)
	case <-timer.C:
	case <-ctx.Done():
		ended = ctx.Err()
	}
	if !l.queue.Cancel(item.ID) {
		return p.placed(l, item, <-fate)
	}
	l.forget(item.ID)
	if ended != nil {
		return nil, refuse(codeCallerGone, p.now(), "").as(notRun, true)
	}
	return p.placed(l, item, false)
}

// placed returns the place of an item that starts, or its refusal.
func (p *pool) placed(l *lane, item kcwqueue.Item, starts bool) (*place, *refusal) {
	if starts {
		return &place{pool: p, lane: l, id: item.ID}, nil
	}
	now := p.now()
	return nil, refuse(codeQueueFull, now, "").until(l.queue.RetryAt(now, item))
}

// item returns the queue's view of a request.
func (p *pool) item(req *request, now time.Time) kcwqueue.Item {
	return kcwqueue.Item{
		ID:       p.nextID.Add(1),
		Contract: req.contract.Customer, Team: req.team.Name,
		ContractWeight: float64(max(req.contract.Weight, 1)), TeamWeight: float64(max(req.team.Weight, 1)),
		Priority: int(req.priority()),
		Cost:     max(float64(req.reserve), 1),
		Deadline: req.contract.Limits.DeadlineAt(now),
	}
}

func queueRefusal(err error, now time.Time) *refusal {
	var failure *kcwqueue.Error
	if errors.As(err, &failure) && !failure.RetryAt.IsZero() {
		return refuse(codeQueueFull, now, "").until(failure.RetryAt)
	}
	return refuse(codeQueueFull, now, "")
}

// expect returns where the fate of an item will be told.
func (l *lane) expect(id uint64) <-chan bool {
	fate := make(chan bool, 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting[id] = fate
	return fate
}

func (l *lane) forget(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, id)
}

// tell gives items their fate.
func (l *lane) tell(items []kcwqueue.Item, starts bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, item := range items {
		if fate, ok := l.waiting[item.ID]; ok {
			delete(l.waiting, item.ID)
			fate <- starts
		}
	}
}
