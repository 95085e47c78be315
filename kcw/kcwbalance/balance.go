// Package kcwbalance tracks the prepaid tokens that one router may use: how many the
// requests of each team reserve and use, how many to request from the core and how
// many to return. With tokens of its own a router serves requests while it is cut off
// from the core. The number it holds is limited, because tokens that idle at one router
// are missing at the others when a budget runs out.
//
// Only a part of the tokens held is active, which means that it may be used: up to a
// limit that the router has reported. The rest becomes active in proportion to the
// time for which the core has not answered. If the router is lost, tokens that had not
// become active can return to the team. This time is measured by the host's uptime,
// suspension included, which a process shares with its successor.
//
// Routers that are cut off from the core lend tokens to each other. The lender counts
// them as spent, so that tokens are used at most once even if a router or a message is
// lost. The borrower uses them before its own, and doesn't report them.
//
// A Balance does no I/O and receives the clock through arguments and Config.
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
	// Grant configures how many tokens to hold.
	Grant kcwgrant.Config
	// Active is the time of expected demand that the active tokens should cover.
	Active time.Duration
	// ActivateAfter is the time without an answer from the core after which all tokens
	// are active. They become active in proportion to that time.
	ActivateAfter time.Duration
	// Fresh is the largest age of the core's state of a budget at which a request may be
	// refused as Held or Exhausted.
	Fresh time.Duration
	// Uptime returns the time since the host's boot, suspension included.
	Uptime func() time.Duration
	// Horizon returns the uptime after which no more tokens become active. If nil, there
	// is no such bound.
	Horizon func() time.Duration
	// OnShort is called when demand has risen so fast that the usable tokens will probably not
	// last until the next report, and the core has more. It is called at most once between two
	// reports, with the balance locked, and must not block. It is optional.
	OnShort func()
}

// Verdict is the outcome of reserving tokens for a request.
type Verdict int

// Verdicts.
const (
	// Reserved means that the tokens are reserved.
	Reserved Verdict = iota + 1
	// Missing means that the router has too few usable tokens; the core may grant
	// or activate more.
	Missing
	// Held means that other routers hold the tokens and may return them.
	Held
	// Exhausted means that the budget doesn't cover the request.
	Exhausted
)

// String returns the verdict's name for logs.
func (v Verdict) String() string {
	return [...]string{Reserved: "Reserved", Missing: "Missing", Held: "Held", Exhausted: "Exhausted"}[v]
}

// account holds the tokens of one team. Granted, returned and spent never decrease.
type account struct {
	granted, returned, spent int64
	// borrowed counts the tokens borrowed from other routers and not yet used.
	borrowed int64
	// reserved counts the tokens reserved by running requests, borrowed ones first.
	reserved int64
	// limit bounds the sum of spent and own reserved tokens, before time without an answer
	// from the core has made more tokens active.
	limit int64
	// demand is averaged over Grant.Memory, and recent over recentMemory.
	demand, recent kcwgrant.Demand
	// available, unspent and share are the core's state of the budget at the time asOf.
	available, unspent, share int64
	asOf                      time.Time
	// largestNeeded is the size of the largest request that lacked tokens since the last
	// report, needed the sum over all such requests.
	largestNeeded, needed int64
}

// ownReserved returns the reserved tokens that are not borrowed.
func (a *account) ownReserved() int64 { return max(0, a.reserved-a.borrowed) }

// free returns the router's own tokens that are neither spent nor reserved.
func (a *account) free() int64 { return a.granted - a.returned - a.spent - a.ownReserved() }

// lendable returns the router's own free tokens that are active at uptime now.
func (a *account) lendable(accrual kcwaccrual.Accrual, now time.Duration) int64 {
	return max(0, accrual.Usable(a.limit, a.granted-a.returned, now)-a.spent-a.ownReserved())
}

// usable returns the free tokens that the router may use at uptime now, including
// borrowed ones.
func (a *account) usable(accrual kcwaccrual.Accrual, now time.Duration) int64 {
	return a.lendable(accrual, now) + max(0, a.borrowed-a.reserved)
}

// Balance holds the tokens of a router by team. It is safe for concurrent use.
type Balance struct {
	cfg    Config
	policy *kcwgrant.Policy
	// recent computes the demand of the last moments.
	recent *kcwgrant.Policy

	mu    sync.Mutex
	teams map[string]*account
	// activation is the uptime at which all tokens are active.
	activation time.Duration
	// stopping reports whether the router is stopping and returns all tokens.
	stopping bool
	// reportedAt is when the last report was made, and period the time between the last two.
	reportedAt time.Time
	period     time.Duration
	// wasShort is set if OnShort was called since the last report.
	wasShort bool
}

// New returns a Balance without tokens.
func New(cfg Config) *Balance {
	recent := cfg.Grant
	recent.Memory = recentMemory
	return &Balance{cfg: cfg, policy: kcwgrant.New(cfg.Grant), recent: kcwgrant.New(recent), teams: map[string]*account{}, activation: cfg.Uptime() + cfg.ActivateAfter}
}

func (b *Balance) account(team string) *account {
	a := b.teams[team]
	if a == nil {
		a = &account{}
		b.teams[team] = a
	}
	return a
}

// accrualUptime returns the uptime at which to compute the active tokens: the current
// uptime, but no later than the horizon.
func (b *Balance) accrualUptime() time.Duration {
	now := b.cfg.Uptime()
	if b.cfg.Horizon == nil {
		return now
	}
	return min(now, b.cfg.Horizon())
}

// Silence returns the time since the last report that the core answered, or since New if
// there was none.
func (b *Balance) Silence() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cfg.Uptime() - b.accrual().Start
}

// accrual returns the interval in which tokens become active if the core doesn't answer.
func (b *Balance) accrual() kcwaccrual.Accrual {
	return kcwaccrual.Accrual{Start: b.activation - b.cfg.ActivateAfter, End: b.activation}
}

// RecordDemand adds a new request for tokens of team to the demand.
func (b *Balance) RecordDemand(team string, tokens int64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(team)
	a.demand = b.policy.Add(a.demand, tokens, now)
	a.recent = b.recent.Add(a.recent, tokens, now)
}

// Reserve reserves tokens of team for one request, if that many are usable. If the verdict
// is Missing, the next report requests the tokens.
func (b *Balance) Reserve(team string, tokens int64, now time.Time) Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(team)
	if tokens <= a.usable(b.accrual(), b.accrualUptime()) {
		a.reserved += tokens
		b.checkShort(a, now)
		return Reserved
	}
	fresh := !a.asOf.IsZero() && now.Sub(a.asOf) <= b.cfg.Fresh
	switch {
	case fresh && a.unspent-a.reserved < tokens:
		return Exhausted
	case fresh && a.available+a.free() < tokens:
		return Held
	}
	a.largestNeeded = max(a.largestNeeded, tokens)
	a.needed += tokens
	return Missing
}

// Budget is the last state of a team's budget received from the core: the tokens that
// no router holds (Available) and those that no router has reported as used (Unspent),
// at the time AsOf.
type Budget struct {
	Available, Unspent int64
	AsOf               time.Time
}

// Budget returns the last state of the budget of team received from the core.
func (b *Balance) Budget(team string) Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(team)
	return Budget{Available: a.available, Unspent: a.unspent, AsOf: a.asOf}
}

// Settle ends a reservation of tokens. The used tokens are taken from borrowed ones first;
// the others count as spent.
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

// lookahead is the time of expected demand for which a lender keeps tokens, and for
// which a borrower borrows beyond its current request. It is some hundreds of round
// trips, so that few requests wait for a loan.
const lookahead = time.Second

// BorrowAmount returns the number of tokens of team to borrow, so that a request of the
// given size and the demand expected within lookahead can be served. It is zero if the
// usable tokens cover the request.
func (b *Balance) BorrowAmount(team string, tokens int64, now time.Time) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(team)
	lacking := tokens - a.usable(b.accrual(), b.accrualUptime())
	if lacking <= 0 {
		return 0
	}
	return lacking + b.policy.Mean(a.demand, lookahead, now)
}

// Lend lends up to the given number of tokens of team to another router and returns
// how many it lent. They count as spent here.
func (b *Balance) Lend(team string, tokens int64, now time.Time) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.teams[team]
	if a == nil || b.stopping {
		return 0
	}
	lent := min(tokens, a.lendable(b.accrual(), b.accrualUptime())-b.policy.Mean(a.demand, lookahead, now))
	if lent <= 0 {
		return 0
	}
	a.spent += lent
	return lent
}

// AddBorrowed adds tokens of team that another router has lent.
func (b *Balance) AddBorrowed(team string, tokens int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.account(team).borrowed += max(0, tokens)
}

// The limit of a team lets its router use the tokens expected to be requested within
// Config.Active, but no more than the larger of two bounds: the free tokens divided by
// activeDivisor, and the tokens expected to be requested until the next report is answered, at
// least within minActive, which is the default time between two reports. The bounds apply once the core has answered a report.
// Without them the last tokens of a budget would be active at all routers, and be lost if
// all hosts lost power. More tokens become active when the core doesn't answer.
const (
	activeDivisor = 6
	minActive     = 250 * time.Millisecond
)

// Report is a router's report to the core.
type Report struct {
	Teams []*kcwpb.AllowanceReport
	// At and Uptime are the time of day and the uptime at which the report was made.
	// Accrual is the interval in which the router's tokens become active if the core
	// doesn't answer.
	At      time.Time
	Uptime  time.Duration
	Accrual kcwaccrual.Accrual
}

// Report returns a report on all teams with tokens or demand, and deducts the tokens
// that it returns to the core.
func (b *Balance) Report(now time.Time) Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	report := Report{At: now, Uptime: b.cfg.Uptime(), Accrual: b.accrual()}
	if !b.reportedAt.IsZero() {
		b.period = now.Sub(b.reportedAt)
	}
	b.reportedAt, b.wasShort = now, false
	for team, a := range b.teams {
		report.Teams = append(report.Teams, b.reportTeam(team, a, now))
	}
	return report
}

// reportTeam returns the report on one team. It deducts the tokens that the report returns,
// and lowers the limit if the reported one is lower.
func (b *Balance) reportTeam(team string, a *account, now time.Time) *kcwpb.AllowanceReport {
	want := b.policy.Need(a.demand, b.cfg.Grant.Endurance, now)
	active := b.policy.Mean(a.demand, b.cfg.Active, now)
	if !a.asOf.IsZero() {
		recent := b.recent.Mean(a.recent, b.cfg.Active, now)
		want, active = max(want, recent), max(active, recent)
		active = min(active, max(b.expected(a, b.cover(), now), a.free()/activeDivisor))
	}
	if b.stopping {
		want, active = 0, 0
	}
	// Tokens are returned only if they exceed the share by more than a quarter, so that
	// steady demand doesn't move tokens with each report.
	const slack = 4
	if share := min(want, a.share); b.stopping || a.free() > share+share/slack {
		a.returned += max(0, a.free()-share)
	}
	r := &kcwpb.AllowanceReport{
		Team: team, Returned: a.returned, Spent: a.spent, Reserved: a.ownReserved(), Want: want,
		Least: a.largestNeeded, Needed: a.needed, Limit: a.spent + a.ownReserved() + max(active, a.needed),
	}
	// A lower limit applies before the core receives it, a higher one only once the core
	// has answered.
	a.limit = min(a.limit, r.GetLimit())
	a.largestNeeded, a.needed = 0, 0
	return r
}

// Stop makes all later reports return all free tokens.
func (b *Balance) Stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopping = true
}

// ApplyAllowances applies the core's answer to report, which must be the last report
// made.
func (b *Balance) ApplyAllowances(report Report, allowances []*kcwpb.Allowance) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.activation = max(b.activation, report.Uptime+b.cfg.ActivateAfter)
	for _, r := range report.Teams {
		a := b.account(r.GetTeam())
		a.limit = r.GetLimit()
	}
	for _, allowance := range allowances {
		a := b.account(allowance.GetTeam())
		a.granted = max(a.granted, allowance.GetGranted())
		if report.At.Before(a.asOf) {
			continue
		}
		a.available, a.unspent, a.share = allowance.GetAvailable(), allowance.GetUnspent(), allowance.GetShare()
		a.asOf = report.At
	}
}

// Team is the state of one team's tokens, for dumps.
type Team struct {
	Name                                      string
	Granted, Returned, Spent, Reserved, Limit int64
	Borrowed                                  int64
	Available, Unspent, Share                 int64
	// HeardAt is the time of the last report that the core answered.
	HeardAt time.Time
}

// Teams returns the state of all teams.
func (b *Balance) Teams() []Team {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]Team, 0, len(b.teams))
	for name, a := range b.teams {
		list = append(list, Team{
			Name: name, Granted: a.granted, Returned: a.returned, Spent: a.spent, Reserved: a.reserved, Limit: a.limit, Borrowed: a.borrowed,
			Available: a.available, Unspent: a.unspent, Share: a.share, HeardAt: a.asOf,
		})
	}
	return list
}
