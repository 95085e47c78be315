package kcwspeed

import (
	"math"
	"time"
)

const (
	// costHalfLife is the age at which the weight of a sample has halved in the slowness of an
	// upstream. An engine of a busy fleet gives some seven samples a second, so that its mean
	// holds some twenty and follows a change in 2 to 4 s.
	costHalfLife = 2 * time.Second
	// rateHalfLife is that age in the rate of answers.
	rateHalfLife = time.Second
	// kneeHalfLife is that age in the slowness by occupancy. It is longer because an upstream
	// that is kept below its knee gives no samples above it. After it, more is tried again.
	kneeHalfLife = 5 * time.Second
	// priorWeight is the number of samples of usual speed that every mean contains.
	priorWeight = 2
	// numBands is the number of bands of occupancy.
	numBands = 8
	// kneeRatio is the slowness relative to that at a lower occupancy from which on an upstream
	// is beyond its knee. Engines whose tokens take proportionally longer as more requests run
	// stay below it between neighboring occupancies.
	kneeRatio = 1.5
	// minKneeWeight is the number of samples in a band without which it shows no knee, and
	// kneeErrors the number of standard errors by which bands must differ.
	minKneeWeight = 5
	kneeErrors    = 3
	// Capacities are bounded, so that an upstream that is taken for slow still gets the requests
	// that show that it no longer is.
	minCapacity = 0.15
	maxCapacity = 1.5
	// costExponent is the power of the relative speed in the capacity. With equal occupancy an
	// upstream of half the speed already gets half of the work, since its requests stay twice as
	// long. The capacity lowers its occupancy by less than its speed, to shorten the first bytes
	// there while it still gets about half of the work.
	costExponent = 0.6
	// kneeMargin is the part of the occupancy at the knee that is aimed for.
	kneeMargin = 0.9
)

// mean is a mean whose samples lose weight with their age.
type mean struct {
	weight, sum, squares float64
	at                   time.Time
}

func (m *mean) add(value, weight float64, halfLife time.Duration, now time.Time) {
	factor := m.decay(halfLife, now)
	m.weight = m.weight*factor + weight
	m.sum = m.sum*factor + weight*value
	m.squares = m.squares*factor + weight*value*value
	if now.After(m.at) {
		m.at = now
	}
}

// decay returns the factor by which weights have fallen since the last sample.
func (m *mean) decay(halfLife time.Duration, now time.Time) float64 {
	if m.at.IsZero() {
		return 0
	}
	return math.Exp2(-max(0, now.Sub(m.at).Seconds()) / halfLife.Seconds())
}

// withPrior returns the mean of the samples and of priorWeight samples of 1.
func (m *mean) withPrior(halfLife time.Duration, now time.Time) float64 {
	factor := m.decay(halfLife, now)
	return (m.sum*factor + priorWeight) / (m.weight*factor + priorWeight)
}

// value returns the mean and the square of its standard error.
func (m *mean) value() (value, squaredError float64) {
	value = m.sum / m.weight
	return value, max(0, m.squares/m.weight-value*value) / m.weight
}

// samples are the samples of one upstream.
type samples struct {
	slowness, latency, rate mean
	// bands holds the slowness by occupancy.
	bands [numBands]mean
}

// add adds n answers with the given means, which were reported at now. N is zero if only the first
// byte of an answer is new. Latency is zero if it is
// not known. Occupancy is the part of the slots that were taken.
func (s *samples) add(slowness, latency, occupancy float64, n int, now time.Time) {
	weight := float64(min(max(n, 1), maxWeight))
	if n > 0 {
		s.slowness.add(slowness, weight, costHalfLife, now)
	}
	if latency > 0 {
		s.latency.add(latency, weight, costHalfLife, now)
	}
	s.rate.add(1, float64(min(n, maxFigure)), rateHalfLife, now)
	band := min(int(occupancy*numBands), numBands-1)
	s.bands[band].add(max(slowness, latency), weight, kneeHalfLife, now)
}

// cost returns how long work takes at the upstream relative to the usual. It is what the answers
// state or what first bytes show, whichever is more: a host can be slow without stating it.
func (s *samples) cost(now time.Time) float64 {
	return max(s.slowness.withPrior(costHalfLife, now), s.latency.withPrior(costHalfLife, now))
}

// perSecond returns the answers per second.
func (s *samples) perSecond(now time.Time) float64 {
	return s.rate.weight * s.rate.decay(rateHalfLife, now) * math.Ln2 / rateHalfLife.Seconds()
}

// knee returns the occupancy from which on the upstream slows down, zero if it is not known.
func (s *samples) knee(now time.Time) float64 {
	lowest, lowestError := 0.0, 0.0
	for i := range s.bands {
		b := &s.bands[i]
		if b.weight*b.decay(kneeHalfLife, now) < minKneeWeight {
			continue
		}
		value, squaredError := b.value()
		if lowest > 0 && value > kneeRatio*lowest && value-lowest > kneeErrors*math.Sqrt(squaredError+lowestError) {
			return float64(i) / numBands
		}
		if lowest == 0 || value < lowest {
			lowest, lowestError = value, squaredError
		}
	}
	return 0
}

// deriveCapacities sets the capacities of the upstreams of one service.
func deriveCapacities(entries []*entry, now time.Time) {
	speeds, known, load, slots := 0.0, 0, 0.0, 0.0
	for _, e := range entries {
		if !e.isKnown(now) {
			continue
		}
		known++
		speeds += 1 / e.samples.cost(now)
		load += float64(e.running + e.waiting)
		slots += float64(e.slots) * max(e.capacity, minCapacity)
	}
	for _, e := range entries {
		if !e.isKnown(now) {
			e.capacity = 1
			continue
		}
		relative := float64(known) / speeds / e.samples.cost(now)
		e.capacity = math.Pow(relative, costExponent)
		// All upstreams are loaded to the same part of their capacities. The one with a knee is
		// kept below it by a capacity that is as low relative to the load of the service.
		if knee := e.samples.knee(now); knee > 0 && load > 0 {
			e.capacity = min(e.capacity, kneeMargin*knee*slots/load)
		}
		e.capacity = min(max(e.capacity, minCapacity), maxCapacity)
	}
}
