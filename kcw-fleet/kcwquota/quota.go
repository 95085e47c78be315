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

	"kingcupwick.example/kcw/kcwlog"
	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwpermit"
	"kingcupwick.example/kcw/kcwratelimit"
	"kingcupwick.example/kcw/kcwroster"
)

// Config configures a Quota. Every field is needed.
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

	// mu guards the fields below.
	mu    sync.Mutex
	stock *kcwpermit.Stock
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
		malformed: map[string]bool{}, pending: map[string]bool{},
	}
}

// Observe implements the limiter of kcwroster.
func (q *Quota) Observe(notice kcwroster.LimitNotice) {
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
func (q *Quota) IsLimiting() bool { return q.limited.Load() > 0 }

// HasLimit implements the limiter of kcwroster.
func (q *Quota) HasLimit(upstream string) bool {
	l, _ := q.table.Get(upstream)
	return l.PerSecond > 0
}

// Acquire implements the permits of kcwforward. It asks the core for a permit if the request
// is large enough, or can go nowhere else. Such a request waits if there is none at once,
// unless more urgent ones wait for all permits that are expected soon.
func (q *Quota) Acquire(ctx context.Context, claim kcwpermit.Claim) (upstream string) {
	limits := q.inForce(claim.Upstreams)
	if len(limits) == 0 {
		return ""
	}
	upstream, spare, next := q.takeHeld(claim, limits)
	if next == askNext {
		upstream = q.ask(ctx, claim, spare)
	}
	if upstream == "" && next != refuseNext && !claim.HasOther {
		upstream = q.await(ctx, claim)
	}
	if upstream == "" {
		q.cfg.OnHeld(claim.Service)
		if !claim.HasOther {
			q.logRefusal(claim)
		}
	}
	return upstream
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
	var limits []kcwratelimit.Limit
	for _, id := range upstreams {
		if l, _ := q.table.Get(id); l.PerSecond > 0 {
			limits = append(limits, l)
		}
	}
	return limits
}

// ofService returns the limits in force of the service's upstreams.
func (q *Quota) ofService(service string) []kcwratelimit.Limit {
	return slices.DeleteFunc(q.table.InForce(), func(l kcwratelimit.Limit) bool { return l.Service != service })
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
// and spare the part of the core's permits that it leaves to others.
func (q *Quota) takeHeld(claim kcwpermit.Claim, limits []kcwratelimit.Limit) (upstream string, spare float64, next step) {
	now := q.cfg.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	rank := q.stock.Rank(&claim, q.expected(claim.Service), now)
	if rank < 0 {
		return "", 0, waitNext
	}
	upstream = q.stock.Take(limits, now)
	switch {
	case upstream != "" || q.stock.IsAlone(now):
		return upstream, 0, refuseNext
	case q.stock.IsWaiting(claim.Service):
		return "", 0, waitNext
	}
	return "", 1 - rank, askNext
}

// ask asks the core for a permit. It returns an empty string if there is none, or no answer
// in time.
func (q *Quota) ask(ctx context.Context, claim kcwpermit.Claim, spare float64) string {
	ctx, cancel := context.WithTimeout(ctx, q.cfg.AskTimeout)
	defer cancel()
	upstreams := claim.Upstreams[:min(len(claim.Upstreams), kcwpermit.MaxUpstreams)]
	upstream, err := q.cfg.Ask(ctx, upstreams, spare)
	if err != nil {
		klog.V(kcwlog.DebugVerbosity).InfoS("No answer to the request for a permit", "Service", claim.Service, "Cause", err.Error())
		return ""
	}
	if upstream != "" {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.stock.Granted(claim.Service, q.cfg.Now())
	}
	return upstream
}

// await waits until a report has brought permits, and takes one for the request. It returns an
// empty string if there is none.
func (q *Quota) await(ctx context.Context, claim kcwpermit.Claim) string {
	q.mu.Lock()
	w := q.stock.Wait(claim, q.cfg.Now())
	q.mu.Unlock()
	if w == nil {
		return ""
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
		return ""
	}
	// The permit may be for an upstream that the claim does not name.
	return q.stock.Take(q.ofService(claim.Service), q.cfg.Now())
}

// expected returns the permits per second that this router gets if all routers get the same.
// The caller holds mu.
func (q *Quota) expected(service string) float64 {
	if sum := q.services[service]; sum != nil {
		return sum.perSecond / float64(max(1, q.routers))
	}
	return 0
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
	if q.limited.Load() > 0 {
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
	q.stock.Receive(response.GetPermits(), q.routers, q.serviceOf, sentAt, now)
}

// serviceOf returns the service of an upstream with a limit in force, empty for another.
func (q *Quota) serviceOf(upstream string) string {
	if l, _ := q.table.Get(upstream); l.PerSecond > 0 {
		return l.Service
	}
	return ""
}

// Export returns the limits for another router, as of now.
func (q *Quota) Export() []*kcwpb.UpstreamLimit {
	now := q.cfg.Now()
	var messages []*kcwpb.UpstreamLimit
	for _, l := range q.table.All() {
		if l.IsEncodable() {
			messages = append(messages, l.Encode(now))
		}
	}
	return messages
}

// Merge puts the limits of another router in force. Those that were not known are reported
// to the core too. The error is a *kcwratelimit.Error if they are damaged; none is in force
// then.
func (q *Quota) Merge(messages []*kcwpb.UpstreamLimit) error {
	limits, err := kcwratelimit.DecodeAll(messages, q.cfg.Now())
	if err != nil {
		return err
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, l := range limits {
		if q.apply(l, "OtherRouter", "") {
			q.pending[l.Upstream] = true
		}
	}
	return nil
}

// Limit is the rate limit of one upstream as shown in dumps.
type Limit struct {
	Upstream  string
	PerSecond float64
	// Age is the time since the last answer that named the limit.
	Age string
	// Permits is the number of requests that this router may send now.
	Permits int
}

// Limited returns the number of upstreams with a limit in force.
func (q *Quota) Limited() int64 { return q.limited.Load() }

// Limits returns the limits in force, sorted by upstream.
func (q *Quota) Limits() []Limit {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.cfg.Now()
	var limits []Limit
	for _, l := range q.table.InForce() {
		limits = append(limits, Limit{l.Upstream, l.PerSecond, now.Sub(l.AnsweredAt).String(), q.stock.Held(l.Upstream, now)})
	}
	return limits
}
