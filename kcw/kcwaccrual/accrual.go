// Package kcwaccrual holds how an allowance becomes usable while its source is silent:
// a limit at once, and the rest in proportion to the time. Its holder and its source
// compute the same, so that the source knows what a holder of which it knows how long
// it ran has used at most. It answers holders that are lost after a silence of any
// length: the longer they may have run, the more they may have used.
//
// The package is pure.
package kcwaccrual

import (
	"math/bits"
	"time"
)

// Accrual is the time in which an allowance becomes usable, by one clock.
type Accrual struct {
	// Start is when the rest of the allowance begins to become usable, and End when all
	// of it is. All becomes usable at once at End if Start is not before it.
	Start, End time.Duration
}

// Usable returns how much of held may be used by the time at: limit until Since, held
// from Full on, and a part of the difference in proportion to the time between them,
// rounded down. It returns held if limit exceeds it. It does not decrease as limit,
// held or at grow. Limit and held must not be negative.
func (a Accrual) Usable(limit, held int64, at time.Duration) int64 {
	switch {
	case held <= limit || at >= a.End:
		return held
	case at <= a.Start:
		return limit
	}
	hi, lo := bits.Mul64(uint64(held-limit), uint64(at-a.Start))
	// The quotient fits, since at is before Full.
	part, _ := bits.Div64(hi, lo, uint64(a.End-a.Start))
	return limit + int64(part)
}
