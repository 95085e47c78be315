package kcwallowance_test

import (
	"testing"
	"time"
)

// TestServedAfterLossesOfPower guards against a fleet without tokens once all hosts
// have lost their power several times.
func TestServedAfterLossesOfPower(t *testing.T) {
	const (
		// prepaid is a tenth more than the routers are asked for in the time played.
		prepaid = 1_650_000
		// recovery is how long after an outage requests count again, and leastPart the
		// part of them that must be served.
		recovery  = 12 * time.Second
		leastPart = 0.25
	)
	outages := []struct{ at, off time.Duration }{
		{7 * time.Second, 2 * time.Second},
		{15 * time.Second, 5 * time.Second},
		{23 * time.Second, 5 * time.Second},
		{34 * time.Second, 800 * time.Millisecond},
	}
	for seed := range uint64(20) {
		m := newBudgetModel(t, seed)
		apply(t, m.table, put(2, prepaid))
		m.requests = 1
		start := m.now
		for _, outage := range outages {
			m.playUntil(start + outage.at)
			m.powerOff(outage.off)
		}
		last := outages[len(outages)-1]
		m.playUntil(start + last.at + last.off + recovery)
		m.asked, m.served = 0, 0
		m.playUntil(m.now + 5*time.Second)
		if m.spent > prepaid {
			t.Errorf("seed %d: %d of %d tokens are used", seed, m.spent, prepaid)
		}
		if part := float64(m.served) / float64(m.asked); part < leastPart {
			t.Errorf("seed %d: %d of %d requests are served after four losses of power, a quarter is the least; %d of %d tokens are used",
				seed, m.served, m.asked, m.spent, prepaid)
		}
	}
}
