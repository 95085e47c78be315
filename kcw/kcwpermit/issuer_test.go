package kcwpermit_test

import (
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwpermit"
	"kingcupwick.example/kcw/kcwratelimit"
)

var start = time.Unix(1000, 0)

// limit returns a limit of the upstream, of an answer that arrived at start.
func limit(upstream string, perSecond float64) kcwratelimit.Limit {
	return kcwratelimit.Limit{Upstream: upstream, Service: "s", PerSecond: perSecond, AnsweredAt: start}
}

// grantAll returns how many permits for the upstream the issuer grants at now.
func grantAll(s *kcwpermit.Issuer, upstream string, spare float64, now time.Time) int {
	n := 0
	for s.Grant([]string{upstream}, spare, now) != "" {
		n++
	}
	return n
}

func TestGrant(t *testing.T) {
	for _, test := range []struct {
		name      string
		perSecond float64
		after     time.Duration
		spare     float64
		want      int
	}{
		{"at once", 4, 0, 0, 0},
		{"after a quarter of a second", 4, 250 * time.Millisecond, 0, 1},
		{"after a second", 4, time.Second, 0, 4},
		{"after an hour", 4, time.Hour, 0, 5},
		{"leaving the most to others", 4, time.Hour, 1, 2},
		{"leaving half of that", 4, time.Hour, 0.5, 3},
		{"low limit", 0.1, 10 * time.Second, 0, 1},
		{"low limit after an hour", 0.1, time.Hour, 0, 2},
	} {
		s := kcwpermit.NewIssuer()
		s.SetLimit(limit("u", test.perSecond), start)
		if got := grantAll(s, "u", test.spare, start.Add(test.after)); got != test.want {
			t.Errorf("%s: %d permits, want %d", test.name, got, test.want)
		}
	}
}

// TestGrantTakesFirstWithPermit checks that upstreams without permits, without a limit, or
// whose limit has ended are passed over.
func TestGrantTakesFirstWithPermit(t *testing.T) {
	s := kcwpermit.NewIssuer()
	for _, id := range []string{"empty", "ended", "full"} {
		s.SetLimit(limit(id, 1), start)
	}
	s.SetLimit(limit("ended", 0), start)
	later := start.Add(time.Minute)
	grantAll(s, "empty", 0, later)
	if got := s.Grant([]string{"unknown", "ended", "empty", "full"}, 0, later); got != "full" {
		t.Errorf("the permit is for %q", got)
	}
	if got := s.Grant([]string{"unknown", "ended", "empty"}, 0, later); got != "" {
		t.Errorf("the permit is for %q, want none", got)
	}
}

// TestLowerLimitReducesPermits checks that permits that accumulated under a higher limit are
// dropped.
func TestLowerLimitReducesPermits(t *testing.T) {
	s := kcwpermit.NewIssuer()
	s.SetLimit(limit("u", 100), start)
	later := start.Add(time.Minute)
	s.SetLimit(limit("u", 1), later)
	if got := grantAll(s, "u", 0, later); got != 2 {
		t.Errorf("%d permits, want 2", got)
	}
}

// TestSilentRoutersKeepTheirPart checks that the parts of a limit that routers use while they
// are cut off are not issued, until they report or are forgotten.
func TestSilentRoutersKeepTheirPart(t *testing.T) {
	s := kcwpermit.NewIssuer()
	s.SetLimit(limit("u", 10), start)
	issuedIn := func(from, until time.Duration, reporting ...string) int {
		n := 0
		for at := from; at < until; at += 200 * time.Millisecond {
			for _, router := range reporting {
				s.Hear(router, start.Add(at))
			}
			n += grantAll(s, "u", 0, start.Add(at))
		}
		return n
	}
	issuedIn(0, 5*time.Second, "a", "b")
	if n := issuedIn(5*time.Second, 15*time.Second, "a", "b"); n < 98 || n > 102 {
		t.Errorf("%d permits in 10 s, want 100", n)
	}
	issuedIn(15*time.Second, 20*time.Second, "a")
	// The other half of the routers may use seven tenths of its part.
	if n := issuedIn(20*time.Second, 30*time.Second, "a"); n < 63 || n > 67 {
		t.Errorf("%d permits in 10 s with a router cut off, want 65", n)
	}
	issuedIn(30*time.Second, 90*time.Second, "a")
	if n := issuedIn(90*time.Second, 100*time.Second, "a"); n < 98 || n > 102 {
		t.Errorf("%d permits in 10 s once the router is forgotten, want 100", n)
	}
}

func TestIssue(t *testing.T) {
	demand := func(service string, permits uint32) []*kcwpb.PermitDemand {
		return []*kcwpb.PermitDemand{{Service: service, Permits: permits}}
	}
	for _, test := range []struct {
		name   string
		demand []*kcwpb.PermitDemand
		after  time.Duration
		want   int
		probes int
	}{
		{"none", nil, time.Second, 0, 0},
		{"one", demand("s", 1), time.Second, 1, 0},
		{"more than there are", demand("s", 1000), time.Second, 4, 0},
		{"another service", demand("t", 1), time.Second, 0, 0},
		{"a probe is due", demand("s", 0), time.Minute, 1, 1},
		{"a probe beside others", demand("s", 1), time.Minute, 2, 1},
	} {
		s := kcwpermit.NewIssuer()
		s.SetLimit(limit("u", 2), start)
		s.SetLimit(limit("v", 2), start)
		permits, probes := 0, 0
		for _, p := range s.Issue(test.demand, start.Add(test.after)) {
			permits += int(p.GetPermits())
			if p.GetProbe() {
				probes++
			}
		}
		if permits != test.want || probes != test.probes {
			t.Errorf("%s: %d permits and %d probes, want %d and %d", test.name, permits, probes, test.want, test.probes)
		}
	}
}

// TestProbesAreRare checks that one probe at a time is issued to the whole fleet.
func TestProbesAreRare(t *testing.T) {
	s := kcwpermit.NewIssuer()
	s.SetLimit(limit("u", 2), start)
	probes := 0
	for at := time.Duration(0); at < time.Minute; at += 10 * time.Millisecond {
		for _, p := range s.Issue([]*kcwpb.PermitDemand{{Service: "s"}}, start.Add(at)) {
			probes += int(p.GetPermits())
		}
	}
	if probes < 8 || probes > 12 {
		t.Errorf("%d probes in a minute without an answer, want about one in 5 s", probes)
	}
}
