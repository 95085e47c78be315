package kcwaccrual_test

import (
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwaccrual"
)

func BenchmarkUsable(b *testing.B) {
	a := kcwaccrual.Accrual{Start: time.Hour, End: time.Hour + 10*time.Second}
	for i := range b.N {
		a.Usable(1000, 1_000_000, time.Hour+time.Duration(i%10)*time.Second)
	}
}
