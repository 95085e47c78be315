package kcwforward

import (
	"testing"

	"kingcupwick.example/kcw/kcwroute"
)

// A hedge that still replays ends no write of the attempt that has answered first.
func TestReplayOfHedgeEndsNoWrite(t *testing.T) {
	c := &call{f: &Forwarder{}, route: &kcwroute.Route{Resumable: true}}
	c.f.cfg.OnHedge = func(Hedge) {}
	first, hedge := &attempt{call: c, cancel: func() {}}, &attempt{call: c, cancel: func() {}}
	c.open = []*attempt{first, hedge}
	const event1, event2 = "id: 1\n\n", "id: 2\n\n"
	if _, isReplaced, err := first.takeEvents([]byte(event1)); isReplaced || err != nil {
		t.Fatal(isReplaced, err)
	}
	first.endWrite()
	hedge.isReplaced, hedge.resumed = false, &resumption{progress: &c.stream}
	if taken, isReplaced, err := hedge.takeEvents([]byte(event1)); len(taken) > 0 || isReplaced || err != nil {
		t.Fatal(taken, isReplaced, err)
	}
	if taken, _, err := first.takeEvents([]byte(event2)); len(taken) == 0 || err != nil {
		t.Fatal(taken, err)
	}
	hedge.endWrite()
	if c.writer != first {
		t.Error("another hedge may begin while the first attempt writes to the caller")
	}
}
