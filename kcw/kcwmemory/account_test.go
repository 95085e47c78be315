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
		{name: "as large as may be", account: 1 << 20, body: 1 << 16, size: -1, limit: 1 << 16},
		{name: "one byte larger", account: 1 << 20, body: 1<<16 + 1, size: -1, limit: 1 << 16, kind: kcwmemory.TooLarge},
		{name: "announced as too large", account: 1 << 20, body: 10, size: 1 << 17, limit: 1 << 16, kind: kcwmemory.TooLarge},
		{name: "more than all may hold", account: 1 << 14, body: 1 << 15, size: -1, limit: 1 << 16, kind: kcwmemory.Full},
		{name: "breaks off", account: 1 << 20, body: 5000, size: -1, limit: 1 << 16, fails: broken},
	} {
		a := kcwmemory.New(test.account)
		var r io.Reader = strings.NewReader(strings.Repeat("x", test.body))
		if test.fails != nil {
			r = io.MultiReader(r, iotest.ErrReader(test.fails))
		}
		data, taken, err := a.ReadAll(r, test.size, test.limit)
		var failure *kcwmemory.Error
		switch {
		case test.fails != nil && !errors.Is(err, test.fails):
			t.Errorf("%s: error %v", test.name, err)
		case test.kind != 0 && (!errors.As(err, &failure) || failure.Kind != test.kind):
			t.Errorf("%s: error %v", test.name, err)
		case test.kind == 0 && test.fails == nil && (err != nil || len(data) != test.body):
			t.Errorf("%s: %d bytes, error %v", test.name, len(data), err)
		}
		if taken != a.Held() || int64(cap(data)) > taken {
			t.Errorf("%s: %d bytes taken, %d held, for a buffer of %d", test.name, taken, a.Held(), cap(data))
		}
		a.Release(taken)
		if a.Held() != 0 {
			t.Errorf("%s: %d bytes are left", test.name, a.Held())
		}
	}
}

// TestTogether checks that bodies that are small each are bounded together.
func TestTogether(t *testing.T) {
	const limit = 1 << 16
	a := kcwmemory.New(limit)
	random := rand.New(rand.NewPCG(1, 1))
	full := 0
	for range 100 {
		_, _, err := a.ReadAll(strings.NewReader(strings.Repeat("x", random.IntN(1<<14))), -1, 1<<14)
		if err != nil {
			full++
		}
		if a.Held() > limit {
			t.Fatalf("%d bytes are held", a.Held())
		}
	}
	if full == 0 {
		t.Error("nothing was refused")
	}
}
