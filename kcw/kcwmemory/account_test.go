package kcwmemory_test

import (
	"errors"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/iotest"

	"kingcupwick.example/kcw/kcwmemory"
)

func TestReadAll(t *testing.T) {
	broken := errors.New("broken")
	for _, test := range []struct {
		name        string
		account     int64
		body        int
		size, limit int64
		fails       error
		kind        kcwmemory.Kind
	}{
		{name: "announced", account: 1 << 20, body: 5000, size: 5000, limit: 1 << 16},
		{name: "not announced", account: 1 << 20, body: 5000, size: -1, limit: 1 << 16},
		{name: "empty", account: 1 << 20, body: 0, size: 0, limit: 1 << 16},
		{name: "as large as the limit", account: 1 << 20, body: 1 << 16, size: -1, limit: 1 << 16},
		{name: "one byte above the limit", account: 1 << 20, body: 1<<16 + 1, size: -1, limit: 1 << 16, kind: kcwmemory.TooLarge},
		{name: "announced size above the limit", account: 1 << 20, body: 10, size: 1 << 17, limit: 1 << 16, kind: kcwmemory.TooLarge},
		{name: "above the limit of the account", account: 1 << 14, body: 1 << 15, size: -1, limit: 1 << 16, kind: kcwmemory.Full},
		{name: "read error", account: 1 << 20, body: 5000, size: -1, limit: 1 << 16, fails: broken},
	} {
		a := kcwmemory.New(test.account)
		var r io.Reader = strings.NewReader(strings.Repeat("x", test.body))
		if test.fails != nil {
			r = io.MultiReader(r, iotest.ErrReader(test.fails))
		}
		data, acquired, err := a.ReadAll(r, test.size, test.limit)
		var failure *kcwmemory.Error
		switch {
		case test.fails != nil && !errors.Is(err, test.fails):
			t.Errorf("%s: error %v", test.name, err)
		case test.kind != 0 && (!errors.As(err, &failure) || failure.Kind != test.kind):
			t.Errorf("%s: error %v", test.name, err)
		case test.kind == 0 && test.fails == nil && (err != nil || len(data) != test.body):
			t.Errorf("%s: %d bytes, error %v", test.name, len(data), err)
		}
		if acquired != a.Held() || int64(cap(data)) > acquired {
			t.Errorf("%s: %d bytes acquired, %d held, for a buffer of %d", test.name, acquired, a.Held(), cap(data))
		}
		a.Release(acquired)
		if a.Held() != 0 {
			t.Errorf("%s: %d bytes are held after Release", test.name, a.Held())
		}
	}
}

// TestTogether checks that the account bounds the total size of many small bodies.
func TestTogether(t *testing.T) {
	const limit = 1 << 16
	a := kcwmemory.New(limit)
	random := rand.New(rand.NewPCG(1, 1))
	failed := 0
	for range 100 {
		_, _, err := a.ReadAll(strings.NewReader(strings.Repeat("x", random.IntN(1<<14))), -1, 1<<14)
		if err != nil {
			failed++
		}
		if a.Held() > limit {
			t.Fatalf("%d bytes are held", a.Held())
		}
	}
	if failed == 0 {
		t.Error("no read exceeded the limit")
	}
}
