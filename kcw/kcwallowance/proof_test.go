package kcwallowance_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwallowance"
	"kingcupwick.example/kcw/kcwpb"
)

// moment is when a report is made, in milliseconds of true time.
type moment struct {
	at, booted, routerStep, leaderStep int64
	leader                             uint64
	stepped, sameBoot                  bool
	// late is how long the report is on its way.
	late int64
	// uptime is the host's at the start of the process, zero if it has just booted.
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
	s.Stamp = &kcwpb.LeaderStamp{Process: m.leader, Uptime: (m.at + 5_000_000 + m.late) * ms, Wall: (epoch + m.at + 2 + m.late + m.leaderStep) * ms, Stepped: m.stepped}
	return command
}

// TestLossOfPower checks how much of what five routers held comes back after all
// of them lost their power, each holding 60 of 1000 tokens with a limit of 20.
func TestLossOfPower(t *testing.T) {
	const routers = 5
	before := moment{at: 10_000, booted: 0, leader: 1}
	after := moment{at: 11_500, booted: 11_000, leader: 2}
	for _, test := range []struct {
		name string
		// change alters the reports of router i before and after.
		change func(i int, before, after *moment)
		// want is how many routers' tokens come back.
		want int
	}{
		{"a short outage", func(int, *moment, *moment) {}, 5},
		{"a long outage", func(_ int, _, a *moment) { a.at, a.booted = 13_000, 12_500 }, 0},
		{"the first reports wait for a leader", func(_ int, _, a *moment) { a.late = 800 }, 5},
		{"they do, and the next leader's clock was set back", func(_ int, _, a *moment) { a.late, a.leaderStep = 800, -5000 }, 0},
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
		{"only two are back", func(i int, _, a *moment) {
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
		{"the hosts hide that they were booted", func(_ int, b, a *moment) { b.sameBoot, a.sameBoot, a.uptime = true, true, 40_000_000 }, 5},
		{"the hosts hide that they were booted, and their uptimes happen to go on", func(_ int, b, a *moment) {
			a.at, a.booted = 15_000, 14_500
			b.sameBoot, a.sameBoot, a.uptime = true, true, 11_000
		}, 0},
		{"the hosts hide that they were booted, and their uptimes are not much later", func(_ int, b, a *moment) {
			b.sameBoot, a.sameBoot, a.uptime = true, true, 2_400_000
		}, 5},
		{"the processes alone ended, and all clocks were set", func(_ int, b, a *moment) {
			b.sameBoot, a.sameBoot, a.uptime, a.leader = true, true, 11_000, 1
			a.routerStep, a.leaderStep = 7000, 5000
		}, 5},
		{"the processes alone ended, long after", func(_ int, b, a *moment) {
			b.sameBoot, a.sameBoot, a.uptime = true, true, 13_000
			a.routerStep, a.leaderStep = -2000, -2000
		}, 0},
		{"clocks are not told", func(_ int, b, _ *moment) { b.leader = 0 }, 0},
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
			t.Errorf("%s: %d tokens come back, want %d", test.name, returned, want)
		}
	}
}

// restored returns a table made from an image of table.
func restored(t *testing.T, table *kcwallowance.Table) *kcwallowance.Table {
	t.Helper()
	var image, again bytes.Buffer
	if err := table.Freeze()(&image); err != nil {
		t.Fatal(err)
	}
	next := kcwallowance.New()
	if err := next.Restore(bytes.NewReader(image.Bytes())); err != nil {
		t.Fatal(err)
	}
	if err := next.Freeze()(&again); err != nil || !bytes.Equal(image.Bytes(), again.Bytes()) {
		t.Fatalf("an image of the restored table differs, error %v", err)
	}
	return next
}

// TestNoOverspend plays random histories of cuts, losses of power, restarts, steps of
// clocks, lost answers and late reports with routers that use all they may, and
// checks that the tokens used, and those that may still be, never exceed the prepaid
// ones.
func TestNoOverspend(t *testing.T) {
	const histories = 150
	returned, used := 0, int64(0)
	for seed := range uint64(histories) {
		m := newBudgetModel(t, seed)
		if m.hidesBoots = seed%2 == 1; m.hidesBoots {
			// The budget lasts for some outages.
			m.requests = 1
		}
		for m.now < time.Hour+60*time.Second {
			if m.random.IntN(30) == 0 {
				m.disturb()
			}
			m.tick()
			if committed := m.spent + m.free(); committed > modelPrepaid {
				t.Fatalf("seed %d: %d of %d tokens are used, and %d more may be at %v: %v", seed, m.spent, modelPrepaid, m.free(), m.now, m.history)
			}
		}
		used += m.spent
		if m.returned > 0 {
			returned++
		}
	}
	if returned < histories/10 {
		t.Errorf("tokens came back by proof in %d of %d histories", returned, histories)
	}
	t.Logf("%d tokens used in a history of %d, proofs in %d of %d", used/histories, modelPrepaid, returned, histories)
}
