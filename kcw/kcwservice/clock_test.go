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
		{"applied is ahead", []time.Time{start, start.Add(time.Second)}, wall + 5e9, wall + 6e9},
		{"applied is behind", []time.Time{start, start.Add(time.Second)}, wall - 5e9, wall + 1e9},
		{"clock goes back", []time.Time{start, start.Add(-time.Hour)}, 0, wall},
	} {
		s := &stamps{}
		var got int64
		for _, now := range test.reads {
			got = s.next(now, test.applied)
		}
		if got != test.want {
			t.Errorf("%s: got %d, want %d", test.name, got, test.want)
		}
	}
}

// TestStampsKeepRunningAheadOfTheWallClock has a former leader whose clock was
// an hour ahead: time goes on from there and does not stand still for an hour.
func TestStampsKeepRunningAheadOfTheWallClock(t *testing.T) {
	s := &stamps{}
	start := time.Now()
	ahead := start.Add(time.Hour).UnixNano()
	first := s.next(start, ahead)
	second := s.next(start.Add(time.Second), ahead)
	if first != ahead || second != ahead+int64(time.Second) {
		t.Errorf("got stamps %d and %d after %d", first-ahead, second-ahead, ahead)
	}
}
