package kcwmember

import (
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

const silence = 5 * time.Second

// at returns the time so many milliseconds after a fixed one.
func at(ms int) time.Time {
	return time.Unix(1_800_000_000, 0).Add(time.Duration(ms) * time.Millisecond)
}

func newTable(t testing.TB) *Table {
	t.Helper()
	table, err := New(Config{Silence: silence})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func TestReason(t *testing.T) {
	poll := func(sent int) func(*Table) {
		return func(t *Table) { t.Answered(at(sent+1), "u", at(sent), false) }
	}
	list := func(asOf int, live, leaving []string) func(*Table) {
		return func(t *Table) { t.List(at(asOf), live, leaving) }
	}
	drain := func(ms int) func(*Table) { return func(t *Table) { t.Draining(at(ms), "u") } }
	suspect := func(ms int) func(*Table) { return func(t *Table) { t.Suspect(at(ms), "u") } }
	u := []string{"u"}
	for _, test := range []struct {
		name  string
		steps []func(*Table)
		want  string
	}{
		{name: "never heard of", want: "Unknown"},
		{name: "listed but not heard", steps: []func(*Table){list(1, u, nil)}, want: "Silent"},
		{name: "answered", steps: []func(*Table){poll(1)}},
		{name: "listed leaving", steps: []func(*Table){poll(1), list(2, nil, u)}, want: "Leaving"},
		{name: "listed leaving, then answers", steps: []func(*Table){poll(1), list(2, nil, u), poll(3)}, want: "Leaving"},
		{name: "no longer listed", steps: []func(*Table){poll(1), list(2, u, nil), list(3, nil, nil)}, want: "Leaving"},
		{name: "settings only, not in the list", steps: []func(*Table){poll(1), list(3, nil, nil)}},
		{name: "newer list brings it back", steps: []func(*Table){poll(1), list(2, nil, u), list(3, u, nil)}},
		{name: "older list does not", steps: []func(*Table){poll(1), list(3, nil, u), list(2, u, nil)}, want: "Leaving"},
		{name: "drains", steps: []func(*Table){poll(1), drain(2)}, want: "Draining"},
		{name: "the list does not lift draining", steps: []func(*Table){poll(1), drain(2), list(9, u, nil)}, want: "Draining"},
		{name: "a poll sent before does not lift it", steps: []func(*Table){drain(5), poll(4)}, want: "Draining"},
		{name: "a poll sent after does", steps: []func(*Table){drain(5), poll(6)}},
		{name: "closed connection", steps: []func(*Table){poll(1), suspect(2)}, want: "Suspect"},
		{name: "answers after it", steps: []func(*Table){poll(1), suspect(2), poll(3)}},
		{name: "an old sign after a new answer", steps: []func(*Table){poll(5), suspect(2)}},
	} {
		table := newTable(t)
		for _, step := range test.steps {
			step(table)
		}
		if got := table.Reason(at(100), "u"); got != test.want {
			t.Errorf("%s: %q, want %q", test.name, got, test.want)
		}
	}
}

func TestSilence(t *testing.T) {
	table := newTable(t)
	table.Answered(at(10), "u", at(0), false)
	if !table.Usable(at(0).Add(silence), "u") {
		t.Error("unusable before the bound")
	}
	if table.Usable(at(1).Add(silence), "u") {
		t.Error("usable after the bound, counted from when the poll was sent")
	}
}

// TestLeaving sends signs and polls in random order and checks that an upstream
// is given work only on an answer newer than every sign and inside the bound.
func TestLeaving(t *testing.T) {
	seed := int64(1)
	if text := os.Getenv("KCW_SEED"); text != "" {
		var err error
		if seed, err = strconv.ParseInt(text, 10, 64); err != nil {
			t.Fatal(err)
		}
	}
	p := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(seed))
	p.Property("a leaving upstream gets no work until newer evidence, or after the bound", prop.ForAll(
		func(seed int64) bool {
			rng := rand.New(rand.NewPCG(uint64(seed), 0))
			table := newTable(t)
			sign, heard, listed, leaving := -1, -1, -3001, false
			for now := 0; now < 20000; now += 1 + rng.IntN(400) {
				switch rng.IntN(6) {
				case 0:
					table.Draining(at(now), "u")
					sign = now
				case 1:
					table.Suspect(at(now), "u")
					sign = now
				case 2:
					asOf := now - rng.IntN(3000)
					gone := rng.IntN(2) == 0
					names := [2][]string{{"u"}, nil}
					if gone {
						names[0], names[1] = nil, names[0]
					}
					if taken := table.List(at(asOf), names[0], names[1]); taken != (asOf > listed) {
						return false
					}
					if asOf > listed {
						listed, leaving = asOf, gone
					}
				default:
					sent := max(now-rng.IntN(2000), 0)
					table.Answered(at(now), "u", at(sent), false)
					heard = max(heard, sent)
				}
				allowed := !leaving && heard > sign && heard >= 0 && at(now).Sub(at(heard)) <= silence
				if table.Usable(at(now), "u") != allowed {
					return false
				}
			}
			return true
		}, gen.Int64()))
	p.TestingRun(t)
}
