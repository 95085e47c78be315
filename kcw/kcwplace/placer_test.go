package kcwplace_test

import (
	"math/rand/v2"
	"testing"

	"kingcupwick.example/kcw/kcwplace"
)

func placer(seed uint64) *kcwplace.Placer {
	return kcwplace.New(kcwplace.Config{LoadFactor: 1.25, LoadMargin: 0.1, ZoneMargin: 0.1, Rand: rand.New(rand.NewPCG(seed, 0))})
}

func candidates(n int) []kcwplace.Candidate {
	list := make([]kcwplace.Candidate, n)
	for i := range list {
		list[i] = kcwplace.Candidate{Hash: uint64(i+1) * 7919}
	}
	return list
}

// TestPrefixHome checks that all routers compute the same home for a prefix, that
// the loss of an upstream moves only its own prefixes, and that prefixes are spread
// evenly over the upstreams.
func TestPrefixHome(t *testing.T) {
	list := candidates(18)
	counts := make([]int, len(list))
	const prefixes = 3600
	for prefix := range uint64(prefixes) {
		home := placer(1).Choose(list, prefix+1)
		if other := placer(2).Choose(list, prefix+1); other != home {
			t.Fatalf("prefix %d: two routers chose %d and %d", prefix, home, other)
		}
		counts[home]++
		if home == 17 {
			continue
		}
		if moved := placer(1).Choose(list[:17], prefix+1); moved != home {
			t.Fatalf("prefix %d moved from %d to %d after another upstream was removed", prefix, home, moved)
		}
	}
	for i, n := range counts {
		if mean := prefixes / len(list); n < mean/2 || n > 2*mean {
			t.Errorf("upstream %d is the home of %d prefixes, mean %d", i, n, mean)
		}
	}
}

func TestBoundedLoad(t *testing.T) {
	list := candidates(4)
	home := placer(1).Choose(list, 5)
	for _, test := range []struct {
		name  string
		loads [4]float64
		stays bool
	}{
		{"idle", [4]float64{}, true},
		{"slightly loaded", [4]float64{0.1, 0.1, 0.1, 0.1}, true},
		{"all equally full", [4]float64{1, 1, 1, 1}, true},
	} {
		for i := range list {
			list[i].Load = test.loads[i]
		}
		if got := placer(1).Choose(list, 5); (got == home) != test.stays {
			t.Errorf("%s: chose %d, home is %d", test.name, got, home)
		}
	}
	for i := range list {
		list[i].Load = 0.1
	}
	list[home].Load = 0.9
	second := placer(1).Choose(list, 5)
	if second == home {
		t.Error("an overloaded home was chosen")
	}
	if other := placer(9).Choose(list, 5); other != second {
		t.Errorf("two routers made different second choices: %d and %d", second, other)
	}
}

func TestWithoutPrefix(t *testing.T) {
	if got := placer(1).Choose(nil, 0); got != -1 {
		t.Errorf("no candidates: chose %d, want -1", got)
	}
	list := candidates(3)
	list[0].Load, list[1].Load, list[2].Load = 0.9, 0.2, 0.25
	list[2].SameZone = true
	counts := [3]int{}
	p := placer(3)
	for range 3000 {
		counts[p.Choose(list, 0)]++
	}
	if counts[2] <= counts[1] || counts[1] <= counts[0] {
		t.Errorf("choices %v, want most at the upstream in the router's zone and fewest at the loaded one", counts)
	}
}

// TestRankIsHome checks that the upstream of the highest rank is the one that is chosen while
// none is overloaded.
func TestRankIsHome(t *testing.T) {
	list := candidates(5)
	for prefix := range uint64(100) {
		home := list[placer(1).Choose(list, prefix+1)]
		for _, candidate := range list {
			if kcwplace.Rank(prefix+1, candidate.Hash) > kcwplace.Rank(prefix+1, home.Hash) {
				t.Fatalf("prefix %d: the home is not the upstream of the highest rank", prefix+1)
			}
		}
	}
}
