package kcwstop_test

import (
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwstop"
)

// estimate is what the requests of all routes take at the longest, zero if that isn't known.
type estimate time.Duration

func (e estimate) EndsWithin(_ string, d time.Duration, _ time.Time) bool {
	return e != 0 && time.Duration(e) <= d
}

func TestAllows(t *testing.T) {
	const (
		quick = estimate(time.Millisecond)
		slow  = estimate(2 * time.Second)
	)
	now := time.Unix(1e9, 0)
	for _, test := range []struct {
		name string
		// untilDeadline and untilEnd are the times left to the request and to the stop.
		untilDeadline, untilEnd time.Duration
		estimate                estimate
		// wantOnce and wantRepeatable are the results for a request that must not be repeated
		// and for one that may.
		wantOnce, wantRepeatable bool
	}{
		{"deadline before the end", time.Second, time.Minute, 0, true, true},
		{"deadline at the end", time.Second, time.Second, 0, true, true},
		{"deadline after the end, duration unknown", time.Second + 1, time.Second, 0, false, false},
		{"deadline after the end, quick", time.Minute, time.Second, quick, false, true},
		{"deadline after the end, slow", time.Minute, time.Second, slow, false, false},
		{"at the end", time.Minute, 0, quick, false, false},
		{"after the end", time.Minute, -time.Second, quick, false, false},
		{"after the end and the deadline", -2 * time.Second, -time.Second, quick, true, true},
	} {
		stop := kcwstop.Stop{EndsAt: now.Add(test.untilEnd)}
		for _, mayRepeat := range []bool{false, true} {
			request := kcwstop.Request{Route: "r", Deadline: now.Add(test.untilDeadline), MayRepeat: mayRepeat}
			want := test.wantOnce
			if mayRepeat {
				want = test.wantRepeatable
			}
			if got := stop.Allows(request, test.estimate, now); got != want {
				t.Errorf("%s, may be repeated %v: allowed %v, want %v", test.name, mayRepeat, got, want)
			}
		}
	}
}
