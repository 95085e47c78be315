// Package kcwallowance holds the state machine of a document-driven core: the
// newest configuration document, and how many prepaid tokens each router
// incarnation may use.
//
// For each incarnation and team it keeps two totals that only rise, tokens
// granted and tokens returned. Granted less returned, summed over all
// incarnations that ever were, never exceeds the prepaid tokens when a grant is
// made, so that no router can overspend whatever happens to it or to messages.
// The state machine is deterministic and reads no clock.
package kcwallowance

import (
	"maps"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"kingcupwick.example/kcw/kcwaccrual"
	"kingcupwick.example/kcw/kcwpb"
)

// heldPart is the part of a budget's unspent tokens that routers may hold
// together beside what running requests have reserved. The rest is for requests
// that find too little at their router, and what a host that loses its power
// holds is lost to the team.
const heldPart = 0.3

// totals is what one router incarnation holds for one team, and what it said
// last.
type totals struct {
	granted, returned, spent int64
	reserved, want, limit    int64
}

// free returns the tokens that are neither spent nor reserved.
func (h *totals) free() int64 { return h.granted - h.returned - h.spent - h.reserved }

// router is the newest incarnation of one router.
type router struct {
	incarnation uint64
	serial      uint64
	// boot, reported and accrual bound what the incarnation has used if it ends: when it
	// made its last report, and when its allowances become active, in time since the
	// boot.
	boot     string
	reported int64
	accrual  kcwaccrual.Accrual
	teams    map[string]*totals
	clock    clock
}

// budget is the prepaid tokens of one team, those that replaced incarnations
// have used at most, and those granted and not returned in all. Spent and wanted
// are the sums of what the routers have said.
type budget struct {
	prepaid, retired, outstanding int64
	spent, wanted                 int64
}

// used returns the tokens reported as spent, and all that replaced incarnations may
// have used.
func (b *budget) used() int64 { return b.retired + b.spent }

// Table is the state. Its methods are safe for concurrent use. Messages that
// they return may be shared and must not be changed.
type Table struct {
	// mu guards the state, which Apply and Restore change.
	mu       sync.RWMutex
	document *kcwpb.PutDocument
	routers  map[string]*router
	budgets  map[string]*budget
	// epoch counts the steps of leaders' clocks.
	epoch  uint64
	claims []claim
}

// New returns an empty table.
func New() *Table {
	return &Table{document: &kcwpb.PutDocument{}, routers: map[string]*router{}, budgets: map[string]*budget{}}
}

// Document returns the newest document; its version is zero if there is none.
func (t *Table) Document() *kcwpb.PutDocument {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.document
}

// Version returns the version of the newest document.
func (t *Table) Version() uint64 { return t.Document().GetVersion() }

// Apply carries out the marshalled kcwpb.FleetCommand data and returns the
// marshalled kcwpb.FleetResult. The index of the log entry decides nothing. A
// malformed command gives CODE_INVALID and changes nothing.
func (t *Table) Apply(_ uint64, data []byte) []byte {
	command := &kcwpb.FleetCommand{}
	if err := proto.Unmarshal(data, command); err != nil {
		return encode(&kcwpb.FleetResult{Code: kcwpb.Code_CODE_INVALID, Detail: "the command cannot be decoded"})
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch op := command.GetOp().(type) {
	case *kcwpb.FleetCommand_PutDocument:
		return encode(t.putDocument(op.PutDocument))
	case *kcwpb.FleetCommand_SyncAllowances:
		return encode(t.sync(op.SyncAllowances))
	}
	return encode(&kcwpb.FleetResult{Code: kcwpb.Code_CODE_INVALID, Detail: "the operation is not known"})
}

func encode(result *kcwpb.FleetResult) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(result)
	if err != nil {
		// Only text that is not UTF-8 cannot be marshalled, and commands with
		// such text cannot be decoded.
		return nil
	}
	return data
}

// putDocument takes a document if its version is the highest. An older one, or
// another of the same version, changes nothing.
func (t *Table) putDocument(put *kcwpb.PutDocument) *kcwpb.FleetResult {
	if put.GetVersion() <= t.document.GetVersion() {
		return &kcwpb.FleetResult{Code: kcwpb.Code_CODE_REPEATED, Version: t.document.GetVersion()}
	}
	t.document = put
	for _, b := range t.budgets {
		b.prepaid = 0
	}
	for _, b := range put.GetBudgets() {
		t.budget(b.GetTeam()).prepaid = b.GetPrepaid()
	}
	return &kcwpb.FleetResult{Code: kcwpb.Code_CODE_OK, Version: put.GetVersion()}
}

func (t *Table) budget(team string) *budget {
	b := t.budgets[team]
	if b == nil {
		b = &budget{}
		t.budgets[team] = b
	}
	return b
}

// sync takes the reports of a router and grants what it wants.
func (t *Table) sync(s *kcwpb.SyncAllowances) *kcwpb.FleetResult {
	result := &kcwpb.FleetResult{Code: kcwpb.Code_CODE_OK, Version: t.document.GetVersion()}
	r := t.admit(s, result)
	if r == nil {
		result.Code = kcwpb.Code_CODE_FENCED
		if newest := t.routers[s.GetRouter()]; newest != nil {
			result.Incarnation = newest.incarnation
		}
		return result
	}
	result.Incarnation = r.incarnation
	late := s.GetSerial() <= r.serial
	if !late {
		t.noteClocks(r, s)
		r.serial, r.reported, r.accrual = s.GetSerial(), s.GetReported(), accrual(s)
	}
	result.Proved = t.settleClaims(r.clock.moved)
	for _, report := range s.GetReports() {
		held := r.holding(report.GetTeam())
		t.take(held, report)
		share := int64(0)
		if !late {
			t.budget(report.GetTeam()).wanted += report.GetWant() - held.want
			held.reserved, held.want, held.limit = report.GetReserved(), report.GetWant(), report.GetLimit()
			share = t.share(report)
			t.grant(held, report, share)
		}
		result.Allowances = append(result.Allowances, t.allowance(held, report.GetTeam(), share))
	}
	return result
}

// admit returns the router of s, nil if a newer incarnation is known. What an
// older incarnation may have used counts as used from then on, and is told in
// result.
func (t *Table) admit(s *kcwpb.SyncAllowances, result *kcwpb.FleetResult) *router {
	r := t.routers[s.GetRouter()]
	switch {
	case s.GetRouter() == "", r != nil && s.GetIncarnation() < r.incarnation:
		return nil
	case r != nil && s.GetIncarnation() == r.incarnation:
		return r
	case r != nil:
		result.Replaced = true
		t.retire(r, s, result)
	}
	next := &router{incarnation: s.GetIncarnation(), boot: s.GetBoot(), teams: map[string]*totals{}}
	if r != nil {
		// The clock of the host goes on, but for its uptime.
		next.clock = r.clock
		next.clock.lag = 0
	}
	t.routers[s.GetRouter()] = next
	return next
}

// accrual returns when the allowances of the router of s become active.
func accrual(s *kcwpb.SyncAllowances) kcwaccrual.Accrual {
	full := time.Duration(s.GetActivation())
	return kcwaccrual.Accrual{Start: full - time.Duration(max(0, s.GetSpan())), End: full}
}

// retire counts what the incarnation r has used at most, when next takes its place:
// what had become active when r ended at the latest, or all that it held if that is not
// known. The result tells the tokens that r may have used beyond those reported, those
// that come back, and why.
func (t *Table) retire(r *router, next *kcwpb.SyncAllowances, result *kcwpb.FleetResult) {
	known, silence := t.silence(r, next)
	result.Evidence, result.Silence = string(known), silence
	end := time.Duration(r.reported + silence)
	pending := claim{moved: r.clock.movedTo(next), kept: map[string]int64{}}
	for team, held := range r.teams {
		b := t.budget(team)
		b.spent -= held.spent
		b.wanted -= held.want
		used := held.granted - held.returned
		kept := used - max(held.spent, r.accrual.Usable(held.limit, used, end))
		switch {
		case kept <= 0 || known == none:
		case known == clocks:
			pending.kept[team] = kept
		default:
			used -= kept
			b.outstanding -= kept
			result.Recovered += kept
		}
		b.retired += used
		result.WrittenOff += used - held.spent
	}
	if len(pending.kept) > 0 {
		t.claim(pending)
	}
}

func (r *router) holding(team string) *totals {
	held := r.teams[team]
	if held == nil {
		held = &totals{}
		r.teams[team] = held
	}
	return held
}

// take notes the totals of a report. A router can't return or spend more than
// it was granted.
func (t *Table) take(held *totals, report *kcwpb.AllowanceReport) {
	returned := min(max(held.returned, report.GetReturned()), held.granted)
	b := t.budget(report.GetTeam())
	b.outstanding -= returned - held.returned
	held.returned = returned
	spent := min(max(held.spent, report.GetSpent()), held.granted-held.returned)
	b.spent += spent - held.spent
	held.spent = spent
}

// share returns the free tokens that the router of report should hold: what it
// wants, or its part by what all want when that is more than they may hold.
func (t *Table) share(report *kcwpb.AllowanceReport) int64 {
	b := t.budget(report.GetTeam())
	most := heldPart * float64(max(0, b.prepaid-b.used()))
	if float64(b.wanted) <= most {
		return report.GetWant()
	}
	return int64(most * float64(report.GetWant()) / float64(b.wanted))
}

// grant raises the free tokens of a router to its share, or to what its waiting
// requests need, out of the free tokens of the budget.
func (t *Table) grant(held *totals, report *kcwpb.AllowanceReport, share int64) {
	b := t.budget(report.GetTeam())
	least := report.GetLeast() - held.free()
	amount := min(max(share, report.GetNeeded())-held.free(), b.prepaid-b.outstanding)
	if amount <= 0 || amount < least {
		return
	}
	held.granted += amount
	b.outstanding += amount
}

func (t *Table) allowance(held *totals, team string, share int64) *kcwpb.Allowance {
	b := t.budget(team)
	return &kcwpb.Allowance{
		Team:      team,
		Granted:   held.granted,
		Available: max(0, b.prepaid-b.outstanding),
		Unspent:   max(0, b.prepaid-b.used()),
		Share:     share,
	}
}

// Budgets returns, by team, the prepaid tokens and those that routers hold or
// have used.
func (t *Table) Budgets() (prepaid, outstanding map[string]int64) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	prepaid, outstanding = map[string]int64{}, map[string]int64{}
	for team, b := range t.budgets {
		prepaid[team], outstanding[team] = b.prepaid, b.outstanding
	}
	return prepaid, outstanding
}

// names returns the routers in order.
func (t *Table) names() []string {
	return slices.Sorted(maps.Keys(t.routers))
}
