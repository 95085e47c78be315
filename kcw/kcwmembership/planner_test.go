package kcwmembership_test

import (
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwmembership"
	"kingcupwick.example/kcw/kcwpb"
)

func member(id uint64, address string, learner bool) *kcwpb.Member {
	return &kcwpb.Member{Id: id, Name: address, Address: address, Learner: learner}
}

func status(matches map[uint64]uint64, members ...*kcwpb.Member) *kcwpb.GroupStatus {
	return &kcwpb.GroupStatus{Id: 1, Commit: 100, Matches: matches, Membership: &kcwpb.Membership{Members: members}}
}

func TestNext(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	three := []*kcwpb.Member{member(1, "a", false), member(2, "b", false), member(3, "c", false)}
	with := func(m *kcwpb.Member) []*kcwpb.Member { return append(three[:3:3], m) }
	for _, test := range []struct {
		name    string
		request *kcwpb.Member
		at      time.Time
		members []*kcwpb.Member
		matches map[uint64]uint64
		later   time.Duration
		kind    kcwpb.ChangeMembersRequest_Kind
		id      uint64
	}{
		{name: "nothing to do", members: three},
		{name: "new replica", request: member(4, "d", false), at: now, members: three, kind: kcwpb.ChangeMembersRequest_KIND_ADD_LEARNER, id: 4},
		{name: "lost disk", request: member(4, "b", false), at: now, members: three, kind: kcwpb.ChangeMembersRequest_KIND_REMOVE, id: 2},
		{name: "learner", request: member(4, "d", false), at: now, members: with(member(4, "d", true)), kind: kcwpb.ChangeMembersRequest_KIND_PROMOTE, id: 4},
		{name: "already a voter", request: member(2, "b", false), at: now, members: three},
		{name: "outdated request", request: member(4, "d", false), at: now.Add(-time.Minute), members: three},
		{name: "silent but needed", members: three, matches: map[uint64]uint64{1: 100, 2: 100, 3: 50}, later: time.Minute},
		{
			name: "silent and replaced", members: with(member(4, "d", false)), later: time.Minute,
			matches: map[uint64]uint64{1: 100, 2: 50, 3: 100, 4: 100},
			kind:    kcwpb.ChangeMembersRequest_KIND_REMOVE, id: 2,
		},
		{
			name: "silent learner", members: with(member(4, "d", true)), later: time.Minute,
			matches: map[uint64]uint64{1: 100, 2: 100, 3: 100, 4: 7},
			kind:    kcwpb.ChangeMembersRequest_KIND_REMOVE, id: 4,
		},
	} {
		p := kcwmembership.New(kcwmembership.Config{Voters: 3, SilentAfter: 10 * time.Second, MaxRequestAge: 2 * time.Second})
		if test.request != nil {
			p.RequestAdmission(test.request, test.at)
		}
		if test.matches == nil {
			test.matches = map[uint64]uint64{1: 100, 2: 100, 3: 100, 4: 100}
		}
		got := p.Next(status(test.matches, test.members...), now)
		if test.later > 0 {
			got = p.Next(status(test.matches, test.members...), now.Add(test.later))
		}
		if got.GetKind() != test.kind || got.GetMember().GetId() != test.id {
			t.Errorf("%s: got %v, want %v of %d", test.name, got, test.kind, test.id)
		}
	}
}
