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

// modelHost simulates the clocks of a host. Its times are true times.
type modelHost struct {
	booted time.Duration
	boots  int
	// clockOffset is the error of the host's time of day.
	clockOffset time.Duration
}

func (h *modelHost) uptime(now time.Duration) time.Duration { return now - h.booted }

func (h *modelHost) wall(now time.Duration) int64 {
	return time.Unix(1_700_000_000, 0).UnixNano() + int64(now+h.clockOffset)
}

// modelRouter simulates a router that uses all tokens that it may.
type modelRouter struct {
	modelHost
	name        string
	balance     *kcwbalance.Balance
	incarnation uint64
	serial      uint64
	started     time.Duration
	downUntil   time.Duration
	isCut       bool // whether the router is cut off from the core
	nextReport  time.Duration
	// hasDisk reports whether the host has a disk with records as kcwrunrecord writes them.
	// Writes to it fail until stalledUntil.
	hasDisk      bool
	stalledUntil time.Duration
	records      []*kcwpb.RouterRun
}

// budgetModel simulates a core and routers that share one budget.
type budgetModel struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Duration
	table   *kcwallowance.Table
	routers []*modelRouter
	leader  modelHost
	process uint64
	// wallOffset is the difference between the leader's time of day and its uptime at its
	// last report, zero if there was none.
	wallOffset time.Duration
	// coreDownUntil is the time until which the core receives no reports.
	coreDownUntil time.Duration
	spent         int64
	// returned counts the tokens that claims returned.
	returned int64
	delayed  []*kcwpb.FleetCommand
	history  []string
	// requests is the number of requests to each router in a tick; requested and served
	// count them over all routers.
	requests, requested, served int
	// hidesBoots makes all boots of a host have the same ID, and its uptime continue near
	// the one before the reboot.
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
		r := &modelRouter{name: fmt.Sprint(i), incarnation: uint64(time.Hour), hasDisk: i < 2}
		m.routers = append(m.routers, r)
		m.start(r)
	}
	return m
}

func (m *budgetModel) clock() time.Time { return time.Unix(0, int64(m.now)) }

// start starts a new process of the router r.
func (m *budgetModel) start(r *modelRouter) {
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

// powerOff makes the host of r lose power for the time off, and reboot.
func (m *budgetModel) powerOff(r *modelRouter, off time.Duration) {
	r.downUntil = m.now + off
	before := r.uptime(m.now)
	r.booted = r.downUntil - 100*time.Millisecond
	if m.hidesBoots {
		r.booted -= before + time.Duration(m.random.IntN(12_000)-4000)*time.Millisecond
		return
	}
	r.boots++
}

// powerOffAll makes all hosts lose power for about the time off.
func (m *budgetModel) powerOffAll(off time.Duration) {
	for _, r := range m.routers {
		m.powerOff(r, off+time.Duration(m.random.IntN(300))*time.Millisecond)
	}
	m.coreDownUntil = m.now + off
	m.elect(true)
	m.history = append(m.history, fmt.Sprint(m.now, " all hosts lose power for ", off))
}

// runUntil advances the model to end without faults.
func (m *budgetModel) runUntil(end time.Duration) {
	for m.now < end {
		m.tick()
	}
}

// report makes a report of r and sends it to the core, which receives it now, later or
// never.
func (m *budgetModel) report(r *modelRouter) {
	report := r.balance.Report(m.clock())
	r.serial++
	s := &kcwpb.SyncAllowances{
		Router: r.name, Incarnation: r.incarnation, Serial: r.serial, Reports: report.Teams,
		Boot: fmt.Sprint(r.name, "-", r.boots), Started: int64(r.started), Activation: int64(report.Accrual.End), Span: int64(report.Accrual.End - report.Accrual.Start),
		Reported: int64(report.Uptime), Wall: r.wall(m.now), Formers: r.records[:max(0, len(r.records)-1)],
	}
	// The command shares no messages with r.
	command := proto.Clone(&kcwpb.FleetCommand{Op: &kcwpb.FleetCommand_SyncAllowances{SyncAllowances: s}}).(*kcwpb.FleetCommand)
	switch {
	case r.isCut || m.now < m.coreDownUntil:
		if m.random.IntN(4) == 0 {
			m.delayed = append(m.delayed, command)
		}
		return
	case m.random.IntN(20) == 0:
		// The answer is lost.
		m.receive(command)
		return
	}
	result := m.receive(command)
	if result.GetCode() == kcwpb.Code_CODE_OK {
		r.balance.ApplyAllowances(report, result.GetAllowances())
	}
}

// receive stamps a report with the leader's clocks and applies it.
func (m *budgetModel) receive(command *kcwpb.FleetCommand) *kcwpb.FleetResult {
	wallOffset := time.Duration(m.leader.wall(m.now)) - m.leader.uptime(m.now)
	stepped := m.wallOffset != 0 && (wallOffset-m.wallOffset).Abs() > 100*time.Millisecond
	m.wallOffset = wallOffset
	command.GetSyncAllowances().Stamp = &kcwpb.LeaderStamp{
		Process: m.process, Uptime: int64(m.leader.uptime(m.now)), Wall: m.leader.wall(m.now), Stepped: stepped,
	}
	result := apply(m.t, m.table, command)
	m.returned += result.GetProved()
	return result
}

// elect makes a new process the leader. Its host was just rebooted if booted is set.
func (m *budgetModel) elect(booted bool) {
	m.process++
	m.wallOffset = 0
	if booted {
		m.leader.booted = m.now
	}
}

// injectFault injects one random fault. It sets the clocks of at most two of the five
// routers, and of the leader.
func (m *budgetModel) injectFault() {
	faulty := m.routers[m.random.IntN(len(m.routers))]
	clockOffset := time.Duration(m.random.IntN(12_000)-6000) * time.Millisecond
	switch kind := m.random.IntN(10); kind {
	case 0, 1:
		for _, r := range m.routers {
			r.isCut = m.random.IntN(2) == 0
		}
		m.history = append(m.history, fmt.Sprint(m.now, " some routers are cut off"))
	case 2:
		for _, r := range m.routers {
			r.isCut = false
		}
		m.history = append(m.history, fmt.Sprint(m.now, " all routers are connected"))
	case 3, 4:
		m.powerOffAll(time.Duration(300+m.random.IntN(1500)) * time.Millisecond)
	case 5:
		off := time.Duration(300+m.random.IntN(1500)) * time.Millisecond
		m.powerOff(faulty, off)
		m.history = append(m.history, fmt.Sprint(m.now, " host of ", faulty.name, " loses power for ", off))
	case 6:
		if m.random.IntN(4) == 0 {
			faulty.records = nil
		}
		m.start(faulty)
		m.history = append(m.history, fmt.Sprint(m.now, " restart of ", faulty.name))
	case 7:
		// All clocks that are set get the same offset.
		for _, r := range m.routers[:2] {
			r.clockOffset = clockOffset * time.Duration(m.random.IntN(2))
		}
		m.leader.clockOffset = clockOffset * time.Duration(m.random.IntN(2))
		m.history = append(m.history, fmt.Sprint(m.now, " clocks are set by ", clockOffset))
	case 8:
		m.coreDownUntil = m.now + time.Duration(m.random.IntN(6000))*time.Millisecond
		m.elect(false)
		m.history = append(m.history, fmt.Sprint(m.now, " no leader until ", m.coreDownUntil))
	case 9:
		faulty.stalledUntil = m.now + time.Duration(m.random.IntN(10_000))*time.Millisecond
		m.history = append(m.history, fmt.Sprint(m.now, " disk of ", faulty.name, " stalls until ", faulty.stalledUntil))
	}
}

// free returns the tokens that may still be used: those that no router holds, and those
// that running routers hold.
func (m *budgetModel) free() int64 {
	prepaid, outstanding := m.table.Budgets()
	free := prepaid["a"] - outstanding["a"]
	for _, r := range m.routers {
		if m.now < r.downUntil {
			continue
		}
		for _, team := range r.balance.Teams() {
			free += team.Granted - team.Returned - team.Spent + team.Borrowed
		}
	}
	return free
}

// tick makes all running routers use tokens, borrow and report, and advances the time.
func (m *budgetModel) tick() {
	for i, r := range m.routers {
		if m.now < r.downUntil {
			continue
		}
		if r.downUntil > 0 {
			r.downUntil = 0
			m.start(r)
		}
		if up := r.uptime(m.now); r.hasDisk && r.balance.Silence() > 500*time.Millisecond && m.now >= r.stalledUntil {
			own := r.records[len(r.records)-1]
			own.Until = max(own.Until, int64(up+2*time.Second))
		}
		for range m.requests {
			m.requested++
			tokens := int64(100 + m.random.IntN(400))
			r.balance.RecordDemand("a", tokens, m.clock())
			if r.balance.Reserve("a", tokens, m.clock()) == kcwbalance.Reserved {
				used := tokens - int64(m.random.IntN(50))
				r.balance.Settle("a", tokens, used)
				m.spent += used
				m.served++
			} else if other := m.routers[(i+1)%len(m.routers)]; m.now >= other.downUntil {
				if amount := r.balance.BorrowAmount("a", tokens, m.clock()); amount > 0 && m.random.IntN(3) == 0 {
					r.balance.AddBorrowed("a", other.balance.Lend("a", amount, m.clock()))
				}
			}
		}
		if m.now >= r.nextReport {
			r.nextReport = m.now + 200*time.Millisecond + time.Duration(m.random.IntN(100))*time.Millisecond
			m.report(r)
		}
	}
	if len(m.delayed) > 0 && m.now >= m.coreDownUntil && m.random.IntN(20) == 0 {
		m.receive(m.delayed[0])
		m.delayed = m.delayed[1:]
	}
	m.now += modelTick
}
