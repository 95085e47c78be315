package kcwrouter

import (
	"context"
	"errors"
	"time"
)

// aheadDivisor is the part of the interval between reports that passes at least before a report
// that no request waits for yet.
const aheadDivisor = 4

// awaitNext waits until the next report is due after the one that began at startedAt. It returns
// false once ctx has ended.
func (p *reporter) awaitNext(ctx context.Context, timer *time.Timer, startedAt time.Time) bool {
	ahead := p.ahead
	for {
		select {
		case <-timer.C:
			return true
		case <-p.wake:
			return true
		case <-ahead:
			if p.isPaused() {
				continue
			}
			ahead = nil
			timer.Reset(time.Until(startedAt.Add(p.settings.Core.Interval / aheadDivisor)))
		case <-ctx.Done():
			return false
		}
	}
}

// isPaused reports whether the pause between reports is longer than usual.
func (p *reporter) isPaused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.paused
}

// reportAhead starts the next report soon, since tokens will probably not last until it is due.
func (p *reporter) reportAhead() {
	select {
	case p.ahead <- struct{}{}:
	default:
	}
}

// requestReport starts a report at once for a request that lacks tokens, and waits until it or
// ctx ends. It returns whether the core answered. While the core is behind it starts none, since
// the reports of all such requests would keep it there. A report that fails while the router
// itself is late doesn't show that the core is behind, and is followed by another.
func (p *reporter) requestReport(ctx context.Context) bool {
	for !p.isPaused() && ctx.Err() == nil {
		if p.startReport(ctx) {
			return true
		}
		if !p.overload.IsLate(time.Now()) || p.isLost() {
			return false
		}
	}
	return false
}

// isLost reports whether the core counts as lost.
func (p *reporter) isLost() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.coreLost
}

// ownPart is the part of the time of a report for which this router must have been late for a
// timeout to be its own.
const ownPart = 4

// isOwnFailure reports whether a report that was sent at sentAt timed out because this router
// itself was late.
func (p *reporter) isOwnFailure(sentAt time.Time, err error) bool {
	now := time.Now()
	return errors.Is(err, context.DeadlineExceeded) && p.overload.LostTime(sentAt, now) > now.Sub(sentAt)/ownPart
}
