package kcwquota

import (
	"context"
	"slices"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"kingcupwick.example/kcw/kcwcold"
	"kingcupwick.example/kcw/kcwlog"
	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwpermit"
	"kingcupwick.example/kcw/kcwratelimit"
	"kingcupwick.example/kcw/kcwroute"
)

const (
	// noticePause is the time between two notices to the core. One notice names as many
	// upstreams as a request for a permit, so that an outage of a zone takes a few.
	noticePause = 100 * time.Millisecond
	// failedNoticePause is that time after a notice that got no answer.
	failedNoticePause = 500 * time.Millisecond
	// maxLogged bounds the upstreams that a log line names.
	maxLogged = 16
)

// coldState is what a Quota holds of cold upstreams. Mu of the Quota guards it.
type coldState struct {
	tracker *kcwcold.Tracker
	// bounds holds the bounds in force as of the last change, and perSecond their sums by
	// service.
	bounds    map[string]kcwcold.Bound
	perSecond map[string]float64
	// notices holds the upstreams of whose outages the core is to be told. A value on wake
	// starts doing so.
	notices map[string]bool
	wake    chan struct{}
}

func newColdState(cfg kcwcold.Config) coldState {
	return coldState{
		tracker: kcwcold.New(cfg), bounds: map[string]kcwcold.Bound{}, perSecond: map[string]float64{}, notices: map[string]bool{}, wake: make(chan struct{}, 1),
	}
}

// SetDocument takes note of what the document in force states of cold upstreams.
func (q *Quota) SetDocument(document *kcwroute.Document) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.cold.tracker.SetServices(kcwcold.Services(document))
	q.refreshCold(q.cfg.Now())
}

// SetList takes note of the cold upstreams of a list whose reading is age old. It returns the
// upstreams whose cold time can't be read, each once.
func (q *Quota) SetList(records []*kcwpb.UpstreamRecord, age time.Duration) (malformed []string) {
	now := q.cfg.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	malformed = q.cold.tracker.Update(kcwcold.DecodeList(records), now.Add(-age))
	q.refreshCold(now)
	return malformed
}

// ConfirmList records that the list was read again, age ago, and has not changed.
func (q *Quota) ConfirmList(age time.Duration) {
	now := q.cfg.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.cold.tracker.Confirm(now.Add(-age))
	q.refreshCold(now)
}

// ReportOutage takes note of a sign that the upstream had an outage. It does not block.
func (q *Quota) ReportOutage(upstream string, sign kcwcold.Sign) {
	now := q.cfg.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.cold.tracker.Report(upstream, sign, now) {
		q.notify(upstream)
	}
	q.refreshCold(now)
}

// answered takes note of an answer of the upstream.
func (q *Quota) answered(upstream string) {
	if q.cfg.Cold.Overage <= 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.cold.tracker.Answered(upstream, q.cfg.Now())
}

// notify lets the core be told of an outage of the upstream. The caller holds mu.
func (q *Quota) notify(upstream string) {
	q.cold.notices[upstream] = true
	select {
	case q.cold.wake <- struct{}{}:
	default:
	}
}

// refreshCold updates what follows from the bounds of the cold upstreams at now, and logs
// which are new. The caller holds mu.
func (q *Quota) refreshCold(now time.Time) {
	bounds := q.cold.tracker.Bounds(now)
	if len(bounds)+len(q.cold.bounds) == 0 {
		return
	}
	var added, ended []string
	latest := time.Time{}
	next := make(map[string]kcwcold.Bound, len(bounds))
	clear(q.cold.perSecond)
	for _, b := range bounds {
		next[b.Upstream] = b
		q.cold.perSecond[b.Service] += b.PerSecond
		if b.Until.After(latest) {
			latest = b.Until
		}
		if _, isKnown := q.cold.bounds[b.Upstream]; !isKnown {
			added = append(added, b.Upstream)
			// Permits for a limit that the upstream names may be used for longer than
			// those for a cold one.
			q.stock.Void(b.Upstream)
		}
	}
	for id := range q.cold.bounds {
		if _, isCold := next[id]; !isCold {
			ended = append(ended, id)
			q.stock.Void(id)
		}
	}
	q.cold.bounds = next
	q.coldUntil.Store(latest.UnixNano())
	if len(bounds) == 0 {
		q.coldUntil.Store(0)
	}
	if len(added)+len(ended) > 0 {
		slices.Sort(ended)
		klog.InfoS("Cold upstreams changed", "Cold", len(bounds), "Added", strings.Join(added[:min(len(added), maxLogged)], " "),
			"Ended", strings.Join(ended[:min(len(ended), maxLogged)], " "))
	}
}

// limit returns the limit in force of the upstream at now, with a rate of zero if there is
// none: the stricter one of those that the upstream names and that it has while it is cold. The
// caller holds mu.
func (q *Quota) limit(upstream string, now time.Time) kcwratelimit.Limit {
	named, _ := q.table.Get(upstream)
	b, isCold := q.cold.bounds[upstream]
	if !isCold || !now.Before(b.Until) {
		return named
	}
	l := kcwratelimit.Limit{Upstream: upstream, Service: b.Service, PerSecond: b.PerSecond, Most: b.Most, AnsweredAt: named.AnsweredAt}
	if named.PerSecond > 0 {
		l.PerSecond = min(l.PerSecond, named.PerSecond)
	}
	return l
}

// IsBounding reports whether any upstream would have a limit if it were cold.
func (q *Quota) IsBounding() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.cold.tracker.IsBounding()
}

// isCold reports whether any upstream is limited because it is cold.
func (q *Quota) isCold() bool {
	until := q.coldUntil.Load()
	return until != 0 && q.cfg.Now().UnixNano() < until
}

// Run tells the core of outages of upstreams, until ctx ends.
func (q *Quota) Run(ctx context.Context) {
	for {
		select {
		case <-q.cold.wake:
		case <-ctx.Done():
			return
		}
		for pause := q.Announce(ctx); pause > 0; pause = q.Announce(ctx) {
			select {
			case <-time.After(pause):
			case <-ctx.Done():
				return
			}
		}
	}
}

// Announce tells the core of some outages. If more are to be told, it returns the pause before the
// next call, and zero otherwise. Those of a notice that has got no answer are told again with the
// next one, while they last.
func (q *Quota) Announce(ctx context.Context) (pause time.Duration) {
	now := q.cfg.Now()
	q.mu.Lock()
	outages := q.cold.tracker.Outages(now)
	var told []string
	for id := range q.cold.notices {
		if !slices.Contains(outages, id) {
			delete(q.cold.notices, id)
		} else if len(told) < kcwpermit.MaxUpstreams {
			told = append(told, id)
			delete(q.cold.notices, id)
		}
	}
	q.mu.Unlock()
	if len(told) == 0 {
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, q.cfg.AskTimeout)
	defer cancel()
	_, err := q.cfg.Ask(ctx, told, kcwpermit.NoticeSpare)
	q.mu.Lock()
	defer q.mu.Unlock()
	if err != nil {
		klog.V(kcwlog.DebugVerbosity).InfoS("The core was not told of outages", "Upstreams", len(told), "Cause", err.Error())
		for _, id := range told {
			q.cold.notices[id] = true
		}
		return failedNoticePause
	}
	if len(q.cold.notices) == 0 {
		return 0
	}
	return noticePause
}

// Cold is a cold upstream as shown in dumps.
type Cold struct {
	Upstream        string
	PerSecond, Most float64
	// Left is how much longer it counts as cold.
	Left string
	// Permits is the number of requests that this router may send now.
	Permits int
}

// Cold returns the cold upstreams with a limit, sorted.
func (q *Quota) Cold() []Cold {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.cfg.Now()
	var cold []Cold
	for _, b := range q.cold.tracker.Bounds(now) {
		cold = append(cold, Cold{b.Upstream, b.PerSecond, b.Most, b.Until.Sub(now).String(), q.stock.Held(b.Upstream, now)})
	}
	return cold
}

// ColdCount returns the number of cold upstreams with a limit.
func (q *Quota) ColdCount() int64 { return int64(len(q.Cold())) }
