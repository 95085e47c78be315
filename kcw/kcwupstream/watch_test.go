package kcwupstream

import (
	"testing"
	"time"
)

// TestWatchAfterSuspension checks that a wait that ended while the process was suspended
// still gives the reader the second part of the wait.
func TestWatchAfterSuspension(t *testing.T) {
	w := newWatchdog(func() { t.Error("expire was called by the timer") })
	const wait = time.Hour
	w.start(wait)
	for _, test := range []struct {
		name      string
		suspended time.Duration
		ended     bool
	}{
		{"still waiting", 0, false},
		{"suspended for longer than the whole wait", 2 * wait, false},
		{"second part not over", 0, false},
		{"second part over", wait, true},
		{"expires only once", wait, false},
	} {
		w.mu.Lock()
		w.dueAt, w.endsAt = w.dueAt.Add(-test.suspended), w.endsAt.Add(-test.suspended)
		w.mu.Unlock()
		if ended := w.ended(); ended != test.ended {
			t.Errorf("%s: got %v", test.name, ended)
		}
	}
	w.start(wait)
	w.stop()
	w.dueAt = time.Time{}
	if w.ended() {
		t.Error("ended returned true for a stopped wait")
	}
}
