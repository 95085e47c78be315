// Package kcwdirectory implements the discovery of the core of a document-driven
// fleet: which hosts a process remembers, which it calls next, and to which it
// announces its view.
//
// Only members of the core hold the membership, and settings name a few hosts that may
// have no disk, be gone or be partitioned off. Every host that serves the core therefore
// announces its view to others, with the age of each fact. Ages add up on the way, so
// that a fact that travels in a circle does not become fresh again.
//
// A Directory does no I/O, takes the clock as an argument and is not safe for
// concurrent use. View is the part of it that hosts exchange.
package kcwdirectory

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"
)

// maxHosts bounds the remembered hosts. It allows for several in each availability zone.
const maxHosts = 64

// Config configures a Directory.
type Config struct {
	// Self is the host's own address, which is never called. It is not valid at a
	// host that does not serve the core.
	Self netip.AddrPort
	// LeaderTTL is how long a leader stays valid after a member has confirmed it.
	LeaderTTL time.Duration
	// HostTTL is how long a host that is not a seed is remembered after it was last
	// seen.
	HostTTL time.Duration
}

// Host is a host that serves the core.
type Host struct {
	Address netip.AddrPort
	// Member is set for a member of the core.
	Member bool
	// Age is the time since a member in contact with the leader listed the host as a
	// member, or, for other hosts, since the host was last in contact.
	Age time.Duration
}

// View is one host's view of the core, which it sends to others.
type View struct {
	// Leader is not valid if it is unknown. LeaderAge is the time since a member in
	// contact with the leader confirmed it.
	Leader    netip.AddrPort
	LeaderAge time.Duration
	Hosts     []Host
}

// host is the state of one host.
type host struct {
	// seed is set if the settings name the host.
	seed, member bool
	// seenAt is when the host was last in contact or listed as a member, triedAt when it
	// was last chosen for a call, announcedAt when it was last chosen for an
	// announcement, and failedAt when it last failed to answer as leader.
	seenAt, triedAt, announcedAt, failedAt time.Time
	// listedAt is when the host was last listed as a member, zero if never.
	listedAt time.Time
	// isSilent is set if the last call to the host got no answer.
	isSilent bool
}

// Directory holds the hosts that serve the core and the leader.
type Directory struct {
	cfg   Config
	hosts map[netip.AddrPort]*host
	// leaderAt is when a member last confirmed leader.
	leader   netip.AddrPort
	leaderAt time.Time
	// memberAt is when this host itself was last listed as a member, zero if never.
	memberAt time.Time
	// listedAt is when any host was last listed as a member.
	listedAt time.Time
}

// New returns an empty Directory.
func New(cfg Config) *Directory {
	return &Directory{cfg: cfg, hosts: map[netip.AddrPort]*host{}}
}

// SetSeeds replaces the seeds, the hosts that the settings name. It reports whether
// they changed.
func (d *Directory) SetSeeds(seeds []netip.AddrPort) bool {
	changed := false
	for address, h := range d.hosts {
		if isSeed := slices.Contains(seeds, address); isSeed != h.seed {
			h.seed = isSeed
			changed = true
		}
	}
	for _, seed := range seeds {
		if seed.IsValid() && seed != d.cfg.Self && d.hosts[seed] == nil {
			d.hosts[seed] = &host{seed: true}
			changed = true
		}
	}
	return changed
}

// Merge adds another host's view, whose ages are those at now. The view's leader replaces
// the current one only if it was confirmed later than that one, and later than its own
// last failure to answer as leader.
func (d *Directory) Merge(view View, now time.Time) {
	for _, h := range view.Hosts {
		at := now.Add(-max(0, h.Age))
		d.record(h.Address, h.Member, at)
		if h.Member && at.After(d.listedAt) {
			d.listedAt = at
		}
	}
	at := now.Add(-max(0, view.LeaderAge))
	if !view.Leader.IsValid() || !at.After(d.leaderAt) {
		return
	}
	d.record(view.Leader, true, at)
	if h := d.hosts[view.Leader]; h == nil || at.After(h.failedAt) {
		d.leader, d.leaderAt = view.Leader, at
	}
}

// RecordContact records that the host at address answered or called at now.
func (d *Directory) RecordContact(address netip.AddrPort, now time.Time) {
	d.record(address, false, now)
	if h := d.hosts[address]; h != nil {
		h.isSilent = false
	}
}

// record adds the host at address, or updates it if at is later than it was last seen. A
// member stays one until it is evicted. If there is no room, the host that was seen the
// longest ago makes way for one that was seen later.
func (d *Directory) record(address netip.AddrPort, member bool, at time.Time) {
	if address == d.cfg.Self && member && at.After(d.memberAt) {
		d.memberAt = at
	}
	if !address.IsValid() || address == d.cfg.Self {
		return
	}
	h := d.hosts[address]
	if h == nil {
		if len(d.hosts) >= maxHosts && !d.dropBefore(at) {
			return
		}
		h = &host{}
		d.hosts[address] = h
	}
	h.member = h.member || member
	if at.After(h.seenAt) {
		h.seenAt = at
	}
	if member && at.After(h.listedAt) {
		h.listedAt = at
	}
}

// dropBefore drops the host that was seen the longest ago, if that was before at. It keeps
// the seeds and the leader. It reports whether it dropped one.
func (d *Directory) dropBefore(at time.Time) bool {
	var oldest netip.AddrPort
	for address, h := range d.hosts {
		if h.seed || address == d.leader || !h.seenAt.Before(at) {
			continue
		}
		if before := d.hosts[oldest]; before == nil || cmp.Or(h.seenAt.Compare(before.seenAt), address.Compare(oldest)) < 0 {
			oldest = address
		}
	}
	delete(d.hosts, oldest)
	return oldest.IsValid()
}

// Leader returns the leader if a member has confirmed it within Config.LeaderTTL before
// now. Otherwise the address is not valid.
func (d *Directory) Leader(now time.Time) netip.AddrPort {
	if d.leader.IsValid() && now.Sub(d.leaderAt) <= d.cfg.LeaderTTL {
		return d.leader
	}
	return netip.AddrPort{}
}

// Next returns the host to call at now: the leader if there is one, and otherwise the
// host whose last call is the longest ago, members before others. The address is not
// valid if there is no host.
func (d *Directory) Next(now time.Time) netip.AddrPort {
	d.evict(now)
	if leader := d.Leader(now); d.hosts[leader] != nil {
		return leader
	}
	next := d.oldest(func(h *host) time.Time { return h.triedAt })
	if next.IsValid() {
		d.hosts[next].triedAt = now
	}
	return next
}

// NextAfter returns the host to call at now in a search that has called the hosts in tried:
// the leader if there is one, unless it was silent in this search, and otherwise a host that
// was not tried. Hosts whose last call got an answer, or that were not called yet, come
// before silent ones, and among them the members of the newest membership before others. A
// search must end with a call of Next, so that it tries all hosts in the long run. The
// address is not valid if there is no host to call.
func (d *Directory) NextAfter(tried []netip.AddrPort, now time.Time) netip.AddrPort {
	d.evict(now)
	if leader := d.Leader(now); d.hosts[leader] != nil && !(d.hosts[leader].isSilent && slices.Contains(tried, leader)) {
		return leader
	}
	var next netip.AddrPort
	for address, h := range d.hosts {
		if slices.Contains(tried, address) {
			continue
		}
		best := d.hosts[next]
		if best == nil || cmp.Or(d.rank(h)-d.rank(best), h.triedAt.Compare(best.triedAt), best.seenAt.Compare(h.seenAt), address.Compare(next)) < 0 {
			next = address
		}
	}
	if next.IsValid() {
		d.hosts[next].triedAt = now
	}
	return next
}

// rank returns the place of a host in the order of NextAfter. The members of one membership
// are listed at about the same time.
func (d *Directory) rank(h *host) int {
	switch {
	case h.isSilent:
		return 2
	case h.listedAt.IsZero() || d.listedAt.Sub(h.listedAt) > d.cfg.LeaderTTL:
		return 1
	}
	return 0
}

// RecordSilence records that the host at address did not answer a call at now.
func (d *Directory) RecordSilence(address netip.AddrPort, now time.Time) {
	d.RecordFailure(address, now)
	if h := d.hosts[address]; h != nil {
		h.isSilent = true
	}
}

// oldest returns the host with the earliest time. It breaks ties in favour of members,
// and then of the host that was seen last.
func (d *Directory) oldest(at func(*host) time.Time) netip.AddrPort {
	var oldest netip.AddrPort
	for address, h := range d.hosts {
		if !oldest.IsValid() || precedes(at, address, h, oldest, d.hosts[oldest]) {
			oldest = address
		}
	}
	return oldest
}

// precedes reports whether the host x with address a comes before the host y with
// address b in the order of oldest.
func precedes(at func(*host) time.Time, a netip.AddrPort, x *host, b netip.AddrPort, y *host) bool {
	rank := map[bool]int{true: 0, false: 1}
	return cmp.Or(at(x).Compare(at(y)), rank[x.member]-rank[y.member], y.seenAt.Compare(x.seenAt), a.Compare(b)) < 0
}

// RecordFailure records that the host at address did not answer as leader at now.
func (d *Directory) RecordFailure(address netip.AddrPort, now time.Time) {
	if h := d.hosts[address]; h != nil {
		h.triedAt, h.failedAt = now, now
	}
	if d.leader == address {
		d.leader = netip.AddrPort{}
	}
}

// AnnounceTargets returns the hosts to which this host announces its view at now. A
// leader announces to all hosts that are not members, because they redirect callers to
// it. Other hosts announce to the leader and to the host whose last announcement is the
// longest ago.
func (d *Directory) AnnounceTargets(leads bool, now time.Time) []netip.AddrPort {
	d.evict(now)
	var targets []netip.AddrPort
	if leads {
		for address, h := range d.hosts {
			if !h.member {
				targets = append(targets, address)
			}
		}
		return targets
	}
	if leader := d.hosts[d.Leader(now)]; leader != nil {
		targets = append(targets, d.leader)
		leader.announcedAt = now
	}
	if next := d.oldest(func(h *host) time.Time { return h.announcedAt }); next.IsValid() && !slices.Contains(targets, next) {
		targets = append(targets, next)
		d.hosts[next].announcedAt = now
	}
	return targets
}

// View returns this host's view at now. It leaves out seeds that were never seen.
func (d *Directory) View(now time.Time) View {
	d.evict(now)
	view := View{}
	if leader := d.Leader(now); leader.IsValid() {
		view.Leader, view.LeaderAge = leader, now.Sub(d.leaderAt)
	}
	if age := now.Sub(d.memberAt); !d.memberAt.IsZero() && age <= d.cfg.HostTTL {
		view.Hosts = append(view.Hosts, Host{Address: d.cfg.Self, Member: true, Age: age})
	}
	for address, h := range d.hosts {
		if !h.seenAt.IsZero() {
			view.Hosts = append(view.Hosts, Host{Address: address, Member: h.member, Age: now.Sub(h.seenAt)})
		}
	}
	slices.SortFunc(view.Hosts, func(a, b Host) int { return a.Address.Compare(b.Address) })
	return view
}

// evict drops the hosts that are neither a seed nor the leader and were last seen more
// than Config.HostTTL ago.
func (d *Directory) evict(now time.Time) {
	maps.DeleteFunc(d.hosts, func(address netip.AddrPort, h *host) bool {
		return !h.seed && address != d.leader && now.Sub(h.seenAt) > d.cfg.HostTTL
	})
}
