package kcwsource_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"kingcupwick.example/kcw-fleet/kcwsource"
)

var start = time.Unix(1_700_000_000, 0)

func at(n byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 7000)
}

func newSource(seed uint64) *kcwsource.Source {
	s := kcwsource.New(kcwsource.Config{Zone: "a", Rand: rand.New(rand.NewPCG(seed, 48))})
	s.SetMembers([]netip.AddrPort{at(1), at(2), at(3)}, []string{"a", "b", "c"})
	return s
}

func TestNext(t *testing.T) {
	for _, test := range []struct {
		name string
		// failed are members that fail in turn at the start.
		failed   []netip.AddrPort
		answered netip.AddrPort
		after    time.Duration
		want     []netip.AddrPort
	}{
		{name: "own zone", want: []netip.AddrPort{at(1)}},
		{name: "another zone", failed: []netip.AddrPort{at(1)}, want: []netip.AddrPort{at(2), at(3)}},
		{name: "last that is left", failed: []netip.AddrPort{at(1), at(3)}, want: []netip.AddrPort{at(2)}},
		{name: "own zone again after the pause", failed: []netip.AddrPort{at(1)}, after: 1500 * time.Millisecond, want: []netip.AddrPort{at(1)}},
		{name: "answer ends the pause", failed: []netip.AddrPort{at(1)}, answered: at(1), want: []netip.AddrPort{at(1)}},
		{name: "longer pause after failures in a row", failed: []netip.AddrPort{at(1), at(1), at(1)}, after: 1900 * time.Millisecond, want: []netip.AddrPort{at(2), at(3)}},
		{
			name: "shortest pause if all failed", failed: []netip.AddrPort{at(1), at(1), at(1), at(2), at(3), at(3), at(3)}, want: []netip.AddrPort{at(2)},
		},
	} {
		for seed := range uint64(20) {
			s := newSource(seed)
			for _, address := range test.failed {
				s.RecordFailure(address, start)
			}
			s.RecordAnswer(test.answered)
			got := s.Next(start.Add(test.after))
			isWanted := false
			for _, address := range test.want {
				isWanted = isWanted || got == address
			}
			if !isWanted {
				t.Errorf("%s, seed %d: %v is next, want one of %v", test.name, seed, got, test.want)
			}
		}
	}
}

func TestRoutersSpread(t *testing.T) {
	const routers = 3000
	chosen := map[netip.AddrPort]int{}
	for seed := range uint64(routers) {
		s := newSource(seed)
		s.RecordFailure(at(1), start)
		chosen[s.Next(start)]++
	}
	if chosen[at(1)] > 0 || chosen[at(2)] < routers*4/10 || chosen[at(3)] < routers*4/10 {
		t.Errorf("routers of a zone without its member choose %v", chosen)
	}
}

func TestMembersChange(t *testing.T) {
	s := newSource(1)
	if s.AllAvoided(start) {
		t.Error("all are avoided at the start")
	}
	if !s.RecordFailure(at(1), start) || s.RecordFailure(at(1), start) || !s.RecordAnswer(at(1)) || s.RecordAnswer(at(1)) {
		t.Error("only the first failure and the first answer are changes")
	}
	s.RecordFailure(at(1), start)
	s.SetMembers([]netip.AddrPort{at(1), at(4)}, nil)
	if got := s.Next(start); got != at(4) {
		t.Errorf("%v is next, want the new member", got)
	}
	s.RecordFailure(at(4), start)
	s.RecordFailure(at(9), start)
	if !s.AllAvoided(start) || s.AllAvoided(start.Add(pauseOver)) {
		t.Error("members are not avoided for a pause")
	}
	s.SetMembers(nil, nil)
	if got := s.Next(start); got.IsValid() || !s.AllAvoided(start) {
		t.Errorf("%v is next without members", got)
	}
}

// pauseOver is longer than the pause after a first failure.
const pauseOver = 1500 * time.Millisecond
