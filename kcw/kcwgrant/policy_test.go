package kcwgrant_test

import (
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwgrant"
)

func TestPlan(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	p := kcwgrant.New(kcwgrant.Config{Endurance: 100 * time.Second, Divisor: 4, IdleAfter: time.Minute})
	demand := kcwgrant.Demand{Rate: 10, Peak: 50, At: now}
	for _, test := range []struct {
		name    string
		holding kcwgrant.Holding
		now     time.Time
		want    int64
	}{
		{"no demand yet", kcwgrant.Holding{Available: 10_000}, now, 0},
		{"first draw", kcwgrant.Holding{Available: 10_000, Demand: demand}, now, 1000},
		{"draw up to the target", kcwgrant.Holding{Available: 10_000, Free: 500, Demand: demand}, now, 500},
		{"within the hysteresis", kcwgrant.Holding{Available: 10_000, Free: 800, Demand: demand}, now, 0},
		{"a share of a small budget", kcwgrant.Holding{Available: 400, Demand: demand}, now, 100},
		{"a share below one request is returned", kcwgrant.Holding{Available: 100, Free: 90, Demand: demand}, now, -90},
		{"more than the share of an exhausted budget", kcwgrant.Holding{Free: 1000, Demand: demand}, now, -750},
		{"at least one request", kcwgrant.Holding{Available: 10_000, Demand: kcwgrant.Demand{Peak: 50, At: now}}, now, 50},
		{"idle", kcwgrant.Holding{Available: 10_000, Free: 500, Demand: demand}, now.Add(time.Minute), -500},
		{"recalled", kcwgrant.Holding{Available: 10_000, Free: 1000, Demand: demand, Recalled: true}, now, -500},
	} {
		if got := p.Plan(test.holding, test.now); got != test.want {
			t.Errorf("%s: plan %d, want %d", test.name, got, test.want)
		}
	}
	if got := kcwgrant.New(kcwgrant.Config{IdleAfter: time.Minute}).Plan(kcwgrant.Holding{Available: 10_000, Demand: demand}, now); got != 0 {
		t.Errorf("without endurance: plan %d, want 0", got)
	}
}

func TestDemand(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	p := kcwgrant.New(kcwgrant.Config{Endurance: time.Second, IdleAfter: time.Hour, Memory: 10 * time.Second})
	var d kcwgrant.Demand
	for range 1000 {
		now = now.Add(100 * time.Millisecond)
		d = p.Add(d, 10, now)
	}
	if d.Rate < 95 || d.Rate > 105 {
		t.Errorf("the average of 100 tokens per second is %.1f", d.Rate)
	}
	if got := p.Target(kcwgrant.Holding{Available: 1 << 40, Demand: d}, now.Add(100*time.Second)); got != 10 {
		t.Errorf("after ten time constants the target is %d, want one request of 10", got)
	}
}

// TestNeed checks, for steady requests of one size, that the need covers the mean demand
// from the first seconds on and exceeds it by no more than half.
func TestNeed(t *testing.T) {
	const size, rate, span = 10, 20, 10
	for _, seconds := range []int{2, 5, 60} {
		now := time.Unix(1_700_000_000, 0)
		p := kcwgrant.New(kcwgrant.Config{IdleAfter: time.Minute, Memory: 5 * time.Second})
		var d kcwgrant.Demand
		for range seconds * rate {
			now = now.Add(time.Second / rate)
			d = p.Add(d, size, now)
		}
		const mean = size * rate * span
		if got := p.Need(d, span*time.Second, now); got < mean || got > mean*3/2 {
			t.Errorf("after %d s the need is %d tokens, want at least %d and at most half more", seconds, got, mean)
		}
		if got := p.Need(d, span*time.Second, now.Add(time.Minute)); got != 0 {
			t.Errorf("the need of an idle demand is %d tokens, want 0", got)
		}
	}
}
