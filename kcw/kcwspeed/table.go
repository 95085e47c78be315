package kcwspeed

import (
	"cmp"
	"math"
	"slices"
	"time"

	"kingcupwick.example/kcw/kcwpb"
)

const (
	// MaxReported bounds the entries of one report that a Table reads, and maxSent those of
	// one answer.
	MaxReported = 64
	maxSent     = 32
	// publishedPerSecond bounds the entries that change, on average, and publishedAtOnce those
	// that change at once. All routers get each change, in 45 bytes: 2 KB a second. Beside 2 KB
	// of other control traffic and the router's own reports this is below 6 KB a second.
	publishedPerSecond = 45
	publishedAtOnce    = 100
	// refreshInterval is the time between two derivations of the entries. It is shorter than
	// the interval of reports.
	refreshInterval = 100 * time.Millisecond
	// noticeInterval is the shortest time between two notices on one upstream.
	noticeInterval = 5 * time.Second
	// maxLoadAge is the age at which a load report no longer describes an upstream.
	maxLoadAge = 3 * time.Second
	// maxWeight bounds the weight of one report of a router for one upstream, in answers, so
	// that a router with a large part of the requests does not outweigh all others.
	maxWeight = 2
	// maxFigure bounds the numbers of requests in a report, so that sums don't overflow.
	maxFigure = 1 << 30
)

// Upstream is an upstream of the list, as far as a Table needs to know it.
type Upstream struct {
	ID, Service string
	// Born identifies the process; one that starts again under the same ID is unknown again.
	Born int64
}

// entry is what is known of one upstream.
type entry struct {
	Upstream
	// running, waiting and slots are the newest load report, which was made at loadAt.
	running, waiting, slots int
	loadAt                  time.Time
	samples                 samples
	capacity                float64
	// sent is the entry as routers have it, nil if there is none, and version that of its last
	// change.
	sent    *kcwpb.UpstreamSpeed
	version uint64
	// isSlow is set while the upstream counts as slow, and changedAt is when that changed last.
	isSlow    bool
	changedAt time.Time
}

// Table merges the reports of all routers. It is not safe for concurrent use.
type Table struct {
	entries map[string]*entry
	// base is the version of the empty table, and version that of its newest entry.
	base, version uint64
	refreshedAt   time.Time
	// allowed is the number of entries that may change.
	allowed float64
	notices []Notice
}

// NewTable returns an empty Table. Base must differ from the base of any other process's table
// by more than the number of changes, and must not be zero.
func NewTable(base uint64) *Table {
	return &Table{entries: map[string]*entry{}, base: base, version: base, allowed: publishedAtOnce}
}

// SetUpstreams sets the upstreams that exist. What is known of others is dropped.
func (t *Table) SetUpstreams(list []Upstream) {
	next := make(map[string]*entry, len(list))
	for _, u := range list {
		e := t.entries[u.ID]
		if e == nil || e.Service != u.Service || e.Born != 0 && u.Born != 0 && e.Born != u.Born {
			former := e
			e = &entry{Upstream: u, capacity: 1}
			if former != nil && former.sent != nil {
				// Routers learn that the entry no longer holds.
				e.sent = former.sent
				e.version = former.version
			}
		}
		if u.Born != 0 {
			e.Born = u.Born
		}
		next[u.ID] = e
	}
	t.entries = next
}

// Merge merges a report that arrived at now. It returns the number of entries that are
// malformed, which are dropped. Entries of upstreams that are not listed are ignored.
func (t *Table) Merge(speeds []*kcwpb.UpstreamSpeed, now time.Time) (malformed int) {
	for i, s := range speeds {
		if i >= MaxReported || !isValid(s) {
			malformed++
			continue
		}
		e := t.entries[s.GetUpstream()]
		if e == nil {
			continue
		}
		loadAt := now.Add(-time.Duration(s.GetAgeNanos()))
		if loadAt.After(e.loadAt) {
			e.running, e.waiting, e.slots, e.loadAt = int(s.GetRunning()), int(s.GetWaiting()), int(s.GetSlots()), loadAt
		}
		occupancy := float64(s.GetRunning()) / float64(s.GetSlots())
		e.samples.add(float64(s.GetSlowness()), float64(s.GetLatency()), occupancy, int(s.GetSamples()), now)
	}
	return malformed
}

// isValid reports whether the figures of an entry of a report are possible.
func isValid(s *kcwpb.UpstreamSpeed) bool {
	const minSlowness, maxAge = 1.0 / (2 * maxSlowness), time.Minute
	slowness, latency := float64(s.GetSlowness()), float64(s.GetLatency())
	return s.GetSlots() > 0 && max(s.GetSlots(), s.GetRunning(), s.GetWaiting()) <= maxFigure && (s.GetSamples() > 0 || s.GetLatency() > 0) &&
		s.GetAgeNanos() >= 0 && s.GetAgeNanos() <= int64(maxAge) &&
		slowness >= minSlowness && slowness <= 2*maxSlowness && (latency == 0 || latency >= 1 && latency <= 2*maxLatency)
}

// Version returns the version of the newest entry.
func (t *Table) Version() uint64 { return t.version }

// Since returns the entries that have changed since a version of this table, the earliest changes
// first and at most maxSent of them, and the version that a router has with them. Other versions
// are those of another table, so all entries have changed since. The version is zero as long as
// no entry has been known.
func (t *Table) Since(version uint64, now time.Time) (entries []*kcwpb.UpstreamSpeed, newest uint64) {
	t.refresh(now)
	if t.version == t.base {
		return nil, 0
	}
	if version < t.base || version > t.version {
		version = t.base
	}
	if version == t.version {
		return nil, version
	}
	var changed []*entry
	for _, e := range t.entries {
		if e.version > version {
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, func(a, b *entry) int { return cmp.Compare(a.version, b.version) })
	newest = t.version
	if len(changed) > maxSent {
		changed = changed[:maxSent]
		newest = changed[maxSent-1].version
	}
	for _, e := range changed {
		entries = append(entries, e.sent)
	}
	return entries, newest
}

// refresh derives the entries again and publishes those that have changed most.
func (t *Table) refresh(now time.Time) {
	elapsed := now.Sub(t.refreshedAt)
	if elapsed < refreshInterval {
		return
	}
	t.allowed = min(t.allowed+publishedPerSecond*min(elapsed.Seconds(), 1), publishedAtOnce)
	t.refreshedAt = now
	services := map[string][]*entry{}
	for _, e := range t.entries {
		services[e.Service] = append(services[e.Service], e)
	}
	for _, entries := range services {
		deriveCapacities(entries, now)
	}
	type change struct {
		entry *entry
		next  *kcwpb.UpstreamSpeed
		size  float64
	}
	var changes []change
	for _, id := range t.ids() {
		e := t.entries[id]
		t.notice(e, now)
		next := e.encode(now)
		if size := changeSize(e.sent, next); size >= 1 {
			changes = append(changes, change{e, next, size})
		}
	}
	slices.SortStableFunc(changes, func(a, b change) int { return cmp.Compare(b.size, a.size) })
	for _, c := range changes {
		if t.allowed < 1 {
			return
		}
		t.allowed--
		t.version++
		c.entry.sent, c.entry.version = c.next, t.version
	}
}

// notice notes whether the upstream has become slow or no longer is.
func (t *Table) notice(e *entry, now time.Time) {
	const slowFrom, slowUntil, maxNotices = 1.5, 1.2, 256
	s := e.speed(now)
	isSlow := e.isKnown(now) && (s.Knee > 0 || s.Slowness >= slowFrom || e.isSlow && s.Slowness > slowUntil)
	if isSlow == e.isSlow || now.Sub(e.changedAt) < noticeInterval || len(t.notices) >= maxNotices {
		return
	}
	e.isSlow, e.changedAt = isSlow, now
	t.notices = append(t.notices, Notice{Speed: s, Ended: !isSlow})
}

// TakeNotices returns the notices since the last call, for the log.
func (t *Table) TakeNotices() []Notice {
	notices := t.notices
	t.notices = nil
	return notices
}

// ids returns the IDs of the entries, sorted.
func (t *Table) ids() []string {
	ids := make([]string, 0, len(t.entries))
	for id := range t.entries {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// isKnown reports whether the load of the upstream is known.
func (e *entry) isKnown(now time.Time) bool { return e.slots > 0 && now.Sub(e.loadAt) <= maxLoadAge }

// encode returns the entry for routers. Slots is zero if nothing is known of the upstream.
func (e *entry) encode(now time.Time) *kcwpb.UpstreamSpeed {
	if !e.isKnown(now) {
		return &kcwpb.UpstreamSpeed{Upstream: e.ID}
	}
	return &kcwpb.UpstreamSpeed{
		Upstream: e.ID, Running: uint32(e.running), Waiting: uint32(e.waiting), Slots: uint32(e.slots),
		Slowness: float32(e.samples.cost(now)), Samples: uint32(math.Ceil(e.samples.perSecond(now))), Capacity: float32(e.capacity),
	}
}

// changeSize returns how much an entry that routers have differs from the next one. Below 1, the
// difference changes no choice, and would cost bytes at all routers.
func changeSize(before, next *kcwpb.UpstreamSpeed) float64 {
	const minLoadPart, minLoad, minChange, minRateChange, unknown = 0.08, 2, 0.08, 0.5, 10
	switch {
	case before == nil && next.GetSlots() == 0:
		return 0
	case before == nil || before.GetSlots() != next.GetSlots():
		return unknown
	}
	load := float64(next.GetRunning()+next.GetWaiting()) - float64(before.GetRunning()+before.GetWaiting())
	relative := func(from, to, least float64) float64 {
		return math.Abs(to-from) / max(from, to, math.SmallestNonzeroFloat64) / least
	}
	return max(
		math.Abs(load)/max(minLoad, minLoadPart*float64(next.GetSlots())),
		relative(float64(before.GetCapacity()), float64(next.GetCapacity()), minChange),
		relative(float64(before.GetSlowness()), float64(next.GetSlowness()), minChange),
		relative(float64(before.GetSamples()), float64(next.GetSamples()), minRateChange),
	)
}

// Speed is an entry as shown in dumps.
type Speed struct {
	Upstream, Service string
	// Running, Waiting and Slots are the newest load report, and LoadAge its age.
	Running, Waiting, Slots int
	LoadAge                 string
	// Slowness is how long work takes relative to the usual, Capacity the load that the
	// upstream handles well relative to its service, and PerSecond the answers per second.
	// Knee is the part of the slots from which on the upstream slows down, zero if it is not
	// known.
	Slowness, Capacity, PerSecond, Knee float64
}

// Speeds returns the entries of which the load is known, sorted by upstream.
func (t *Table) Speeds(now time.Time) []Speed {
	var list []Speed
	for _, id := range t.ids() {
		if e := t.entries[id]; e.isKnown(now) {
			list = append(list, e.speed(now))
		}
	}
	return list
}

// speed returns the entry as shown in dumps.
func (e *entry) speed(now time.Time) Speed {
	return Speed{
		Upstream: e.ID, Service: e.Service, Running: e.running, Waiting: e.waiting, Slots: e.slots, LoadAge: now.Sub(e.loadAt).String(),
		Slowness: e.samples.cost(now), Capacity: e.capacity, PerSecond: e.samples.perSecond(now), Knee: e.samples.knee(now),
	}
}

// Notice states that an upstream has become slow, or no longer is if Ended is set.
type Notice struct {
	Speed
	Ended bool
}
