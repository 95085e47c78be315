package kcwrouter

import (
	"testing"
	"time"
)

func TestReportPause(t *testing.T) {
	const interval = 250 * time.Millisecond
	for _, test := range []struct {
		name              string
		failures, routers int
		want              time.Duration
	}{
		{"answered", 0, 300, interval},
		{"leader lost", 1, 300, interval},
		{"core behind", 2, 300, 2 * interval},
		{"core behind for long", 3, 300, 750 * time.Millisecond},
		{"core lost for hours", 100_000, 300, 750 * time.Millisecond},
		{"planned maximum", 100, 380, 950 * time.Millisecond},
		{"few routers", 100, 10, interval},
		{"number of routers not known yet", 100, 0, interval},
	} {
		if got := reportPause(interval, test.failures, test.routers); got != test.want {
			t.Errorf("%s: the pause is %v, want %v", test.name, got, test.want)
		}
	}
}
