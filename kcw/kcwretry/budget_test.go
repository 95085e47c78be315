package kcwretry

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

func newBudget(t testing.TB, burst int) *Budget {
	t.Helper()
	b, err := New(Config{
		Ratio: 0.1, Burst: burst, InitialBackoff: 10 * time.Millisecond, MaxBackoff: 100 * time.Millisecond,
		Rand: rand.New(rand.NewPCG(1, 1)),
	})
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// drain withdraws retries until b denies one and returns the number granted.
func drain(b *Budget) int {
	granted := 0
	for b.TryWithdraw() {
		granted++
	}
	return granted
}

func TestRetry(t *testing.T) {
	for _, test := range []struct {
		name      string
		first     int
		attempted int
		granted   uint64
	}{
		{name: "empty at the start", first: 0, attempted: 1, granted: 0},
		{name: "nine first tries deposit less than one retry", first: 9, attempted: 1, granted: 0},
		{name: "ten first tries deposit one retry", first: 10, attempted: 2, granted: 1},
		{name: "balance limited by the burst", first: 1000, attempted: 50, granted: 5},
	} {
		b := newBudget(t, 5)
		for range test.first {
			b.Deposit()
		}
		for range test.attempted {
			b.TryWithdraw()
		}
		if _, retries, denied := b.Counts(); retries != test.granted || int(retries+denied) != test.attempted {
			t.Errorf("%s: %d granted, want %d", test.name, retries, test.granted)
		}
	}
}

func TestSetBurst(t *testing.T) {
	for _, test := range []struct {
		name           string
		before, after  int
		granted, first int
	}{
		{"lowered", 10, 3, 3, 1000},
		{"raised", 3, 10, 10, 1000},
		{"at least one", 3, 0, 1, 1000},
	} {
		b := newBudget(t, test.before)
		for range test.first {
			b.Deposit()
		}
		b.SetBurst(test.after)
		for range test.first {
			b.Deposit()
		}
		if granted := drain(b); granted != test.granted {
			t.Errorf("%s: %d retries granted, want %d", test.name, granted, test.granted)
		}
	}
}

func TestStart(t *testing.T) {
	for _, test := range []struct {
		name           string
		start, first   int
		granted, error int
	}{
		{"none", 0, 0, 0, 0},
		{"three", 3, 0, 3, 0},
		{"three and one deposited", 3, 10, 4, 0},
		{"limited by the burst", 5, 1000, 5, 0},
		{"above the burst", 6, 0, 0, 1},
		{"negative", -1, 0, 0, 1},
	} {
		b, err := New(Config{
			Ratio: 0.1, Burst: 5, InitialBalance: test.start, InitialBackoff: time.Millisecond, MaxBackoff: time.Millisecond,
			Rand: rand.New(rand.NewPCG(1, 1)),
		})
		if (err != nil) != (test.error > 0) {
			t.Errorf("%s: error %v", test.name, err)
		}
		if err != nil {
			continue
		}
		for range test.first {
			b.Deposit()
		}
		if granted := drain(b); granted != test.granted {
			t.Errorf("%s: %d granted, want %d", test.name, granted, test.granted)
		}
	}
}

func TestReservations(t *testing.T) {
	for _, test := range []struct {
		name string
		// calls are TryReserve (r), WithdrawReserved (w), Release (x) and TryWithdraw (t), and
		// want holds the result of each: y, n, or a dash for Release.
		calls, want string
	}{
		{"as many as there are retries", "rrr", "yyn"},
		{"reserved ones are withdrawn", "rrwwr", "yyyyn"},
		{"released", "rrxr", "yy-y"},
		{"a withdrawal takes a reserved one", "rrttww", "yyyynn"},
		{"one left to a reservation", "rrtwwt", "yyyynn"},
		{"none after withdrawals", "ttr", "yyn"},
	} {
		b := newBudget(t, 2)
		for range 20 {
			b.Deposit()
		}
		got := ""
		for _, call := range test.calls {
			isAllowed := false
			switch call {
			case 'r':
				isAllowed = b.TryReserve()
			case 'w':
				isAllowed = b.WithdrawReserved()
			case 't':
				isAllowed = b.TryWithdraw()
			case 'x':
				b.Release()
				got += "-"
				continue
			}
			if isAllowed {
				got += "y"
			} else {
				got += "n"
			}
		}
		if got != test.want {
			t.Errorf("%s: %s returned %s, want %s", test.name, test.calls, got, test.want)
		}
	}
}

func TestProperties(t *testing.T) {
	seed := int64(1)
	if text := os.Getenv("KCW_SEED"); text != "" {
		var err error
		if seed, err = strconv.ParseInt(text, 10, 64); err != nil {
			t.Fatal(err)
		}
	}
	p := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(seed))
	p.Property("retries are never more than a tenth of the first tries, at any time", prop.ForAll(
		func(calls []bool) bool {
			b := newBudget(t, 20)
			for _, retry := range calls {
				if retry {
					b.TryWithdraw()
				} else {
					b.Deposit()
				}
				if first, retries, _ := b.Counts(); 10*retries > first {
					return false
				}
			}
			return true
		}, gen.SliceOfN(2000, gen.Bool())))
	p.Property("a backoff lies within its bound", prop.ForAll(
		func(attempt int) bool {
			now := time.Unix(1_800_000_000, 0)
			backoff := newBudget(t, 1).BackoffUntil(now, attempt).Sub(now)
			bound := 100 * time.Millisecond
			if attempt < 4 {
				bound = 10 * time.Millisecond << max(attempt-1, 0)
			}
			return backoff >= 0 && backoff <= bound
		}, gen.IntRange(-1, 100)))
	p.TestingRun(t)
}
