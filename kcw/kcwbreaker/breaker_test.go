package kcwbreaker

import (
	"errors"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// at returns the time so many milliseconds after a fixed one.
func at(ms int) time.Time {
	return time.Unix(1_800_000_000, 0).Add(time.Duration(ms) * time.Millisecond)
}

func newBreaker(t testing.TB) *Breaker {
	t.Helper()
	b, err := New(Config{
		Window: time.Second, MinCalls: 4, FailureRate: 0.5, SlowRate: 0.5, ConsecutiveFailures: 3, SlowAfter: 100 * time.Millisecond,
		Probes: 2, ProbeTimeout: time.Second, InitialBackoff: time.Second, MaxBackoff: 4 * time.Second,
		Rand: rand.New(rand.NewPCG(1, 1)),
	})
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// call carries out a call of the given outcome, f, o (ok) or s (slow), at a time.
func call(t *testing.T, b *Breaker, now time.Time, outcome rune) {
	t.Helper()
	ticket, err := b.Begin(now)
	switch {
	case err != nil:
		t.Fatal(err)
	case outcome == 'f':
		b.Fail(now, ticket)
	case outcome == 's':
		b.Succeed(now, ticket, now.Add(-200*time.Millisecond))
	default:
		b.Succeed(now, ticket, now)
	}
}

func TestTrip(t *testing.T) {
	for _, test := range []struct {
		outcomes string
		every    int // milliseconds between the calls
		want     string
	}{
		{outcomes: "ff", every: 1, want: "Closed"},
		{outcomes: "fff", every: 1, want: "Open"},
		{outcomes: "ffof", every: 1, want: "Open"},
		{outcomes: "oofo", every: 1, want: "Closed"},
		{outcomes: "oos", every: 1, want: "Closed"},
		{outcomes: "ooss", every: 1, want: "Open"},
		{outcomes: "ofofo", every: 600, want: "Closed"},
	} {
		b := newBreaker(t)
		for i, outcome := range test.outcomes {
			call(t, b, at(i*test.every), outcome)
		}
		if got := b.State(); got != test.want {
			t.Errorf("%q each %d ms: %s, want %s", test.outcomes, test.every, got, test.want)
		}
	}
}

// opened returns a breaker that opened at time zero, and when it may be probed.
func opened(t *testing.T) (*Breaker, time.Time) {
	b := newBreaker(t)
	late, _ := b.Begin(at(0))
	for range 3 {
		call(t, b, at(0), 'f')
	}
	b.Succeed(at(0), late, at(0))
	var refusal *Error
	if _, err := b.Begin(at(0)); !errors.As(err, &refusal) || refusal.Kind != KindOpen {
		t.Fatalf("not open: %v", err)
	}
	if pause := refusal.RetryAt.Sub(at(0)); pause < 500*time.Millisecond || pause > time.Second {
		t.Fatalf("open for %v", pause)
	}
	return b, refusal.RetryAt
}

func TestProbes(t *testing.T) {
	b, again := opened(t)
	first, err := b.Begin(again)
	if err != nil {
		t.Fatal(err)
	}
	second, err := b.Begin(again)
	if err != nil {
		t.Fatal(err)
	}
	if b.Ready(again) {
		t.Error("a third probe would be admitted")
	}
	b.Cancel(first)
	if !b.Ready(again) {
		t.Error("a cancelled probe does not free its place")
	}
	b.Succeed(again, first, again)
	b.Succeed(again, second, again)
	if b.State() != "HalfOpen" {
		t.Errorf("%s after one success and one that was cancelled", b.State())
	}
	call(t, b, again, 'o')
	if b.State() != "Closed" {
		t.Errorf("%s after two successes", b.State())
	}
}

func TestProbeFails(t *testing.T) {
	b, again := opened(t)
	call(t, b, again, 'o')
	call(t, b, again, 'f')
	var refusal *Error
	if _, err := b.Begin(again); !errors.As(err, &refusal) || refusal.RetryAt.Sub(again) < time.Second {
		t.Errorf("the pause did not grow: %v", err)
	}
	for range 2 { // probes whose end is never told
		if _, err := b.Begin(refusal.RetryAt); err != nil {
			t.Fatal(err)
		}
	}
	if b.Ready(refusal.RetryAt) || !b.Ready(refusal.RetryAt.Add(time.Second)) {
		t.Error("lost probes don't free their places at their timeout")
	}
}

func TestLateOutcomes(t *testing.T) {
	b := newBreaker(t)
	var old [3]uint64
	for i := range old {
		old[i], _ = b.Begin(at(0))
	}
	for range 3 {
		call(t, b, at(0), 'f')
	}
	for range 2 {
		call(t, b, at(1000), 'o')
	}
	for _, ticket := range old {
		b.Fail(at(1001), ticket)
	}
	if b.State() != "Closed" {
		t.Error("failures of calls from before the opening opened it again")
	}
}

func TestRandomCalls(t *testing.T) {
	seed := int64(1)
	if text := os.Getenv("KCW_SEED"); text != "" {
		var err error
		if seed, err = strconv.ParseInt(text, 10, 64); err != nil {
			t.Fatal(err)
		}
	}
	p := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(seed))
	p.Property("no call while open, no more than the probes while half-open, and it always opens up again", prop.ForAll(
		func(seed int64) bool {
			rng := rand.New(rand.NewPCG(uint64(seed), 0))
			b := newBreaker(t)
			var probes []uint64
			var retryAt time.Time
			now := 0
			for range 300 {
				now += rng.IntN(300)
				ready := b.Ready(at(now))
				ticket, err := b.Begin(at(now))
				var refusal *Error
				errors.As(err, &refusal)
				switch {
				case ready != (err == nil):
					return false
				case refusal != nil && refusal.Kind == KindOpen:
					retryAt = refusal.RetryAt
					if retryAt.Sub(at(now)) > 4*time.Second {
						return false
					}
				case err == nil && at(now).Before(retryAt):
					return false
				}
				if b.State() != "HalfOpen" {
					probes = probes[:0]
				}
				if err == nil {
					probes = append(probes, ticket)
				}
				if len(probes) > 0 && rng.IntN(2) == 0 {
					switch last := probes[len(probes)-1]; rng.IntN(3) {
					case 0:
						b.Fail(at(now), last)
					case 1:
						b.Succeed(at(now), last, at(now))
					default:
						b.Cancel(last)
					}
					probes = probes[:len(probes)-1]
				}
				if b.State() == "HalfOpen" && len(b.probes) > 2 {
					return false
				}
			}
			return b.Ready(at(now).Add(time.Minute))
		}, gen.Int64()))
	p.TestingRun(t)
}
