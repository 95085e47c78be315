package kcwrouter

import (
	"context"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwbalance"
	"kingcupwick.example/kcw/kcwgrant"
	"kingcupwick.example/kcw/kcwrunrecord"
)

// TestRecordKeeper checks the record on disk while the core answers and while it is
// silent.
func TestRecordKeeper(t *testing.T) {
	const second = time.Second
	up, incarnation := 100*second, uint64(7)
	uptime := func() time.Duration { return up }
	record := kcwrunrecord.New(kcwrunrecord.Config{Folder: t.TempDir()})
	k := &recordKeeper{
		record: record, uptime: uptime, incarnation: func() uint64 { return incarnation }, opened: make(chan struct{}),
	}
	k.balance = kcwbalance.New(kcwbalance.Config{
		Grant: kcwgrant.Config{Memory: second}, ActivateAfter: 10 * second, Uptime: uptime, Horizon: k.activeUntil,
	})
	answer := func() { k.balance.ApplyAllowances(k.balance.Report(time.Time{}), nil) }
	for _, step := range []struct {
		name string
		do   func()
		want kcwrunrecord.Run
	}{
		{"first check", func() {}, kcwrunrecord.Run{Incarnation: 7}},
		{"the core answers", func() { up = 110 * second; answer() }, kcwrunrecord.Run{Incarnation: 7}},
		{"one report unanswered", func() { up += second / 2 }, kcwrunrecord.Run{Incarnation: 7}},
		{"the core is silent", func() { up += second / 10 }, kcwrunrecord.Run{Incarnation: 7, Until: 112600 * time.Millisecond}},
		{"record still far enough ahead", func() { up += second }, kcwrunrecord.Run{Incarnation: 7, Until: 112600 * time.Millisecond}},
		{"recorded uptime nearly reached", func() { up += second / 10 }, kcwrunrecord.Run{Incarnation: 7, Until: 113700 * time.Millisecond}},
		{"the core answers again", func() { up = 120 * second; answer() }, kcwrunrecord.Run{Incarnation: 7, Until: 113700 * time.Millisecond}},
		{"the incarnation is raised", func() { incarnation = 9 }, kcwrunrecord.Run{Incarnation: 9, Until: 113700 * time.Millisecond}},
	} {
		step.do()
		k.extend()
		if got := record.CurrentRun(); got != step.want {
			t.Errorf("%s: record on disk is %v, want %v", step.name, got, step.want)
		}
	}
	if err := record.Close(); err != nil {
		t.Fatal(err)
	}
}

// TestAwaitRecord checks that a hanging disk does not block the start of a router.
func TestAwaitRecord(t *testing.T) {
	k := &recordKeeper{record: kcwrunrecord.New(kcwrunrecord.Config{Folder: t.TempDir()}), opened: make(chan struct{})}
	k.awaitOpen(context.Background())
	if runs := k.previousRuns(); len(runs) > 0 {
		t.Errorf("got earlier processes %v from a record that was not read", runs)
	}
}
