package kcwallowance_test

import (
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwallowance"
	"kingcupwick.example/kcw/kcwpb"
)

// TestPartOfSpan checks how many tokens come back after outages of a part of the 10 s in
// which what a router holds becomes active: it held 60 with a limit of 20. Clocks are
// trusted within 300 ms.
func TestPartOfSpan(t *testing.T) {
	const span = 10 * time.Second
	for _, test := range []struct {
		name   string
		outage int64 // in milliseconds
		leader uint64
		want   int64
	}{
		{"a short one", 200, 2, 38},
		{"a fifth", 1700, 2, 32},
		{"a half", 4700, 2, 20},
		{"nearly all", 9600, 2, 1},
		{"all", 9700, 2, 0},
		{"a short one, same leader", 200, 1, 38},
		{"a half, same leader", 4700, 1, 20},
		{"all, same leader", 9700, 1, 0},
	} {
		table := kcwallowance.New()
		apply(t, table, put(1, 1000))
		before := moment{at: 10_000, leader: 1}
		for serial := range uint64(3) {
			command := reportAt("r", 1, serial+1, before)
			s := command.GetSyncAllowances()
			s.Activation, s.Span = s.Reported+int64(span), int64(span)
			apply(t, table, command)
		}
		table = restored(t, table)
		back := before.at + test.outage
		result := apply(t, table, reportAt("r", 2, 1, moment{at: back + 500, booted: back, leader: test.leader}))
		if got := result.GetRecovered() + result.GetProved(); got != test.want {
			t.Errorf("%s: %d tokens come back, want %d", test.name, got, test.want)
		}
	}
}

// TestRecordOnDisk checks how many tokens come back after an outage of 20 s, by what the
// disk of the router's host tells: it held 60 with a limit of 20, and the rest became
// active within 10 s of its last report, at an uptime of 10 s.
func TestRecordOnDisk(t *testing.T) {
	const span = 10 * time.Second
	for _, test := range []struct {
		name    string
		formers []*kcwpb.RouterRun
		leader  uint64
		want    int64
	}{
		{"no record", nil, 2, 0},
		{"never beyond its limit", []*kcwpb.RouterRun{{Incarnation: 1}}, 2, 40},
		{"never beyond its limit, same leader", []*kcwpb.RouterRun{{Incarnation: 1}}, 1, 40},
		{"for a silence before", []*kcwpb.RouterRun{{Incarnation: 1, Until: int64(9 * time.Second)}}, 2, 40},
		{"for half of the span", []*kcwpb.RouterRun{{Incarnation: 1, Until: int64(15 * time.Second)}}, 2, 20},
		{"for longer than the span", []*kcwpb.RouterRun{{Incarnation: 1, Until: int64(25 * time.Second)}}, 2, 0},
		{"of another process", []*kcwpb.RouterRun{{Incarnation: 3}}, 2, 0},
		{"of several processes", []*kcwpb.RouterRun{{Incarnation: 3}, {Incarnation: 1}, {Incarnation: 4}}, 2, 40},
	} {
		table := kcwallowance.New()
		apply(t, table, put(1, 1000))
		for serial := range uint64(3) {
			command := reportAt("r", 1, serial+1, moment{at: 10_000, leader: 1})
			s := command.GetSyncAllowances()
			s.Activation, s.Span = s.Reported+int64(span), int64(span)
			apply(t, table, command)
		}
		table = restored(t, table)
		command := reportAt("r", 5, 1, moment{at: 30_500, booted: 30_000, leader: test.leader})
		command.GetSyncAllowances().Formers = test.formers
		result := apply(t, table, command)
		if got := result.GetRecovered(); got != test.want {
			t.Errorf("%s: %d tokens come back, want %d", test.name, got, test.want)
		}
	}
}

// TestActiveAtLastReport checks that what was active when a router made its last report
// does not come back, although a late report and a clock that was set back tell that its
// successor started before that: it held 60 with a limit of 20, and half of the rest was
// active.
func TestActiveAtLastReport(t *testing.T) {
	table := kcwallowance.New()
	apply(t, table, put(1, 1000))
	before := moment{at: 10_000, leader: 1, late: 1000}
	for serial := range uint64(3) {
		command := reportAt("r", 1, serial+1, before)
		s := command.GetSyncAllowances()
		s.Activation, s.Span = s.Reported+int64(5*time.Second), int64(10*time.Second)
		apply(t, table, command)
	}
	result := apply(t, table, reportAt("r", 2, 1, moment{at: 10_700, booted: 10_200, leader: 1, routerStep: -5000}))
	if got := result.GetRecovered(); got > 20 {
		t.Errorf("%d tokens come back of 20 that were not active", got)
	}
}

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
