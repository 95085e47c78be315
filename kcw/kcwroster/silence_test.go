package kcwroster_test

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwroster"
)

// TestReplacedAttempts checks whether upstream a, which has fallen silent and whose attempts
// others have replaced, gets work.
func TestReplacedAttempts(t *testing.T) {
	// The breaker opens at three failures.
	const replacedAttempts = 3
	for _, test := range []struct {
		name string
		// act acts after the attempts were replaced. Other is an attempt at a that is open
		// still.
		act   func(c *clock, other *kcwroster.Attempt)
		works bool
	}{
		{"at once", func(*clock, *kcwroster.Attempt) {}, false},
		{"silent", func(c *clock, _ *kcwroster.Attempt) { c.now = c.now.Add(999 * time.Millisecond) }, false},
		{"silent for longer", func(c *clock, _ *kcwroster.Attempt) { c.now = c.now.Add(time.Second) }, false},
		{"silent, and the last attempt is given up", func(c *clock, other *kcwroster.Attempt) {
			c.now = c.now.Add(time.Second)
			other.Done(kcwroster.Neutral)
		}, false},
		{"answers late", func(c *clock, other *kcwroster.Attempt) {
			c.now = c.now.Add(999 * time.Millisecond)
			other.Answered()
		}, true},
		{"data late", func(c *clock, other *kcwroster.Attempt) {
			other.Answered()
			c.now = c.now.Add(time.Second)
			other.DataReceived()
		}, true},
		{"too late", func(c *clock, other *kcwroster.Attempt) {
			c.now = c.now.Add(time.Second)
			other.Answered()
		}, false},
		{"replaced itself", func(c *clock, other *kcwroster.Attempt) {
			other.Done(kcwroster.Replaced)
			c.now = c.now.Add(time.Second)
		}, false},
	} {
		c := &clock{now: time.Unix(1_700_000_000, 0)}
		r := newRoster(c)
		r.Update(entries("a", "b"), c.now)
		var attempts []*kcwroster.Attempt
		for range replacedAttempts {
			attempts = append(attempts, beginAt(r, "a"))
		}
		other := beginAt(r, "a")
		c.now = c.now.Add(time.Second)
		for _, a := range attempts {
			if !a.IsSilent() {
				t.Fatalf("%s: the upstream is not silent", test.name)
			}
			a.Done(kcwroster.Replaced)
		}
		test.act(c, other)
		if works := slices.Contains(chosenUpstreams(r), "a"); works != test.works {
			t.Errorf("%s: the upstream gets work: %v, want %v", test.name, works, test.works)
		}
	}
}

// A hedge goes only to an upstream that is not suspected.
func TestHedgeAvoidsSilentUpstream(t *testing.T) {
	for _, silent := range []int{0, 1, 2, 3} {
		c := &clock{now: time.Unix(1_700_000_000, 0)}
		r := newRoster(c)
		ids := []string{"a", "b", "c"}
		r.Update(entries(ids...), c.now)
		for _, id := range ids[:silent] {
			beginAt(r, id)
		}
		c.now = c.now.Add(time.Second)
		var got []string
		for len(got) < len(ids) {
			a := r.Begin(kcwroster.Request{Service: "s", Tried: got, IsHedge: true})
			if a == nil {
				break
			}
			got = append(got, a.ID())
			a.Done(kcwroster.Neutral)
		}
		slices.Sort(got)
		if !slices.Equal(got, ids[silent:]) {
			t.Errorf("%s silent: hedges go to %v, want %v", strconv.Itoa(silent), got, ids[silent:])
		}
	}
}
