package kcwgateway

import (
	"sync"
	"time"

	"kingcupwick.example/kcw/kcwbreaker"
	"kingcupwick.example/kcw/kcwupstream"
)

// target is one upstream with its breaker.
type target struct {
	upstream *kcwupstream.Upstream
	breaker  *kcwbreaker.Breaker

	// mu guards the fields below; no other lock is taken under it.
	mu sync.Mutex
	// answeredAt is when the last load report came.
	answeredAt time.Time
	// waiting holds what gives up the calls that wait for an answer.
	waiting map[uint64]func()
}

// await notes a call that waits for an answer in one piece, and what gives it up
// if the upstream falls silent. The caller calls forget once it waits no longer.
func (t *target) await(id uint64, giveUp func()) (forget func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting[id] = giveUp
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.waiting, id)
	}
}

// answered notes a load report at now.
func (t *target) answered(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answeredAt = now
}

// abandon gives up the calls that wait if the last load report is older than
// limit at now.
func (t *target) abandon(now time.Time, limit time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.answeredAt) <= limit {
		return
	}
	for _, giveUp := range t.waiting {
		giveUp()
	}
}
