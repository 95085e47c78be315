package kcwservice

import (
	"testing"

	"kingcupwick.example/kcw/kcwpb"
)

// fixedGroup is a fakeGroup with a given status.
type fixedGroup struct {
	fakeGroup
	status *kcwpb.GroupStatus
}

func (g *fixedGroup) Status() *kcwpb.GroupStatus { return g.status }

func TestFresh(t *testing.T) {
	voter := &kcwpb.Membership{Members: []*kcwpb.Member{{Id: 2}, {Id: 1}}}
	learner := &kcwpb.Membership{Members: []*kcwpb.Member{{Id: 2}, {Id: 1, Learner: true}}}
	outgoing := &kcwpb.Membership{Members: learner.Members, Outgoing: []uint64{1, 2}}
	for _, test := range []struct {
		name        string
		start, then *kcwpb.GroupStatus
		stale       bool
		want        bool
	}{
		{name: "caught up", start: &kcwpb.GroupStatus{Last: 9, Id: 1, Membership: voter}, then: &kcwpb.GroupStatus{Last: 12, Applied: 9, Membership: voter}, want: true},
		{name: "behind its own log", start: &kcwpb.GroupStatus{Last: 9, Id: 1, Membership: voter}, then: &kcwpb.GroupStatus{Last: 12, Applied: 8, Membership: voter}},
		{name: "the end of its log truncated", start: &kcwpb.GroupStatus{Last: 9, Id: 1, Membership: voter}, then: &kcwpb.GroupStatus{Last: 7, Applied: 7, Membership: voter}, want: true},
		{name: "promoted and caught up", start: &kcwpb.GroupStatus{}, then: &kcwpb.GroupStatus{Last: 12, Applied: 12, Membership: voter}, want: true},
		{name: "its promotion is in the log and not applied", start: &kcwpb.GroupStatus{}, then: &kcwpb.GroupStatus{Last: 12, Applied: 8, Membership: voter}},
		{name: "empty disk", start: &kcwpb.GroupStatus{}, then: &kcwpb.GroupStatus{}},
		{name: "learner", start: &kcwpb.GroupStatus{}, then: &kcwpb.GroupStatus{Last: 5, Applied: 5, Membership: learner}},
		{name: "being replaced", start: &kcwpb.GroupStatus{}, then: &kcwpb.GroupStatus{Last: 5, Applied: 5, Membership: outgoing}, want: true},
		{name: "no contact with a leader", start: &kcwpb.GroupStatus{}, then: &kcwpb.GroupStatus{Membership: voter}, stale: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			group := &fixedGroup{status: test.start}
			f := newFixture(t)
			cfg := f.service.cfg
			cfg.Group = group
			s, err := New(cfg)
			if err != nil {
				t.Fatal(err)
			}
			group.status = test.then
			group.status.Id = 1
			group.stale = test.stale
			if got := s.Fresh(); got != test.want {
				t.Errorf("fresh %v, want %v", got, test.want)
			}
		})
	}
}

// TestPromotedReplicaCatchesUpUnderLoad checks that a replica that was promoted answers once
// it has applied its promotion, although the log goes on growing.
func TestPromotedReplicaCatchesUpUnderLoad(t *testing.T) {
	group := &fixedGroup{status: &kcwpb.GroupStatus{}}
	cfg := newFixture(t).service.cfg
	cfg.Group = group
	s, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	voter := &kcwpb.Membership{Members: []*kcwpb.Member{{Id: 1}}}
	for _, test := range []struct {
		last, applied uint64
		want          bool
	}{{12, 8, false}, {30, 11, false}, {50, 12, true}, {90, 40, true}} {
		group.status = &kcwpb.GroupStatus{Id: 1, Last: test.last, Applied: test.applied, Membership: voter}
		if got := s.Fresh(); got != test.want {
			t.Errorf("applied %d of %d: fresh %v, want %v", test.applied, test.last, got, test.want)
		}
	}
}
