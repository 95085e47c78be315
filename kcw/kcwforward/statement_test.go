package kcwforward

import "testing"

// TestReadStatement guards against a status that tells the caller of a request that must not run
// twice that it has not run, although its upstream does not state that.
func TestReadStatement(t *testing.T) {
	refusals := map[int]bool{408: true, 421: true, 429: true, 503: true}
	for status := 200; status < 600; status++ {
		for _, test := range []struct {
			name                       string
			isNotRun, isOwn, mayRepeat bool
			refusal, other             statement
		}{
			{"stated", true, true, false, statesNotRun, statesNotRun},
			{"stated, repeatable", true, true, true, statesNotRun, statesNotRun},
			{"stated without identity", true, false, false, statesForOther, statesForOther},
			{"stated without identity, repeatable", true, false, true, statesNotRun, statesNotRun},
			{"not stated", false, true, false, unstatedRefusal, statesNothing},
			{"not stated, repeatable", false, true, true, statesNothing, statesNothing},
			{"not stated without identity", false, false, false, statesForOther, statesNothing},
			{"not stated without identity, repeatable", false, false, true, statesNothing, statesNothing},
		} {
			want := test.other
			if refusals[status] {
				want = test.refusal
			}
			if got := readStatement(status, ResponseInfo{NotRun: test.isNotRun}, test.isOwn, test.mayRepeat); got != want {
				t.Errorf("%s, status %d: got %d, want %d", test.name, status, got, want)
			}
		}
	}
}
