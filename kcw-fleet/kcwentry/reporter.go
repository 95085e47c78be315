package kcwentry

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
	"kingcupwick.example/kcw-fleet/kcwlending"
	"kingcupwick.example/kcw-fleet/kcwsetup"
	"kingcupwick.example/kcw-fleet/kcwsharing"
	"kingcupwick.example/kcw/kcwbalance"
	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwroster"
	"kingcupwick.example/kcw/kcwroute"
	"kingcupwick.example/kcw/kcwuptime"
)

// reporter reports to the core at each interval, or at once when a request lacks
// tokens, and takes what the core tells: documents, tokens, the list.
type reporter struct {
	settings *kcwsetup.Router
	client   *kcwcore.Client
	lending  *kcwlending.Lending
	sharing  *kcwsharing.Sharing
	balance  *kcwbalance.Balance
	roster   *kcwroster.Roster
	decode   func([]byte) (*kcwroute.Document, error)
	uptime   *kcwuptime.Clock
	// horizon is nil on a host without a disk.
	horizon *horizonKeeper

	document atomic.Pointer[kcwroute.Document]
	routers  atomic.Int64
	// neighbours are the addresses of some other routers.
	neighbours atomic.Pointer[[]netip.AddrPort]

	// mu guards what follows. Lock order: mu before the locks of balance and
	// roster.
	mu sync.Mutex
	// incarnation and serial number the reports. The core has accepted one under
	// this incarnation, or has told of a higher one.
	incarnation uint64
	serial      uint64
	accepted    bool
	fencedBy    uint64
	// listVersion and listReader name the core's list in force.
	listVersion uint64
	listReader  string
	// heardAt is when the core answered last; unheard says that it is lost.
	heardAt time.Time
	unheard bool
	// round is the report that is made next; wake has it made at once.
	round *round
	wake  chan struct{}
}

// round is one report. Done is closed at its end, and answered says then whether
// the core answered.
type round struct {
	done     chan struct{}
	answered bool
}

func newRound() *round { return &round{done: make(chan struct{})} }

// number returns the incarnation under which the router reports.
func (p *reporter) number() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnation
}

// unreadyRate is how many times as often a router reports that has no
// configuration or no list yet, and so serves nobody: the core answers within
// milliseconds once it has a leader.
const unreadyRate = 3

// run reports until ctx ends.
func (p *reporter) run(ctx context.Context) {
	if p.horizon != nil {
		p.horizon.await(ctx)
	}
	timer := time.NewTimer(p.settings.Core.Interval)
	defer timer.Stop()
	for {
		p.report(ctx)
		interval := p.settings.Core.Interval
		if p.document.Load() == nil || p.roster.ListedAt().IsZero() {
			interval /= unreadyRate
		}
		// Half of the interval varies, so that routers don't report together.
		timer.Reset(interval/2 + rand.N(interval))
		select {
		case <-timer.C:
		case <-p.wake:
		case <-ctx.Done():
			return
		}
	}
}

// ask has a report made at once and waits for its end or that of ctx. It returns
// whether the core answered.
func (p *reporter) ask(ctx context.Context) bool {
	p.mu.Lock()
	r := p.round
	lost := p.unheard
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
	if lost {
		// The next answer will end this; a request had better not wait for it.
		return false
	}
	select {
	case <-r.done:
		return r.answered
	case <-ctx.Done():
		return false
	}
}

// report makes one report and takes the answer.
func (p *reporter) report(ctx context.Context) {
	asked := time.Now()
	p.mu.Lock()
	// Requests that lack tokens from now on are for the next round.
	current := p.round
	p.round = newRound()
	p.serial++
	report := p.balance.Report(asked)
	req := &kcwpb.FleetSyncRequest{
		Allowances: &kcwpb.SyncAllowances{
			Router: p.settings.Host.Name, Incarnation: p.incarnation, Serial: p.serial, Reports: report.Teams,
			Boot: p.uptime.Boot(), Started: int64(p.uptime.Started()), Reported: int64(report.Uptime),
			Activation: int64(report.Accrual.End), Span: int64(report.Accrual.End - report.Accrual.Start),
			Wall: asked.UnixNano(),
		},
		ListVersion: p.listVersion, ListReader: p.listReader, Address: p.settings.LendAddress().String(),
	}
	p.mu.Unlock()
	if p.horizon != nil {
		req.Allowances.Formers = p.horizon.formers()
	}
	if document := p.document.Load(); document != nil {
		req.DocumentVersion = document.Version
	}
	response, err := p.call(ctx, req)
	p.noteContact(asked, err)
	if err == nil {
		p.take(response, report)
	}
	current.answered = err == nil
	close(current.done)
}

// call makes one call of the core.
func (p *reporter) call(ctx context.Context, req *kcwpb.FleetSyncRequest) (*kcwpb.FleetSyncResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, p.settings.Core.Timeout)
	defer cancel()
	return p.client.Sync(ctx, req)
}

// noteContact logs when the core is lost or regained.
func (p *reporter) noteContact(asked time.Time, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		if p.unheard {
			klog.InfoS("Core regained", "Silent", asked.Sub(p.heardAt).String(), "Member", p.client.Leader())
		}
		p.unheard = false
		p.heardAt = asked
		return
	}
	if !p.unheard && asked.Sub(p.heardAt) > lostAfter {
		p.unheard = true
		klog.InfoS("Core lost", "Cause", err.Error(), "LastHeardAt", p.heardAt)
	}
}

// lostAfter is how long no member must have answered for the core to count as
// lost in the log: an election ends sooner.
const lostAfter = 2 * time.Second

// take takes the core's answer to report.
func (p *reporter) take(response *kcwpb.FleetSyncResponse, report kcwbalance.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if response.GetIncarnation() > p.incarnation {
		p.refenced(response.GetIncarnation())
	} else {
		p.accepted = true
		p.balance.ApplyAllowances(report, response.GetAllowances())
	}
	p.routers.Store(int64(response.GetRouters()))
	if neighbours := kcwcore.ParseAddresses(response.GetLenders()); len(neighbours) > 0 {
		p.neighbours.Store(&neighbours)
		p.lending.SetLenders(neighbours)
	}
	p.takeDocument(response.GetDocument())
	if response.GetListAgeNanos() > 0 {
		p.takeList(response, report.At)
	}
}

// refenced takes a higher incarnation. The wall clock that numbers incarnations
// may have been set back since the router's last start. A router whose number
// was accepted before holds tokens under it and goes on with these alone.
func (p *reporter) refenced(newest uint64) {
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

// takeDocument puts a document in force if it is newer than the one held.
func (p *reporter) takeDocument(put *kcwpb.PutDocument) {
	held := p.document.Load()
	if put.GetVersion() == 0 || held != nil && put.GetVersion() <= held.Version {
		return
	}
	body, err := kcwcontrol.Unpack(put)
	if err != nil {
		klog.ErrorS(err, "Document can't be read", "Version", put.GetVersion())
		return
	}
	document, err := p.decode(body)
	if err != nil {
		klog.ErrorS(err, "Document is invalid", "Version", put.GetVersion())
		return
	}
	p.document.Store(document)
	var before uint64
	if held != nil {
		before = held.Version
	}
	klog.InfoS("Document in force", "Version", document.Version, "Before", before, "Routes", len(document.Routes), "Teams", len(document.Teams))
}

// takeList takes the core's list, or notes that the one held is still right.
func (p *reporter) takeList(response *kcwpb.FleetSyncResponse, asked time.Time) {
	readAt := asked.Add(-time.Duration(response.GetListAgeNanos()))
	list := response.GetList()
	if list == nil {
		p.roster.ConfirmList(readAt)
		p.sharing.Confirm(readAt)
		return
	}
	p.sharing.Store(list.GetUpstreams(), readAt)
	p.applyList(list.GetUpstreams(), readAt, "Core")
	p.listVersion, p.listReader = list.GetVersion(), list.GetReader()
}

// applyList puts a list in force and logs what it changes.
func (p *reporter) applyList(records []*kcwpb.UpstreamRecord, readAt time.Time, source string) {
	entries := make([]kcwroster.Entry, 0, len(records))
	for _, r := range records {
		address, err := netip.ParseAddrPort(r.GetAddress())
		if err != nil {
			klog.InfoS("Upstream has no address", "Upstream", r.GetId(), "Address", r.GetAddress(), "Cause", err.Error())
			continue
		}
		entries = append(entries, kcwroster.Entry{
			ID: r.GetId(), Service: r.GetService(), Zone: r.GetZone(), Address: address, Slots: int(r.GetSlots()), Leaving: r.GetLeaving(),
		})
	}
	changes := p.roster.Update(entries, readAt)
	if len(changes) > 0 {
		klog.InfoS("Upstreams changed", "Source", source, "Upstreams", len(entries), "Changes", changes)
	}
}

// takeOther takes a list that did not come from the core. The core's next list is
// taken whole.
func (p *reporter) takeOther(records []*kcwpb.UpstreamRecord, readAt time.Time, source kcwsharing.Source) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listVersion, p.listReader = 0, ""
	p.applyList(records, readAt, string(source))
}
