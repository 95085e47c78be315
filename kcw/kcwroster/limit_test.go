package kcwroster_test

import (
	"slices"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwroster"
)

// limitSet is a limiter with fixed limits.
type limitSet struct {
	limited map[string]bool
	notices []kcwroster.LimitNotice
	listed  []string
}

func (l *limitSet) Observe(notice kcwroster.LimitNotice) { l.notices = append(l.notices, notice) }
func (l *limitSet) IsLimiting() bool                     { return len(l.limited) > 0 }
func (l *limitSet) HasLimit(upstream string) bool        { return l.limited[upstream] }

func (l *limitSet) Retain(isListed func(string) bool) {
	l.listed = slices.DeleteFunc([]string{"a", "b", "c", "gone"}, func(id string) bool { return !isListed(id) })
}

func newLimitedRoster(c *clock, limited ...string) (*kcwroster.Roster, *limitSet) {
	set := &limitSet{limited: map[string]bool{}}
	for _, id := range limited {
		set.limited[id] = true
	}
	r := newRosterWith(c, set)
	r.Update(entries("a", "b", "c"), c.now)
	return r, set
}

// TestLimitedUpstreamNeedsPermit checks that requests without a permit go to the upstreams
// without a limit only, and with one to its upstream.
func TestLimitedUpstreamNeedsPermit(t *testing.T) {
	c := &clock{now: time.Unix(1_700_000_000, 0)}
	r, set := newLimitedRoster(c, "a", "b")
	if got := chosenUpstreams(r); !slices.Equal(got, []string{"c"}) {
		t.Errorf("requests without a permit go to %v, want c", got)
	}
	for range 20 {
		a := r.Begin(kcwroster.Request{Service: "s", Permit: "b"})
		if a == nil || a.ID() != "b" {
			t.Fatalf("a request with a permit goes to %v", a)
		}
		a.Done(kcwroster.Succeeded)
	}
	set.limited["c"] = true
	if a := r.Begin(kcwroster.Request{Service: "s"}); a != nil {
		t.Errorf("a request without a permit goes to %s, want none: all are limited", a.ID())
	}
	if a := r.Begin(kcwroster.Request{Service: "s", Permit: "b", Tried: []string{"b"}}); a != nil {
		t.Errorf("a request goes to %s again, which it has tried", a.ID())
	}
}

// TestLimited checks for which upstreams a request needs a permit.
func TestLimited(t *testing.T) {
	for _, test := range []struct {
		name    string
		limited []string
		tried   []string
		// prefixes is the number of prefixes, of 300, whose requests need a permit: those
		// whose home is limited, about.
		least, most int
		upstreams   []string
		hasOther    bool
	}{
		{"no limit", nil, nil, 0, 0, nil, true},
		{"one", []string{"a"}, nil, 60, 140, []string{"a"}, true},
		{"all", []string{"a", "b", "c"}, nil, 300, 300, []string{"a", "b", "c"}, false},
		{"all but a tried one", []string{"a", "b", "c"}, []string{"b"}, 300, 300, []string{"a", "c"}, false},
		{"all tried", []string{"a", "b", "c"}, []string{"a", "b", "c"}, 0, 0, nil, false},
	} {
		c := &clock{now: time.Unix(1_700_000_000, 0)}
		r, _ := newLimitedRoster(c, test.limited...)
		needing := 0
		for prefix := range uint64(300) {
			request := kcwroster.Request{Service: "s", Prefix: prefix + 1, Tried: test.tried}
			ids, hasOther := r.Limited(request)
			if hasOther != test.hasOther {
				t.Fatalf("%s: hasOther is %v", test.name, hasOther)
			}
			if len(ids) == 0 {
				continue
			}
			needing++
			sorted := slices.Sorted(slices.Values(ids))
			if !slices.Equal(sorted, test.upstreams) {
				t.Fatalf("%s: the upstreams are %v, want %v", test.name, ids, test.upstreams)
			}
		}
		if needing < test.least || needing > test.most {
			t.Errorf("%s: %d of 300 prefixes need a permit, want %d to %d", test.name, needing, test.least, test.most)
		}
	}
}

// TestLimitedOrder checks that the home of a prefix comes first, and the others in the order
// in which all routers rank them.
func TestLimitedOrder(t *testing.T) {
	c := &clock{now: time.Unix(1_700_000_000, 0)}
	r, _ := newLimitedRoster(c, "a", "b", "c")
	other, _ := newLimitedRoster(c, "a", "b", "c")
	firsts := map[string]bool{}
	for prefix := range uint64(50) {
		request := kcwroster.Request{Service: "s", Prefix: prefix + 1}
		ids, _ := r.Limited(request)
		again, _ := other.Limited(request)
		if !slices.Equal(ids, again) {
			t.Errorf("the order is %v at one router and %v at another", ids, again)
		}
		firsts[ids[0]] = true
	}
	if len(firsts) != 3 {
		t.Errorf("all homes are among %v", firsts)
	}
}

// TestReportLimit checks what a limiter is told of an answer, and of a list.
func TestReportLimit(t *testing.T) {
	c := &clock{now: time.Unix(1_700_000_000, 0)}
	r, set := newLimitedRoster(c)
	a := beginAt(r, "b")
	c.now = c.now.Add(time.Second)
	a.ReportLimit(kcwroster.LimitNotice{PerSecond: 4, MayLoosen: true})
	want := kcwroster.LimitNotice{Upstream: "b", Service: "s", PerSecond: 4, MayLoosen: true, Elapsed: time.Second}
	if len(set.notices) != 1 || set.notices[0] != want {
		t.Errorf("the notices are %+v, want %+v", set.notices, want)
	}
	r.Update(entries("a", "c"), c.now)
	if !slices.Equal(set.listed, []string{"a", "c"}) {
		t.Errorf("%v count as listed, want a and c", set.listed)
	}
}
