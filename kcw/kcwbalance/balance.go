// Package kcwbalance holds the prepaid tokens that one router may use: what each
// team's requests reserve and use of them, how many to ask the core for and how
// many to give back. It answers a router that is cut off, which lives on what it
// holds, and budgets that run out, where what is held idle is missing elsewhere.
//
// Most of what a router holds is on standby: it keeps to a limit that it has reported,
// and the rest becomes active in proportion to the time for which the core has been
// silent, so that what had not become active comes back to the team if the router is
// lost. The time is that since the host's boot, suspension included, which a process
// and its successor share.
//
// Routers that are cut off from the core lend each other tokens. A lender counts
// them as spent, so that whatever happens to either router or to a message, the
// tokens are used once at most; a borrower uses them first and reports nothing of
// them.
//
// A Balance does no I/O and takes the clock as an argument.
package kcwbalance

import (
	"sync"
	"time"

	"kingcupwick.example/kcw/kcwaccrual"
	"kingcupwick.example/kcw/kcwgrant"
	"kingcupwick.example/kcw/kcwpb"
)

// Config configures a Balance.
type Config struct {
	// Grant is the policy of what to hold.
	Grant kcwgrant.Config
	// Active is the time for which the active tokens last.
	Active time.Duration
	// ActivateAfter is how long the core must be silent for all tokens to be active.
	// They become so in proportion to the time.
	ActivateAfter time.Duration
	// Fresh is how old the core's state of a budget may be to refuse a request
	// permanently.
	Fresh time.Duration
	// Uptime returns the time since the host's boot, suspension included.
	Uptime func() time.Duration
	// Horizon returns the uptime after which no more tokens become active. Nil stands
	// for no such time.
	Horizon func() time.Duration
}

// Verdict says whether a request may use a team's tokens.
type Verdict int

// Verdicts.
const (
	// Reserved means that the tokens are reserved.
	Reserved Verdict = iota + 1
	// Missing means that the router may use too few tokens; the core may grant
	// or activate more.
	Missing
	// Held means that other routers hold the tokens, which may come back.
	Held
	// Exhausted means that the budget does not cover the request.
	Exhausted
)

// String returns the verdict's name for logs.
func (v Verdict) String() string {
	return [...]string{Reserved: "Reserved", Missing: "Missing", Held: "Held", Exhausted: "Exhausted"}[v]
}

// account is the tokens of one team. Granted, returned and spent only rise.
type account struct {
	granted, returned, spent int64
	// borrowed are the tokens of other routers that are left.
	borrowed int64
	// reserved are the tokens of requests under way, borrowed ones first.
	reserved int64
	// limit bounds spent and reserved where no other tokens are active.
	limit  int64
	demand kcwgrant.Demand
	// available, unspent and share are what the core told last, as of heardAt.
	available, unspent, share int64
	heardAt                   time.Time
	// shortage is the largest request that lacked tokens since the last report,
	// needed the tokens of all of these.
	shortage, needed int64
}

// ownReserved returns the part of reserved that is not borrowed.
func (a *account) ownReserved() int64 { return max(0, a.reserved-a.borrowed) }

// free returns the router's own tokens that are neither spent nor reserved.
func (a *account) free() int64 { return a.granted - a.returned - a.spent - a.ownReserved() }

// lendable returns the router's own free tokens that are active at the uptime now.
func (a *account) lendable(accrual kcwaccrual.Accrual, now time.Duration) int64 {
	return max(0, accrual.Usable(a.limit, a.granted-a.returned, now)-a.spent-a.ownReserved())
}

// usable returns the free tokens that the router may use at the uptime now, borrowed
// ones included.
func (a *account) usable(accrual kcwaccrual.Accrual, now time.Duration) int64 {
	return a.lendable(accrual, now) + max(0, a.borrowed-a.reserved)
}

// Balance is a router's tokens. It is safe for concurrent use.
type Balance struct {
	cfg    Config
	policy *kcwgrant.Policy

	mu    sync.Mutex
	teams map[string]*account
	// activation is the uptime at which all tokens are active.
	activation time.Duration
	// returning says that the router stops and gives everything back.
	returning bool
}

// New returns a Balance without tokens.
func New(cfg Config) *Balance {
	return &Balance{cfg: cfg, policy: kcwgrant.New(cfg.Grant), teams: map[string]*account{}, activation: cfg.Uptime() + cfg.ActivateAfter}
}

func (b *Balance) account(team string) *account {
	a := b.teams[team]
	if a == nil {
		a = &account{}
		b.teams[team] = a
	}
	return a
}

// activeAt returns the uptime that says which tokens are active.
func (b *Balance) activeAt() time.Duration {
	now := b.cfg.Uptime()
	if b.cfg.Horizon == nil {
		return now
	}
	return min(now, b.cfg.Horizon())
}

// Silence returns how long the core has not been heard.
func (b *Balance) Silence() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cfg.Uptime() - b.accrual().Start
}

// accrual returns when tokens become active if the core stays silent.
func (b *Balance) accrual() kcwaccrual.Accrual {
	return kcwaccrual.Accrual{Start: b.activation - b.cfg.ActivateAfter, End: b.activation}
}

// RecordDemand notes a new request for tokens of team.
func (b *Balance) RecordDemand(team string, tokens int64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(team)
	a.demand = b.policy.Add(a.demand, tokens, now)
}

// Reserve reserves tokens of team for one request, if the router may use them.
func (b *Balance) Reserve(team string, tokens int64, now time.Time) Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(team)
	if tokens <= a.usable(b.accrual(), b.activeAt()) {
		a.reserved += tokens
		return Reserved
	}
	fresh := !a.heardAt.IsZero() && now.Sub(a.heardAt) <= b.cfg.Fresh
	switch {
	case fresh && a.unspent-a.reserved < tokens:
		return Exhausted
	case fresh && a.available+a.free() < tokens:
		return Held
	}
	a.shortage = max(a.shortage, tokens)
	a.needed += tokens
	return Missing
}

// Budget is what the core told last of a team's budget: the tokens that nobody
// holds, those that nobody has reported as used, and when.
type Budget struct {
	Available, Unspent int64
	AsOf               time.Time
}

// Budget returns what the core told last of the budget of team.
func (b *Balance) Budget(team string) Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(team)
	return Budget{Available: a.available, Unspent: a.unspent, AsOf: a.heardAt}
}

// Settle ends the reservation of tokens, of which used were used.
func (b *Balance) Settle(team string, tokens, used int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(team)
	used = min(max(used, 0), tokens)
	borrowed := min(used, a.borrowed)
	a.reserved -= tokens
	a.borrowed -= borrowed
	a.spent += used - borrowed
}

// lookahead is the time for which a router keeps tokens for its own demand when it
// lends, and for which it borrows beyond the request at hand: some hundreds of round
// trips, so that few requests wait for a loan.
const lookahead = time.Second

// BorrowAmount returns how many tokens of team to borrow at now, so that a request for
// tokens and those of the next moments can be served. It is zero if none are
// lacking.
func (b *Balance) BorrowAmount(team string, tokens int64, now time.Time) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(team)
	lacking := tokens - a.usable(b.accrual(), b.activeAt())
	if lacking <= 0 {
		return 0
	}
	return lacking + b.policy.Mean(a.demand, lookahead, now)
}

// Lend returns how many of the tokens asked for another router may use from now
// on in place of this one. They count as spent here.
func (b *Balance) Lend(team string, tokens int64, now time.Time) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.teams[team]
	if a == nil || b.returning {
		return 0
	}
	lent := min(tokens, a.lendable(b.accrual(), b.activeAt())-b.policy.Mean(a.demand, lookahead, now))
	if lent <= 0 {
		return 0
	}
	a.spent += lent
	return lent
}

// AddBorrowed takes tokens of team that another router has lent.
func (b *Balance) AddBorrowed(team string, tokens int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.account(team).borrowed += max(0, tokens)
}

// Where a router holds less than it wants, its limit covers a part of that only: one in
// activePart, but leastActive of the demand, the time between two reports. The end of a
// budget would otherwise be active everywhere, and be lost when all hosts lose their
// power. More becomes active as soon as the core is silent.
const (
	activePart  = 6
	leastActive = 250 * time.Millisecond
)

// Report is what a router tells the core at one time.
type Report struct {
	Teams []*kcwpb.AllowanceReport
	// At and Uptime are when the report was made, Accrual when the router's tokens
	// become active if the core stays silent.
	At      time.Time
	Uptime  time.Duration
	Accrual kcwaccrual.Accrual
}

// Report returns what to tell the core, of each team with tokens or demand, and
// takes off the tokens that are returned.
func (b *Balance) Report(now time.Time) Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	report := Report{At: now, Uptime: b.cfg.Uptime(), Accrual: b.accrual()}
	for team, a := range b.teams {
		report.Teams = append(report.Teams, b.reportTeam(team, a, now))
	}
	return report
}

func (b *Balance) reportTeam(team string, a *account, now time.Time) *kcwpb.AllowanceReport {
	want := b.policy.Need(a.demand, b.cfg.Grant.Endurance, now)
	active := b.policy.Mean(a.demand, b.cfg.Active, now)
	if !a.heardAt.IsZero() {
		active = min(active, max(b.policy.Mean(a.demand, leastActive, now), a.free()/activePart))
	}
	if b.returning {
		want, active = 0, 0
	}
	// Hysteresis of a quarter keeps a steady demand from moving tokens each time.
	const slack = 4
	if share := min(want, a.share); b.returning || a.free() > share+share/slack {
		a.returned += max(0, a.free()-share)
	}
	r := &kcwpb.AllowanceReport{
		Team: team, Returned: a.returned, Spent: a.spent, Reserved: a.ownReserved(), Want: want,
		Least: a.shortage, Needed: a.needed, Limit: a.spent + a.ownReserved() + max(active, a.needed),
	}
	// A lower limit is in force before the core knows it, a higher one after.
	a.limit = min(a.limit, r.GetLimit())
	a.shortage, a.needed = 0, 0
	return r
}

// Stop makes the next reports give everything back.
func (b *Balance) Stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.returning = true
}

// ApplyAllowances takes the core's answer to report, which must be the last one made.
func (b *Balance) ApplyAllowances(report Report, allowances []*kcwpb.Allowance) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.activation = max(b.activation, report.Uptime+b.cfg.ActivateAfter)
	for _, r := range report.Teams {
		a := b.account(r.GetTeam())
		a.limit = r.GetLimit()
	}
	for _, heard := range allowances {
		a := b.account(heard.GetTeam())
		a.granted = max(a.granted, heard.GetGranted())
		if report.At.Before(a.heardAt) {
			continue
		}
		a.available, a.unspent, a.share = heard.GetAvailable(), heard.GetUnspent(), heard.GetShare()
		a.heardAt = report.At
	}
}

// Team is the state of one team's tokens, for dumps.
type Team struct {
	Name                                      string
	Granted, Returned, Spent, Reserved, Limit int64
	Borrowed                                  int64
	Available, Unspent, Share                 int64
	HeardAt                                   time.Time
}

// Teams returns the state of all teams.
func (b *Balance) Teams() []Team {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]Team, 0, len(b.teams))
	for name, a := range b.teams {
		list = append(list, Team{
			Name: name, Granted: a.granted, Returned: a.returned, Spent: a.spent, Reserved: a.reserved, Limit: a.limit, Borrowed: a.borrowed,
			Available: a.available, Unspent: a.unspent, Share: a.share, HeardAt: a.heardAt,
		})
	}
	return list
}
