package kcwcontrol

import (
	"testing"
	"time"

	"kingcupwick.example/kcw-fleet/kcwsetup"
)

// TestHandOverLeavesTimeToStop guards against a member that is killed before it has stopped,
// because it waits too long for the loss of its vote.
func TestHandOverLeavesTimeToStop(t *testing.T) {
	for _, test := range []struct{ catchUp, grace, want time.Duration }{
		{4 * time.Second, 8 * time.Second, time.Second},
		{40 * time.Second, 8 * time.Second, 2 * time.Second},
		{time.Hour, time.Second, time.Second / 4},
	} {
		settings := &kcwsetup.Control{
			Group: kcwsetup.Group{CatchUp: test.catchUp, Heartbeat: 100 * time.Millisecond},
			Stop:  kcwsetup.Stop{Grace: test.grace},
		}
		m := &Member{cfg: Config{Settings: settings}}
		if got := m.handOverTimeout(); got != test.want {
			t.Errorf("catch up %v, grace %v: waits %v, want %v", test.catchUp, test.grace, got, test.want)
		}
	}
}
