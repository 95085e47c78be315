package kcwupstream

import (
	"sync"
	"time"
)

// A wait has two parts, and the timer of the second part is set only when the first has
// expired. When a suspended process resumes, its timer has expired although unread bytes
// may have arrived; the second part gives it time to read them. lastPartDivisor is the
// ratio of the whole wait to the second part. A fourth of the wait is ample for reading.
const lastPartDivisor = 4

// watchdog calls expire if a wait is not stopped before it ends. It does not hold its
// lock during the call.
type watchdog struct {
	expire func()

	mu    sync.Mutex
	timer *time.Timer
	// dueAt is when the current part of the wait ends, endsAt when the whole wait
	// should end. isLastPart is set during the second part.
	dueAt, endsAt       time.Time
	isLastPart, stopped bool
}

func newWatchdog(expire func()) *watchdog {
	w := &watchdog{expire: expire, stopped: true}
	w.timer = time.AfterFunc(time.Hour, w.fire)
	w.timer.Stop()
	return w
}

// start starts a wait. It replaces the current wait, if any.
func (w *watchdog) start(wait time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped, w.isLastPart = false, false
	w.arm(wait - wait/lastPartDivisor)
	w.endsAt = w.dueAt.Add(wait / lastPartDivisor)
}

// arm sets the timer for a part of the wait. The caller holds the lock.
func (w *watchdog) arm(part time.Duration) {
	w.dueAt = time.Now().Add(part)
	w.timer.Reset(part)
}

// stop stops the wait, so that expire is not called.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// fire is called by the timer.
func (w *watchdog) fire() {
	if w.ended() {
		w.expire()
	}
}

// ended starts the second part of the wait after the first, and returns true after the
// second.
func (w *watchdog) ended() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.stopped, time.Now().Before(w.dueAt):
		// The timer fired just before the wait was stopped or restarted.
		return false
	case !w.isLastPart:
		w.isLastPart = true
		w.arm(w.endsAt.Sub(w.dueAt))
		return false
	default:
		w.stopped = true
		return true
	}
}
