package kcwcontrol

import (
	"testing"
	"time"
)

// TestStamp checks that a leader's stamps report a step of its wall clock until one of
// them is committed, and that a suspended host reports no step.
func TestStamp(t *testing.T) {
	wall, up := time.Unix(1_700_000_000, 0), time.Hour
	s, err := newStamper()
	if err != nil {
		t.Fatal(err)
	}
	s.now, s.uptime = func() time.Time { return wall }, func() time.Duration { return up }
	s.offset = time.Duration(wall.UnixNano()) - up
	for _, test := range []struct {
		name     string
		wall, up time.Duration
		fails    bool
		want     bool
	}{
		{"no step", time.Second, time.Second, false, false},
		{"suspended", time.Minute, time.Minute, false, false},
		{"stepped back, stamp not committed", -time.Second, time.Second, true, true},
		{"reported again", time.Second, time.Second, false, true},
		{"committed", time.Second, time.Second, false, false},
		{"stepped forward", time.Minute, time.Second, false, true},
		{"slewed", time.Second, time.Second - 50*time.Millisecond, false, false},
	} {
		wall, up = wall.Add(test.wall), up+test.up
		stamp, steps := s.stamp()
		if stamp.GetStepped() != test.want {
			t.Errorf("%s: stepped is %v", test.name, stamp.GetStepped())
		}
		if !test.fails {
			s.acknowledge(steps)
		}
	}
	// The next stamp reports a step that happens between a stamp and its commit.
	_, steps := s.stamp()
	wall = wall.Add(-time.Minute)
	s.stamp()
	s.acknowledge(steps)
	if stamp, _ := s.stamp(); !stamp.GetStepped() {
		t.Error("a step after the last stamp is not reported")
	}
}
