package kcwupstream

import (
	"testing"
	"time"
)

// TestWatchAfterSuspension checks that a wait that ended while the process was
// suspended gives the reader its last part again.
func TestWatchAfterSuspension(t *testing.T) {
	w := newWatch(func() { t.Error("expired by itself") })
	const wait = time.Hour
	w.start(wait)
	for _, test := range []struct {
		name      string
		suspended time.Duration
		ended     bool
	}{
		{"still waiting", 0, false},
		{"suspended beyond the whole wait", 2 * wait, false},
		{"nothing read since", 0, false},
		{"the last part over as well", wait, true},
		{"told once", wait, false},
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
		t.Error("a wait that was stopped ended")
	}
}
