package kcwpick

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// at returns the time ms milliseconds after a fixed time.
func at(ms int) time.Time {
	return time.Unix(1_800_000_000, 0).Add(time.Duration(ms) * time.Millisecond)
}

func always(string) bool { return true }

// newPicker returns a picker of a router in zone-0 with upstreams u0, u1, ... of capacity
// 10, every third of which is in zone-0.
func newPicker(t testing.TB, seed uint64, upstreams int) *Picker {
	t.Helper()
	p, err := New(Config{
		Zone: "zone-0", HalfLife: 300 * time.Millisecond, ZoneMargin: 0.1, PrefixMargin: 0.5, MaxUtilization: 0.95,
		Rand: rand.New(rand.NewPCG(seed, 0)),
	})
	if err != nil {
		t.Fatal(err)
	}
	for i := range upstreams {
		if err := p.Add("s", fmt.Sprint("u", i), fmt.Sprint("zone-", i%3), 10); err != nil {
			t.Fatal(err)
		}
	}
	return p
}

// share makes 100 picks, each finished at once, and returns the number of those that go
// to the named upstream.
func share(p *Picker, now time.Time, prefix uint64, name string) int {
	count := 0
	for range 100 {
		got, ok := p.Pick(now, "s", prefix, always)
		if !ok {
			return -1
		}
		p.Finished(now, got)
		if got == name {
			count++
		}
	}
	return count
}

func TestPick(t *testing.T) {
	load := func(running, ms int) Load { return Load{Running: running, Capacity: 10, At: at(ms)} }
	for _, test := range []struct {
		name    string
		reports map[string]Load
		now     int
		most    int // largest number of 100 picks that may go to u0
		least   int // smallest number of 100 picks that must go to u0
	}{
		{name: "prefers the own zone", reports: map[string]Load{"u0": load(5, 0), "u1": load(5, 0), "u2": load(5, 0)}, least: 100, most: 100},
		{name: "another zone if the own one is loaded more", reports: map[string]Load{"u0": load(8, 0), "u1": load(5, 0), "u2": load(5, 0)}},
		{name: "an old report has less weight", reports: map[string]Load{"u0": load(8, 0), "u1": load(5, 0), "u2": load(5, 0)}, now: 3000, least: 100, most: 100},
		{name: "no zone preference above MaxUtilization", reports: map[string]Load{"u0": load(10, 0), "u1": load(9, 0), "u2": load(9, 0)}},
	} {
		p := newPicker(t, 1, 3)
		for name, report := range test.reports {
			p.Report(name, report)
			p.Report(name, Load{Running: 1, Capacity: 10, At: report.At.Add(-1)}) // an older report is ignored
		}
		if got := share(p, at(test.now), 0, "u0"); got < test.least || got > test.most {
			t.Errorf("%s: %d of 100 picks go to u0", test.name, got)
		}
	}
}

func TestPrefix(t *testing.T) {
	a, b := newPicker(t, 1, 20), newPicker(t, 2, 20)
	equal := 0
	for prefix := uint64(1); prefix <= 100; prefix++ {
		first, _ := a.Pick(at(0), "s", prefix, always)
		second, _ := b.Pick(at(0), "s", prefix, always)
		a.Finished(at(0), first)
		b.Finished(at(0), second)
		if first == second {
			equal++
		}
	}
	if equal != 100 {
		t.Errorf("two idle routers send %d of 100 prefixes to the same upstream", equal)
	}
	home, _ := a.Pick(at(0), "s", 7, always)
	a.Finished(at(0), home)
	a.Report(home, Load{Running: 10, Capacity: 10, At: at(1)})
	if got := share(a, at(1), 7, home); got != 0 {
		t.Errorf("%d of 100 picks go to a full home", got)
	}
}

func TestYield(t *testing.T) {
	for _, test := range []struct {
		running     int
		least, most int
	}{
		{running: 4, least: 100, most: 100},
		{running: 7, least: 30, most: 75},
		{running: 10},
	} {
		p := newPicker(t, 1, 20)
		p.cfg.YieldRange, p.cfg.PrefixMargin = 0.5, 1
		home, _ := p.Pick(at(0), "s", 7, always)
		p.Finished(at(0), home)
		p.Report(home, Load{Running: test.running, Capacity: 10, At: at(1)})
		if got := share(p, at(1), 7, home); got < test.least || got > test.most {
			t.Errorf("%d of 100 picks go to a home that runs %d of 10 requests", got, test.running)
		}
	}
}

func TestOwnRequests(t *testing.T) {
	p := newPicker(t, 1, 3)
	for i := range 3 {
		p.Report(fmt.Sprint("u", i), Load{Running: 5, Capacity: 10, At: at(0)})
	}
	counts := make(map[string]int)
	for range 30 {
		name, _ := p.Pick(at(1), "s", 0, always)
		counts[name]++
	}
	for name, count := range counts {
		if count < 8 || count > 12 {
			t.Errorf("%d of 30 requests went to %s between two reports: %v", count, name, counts)
		}
	}
	p.Report("u0", Load{Running: 5 + counts["u0"], Capacity: 10, At: at(2)})
	if got := len(p.byName["u0"].started); got != 0 {
		t.Errorf("%d own starts are counted in addition to a report that includes them", got)
	}
}

func TestRandomCalls(t *testing.T) {
	seed := int64(1)
	if text := os.Getenv("KCW_SEED"); text != "" {
		var err error
		if seed, err = strconv.ParseInt(text, 10, 64); err != nil {
			t.Fatal(err)
		}
	}
	p := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(seed))
	p.Property("Pick returns only usable upstreams, finds one if there is one, and counts requests in flight correctly", prop.ForAll(
		func(seed int64) bool {
			rng := rand.New(rand.NewPCG(uint64(seed), 0))
			picker := newPicker(t, uint64(seed), 6)
			inFlight := make(map[string]int)
			for now := range 300 {
				usable := make(map[string]bool)
				for i := range 6 {
					usable[fmt.Sprint("u", i)] = rng.IntN(3) == 0 && picker.byName[fmt.Sprint("u", i)] != nil
				}
				found := false
				for _, ok := range usable {
					found = found || ok
				}
				name, ok := picker.Pick(at(now), "s", uint64(rng.IntN(4)), func(name string) bool { return usable[name] })
				if ok != found || ok && !usable[name] {
					return false
				}
				if ok {
					inFlight[name]++
				}
				other := fmt.Sprint("u", rng.IntN(6))
				switch rng.IntN(8) {
				case 0:
					picker.Report(other, Load{Running: rng.IntN(20), Waiting: rng.IntN(5), Capacity: rng.IntN(12), At: at(now - rng.IntN(50))})
				case 1:
					if rng.IntN(10) == 0 {
						picker.Remove(other)
						inFlight[other] = 0
					}
				default:
					if inFlight[other] > 0 {
						picker.Finished(at(now), other)
						inFlight[other]--
					}
				}
				sum := 0
				for name, n := range inFlight {
					if picker.InFlight(name) != n {
						return false
					}
					sum += n
				}
				if picker.services["s"].inFlight != sum {
					return false
				}
			}
			return true
		}, gen.Int64()))
	p.TestingRun(t)
}
