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
	for _, test := range []struct {
		name        string
		start, then *kcwpb.GroupStatus
		stale       bool
		want        bool
	}{
		{name: "caught up", start: &kcwpb.GroupStatus{Last: 9}, then: &kcwpb.GroupStatus{Last: 12, Applied: 9, Membership: voter}, want: true},
		{name: "behind its own log", start: &kcwpb.GroupStatus{Last: 9}, then: &kcwpb.GroupStatus{Last: 12, Applied: 8, Membership: voter}},
		{name: "the end of its log truncated", start: &kcwpb.GroupStatus{Last: 9}, then: &kcwpb.GroupStatus{Last: 7, Applied: 7, Membership: voter}, want: true},
		{name: "empty disk", start: &kcwpb.GroupStatus{}, then: &kcwpb.GroupStatus{}},
		{name: "learner", start: &kcwpb.GroupStatus{}, then: &kcwpb.GroupStatus{Last: 5, Applied: 5, Membership: learner}},
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
