package kcwallowance_test

import (
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwallowance"
	"kingcupwick.example/kcw/kcwpb"
)

// TestPartOfSpan checks how many tokens come back after an outage that is shorter than the
// activation span of 10 s. The router held 60 tokens with a limit of 20. Clocks may differ
// by 300 ms.
func TestPartOfSpan(t *testing.T) {
	const span = 10 * time.Second
	for _, test := range []struct {
		name   string
		outage int64 // in milliseconds
		leader uint64
		want   int64
	}{
		{"a short outage", 200, 2, 38},
		{"a fifth of the span", 1700, 2, 32},
		{"half of the span", 4700, 2, 20},
		{"nearly the whole span", 9600, 2, 1},
		{"the whole span", 9700, 2, 0},
		{"a short outage, same leader", 200, 1, 38},
		{"half of the span, same leader", 4700, 1, 20},
		{"the whole span, same leader", 9700, 1, 0},
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
		rebooted := before.at + test.outage
		result := apply(t, table, reportAt("r", 2, 1, moment{at: rebooted + 500, booted: rebooted, leader: test.leader}))
		if got := result.GetRecovered() + result.GetProved(); got != test.want {
			t.Errorf("%s: %d tokens came back, want %d", test.name, got, test.want)
		}
	}
}

// TestRecordOnDisk checks how many tokens come back after an outage of 20 s, depending on
// the records on the disk of the router's host. The router held 60 tokens with a limit of
// 20; the rest became active within 10 s after its last report, made at an uptime of 10 s.
func TestRecordOnDisk(t *testing.T) {
	const span = 10 * time.Second
	for _, test := range []struct {
		name    string
		formers []*kcwpb.RouterRun
		leader  uint64
		want    int64
	}{
		{"no record", nil, 2, 0},
		{"no use beyond the limit", []*kcwpb.RouterRun{{Incarnation: 1}}, 2, 40},
		{"no use beyond the limit, same leader", []*kcwpb.RouterRun{{Incarnation: 1}}, 1, 40},
		{"a time before the last report", []*kcwpb.RouterRun{{Incarnation: 1, Until: int64(9 * time.Second)}}, 2, 40},
		{"a time within the span", []*kcwpb.RouterRun{{Incarnation: 1, Until: int64(15 * time.Second)}}, 2, 20},
		{"a time after the span", []*kcwpb.RouterRun{{Incarnation: 1, Until: int64(25 * time.Second)}}, 2, 0},
		{"a record of another process", []*kcwpb.RouterRun{{Incarnation: 3}}, 2, 0},
		{"records of several processes", []*kcwpb.RouterRun{{Incarnation: 3}, {Incarnation: 1}, {Incarnation: 4}}, 2, 40},
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
			t.Errorf("%s: %d tokens came back, want %d", test.name, got, test.want)
		}
	}
}

// TestActiveAtLastReport checks that tokens that were active at a router's last report
// don't come back. A delayed report and a clock that was set back make the successor
// appear to have started before that report. The router held 60 tokens with a limit of
// 20, and half of the rest was active.
func TestActiveAtLastReport(t *testing.T) {
	table := kcwallowance.New()
	apply(t, table, put(1, 1000))
	before := moment{at: 10_000, leader: 1, delay: 1000}
	for serial := range uint64(3) {
		command := reportAt("r", 1, serial+1, before)
		s := command.GetSyncAllowances()
		s.Activation, s.Span = s.Reported+int64(5*time.Second), int64(10*time.Second)
		apply(t, table, command)
	}
	result := apply(t, table, reportAt("r", 2, 1, moment{at: 10_700, booted: 10_200, leader: 1, routerStep: -5000}))
	if got := result.GetRecovered(); got > 20 {
		t.Errorf("%d tokens came back, want at most the 20 that were not active", got)
	}
}

// TestServedAfterLossesOfPower guards against a fleet that runs out of tokens because
// all hosts lost power several times and the tokens that they held don't come back.
func TestServedAfterLossesOfPower(t *testing.T) {
	const (
		// prepaid is a tenth more than the tokens requested during the test.
		prepaid = 1_650_000
		// recovery is the time after the last outage from which requests count, and
		// minServed the fraction of these that must be served.
		recovery  = 12 * time.Second
		minServed = 0.25
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
			m.runUntil(start + outage.at)
			m.powerOffAll(outage.off)
		}
		last := outages[len(outages)-1]
		m.runUntil(start + last.at + last.off + recovery)
		m.requested, m.served = 0, 0
		m.runUntil(m.now + 5*time.Second)
		if m.spent > prepaid {
			t.Errorf("seed %d: %d of %d tokens are used", seed, m.spent, prepaid)
		}
		if fraction := float64(m.served) / float64(m.requested); fraction < minServed {
			t.Errorf("seed %d: %d of %d requests were served after four losses of power, want at least a quarter; %d of %d tokens are used",
				seed, m.served, m.requested, m.spent, prepaid)
		}
	}
}
