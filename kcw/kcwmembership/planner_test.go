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

func config(losses int) kcwmembership.Config {
	return kcwmembership.Config{
		Losses: losses, SilentAfter: time.Second, RemoveAfter: 12 * time.Second, MaxRequestAge: 2 * time.Second, MaxPause: 400 * time.Millisecond,
	}
}

// voting returns n voters with the identities 1 to n at the addresses a, b, c and so on.
func voting(n int) []*kcwpb.Member {
	var members []*kcwpb.Member
	for i := range n {
		members = append(members, member(uint64(i+1), string(rune('a'+i)), false))
	}
	return members
}

func TestNext(t *testing.T) {
	const (
		addLearner = kcwpb.ChangeMembersRequest_KIND_ADD_LEARNER
		promote    = kcwpb.ChangeMembersRequest_KIND_PROMOTE
		remove     = kcwpb.ChangeMembersRequest_KIND_REMOVE
		demote     = kcwpb.ChangeMembersRequest_KIND_DEMOTE
		replace    = kcwpb.ChangeMembersRequest_KIND_REPLACE
	)
	with := func(members []*kcwpb.Member, more ...*kcwpb.Member) []*kcwpb.Member {
		return append(members[:len(members):len(members)], more...)
	}
	for _, test := range []struct {
		name    string
		losses  int
		members []*kcwpb.Member
		// requests are requests for admission, repeated all the time; stopping are announced
		// stops. lagging holds the members whose log lags and does not advance.
		requests, stopping []*kcwpb.Member
		lagging            []uint64
		outgoing           []uint64
		// refused is a learner that the group refused to promote after its last request.
		refused uint64
		later   time.Duration
		kind    kcwpb.ChangeMembersRequest_Kind
		id      uint64
		from    uint64
	}{
		{name: "nothing to do", losses: 1, members: voting(3)},
		{
			name: "replacement in progress", losses: 1, members: voting(3), outgoing: []uint64{1, 2, 4},
			requests: []*kcwpb.Member{member(5, "e", false)},
		},
		{name: "new replica", losses: 1, members: voting(3), requests: []*kcwpb.Member{member(4, "d", false)}, kind: addLearner, id: 4},
		{name: "voter without contact", losses: 1, members: voting(3), requests: []*kcwpb.Member{member(2, "b", false)}},
		{
			name: "one learner stands by", losses: 1, members: with(voting(3), member(4, "d", true)),
			requests: []*kcwpb.Member{member(4, "d", true)},
		},
		{
			name: "first of two learners", losses: 1, members: with(voting(3), member(4, "d", true), member(5, "e", true)),
			requests: []*kcwpb.Member{member(4, "d", true), member(5, "e", true)}, kind: promote, id: 4,
		},
		{
			name: "second of two learners", losses: 1, members: with(voting(4), member(5, "e", true)),
			requests: []*kcwpb.Member{member(5, "e", true)}, kind: promote, id: 5,
		},
		{
			name: "learner lags", losses: 1, members: with(voting(4), member(5, "e", true)),
			requests: []*kcwpb.Member{member(5, "e", true)}, lagging: []uint64{5},
		},
		{
			name: "learner was refused", losses: 1, members: with(voting(4), member(5, "e", true)),
			requests: []*kcwpb.Member{member(5, "e", true)}, refused: 5,
		},
		{name: "learner without request", losses: 1, members: with(voting(4), member(5, "e", true))},
		{
			name: "learner stops", losses: 1, members: with(voting(4), member(5, "e", true)),
			stopping: []*kcwpb.Member{member(5, "e", true)},
		},
		{name: "silent voter without successor", losses: 1, members: voting(3), lagging: []uint64{3}, later: time.Minute},
		{
			name: "silent voter with successor", losses: 1, members: with(voting(3), member(4, "d", true)),
			requests: []*kcwpb.Member{member(4, "d", true)}, lagging: []uint64{3}, later: time.Second, kind: replace, id: 4, from: 3,
		},
		{
			name: "not silent yet", losses: 1, members: with(voting(3), member(4, "d", true)),
			requests: []*kcwpb.Member{member(4, "d", true)}, lagging: []uint64{3}, later: 900 * time.Millisecond,
		},
		{
			name: "lost disk without successor", losses: 1, members: voting(3),
			requests: []*kcwpb.Member{member(4, "b", false)}, kind: addLearner, id: 4,
		},
		{
			name: "lost disk, new replica lags", losses: 1, members: with(voting(3), member(4, "b", true)),
			requests: []*kcwpb.Member{member(4, "b", true)}, lagging: []uint64{4},
		},
		{
			name: "lost disk with successor", losses: 1, members: with(voting(3), member(4, "b", true)),
			requests: []*kcwpb.Member{member(4, "b", true)}, kind: replace, id: 4, from: 2,
		},
		{
			name: "lost disk before silent voter", losses: 1, members: with(voting(3), member(4, "c", true)),
			requests: []*kcwpb.Member{member(4, "c", true)}, lagging: []uint64{2, 3}, later: time.Minute, kind: replace, id: 4, from: 3,
		},
		{
			name: "learner with lost disk", losses: 1, members: with(voting(3), member(4, "d", true)),
			requests: []*kcwpb.Member{member(5, "d", true)}, kind: remove, id: 4,
		},
		{
			name: "learner with lost disk, its successor votes", losses: 1,
			members: []*kcwpb.Member{member(1, "a", false), member(2, "b", true), member(3, "c", false), member(4, "b", false)}, kind: remove, id: 2,
		},
		{
			name: "voter stops with successor", losses: 1, members: with(voting(3), member(4, "d", true)),
			requests: []*kcwpb.Member{member(4, "d", true)}, stopping: voting(3)[1:2], kind: replace, id: 4, from: 2,
		},
		{
			name: "leader stops with successor", losses: 1, members: with(voting(3), member(4, "d", true)),
			requests: []*kcwpb.Member{member(4, "d", true)}, stopping: voting(1), kind: replace, id: 4, from: 1,
		},
		{name: "voter stops without successor", losses: 1, members: voting(3), stopping: voting(3)[1:2]},
		{
			name: "silent voter before one that stops", losses: 1, members: with(voting(3), member(4, "d", true)),
			requests: []*kcwpb.Member{member(4, "d", true)}, stopping: voting(3)[1:2], lagging: []uint64{3}, later: time.Minute, kind: replace, id: 4, from: 3,
		},
		{name: "even number, silent voter", losses: 1, members: voting(4), lagging: []uint64{4}, later: time.Minute, kind: demote, id: 4},
		{
			name: "even number, silent voter, learner stands by", losses: 1, members: with(voting(4), member(5, "e", true)),
			requests: []*kcwpb.Member{member(5, "e", true)}, lagging: []uint64{4}, later: time.Minute, kind: demote, id: 4,
		},
		{
			name: "even number, lost disk", losses: 1, members: with(voting(4), member(5, "d", true)),
			requests: []*kcwpb.Member{member(5, "d", true)}, kind: remove, id: 4,
		},
		{name: "more voters than needed, one silent", losses: 1, members: voting(5), lagging: []uint64{4}, later: time.Minute, kind: demote, id: 4},
		{name: "more voters than needed, one stops", losses: 1, members: voting(5), stopping: voting(5)[3:4], kind: demote, id: 4},
		{name: "no more voters than needed", losses: 2, members: voting(5), lagging: []uint64{4, 5}, later: time.Minute},
		{
			name: "fewer voters than needed, one silent", losses: 2, members: with(voting(4), member(5, "e", true)),
			requests: []*kcwpb.Member{member(5, "e", true)}, lagging: []uint64{4}, later: time.Minute, kind: replace, id: 5, from: 4,
		},
		{name: "silent learner", losses: 1, members: with(voting(3), member(4, "d", true)), lagging: []uint64{4}, later: 11 * time.Second},
		{
			name: "long silent learner", losses: 1, members: with(voting(3), member(4, "d", true)), lagging: []uint64{4}, later: 12 * time.Second,
			kind: remove, id: 4,
		},
	} {
		p := kcwmembership.New(config(test.losses))
		matches := map[uint64]uint64{}
		for _, m := range test.members {
			matches[m.GetId()] = 100
		}
		for _, id := range test.lagging {
			matches[id] = 50
		}
		s := status(matches, test.members...)
		s.Membership.Outgoing = test.outgoing
		now := time.Unix(1_700_000_000, 0)
		p.Next(s, now)
		var got *kcwpb.ChangeMembersRequest
		for end := now.Add(test.later); !now.After(end); now = now.Add(100 * time.Millisecond) {
			for _, m := range test.requests {
				p.RequestAdmission(m, now)
			}
			for _, m := range test.stopping {
				p.AnnounceStop(m, now)
			}
			if test.refused != 0 {
				p.Refuse(&kcwpb.ChangeMembersRequest{Kind: promote, Member: &kcwpb.Member{Id: test.refused}}, now)
			}
			got = p.Next(s, now)
		}
		if got.GetKind() != test.kind || got.GetMember().GetId() != test.id || got.GetReplaced() != test.from {
			t.Errorf("%s: got %v, want %v of %d for %d", test.name, got, test.kind, test.id, test.from)
		}
	}
}

// TestSilenceCountsOnlyTimeOfLeader guards against votes taken from sound members after the
// leader was suspended.
func TestSilenceCountsOnlyTimeOfLeader(t *testing.T) {
	p := kcwmembership.New(config(1))
	now := time.Unix(1_700_000_000, 0)
	s := status(map[uint64]uint64{1: 100, 2: 50, 3: 50}, voting(3)...)
	for range 3 {
		p.Next(s, now)
		now = now.Add(200 * time.Millisecond)
	}
	now = now.Add(time.Minute)
	p.Next(s, now)
	if p.IsSilent(2, now) || p.IsSilent(3, now) {
		t.Error("members are silent after a pause of the leader")
	}
	for range 3 {
		now = now.Add(200 * time.Millisecond)
		p.Next(s, now)
	}
	if !p.IsSilent(2, now) || p.IsSilent(1, now) {
		t.Error("member 2 is not silent after a second of calls, or the leader is")
	}
}

// TestSlowProgressIsNotSilence guards against a vote taken from a member with a slow disk.
func TestSlowProgressIsNotSilence(t *testing.T) {
	p := kcwmembership.New(config(1))
	now := time.Unix(1_700_000_000, 0)
	for i := range uint64(50) {
		s := status(map[uint64]uint64{1: 100, 2: 10 + i/4, 3: 100}, voting(3)...)
		p.Next(s, now)
		if p.IsSilent(2, now) {
			t.Fatalf("silent after %d calls", i)
		}
		now = now.Add(200 * time.Millisecond)
	}
}

// TestOutdatedRequest checks that a request for admission ends with the replica.
func TestOutdatedRequest(t *testing.T) {
	p := kcwmembership.New(config(1))
	now := time.Unix(1_700_000_000, 0)
	p.RequestAdmission(member(4, "d", false), now.Add(-time.Minute))
	if got := p.Next(status(map[uint64]uint64{1: 100, 2: 100, 3: 100}, voting(3)...), now); got != nil {
		t.Errorf("got %v", got)
	}
}
