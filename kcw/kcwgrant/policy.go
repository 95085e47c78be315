// Package kcwgrant computes how many tokens a router draws from a prepaid budget to
// spend on its own, and when it returns them. It does no I/O and reads no clock: each
// call takes the time as an argument.
package kcwgrant

import (
	"math"
	"time"
)

// Config configures a Policy.
type Config struct {
	// Endurance is how long a router should be able to serve its demand while it
	// can't draw more tokens. If zero, the router draws none.
	Endurance time.Duration
	// Divisor bounds what one router may hold: at most the available tokens divided
	// by Divisor. Values below one count as one.
	Divisor int64
	// IdleAfter is how long a grant is held without new demand.
	IdleAfter time.Duration
	// Memory is the time constant over which the demand is averaged; a minute if
	// zero.
	Memory time.Duration
}

// Policy computes draws and returns of tokens.
type Policy struct {
	cfg Config
}

// New returns a Policy for cfg.
func New(cfg Config) *Policy {
	cfg.Divisor = max(1, cfg.Divisor)
	if cfg.Memory <= 0 {
		cfg.Memory = time.Minute
	}
	return &Policy{cfg: cfg}
}

// Divisor returns the divisor to send with a draw.
func (p *Policy) Divisor() int64 { return p.cfg.Divisor }

// Demand is a router's demand for the tokens of one budget, averaged over time. It is
// idle once it had no request for Config.IdleAfter.
type Demand struct {
	// Rate is the average demand at the time At, in tokens per second.
	Rate float64
	// Peak is the size in tokens of the largest request since the demand was last
	// idle.
	Peak int64
	// At is the time of the last request, Since that of the first.
	At    time.Time
	Since time.Time
}

// Add returns d updated by a request for tokens at the time now. The rate is an
// exponentially weighted moving average over irregular intervals (Hunter, "The
// Exponentially Weighted Moving Average", Journal of Quality Technology 18, 1986).
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

// rate returns the rate of d decayed to the time now.
func (p *Policy) rate(d Demand, now time.Time) float64 {
	idle := max(0, now.Sub(d.At))
	return d.Rate * math.Exp(-idle.Seconds()/p.cfg.Memory.Seconds())
}

// Holding is a router's state of one budget.
type Holding struct {
	// Free is the number of granted tokens that are neither spent nor held by a claim.
	Free int64
	// Available is the last received number of the budget's tokens that are neither
	// billed, reserved nor granted.
	Available int64
	Demand    Demand
	// Recalled reports whether the ledger requests idle grants of the budget back.
	Recalled bool
}

// Target returns the number of free tokens that a router should hold at the time
// now. It is zero if the demand is idle, and if the router's share doesn't cover its
// largest request: a router that can't draw more couldn't serve that request with the
// share, so the tokens are left to other routers.
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

// Plan returns the number of tokens to draw at the time now, or to return if
// negative. The plan is zero while the free tokens are within a quarter of the target,
// so that steady demand doesn't move tokens at each call. If the grant is recalled, the
// plan instead returns all free tokens beyond half the target.
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

// needDeviations is the number of standard deviations by which Need exceeds the mean
// demand.
const needDeviations = 2

// minAge is the smallest age, as a fraction of Memory, that Mean assumes for a new
// demand. It limits how far Mean scales up the average.
const minAge = 0.2

// Mean returns the tokens that the demand d is expected to request within span from
// now, or zero if the demand is idle. Unlike Target, it scales up the average of a new
// demand, which starts from zero.
func (p *Policy) Mean(d Demand, span time.Duration, now time.Time) int64 {
	if d.At.IsZero() || now.Sub(d.At) >= p.cfg.IdleAfter {
		return 0
	}
	age := now.Sub(d.Since).Seconds() / p.cfg.Memory.Seconds()
	rate := p.rate(d, now) / (1 - math.Exp(-max(age, minAge)))
	return int64(rate * span.Seconds())
}

// Need returns a number of tokens that nearly always covers the demand d within span
// from now: the mean plus two standard deviations, on the assumption that requests of
// the peak size arrive as a Poisson process.
func (p *Policy) Need(d Demand, span time.Duration, now time.Time) int64 {
	mean := p.Mean(d, span, now)
	return mean + int64(needDeviations*math.Sqrt(float64(mean)*float64(d.Peak)))
}
