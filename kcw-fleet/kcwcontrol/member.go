package kcwcontrol

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kratos/kratos/v2"
	"go.opentelemetry.io/otel/attribute"
	"k8s.io/klog/v2"

	"kingcupwick.example/kcw-fleet/kcwcore"
	"kingcupwick.example/kcw-fleet/kcwgate"
	"kingcupwick.example/kcw-fleet/kcwreload"
	"kingcupwick.example/kcw-fleet/kcwsetup"
	"kingcupwick.example/kcw/kcwadmin"
	"kingcupwick.example/kcw/kcwallowance"
	"kingcupwick.example/kcw/kcwconnlimit"
	"kingcupwick.example/kcw/kcwfolder"
	"kingcupwick.example/kcw/kcwgroup"
	"kingcupwick.example/kcw/kcwlog"
	"kingcupwick.example/kcw/kcwmembership"
	"kingcupwick.example/kcw/kcwmeter"
	"kingcupwick.example/kcw/kcwnotifier"
	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwpeer"
	"kingcupwick.example/kcw/kcwreplica"
	"kingcupwick.example/kcw/kcwroute"
	"kingcupwick.example/kcw/kcwserve"
	"kingcupwick.example/kcw/kcwspeed"
	"kingcupwick.example/kcw/kcwuptime"
)

const (
	// groupName names the replicated log.
	groupName = "fleet"
	// maxMessageBytes bounds a message from another process. The largest is a batch of
	// log entries, each with a compressed document.
	maxMessageBytes = 16 << 20
	// membershipInterval is the time between two checks of the membership.
	membershipInterval = 200 * time.Millisecond
	// admitInterval is the time between two requests of a non-voting replica to be
	// admitted.
	admitInterval = 500 * time.Millisecond
	// reloadInterval is the time between two reads of the settings file.
	reloadInterval = 2 * time.Second
	// maxPause is the longest time between two checks of the membership in which another
	// member can be silent.
	maxPause = 2 * membershipInterval
	// stopPollInterval is the time between two checks of whether a member that is about to
	// stop still votes.
	stopPollInterval = 50 * time.Millisecond
	// silentParts and removeParts state when a member is silent and when a silent learner is
	// removed, as parts of Group.CatchUp. The rest of CatchUp is for a successor to start and
	// for elections, also if the leader that would have moved a lost member's vote is lost
	// as well.
	silentParts = 4
	removeParts = 12
	// headerTimeout bounds the wait for a request's header, and for the next byte of a body.
	headerTimeout = 10 * time.Second
	// idleTimeout is longer than routers and members keep idle connections.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the header of a request. Those of routers and members have a few
	// hundred bytes.
	maxHeaderBytes = 64 << 10
	// founding is the role of a replica whose group does not exist yet.
	founding = "founding"
	// substituteWait is how long a founder without a disk waits for the hosts among which it
	// chooses its substitute. All hosts start together when the group is founded.
	substituteWait = time.Second
)

// Config configures a Member. Every field is needed.
type Config struct {
	Settings *kcwsetup.Control
	// SettingsPath is read again when the settings may have changed.
	SettingsPath string
	// Decode reads and checks a configuration document.
	Decode func([]byte) (*kcwroute.Document, error)
	// Lister reads the list of upstreams from the platform.
	Lister Lister
	Logger *kcwlog.Logger
}

// Member is one member of the core. On a host without a disk it holds no replica and
// only redirects callers to the leader.
type Member struct {
	cfg    Config
	folder *kcwfolder.Folder
	sender *kcwpeer.Sender
	client *kcwcore.Client
	// service is nil at a host without a disk.
	service *service
	meter   *kcwmeter.Meter
	ctx     context.Context
	cancel  context.CancelFunc
	// leaving is set once the member is about to stop.
	leaving atomic.Bool
	// freshAt is when the member was last in contact with a leader. Only requestAdmission
	// uses it.
	freshAt time.Time
	// tasks counts the goroutines that use the folder.
	tasks    sync.WaitGroup
	operator *kcwserve.Server
	peers    *kcwserve.Server
	admin    *kcwadmin.Server
	bounds   bounds
}

// New opens the member's folder and listens at its addresses. The caller runs
// the member.
func New(cfg Config) (*Member, error) {
	s := cfg.Settings
	kcwserve.Host{MemoryMB: s.Host.MemoryMB}.LimitMemory()
	m := &Member{cfg: cfg}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.client = kcwcore.New(kcwcore.Config{Seeds: s.PeerAddresses(), Self: s.Host.PeerAddress})
	var err error
	if m.meter, err = kcwmeter.New(kcwmeter.Config{Program: "kcw-control", Host: s.Host.Name, Zone: s.Host.Zone}); err != nil {
		return nil, err
	}
	if m.sender, err = kcwpeer.New(kcwpeer.Config{Group: groupName, Timeout: s.Group.Election / 2}); err != nil {
		return nil, err
	}
	if s.Host.Folder == "" {
		r := newDisklessHost(s, m.client, m.sender, time.Now())
		return m, m.listen(r, r.handler(), r.ready)
	}
	if err := m.openService(); err != nil {
		return nil, err
	}
	m.registerMetrics()
	operator := &operator{service: m.service, settings: s, decode: cfg.Decode, parsing: newParseLimit(kcwserve.Host{MemoryMB: s.Host.MemoryMB})}
	m.meter.Gauge("kcw_control_documents_unparsed", "Documents refused since the start because parsing them would take too much memory.",
		func(observe func(int64, ...attribute.KeyValue)) { observe(operator.parsing.refused.Load()) })
	return m, m.listen(operator, m.service.handler(), m.ready)
}

// openService opens the folder and starts the replica.
func (m *Member) openService() error {
	s := m.cfg.Settings
	var err error
	if m.folder, err = kcwfolder.Open(kcwfolder.Config{Path: s.Host.Folder}); err != nil {
		return err
	}
	table := kcwallowance.New()
	notifier := kcwnotifier.New(kcwnotifier.Config{Machine: table, Revision: table.Version})
	group, err := m.openGroup(notifier)
	if err != nil {
		return err
	}
	stamper, err := newStamper()
	if err != nil {
		return err
	}
	blocks, err := newBlockKeeper(s.Host.Name, s.Parts, table)
	if err != nil {
		return err
	}
	uptime, err := kcwuptime.New()
	if err != nil {
		return err
	}
	cold := newColdKeeper(s.Cold.Config(), m.cfg.Decode, time.Now)
	m.service = &service{
		group: group, table: table, notifier: notifier, gate: kcwgate.New(kcwgate.Config{Limit: maxReports, MaxWait: maxReportWait}), stamper: stamper, blocks: blocks, limits: newLimitKeeper(cold, uptime.Time),
		pacer: &sendPacer{bytesPerSecond: kcwsetup.BytesPerSecond(s.Host.LinkMbps)},
		list: &listReader{cfg: listConfig{
			Lister: m.cfg.Lister, Name: s.Host.Name + "/" + time.Now().String(), Interval: s.List.Interval, Cold: cold,
		}},
		planner: kcwmembership.New(kcwmembership.Config{
			Losses: s.Group.Losses, SilentAfter: m.silentAfter(), RemoveAfter: removeParts * m.silentAfter(),
			MaxRequestAge: 4 * admitInterval, MaxPause: maxPause,
		}),
		speeds: newSpeedKeeper(),
		client: m.client, watch: newMemberWatch(), changeTimeout: s.Group.Election,
		routers: map[string]contact{},
	}
	blocks.propose = m.service.propose
	return nil
}

// silentAfter returns how long a member may make no progress before it counts as silent.
func (m *Member) silentAfter() time.Duration {
	group := m.cfg.Settings.Group
	return max(group.CatchUp/silentParts, 3*group.Heartbeat)
}

// reload reads the settings again and applies their seeds.
func (m *Member) reload(signalled bool) {
	s, err := kcwsetup.LoadControl(m.cfg.SettingsPath)
	if err != nil {
		klog.ErrorS(err, "Settings not reloaded")
		return
	}
	changed := m.client.SetSeeds(s.PeerAddresses())
	if changed || signalled {
		klog.InfoS("Settings reloaded", "Signal", signalled, "SeedsChanged", changed, "Seeds", s.Group.Seeds)
	}
}

// founders returns the seeds as founders. Members are named by their addresses, because the
// settings of the founders hold nothing else about each other.
func founders(s *kcwsetup.Control) []*kcwpb.Member {
	var founders []*kcwpb.Member
	for _, seed := range s.PeerAddresses() {
		founders = append(founders, &kcwpb.Member{Name: seed.String(), Address: seed.String()})
	}
	return founders
}

// maySubstitute reports whether this host may found the group in place of a seed without a disk.
func maySubstitute(s *kcwsetup.Control) bool {
	return s.Group.Bootstrap && !slices.Contains(s.PeerAddresses(), s.Host.PeerAddress)
}

// openGroup starts the replica.
func (m *Member) openGroup(machine *kcwnotifier.Notifier) (*kcwgroup.Group, error) {
	s := m.cfg.Settings
	own := s.Host.PeerAddress
	return kcwgroup.NewWhenRoom(m.ctx, kcwgroup.Config{
		Folder: m.folder, Group: groupName, Name: own.String(), Zone: s.Host.Zone, Address: own,
		Founders: founders(s), Bootstrap: s.Group.Bootstrap, Substitute: maySubstitute(s),
		Machine: machine, Send: m.sender.Send,
		Heartbeat: s.Group.Heartbeat, Election: s.Group.Election,
		SnapshotEntries: s.Group.SnapshotEntries, SnapshotBytes: s.Group.SnapshotBytes,
		KeepEntries: s.Group.KeepEntries, SegmentBytes: s.Group.SegmentBytes, Now: time.Now,
	})
}

// listen opens three servers: one for operators, one for routers and other members,
// and one for health and metrics.
func (m *Member) listen(operator, peers http.Handler, ready func() error) error {
	s := m.cfg.Settings
	var err error
	if err := m.newBounds(); err != nil {
		return err
	}
	m.registerConnections()
	limits := kcwserve.Config{HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, Bound: m.bounds.Bounds[operatorsServer]}
	if m.operator, err = kcwserve.New(s.Host.Address, operator, limits); err != nil {
		return err
	}
	limits.Bound = m.bounds.Bounds[peersServer]
	if m.peers, err = kcwserve.New(s.Host.PeerAddress, m.bounds.receive(peers), limits); err != nil {
		return err
	}
	m.admin, err = kcwadmin.New(kcwadmin.Config{
		Address: s.Host.AdminAddress, Ready: ready, Metrics: m.meter.Handler(),
		OperatorKey: kcwsetup.LoadOperatorKey(s.Host.OperatorKeyFile),
		Dump:        func(context.Context) any { return m.dump() },
		Bound:       m.bounds.Bounds[adminServer], HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	})
	return err
}

// dump is the state of a member as operators read it at the admin address.
type dump struct {
	Member string
	// Leader is the address of the leader, empty if none is known or on a host without a
	// disk. Term and Commit are those of the replicated log.
	Leader       string
	Term, Commit uint64
	// Fresh is whether the member was in contact with a leader, or as leader with a quorum,
	// within an election timeout.
	Fresh           bool
	DocumentVersion uint64
	Members         []memberState
	// RateLimits are the limits of upstreams for which this member issues permits if it
	// leads.
	RateLimits []limitState
	// Evacuations are the evacuated zones that this member has applied.
	Evacuations evacuationsView
	// ColdUpstreams are the cold upstreams with a limit, as this member knows them if it leads.
	ColdUpstreams []coldState
	// Speeds is the table of speeds, if this member leads.
	Speeds []kcwspeed.Speed
	// Connections are those of clients, by server.
	Connections map[string]kcwconnlimit.Stats
}

// dump returns the state of the member.
func (m *Member) dump() dump {
	d := dump{Member: m.cfg.Settings.Host.Name, Connections: m.bounds.Stats()}
	if m.service != nil {
		status := m.service.group.Status()
		d.Leader, d.Term, d.Commit, d.RateLimits = status.GetLeaderAddress(), status.GetTerm(), status.GetCommit(), m.service.limits.dump()
		d.ColdUpstreams = m.service.limits.cold.dump()
		d.Speeds = m.service.speeds.dump(m.service.limits.now())
		d.Fresh, d.DocumentVersion, d.Members = m.service.group.Fresh(), m.service.table.Version(), m.service.members(status)
		d.Evacuations = newEvacuationsView(m.service.table.Evacuations())
	}
	return d
}

// ready returns nil if the member is in contact with a leader and its disk is not full.
func (m *Member) ready() error {
	switch {
	case m.service.group.Full():
		return errDiskFull
	case !m.service.group.Fresh():
		return errNoLeader
	}
	return nil
}

// registerMetrics registers the metrics of the member.
func (m *Member) registerMetrics() {
	gauge := func(name, help string, read func() int64) {
		m.meter.Gauge(name, help, func(observe func(int64, ...attribute.KeyValue)) { observe(read()) })
	}
	group := m.service.group
	gauge("kcw_control_term", "Term of the replicated log.", func() int64 { return int64(group.Status().GetTerm()) })
	gauge("kcw_control_commit", "Highest committed index.", func() int64 { return int64(group.Status().GetCommit()) })
	gauge("kcw_control_document", "Version of the newest document.", func() int64 { return int64(m.service.table.Version()) })
	gauge("kcw_control_blocks", "Sets of prompt parts that are refused because they crash upstreams.", func() int64 {
		blocks, _ := m.service.table.Blocks()
		return int64(len(blocks))
	})
	gauge("kcw_control_evacuated_zones", "Evacuated availability zones.", func() int64 { return int64(len(m.service.table.Evacuations().GetZones())) })
	gauge("kcw_control_evacuations_behind", "Routers that lack the newest evacuations, as this member, if it leads, knows from their reports.", m.service.evacuationsBehind)
	gauge("kcw_control_list_skipped", "Entries of the list of upstreams that the last reading left out.", func() int64 { return int64(m.service.list.skippedEntries()) })
	gauge("kcw_control_limited_upstreams", "Upstreams that name a rate limit.", func() int64 { return int64(m.service.limits.limited()) })
	cold := m.service.limits.cold
	gauge("kcw_control_cold_upstreams", "Cold upstreams with a limit, as this member, if it leads, knows them.", func() int64 { n, _, _ := cold.counts(); return n })
	gauge("kcw_control_cold_malformed", "Upstreams whose cold time on the list can't be read.", func() int64 { _, n, _ := cold.counts(); return n })
	gauge("kcw_control_outages_reported", "Outages of upstreams of which routers have told since the start.", func() int64 { _, _, n := cold.counts(); return n })
	gauge("kcw_control_speed_bytes", "Bytes of speeds of upstreams in the reports received since the start.", m.service.speeds.bytes.Load)
	gauge("kcw_control_speeds_malformed", "Malformed speeds of upstreams in the reports received since the start.", m.service.speeds.malformed.Load)
	gauge("kcw_control_speeds", "Upstreams in the table of speeds whose load is known.", func() int64 { return int64(len(m.service.speeds.dump(m.service.limits.now()))) })
	gauge("kcw_control_disk_full", "Whether this member waits for room on its disk, 0 or 1.", func() int64 {
		if group.Full() {
			return 1
		}
		return 0
	})
	gauge("kcw_control_voters", "Members with a vote, as this member knows them.", func() int64 {
		return int64(countVoters(group.Status().GetMembership()))
	})
	gauge("kcw_control_silent_voters", "Members with a vote that this member, if it leads, takes to be silent.", m.service.silentVoters)
	gauge("kcw_control_reports_active", "Reports of routers in progress.", func() int64 { return int64(m.service.gate.Stats().Active) })
	gauge("kcw_control_reports_waiting", "Reports of routers that wait for others to end.", func() int64 { return int64(m.service.gate.Stats().Waiting) })
	gauge("kcw_control_reports_admitted", "Reports of routers admitted since the start.", func() int64 { return m.service.gate.Stats().Admitted })
	gauge("kcw_control_reports_refused", "Reports of routers refused since the start because too many were in progress.", func() int64 { return m.service.gate.Stats().Refused })
	gauge("kcw_control_report_bytes", "Bytes of reports received since the start.", m.service.received.reports.Load)
	gauge("kcw_control_evidence_bytes", "Bytes of evidence on prompt parts in the reports received since the start.", m.service.received.evidence.Load)
	gauge("kcw_control_documents_followed", "Documents sent to routers that follow this member.", m.service.sent.followed.Load)
	gauge("kcw_control_documents_reported", "Documents sent to routers in answers to their reports.", m.service.sent.reported.Load)
	gauge("kcw_control_routers_behind", "Routers that lack the newest document, as this member, if it leads, knows from their reports.", m.service.routersBehind)
	gauge("kcw_control_leads", "Whether this member leads, 0 or 1.", func() int64 {
		if status := group.Status(); status.GetLeader() == status.GetId() {
			return 1
		}
		return 0
	})
}

// Run serves until a signal stops the member.
func (m *Member) Run() error {
	s := m.cfg.Settings
	klog.InfoS("Member starts", "PeerAddress", s.Host.PeerAddress, "Address", s.Host.Address, "Bootstrap", s.Group.Bootstrap,
		"Seeds", s.Group.Seeds, "Folder", s.Host.Folder)
	go kcwreload.New(kcwreload.Config{Interval: reloadInterval, Reload: m.reload}).Run(m.ctx)
	app := kratos.New(
		kratos.Name("kcw-control"), kratos.Logger(m.cfg.Logger), kratos.Server(m.operator, m.peers, m.admin),
		kratos.StopTimeout(s.Stop.Grace/2),
		kratos.BeforeStop(func(context.Context) error {
			klog.InfoS("Member stops", "PeerAddress", s.Host.PeerAddress)
			m.handOverVote()
			return m.closeGroup()
		}),
	)
	announcer := &announcer{client: m.client, self: s.Host.PeerAddress, folder: m.folder, refresh: func() bool { return false }}
	if m.service != nil {
		announcer.refresh = m.service.refreshView
		m.startTasks(app)
	}
	m.tasks.Go(func() { announcer.run(m.ctx) })
	err := app.Run()
	m.cancel()
	m.tasks.Wait()
	if closeErr := m.closeGroup(); err == nil {
		err = closeErr
	}
	m.client.Close()
	_ = m.sender.Close()
	if m.service != nil {
		_ = m.folder.Close()
	}
	return err
}

// startTasks starts the background tasks of a member with a disk.
func (m *Member) startTasks(app *kratos.App) {
	go m.repeat(membershipInterval, m.service.maintain)
	go m.repeat(admitInterval, m.requestAdmission)
	go m.repeat(listPollInterval, m.readList)
	go func() {
		// A group stops by itself only after a disk error.
		<-m.service.group.Done()
		_ = app.Stop()
	}()
}

// closeGroup stops the replica, if there is one. It may be called twice.
func (m *Member) closeGroup() error {
	if m.service == nil {
		return nil
	}
	return m.service.group.Close()
}

// repeat calls f at each interval until the member stops.
func (m *Member) repeat(interval time.Duration, f func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			f(m.ctx)
		case <-m.ctx.Done():
			return
		}
	}
}

// requestAdmission asks the leader to admit this replica if it has no vote, or if it has had
// no contact with a leader for some time: it may have been removed meanwhile.
func (m *Member) requestAdmission(ctx context.Context) {
	status := m.service.group.Status()
	now := time.Now()
	if m.service.group.Fresh() || m.freshAt.IsZero() {
		m.freshAt = now
	}
	election := m.cfg.Settings.Group.Election
	inForce := kcwreplica.IsVoter(status.GetMembership(), status.GetId()) && now.Sub(m.freshAt) <= 2*election
	// A host that may substitute for a founder need not be one: the group may exist already.
	isFounding := status.GetRole() == founding && !maySubstitute(m.cfg.Settings)
	if status.GetId() == 0 || inForce || isFounding || m.leaving.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, election)
	defer cancel()
	if err := m.client.Admit(ctx, m.self(status)); err != nil {
		klog.V(kcwlog.DebugVerbosity).InfoS("Not admitted yet", "Cause", err.Error())
	}
}

// self returns this replica as a member.
func (m *Member) self(status *kcwpb.GroupStatus) *kcwpb.Member {
	s := m.cfg.Settings
	own := s.Host.PeerAddress.String()
	return &kcwpb.Member{Id: status.GetId(), Name: own, Zone: s.Host.Zone, Address: own}
}

// countVoters returns the number of members that vote, outgoing ones left out.
func countVoters(membership *kcwpb.Membership) int {
	n := 0
	for _, m := range membership.GetMembers() {
		if !m.GetLearner() {
			n++
		}
	}
	return n
}

// readList reads the list of upstreams if this member leads.
func (m *Member) readList(ctx context.Context) {
	status := m.service.group.Status()
	now := time.Now()
	isLeader := status.GetId() != 0 && status.GetLeader() == status.GetId()
	if isLeader {
		m.service.limits.cold.setDocument(m.service.table.Document())
	}
	if isLeader && m.service.list.due(now) {
		ctx, cancel := context.WithTimeout(ctx, m.cfg.Settings.List.Timeout)
		defer cancel()
		m.service.list.read(ctx, now)
	}
	if isLeader {
		m.service.list.restate(time.Now())
	}
}
