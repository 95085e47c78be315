package kcwgroup

import (
	"errors"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"kingcupwick.example/kcw/kcwpb"
)

// A group is founded in three steps, so that two different sets of founders can
// never both be in force and a founder whose disk was lost is detected:
//
//  1. Each founder sends the identity that it created to the others.
//  2. A founder that has received all identities persists the set of them.
//  3. A founder that has received confirmation that all others persisted the same
//     set starts its log with it.
//
// If a founder finds its own name with another identity in a persisted set, its
// disk was lost. It then stops founding and waits to be added as a learner.
//
// A founder without a disk can't persist anything. It names another host that founds the group
// in its place, its substitute, and never names a second one (Delegator). The set of founders is
// that of the configured ones, each replaced by its substitute if it has one. Two sets in force
// would therefore differ in each place: every founder would have lost its disk, or have
// restarted and named another substitute.
const foundKind = kcwpb.MessageKind_MESSAGE_KIND_FOUND

// Values of Message.hint in a message of foundKind.
const (
	// hintIdentity means that the message's membership is the sender alone.
	hintIdentity = iota
	// hintPersisted means that the membership is the set of founders that the sender
	// has persisted.
	hintPersisted
	// hintMember means that the membership is that of an existing group, of which
	// the sender is a member.
	hintMember
	// hintSubstitute means that the sender is a founder without a disk. The membership is
	// the sender, and its substitute if that has been chosen.
	hintSubstitute
)

// replyRequested in Message.round requests a reply.
const replyRequested = 1

// foundingState is the state of a founding in progress.
type foundingState struct {
	self *kcwpb.Member
	// founders are the configured founders, and once the set is persisted, those in it.
	founders []*kcwpb.Member
	// identities holds the founders whose identity is known, by the name of the configured
	// founder. For one without a disk it holds the substitute.
	identities map[string]*kcwpb.Member
	// adopted is a set that another founder has persisted and that holds this replica, nil if
	// none is known.
	adopted []*kcwpb.Member
	// persisted is the set of founders that this replica has persisted, nil
	// before that.
	persisted []*kcwpb.Member
	// confirmed holds the names of the founders that have persisted the same set.
	confirmed map[string]bool
	// requestAt is when the next request to the other founders is due, and reportAt when the log
	// states next for whom the founding waits.
	requestAt, reportAt time.Time
}

func newFoundingState(self *kcwpb.Member, founders, persisted []*kcwpb.Member) *foundingState {
	if len(persisted) > 0 {
		founders = persisted
	}
	return &foundingState{
		self: self, founders: founders, persisted: persisted,
		identities: map[string]*kcwpb.Member{self.Name: self},
		confirmed:  map[string]bool{self.Name: true},
	}
}

// handle processes a message from a founder. It returns an error if this replica
// must stop founding.
func (f *foundingState) handle(m *kcwpb.Message, sender *kcwpb.Member) error {
	members := m.Membership.GetMembers()
	switch {
	case m.Hint == hintMember && len(f.persisted) == 0:
		return errors.New("the group already exists")
	case m.Hint == hintIdentity && len(f.persisted) == 0:
		f.identities[sender.Name] = sender
	case m.Hint == hintSubstitute && len(f.persisted) == 0:
		for _, other := range members {
			if other.Id != sender.Id {
				f.identities[sender.Name] = other
			}
		}
	case m.Hint == hintPersisted && len(f.persisted) == 0:
		f.adopted = members
	case m.Hint == hintPersisted && sameMembers(f.persisted, members):
		f.confirmed[sender.Name] = true
	case m.Hint == hintPersisted:
		return errors.New("another founder has persisted a different set of founders")
	}
	return nil
}

// set returns the set of founders, and nil while an identity in it is unknown. The error means that
// the set does not hold this replica, which must then stop founding.
func (f *foundingState) set() ([]*kcwpb.Member, error) {
	members := f.adopted
	if members == nil {
		members = f.complete()
	}
	if members == nil {
		return nil, nil
	}
	for _, m := range members {
		switch {
		case m.Name != f.self.Name:
		case m.Id == f.self.Id:
			return members, nil
		default:
			return nil, errLostDisk
		}
	}
	return nil, errNotFounder
}

// The reasons for which a replica stops founding once the set of founders is known.
var (
	errLostDisk   = errors.New("the set of founders holds this founder's name with another identity")
	errNotFounder = errors.New("other replicas found the group")
)

// complete returns the configured founders with their identities, or those of their substitutes. It
// returns nil if an identity is still unknown, or if two are known for one host. A host that is the
// substitute of two founders counts once.
func (f *foundingState) complete() []*kcwpb.Member {
	var members []*kcwpb.Member
	byName := map[string]uint64{}
	for _, founder := range f.founders {
		m := f.identities[founder.Name]
		if m == nil {
			return nil
		}
		id, isKnown := byName[m.Name]
		switch {
		case isKnown && id != m.Id:
			return nil
		case !isKnown:
			byName[m.Name] = m.Id
			members = append(members, m)
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Id < members[j].Id })
	return members
}

func (f *foundingState) isConfirmed() bool {
	for _, founder := range f.founders {
		if !f.confirmed[founder.Name] {
			return false
		}
	}
	return len(f.persisted) > 0
}

// awaited returns the names of the founders whose identity is unknown, and of those that have not
// confirmed the set that this replica has persisted.
func (f *foundingState) awaited() (unknown, unconfirmed []string) {
	for _, founder := range f.founders {
		switch {
		case len(f.persisted) > 0 && !f.confirmed[founder.Name]:
			unconfirmed = append(unconfirmed, founder.Name)
		case len(f.persisted) == 0 && f.identities[founder.Name] == nil:
			unknown = append(unknown, founder.Name)
		}
	}
	return unknown, unconfirmed
}

func sameMembers(a, b []*kcwpb.Member) bool {
	return proto.Equal(&kcwpb.Membership{Members: a}, &kcwpb.Membership{Members: b})
}

// handleFound handles a message of foundKind from another replica.
func (g *Group) handleFound(m *kcwpb.Message) error {
	sender := senderOf(m)
	if sender == nil || m.From == g.identity.ID {
		return nil
	}
	if m.Round == replyRequested {
		g.replyFound(sender)
	}
	if g.founding == nil {
		return nil
	}
	if err := g.founding.handle(m, sender); err != nil {
		g.giveUpFounding(err)
		return nil
	}
	return g.advanceFounding()
}

// senderOf returns the member that sent m, a message of foundKind, or nil if m does not hold it.
func senderOf(m *kcwpb.Message) *kcwpb.Member {
	for _, member := range m.Membership.GetMembers() {
		if member.Id == m.From {
			return member
		}
	}
	return nil
}

// giveUpFounding ends the founding at a replica that is not one of the founders. That is expected
// unless it is configured as one.
func (g *Group) giveUpFounding(cause error) {
	const text = "founding given up; waiting to be added as a learner"
	g.founding = nil
	if g.cfg.Substitute {
		klog.InfoS(text, "Group", g.cfg.Group, "Replica", g.identity.ID, "Cause", cause.Error())
		return
	}
	klog.ErrorS(cause, text, "Group", g.cfg.Group, "Replica", g.identity.ID)
}

// advanceFounding performs the next steps of the founding whose conditions are
// met: it persists the founders and starts the log.
func (g *Group) advanceFounding() error {
	f := g.founding
	members, err := f.set()
	if err != nil && len(f.persisted) == 0 {
		g.giveUpFounding(err)
		return nil
	}
	if members != nil && len(f.persisted) == 0 {
		if err := g.retryWhileFull(func() error { return storeFounders(g.cfg.Folder, members) }); err != nil {
			return err
		}
		f.persisted, f.founders = members, members
		g.founders = members
	}
	if !f.isConfirmed() {
		return nil
	}
	return g.beginLog()
}

// beginLog writes the log's first entry, which is the same on all founders, and
// starts the replica with it.
func (g *Group) beginLog() error {
	const firstTerm = 1
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(&kcwpb.Membership{Members: g.founders})
	if err != nil {
		return fail("found", Invalid, err)
	}
	first := []*kcwpb.Entry{{
		Index: 1, Term: firstTerm,
		Kind: kcwpb.EntryKind_ENTRY_KIND_MEMBERSHIP, Data: data,
	}}
	if err := g.retryWhileFull(func() error { return g.wal.Save(firstTerm, 0, first) }); err != nil {
		return fail("found", Storage, err)
	}
	g.founding = nil
	return g.start(firstTerm, 0, first)
}

// endFounding ends the founding because a message of an existing group has come. That group has
// been founded by the set that this replica has persisted, since another one needs a confirmation
// that this replica does not give. If it has persisted none, it has been added as a learner. The log
// begins before the message is handled: entries that this replica acknowledges must not be replaced
// by the first one later.
func (g *Group) endFounding() error {
	klog.InfoS("founding ended by a message of the group", "Group", g.cfg.Group, "Replica", g.identity.ID, "Founders", len(g.founding.persisted))
	if len(g.founding.persisted) > 0 {
		return g.beginLog()
	}
	g.founding = nil
	return nil
}

// tickFounding sends a request to the other founders once per heartbeat interval
// until the log is started.
func (g *Group) tickFounding(now time.Time) error {
	f := g.founding
	if f == nil || now.Before(f.requestAt) {
		return nil
	}
	f.requestAt = now.Add(g.cfg.Heartbeat)
	g.reportFounding(now)
	for _, founder := range f.founders {
		if founder.Name == g.cfg.Name {
			continue
		}
		m := g.foundMessage()
		m.Round = replyRequested
		g.cfg.Send(founder, []*kcwpb.Message{m})
	}
	return g.advanceFounding()
}

// reportHeartbeats is the number of heartbeat intervals between two lines of the log that state for
// whom the founding waits.
const reportHeartbeats = 50

// reportFounding logs for whom the founding waits, if that is due.
func (g *Group) reportFounding(now time.Time) {
	f := g.founding
	switch {
	case f.reportAt.IsZero():
	case now.Before(f.reportAt):
		return
	default:
		unknown, unconfirmed := f.awaited()
		klog.InfoS("founding waits", "Group", g.cfg.Group, "Replica", g.identity.ID, "Unknown", unknown, "Unconfirmed", unconfirmed)
	}
	f.reportAt = now.Add(reportHeartbeats * g.cfg.Heartbeat)
}

func (g *Group) replyFound(to *kcwpb.Member) {
	if m := g.foundMessage(); m != nil {
		g.cfg.Send(to, []*kcwpb.Message{m})
	}
}

// foundMessage returns a message with the founders, the identity or the membership
// that this replica has. It returns nil if it has none of them.
func (g *Group) foundMessage() *kcwpb.Message {
	m := &kcwpb.Message{Kind: foundKind, From: g.identity.ID}
	switch {
	case len(g.founders) > 0:
		m.Hint = hintPersisted
		m.Membership = &kcwpb.Membership{Members: g.founders}
	case g.founding != nil:
		m.Hint = hintIdentity
		m.Membership = &kcwpb.Membership{Members: []*kcwpb.Member{g.self()}}
	case len(g.replica.Membership().GetMembers()) > 0:
		m.Hint = hintMember
		m.Membership = g.replica.Membership()
	default:
		return nil
	}
	return m
}
