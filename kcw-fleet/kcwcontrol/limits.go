package kcwcontrol

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwpermit"
	"kingcupwick.example/kcw/kcwratelimit"
)

// limitExpiryInterval is the time between two checks of which upstreams are still listed.
const limitExpiryInterval = time.Second

// limitKeeper holds, at the leader, the rate limits that upstreams name, and issues permits
// to the routers. None of this is in the replicated state: routers report their limits to
// each new leader, which starts without permits to issue.
type limitKeeper struct {
	table *kcwratelimit.Table
	// cold states the limits of cold upstreams.
	cold *coldKeeper
	// now returns a time that advances while the host is suspended.
	now func() time.Time

	// mu guards the fields below. Lock order: mu before the locks of the table and of cold.
	mu     sync.Mutex
	issuer *kcwpermit.Issuer
	// strict holds until when the limits of cold upstreams are kept. They were brought up to
	// date at strictAt.
	strict   map[string]time.Time
	strictAt time.Time
	// term is the term of the replicated log in which this member leads.
	term uint64
	// versions holds the version of each limit. They grow from base, which differs from
	// process to process, to version.
	versions      map[string]uint64
	base, version uint64
	expiredAt     time.Time
}

func newLimitKeeper(cold *coldKeeper, now func() time.Time) *limitKeeper {
	// Half of the numbers leaves room to count.
	base := rand.Uint64()/2 + 1
	return &limitKeeper{
		table: kcwratelimit.NewTable(), cold: cold, now: now, issuer: kcwpermit.NewIssuer(), versions: map[string]uint64{}, strict: map[string]time.Time{}, base: base, version: base,
	}
}

// errTooMuchDemand means that a report has more demand for permits than a router may have.
var errTooMuchDemand = errors.New("the report has too much demand for permits")

// maxServices bounds the services for which a router requests permits.
const maxServices = 256

// decodeLimits returns the limits of a report that arrived at now. The error is a
// *kcwratelimit.Error or errTooMuchDemand if the report is damaged.
func decodeLimits(req *kcwpb.FleetSyncRequest, now time.Time) ([]kcwratelimit.Limit, error) {
	if len(req.GetPermits()) > maxServices {
		return nil, errTooMuchDemand
	}
	return kcwratelimit.DecodeAll(req.GetLimits(), now)
}

// sync takes the limits of a router's report that arrived at now, and adds to the answer the
// limits that the router does not have, if allow permits their size, and the permits that it
// needs. List is the newest list of upstreams, nil if there is none.
func (k *limitKeeper) sync(req *kcwpb.FleetSyncRequest, limits []kcwratelimit.Limit, response *kcwpb.FleetSyncResponse, list *kcwpb.UpstreamList, allow func(bytes int) bool, now time.Time) {
	router := req.GetAllowances().GetRouter()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, l := range limits {
		k.apply(l, router, now)
	}
	if list != nil && now.Sub(k.expiredAt) > limitExpiryInterval {
		k.expiredAt = now
		k.expire(list, now)
	}
	if now.Sub(k.strictAt) > strictInterval {
		k.updateStrict(now)
	}
	k.issuer.Hear(router, now)
	response.Permits = k.issuer.Issue(req.GetPermits(), now)
	response.LimitsVersion = req.GetLimitsVersion()
	if req.GetLimitsVersion() == k.version {
		return
	}
	news := k.since(req.GetLimitsVersion(), now)
	if allow(proto.Size(&kcwpb.FleetSyncResponse{Limits: news})) {
		response.Limits, response.LimitsVersion = news, k.version
	}
}

// grant issues a permit for one of the upstreams of a router's request, and returns that
// upstream. It returns an empty string if there is none.
func (k *limitKeeper) grant(req *kcwpb.FleetPermitRequest) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	k.prepare(req.GetUpstreams(), now)
	return k.issuer.Grant(req.GetUpstreams(), min(max(req.GetSpare(), 0), 1), now)
}

// apply puts a limit of a router's report in force unless a newer one is. The caller holds
// mu.
func (k *limitKeeper) apply(l kcwratelimit.Limit, router string, now time.Time) {
	before, changed := k.table.Apply(l)
	newest, found := k.table.Get(l.Upstream)
	if !found {
		return
	}
	k.setLimit(newest.Upstream, now)
	if !changed {
		return
	}
	k.version++
	k.versions[l.Upstream] = k.version
	klog.InfoS("Rate limit changed", "Upstream", l.Upstream, "PerSecond", l.PerSecond, "Before", before.PerSecond,
		"Router", router, "Age", now.Sub(l.AnsweredAt).String(), "LimitsVersion", k.version)
}

// expire drops the upstreams that are not in the list, and limits that ended long ago. The
// caller holds mu.
func (k *limitKeeper) expire(list *kcwpb.UpstreamList, now time.Time) {
	listed := make(map[string]bool, len(list.GetUpstreams()))
	for _, u := range list.GetUpstreams() {
		listed[u.GetId()] = true
	}
	for _, l := range k.table.Expire(func(id string) bool { return listed[id] }, now) {
		k.setLimit(l.Upstream, now)
		delete(k.versions, l.Upstream)
	}
}

// since returns the limits that are newer than the version that a router has, which may be
// one of another process. The caller holds mu.
func (k *limitKeeper) since(version uint64, now time.Time) []*kcwpb.UpstreamLimit {
	if version < k.base || version > k.version {
		version = 0
	}
	var news []*kcwpb.UpstreamLimit
	for _, l := range k.table.All() {
		if k.versions[l.Upstream] > version {
			news = append(news, l.Encode(now))
		}
	}
	return news
}

// limitState is the rate limit of one upstream as shown in dumps.
type limitState struct {
	Upstream, Service string
	PerSecond         float64
	// Age is the time since the last answer that named the limit.
	Age string
	// Permits is the number of permits that have not been issued.
	Permits float64
}

// dump returns the limits in force, sorted by upstream.
func (k *limitKeeper) dump() []limitState {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	var states []limitState
	for _, l := range k.table.InForce() {
		states = append(states, limitState{l.Upstream, l.Service, l.PerSecond, now.Sub(l.AnsweredAt).String(), k.issuer.Available(l.Upstream, now)})
	}
	return states
}

// limited returns the number of upstreams with a limit in force.
func (k *limitKeeper) limited() int { return len(k.table.InForce()) }
