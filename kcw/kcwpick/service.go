package kcwpick

import (
	"slices"
	"time"
)

// service holds the upstreams of one service and their totals.
type service struct {
	all            []*upstream
	sameZone       []*upstream // in the router's zone
	otherZones     []*upstream
	recentlyFreed  []*upstream // where own requests ended and none was started since
	inFlight       int         // own requests in flight
	capacity       int         // of all upstreams
	reportCount    int         // number of upstreams with a report
	utilizationSum float64     // sum of the reported utilizations
}

// upstream holds the load of one upstream, as reported and as caused by this router.
type upstream struct {
	name     string
	service  *service
	hash     uint64
	sameZone bool // in the router's zone
	load     Load
	inFlight int
	started  []time.Time // starts of own requests since the report was made
	finished []time.Time // ends of own requests since the report was made
}

// add adds u to the service and its totals.
func (s *service) add(u *upstream) {
	s.all = append(s.all, u)
	s.capacity += u.load.Capacity
	if u.sameZone {
		s.sameZone = append(s.sameZone, u)
	} else {
		s.otherZones = append(s.otherZones, u)
	}
}

// remove removes u from the service and its totals.
func (s *service) remove(u *upstream) {
	s.capacity -= u.load.Capacity
	s.inFlight -= u.inFlight
	same := func(other *upstream) bool { return other == u }
	s.all = slices.DeleteFunc(s.all, same)
	s.sameZone = slices.DeleteFunc(s.sameZone, same)
	s.otherZones = slices.DeleteFunc(s.otherZones, same)
	if !u.load.At.IsZero() {
		s.utilizationSum -= u.reportedUtilization()
		s.reportCount--
	}
	s.recentlyFreed = slices.DeleteFunc(s.recentlyFreed, same)
}

// setLoad replaces the load report of u with a newer one.
func (s *service) setLoad(u *upstream, load Load) {
	if u.load.At.IsZero() {
		s.reportCount++
	} else {
		s.utilizationSum -= u.reportedUtilization()
	}
	s.capacity += load.Capacity - u.load.Capacity
	u.load = load
	s.utilizationSum += u.reportedUtilization()
	u.started = after(u.started, load.At)
	u.finished = after(u.finished, load.At)
}

// maxFreed is the largest number of entries in recentlyFreed.
const maxFreed = 64

// addFreed records that an own request ended at u.
func (s *service) addFreed(u *upstream) {
	if len(s.recentlyFreed) == maxFreed {
		s.recentlyFreed = slices.Delete(s.recentlyFreed, 0, 1)
	}
	s.recentlyFreed = append(s.recentlyFreed, u)
}

// removeFreed removes one record of a request that ended at u, because a new request
// starts there.
func (s *service) removeFreed(u *upstream) {
	if i := slices.Index(s.recentlyFreed, u); i >= 0 {
		s.recentlyFreed = slices.Delete(s.recentlyFreed, i, i+1)
	}
}

// meanUtilization returns the mean of the reported utilizations, or 0 without reports.
func (s *service) meanUtilization() float64 {
	if s.reportCount == 0 {
		return 0
	}
	return max(s.utilizationSum, 0) / float64(s.reportCount)
}

// priorInFlight is the number of assumed requests that are added to the actual and to the
// proportional number in relativeInFlight. It pulls the ratio towards 1 when there are
// only few requests, whose number is not significant.
const priorInFlight = 2

// relativeInFlight returns the ratio of the own requests in flight at u to the number
// that would be proportional to its capacity.
func (u *upstream) relativeInFlight() float64 {
	proportional := float64(u.service.inFlight) * float64(u.load.Capacity) / float64(u.service.capacity)
	return (float64(u.inFlight) + priorInFlight) / (proportional + priorInFlight)
}

// reportedUtilization returns the utilization in the stored report.
func (u *upstream) reportedUtilization() float64 {
	return float64(u.load.Running+u.load.Waiting) / float64(u.load.Capacity)
}

// maxEvents is the number of starts since the last report above which trim removes pairs of
// a start and an end.
const maxEvents = 4096

// trim removes the oldest starts and ends in pairs if there are more than maxEvents
// starts. A pair has no effect on the utilization estimated from the stored report.
func (u *upstream) trim() {
	if len(u.started) <= maxEvents {
		return
	}
	pairs := min(len(u.started), len(u.finished))
	u.started = slices.Delete(u.started, 0, pairs)
	u.finished = slices.Delete(u.finished, 0, pairs)
}

// after removes the times that are not later than at, in place, and returns the rest.
func after(times []time.Time, at time.Time) []time.Time {
	return slices.DeleteFunc(times, func(t time.Time) bool { return !t.After(at) })
}

// homes returns the usable upstreams with the two largest weights for a prefix by
// rendezvous hashing, in order of weight. A missing one is nil.
func (s *service) homes(prefix uint64, usable func(string) bool) [2]*upstream {
	var homes [2]*upstream
	var weights [2]uint64
	for _, u := range s.all {
		w := mix(prefix ^ u.hash)
		switch {
		case w <= weights[1] || !usable(u.name):
		case w > weights[0]:
			homes[0], homes[1] = u, homes[0]
			weights[0], weights[1] = w, weights[0]
		default:
			homes[1], weights[1] = u, w
		}
	}
	return homes
}

// mix scatters the bits of x with the finalizer of SplitMix64 (Steele, Lea and Flood,
// Fast Splittable Pseudorandom Number Generators, 2014).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
