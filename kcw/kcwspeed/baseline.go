package kcwspeed

import (
	"math"
	"time"
)

const (
	// baselineHalfLife is the age at which the weight of a first byte in the baseline has halved.
	// A router that gets the median number of requests has some hundred within it.
	baselineHalfLife = 20 * time.Second
	// minBaseline is the number of first bytes below which the baseline is not known.
	minBaseline = 8
	// tokenScale scales prompt sizes to about one, which keeps the sums well conditioned.
	tokenScale = 1000
)

// baseline is a linear regression of the time to the first byte over the size of the prompt, over
// all upstreams of a service. The weight of a first byte falls with its age.
type baseline struct {
	at                    time.Time
	n, sumX, sumY, xx, xy float64
}

// add adds a first byte that came at now.
func (b *baseline) add(tokens int64, elapsed time.Duration, now time.Time) {
	if !b.at.IsZero() {
		factor := math.Exp2(-max(0, now.Sub(b.at).Seconds()) / baselineHalfLife.Seconds())
		b.n *= factor
		b.sumX *= factor
		b.sumY *= factor
		b.xx *= factor
		b.xy *= factor
	}
	b.at = now
	x, y := float64(tokens)/tokenScale, elapsed.Seconds()
	if expected, isKnown := b.expected(tokens); isKnown {
		// One late answer must not make the others look fast.
		y = min(y, maxLatency*expected.Seconds())
	}
	b.n++
	b.sumX += x
	b.sumY += y
	b.xx += x * x
	b.xy += x * y
}

// expected returns the time that the service's upstreams need on average for a prompt, and
// whether it is known.
func (b *baseline) expected(tokens int64) (time.Duration, bool) {
	if b.n < minBaseline || b.sumY <= 0 {
		return 0, false
	}
	x := float64(tokens) / tokenScale
	meanX, meanY := b.sumX/b.n, b.sumY/b.n
	variance := b.xx/b.n - meanX*meanX
	slope := 0.0
	const minVariance = 1e-6
	if variance > minVariance {
		slope = (b.xy/b.n - meanX*meanY) / variance
	}
	if meanX > 0 {
		// Neither the time of an empty prompt nor that of a further token is negative.
		slope = min(max(slope, 0), meanY/meanX)
	}
	// Prompts that are much shorter than the mean must not be expected at once.
	const minFraction = 0.1
	return time.Duration(max(meanY+slope*(x-meanX), minFraction*meanY) * float64(time.Second)), true
}
