package kcwgroup

import (
	"errors"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"kingcupwick.example/kcw/kcwpb"
)

// A group is founded in three steps, so that no two sets of founders can ever
// both be in force, and a founder whose disk was lost is recognised:
//
//  1. each founder tells the others the identity that it minted;
//  2. one that knows all identities settles on them, durably;
//  3. one that has heard that all others settled on the same set begins its log
//     with it.
//
// A founder that finds its own name settled under another identity has lost its
// disk; it gives up and waits to be added as a learner.
const foundKind = kcwpb.MessageKind_MESSAGE_KIND_FOUND

// Values of Message.hint in a message of founding.
const (
	// hintKnown: membership is the sender alone.
	hintKnown = iota
	// hintSettled: membership is what the sender has settled on.
	hintSettled
	// hintExists: the sender is a member of a group that exists.
	hintExists
)

// wantsReply in Message.round asks for a reply.
const wantsReply = 1

// foundation is a founding under way.
type foundation struct {
	self     *kcwpb.Member
	founders []*kcwpb.Member
	known    map[string]*kcwpb.Member
	settled  []*kcwpb.Member
	agreed   map[string]bool
	askAt    time.Time
}

func newFoundation(self *kcwpb.Member, founders, settled []*kcwpb.Member) *foundation {
	if len(settled) > 0 {
		founders = settled
	}
	return &foundation{
		self: self, founders: founders, settled: settled,
		known:  map[string]*kcwpb.Member{self.Name: self},
		agreed: map[string]bool{self.Name: true},
	}
}

// learn takes what a founder said, and returns an error if this replica must
// give up founding.
func (f *foundation) learn(m *kcwpb.Message, sender *kcwpb.Member) error {
	members := m.Membership.GetMembers()
	switch {
	case m.Hint == hintExists && len(f.settled) == 0:
		return errors.New("the group exists already")
	case m.Hint == hintKnown && len(f.settled) == 0:
		f.known[sender.Name] = sender
	case m.Hint == hintSettled && len(f.settled) == 0:
		return f.learnSettled(members)
	case m.Hint == hintSettled && sameMembers(f.settled, members):
		f.agreed[sender.Name] = true
	case m.Hint == hintSettled:
		return errors.New("another set of founders was settled on")
	}
	return nil
}

func (f *foundation) learnSettled(members []*kcwpb.Member) error {
	for _, m := range members {
		if m.Name == f.self.Name && m.Id != f.self.Id {
			return errors.New("this founder took part before, under another identity")
		}
	}
	for _, m := range members {
		f.known[m.Name] = m
	}
	return nil
}

// complete returns the founders with their identities, once all are known.
func (f *foundation) complete() ([]*kcwpb.Member, bool) {
	var members []*kcwpb.Member
	for _, founder := range f.founders {
		m := f.known[founder.Name]
		if m == nil {
			return nil, false
		}
		members = append(members, m)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Id < members[j].Id })
	return members, true
}

func (f *foundation) isAgreed() bool {
	for _, founder := range f.founders {
		if !f.agreed[founder.Name] {
			return false
		}
	}
	return len(f.settled) > 0
}

func sameMembers(a, b []*kcwpb.Member) bool {
	return proto.Equal(&kcwpb.Membership{Members: a}, &kcwpb.Membership{Members: b})
}

// handleFound takes a message of founding from another replica.
func (g *Group) handleFound(m *kcwpb.Message) error {
	var sender *kcwpb.Member
	for _, member := range m.Membership.GetMembers() {
		if member.Id == m.From {
			sender = member
		}
	}
	if sender == nil || m.From == g.identity.ID {
		return nil
	}
	if m.Round == wantsReply {
		g.replyFound(sender)
	}
	if g.founding == nil {
		return nil
	}
	if err := g.founding.learn(m, sender); err != nil {
		klog.ErrorS(err, "not founding the group; waiting to be added", "Group", g.cfg.Group, "Replica", g.identity.ID, "Heard", sender.Name)
		g.founding = nil
		return nil
	}
	return g.proceedFounding()
}

// proceedFounding settles, and begins the log, as soon as it may.
func (g *Group) proceedFounding() error {
	f := g.founding
	members, ok := f.complete()
	if ok && len(f.settled) == 0 {
		if err := storeFounders(g.cfg.Folder, members); err != nil {
			return err
		}
		f.settled = members
		g.founders = members
	}
	if !f.isAgreed() {
		return nil
	}
	return g.beginLog()
}

// beginLog writes the first entry, which is the same at all founders.
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
	if err := g.wal.Save(firstTerm, 0, first); err != nil {
		return fail("found", Storage, err)
	}
	g.founding = nil
	return g.start(firstTerm, 0, first)
}

// tickFounding asks the other founders again from time to time.
func (g *Group) tickFounding(now time.Time) error {
	f := g.founding
	if f == nil || now.Before(f.askAt) {
		return nil
	}
	f.askAt = now.Add(g.cfg.Heartbeat)
	for _, founder := range f.founders {
		if founder.Name == g.cfg.Name {
			continue
		}
		m := g.foundMessage()
		m.Round = wantsReply
		g.cfg.Send(founder, []*kcwpb.Message{m})
	}
	return g.proceedFounding()
}

func (g *Group) replyFound(to *kcwpb.Member) {
	if m := g.foundMessage(); m != nil {
		g.cfg.Send(to, []*kcwpb.Message{m})
	}
}

// foundMessage says what this replica knows, nil if nothing.
func (g *Group) foundMessage() *kcwpb.Message {
	m := &kcwpb.Message{Kind: foundKind, From: g.identity.ID}
	switch {
	case len(g.founders) > 0:
		m.Hint = hintSettled
		m.Membership = &kcwpb.Membership{Members: g.founders}
	case g.founding != nil:
		m.Hint = hintKnown
		m.Membership = &kcwpb.Membership{Members: []*kcwpb.Member{g.self()}}
	case len(g.replica.Membership().GetMembers()) > 0:
		m.Hint = hintExists
		m.Membership = g.replica.Membership()
	default:
		return nil
	}
	return m
}
