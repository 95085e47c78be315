package kcwservice

import (
	"testing"
	"time"
)

func TestStampsRunWithTheMonotonicClock(t *testing.T) {
	start := time.Now()
	wall := start.UnixNano()
	for _, test := range []struct {
		name    string
		reads   []time.Time
		applied int64
		want    int64
	}{
		{"first", []time.Time{start}, 0, wall},
		{"one second on", []time.Time{start, start.Add(time.Second)}, 0, wall + 1e9},
		{"applied time ahead", []time.Time{start, start.Add(time.Second)}, wall + 5e9, wall + 6e9},
		{"applied time behind", []time.Time{start, start.Add(time.Second)}, wall - 5e9, wall + 1e9},
		{"clock goes back", []time.Time{start, start.Add(-time.Hour)}, 0, wall},
	} {
		c := &commandClock{}
		var got int64
		for _, now := range test.reads {
			got = c.next(now, test.applied)
		}
		if got != test.want {
			t.Errorf("%s: got %d, want %d", test.name, got, test.want)
		}
	}
}

// TestStampsKeepRunningAheadOfTheWallClock guards against times that stand still
// for an hour because the wall clock of a former leader was an hour ahead.
func TestStampsKeepRunningAheadOfTheWallClock(t *testing.T) {
	c := &commandClock{}
	start := time.Now()
	ahead := start.Add(time.Hour).UnixNano()
	first := c.next(start, ahead)
	second := c.next(start.Add(time.Second), ahead)
	if first != ahead || second != ahead+int64(time.Second) {
		t.Errorf("got times %d and %d after the applied time %d", first-ahead, second-ahead, ahead)
	}
}
