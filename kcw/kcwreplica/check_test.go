package kcwreplica

import (
	"google.golang.org/protobuf/proto"

	"kingcupwick.example/kcw/kcwpb"
)

// checkApplied records that n applied e and checks state machine safety: all
// replicas apply the same entry at an index, without gaps.
func (s *sim) checkApplied(n *node, e *kcwpb.Entry) {
	if e.Index != n.applied+1 {
		s.fail("%d applied entry %d after %d", n.id, e.Index, n.applied)
	}
	n.applied = e.Index
	if earlier := s.committed[e.Index]; earlier != nil && !proto.Equal(earlier, e) {
		s.fail("%d applied %v where another replica applied %v", n.id, e, earlier)
	}
	if s.committed[e.Index] == nil && e.Kind == kcwpb.EntryKind_ENTRY_KIND_MEMBERSHIP {
		s.countChange(e)
	}
	s.committed[e.Index] = e
	s.highest = max(s.highest, e.Index)
}

// countChange counts the committed membership in e by its kind.
func (s *sim) countChange(e *kcwpb.Entry) {
	earlier := &kcwpb.Entry{}
	for index := e.Index - 1; index > 0 && earlier.Kind != kcwpb.EntryKind_ENTRY_KIND_MEMBERSHIP; index-- {
		earlier = s.committed[index]
	}
	if earlier.Kind != kcwpb.EntryKind_ENTRY_KIND_MEMBERSHIP {
		return
	}
	before, after := parseMembership(earlier), parseMembership(e)
	switch {
	case len(after.Outgoing) > 0:
		s.started++
	case len(before.Outgoing) > 0 && earlier.Term != e.Term:
		s.completed++
		s.inherited++
	case len(before.Outgoing) > 0:
		s.completed++
	case len(after.Members) == len(before.Members) && len(incomingVoters(after)) < len(incomingVoters(before)):
		s.demoted++
	}
}

// checkLeader checks election safety and leader completeness.
func (s *sim) checkLeader(n *node) {
	if !n.replica.IsLeader() {
		return
	}
	term := n.replica.Term()
	if other, ok := s.leaders[term]; ok {
		if other != n.id {
			s.fail("%d and %d lead in term %d", other, n.id, term)
		}
		return
	}
	s.leaders[term] = n.id
	for index, e := range s.committed {
		if index > n.replica.log.base && e.Term < term && !n.replica.log.matches(index, e.Term) {
			s.fail("leader %d of term %d lacks committed entry %d", n.id, term, index)
		}
	}
}

// checkLogs checks log matching: if two logs have an entry of the same term at an
// index, they are equal up to that index.
func (s *sim) checkLogs() {
	for _, a := range s.nodes {
		for _, b := range s.nodes {
			la, lb := &a.replica.log, &b.replica.log
			agree := false
			for index := min(la.last(), lb.last()); index > max(la.base, lb.base); index-- {
				ea, eb := la.entries[index-la.base-1], lb.entries[index-lb.base-1]
				if agree && !proto.Equal(ea, eb) {
					s.fail("logs of %d and %d match after entry %d but differ in it", a.id, b.id, index)
				}
				agree = agree || ea.Term == eb.Term
			}
		}
	}
}
