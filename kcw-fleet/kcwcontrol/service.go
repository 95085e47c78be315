// Package kcwcontrol implements a member of the core of a document-driven fleet: the
// replicated log of configuration documents and allowances, the services for
// routers and other members, and the HTTP interface for operators.
package kcwcontrol

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"kingcupwick.example/kcw-fleet/kcwcore"
	"kingcupwick.example/kcw-fleet/kcwdirectory"
	"kingcupwick.example/kcw-fleet/kcwgate"
	"kingcupwick.example/kcw/kcwallowance"
	"kingcupwick.example/kcw/kcwgroup"
	"kingcupwick.example/kcw/kcwmembership"
	"kingcupwick.example/kcw/kcwnotifier"
	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwpb/kcwpbconnect"
	"kingcupwick.example/kcw/kcwpermit"
	"kingcupwick.example/kcw/kcwratelimit"
)

// routerActiveWindow is how long after its last report a router still counts among
// those that share the rate of list calls. It allows for some lost reports.
const routerActiveWindow = 5 * time.Second

// service answers routers and replicas that ask to be admitted. It is safe for
// concurrent use.
type service struct {
	group *kcwgroup.Group
	table *kcwallowance.Table
	// notifier tells the calls of Follow of a newer document.
	notifier *kcwnotifier.Notifier
	list     *listReader
	planner  *kcwmembership.Planner
	client   *kcwcore.Client
	stamper  *stamper
	pacer    *sendPacer
	blocks   *blockKeeper
	limits   *limitKeeper
	speeds   *speedKeeper
	// gate bounds the reports in progress.
	gate     *kcwgate.Gate
	sent     documentCounts
	received byteCounts

	// mu guards routers, rollout, the planner and watch.
	mu      sync.Mutex
	watch   *memberWatch
	rollout rollout
	// changeTimeout bounds the wait for a membership change.
	changeTimeout time.Duration
	// routers holds the last contact of each active router, by name.
	routers map[string]contact
}

// contact is the time of a router's last report, the address at which it lends tokens, and
// the versions of the document and of the evacuations that it had.
type contact struct {
	at                   time.Time
	address              string
	version, evacuations uint64
}

// byteCounts counts the bytes of the reports received, and of the evidence on prompt parts in
// them.
type byteCounts struct{ reports, evidence atomic.Int64 }

// documentCounts counts the documents sent to routers, in answers to Follow and to Sync.
type documentCounts struct{ followed, reported atomic.Int64 }

const (
	// maxReports bounds the reports in progress. All of them together take less than a tenth
	// of a second of a host with half a core.
	maxReports = 64
	// maxReportWait is a quarter of the time after which routers give up.
	maxReportWait = 150 * time.Millisecond
)

// errBusy is the refusal of a member that has more reports in progress than it can answer in
// time.
var errBusy = errors.New("too many reports are in progress")

// maxLenders bounds the lenders named to a router. For one request, a router asks a few of
// them, and some may be unreachable.
const maxLenders = 8

// Sync commits the report of a router and answers with its allowances and, if the router
// does not have them yet, the newest document and list.
func (s *service) Sync(ctx context.Context, req *connect.Request[kcwpb.FleetSyncRequest]) (*connect.Response[kcwpb.FleetSyncResponse], error) {
	s.received.reports.Add(int64(proto.Size(req.Msg)))
	s.received.evidence.Add(int64(proto.Size(req.Msg.GetEvidence())))
	report := req.Msg.GetAllowances()
	if report == nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("the call has no report"))
	}
	if err := checkEvidence(req.Msg); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	limits, err := decodeLimits(req.Msg, s.limits.now())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if !s.leads() {
		return nil, s.refusal(errNotLeader)
	}
	if err := s.gate.Enter(ctx); err != nil {
		return nil, connect.NewError(connect.CodeResourceExhausted, errBusy)
	}
	defer s.gate.Leave()
	return s.commitReport(ctx, req.Msg, limits)
}

// leads reports whether this member takes itself for the leader.
func (s *service) leads() bool {
	status := s.group.Status()
	return status.GetId() != 0 && status.GetId() == status.GetLeader()
}

// commitReport commits a report with the given limits, and answers it.
func (s *service) commitReport(ctx context.Context, req *kcwpb.FleetSyncRequest, limits []kcwratelimit.Limit) (*connect.Response[kcwpb.FleetSyncResponse], error) {
	report := req.GetAllowances()
	stamp, steps := s.stamper.stamp()
	report.Stamp = stamp
	result, err := s.propose(ctx, &kcwpb.FleetCommand{Op: &kcwpb.FleetCommand_SyncAllowances{SyncAllowances: report}})
	if err != nil {
		return nil, s.refusal(err)
	}
	s.stamper.acknowledge(steps)
	if result.GetProved() > 0 {
		klog.InfoS("Tokens recovered: clocks agree that a power loss was short", "Router", report.GetRouter(), "Tokens", result.GetProved())
	}
	if result.GetReplaced() {
		klog.InfoS("Router restarted", "Router", report.GetRouter(), "Incarnation", report.GetIncarnation(),
			"TokensWrittenOff", result.GetWrittenOff(), "TokensRecovered", result.GetRecovered(),
			"Evidence", result.GetEvidence(), "Silence", time.Duration(result.GetSilence()).String())
	}
	response := &kcwpb.FleetSyncResponse{Allowances: result.GetAllowances(), Incarnation: result.GetIncarnation()}
	now := time.Now()
	response.Routers, response.Lenders = s.recordContact(report.GetRouter(), contact{now, req.GetAddress(), req.GetDocumentVersion(), req.GetEvacuationsVersion()})
	s.addEvacuations(req, response)
	if document := s.table.Document(); s.isDueInReport(document, req.GetDocumentVersion(), now) && s.pacer.allow(len(document.GetDocument()), now) {
		response.Document = document
		s.sent.reported.Add(1)
	}
	list, packed, age := s.list.latest(now)
	differs := list != nil && (list.GetVersion() != req.GetListVersion() || list.GetReader() != req.GetListReader())
	switch {
	case list == nil:
	case !differs:
		response.ListAgeNanos = max(1, int64(age))
	case req.GetReadsPackedList() && s.pacer.allow(len(packed), now):
		response.PackedList, response.ListAgeNanos = packed, max(1, int64(age))
	case !req.GetReadsPackedList() && s.pacer.allow(proto.Size(list), now):
		response.List, response.ListAgeNanos = list, max(1, int64(age))
	}
	allow := func(bytes int) bool { return s.pacer.allow(bytes, now) }
	s.limits.lead(s.group.Status().GetTerm(), s.table.Routers)
	s.limits.sync(req, limits, response, list, allow, s.limits.now())
	s.speeds.sync(req, response, list, allow, s.limits.now())
	status := s.group.Status()
	response.Core, response.CoreZones = memberAddresses(status), memberZones(status)
	if err := s.blocks.sync(ctx, req, response, now); err != nil {
		return nil, s.refusal(err)
	}
	return connect.NewResponse(response), nil
}

// isDueInReport reports whether an answer to a report should have the document, which is newer
// than version. A router that has a document gets the next one from the member that it follows,
// unless that takes long.
func (s *service) isDueInReport(document *kcwpb.PutDocument, version uint64, now time.Time) bool {
	if document.GetVersion() <= version {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return version == 0 || s.rollout.version == document.GetVersion() && now.Sub(s.rollout.appliedAt) >= reportDelay
}

// Permit issues a permit to a router. A member that may have lost the lead refuses, since
// another may issue the same permits.
func (s *service) Permit(_ context.Context, req *connect.Request[kcwpb.FleetPermitRequest]) (*connect.Response[kcwpb.FleetPermitResponse], error) {
	if len(req.Msg.GetUpstreams()) > kcwpermit.MaxUpstreams {
		return nil, connect.NewError(connect.CodeInvalidArgument, errTooMuchDemand)
	}
	if !s.leads() || !s.group.Fresh() {
		return nil, s.refusal(errNotLeader)
	}
	if req.Msg.GetSpare() > 1 {
		// The router asks for no permit. The list changes with the next check of whether it
		// is to be read, so that the notices of many routers make few versions.
		s.limits.cold.report(req.Msg.GetRouter(), req.Msg.GetUpstreams())
		return connect.NewResponse(&kcwpb.FleetPermitResponse{}), nil
	}
	s.limits.lead(s.group.Status().GetTerm(), s.table.Routers)
	return connect.NewResponse(&kcwpb.FleetPermitResponse{Upstream: s.limits.grant(req.Msg)}), nil
}

// recordContact records the last report of the router. It returns the number of active
// routers and the addresses at which some of the others lend tokens.
func (s *service) recordContact(router string, latest contact) (routers uint32, lenders []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.routers[router] = latest
	// Map iteration order is random, so the lenders are a random choice.
	for name, c := range s.routers {
		if len(lenders) == maxLenders {
			break
		}
		if name != router && c.address != "" {
			lenders = append(lenders, c.address)
		}
	}
	return uint32(len(s.routers)), lenders
}

// dropSilentRouters drops the routers without a report in the active window.
func (s *service) dropSilentRouters(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.routers, func(_ string, c contact) bool { return now.Sub(c.at) > routerActiveWindow })
}

// observeRollout records which routers have the newest document.
func (s *service) observeRollout(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	routers := s.routers
	if !s.leads() {
		// Routers report to another member.
		routers = nil
	}
	s.rollout.observe(s.table.Version(), routers, now)
}

// routersBehind returns the number of routers that lack the newest document, as this member, if
// it leads, knows from their reports.
func (s *service) routersBehind() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(s.rollout.behind)
}

// Admit records that a replica requests admission, or that it is about to stop.
func (s *service) Admit(_ context.Context, req *connect.Request[kcwpb.FleetAdmitRequest]) (*connect.Response[kcwpb.FleetAdmitResponse], error) {
	status := s.group.Status()
	if status.GetId() != status.GetLeader() {
		return nil, s.refusal(errNotLeader)
	}
	if _, err := netip.ParseAddrPort(req.Msg.GetMember().GetAddress()); err != nil || req.Msg.GetMember().GetId() == 0 {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("the member needs an identity and an address"))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if req.Msg.GetLeaving() {
		s.planner.AnnounceStop(req.Msg.GetMember(), time.Now())
	} else {
		s.planner.RequestAdmission(req.Msg.GetMember(), time.Now())
	}
	return connect.NewResponse(&kcwpb.FleetAdmitResponse{Membership: status.GetMembership()}), nil
}

// Announce merges another host's view of the core and answers with this host's view.
func (s *service) Announce(_ context.Context, req *connect.Request[kcwpb.FleetAnnounceRequest]) (*connect.Response[kcwpb.FleetAnnounceResponse], error) {
	s.refreshView()
	return exchangeViews(s.client, req.Msg)
}

// refreshView merges the leader and the membership of the replicated log into the view,
// and reports whether this member leads.
func (s *service) refreshView() bool {
	status := s.group.Status()
	age := staleAge
	if s.group.Fresh() {
		age = 0
	} else if contact, found := s.group.ContactAge(); found {
		age = contact
	}
	view := kcwdirectory.View{LeaderAge: age}
	for _, address := range kcwcore.ParseAddresses(memberAddresses(status)) {
		view.Hosts = append(view.Hosts, kcwdirectory.Host{Address: address, Member: true, Age: age})
	}
	if leader, err := netip.ParseAddrPort(status.GetLeaderAddress()); err == nil {
		view.Leader = leader
	}
	s.client.Merge(view)
	return status.GetId() != 0 && status.GetLeader() == status.GetId()
}

// memberZones returns the availability zones of the members, in the order of their addresses.
func memberZones(status *kcwpb.GroupStatus) []string {
	var zones []string
	for _, m := range status.GetMembership().GetMembers() {
		zones = append(zones, m.GetZone())
	}
	return zones
}

// memberAddresses returns the addresses of the members.
func memberAddresses(status *kcwpb.GroupStatus) []string {
	var core []string
	for _, m := range status.GetMembership().GetMembers() {
		core = append(core, m.GetAddress())
	}
	return core
}

// errNotLeader is the refusal of a member that does not lead. errDiskFull is why a member
// whose disk is full is not ready.
var (
	errNotLeader = errors.New("not the leader")
	errDiskFull  = errors.New("the disk is full")
)

// refusal returns the answer to a call that this member could not handle. It names the
// leader if another member is known to lead.
func (s *service) refusal(err error) error {
	status := s.group.Status()
	leader := netip.AddrPort{}
	if status.GetLeader() != status.GetId() {
		// An address that can't be parsed names no leader.
		leader, _ = netip.ParseAddrPort(status.GetLeaderAddress())
	}
	return newRefusal(err, leader, s.client.View())
}

// propose commits cmd and returns its result.
func (s *service) propose(ctx context.Context, cmd *kcwpb.FleetCommand) (*kcwpb.FleetResult, error) {
	data, err := proto.Marshal(cmd)
	if err != nil {
		return nil, err
	}
	applied, err := s.group.Propose(ctx, data)
	if err != nil {
		return nil, err
	}
	result := &kcwpb.FleetResult{}
	if err := proto.Unmarshal(applied, result); err != nil {
		return nil, err
	}
	return result, nil
}

// maintain drops silent routers and, if this member leads, makes the next membership
// change.
func (s *service) maintain(ctx context.Context) {
	s.dropSilentRouters(time.Now())
	s.observeRollout(time.Now())
	status := s.group.Status()
	change := s.nextChange(status, time.Now())
	if change == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.changeTimeout)
	defer cancel()
	membership, err := s.group.ChangeMembers(ctx, change)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if err != nil {
		s.planner.Refuse(change, now)
		s.watch.reportRefusal(change, status, err, s.planner, now)
		return
	}
	s.watch.reportChange(change, status, membership, s.planner, now)
}

// nextChange records the state of the members and returns the membership change to make,
// nil if there is none or if this member does not lead.
func (s *service) nextChange(status *kcwpb.GroupStatus, now time.Time) *kcwpb.ChangeMembersRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watch.observeRoles(status, now)
	if status.GetId() == 0 || status.GetId() != status.GetLeader() {
		s.planner.Reset()
		s.watch.forgetLeading()
		return nil
	}
	change := s.planner.Next(status, now)
	s.watch.observeSilence(status, s.planner, now)
	return change
}

// silentVoters returns the number of voters that this member, if it leads, takes to be
// silent.
func (s *service) silentVoters() int64 {
	status := s.group.Status()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watch.silentVoters(status)
}

// members returns the state of the members for the state dump.
func (s *service) members(status *kcwpb.GroupStatus) []memberState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watch.dump(status, s.planner, time.Now())
}

// announceStop records at this member, which leads, that it is about to stop.
func (s *service) announceStop(m *kcwpb.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.planner.AnnounceStop(m, time.Now())
}

// withoutCompression makes a handler send answers as they are. What is large in them is
// compressed already, once for all routers.
var withoutCompression = connect.WithCompression("gzip", nil, nil)

// handler returns the handler for routers and other members.
func (s *service) handler() http.Handler {
	mux := http.NewServeMux()
	options := []connect.HandlerOption{connect.WithReadMaxBytes(maxMessageBytes), withoutCompression}
	mux.Handle(kcwpbconnect.NewFleetHandler(s, options...))
	mux.Handle(kcwpbconnect.NewPeerHandler(s.group, options...))
	return mux
}
