// Package kcwallowance implements the state machine of a core that is configured
// by documents. The state is the newest configuration document, the number of
// prepaid tokens that each router incarnation may use, the sets of prompt parts that
// are refused because they crash upstreams, and the evacuated availability zones.
//
// For each incarnation and team the state holds two totals that never decrease:
// tokens granted and tokens returned. Tokens are granted only while the sum of
// granted minus returned, over all incarnations that ever existed, stays within
// the prepaid tokens. Crashes of routers and lost, late or repeated messages
// therefore can't cause overspending. The state machine is deterministic and reads
// no clock.
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

// maxHeldFraction is the largest fraction of a budget's unspent tokens that all
// routers together may hold free, beyond the tokens reserved by running requests.
// The rest serves requests whose router holds too few tokens, and can't be lost to
// the team when hosts lose power.
const maxHeldFraction = 0.3

// totals holds the tokens of one router incarnation for one team, and the values
// of its last report.
type totals struct {
	granted, returned, spent int64
	reserved, want, limit    int64
}

// free returns the tokens that are neither spent nor reserved.
func (h *totals) free() int64 { return h.granted - h.returned - h.spent - h.reserved }

// router is the state of the newest incarnation of one router.
type router struct {
	incarnation uint64
	serial      uint64
	// boot, reported and accrual bound the tokens that the incarnation has used if it
	// ends: the boot ID of its host, the time of its last report, and the interval in
	// which its allowances become active. The times count from the host's boot.
	boot     string
	reported int64
	accrual  kcwaccrual.Accrual
	teams    map[string]*totals
	clock    clock
}

// budget holds the token sums of one team: prepaid, an upper bound on the tokens
// that replaced incarnations have used (retired), and those granted but not returned
// (outstanding). Spent and wanted are sums over the reports of all current
// incarnations.
type budget struct {
	prepaid, retired, outstanding int64
	spent, wanted                 int64
}

// used returns the tokens reported as spent plus all that replaced incarnations may
// have used.
func (b *budget) used() int64 { return b.retired + b.spent }

// Table is the replicated state. Its methods are safe for concurrent use. The
// messages that they return may be shared and must not be modified.
type Table struct {
	// mu guards all other fields, which Apply and Restore change.
	mu       sync.RWMutex
	document *kcwpb.PutDocument
	routers  map[string]*router
	budgets  map[string]*budget
	// epoch counts how often a leader's time of day was set.
	epoch  uint64
	claims []claim
	// blocks are the sets of prompt parts that are refused. blocksVersion counts their
	// changes.
	blocks        []*kcwpb.PartBlock
	blocksVersion uint64
	// evacuations are replaced at each change, never modified.
	evacuations *kcwpb.Evacuations
}

// New returns an empty table.
func New() *Table {
	return &Table{document: &kcwpb.PutDocument{}, routers: map[string]*router{}, budgets: map[string]*budget{}, evacuations: &kcwpb.Evacuations{}}
}

// Document returns the newest document; its version is zero if there is none.
func (t *Table) Document() *kcwpb.PutDocument {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.document
}

// Version returns the version of the newest document.
func (t *Table) Version() uint64 { return t.Document().GetVersion() }

// Apply executes the marshalled kcwpb.FleetCommand in data and returns the
// marshalled kcwpb.FleetResult. It ignores the index of the log entry. A malformed
// command returns CODE_INVALID and changes nothing.
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
	case *kcwpb.FleetCommand_PutBlocks:
		return encode(t.putBlocks(op.PutBlocks))
	case *kcwpb.FleetCommand_SetEvacuation:
		return encode(t.setEvacuation(op.SetEvacuation))
	}
	return encode(&kcwpb.FleetResult{Code: kcwpb.Code_CODE_INVALID, Detail: "the operation is not known"})
}

func encode(result *kcwpb.FleetResult) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(result)
	if err != nil {
		// Unreachable: marshalling fails only on text that is not UTF-8, and
		// commands with such text fail to decode.
		return nil
	}
	return data
}

// putDocument stores a document if its version exceeds that of the stored one. Any
// other document changes nothing.
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

// putBlocks replaces the blocks if put is based on the current ones. Otherwise it changes
// nothing.
func (t *Table) putBlocks(put *kcwpb.PutBlocks) *kcwpb.FleetResult {
	if put.GetBase() != t.blocksVersion {
		return &kcwpb.FleetResult{Code: kcwpb.Code_CODE_REPEATED, Version: t.document.GetVersion()}
	}
	t.blocks = put.GetBlocks()
	t.blocksVersion++
	return &kcwpb.FleetResult{Code: kcwpb.Code_CODE_OK, Version: t.document.GetVersion()}
}

// Blocks returns the sets of prompt parts that are refused, and their version.
func (t *Table) Blocks() (blocks []*kcwpb.PartBlock, version uint64) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.blocks, t.blocksVersion
}

func (t *Table) budget(team string) *budget {
	b := t.budgets[team]
	if b == nil {
		b = &budget{}
		t.budgets[team] = b
	}
	return b
}

// sync stores the reports of a router and grants tokens that it requests. It grants
// nothing for a report that is late, that is, no newer than the last one stored.
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
		t.recordClocks(r, s)
		r.serial, r.reported, r.accrual = s.GetSerial(), s.GetReported(), accrual(s)
	}
	result.Proved = t.settleClaims(r.clock.shift)
	for _, report := range s.GetReports() {
		held := r.holding(report.GetTeam())
		t.recordReport(held, report)
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

// admit returns the router that sent s, or nil if s names no router or an
// incarnation older than the stored one. A newer incarnation replaces the stored
// one: the tokens that the old one may have used count as used from then on, and
// result describes them.
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
		// The host's time of day continues across processes; its uptime may not.
		next.clock = r.clock
		next.clock.lag = 0
	}
	t.routers[s.GetRouter()] = next
	return next
}

// accrual returns the interval in which the allowances of the reporting router
// become active.
func accrual(s *kcwpb.SyncAllowances) kcwaccrual.Accrual {
	full := time.Duration(s.GetActivation())
	return kcwaccrual.Accrual{Start: full - time.Duration(max(0, s.GetSpan())), End: full}
}

// retire replaces the incarnation r by the one that sent next, and counts an upper
// bound on the tokens that r has used: those that were active at the latest time at
// which r may have ended, or all that it held if there is no evidence of that time.
// The result reports the tokens that r may have used beyond those in its reports, the
// tokens recovered, and the evidence.
func (t *Table) retire(r *router, next *kcwpb.SyncAllowances, result *kcwpb.FleetResult) {
	basis, maxSilence := t.maxSilence(r, next)
	result.Evidence, result.Silence = string(basis), maxSilence
	end := time.Duration(r.reported + maxSilence)
	pending := claim{shift: r.clock.shiftTo(next), unused: map[string]int64{}}
	for team, held := range r.teams {
		b := t.budget(team)
		b.spent -= held.spent
		b.wanted -= held.want
		used := held.granted - held.returned
		unused := used - max(held.spent, r.accrual.Usable(held.limit, used, end))
		switch {
		case unused <= 0 || basis == none:
		case basis == clocks:
			pending.unused[team] = unused
		default:
			used -= unused
			b.outstanding -= unused
			result.Recovered += unused
		}
		b.retired += used
		result.WrittenOff += used - held.spent
	}
	if len(pending.unused) > 0 {
		t.addClaim(pending)
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

// recordReport stores the totals of a report. It ignores values below the stored
// ones, because reports may arrive late, and caps the sum of returned and spent
// tokens at the tokens granted.
func (t *Table) recordReport(held *totals, report *kcwpb.AllowanceReport) {
	returned := min(max(held.returned, report.GetReturned()), held.granted)
	b := t.budget(report.GetTeam())
	b.outstanding -= returned - held.returned
	held.returned = returned
	spent := min(max(held.spent, report.GetSpent()), held.granted-held.returned)
	b.spent += spent - held.spent
	held.spent = spent
}

// share returns the number of free tokens that the reporting router should hold: all that
// it requests, or a proportional part if all routers together request more than they may
// hold.
func (t *Table) share(report *kcwpb.AllowanceReport) int64 {
	b := t.budget(report.GetTeam())
	maxHeld := maxHeldFraction * float64(max(0, b.prepaid-b.used()))
	if float64(b.wanted) <= maxHeld {
		return report.GetWant()
	}
	return int64(maxHeld * float64(report.GetWant()) / float64(b.wanted))
}

// grant raises the free tokens of a router to its share, or to the tokens that its
// waiting requests need if that is more, as far as the budget has tokens available.
// It grants nothing if the router would still hold fewer free tokens than the least
// amount that it reported as useful.
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

// allowance returns the answer to the router's report on one team.
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

// Budgets returns, by team, the prepaid tokens and the tokens that routers hold or
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

// Routers returns the names of the routers in ascending order.
func (t *Table) Routers() []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.routerNames()
}

// routerNames returns the names of the routers in ascending order. The caller holds mu.
func (t *Table) routerNames() []string {
	return slices.Sorted(maps.Keys(t.routers))
}
