package kcwallowance_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwallowance"
	"kingcupwick.example/kcw/kcwpb"
)

// moment describes the circumstances of a report. Times are in milliseconds.
type moment struct {
	// at is the true time of the report, booted that of the start of the router's process.
	// routerStep and leaderStep are the errors of the router's and the leader's time of
	// day.
	at, booted, routerStep, leaderStep int64
	leader                             uint64
	stepped, sameBoot                  bool
	// delay is the time that the report is in transit.
	delay int64
	// uptime is the host's uptime at the start of the process, zero if it has just booted.
	uptime int64
}

func reportAt(router string, incarnation, serial uint64, m moment) *kcwpb.FleetCommand {
	const ms = int64(time.Millisecond)
	const epoch = int64(1_700_000_000_000)
	command := sync(router, incarnation, serial, &kcwpb.AllowanceReport{Want: 60, Limit: 20})
	s := command.GetSyncAllowances()
	s.Boot = fmt.Sprint(m.booted)
	if m.sameBoot {
		s.Boot = "same"
	}
	s.Started, s.Reported = m.uptime*ms, (m.uptime+m.at-m.booted)*ms
	s.Activation = s.Reported + 2500*ms
	s.Wall = (epoch + m.at + m.routerStep) * ms
	s.Stamp = &kcwpb.LeaderStamp{Process: m.leader, Uptime: (m.at + 5_000_000 + m.delay) * ms, Wall: (epoch + m.at + 2 + m.delay + m.leaderStep) * ms, Stepped: m.stepped}
	return command
}

// TestLossOfPower checks how many tokens come back after the hosts of all five routers
// lost power. Each router held 60 of 1000 tokens with a limit of 20.
func TestLossOfPower(t *testing.T) {
	const routers = 5
	before := moment{at: 10_000, booted: 0, leader: 1}
	after := moment{at: 11_500, booted: 11_000, leader: 2}
	for _, test := range []struct {
		name string
		// change alters the circumstances of router i's reports before and after the loss
		// of power.
		change func(i int, before, after *moment)
		// want is the number of routers whose tokens come back.
		want int
	}{
		{"a short outage", func(int, *moment, *moment) {}, 5},
		{"a long outage", func(_ int, _, a *moment) { a.at, a.booted = 13_000, 12_500 }, 0},
		{"the first reports wait for a leader", func(_ int, _, a *moment) { a.delay = 800 }, 5},
		{"the first reports wait for a leader, and its clock was set back", func(_ int, _, a *moment) { a.delay, a.leaderStep = 800, -5000 }, 0},
		{"the next leader's clock was set forward", func(_ int, _, a *moment) { a.leaderStep = 5000 }, 0},
		{"one was cut off before", func(i int, b, _ *moment) {
			if i == 0 {
				b.at = 5000
			}
		}, 4},
		{"one was cut off before, and its clock was set back", func(i int, b, a *moment) {
			if i == 0 {
				b.at, a.routerStep = 5000, -5000
			}
		}, 4},
		{"two clocks were set back", func(i int, _, a *moment) {
			if i < 2 {
				a.routerStep = -5000
			}
		}, 3},
		{"most clocks were set back", func(i int, _, a *moment) {
			if i < 3 {
				a.routerStep = -5000
			}
		}, 0},
		{"the next leader's clock was set back", func(_ int, _, a *moment) { a.leaderStep = -5000 }, 0},
		{"one was cut off, and its clock and the leader's were set back", func(i int, b, a *moment) {
			a.leaderStep = -5000
			if i == 0 {
				b.at, a.routerStep = 5000, -5000
			}
		}, 0},
		{"the leader's clock was set before the outage", func(i int, b, _ *moment) {
			b.stepped = i == 4
			if i == 0 {
				b.at = 9000
			}
		}, 1},
		{"only two routers are back", func(i int, _, a *moment) {
			if i > 1 {
				a.leader = 0
			}
		}, 0},
		{"the same leader", func(_ int, _, a *moment) { a.leader = 1 }, 5},
		{"the same leader, and one was cut off before", func(i int, b, a *moment) {
			a.leader = 1
			if i == 0 {
				b.at, a.routerStep = 5000, -5000
			}
		}, 4},
		{"the boot IDs are unchanged", func(_ int, b, a *moment) { b.sameBoot, a.sameBoot, a.uptime = true, true, 40_000_000 }, 5},
		{"the boot IDs are unchanged, and the uptimes happen to continue", func(_ int, b, a *moment) {
			a.at, a.booted = 15_000, 14_500
			b.sameBoot, a.sameBoot, a.uptime = true, true, 11_000
		}, 0},
		{"the boot IDs are unchanged, and the uptimes are somewhat later", func(_ int, b, a *moment) {
			b.sameBoot, a.sameBoot, a.uptime = true, true, 2_400_000
		}, 5},
		{"only the processes restarted, and all clocks were set", func(_ int, b, a *moment) {
			b.sameBoot, a.sameBoot, a.uptime, a.leader = true, true, 11_000, 1
			a.routerStep, a.leaderStep = 7000, 5000
		}, 5},
		{"only the processes restarted, after a long time", func(_ int, b, a *moment) {
			b.sameBoot, a.sameBoot, a.uptime = true, true, 13_000
			a.routerStep, a.leaderStep = -2000, -2000
		}, 0},
		{"the reports lack clock readings", func(_ int, b, _ *moment) { b.leader = 0 }, 0},
	} {
		table := kcwallowance.New()
		apply(t, table, put(1, 1000))
		for i := range routers {
			b, a := before, after
			test.change(i, &b, &a)
			for serial := range uint64(3) {
				apply(t, table, reportAt(fmt.Sprint(i), 1, serial+1, b))
			}
		}
		table = restored(t, table)
		returned := int64(0)
		for i := range routers {
			b, a := before, after
			test.change(i, &b, &a)
			if a.leader == 0 && b.leader != 0 {
				continue
			}
			command := reportAt(fmt.Sprint(i), 2, 1, a)
			command.GetSyncAllowances().Reports[0].Want = 0
			result := apply(t, table, command)
			returned += result.GetRecovered() + result.GetProved()
			table = restored(t, table)
		}
		if want := int64(test.want) * 40; returned != want {
			t.Errorf("%s: %d tokens came back, want %d", test.name, returned, want)
		}
	}
}

// restored returns a table restored from an image of table, and checks that its own image
// is the same.
func restored(t *testing.T, table *kcwallowance.Table) *kcwallowance.Table {
	t.Helper()
	var image, restoredImage bytes.Buffer
	if err := table.Freeze()(&image); err != nil {
		t.Fatal(err)
	}
	next := kcwallowance.New()
	if err := next.Restore(bytes.NewReader(image.Bytes())); err != nil {
		t.Fatal(err)
	}
	if err := next.Freeze()(&restoredImage); err != nil || !bytes.Equal(image.Bytes(), restoredImage.Bytes()) {
		t.Fatalf("an image of the restored table differs, error %v", err)
	}
	return next
}

// TestNoOverspend runs random histories of network cuts, losses of power, restarts, clock
// steps, disk stalls, lost answers and delayed reports, with routers that use all tokens
// that they may. It checks that the tokens used plus those that may still be used never
// exceed the prepaid tokens, and that claims return tokens in at least a tenth of the
// histories.
func TestNoOverspend(t *testing.T) {
	const histories = 150
	historiesWithReturns, used := 0, int64(0)
	for seed := range uint64(histories) {
		m := newBudgetModel(t, seed)
		if m.hidesBoots = seed%2 == 1; m.hidesBoots {
			// With fewer requests the budget lasts for several outages.
			m.requests = 1
		}
		for m.now < time.Hour+60*time.Second {
			if m.random.IntN(30) == 0 {
				m.injectFault()
			}
			m.tick()
			if committed := m.spent + m.free(); committed > modelPrepaid {
				t.Fatalf("seed %d: %d of %d tokens are used, and %d more may be used at %v: %v", seed, m.spent, modelPrepaid, m.free(), m.now, m.history)
			}
		}
		used += m.spent
		if m.returned > 0 {
			historiesWithReturns++
		}
	}
	if historiesWithReturns < histories/10 {
		t.Errorf("claims returned tokens in %d of %d histories, want at least a tenth", historiesWithReturns, histories)
	}
	t.Logf("%d of %d tokens used in the mean history; claims returned tokens in %d of %d histories", used/histories, modelPrepaid, historiesWithReturns, histories)
}
