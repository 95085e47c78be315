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

// TestPrefixHome checks that routers agree on the home of a prefix, that only a
// lost upstream's prefixes move, and that homes spread.
func TestPrefixHome(t *testing.T) {
	list := candidates(18)
	counts := make([]int, len(list))
	const prefixes = 3600
	for prefix := range uint64(prefixes) {
		home := placer(1).Choose(list, prefix+1)
		if other := placer(2).Choose(list, prefix+1); other != home {
			t.Fatalf("prefix %d: routers choose %d and %d", prefix, home, other)
		}
		counts[home]++
		if home == 17 {
			continue
		}
		if moved := placer(1).Choose(list[:17], prefix+1); moved != home {
			t.Fatalf("prefix %d moved from %d to %d when another upstream left", prefix, home, moved)
		}
	}
	for i, n := range counts {
		if mean := prefixes / len(list); n < mean/2 || n > 2*mean {
			t.Errorf("upstream %d is home to %d prefixes, mean %d", i, n, mean)
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
		{"a little more", [4]float64{0.1, 0.1, 0.1, 0.1}, true},
		{"all full alike", [4]float64{1, 1, 1, 1}, true},
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
		t.Error("an overrun home is chosen")
	}
	if again := placer(9).Choose(list, 5); again != second {
		t.Errorf("routers differ on the second choice: %d and %d", second, again)
	}
}

func TestWithoutPrefix(t *testing.T) {
	if got := placer(1).Choose(nil, 0); got != -1 {
		t.Errorf("no candidates: chose %d", got)
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
		t.Errorf("choices %v, want most at the near upstream and least at the loaded one", counts)
	}
}
