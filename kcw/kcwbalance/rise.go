package kcwbalance

import "time"

// A router whose demand rises, as when a load balancer moves callers to it, has tokens for its
// former demand. The demand is therefore also averaged over a shorter time.
const (
	// recentMemory is the time over which the recent demand is averaged, some reports long.
	recentMemory = time.Second
	// shortSpan is the time for which the usable tokens should last: the longest pause between
	// two reports, and the answer to the second.
	shortSpan = 500 * time.Millisecond
	// shortRequests is the least number of requests of the largest size expected within
	// shortSpan for demand to have risen, rather than to vary by chance.
	shortRequests = 2
	// slowFactor is the ratio of the time between two reports to minActive from which reports
	// are slow. The tokens for twice that time are then active, since the next report may be
	// slower still.
	slowFactor = 2
)

// expected returns the tokens that the team is expected to request within span.
func (b *Balance) expected(a *account, span time.Duration, now time.Time) int64 {
	return max(b.policy.Mean(a.demand, span, now), b.recent.Mean(a.recent, span, now))
}

// cover returns the time until the answer to the next report, for which active tokens should
// last: minActive, or longer if reports are slow.
func (b *Balance) cover() time.Duration {
	if b.period <= slowFactor*minActive {
		return minActive
	}
	return min(slowFactor*b.period, b.cfg.Active)
}

// checkShort calls Config.OnShort if the usable tokens won't last.
func (b *Balance) checkShort(a *account, now time.Time) {
	if b.cfg.OnShort == nil || b.wasShort || a.asOf.IsZero() {
		return
	}
	expected := b.recent.Mean(a.recent, shortSpan, now)
	usable := a.usable(b.accrual(), b.accrualUptime())
	isRising := expected >= shortRequests*a.recent.Peak && expected > b.policy.Mean(a.demand, shortSpan, now)
	if isRising && usable < expected && a.available+a.free() > usable {
		b.wasShort = true
		b.cfg.OnShort()
	}
}
