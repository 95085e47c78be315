package kcwavailability

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

// at returns the time that is ms milliseconds after a fixed one.
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
		{name: "not in the table", want: "Unknown"},
		{name: "listed but no poll answered", steps: []func(*Table){list(1, u, nil)}, want: "Silent"},
		{name: "answered", steps: []func(*Table){poll(1)}},
		{name: "listed leaving", steps: []func(*Table){poll(1), list(2, nil, u)}, want: "Leaving"},
		{name: "listed leaving, then answers", steps: []func(*Table){poll(1), list(2, nil, u), poll(3)}, want: "Leaving"},
		{name: "no longer listed", steps: []func(*Table){poll(1), list(2, u, nil), list(3, nil, nil)}, want: "Leaving"},
		{name: "settings only, not in the list", steps: []func(*Table){poll(1), list(3, nil, nil)}},
		{name: "a newer list with it live", steps: []func(*Table){poll(1), list(2, nil, u), list(3, u, nil)}},
		{name: "an older list with it live", steps: []func(*Table){poll(1), list(3, nil, u), list(2, u, nil)}, want: "Leaving"},
		{name: "drains", steps: []func(*Table){poll(1), drain(2)}, want: "Draining"},
		{name: "draining, then listed as live", steps: []func(*Table){poll(1), drain(2), list(9, u, nil)}, want: "Draining"},
		{name: "draining, then the answer to an earlier poll", steps: []func(*Table){drain(5), poll(4)}, want: "Draining"},
		{name: "draining, then the answer to a later poll", steps: []func(*Table){drain(5), poll(6)}},
		{name: "closed connection", steps: []func(*Table){poll(1), suspect(2)}, want: "Suspect"},
		{name: "closed connection, then a poll answered", steps: []func(*Table){poll(1), suspect(2), poll(3)}},
		{name: "an older closed connection after a newer answer", steps: []func(*Table){poll(5), suspect(2)}},
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

// TestLeaving applies random lists, refusals, failures and poll answers, and checks that
// an upstream is usable only if the newest list does not make it leaving and the newest
// answered poll was sent after every refusal and failure and within the silence bound.
func TestLeaving(t *testing.T) {
	seed := int64(1)
	if text := os.Getenv("KCW_SEED"); text != "" {
		var err error
		if seed, err = strconv.ParseInt(text, 10, 64); err != nil {
			t.Fatal(err)
		}
	}
	p := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(seed))
	p.Property("an upstream is usable only with a recent and newer poll answer", prop.ForAll(
		func(seed int64) bool {
			rng := rand.New(rand.NewPCG(uint64(seed), 0))
			table := newTable(t)
			unusableAt, polled, listed, leaving := -1, -1, -3001, false
			for now := 0; now < 20000; now += 1 + rng.IntN(400) {
				switch rng.IntN(6) {
				case 0:
					table.Draining(at(now), "u")
					unusableAt = now
				case 1:
					table.Suspect(at(now), "u")
					unusableAt = now
				case 2:
					asOf := now - rng.IntN(3000)
					isLeaving := rng.IntN(2) == 0
					names := [2][]string{{"u"}, nil}
					if isLeaving {
						names[0], names[1] = nil, names[0]
					}
					if applied := table.List(at(asOf), names[0], names[1]); applied != (asOf > listed) {
						return false
					}
					if asOf > listed {
						listed, leaving = asOf, isLeaving
					}
				default:
					sent := max(now-rng.IntN(2000), 0)
					table.Answered(at(now), "u", at(sent), false)
					polled = max(polled, sent)
				}
				allowed := !leaving && polled > unusableAt && polled >= 0 && at(now).Sub(at(polled)) <= silence
				if table.Usable(at(now), "u") != allowed {
					return false
				}
			}
			return true
		}, gen.Int64()))
	p.TestingRun(t)
}
