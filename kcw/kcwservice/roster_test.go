package kcwservice

import (
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwpb"
)

func TestRosterList(t *testing.T) {
	r := newRoster()
	now := time.Unix(1_800_000_000, 0)
	r.recordHeartbeat(&kcwpb.HeartbeatRequest{Router: "heard", Incarnation: 2, Revision: 7}, now)
	r.recordHeartbeat(&kcwpb.HeartbeatRequest{Router: "replaced", Incarnation: 1, Revision: 7}, now)
	r.isSilent("asked-about", now, time.Second)
	registered := []*kcwpb.Router{
		{Name: "never-heard", Incarnation: 1},
		{Name: "heard", Incarnation: 2},
		{Name: "replaced", Incarnation: 2},
		{Name: "asked-about", Incarnation: 3},
	}
	got := r.list(registered)
	want := []*kcwpb.RouterStatus{
		{Router: registered[3]},
		{Router: registered[1], Revision: 7, HeardAt: now.UnixNano()},
		{Router: registered[0]},
		{Router: registered[2]},
	}
	if len(got) != len(want) {
		t.Fatalf("got %v, want %v", got, want)
	}
	for i := range want {
		if got[i].Router.Name != want[i].Router.Name || got[i].Revision != want[i].Revision || got[i].HeardAt != want[i].HeardAt {
			t.Errorf("got %v, want %v", got[i], want[i])
		}
	}
}
