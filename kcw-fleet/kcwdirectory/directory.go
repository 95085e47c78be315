// Package kcwdirectory decides how a host finds the core of a document-driven
// fleet: which hosts it remembers, which it asks next, and whom it tells.
//
// Only members know the membership, and settings name a few hosts that may have
// no disk, be gone or be cut off. So every host that serves the core tells others
// what it knows, with the age of each fact. Ages add up on the way, so that a
// fact passed in a circle does not become fresh again.
//
// A Directory does no I/O, takes the clock as an argument and is not safe for
// concurrent use. Besides Directory the package exports the view that hosts
// exchange.
package kcwdirectory

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"
)

// maxHosts bounds the hosts that are remembered: some to an availability zone.
const maxHosts = 64

// Config configures a Directory.
type Config struct {
	// Self is the host's own address, which is never asked. It is not valid at a
	// host that does not serve the core.
	Self netip.AddrPort
	// LeaderTTL is how long a leader is named after a member confirmed it.
	LeaderTTL time.Duration
	// HostTTL is how long a host that is in no settings is remembered.
	HostTTL time.Duration
}

// Host is a host that serves the core.
type Host struct {
	Address netip.AddrPort
	// Member says that it is a member of the core.
	Member bool
	// Age is the time since a member in contact with the leader named it a
	// member, or for other hosts since it answered.
	Age time.Duration
}

// View is what one host knows of the core.
type View struct {
	// Leader is not valid if it is unknown. LeaderAge is the time since a member
	// in contact with it said so.
	Leader    netip.AddrPort
	LeaderAge time.Duration
	Hosts     []Host
}

// host is what is known of one host.
type host struct {
	seed, member bool
	// knownAt is when it was named or answered, triedAt and toldAt when it was
	// called last, and failedAt when it did not answer as leader.
	knownAt, triedAt, toldAt, failedAt time.Time
}

// Directory is what one host knows of the core.
type Directory struct {
	cfg      Config
	hosts    map[netip.AddrPort]*host
	leader   netip.AddrPort
	leaderAt time.Time
	// memberAt is when this host itself was named a member, zero if it is none.
	memberAt time.Time
}

// New returns a Directory that knows no host.
func New(cfg Config) *Directory {
	return &Directory{cfg: cfg, hosts: map[netip.AddrPort]*host{}}
}

// SetSeeds replaces the hosts of the settings. It reports whether they changed.
func (d *Directory) SetSeeds(seeds []netip.AddrPort) bool {
	changed := false
	for address, h := range d.hosts {
		if named := slices.Contains(seeds, address); named != h.seed {
			h.seed = named
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

// Merge takes what another host knows, as of now.
func (d *Directory) Merge(view View, now time.Time) {
	for _, told := range view.Hosts {
		d.note(told.Address, told.Member, now.Add(-max(0, told.Age)))
	}
	at := now.Add(-max(0, view.LeaderAge))
	if !view.Leader.IsValid() || !at.After(d.leaderAt) {
		return
	}
	d.note(view.Leader, true, at)
	if h := d.hosts[view.Leader]; h == nil || at.After(h.failedAt) {
		d.leader, d.leaderAt = view.Leader, at
	}
}

// RecordContact notes that the host at address answered or called at now.
func (d *Directory) RecordContact(address netip.AddrPort, now time.Time) {
	d.note(address, false, now)
}

// note keeps the host at address as known at a time. Later news of a host
// replaces earlier; a member stays one until it is forgotten.
func (d *Directory) note(address netip.AddrPort, member bool, at time.Time) {
	if address == d.cfg.Self && member && at.After(d.memberAt) {
		d.memberAt = at
	}
	if !address.IsValid() || address == d.cfg.Self {
		return
	}
	h := d.hosts[address]
	if h == nil {
		if len(d.hosts) >= maxHosts {
			return
		}
		h = &host{}
		d.hosts[address] = h
	}
	h.member = h.member || member
	if at.After(h.knownAt) {
		h.knownAt = at
	}
}

// Leader returns the leader that a member confirmed within the time of
// Config.LeaderTTL before now; it is not valid if there is none.
func (d *Directory) Leader(now time.Time) netip.AddrPort {
	if d.leader.IsValid() && now.Sub(d.leaderAt) <= d.cfg.LeaderTTL {
		return d.leader
	}
	return netip.AddrPort{}
}

// Next returns the host to ask at now: the leader if it is known, and otherwise
// the one that was asked longest ago, members before others. It is not valid if
// no host is known.
func (d *Directory) Next(now time.Time) netip.AddrPort {
	d.forget(now)
	if leader := d.Leader(now); d.hosts[leader] != nil {
		return leader
	}
	next := d.least(func(h *host) time.Time { return h.triedAt })
	if next.IsValid() {
		d.hosts[next].triedAt = now
	}
	return next
}

// least returns the host with the earliest time, among equals a member, then the
// one known of last.
func (d *Directory) least(at func(*host) time.Time) netip.AddrPort {
	var least netip.AddrPort
	for address, h := range d.hosts {
		if !least.IsValid() || before(at, address, h, least, d.hosts[least]) {
			least = address
		}
	}
	return least
}

// before reports whether the host x at a comes before the host y at b.
func before(at func(*host) time.Time, a netip.AddrPort, x *host, b netip.AddrPort, y *host) bool {
	rank := map[bool]int{true: 0, false: 1}
	return cmp.Or(at(x).Compare(at(y)), rank[x.member]-rank[y.member], y.knownAt.Compare(x.knownAt), a.Compare(b)) < 0
}

// RecordFailure notes that the host at address did not answer at now as leader.
func (d *Directory) RecordFailure(address netip.AddrPort, now time.Time) {
	if h := d.hosts[address]; h != nil {
		h.triedAt, h.failedAt = now, now
	}
	if d.leader == address {
		d.leader = netip.AddrPort{}
	}
}

// AnnounceTargets returns the hosts to tell at now what this host knows. A leader tells
// all that are no members, which need it to send callers on. Others tell the
// leader, and the host that was told longest ago.
func (d *Directory) AnnounceTargets(leads bool, now time.Time) []netip.AddrPort {
	d.forget(now)
	var audience []netip.AddrPort
	if leads {
		for address, h := range d.hosts {
			if !h.member {
				audience = append(audience, address)
			}
		}
		return audience
	}
	if leader := d.hosts[d.Leader(now)]; leader != nil {
		audience = append(audience, d.leader)
		leader.toldAt = now
	}
	if next := d.least(func(h *host) time.Time { return h.toldAt }); next.IsValid() && !slices.Contains(audience, next) {
		audience = append(audience, next)
		d.hosts[next].toldAt = now
	}
	return audience
}

// View returns what this host knows at now, to tell others. Hosts that are known
// from settings alone are left out.
func (d *Directory) View(now time.Time) View {
	d.forget(now)
	view := View{}
	if leader := d.Leader(now); leader.IsValid() {
		view.Leader, view.LeaderAge = leader, now.Sub(d.leaderAt)
	}
	if age := now.Sub(d.memberAt); !d.memberAt.IsZero() && age <= d.cfg.HostTTL {
		view.Hosts = append(view.Hosts, Host{Address: d.cfg.Self, Member: true, Age: age})
	}
	for address, h := range d.hosts {
		if !h.knownAt.IsZero() {
			view.Hosts = append(view.Hosts, Host{Address: address, Member: h.member, Age: now.Sub(h.knownAt)})
		}
	}
	slices.SortFunc(view.Hosts, func(a, b Host) int { return a.Address.Compare(b.Address) })
	return view
}

// forget drops hosts that are in no settings and were not known of for long.
func (d *Directory) forget(now time.Time) {
	maps.DeleteFunc(d.hosts, func(address netip.AddrPort, h *host) bool {
		return !h.seed && address != d.leader && now.Sub(h.knownAt) > d.cfg.HostTTL
	})
}
