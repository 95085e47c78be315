// Package kcwquota connects a router of a document-driven fleet with the rate limits that
// upstreams name. It collects what answers state about them for the core and for other
// routers, and holds the permits for requests to upstreams with a limit.
package kcwquota

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"kingcupwick.example/kcw/kcwcold"
	"kingcupwick.example/kcw/kcwlog"
	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwpermit"
	"kingcupwick.example/kcw/kcwratelimit"
	"kingcupwick.example/kcw/kcwroster"
)

// Config configures a Quota. Every field but Cold is needed.
type Config struct {
	// OnMalformed is called for the first limit of an upstream that can't be read.
	OnMalformed func()
	// OnHeld is called with the service of a request for which there was no permit.
	OnHeld func(service string)
	// Ask asks the core for a permit for the first of the upstreams that has one, and
	// returns that upstream, empty if none has. Spare is the part of the upstream's permits
	// that is left to others, zero to one. AskTimeout bounds one call.
	Ask        func(ctx context.Context, upstreams []string, spare float64) (string, error)
	AskTimeout time.Duration
	// Cold configures the limits of cold upstreams. Its zero value limits none.
	Cold kcwcold.Config
	// Rand is the source of random numbers. No other code may use it.
	Rand *rand.Rand
	// Now returns a time that advances while the host is suspended.
	Now func() time.Time
}

// Quota holds the rate limits of the upstreams and the permits of this router. It is safe
// for concurrent use. Lock order: mu before the lock of the table.
type Quota struct {
	cfg   Config
	table *kcwratelimit.Table
	// limited is the number of upstreams with a limit in force.
	limited atomic.Int64
	// coldUntil is when the last of the cold upstreams stops being cold, in nanoseconds since
	// the epoch by Config.Now, zero if none is cold.
	coldUntil atomic.Int64

	// mu guards the fields below.
	mu    sync.Mutex
	stock *kcwpermit.Stock
	cold  coldState
	// services counts the upstreams with a limit in force.
	services map[string]*service
	// malformed holds the upstreams that have named a limit that can't be read.
	malformed map[string]bool
	// pending holds the upstreams whose newest limit the core may not have, sent those of
	// them that are in the report under way.
	pending, sent map[string]bool
	// version is the version of the core's limits that this router has, collector the
	// process that has been told the limits of this router.
	version, collector uint64
	routers            int
}

// service sums up the limits in force of the upstreams of one service.
type service struct {
	upstreams int
	perSecond float64
}

// New returns a Quota without limits.
func New(cfg Config) *Quota {
	return &Quota{
		cfg: cfg, table: kcwratelimit.NewTable(), stock: kcwpermit.NewStock(cfg.Rand), services: map[string]*service{},
		malformed: map[string]bool{}, pending: map[string]bool{}, cold: newColdState(cfg.Cold),
	}
}

// Observe implements the limiter of kcwroster.
func (q *Quota) Observe(notice kcwroster.LimitNotice) {
	q.answered(notice.Upstream)
	if notice.Malformed != "" {
		q.recordMalformed(notice)
		return
	}
	if notice.PerSecond == 0 {
		if _, found := q.table.Get(notice.Upstream); !found || !notice.MayLoosen {
			return
		}
	}
	now := q.cfg.Now()
	l := kcwratelimit.Limit{Upstream: notice.Upstream, Service: notice.Service, PerSecond: notice.PerSecond, AnsweredAt: now}
	if notice.MayLoosen {
		l.SentAt = now.Add(-notice.Elapsed)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.apply(l, "Answer", notice.RequestID) {
		q.pending[l.Upstream] = true
	}
}

// apply puts a limit in force unless a newer one is, which it reports, and logs a change.
// Source is where the limit comes from. The caller holds mu.
func (q *Quota) apply(l kcwratelimit.Limit, source, requestID string) bool {
	before, changed := q.table.Apply(l)
	newest, _ := q.table.Get(l.Upstream)
	if !changed {
		return newest == l
	}
	q.count(before, -1)
	q.count(l, 1)
	if before.PerSecond > 0 && (l.PerSecond == 0 || l.PerSecond < before.PerSecond) {
		q.stock.Void(l.Upstream)
	}
	klog.InfoS("Rate limit changed", "Upstream", l.Upstream, "PerSecond", l.PerSecond, "Before", before.PerSecond,
		"Source", source, "Request", requestID, "Age", q.cfg.Now().Sub(l.AnsweredAt).String())
	return true
}

// count adds n times the limit l to the sums, if it is in force. The caller holds mu.
func (q *Quota) count(l kcwratelimit.Limit, n int) {
	if l.PerSecond == 0 {
		return
	}
	sum := q.services[l.Service]
	if sum == nil {
		sum = &service{}
		q.services[l.Service] = sum
	}
	sum.upstreams += n
	sum.perSecond += float64(n) * l.PerSecond
	q.limited.Add(int64(n))
	if sum.upstreams == 0 {
		delete(q.services, l.Service)
	}
}

// recordMalformed logs and counts a limit that can't be read, once for each upstream. The
// limit in force stays: the upstream still names one, and no figure tells how it has changed.
func (q *Quota) recordMalformed(notice kcwroster.LimitNotice) {
	q.mu.Lock()
	isKnown := q.malformed[notice.Upstream]
	q.malformed[notice.Upstream] = true
	q.mu.Unlock()
	if isKnown {
		return
	}
	q.cfg.OnMalformed()
	inForce, _ := q.table.Get(notice.Upstream)
	klog.InfoS("Rate limit can't be read", "Upstream", notice.Upstream, "Text", notice.Malformed, "Request", notice.RequestID, "InForce", inForce.PerSecond)
}

// Retain implements the limiter of kcwroster.
func (q *Quota) Retain(isListed func(upstream string) bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, l := range q.table.Expire(isListed, q.cfg.Now()) {
		q.count(l, -1)
		q.stock.Void(l.Upstream)
		delete(q.pending, l.Upstream)
	}
	for id := range q.malformed {
		if !isListed(id) {
			delete(q.malformed, id)
		}
	}
}

// IsLimiting implements the limiter of kcwroster.
func (q *Quota) IsLimiting() bool { return q.limited.Load() > 0 || q.isCold() }

// HasLimit implements the limiter of kcwroster.
func (q *Quota) HasLimit(upstream string) bool {
	if l, _ := q.table.Get(upstream); l.PerSecond > 0 {
		return true
	}
	if !q.isCold() {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.limit(upstream, q.cfg.Now()).PerSecond > 0
}

// Acquire implements the permits of kcwforward. It asks the core for a permit if the request
// is large enough, or can go nowhere else. Such a request waits if there is none at once,
// unless more urgent ones wait for all permits that are expected soon. If its best upstream is
// cold, it asks whatever its size: cold upstreams tolerate about as many requests as they get
// anyway, and the permits are to be used.
func (q *Quota) Acquire(ctx context.Context, claim kcwpermit.Claim) (permit kcwpermit.Permit) {
	limits := q.inForce(claim.Upstreams)
	if len(limits) == 0 {
		return kcwpermit.Permit{}
	}
	isCold := limits[0].Most > 0
	if isCold {
		limits = slices.DeleteFunc(limits, func(l kcwratelimit.Limit) bool { return l.Most == 0 })
		claim.Upstreams = names(limits)
	}
	permit, spare, next := q.takeHeld(claim, limits, isCold)
	if next == askNext {
		permit = q.ask(ctx, claim, limits, spare)
	}
	if permit.Upstream == "" && next != refuseNext && !claim.HasOther {
		permit = q.await(ctx, claim)
	}
	if permit.Upstream == "" {
		q.cfg.OnHeld(claim.Service)
		if !claim.HasOther {
			q.logRefusal(claim)
		}
	}
	return permit
}

// MaySend implements the permits of kcwforward.
func (q *Quota) MaySend(permit kcwpermit.Permit) bool {
	return permit.EndsAt.IsZero() || q.cfg.Now().Before(permit.EndsAt)
}

// logRefusal logs why a request gets no permit that can go nowhere else.
func (q *Quota) logRefusal(claim kcwpermit.Claim) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.cfg.Now()
	klog.InfoS("No permit", "Request", claim.RequestID, "Service", claim.Service, "Upstreams", len(claim.Upstreams), "Priority", claim.Priority,
		"GrantedPerSecond", q.stock.GrantRate(claim.Service, now), "ExpectedPerSecond", q.expected(claim.Service),
		"WithoutCore", q.stock.IsAlone(now), "LimitsVersion", q.version)
}

// inForce returns the limits in force of the upstreams.
func (q *Quota) inForce(upstreams []string) []kcwratelimit.Limit {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.cfg.Now()
	var limits []kcwratelimit.Limit
	for _, id := range upstreams {
		if l := q.limit(id, now); l.PerSecond > 0 {
			limits = append(limits, l)
		}
	}
	return limits
}

// ofService returns the limits in force of the service's upstreams. The caller holds mu.
func (q *Quota) ofService(service string) []kcwratelimit.Limit {
	now := q.cfg.Now()
	limits := slices.DeleteFunc(q.table.InForce(), func(l kcwratelimit.Limit) bool {
		return l.Service != service || q.limit(l.Upstream, now).Most > 0
	})
	for id, b := range q.cold.bounds {
		if l := q.limit(id, now); b.Service == service && l.Most > 0 {
			limits = append(limits, l)
		}
	}
	return limits
}

// step is how a request goes on for which this router holds no permit.
type step int

// The steps of a request without a permit.
const (
	// refuseNext: there is no permit to wait for.
	refuseNext step = iota
	// waitNext: others may have a permit sooner than the core has one left.
	waitNext
	// askNext: the core may have a permit.
	askNext
)

// takeHeld takes a permit that this router holds. Without one, next is how the request goes on,
// and spare the part of the core's permits that it leaves to others. IsCold is set if the limits
// are those of cold upstreams.
func (q *Quota) takeHeld(claim kcwpermit.Claim, limits []kcwratelimit.Limit, isCold bool) (permit kcwpermit.Permit, spare float64, next step) {
	now := q.cfg.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if !isCold {
		rank := q.stock.Rank(&claim, q.expected(claim.Service), now)
		if rank < 0 {
			return kcwpermit.Permit{}, 0, waitNext
		}
		spare = 1 - rank
	}
	permit = q.stock.Take(limits, now)
	switch {
	case permit.Upstream != "" || q.stock.IsAlone(now):
		return permit, 0, refuseNext
	case q.stock.IsWaiting(claim.Service):
		return kcwpermit.Permit{}, 0, waitNext
	}
	return kcwpermit.Permit{}, spare, askNext
}

// names returns the upstreams of the limits.
func names(limits []kcwratelimit.Limit) []string {
	upstreams := make([]string, 0, len(limits))
	for _, l := range limits {
		upstreams = append(upstreams, l.Upstream)
	}
	return upstreams
}

// ask asks the core for a permit. There is none if the core does not answer in time. The limits
// are those of the claim that are in force.
func (q *Quota) ask(ctx context.Context, claim kcwpermit.Claim, limits []kcwratelimit.Limit, spare float64) kcwpermit.Permit {
	ctx, cancel := context.WithTimeout(ctx, q.cfg.AskTimeout)
	defer cancel()
	upstreams := claim.Upstreams[:min(len(claim.Upstreams), kcwpermit.MaxUpstreams)]
	sentAt := q.cfg.Now()
	upstream, err := q.cfg.Ask(ctx, upstreams, spare)
	if err != nil {
		klog.V(kcwlog.DebugVerbosity).InfoS("No answer to the request for a permit", "Service", claim.Service, "Cause", err.Error())
		return kcwpermit.Permit{}
	}
	if upstream == "" {
		return kcwpermit.Permit{}
	}
	granted := kcwratelimit.Limit{Upstream: upstream, Service: claim.Service}
	for _, l := range limits {
		if l.Upstream == upstream {
			granted = l
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.stock.Granted(granted, sentAt, q.cfg.Now())
}

// await waits until a report has brought permits, and takes one for the request, if there is
// one.
func (q *Quota) await(ctx context.Context, claim kcwpermit.Claim) kcwpermit.Permit {
	q.mu.Lock()
	w := q.stock.Wait(claim, q.cfg.Now())
	q.mu.Unlock()
	if w == nil {
		return kcwpermit.Permit{}
	}
	isPermitted := false
	select {
	case isPermitted = <-w.Done():
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if !isPermitted {
		q.stock.Leave(w)
		return kcwpermit.Permit{}
	}
	// The permit may be for an upstream that the claim does not name.
	return q.stock.Take(q.ofService(claim.Service), q.cfg.Now())
}

// expected returns the permits per second that this router gets if all routers get the same.
// The caller holds mu.
func (q *Quota) expected(service string) float64 {
	perSecond := q.cold.perSecond[service]
	if sum := q.services[service]; sum != nil {
		perSecond += sum.perSecond
	}
	return perSecond / float64(max(1, q.routers))
}

// ReturnAfter returns the time after which a caller should return whose request is refused
// because all upstreams of the service are at their limits.
func (q *Quota) ReturnAfter(service string) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.cfg.Now()
	return q.stock.ReturnAt(service, q.expected(service), now).Sub(now)
}

// Report adds to a report to the core the limits that the core does not have and the demand
// for permits. EndReport must follow.
func (q *Quota) Report(req *kcwpb.FleetSyncRequest) {
	now := q.cfg.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sent, q.pending = q.pending, map[string]bool{}
	for id := range q.sent {
		if l, found := q.table.Get(id); found && l.IsEncodable() {
			req.Limits = append(req.Limits, l.Encode(now))
		}
	}
	req.LimitsVersion = q.version
	if q.IsLimiting() {
		req.Permits = q.stock.Demand(now)
	}
}

// EndReport applies the core's answer to the report that was sent at sentAt, by Config.Now.
// The response is nil if there was no answer; the limits of the report are then sent again.
func (q *Quota) EndReport(response *kcwpb.FleetSyncResponse, sentAt time.Time) {
	now := q.cfg.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if response == nil {
		for id := range q.sent {
			q.pending[id] = true
		}
		q.stock.Fail()
		return
	}
	if response.GetCollector() != q.collector {
		// Another process leads the core, and has no limits of this router yet.
		q.collector = response.GetCollector()
		for _, l := range q.table.All() {
			q.pending[l.Upstream] = true
		}
		for _, id := range q.cold.tracker.Outages(now) {
			q.notify(id)
		}
	}
	limits, err := kcwratelimit.DecodeAll(response.GetLimits(), now)
	if err != nil {
		klog.ErrorS(err, "Rate limits of the core are damaged", "Upstreams", len(response.GetLimits()))
	}
	for _, l := range limits {
		q.apply(l, "Core", "")
	}
	q.version = response.GetLimitsVersion()
	q.routers = int(response.GetRouters())
	q.refreshCold(now)
	limitOf := func(upstream string) kcwratelimit.Limit { return q.limit(upstream, now) }
	q.stock.Receive(response.GetPermits(), q.routers, limitOf, sentAt, now)
}
