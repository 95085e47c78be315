package kcwbook

import (
	"testing"

	"kingcupwick.example/kcw/kcwpb"
)

func TestIsFenced(t *testing.T) {
	b := New()
	b.state.registerRouter(&kcwpb.RegisterRouter{Router: "a", Incarnation: 5})
	b.state.registerRouter(&kcwpb.RegisterRouter{Router: "b", Incarnation: 5})
	b.state.retireRouter(&kcwpb.RetireRouter{Change: "c", Router: "b", Incarnation: 5})
	for _, test := range []struct {
		router      string
		incarnation uint64
		want        bool
	}{
		{"a", 4, true},
		{"a", 5, false},
		{"a", 6, false},
		{"b", 5, true},
		{"b", 6, false},
		{"unknown", 1, false},
	} {
		if got := b.IsFenced(test.router, test.incarnation); got != test.want {
			t.Errorf("%s, incarnation %d: fenced %v, want %v", test.router, test.incarnation, got, test.want)
		}
	}
}
