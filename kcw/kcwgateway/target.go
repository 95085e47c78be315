package kcwgateway

import (
	"maps"
	"slices"
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
	// replaceCalls holds the function of each registered call that replaces it.
	replaceCalls map[uint64]func()
}

// trackCall registers a call whose answer arrives in one piece, with the function
// that replaces it if it can while the upstream is silent. It may be called several times, and
// also after forget. The caller must call forget when the call has returned.
func (t *target) trackCall(id uint64, replace func()) (forget func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.replaceCalls[id] = replace
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.replaceCalls, id)
	}
}

// recordReport records that a load report arrived at now.
func (t *target) recordReport(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastReportAt = now
}

// replaceIfSilent replaces the registered calls, as far as that is possible, if the last load
// report is older than limit at now.
func (t *target) replaceIfSilent(now time.Time, limit time.Duration) {
	for _, replace := range t.callsIfSilent(now, limit) {
		replace()
	}
}

// callsIfSilent returns the functions of the registered calls if the last load report is older
// than limit at now.
func (t *target) callsIfSilent(now time.Time, limit time.Duration) []func() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.lastReportAt) <= limit {
		return nil
	}
	return slices.Collect(maps.Values(t.replaceCalls))
}
