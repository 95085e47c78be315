package kcwlatency_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwlatency"
)

var start = time.Unix(1e9, 0)

// observe adds n requests that took d.
func observe(e *kcwlatency.Estimator, n int, d time.Duration, isComplete bool) {
	for range n {
		e.End("r", e.Begin("r", start), start.Add(d), isComplete)
	}
}

func TestEndsWithin(t *testing.T) {
	const d = time.Second
	for _, test := range []struct {
		name string
		// short and long are the requests that took a tenth of d and ten times d, broken
		// those given up after a tenth of d, and running those begun a tenth of d before.
		short, long, broken, running int
		want                         bool
	}{
		{"no request", 0, 0, 0, 0, false},
		{"few requests", 5, 0, 0, 0, false},
		{"some requests", 20, 0, 0, 0, true},
		{"many short requests", 200, 0, 0, 0, true},
		{"some long requests", 200, 5, 0, 0, false},
		{"one request that was given up", 200, 0, 1, 0, true},
		{"some requests that were given up", 200, 0, 5, 0, false},
		{"only requests that were given up", 0, 0, 200, 0, false},
		{"one request under way", 200, 0, 0, 1, true},
		{"some requests under way", 200, 0, 0, 5, false},
	} {
		e := kcwlatency.New()
		observe(e, test.short, d/10, true)
		observe(e, test.long, 10*d, true)
		observe(e, test.broken, d/10, false)
		for range test.running {
			e.Begin("r", start)
		}
		if got := e.EndsWithin("r", d, start.Add(d/10)); got != test.want {
			t.Errorf("%s: ends within %v: %v", test.name, d, got)
		}
		if e.EndsWithin("other", d, start) {
			t.Errorf("%s: another route has an estimate", test.name)
		}
	}
}

// TestStreamsUnderWayCount guards against estimates from the short streams alone while the
// long ones have not ended.
func TestStreamsUnderWayCount(t *testing.T) {
	e := kcwlatency.New()
	for range 20 {
		e.Begin("r", start)
	}
	observe(e, 200, 10*time.Millisecond, true)
	for _, age := range []time.Duration{time.Second, 3 * time.Second, 8 * time.Second} {
		if e.EndsWithin("r", 5*time.Second, start.Add(age)) {
			t.Errorf("20 of 220 streams run since %v, and one ends within 5s", age)
		}
	}
}

// TestManyRoutes checks that the number of routes is bounded and that a request ends though
// its route was removed.
func TestManyRoutes(t *testing.T) {
	e := kcwlatency.New()
	observe(e, 200, time.Millisecond, true)
	number := e.Begin("r", start)
	for i := range 2000 {
		route := "other" + strconv.Itoa(i)
		at := start.Add(time.Duration(i+1) * time.Second)
		e.End(route, e.Begin(route, at), at, true)
	}
	if !e.EndsWithin("r", time.Second, start) {
		t.Error("a route with a request under way was removed")
	}
	e.End("r", number, start, true)
	e.End("r", number, start, true)
	e.End("none", number, start, true)
}

// simulated is a router that stops: requests arrive at random before the stop and in the
// grace period.
type simulated struct {
	rng   *rand.Rand
	perS  float64
	draw  func(rng *rand.Rand) time.Duration
	stop  time.Duration
	grace time.Duration
}

// counts are the requests after the stop: those accepted, those of them that were cut,
// those refused though they would have ended, and all.
type counts struct{ accepted, cut, refused, all int }

func (s simulated) play(c *counts) {
	type request struct {
		number uint64
		end    time.Time
	}
	e := kcwlatency.New()
	var running []request
	endsAt := start.Add(s.stop + s.grace)
	for now := start; ; {
		now = now.Add(time.Duration(s.rng.ExpFloat64() / s.perS * float64(time.Second)))
		if !now.Before(endsAt) {
			return
		}
		for len(running) > 0 && !running[0].end.After(now) {
			e.End("r", running[0].number, running[0].end, true)
			running = running[1:]
		}
		end := now.Add(s.draw(s.rng))
		if now.After(start.Add(s.stop)) {
			c.all++
			if !e.EndsWithin("r", endsAt.Sub(now), now) {
				if !end.After(endsAt) {
					c.refused++
				}
				continue
			}
			c.accepted++
			if end.After(endsAt) {
				c.cut++
			}
		}
		r := request{e.Begin("r", now), end}
		at, _ := slices.BinarySearchFunc(running, r, func(a, b request) int { return a.end.Compare(b.end) })
		running = slices.Insert(running, at, r)
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// TestStopSoonAfterStartCutsNoStream plays stops from one second of traffic on. Of the
// requests to a router that stops, at most one in 100 may be accepted and cut.
func TestStopSoonAfterStartCutsNoStream(t *testing.T) {
	for _, test := range []struct {
		name string
		draw func(rng *rand.Rand) time.Duration
		// mostRefused is the largest fraction of requests that may be refused though they
		// would have ended, at a router with many requests.
		mostRefused float64
	}{
		{"short", func(rng *rand.Rand) time.Duration { return seconds(0.03 * math.Exp(0.5*rng.NormFloat64())) }, 0.25},
		{"exponential", func(rng *rand.Rand) time.Duration { return seconds(rng.ExpFloat64()) }, 1},
		{"lognormal", func(rng *rand.Rand) time.Duration { return seconds(0.5 * math.Exp(1.2*rng.NormFloat64())) }, 1},
		{"streams", func(rng *rand.Rand) time.Duration { return seconds(min(10, 2.2*math.Exp(0.7*rng.NormFloat64()))) }, 1},
		{"Pareto", func(rng *rand.Rand) time.Duration { return seconds(0.2 * math.Pow(1-rng.Float64(), -1/1.5)) }, 1},
		{"one in 50 long", func(rng *rand.Rand) time.Duration {
			if rng.IntN(50) == 0 {
				return seconds(6 + 6*rng.Float64())
			}
			return seconds(0.02 + 0.2*rng.Float64())
		}, 1},
	} {
		rng := rand.New(rand.NewPCG(1, 1))
		for _, perS := range []float64{4, 20, 40} {
			var c counts
			for _, stop := range []float64{1, 3, 5, 7, 10} {
				for range 3 {
					simulated{rng: rng, perS: perS, draw: test.draw, stop: seconds(stop), grace: 7 * time.Second}.play(&c)
				}
			}
			refused := float64(c.refused) / float64(c.all)
			t.Logf("%s, %v a second: %d accepted, %d of them cut; of %d in all %.2f refused though they would have ended", test.name, perS, c.accepted, c.cut, c.all, refused)
			if c.cut*100 > c.all {
				t.Errorf("%s, %v a second: %d of %d requests were accepted and cut", test.name, perS, c.cut, c.all)
			}
			if perS == 40 && refused > test.mostRefused {
				t.Errorf("%s: %.2f of the requests were refused though they would have ended", test.name, refused)
			}
		}
	}
}
