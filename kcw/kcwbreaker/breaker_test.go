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

// at returns the time ms milliseconds after a fixed time.
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

// call begins and ends a call at now with the given outcome: 'f' (failed), 'o' (ok) or
// 's' (slow).
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
		interval int // between the calls, in milliseconds
		want     string
	}{
		{outcomes: "ff", interval: 1, want: "Closed"},
		{outcomes: "fff", interval: 1, want: "Open"},
		{outcomes: "ffof", interval: 1, want: "Open"},
		{outcomes: "oofo", interval: 1, want: "Closed"},
		{outcomes: "oos", interval: 1, want: "Closed"},
		{outcomes: "ooss", interval: 1, want: "Open"},
		{outcomes: "ofofo", interval: 600, want: "Closed"},
	} {
		b := newBreaker(t)
		for i, outcome := range test.outcomes {
			call(t, b, at(i*test.interval), outcome)
		}
		if got := b.State(); got != test.want {
			t.Errorf("%q at an interval of %d ms: %s, want %s", test.outcomes, test.interval, got, test.want)
		}
	}
}

// opened returns a breaker that opened at time zero, and the time of the first probe.
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
	if backoff := refusal.RetryAt.Sub(at(0)); backoff < 500*time.Millisecond || backoff > time.Second {
		t.Fatalf("open for %v", backoff)
	}
	return b, refusal.RetryAt
}

func TestProbes(t *testing.T) {
	b, retryAt := opened(t)
	first, err := b.Begin(retryAt)
	if err != nil {
		t.Fatal(err)
	}
	second, err := b.Begin(retryAt)
	if err != nil {
		t.Fatal(err)
	}
	if b.Ready(retryAt) {
		t.Error("a third probe would be admitted")
	}
	b.Cancel(first)
	if !b.Ready(retryAt) {
		t.Error("a canceled probe still counts")
	}
	b.Succeed(retryAt, first, retryAt)
	b.Succeed(retryAt, second, retryAt)
	if b.State() != "HalfOpen" {
		t.Errorf("%s after one success and one canceled probe", b.State())
	}
	call(t, b, retryAt, 'o')
	if b.State() != "Closed" {
		t.Errorf("%s after two successes", b.State())
	}
}

func TestProbeFails(t *testing.T) {
	b, retryAt := opened(t)
	call(t, b, retryAt, 'o')
	call(t, b, retryAt, 'f')
	var refusal *Error
	if _, err := b.Begin(retryAt); !errors.As(err, &refusal) || refusal.RetryAt.Sub(retryAt) < time.Second {
		t.Errorf("the backoff did not grow: %v", err)
	}
	for range 2 { // probes whose end is not reported
		if _, err := b.Begin(refusal.RetryAt); err != nil {
			t.Fatal(err)
		}
	}
	if b.Ready(refusal.RetryAt) || !b.Ready(refusal.RetryAt.Add(time.Second)) {
		t.Error("probes whose end is not reported must count until their timeout and no longer")
	}
}

func TestLateOutcomes(t *testing.T) {
	b := newBreaker(t)
	var stale [3]uint64
	for i := range stale {
		stale[i], _ = b.Begin(at(0))
	}
	for range 3 {
		call(t, b, at(0), 'f')
	}
	for range 2 {
		call(t, b, at(1000), 'o')
	}
	for _, ticket := range stale {
		b.Fail(at(1001), ticket)
	}
	if b.State() != "Closed" {
		t.Error("failures of calls begun before the breaker opened have reopened it")
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
	p.Property("no calls while open, no more than Probes calls while half-open, and calls are always admitted again", prop.ForAll(
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
