package kcwstop_test

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"kingcupwick.example/kcw/kcwstop"
)

func TestAllows(t *testing.T) {
	now := time.Unix(1e9, 0)
	for _, test := range []struct {
		name string
		// untilDeadline and untilEnd are the times left to the request and to the stop.
		untilDeadline, untilEnd time.Duration
		// wantNew and wantBegun are the results for a request without an answer and for one
		// whose answer has begun.
		wantNew, wantBegun bool
	}{
		{"deadline before the end", time.Second, time.Minute, true, true},
		{"deadline at the end", time.Second, time.Second, true, true},
		{"deadline after the end", time.Second + 1, time.Second, false, true},
		{"at the end", time.Minute, 0, false, false},
		{"after the end", time.Minute, -time.Second, false, false},
		{"after the end and the deadline", -2 * time.Second, -time.Second, true, true},
	} {
		stop := kcwstop.Stop{EndsAt: now.Add(test.untilEnd)}
		for _, begun := range []bool{false, true} {
			want := test.wantNew
			if begun {
				want = test.wantBegun
			}
			if got := stop.Allows(kcwstop.Request{Deadline: now.Add(test.untilDeadline), AnswerBegun: begun}, now); got != want {
				t.Errorf("%s, answer begun %v: allowed %v, want %v", test.name, begun, got, want)
			}
		}
	}
}

// TestAllowedRequestsAreOverBeforeTheEnd checks that a request without an answer is passed on
// only if its time is over by the end of the stop, whatever it takes.
func TestAllowedRequestsAreOverBeforeTheEnd(t *testing.T) {
	now := time.Unix(1e9, 0)
	properties := gopter.NewProperties(nil)
	milliseconds := gen.Int64Range(-10_000, 20_000)
	properties.Property("no request is cut", prop.ForAll(func(untilDeadline, untilEnd int64) bool {
		deadline, end := now.Add(time.Duration(untilDeadline)*time.Millisecond), now.Add(time.Duration(untilEnd)*time.Millisecond)
		return kcwstop.Stop{EndsAt: end}.Allows(kcwstop.Request{Deadline: deadline}, now) == !deadline.After(end)
	}, milliseconds, milliseconds))
	properties.TestingRun(t)
}
