package kcwpermit

import (
	"math"
	"time"
)

const (
	// strictValidity is how long after its request a permit for a limit with a Most may be
	// used. It is the time to get the permit and to open a connection.
	strictValidity = 400 * time.Millisecond
	// transit is the difference between the longest and the shortest time from the sending of
	// a request to its arrival, as on a link that is nearly full.
	transit = 250 * time.Millisecond
	// strictCapacity is the least number of tokens that a bucket holds, so that requests at
	// random times find some.
	strictCapacity = 1.5
	// strictReserve is the number of requests, of a limit that allows several times as many,
	// which is left to routers that act as cut off from the core while the Issuer still gets their
	// reports: answers to reports may be slow or lost.
	strictReserve = 1
	// aloneChance is the probability that routers without answers from the core exceed a limit
	// in a second by chance. There are some 10^5 such seconds of cold upstreams in a year.
	// silentChance is that of exceeding the part that the Issuer holds back for them, which
	// matters only if all of the rest is used in that second.
	aloneChance  = 1e-8
	silentChance = 1e-6
)

// budget is the rate and the capacity of a bucket.
type budget struct{ rate, capacity float64 }

// newBudget returns the budget for a limit of perSecond requests per second and most in any
// second, if silent of all routers may send requests without permits. In a second arrive at
// most the requests whose permits were issued within it, or in the time before that a permit
// may be used later: capacity + rate*(1+spread).
func newBudget(perSecond, most float64, silent, routers int) budget {
	spread := (strictValidity + transit).Seconds()
	// The number of arrivals is whole.
	whole := math.Floor(most)
	free := math.Nextafter(whole+1, 0)
	if whole > 4*strictReserve {
		free -= strictReserve
	}
	if silent > 0 && routers > 0 {
		mean := strictAloneRate(perSecond, most) * float64(min(silent, routers)) / float64(routers)
		free -= float64(min(silent, quantile(mean, silentChance)))
	}
	if free < 1 {
		return budget{}
	}
	rate := min(perSecond, max(0, free-strictCapacity)/(1+spread))
	return budget{rate: rate, capacity: min(free-rate*(1+spread), 1+perSecond*burst.Seconds())}
}

// strictAloneRate returns the rate at which all routers together may send without answers from
// the core: they begin at random times, so that their number in a second has about a Poisson
// distribution.
func strictAloneRate(perSecond, most float64) float64 {
	low, high := 0.0, perSecond
	if tail(high, math.Floor(most)) <= aloneChance {
		return high
	}
	const steps = 30
	for range steps {
		if mid := (low + high) / 2; tail(mid, math.Floor(most)) <= aloneChance {
			low = mid
		} else {
			high = mid
		}
	}
	return low
}

// quantile returns the number that a Poisson distribution with the given mean exceeds with at
// most the given probability.
func quantile(mean, chance float64) int {
	n := 0
	for tail(mean, float64(n)) > chance {
		n++
	}
	return n
}

// tail returns the probability that a Poisson distribution with the given mean exceeds n, or a
// little more.
func tail(mean, n float64) float64 {
	if mean <= 0 {
		return 0
	}
	if mean >= n+1 {
		return 1
	}
	// The terms from n+1 on fall at least as fast as a geometric series.
	gamma, _ := math.Lgamma(n + 2)
	first := math.Exp(-mean + (n+1)*math.Log(mean) - gamma)
	return min(1, first/(1-mean/(n+2)))
}
