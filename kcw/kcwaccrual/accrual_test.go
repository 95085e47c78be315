package kcwaccrual_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwaccrual"
)

func TestUsable(t *testing.T) {
	ramp := kcwaccrual.Accrual{Start: 10 * time.Second, End: 20 * time.Second}
	step := kcwaccrual.Accrual{Start: 20 * time.Second, End: 20 * time.Second}
	for _, test := range []struct {
		name        string
		accrual     kcwaccrual.Accrual
		limit, held int64
		at          time.Duration
		want        int64
	}{
		{"before the start", ramp, 100, 1100, 5 * time.Second, 100},
		{"at the start", ramp, 100, 1100, 10 * time.Second, 100},
		{"a tenth of the time", ramp, 100, 1100, 11 * time.Second, 200},
		{"rounded down", ramp, 0, 3, 15 * time.Second, 1},
		{"just before the end", ramp, 100, 1100, 20*time.Second - 1, 1099},
		{"at the end", ramp, 100, 1100, 20 * time.Second, 1100},
		{"long after", ramp, 100, 1100, time.Hour, 1100},
		{"less held than the limit", ramp, 100, 60, 5 * time.Second, 60},
		{"the largest numbers", ramp, 0, math.MaxInt64, 15 * time.Second, math.MaxInt64 / 2},
		{"at once, before the end", step, 100, 1100, 20*time.Second - 1, 100},
		{"at once, at the end", step, 100, 1100, 20 * time.Second, 1100},
	} {
		if got := test.accrual.Usable(test.limit, test.held, test.at); got != test.want {
			t.Errorf("%s: %d of %d are usable, want %d", test.name, got, test.held, test.want)
		}
	}
}

// TestMonotone checks that an issuer never computes less than the holder if its limit,
// allowance and time are at least those of the holder.
func TestMonotone(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for range 100_000 {
		a := kcwaccrual.Accrual{Start: time.Duration(random.Int64N(100))}
		a.End = a.Start + time.Duration(random.Int64N(100))
		limit, held, at := random.Int64N(1000), random.Int64N(1000), time.Duration(random.Int64N(250))
		usable := a.Usable(limit, held, at)
		bound := a.Usable(limit+random.Int64N(50), held+random.Int64N(50), at+time.Duration(random.Int64N(20)))
		if usable > bound || usable > held || usable < min(limit, held) {
			t.Fatalf("%v: %d usable of %d with limit %d at %v, while the issuer computes %d", a, usable, held, limit, at, bound)
		}
	}
}
