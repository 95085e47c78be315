package kcwbook

import (
	"math"
	"math/bits"
	"time"
)

// increment returns the time in nanoseconds in which a limit of perMinute admits
// the units, at most math.MaxInt64/4.
func increment(units, perMinute int64) int64 {
	const maxIncrement = math.MaxInt64 / 4
	high, low := bits.Mul64(uint64(units), uint64(time.Minute))
	if high >= uint64(perMinute) {
		return maxIncrement
	}
	nanos, _ := bits.Div64(high, low, uint64(perMinute))
	return int64(min(nanos, maxIncrement))
}

// admit applies the generic cell rate algorithm (The ATM Forum, Traffic
// Management Specification Version 4.0, 1996, section 4.4.2, virtual
// scheduling) to units that arrive at the time at, in nanoseconds since the
// Unix epoch. Due is the theoretical arrival time before the units. The tolerance
// admits the units of up to one minute at once, and a single request of more units
// once due has passed. It returns the theoretical arrival time after the units,
// and the time from which they conform, which is not after at if they conform now.
// A limit of zero admits everything.
func admit(due, at, units, perMinute int64) (next, conformsAt int64) {
	if perMinute <= 0 {
		return due, at
	}
	step := increment(units, perMinute)
	tolerance := max(0, int64(time.Minute)-step)
	return max(due, at) + step, due - tolerance
}

// refund returns the theoretical arrival time after admitted units are returned
// unused.
func refund(due, units, perMinute int64) int64 {
	if perMinute <= 0 || units <= 0 {
		return due
	}
	return max(0, due-increment(units, perMinute))
}
