package kcwbook

import (
	"math"
	"math/bits"
	"time"
)

// increment returns how many nanoseconds of a limit of perMinute units take,
// math.MaxInt64/4 if that is more.
func increment(units, perMinute int64) int64 {
	const most = math.MaxInt64 / 4
	high, low := bits.Mul64(uint64(units), uint64(time.Minute))
	if high >= uint64(perMinute) {
		return most
	}
	nanos, _ := bits.Div64(high, low, uint64(perMinute))
	return int64(min(nanos, most))
}

// admit applies the generic cell rate algorithm (The ATM Forum, Traffic
// Management Specification Version 4.0, 1996, section 4.4.2, virtual
// scheduling) to units that arrive at the time at, in nanoseconds since the
// Unix epoch. Due is the theoretical arrival time so far. The tolerance lets
// the units of one minute come at once, and a single request of more units
// come when nothing is owed. It returns the theoretical arrival time after the
// units, and when they conform, which is at or before the time at if they do
// now. A limit of zero admits all.
func admit(due, at, units, perMinute int64) (next, conformsAt int64) {
	if perMinute <= 0 {
		return due, at
	}
	step := increment(units, perMinute)
	tolerance := max(0, int64(time.Minute)-step)
	return max(due, at) + step, due - tolerance
}

// refund returns the theoretical arrival time after units that were admitted
// are given back unused.
func refund(due, units, perMinute int64) int64 {
	if perMinute <= 0 || units <= 0 {
		return due
	}
	return max(0, due-increment(units, perMinute))
}
