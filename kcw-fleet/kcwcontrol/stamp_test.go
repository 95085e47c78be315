package kcwcontrol

import (
	"testing"
	"time"
)

// TestStamp checks that a leader tells that its time of day was set until the core
// knows, and that a host which was suspended tells nothing.
func TestStamp(t *testing.T) {
	wall, up := time.Unix(1_700_000_000, 0), time.Hour
	s, err := newStamper()
	if err != nil {
		t.Fatal(err)
	}
	s.now, s.uptime = func() time.Time { return wall }, func() time.Duration { return up }
	s.drift = time.Duration(wall.UnixNano()) - up
	for _, test := range []struct {
		name     string
		wall, up time.Duration
		fails    bool
		want     bool
	}{
		{"some time", time.Second, time.Second, false, false},
		{"suspended", time.Minute, time.Minute, false, false},
		{"set back, and the core does not answer", -time.Second, time.Second, true, true},
		{"told again", time.Second, time.Second, false, true},
		{"known", time.Second, time.Second, false, false},
		{"set forwards", time.Minute, time.Second, false, true},
		{"slewed", time.Second, time.Second - 50*time.Millisecond, false, false},
	} {
		wall, up = wall.Add(test.wall), up+test.up
		stamp, steps := s.stamp()
		if stamp.GetStepped() != test.want {
			t.Errorf("%s: stepped is %v", test.name, stamp.GetStepped())
		}
		if !test.fails {
			s.told(steps)
		}
	}
	// A step between a stamp and the answer to it is told by the next stamp.
	_, steps := s.stamp()
	wall = wall.Add(-time.Minute)
	s.stamp()
	s.told(steps)
	if stamp, _ := s.stamp(); !stamp.GetStepped() {
		t.Error("a step was forgotten")
	}
}
