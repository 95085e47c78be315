package kcwallowance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"kingcupwick.example/kcw/kcwallowance"
	"kingcupwick.example/kcw/kcwbalance"
	"kingcupwick.example/kcw/kcwgrant"
	"kingcupwick.example/kcw/kcwpb"
)

// machine is a host of the model. Times are true ones, in nanoseconds.
type machine struct {
	booted time.Duration
	boots  int
	step   time.Duration
}

func (m *machine) uptime(now time.Duration) time.Duration { return now - m.booted }

func (m *machine) wall(now time.Duration) int64 {
	return time.Unix(1_700_000_000, 0).UnixNano() + int64(now+m.step)
}

// spender is a router of the model, which uses all that it may.
type spender struct {
	machine
	name        string
	balance     *kcwbalance.Balance
	incarnation uint64
	serial      uint64
	started     time.Duration
	down        time.Duration
	cut         bool
	nextReport  time.Duration
	// hasDisk says that the host has a disk, which holds records as kcwhorizon does, but
	// takes none until stalled.
	hasDisk bool
	stalled time.Duration
	records []*kcwpb.RouterRun
}

// budgetModel is a core and routers with one budget.
type budgetModel struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Duration
	table   *kcwallowance.Table
	routers []*spender
	leader  machine
	process uint64
	drift   time.Duration
	// dead is until when the core takes no reports.
	dead     time.Duration
	spent    int64
	returned int64
	late     []*kcwpb.FleetCommand
	history  []string
	// requests is how many each router is asked for in a tick; asked and served count
	// them.
	requests, asked, served int
	// hidesBoots says that all boots have one identity and that a host's uptime goes on
	// near the one before.
	hidesBoots bool
}

const (
	modelPrepaid = 400_000
	modelTick    = 50 * time.Millisecond
)

func newBudgetModel(t *testing.T, seed uint64) *budgetModel {
	m := &budgetModel{t: t, random: rand.New(rand.NewPCG(seed, 11)), now: time.Hour, table: kcwallowance.New(), process: 1, requests: 4}
	apply(t, m.table, put(1, modelPrepaid))
	for i := range 5 {
		r := &spender{name: fmt.Sprint(i), incarnation: uint64(time.Hour), hasDisk: i < 2}
		m.routers = append(m.routers, r)
		m.start(r)
	}
	return m
}

func (m *budgetModel) clock() time.Time { return time.Unix(0, int64(m.now)) }

// start starts the process of a router.
func (m *budgetModel) start(r *spender) {
	r.incarnation++
	r.serial = 0
	r.started = r.uptime(m.now)
	own := &kcwpb.RouterRun{Incarnation: r.incarnation}
	cfg := kcwbalance.Config{
		Grant:  kcwgrant.Config{Endurance: 10 * time.Second, IdleAfter: 20 * time.Second, Memory: 5 * time.Second},
		Active: 2 * time.Second, ActivateAfter: 10 * time.Second, Fresh: 750 * time.Millisecond,
		Uptime: func() time.Duration { return r.uptime(m.now) },
	}
	if r.hasDisk {
		r.records = append(r.records[max(0, len(r.records)-3):], own)
		cfg.Horizon = func() time.Duration { return time.Duration(own.Until) }
	}
	r.balance = kcwbalance.New(cfg)
}

// boot has the host of a router lose its power for some time.
func (m *budgetModel) boot(r *spender, off time.Duration) {
	r.down = m.now + off
	before := r.uptime(m.now)
	r.booted = r.down - 100*time.Millisecond
	if m.hidesBoots {
		r.booted -= before + time.Duration(m.random.IntN(12_000)-4000)*time.Millisecond
		return
	}
	r.boots++
}

// powerOff has all hosts lose their power for about the time off.
func (m *budgetModel) powerOff(off time.Duration) {
	for _, r := range m.routers {
		m.boot(r, off+time.Duration(m.random.IntN(300))*time.Millisecond)
	}
	m.dead = m.now + off
	m.elect(true)
	m.history = append(m.history, fmt.Sprint(m.now, " power of all ", off))
}

// playUntil plays undisturbed time.
func (m *budgetModel) playUntil(end time.Duration) {
	for m.now < end {
		m.tick()
	}
}

// report makes the report of a router and has the core take it, now or late.
func (m *budgetModel) report(r *spender) {
	report := r.balance.Report(m.clock())
	r.serial++
	s := &kcwpb.SyncAllowances{
		Router: r.name, Incarnation: r.incarnation, Serial: r.serial, Reports: report.Teams,
		Boot: fmt.Sprint(r.name, "-", r.boots), Started: int64(r.started), Activation: int64(report.Accrual.End), Span: int64(report.Accrual.End - report.Accrual.Start),
		Reported: int64(report.Uptime), Wall: r.wall(m.now), Formers: r.records[:max(0, len(r.records)-1)],
	}
	// The command is its own copy.
	command := proto.Clone(&kcwpb.FleetCommand{Op: &kcwpb.FleetCommand_SyncAllowances{SyncAllowances: s}}).(*kcwpb.FleetCommand)
	switch {
	case r.cut || m.now < m.dead:
		if m.random.IntN(4) == 0 {
			m.late = append(m.late, command)
		}
		return
	case m.random.IntN(20) == 0:
		// The answer is lost.
		m.take(command)
		return
	}
	result := m.take(command)
	if result.GetCode() == kcwpb.Code_CODE_OK {
		r.balance.ApplyAllowances(report, result.GetAllowances())
	}
}

// take has the core take a report, stamped with the leader's clocks.
func (m *budgetModel) take(command *kcwpb.FleetCommand) *kcwpb.FleetResult {
	drift := time.Duration(m.leader.wall(m.now)) - m.leader.uptime(m.now)
	stepped := m.drift != 0 && (drift-m.drift).Abs() > 100*time.Millisecond
	m.drift = drift
	command.GetSyncAllowances().Stamp = &kcwpb.LeaderStamp{
		Process: m.process, Uptime: int64(m.leader.uptime(m.now)), Wall: m.leader.wall(m.now), Stepped: stepped,
	}
	result := apply(m.t, m.table, command)
	m.returned += result.GetProved()
	return result
}

// elect makes another process lead.
func (m *budgetModel) elect(booted bool) {
	m.process++
	m.drift = 0
	if booted {
		m.leader.booted = m.now
	}
}

// disturb makes one random disturbance. At most two of five routers' clocks are set,
// and the leader's.
func (m *budgetModel) disturb() {
	x := m.routers[m.random.IntN(len(m.routers))]
	step := time.Duration(m.random.IntN(12_000)-6000) * time.Millisecond
	switch kind := m.random.IntN(10); kind {
	case 0, 1:
		for _, r := range m.routers {
			r.cut = m.random.IntN(2) == 0
		}
		m.history = append(m.history, fmt.Sprint(m.now, " cut"))
	case 2:
		for _, r := range m.routers {
			r.cut = false
		}
		m.history = append(m.history, fmt.Sprint(m.now, " heal"))
	case 3, 4:
		m.powerOff(time.Duration(300+m.random.IntN(1500)) * time.Millisecond)
	case 5:
		off := time.Duration(300+m.random.IntN(1500)) * time.Millisecond
		m.boot(x, off)
		m.history = append(m.history, fmt.Sprint(m.now, " power of ", x.name, " ", off))
	case 6:
		if m.random.IntN(4) == 0 {
			x.records = nil
		}
		m.start(x)
		m.history = append(m.history, fmt.Sprint(m.now, " restart of ", x.name))
	case 7:
		// All clocks that are set are set by the same amount.
		for _, r := range m.routers[:2] {
			r.step = step * time.Duration(m.random.IntN(2))
		}
		m.leader.step = step * time.Duration(m.random.IntN(2))
		m.history = append(m.history, fmt.Sprint(m.now, " step ", step))
	case 8:
		m.dead = m.now + time.Duration(m.random.IntN(6000))*time.Millisecond
		m.elect(false)
		m.history = append(m.history, fmt.Sprint(m.now, " no leader until ", m.dead))
	case 9:
		x.stalled = m.now + time.Duration(m.random.IntN(10_000))*time.Millisecond
		m.history = append(m.history, fmt.Sprint(m.now, " disk of ", x.name, " stalls until ", x.stalled))
	}
}

// free returns the tokens that may still be used: those that nobody holds, and those
// that routers hold.
func (m *budgetModel) free() int64 {
	prepaid, outstanding := m.table.Budgets()
	free := prepaid["a"] - outstanding["a"]
	for _, r := range m.routers {
		if m.now < r.down {
			continue
		}
		for _, team := range r.balance.Teams() {
			free += team.Granted - team.Returned - team.Spent + team.Borrowed
		}
	}
	return free
}

// tick has all routers use what they may, lend and report.
func (m *budgetModel) tick() {
	for i, r := range m.routers {
		if m.now < r.down {
			continue
		}
		if r.down > 0 {
			r.down = 0
			m.start(r)
		}
		if up := r.uptime(m.now); r.hasDisk && r.balance.Silence() > 500*time.Millisecond && m.now >= r.stalled {
			own := r.records[len(r.records)-1]
			own.Until = max(own.Until, int64(up+2*time.Second))
		}
		for range m.requests {
			m.asked++
			tokens := int64(100 + m.random.IntN(400))
			r.balance.RecordDemand("a", tokens, m.clock())
			if r.balance.Reserve("a", tokens, m.clock()) == kcwbalance.Reserved {
				used := tokens - int64(m.random.IntN(50))
				r.balance.Settle("a", tokens, used)
				m.spent += used
				m.served++
			} else if other := m.routers[(i+1)%len(m.routers)]; m.now >= other.down {
				if short := r.balance.BorrowAmount("a", tokens, m.clock()); short > 0 && m.random.IntN(3) == 0 {
					r.balance.AddBorrowed("a", other.balance.Lend("a", short, m.clock()))
				}
			}
		}
		if m.now >= r.nextReport {
			r.nextReport = m.now + 200*time.Millisecond + time.Duration(m.random.IntN(100))*time.Millisecond
			m.report(r)
		}
	}
	if len(m.late) > 0 && m.now >= m.dead && m.random.IntN(20) == 0 {
		m.take(m.late[0])
		m.late = m.late[1:]
	}
	m.now += modelTick
}
