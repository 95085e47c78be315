package kcwlimit

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

	"kingcupwick.example/kcw/kcwpb"
)

// at returns the time ms milliseconds after a fixed time.
func at(ms int) time.Time {
	return time.Unix(1_800_000_000, 0).Add(time.Duration(ms) * time.Millisecond)
}

func newLimiter(t testing.TB, routers, rank int) *Limiter {
	t.Helper()
	l, err := New(Config{Routers: routers, Rank: rank, Burst: 0.5})
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func kind(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}

func TestOpen(t *testing.T) {
	for _, test := range []struct {
		name   string
		limits *kcwpb.Limits
		tokens []int64 // of simultaneous requests
		last   Kind    // error of the last request
	}{
		{name: "no limits", limits: nil, tokens: []int64{1, 1000}},
		{name: "open requests", limits: &kcwpb.Limits{OpenRequests: 2}, tokens: []int64{1, 1, 1}, last: KindOpenRequests},
		{name: "requests", limits: &kcwpb.Limits{RequestsPerMinute: 4}, tokens: []int64{1, 1, 1}, last: KindRequests},
		{name: "tokens", limits: &kcwpb.Limits{TokensPerMinute: 100}, tokens: []int64{30, 30}, last: KindTokens},
		{name: "one large request", limits: &kcwpb.Limits{TokensPerMinute: 100}, tokens: []int64{90}},
		{name: "more than a minute's share", limits: &kcwpb.Limits{TokensPerMinute: 100}, tokens: []int64{101}, last: KindTokens},
	} {
		l := newLimiter(t, 1, 0)
		var err error
		for _, tokens := range test.tokens {
			err = l.Open(at(0), "c", test.limits, tokens)
		}
		if kind(err) != test.last {
			t.Errorf("%s: %v", test.name, err)
		}
		var refusal *Error
		if !errors.As(err, &refusal) || refusal.RetryAt.IsZero() {
			continue
		}
		last := test.tokens[len(test.tokens)-1]
		if kind(l.Open(refusal.RetryAt.Add(-1), "c", test.limits, last)) != test.last {
			t.Errorf("%s: admitted before RetryAt", test.name)
		}
		if err := l.Open(refusal.RetryAt, "c", test.limits, last); err != nil {
			t.Errorf("%s: refused at RetryAt: %v", test.name, err)
		}
	}
}

func TestCloseAndPrune(t *testing.T) {
	l := newLimiter(t, 1, 0)
	limits := &kcwpb.Limits{OpenRequests: 1, RequestsPerMinute: 10}
	if err := l.Open(at(0), "c", limits, 1); err != nil {
		t.Fatal(err)
	}
	l.Prune(at(600_000))
	if kind(l.Open(at(600_000), "c", limits, 1)) != KindOpenRequests {
		t.Error("Prune deleted a customer with an open request")
	}
	l.Close("c")
	l.Prune(at(1_200_000))
	if len(l.usage) != 0 {
		t.Error("Prune kept unused usage")
	}
	defer func() {
		if recover() == nil {
			t.Error("Close without Open did not panic")
		}
	}()
	l.Close("c")
}

// TestMinute sends random requests to all routers and checks that the limits hold in
// each minute.
func TestMinute(t *testing.T) {
	seed := int64(1)
	if text := os.Getenv("KCW_SEED"); text != "" {
		var err error
		if seed, err = strconv.ParseInt(text, 10, 64); err != nil {
			t.Fatal(err)
		}
	}
	p := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(seed))
	p.Property("all routers together keep the limits in each minute", prop.ForAll(
		func(seed int64, routers int) bool {
			rng := rand.New(rand.NewPCG(uint64(seed), 0))
			var limiters []*Limiter
			for rank := range routers {
				limiters = append(limiters, newLimiter(t, routers, rank))
			}
			limits := &kcwpb.Limits{
				OpenRequests: 1 + rng.Int64N(20), RequestsPerMinute: 1 + rng.Int64N(100), TokensPerMinute: 200 + rng.Int64N(10000),
			}
			// No request exceeds any router's burst, so that the limits hold exactly.
			largest := max(limits.TokensPerMinute/int64(routers)/2, 1)
			type admitted struct {
				at     int
				tokens int64
			}
			var log []admitted
			open := make([]int, routers)
			total := 0
			for now := 0; now < 200_000; now += rng.IntN(400) {
				r := rng.IntN(routers)
				if open[r] > 0 && rng.IntN(2) == 0 {
					limiters[r].Close("c")
					open[r]--
					total--
				}
				tokens := 1 + rng.Int64N(largest)
				if limiters[r].Open(at(now), "c", limits, tokens) == nil {
					open[r]++
					total++
					log = append(log, admitted{at: now, tokens: tokens})
				}
				if int64(total) > limits.OpenRequests {
					return false
				}
			}
			for i := range log {
				requests, tokens := int64(0), int64(0)
				for _, a := range log[i:] {
					if a.at >= log[i].at+60_000 {
						break
					}
					requests++
					tokens += a.tokens
				}
				if requests > limits.RequestsPerMinute || tokens > limits.TokensPerMinute {
					return false
				}
			}
			return true
		}, gen.Int64(), gen.IntRange(1, 12)))
	p.TestingRun(t)
}
