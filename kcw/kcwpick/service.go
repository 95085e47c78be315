package kcwpick

import (
	"slices"
	"time"
)

// service is the upstreams of one service.
type service struct {
	all      []*upstream
	near     []*upstream // in the router's zone
	far      []*upstream
	freed    []*upstream // where own requests ended and none was started since
	inFlight int         // own requests in flight
	capacity int         // of all upstreams
	reported int         // upstreams with a report
	sum      float64     // utilizations reported, of these
}

// upstream is what is known of the load of one upstream.
type upstream struct {
	name     string
	service  *service
	hash     uint64
	near     bool
	load     Load
	inFlight int
	started  []time.Time // own starts since the report was made
	finished []time.Time // own ends since the report was made
}

func (s *service) add(u *upstream) {
	s.all = append(s.all, u)
	s.capacity += u.load.Capacity
	if u.near {
		s.near = append(s.near, u)
	} else {
		s.far = append(s.far, u)
	}
}

func (s *service) remove(u *upstream) {
	s.capacity -= u.load.Capacity
	s.inFlight -= u.inFlight
	same := func(other *upstream) bool { return other == u }
	s.all = slices.DeleteFunc(s.all, same)
	s.near = slices.DeleteFunc(s.near, same)
	s.far = slices.DeleteFunc(s.far, same)
	if !u.load.At.IsZero() {
		s.sum -= u.reported()
		s.reported--
	}
	s.freed = slices.DeleteFunc(s.freed, same)
}

// replace puts a newer report in the place of the last one.
func (s *service) replace(u *upstream, load Load) {
	if u.load.At.IsZero() {
		s.reported++
	} else {
		s.sum -= u.reported()
	}
	s.capacity += load.Capacity - u.load.Capacity
	u.load = load
	s.sum += u.reported()
	u.started = after(u.started, load.At)
	u.finished = after(u.finished, load.At)
}

// maxFreed bounds the slots remembered as freed.
const maxFreed = 64

// free remembers that an own request ended at u.
func (s *service) free(u *upstream) {
	if len(s.freed) == maxFreed {
		s.freed = slices.Delete(s.freed, 0, 1)
	}
	s.freed = append(s.freed, u)
}

// take forgets one slot freed at u, for a request that starts there.
func (s *service) take(u *upstream) {
	if i := slices.Index(s.freed, u); i >= 0 {
		s.freed = slices.Delete(s.freed, i, i+1)
	}
}

// mean returns the mean of the utilizations reported last.
func (s *service) mean() float64 {
	if s.reported == 0 {
		return 0
	}
	return max(s.sum, 0) / float64(s.reported)
}

// prior is the number of own requests in flight by which an upstream's own are
// drawn towards the mean, as few of them say little.
const prior = 2

// relative returns the own requests in flight at u over what its part of the
// service's capacity would have.
func (u *upstream) relative() float64 {
	even := float64(u.service.inFlight) * float64(u.load.Capacity) / float64(u.service.capacity)
	return (float64(u.inFlight) + prior) / (even + prior)
}

// reported returns the utilization in the newest report.
func (u *upstream) reported() float64 {
	return float64(u.load.Running+u.load.Waiting) / float64(u.load.Capacity)
}

// maxMarks bounds the starts and ends kept while no report comes.
const maxMarks = 4096

// trim drops the oldest starts and ends in pairs, which cancel each other, once
// there are too many.
func (u *upstream) trim() {
	if len(u.started) <= maxMarks {
		return
	}
	pairs := min(len(u.started), len(u.finished))
	u.started = slices.Delete(u.started, 0, pairs)
	u.finished = slices.Delete(u.finished, 0, pairs)
}

// after returns the times later than at, in the same slice.
func after(times []time.Time, at time.Time) []time.Time {
	return slices.DeleteFunc(times, func(t time.Time) bool { return !t.After(at) })
}

// homes returns the two usable upstreams of a prefix, of the largest weights by
// rendezvous hashing; nil stands for none.
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

// mix scatters the bits of x: the finalizer of SplitMix64 (Steele, Lea and Flood,
// Fast Splittable Pseudorandom Number Generators, 2014).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
