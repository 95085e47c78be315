package kcwforward_test

import (
	"net/http"
	"slices"
	"strconv"
	"testing"

	"kingcupwick.example/kcw/kcwroster"
)

// TestUpstreamAtLimit checks where requests go if upstreams have a rate limit, of two
// upstreams.
func TestUpstreamAtLimit(t *testing.T) {
	for _, test := range []struct {
		name    string
		limited []string
		permits map[string]int
		// served is how many of ten requests are answered, sent how many of them reach a
		// limited upstream.
		served, sent int
	}{
		{"one, without permits", []string{"u0"}, nil, 10, 0},
		{"both, without permits", []string{"u0", "u1"}, nil, 0, 0},
		{"both, with permits", []string{"u0", "u1"}, map[string]int{"u0": 2, "u1": 1}, 3, 3},
	} {
		f := newFixture(t, 2, once, good)
		for _, id := range test.limited {
			f.limits.limited[id] = true
		}
		for id, n := range test.permits {
			f.limits.permits[id] = n
		}
		served := 0
		for range 10 {
			response, _, err := f.call(t, http.MethodPost, "body")
			if err != nil {
				t.Fatal(err)
			}
			if response.StatusCode == http.StatusOK {
				served++
				continue
			}
			after, err := strconv.Atoi(response.Header.Get("Retry-After"))
			// A caller that returns sooner would be refused again.
			if response.StatusCode != http.StatusServiceUnavailable || err != nil || after < 2000 || after > 3000 {
				t.Errorf("%s: status %d, Retry-After %d ms, %v", test.name, response.StatusCode, after, err)
			}
		}
		sent := 0
		for _, e := range f.events {
			if slices.Contains(test.limited, e.Upstream) {
				sent++
				if e.Permit != e.Upstream {
					t.Errorf("%s: a request went to %s with a permit for %q", test.name, e.Upstream, e.Permit)
				}
			}
			if e.Status == http.StatusServiceUnavailable && (e.Outcome != "AtLimit" || e.Sends != 0 || e.Displaced == "") {
				t.Errorf("%s: the outcome is %s after %d sends, displaced from %q", test.name, e.Outcome, e.Sends, e.Displaced)
			}
		}
		if served != test.served || sent != test.sent {
			t.Errorf("%s: %d requests are served and %d reach a limited upstream, want %d and %d", test.name, served, sent, test.served, test.sent)
		}
	}
}

// TestRetryNeedsPermit checks that a request that is sent again takes another permit.
func TestRetryNeedsPermit(t *testing.T) {
	f := newFixture(t, 3, once, func(e *exchange) {
		if e.number == 1 {
			e.answer(http.StatusServiceUnavailable, "Not-Run: 1\r\n", "")
			return
		}
		good(e)
	})
	for i := range 3 {
		f.limits.limited["u"+strconv.Itoa(i)] = true
		f.limits.permits["u"+strconv.Itoa(i)] = 1
	}
	response, _, err := f.call(t, http.MethodPost, "body")
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("the answer is %v, %v", response, err)
	}
	left := 0
	for _, n := range f.limits.permits {
		left += n
	}
	if left != 1 || len(f.limits.claims) != 2 {
		t.Errorf("%d permits are left after %d claims, want 1 after 2", left, len(f.limits.claims))
	}
	if len(f.limits.claims[1].Upstreams) != 2 {
		t.Errorf("the second claim is for %v, the first upstream was tried", f.limits.claims[1].Upstreams)
	}
}

// TestLimitNotices checks which answers may raise or end a limit.
func TestLimitNotices(t *testing.T) {
	for _, test := range []struct {
		name   string
		status int
		header string
		want   []kcwroster.LimitNotice
	}{
		{"none", 200, "", []kcwroster.LimitNotice{{MayLoosen: true}}},
		{"named", 200, "Limit: 3.5\r\n", []kcwroster.LimitNotice{{PerSecond: 3.5, MayLoosen: true}}},
		{"not run", 429, "Not-Run: 1\r\nLimit: 3\r\n", []kcwroster.LimitNotice{{PerSecond: 3, MayLoosen: true}}},
		{"a failure", 500, "Limit: 3\r\n", []kcwroster.LimitNotice{{PerSecond: 3}}},
		{"malformed", 200, "Limit: x\r\n", []kcwroster.LimitNotice{{Malformed: "x", MayLoosen: true}}},
		{"from another upstream", 421, "Not-Run: 1\r\nLimit: 3\r\n", nil},
	} {
		f := newFixture(t, 1, once, func(e *exchange) { e.answer(test.status, test.header, "x") })
		if _, _, err := f.call(t, http.MethodPost, "body"); err != nil {
			t.Fatal(err)
		}
		for i := range test.want {
			test.want[i].Upstream, test.want[i].Service, test.want[i].RequestID = "u0", "s", "id-1"
		}
		if !slices.Equal(f.limits.notices, test.want) {
			t.Errorf("%s: the notices are %+v, want %+v", test.name, f.limits.notices, test.want)
		}
	}
}
