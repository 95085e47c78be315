package kcwentry

import (
	"context"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwbalance"
	"kingcupwick.example/kcw/kcwgrant"
	"kingcupwick.example/kcw/kcwhorizon"
)

// TestHorizonKeeper follows what is on the disk while the core answers and is silent.
func TestHorizonKeeper(t *testing.T) {
	const second = time.Second
	up, incarnation := 100*second, uint64(7)
	uptime := func() time.Duration { return up }
	horizon := kcwhorizon.New(kcwhorizon.Config{Folder: t.TempDir()})
	k := &horizonKeeper{
		horizon: horizon, uptime: uptime, incarnation: func() uint64 { return incarnation }, opened: make(chan struct{}),
	}
	k.balance = kcwbalance.New(kcwbalance.Config{
		Grant: kcwgrant.Config{Memory: second}, ActivateAfter: 10 * second, Uptime: uptime, Horizon: k.until,
	})
	hear := func() { k.balance.ApplyAllowances(k.balance.Report(time.Time{}), nil) }
	for _, step := range []struct {
		name string
		do   func()
		want kcwhorizon.Run
	}{
		{"the first look", func() {}, kcwhorizon.Run{Incarnation: 7}},
		{"the core answers", func() { up = 110 * second; hear() }, kcwhorizon.Run{Incarnation: 7}},
		{"a report is not answered", func() { up += second / 2 }, kcwhorizon.Run{Incarnation: 7}},
		{"the core is silent", func() { up += second / 10 }, kcwhorizon.Run{Incarnation: 7, Until: 112600 * time.Millisecond}},
		{"still far enough", func() { up += second }, kcwhorizon.Run{Incarnation: 7, Until: 112600 * time.Millisecond}},
		{"nearly reached", func() { up += second / 10 }, kcwhorizon.Run{Incarnation: 7, Until: 113700 * time.Millisecond}},
		{"the core answers again", func() { up = 120 * second; hear() }, kcwhorizon.Run{Incarnation: 7, Until: 113700 * time.Millisecond}},
		{"the incarnation is raised", func() { incarnation = 9 }, kcwhorizon.Run{Incarnation: 9, Until: 113700 * time.Millisecond}},
	} {
		step.do()
		k.extend()
		if got := horizon.CurrentRun(); got != step.want {
			t.Errorf("%s: %v on the disk, want %v", step.name, got, step.want)
		}
	}
	if err := horizon.Close(); err != nil {
		t.Fatal(err)
	}
}

// TestAwaitHorizon checks that a disk that does not answer holds up no router.
func TestAwaitHorizon(t *testing.T) {
	k := &horizonKeeper{horizon: kcwhorizon.New(kcwhorizon.Config{Folder: t.TempDir()}), opened: make(chan struct{})}
	k.await(context.Background())
	if formers := k.formers(); len(formers) > 0 {
		t.Errorf("a disk that was not read tells of %v", formers)
	}
}
