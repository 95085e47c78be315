package kcwservice

import (
	"testing"

	"kingcupwick.example/kcw/kcwpb"
)

// standing is a group whose status is set.
type standing struct {
	fakeGroup
	status *kcwpb.GroupStatus
}

func (g *standing) Status() *kcwpb.GroupStatus { return g.status }

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
		{name: "the end of its log cut off", start: &kcwpb.GroupStatus{Last: 9}, then: &kcwpb.GroupStatus{Last: 7, Applied: 7, Membership: voter}, want: true},
		{name: "blank", start: &kcwpb.GroupStatus{}, then: &kcwpb.GroupStatus{}},
		{name: "learner", start: &kcwpb.GroupStatus{}, then: &kcwpb.GroupStatus{Last: 5, Applied: 5, Membership: learner}},
		{name: "no leader heard", start: &kcwpb.GroupStatus{}, then: &kcwpb.GroupStatus{Membership: voter}, stale: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			group := &standing{status: test.start}
			b := newBench(t)
			cfg := b.service.cfg
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
