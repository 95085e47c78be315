package kcwgateway

import (
	"sync"
	"time"

	"kingcupwick.example/kcw/kcwbreaker"
	"kingcupwick.example/kcw/kcwupstream"
)

// target is an upstream with its circuit breaker.
type target struct {
	upstream *kcwupstream.Upstream
	breaker  *kcwbreaker.Breaker

	// mu guards the fields below. No other lock is acquired while it is held.
	mu sync.Mutex
	// lastReportAt is the time of the last load report.
	lastReportAt time.Time
	// cancelCalls holds the cancel function of each registered call.
	cancelCalls map[uint64]func()
}

// trackCall registers a call whose answer arrives in one piece, with the function
// that cancels it if the upstream becomes silent. The caller must call forget when
// the call has returned.
func (t *target) trackCall(id uint64, cancel func()) (forget func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cancelCalls[id] = cancel
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.cancelCalls, id)
	}
}

// recordReport records that a load report arrived at now.
func (t *target) recordReport(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastReportAt = now
}

// cancelIfSilent cancels the registered calls if the last load report is older than
// limit at now.
func (t *target) cancelIfSilent(now time.Time, limit time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.lastReportAt) <= limit {
		return
	}
	for _, cancel := range t.cancelCalls {
		cancel()
	}
}
