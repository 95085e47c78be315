// Package kcwgrant holds the policy of grants: how many tokens a router draws
// from a prepaid budget to spend by itself, and when it gives them back. It is
// pure: the clock comes with each call.
package kcwgrant

import (
	"math"
	"time"
)

// Config is the setting of a deployment.
type Config struct {
	// Endurance is how long a router should be able to serve its demand while it
	// is cut off. Zero draws nothing.
	Endurance time.Duration
	// Divisor is the fraction of the available tokens that one router may hold
	// at most, as its divisor. One if less.
	Divisor int64
	// IdleAfter is how long a grant without demand is kept.
	IdleAfter time.Duration
	// Memory is the time constant over which the demand is averaged; a minute if
	// zero.
	Memory time.Duration
}

// Policy decides on draws and returns.
type Policy struct {
	cfg Config
}

// New returns the policy of cfg.
func New(cfg Config) *Policy {
	cfg.Divisor = max(1, cfg.Divisor)
	if cfg.Memory <= 0 {
		cfg.Memory = time.Minute
	}
	return &Policy{cfg: cfg}
}

// Divisor returns the divisor that a draw is to carry.
func (p *Policy) Divisor() int64 { return p.cfg.Divisor }

// Demand is what a router asked of one budget, averaged over time.
type Demand struct {
	// Rate is in tokens a second as of At.
	Rate float64
	// Peak is the largest request of late in tokens.
	Peak int64
	At   time.Time
	// Since is when the demand began.
	Since time.Time
}

// Add returns d after a request for tokens at the time now. The rate is an
// exponentially weighted moving average (Hunter, The Exponentially Weighted
// Moving Average, Journal of Quality Technology 18, 1986) over irregular
// intervals.
func (p *Policy) Add(d Demand, tokens int64, now time.Time) Demand {
	d.Rate = p.rate(d, now) + float64(tokens)/p.cfg.Memory.Seconds()
	if now.Sub(d.At) > p.cfg.IdleAfter {
		d.Peak = 0
	}
	if d.Since.IsZero() {
		d.Since = now
	}
	d.Peak = max(d.Peak, tokens)
	d.At = now
	return d
}

// rate returns the rate of d at the time now.
func (p *Policy) rate(d Demand, now time.Time) float64 {
	idle := max(0, now.Sub(d.At))
	return d.Rate * math.Exp(-idle.Seconds()/p.cfg.Memory.Seconds())
}

// Holding is what a router knows of one budget.
type Holding struct {
	// Free is the granted tokens that are neither spent nor held by a claim.
	Free int64
	// Available is the budget's tokens that are neither billed, reserved nor
	// granted, as last heard.
	Available int64
	Demand    Demand
	// Recalled says that the ledger wants idle grants of the budget back.
	Recalled bool
}

// Target returns the free tokens that a router should hold at the time now. A
// share that does not cover one request is of no use to a router that is cut
// off, so that it is left to the others.
func (p *Policy) Target(h Holding, now time.Time) int64 {
	if p.cfg.Endurance <= 0 || h.Demand.At.IsZero() || now.Sub(h.Demand.At) >= p.cfg.IdleAfter {
		return 0
	}
	want := p.rate(h.Demand, now) * p.cfg.Endurance.Seconds()
	share := (max(0, h.Available) + h.Free) / p.cfg.Divisor
	if share < h.Demand.Peak {
		return 0
	}
	want = min(max(want, float64(h.Demand.Peak)), float64(share))
	return int64(want)
}

// Plan returns the tokens to draw, or to return if negative, at the time now.
// Hysteresis of a quarter keeps a steady demand from moving tokens each time.
func (p *Policy) Plan(h Holding, now time.Time) int64 {
	target := p.Target(h, now)
	if h.Recalled && h.Free > 0 {
		return -max(0, h.Free-target/2)
	}
	switch {
	case h.Free < target-target/4:
		return target - h.Free
	case h.Free > target+target/4:
		return target - h.Free
	}
	return 0
}

// spread is by how many standard deviations Need exceeds the mean demand.
const spread = 2

// leastAge is the age, as a fraction of the memory, below which the average of a
// young demand is not extrapolated further.
const leastAge = 0.2

// Mean returns the tokens that the demand d is expected to ask for within span
// from now. Unlike Target it makes up for the youth of the average.
func (p *Policy) Mean(d Demand, span time.Duration, now time.Time) int64 {
	if d.At.IsZero() || now.Sub(d.At) >= p.cfg.IdleAfter {
		return 0
	}
	age := now.Sub(d.Since).Seconds() / p.cfg.Memory.Seconds()
	rate := p.rate(d, now) / (1 - math.Exp(-max(age, leastAge)))
	return int64(rate * span.Seconds())
}

// Need returns the tokens that cover the demand d within span from now nearly
// always: its mean and two standard deviations, as if requests of the largest
// size came by a Poisson process.
func (p *Policy) Need(d Demand, span time.Duration, now time.Time) int64 {
	mean := p.Mean(d, span, now)
	return mean + int64(spread*math.Sqrt(float64(mean)*float64(d.Peak)))
}
