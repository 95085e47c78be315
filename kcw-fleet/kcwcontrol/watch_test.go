package kcwcontrol

import (
	"errors"
	"strconv"
	"testing"
	"time"

	"kingcupwick.example/kcw-fleet/kcwsetup"
	"kingcupwick.example/kcw/kcwpb"
)

// heardAt holds when each member was last heard; members not in it are not known.
type heardAt map[uint64]time.Time

func (h heardAt) HeardAt(id uint64) time.Time { return h[id] }

func (h heardAt) IsSilent(id uint64, now time.Time) bool {
	heard, found := h[id]
	return found && now.Sub(heard) >= time.Second
}

func twoVotersOneLearner() *kcwpb.GroupStatus {
	return &kcwpb.GroupStatus{
		Id: 1, Leader: 1, Commit: 9, Matches: map[uint64]uint64{1: 9, 2: 4, 3: 9},
		Membership: &kcwpb.Membership{Members: []*kcwpb.Member{{Id: 1, Address: "a"}, {Id: 2, Address: "b"}, {Id: 3, Address: "c", Learner: true}}},
	}
}

// TestRefusalIsReportedOnce guards against a log that fills with one refused change.
func TestRefusalIsReportedOnce(t *testing.T) {
	w := newMemberWatch()
	now := time.Unix(1_700_000_000, 0)
	status := twoVotersOneLearner()
	change := func(id uint64) *kcwpb.ChangeMembersRequest {
		return &kcwpb.ChangeMembersRequest{Kind: kcwpb.ChangeMembersRequest_KIND_PROMOTE, Member: &kcwpb.Member{Id: id}}
	}
	for range 3 {
		w.reportRefusal(change(3), status, errors.New("busy"), heardAt{}, now)
	}
	if len(w.refused) != 1 {
		t.Errorf("%d refusals recorded, want 1", len(w.refused))
	}
	for i := range uint64(2 * maxRefusals) {
		w.reportRefusal(change(3), status, errors.New(strconv.FormatUint(i, 10)), heardAt{}, now)
	}
	if len(w.refused) != maxRefusals {
		t.Errorf("%d refusals recorded, want %d", len(w.refused), maxRefusals)
	}
	w.reportChange(change(3), status, status.GetMembership(), heardAt{}, now)
	if len(w.refused) != 0 {
		t.Errorf("%d refusals recorded after a change", len(w.refused))
	}
}

func TestMemberDump(t *testing.T) {
	w := newMemberWatch()
	start := time.Unix(1_700_000_000, 0)
	status := twoVotersOneLearner()
	w.observeRoles(status, start)
	now := start.Add(5 * time.Second)
	heard := heardAt{1: now, 2: start, 3: now}
	w.observeSilence(status, heard, now)
	if n := w.silentVoters(status); n != 1 {
		t.Errorf("%d voters silent, want 1", n)
	}
	status.Membership.Members[2].Learner = false
	w.observeRoles(status, now)
	states := w.dump(status, heard, now)
	if len(states) != 3 || states[1].SilentFor != "5s" || states[1].Match != 4 || states[1].Since != start || !states[2].Voter || states[2].Since != now {
		t.Errorf("the dump has %+v", states)
	}
	heard[2] = now
	w.observeSilence(status, heard, now)
	if n := w.silentVoters(status); n != 0 {
		t.Errorf("%d voters silent after all were heard", n)
	}
	w.forgetLeading()
	w.observeRoles(&kcwpb.GroupStatus{}, now)
	if len(w.roles) != 0 || len(w.silent) != 0 {
		t.Errorf("%d roles and %d silences are left", len(w.roles), len(w.silent))
	}
}

// TestVoteIsHandedOver checks which members wait, before they stop, until they have no vote.
func TestVoteIsHandedOver(t *testing.T) {
	voter := func(id uint64) *kcwpb.Member { return &kcwpb.Member{Id: id} }
	learner := func(id uint64) *kcwpb.Member { return &kcwpb.Member{Id: id, Learner: true} }
	for _, test := range []struct {
		name     string
		id       uint64
		leader   uint64
		members  []*kcwpb.Member
		outgoing []uint64
		want     bool
	}{
		{"no standby", 1, 2, []*kcwpb.Member{voter(1), voter(2), voter(3)}, nil, false},
		{"standby", 1, 2, []*kcwpb.Member{voter(1), voter(2), voter(3), learner(4)}, nil, true},
		{"more voters than needed", 1, 2, []*kcwpb.Member{voter(1), voter(2), voter(3), voter(4)}, nil, true},
		{"being replaced", 1, 2, []*kcwpb.Member{learner(1), voter(2), voter(3), voter(4)}, []uint64{1, 2, 3}, true},
		{"replaced", 1, 2, []*kcwpb.Member{learner(1), voter(2), voter(3), voter(4)}, nil, false},
		{"replaced and still leads", 1, 1, []*kcwpb.Member{learner(1), voter(2), voter(3), voter(4)}, nil, true},
		{"no replica yet", 0, 0, nil, nil, false},
	} {
		m := &Member{cfg: Config{Settings: &kcwsetup.Control{Group: kcwsetup.Group{Losses: 1}}}}
		status := &kcwpb.GroupStatus{Id: test.id, Leader: test.leader, Membership: &kcwpb.Membership{Members: test.members, Outgoing: test.outgoing}}
		if got := m.canGiveUpVote(status); got != test.want {
			t.Errorf("%s: got %v", test.name, got)
		}
	}
}
