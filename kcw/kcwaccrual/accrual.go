// Package kcwaccrual computes how much of an allowance its holder may use while it
// receives nothing from the issuer: a limit at once, and the rest in proportion to the
// elapsed time. Holder and issuer compute the same amount. If a holder is lost, the
// issuer can therefore bound the use of the allowance, given the longest time for
// which the holder may have run. The bound grows with that time.
//
// The package does no I/O and reads no clock.
package kcwaccrual

import (
	"math/bits"
	"time"
)

// Accrual is the interval in which an allowance becomes usable. Both times are read
// from the same clock.
type Accrual struct {
	// Start is the time at which the allowance beyond the limit begins to become usable,
	// and End the time at which all of it is usable. If Start is not before End, all of
	// it becomes usable at once at End.
	Start, End time.Duration
}

// Usable returns how much of held may be used at the time at: limit up to Start, held
// from End on, and between them limit plus a part of the difference in proportion to
// the elapsed time, rounded down. It returns held if limit exceeds held. The result is
// non-decreasing in limit, held and at. Limit and held must not be negative.
func (a Accrual) Usable(limit, held int64, at time.Duration) int64 {
	switch {
	case held <= limit || at >= a.End:
		return held
	case at <= a.Start:
		return limit
	}
	hi, lo := bits.Mul64(uint64(held-limit), uint64(at-a.Start))
	// The quotient fits into 64 bits, because at is before End.
	part, _ := bits.Div64(hi, lo, uint64(a.End-a.Start))
	return limit + int64(part)
}
