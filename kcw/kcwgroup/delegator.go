package kcwgroup

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"kingcupwick.example/kcw/kcwpb"
)

// maxCandidates bounds the hosts among which a Delegator chooses.
const maxCandidates = 64

// DelegatorConfig configures a Delegator. Every field is needed.
type DelegatorConfig struct {
	// Group, Name, Zone and Address are those of Config for a founder without a disk.
	Group, Name, Zone string
	Address           netip.AddrPort
	// Founders are the configured founders, as in Config.
	Founders []*kcwpb.Member
	// ChooseAt is when the substitute is chosen. Hosts that have not called by then do not
	// found the group.
	ChooseAt time.Time
}

// Delegator takes the place of a Group at a founder without a disk. It chooses the host that founds
// the group in its place, and names that one to whoever asks. It does not choose again: the
// founders would differ from those that have been told. It must be created only if the group has
// never been founded, as after a restart the earlier choice is not known.
//
// A Delegator does no I/O, takes the clock as an argument and is not safe for concurrent use.
type Delegator struct {
	cfg  DelegatorConfig
	self *kcwpb.Member
	// candidates are the hosts with a disk that are not among the founders, by name.
	candidates map[string]*kcwpb.Member
	// substitute is nil until it is chosen. IsFounded is set once there are a set of founders or
	// a group.
	substitute *kcwpb.Member
	isFounded  bool
}

// NewDelegator returns a Delegator that has chosen no substitute.
func NewDelegator(cfg DelegatorConfig) *Delegator {
	self := &kcwpb.Member{Id: max(1, rand.Uint64()), Name: cfg.Name, Zone: cfg.Zone, Address: cfg.Address.String()}
	return &Delegator{cfg: cfg, self: self, candidates: map[string]*kcwpb.Member{}}
}

// Step handles a message that arrived at now. It returns the reply and its receiver, or nil if there
// is none.
func (d *Delegator) Step(m *kcwpb.Message, now time.Time) (to *kcwpb.Member, reply *kcwpb.Message) {
	sender := senderOf(m)
	if m.Kind != foundKind || sender == nil {
		return nil, nil
	}
	switch m.Hint {
	case hintIdentity:
		d.addCandidate(sender)
	case hintPersisted, hintMember:
		d.EndChoice()
	}
	d.choose(now)
	if m.Round != replyRequested {
		return nil, nil
	}
	members := []*kcwpb.Member{d.self}
	if d.substitute != nil {
		members = append(members, d.substitute)
	}
	return sender, &kcwpb.Message{Kind: foundKind, From: d.self.Id, Hint: hintSubstitute, Membership: &kcwpb.Membership{Members: members}}
}

// EndChoice states that there are a set of founders or a group, so that no substitute is chosen any
// more. One that has been chosen stays.
func (d *Delegator) EndChoice() { d.isFounded = true }

// addCandidate adds a host that may be chosen. One that has lost its disk replaces its former
// identity.
func (d *Delegator) addCandidate(m *kcwpb.Member) {
	isFounder := slices.ContainsFunc(d.cfg.Founders, func(f *kcwpb.Member) bool { return f.Name == m.Name })
	if isFounder || len(d.candidates) >= maxCandidates && d.candidates[m.Name] == nil {
		return
	}
	d.candidates[m.Name] = m
}

// choose chooses the substitute once it is time. Founders in different zones choose different hosts,
// and so do founders that know the same candidates, as far as there are enough.
func (d *Delegator) choose(now time.Time) {
	if d.substitute != nil || d.isFounded || len(d.candidates) == 0 || now.Before(d.cfg.ChooseAt) {
		return
	}
	var all, near []*kcwpb.Member
	for _, m := range d.candidates {
		all = append(all, m)
		if m.Zone == d.cfg.Zone {
			near = append(near, m)
		}
	}
	if len(near) == 0 {
		near = all
	}
	slices.SortFunc(near, func(a, b *kcwpb.Member) int { return strings.Compare(a.Name, b.Name) })
	place := 0
	for _, f := range d.cfg.Founders {
		if f.Name < d.cfg.Name {
			place++
		}
	}
	d.substitute = near[place%len(near)]
	klog.InfoS("substitute of a founder without a disk chosen", "Group", d.cfg.Group, "Founder", d.cfg.Name,
		"Substitute", d.substitute.Name, "Identity", d.substitute.Id, "Candidates", len(all))
}
