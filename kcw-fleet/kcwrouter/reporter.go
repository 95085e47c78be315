package kcwrouter

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"kingcupwick.example/kcw-fleet/kcwcontrol"
	"kingcupwick.example/kcw-fleet/kcwcore"
	"kingcupwick.example/kcw-fleet/kcwguard"
	"kingcupwick.example/kcw-fleet/kcwlending"
	"kingcupwick.example/kcw-fleet/kcwquota"
	"kingcupwick.example/kcw-fleet/kcwsetup"
	"kingcupwick.example/kcw-fleet/kcwsharing"
	"kingcupwick.example/kcw/kcwbalance"
	"kingcupwick.example/kcw/kcwoverload"
	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwroster"
	"kingcupwick.example/kcw/kcwroute"
	"kingcupwick.example/kcw/kcwuptime"
)

// reporter reports to the core at each interval, or at once when a request lacks
// tokens, and applies the answers: configuration documents, tokens and the list of
// upstreams.
type reporter struct {
	settings *kcwsetup.Router
	client   *kcwcore.Client
	lending  *kcwlending.Lending
	sharing  *kcwsharing.Sharing
	balance  *kcwbalance.Balance
	roster   *kcwroster.Roster
	guard    *kcwguard.Guard
	quota    *kcwquota.Quota
	speeds   *speedExchange
	decode   func([]byte) (*kcwroute.Document, error)
	uptime   *kcwuptime.Clock
	overload *kcwoverload.Overload
	// record is nil on a host without a disk.
	record *recordKeeper

	follower *follower

	document atomic.Pointer[kcwroute.Document]
	// routers is the number of routers in the core's last answer.
	routers atomic.Int64
	// peak is the largest number of routers in the last answers.
	peak routerPeak
	// peers are the addresses of some other routers.
	peers atomic.Pointer[[]netip.AddrPort]

	// applying is held while a document is put in force, since answers to reports and to the
	// follower's calls arrive at the same time. Lock order: applying before mu.
	applying sync.Mutex

	// mu guards the fields below. Lock order: mu before the locks of balance and
	// roster.
	mu sync.Mutex
	// incarnation and serial identify a report.
	incarnation uint64
	serial      uint64
	// accepted is set once the core has accepted a report under incarnation. fencedBy is
	// the newer incarnation that the core has returned after that, zero if none.
	accepted bool
	fencedBy uint64
	// listVersion and listReader identify the core's list in force.
	listVersion uint64
	listReader  string
	// evacuationsVersion is that of the evacuations in force.
	evacuationsVersion uint64
	// answeredAt is when the last report that the core answered was sent, the start of the
	// router if there is none. host is the host that answered it. coreLost is set while the
	// core counts as lost.
	answeredAt time.Time
	host       netip.AddrPort
	coreLost   bool
	// failures is the number of reports since the last one that the core answered. paused is
	// set while the pause between reports is longer than usual because of them.
	failures int
	paused   bool
	// documentFrom is the host that sent the document in force, and documentAt when it came.
	documentFrom netip.AddrPort
	documentAt   time.Time
	// round is the next report. A value on wake starts it at once.
	round *round
	wake  chan struct{}
	// ahead starts the next report before requests lack tokens.
	ahead chan struct{}
}

// round is one report. done is closed at its end, and answered is then set if the
// core answered.
type round struct {
	done     chan struct{}
	answered bool
}

func newRound() *round { return &round{done: make(chan struct{})} }

// currentIncarnation returns the incarnation under which the router reports.
func (p *reporter) currentIncarnation() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnation
}

// unreadyRateFactor multiplies the report rate of a router that lacks a configuration
// or a list and so serves no requests. Once the core has a leader, it answers such a
// report within milliseconds.
const unreadyRateFactor = 3

// run reports until ctx ends.
func (p *reporter) run(ctx context.Context) {
	if p.record != nil {
		p.record.awaitOpen(ctx)
	}
	timer := time.NewTimer(p.settings.Core.Interval)
	defer timer.Stop()
	for {
		startedAt := time.Now()
		p.report(ctx)
		interval := p.nextPause()
		// The pause varies between 0.5 and 1.5 intervals, so that routers don't report
		// in step.
		timer.Reset(interval/2 + rand.N(interval))
		if !p.awaitNext(ctx, timer, startedAt) {
			return
		}
	}
}

// nextPause returns the mean pause before the next report.
func (p *reporter) nextPause() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	interval := p.settings.Core.Interval
	pause := reportPause(interval, p.failures, int(p.routers.Load()))
	p.paused = pause > interval
	if p.failures <= freeFailures && (p.document.Load() == nil || p.roster.ListedAt().IsZero()) {
		pause /= unreadyRateFactor
	}
	return pause
}

// startReport starts a report at once and waits until it or ctx ends. It returns whether the
// core answered.
func (p *reporter) startReport(ctx context.Context) bool {
	p.mu.Lock()
	r := p.round
	lost := p.coreLost
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
	if lost {
		// The report still goes out, since its answer ends the outage, but the request
		// does not wait for it.
		return false
	}
	select {
	case <-r.done:
		return r.answered
	case <-ctx.Done():
		return false
	}
}

// report sends one report and applies the answer.
func (p *reporter) report(ctx context.Context) {
	sentAt := time.Now()
	p.mu.Lock()
	// Requests that lack tokens from here on wait for the next round.
	current := p.round
	p.round = newRound()
	p.serial++
	report := p.balance.Report(sentAt)
	req := &kcwpb.FleetSyncRequest{
		Allowances: &kcwpb.SyncAllowances{
			Router: p.settings.Host.Name, Incarnation: p.incarnation, Serial: p.serial, Reports: report.Teams,
			Boot: p.uptime.Boot(), Started: int64(p.uptime.Started()), Reported: int64(report.Uptime),
			Activation: int64(report.Accrual.End), Span: int64(report.Accrual.End - report.Accrual.Start),
			Wall: sentAt.UnixNano(),
		},
		EvacuationsVersion: p.evacuationsVersion, ListVersion: p.listVersion, ListReader: p.listReader, Address: p.settings.LendAddress().String(), ReadsPackedList: true,
	}
	p.mu.Unlock()
	if p.record != nil {
		req.Allowances.Formers = p.record.previousRuns()
	}
	if document := p.document.Load(); document != nil {
		req.DocumentVersion = document.Version
	}
	p.guard.Report(req)
	p.quota.Report(req)
	p.speeds.Report(req, sentAt)
	sentUptime := p.uptime.Time()
	response, host, err := p.call(ctx, req)
	p.guard.EndReport(req, response)
	p.quota.EndReport(response, sentUptime)
	p.speeds.EndReport(response, sentAt)
	gap, isLost := p.recordOutcome(sentAt, host, err)
	if isLost {
		p.guard.DecideAlone()
	}
	if err == nil {
		// The evacuations come before the first document, so that no request is served
		// without them.
		p.applyEvacuations(response.GetEvacuations(), host)
		p.applyResponse(response, report)
		p.follower.setMembers(response)
		p.applyDocument(response.GetDocument(), host, gap)
	}
	current.answered = err == nil
	close(current.done)
}

// call sends one report to the core. It returns the answer and the host that gave it.
func (p *reporter) call(ctx context.Context, req *kcwpb.FleetSyncRequest) (*kcwpb.FleetSyncResponse, netip.AddrPort, error) {
	ctx, cancel := context.WithTimeout(ctx, p.settings.Core.Timeout+p.overload.ExtraTime(time.Now()))
	defer cancel()
	return p.client.Sync(ctx, req)
}

// recordOutcome records the outcome of the report sent at sentAt, and the host that answered
// it. It returns the time since the report before that was answered, and whether the core
// counts as lost. It logs when the core is lost or answers again.
func (p *reporter) recordOutcome(sentAt time.Time, host netip.AddrPort, err error) (gap time.Duration, isLost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	gap = sentAt.Sub(p.answeredAt)
	if err == nil {
		if p.coreLost {
			klog.InfoS("Core regained", "Silent", gap.String(), "Member", host, "Version", p.version(), "Before", p.host)
		}
		p.coreLost, p.failures, p.paused = false, 0, false
		p.answeredAt, p.host = sentAt, host
		return gap, false
	}
	if !p.isOwnFailure(sentAt, err) {
		p.failures++
	}
	if !p.coreLost && gap > coreLostAfter {
		p.coreLost = true
		klog.InfoS("Core lost", "Cause", err.Error(), "LastHeardAt", p.answeredAt, "Member", p.host, "Version", p.version(), "From", p.documentFrom)
	}
	return gap, p.coreLost
}

// version returns the version of the document in force, zero if there is none.
func (p *reporter) version() uint64 {
	if document := p.document.Load(); document != nil {
		return document.Version
	}
	return 0
}

// documentStatus is the version of the document in force, its source and its age, and the
// last contact with the core.
type documentStatus struct {
	// Version is that of the document in force, zero if there is none. From is the host of
	// the core that sent it, at ReceivedAt.
	Version    uint64
	From       netip.AddrPort
	ReceivedAt time.Time
	// Host is the host of the core that answered the last report, sent at ContactAt. It is
	// not valid before the first answer; ContactAt is then the start of the router.
	Host      netip.AddrPort
	ContactAt time.Time
	// IsLost is set while the core counts as lost.
	IsLost bool
}

// documentStatus returns the status of the document in force.
func (p *reporter) documentStatus() documentStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	return documentStatus{
		Version: p.version(), From: p.documentFrom, ReceivedAt: p.documentAt, Host: p.host, ContactAt: p.answeredAt, IsLost: p.coreLost,
	}
}

// coreLostAfter is the time without an answer from any member after which the core
// counts as lost. It is longer than an election.
const coreLostAfter = 2 * time.Second

// applyResponse applies the core's answer to report.
func (p *reporter) applyResponse(response *kcwpb.FleetSyncResponse, report kcwbalance.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if response.GetIncarnation() > p.incarnation {
		p.resolveIncarnation(response.GetIncarnation())
	} else {
		p.accepted = true
		p.balance.ApplyAllowances(report, response.GetAllowances())
	}
	p.routers.Store(int64(response.GetRouters()))
	p.peak.record(int(response.GetRouters()), time.Now())
	if peers := kcwcore.ParseAddresses(response.GetLenders()); len(peers) > 0 {
		p.peers.Store(&peers)
		p.lending.SetLenders(peers)
	}
	if response.GetListAgeNanos() > 0 {
		p.applyCoreList(response, report.At)
	}
}

// resolveIncarnation handles an answer that names a newer incarnation. If the core has
// not accepted a report yet, the router takes a still higher number: incarnations are
// wall clock times, and the clock may have been set back since the router's last start.
// Otherwise a newer process has replaced the router, which keeps its incarnation and
// serves on with the tokens held under it.
func (p *reporter) resolveIncarnation(newest uint64) {
	if p.accepted {
		if p.fencedBy != newest {
			klog.InfoS("Router is fenced by a newer incarnation", "Incarnation", p.incarnation, "Newest", newest)
		}
		p.fencedBy = newest
		return
	}
	klog.InfoS("Incarnation raised", "From", p.incarnation, "To", newest+1)
	p.incarnation = newest + 1
}

// applyDocument puts a document that host sent in force if it is newer than the current one.
// Gap is the time between the call that it answers and the call before that was answered.
func (p *reporter) applyDocument(put *kcwpb.PutDocument, host netip.AddrPort, gap time.Duration) {
	p.applying.Lock()
	defer p.applying.Unlock()
	before := p.version()
	if put.GetVersion() <= before {
		return
	}
	body, err := kcwcontrol.Unpack(put)
	if err != nil {
		klog.ErrorS(err, "Failed to decompress the document", "Version", put.GetVersion())
		return
	}
	document, err := p.decode(body)
	if err != nil {
		klog.ErrorS(err, "Document is invalid", "Version", put.GetVersion())
		return
	}
	p.mu.Lock()
	p.document.Store(document)
	p.documentFrom, p.documentAt = host, time.Now()
	p.mu.Unlock()
	p.quota.SetDocument(document)
	klog.InfoS("Document in force", "Version", document.Version, "Before", before, "From", host, "ContactGap", gap.String(), "Routes", len(document.Routes), "Teams", len(document.Teams), "Keyless", document.Keyless)
}

// applyCoreList applies the core's list, or, if the answer has none, confirms the
// current one as of the reading that the core reports.
func (p *reporter) applyCoreList(response *kcwpb.FleetSyncResponse, sentAt time.Time) {
	readAt := sentAt.Add(-time.Duration(response.GetListAgeNanos()))
	list := response.GetList()
	if packed := response.GetPackedList(); len(packed) > 0 {
		var err error
		if list, err = kcwcontrol.UnpackList(packed); err != nil {
			klog.ErrorS(err, "Failed to decompress the list of upstreams", "Bytes", len(packed))
			return
		}
	}
	if list == nil {
		p.roster.ConfirmList(readAt)
		p.sharing.Confirm(readAt)
		p.quota.ConfirmList(time.Since(readAt))
		return
	}
	// The time of the reading is not known better than the time that the report took. A later
	// version of the same reader is newer all the same.
	if listedAt := p.roster.ListedAt(); list.GetReader() == p.listReader && list.GetVersion() > p.listVersion && readAt.Before(listedAt) {
		readAt = listedAt
	}
	p.sharing.Store(list.GetUpstreams(), readAt)
	p.applyList(list.GetUpstreams(), readAt, time.Duration(response.GetListAgeNanos()), "Core")
	p.listVersion, p.listReader = list.GetVersion(), list.GetReader()
}

// applyList puts a list in force that was read at readAt, at most age ago, and logs the changes.
func (p *reporter) applyList(records []*kcwpb.UpstreamRecord, readAt time.Time, age time.Duration, source string) {
	entries := make([]kcwroster.Entry, 0, len(records))
	for _, r := range records {
		address, err := netip.ParseAddrPort(r.GetAddress())
		if err != nil {
			klog.InfoS("Upstream has an invalid address", "Upstream", r.GetId(), "Address", r.GetAddress(), "Cause", err.Error())
			continue
		}
		entry := kcwroster.Entry{
			ID: r.GetId(), Service: r.GetService(), Zone: r.GetZone(), Address: address, Slots: int(r.GetSlots()), Leaving: r.GetLeaving(),
		}
		if r.GetBorn() != 0 {
			entry.Born = time.UnixMilli(r.GetBorn())
		}
		if r.GetColdLeftNanos() > 0 {
			entry.ColdUntil = readAt.Add(time.Duration(r.GetColdLeftNanos()))
		}
		entries = append(entries, entry)
	}
	if !readAt.Before(p.roster.ListedAt()) {
		p.setCold(records, age)
	}
	changes := p.roster.Update(entries, readAt)
	if len(changes) > 0 {
		klog.InfoS("Upstreams changed", "Source", source, "Upstreams", len(entries), "Changes", changes)
	}
}

// applyOtherList applies a list from a source other than the core. It clears the
// version of the core's list, so that the core sends its next list in full.
func (p *reporter) applyOtherList(records []*kcwpb.UpstreamRecord, readAt time.Time, source kcwsharing.Source) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listVersion, p.listReader = 0, ""
	p.applyList(records, readAt, time.Since(readAt), string(source))
}

// setCold puts in force which upstreams are cold by a list that is newer than the one in force.
// Their cold times count from the reading of the list, which was at most age ago: if the answer
// with the list was slow, they end late rather than early.
func (p *reporter) setCold(records []*kcwpb.UpstreamRecord, age time.Duration) {
	if malformed := p.quota.SetList(records, age); len(malformed) > 0 {
		klog.InfoS("Cold times of the list can't be read", "Upstreams", len(malformed), "Added", malformed[0])
	}
}
