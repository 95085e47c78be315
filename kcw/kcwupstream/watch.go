package kcwupstream

import (
	"sync"
	"time"
)

// lastPart is the divisor that gives the last part of a wait, which is timed on
// its own: a process that was suspended finds its timer expired and has bytes
// left to read, for which a fourth of the wait is ample.
const lastPart = 4

// watch calls expire, without its lock, after a wait that was not stopped.
type watch struct {
	expire func()

	mu    sync.Mutex
	timer *time.Timer
	// dueAt is when the current part of the wait ends, endsAt when the last one was
	// to end. Last says that the current part is the last one.
	dueAt, endsAt time.Time
	last, stopped bool
}

func newWatch(expire func()) *watch {
	w := &watch{expire: expire, stopped: true}
	w.timer = time.AfterFunc(time.Hour, w.fire)
	w.timer.Stop()
	return w
}

// start begins a wait, in place of the one under way if there is any.
func (w *watch) start(wait time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped, w.last = false, false
	w.arm(wait - wait/lastPart)
	w.endsAt = w.dueAt.Add(wait / lastPart)
}

// arm sets the timer of a part of the wait. The lock is held.
func (w *watch) arm(part time.Duration) {
	w.dueAt = time.Now().Add(part)
	w.timer.Reset(part)
}

// stop ends the wait.
func (w *watch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

func (w *watch) fire() {
	if w.ended() {
		w.expire()
	}
}

// ended moves on to the last part of the wait, or returns true at its end.
func (w *watch) ended() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.stopped, time.Now().Before(w.dueAt):
		// The timer had fired before it was set again.
		return false
	case !w.last:
		w.last = true
		w.arm(w.endsAt.Sub(w.dueAt))
		return false
	default:
		w.stopped = true
		return true
	}
}
