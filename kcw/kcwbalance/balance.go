// Package kcwbalance holds the prepaid tokens that one router may use: what each
// team's requests reserve and use of them, how many to ask the core for and how
// many to give back. It answers a router that is cut off, which lives on what it
// holds, and budgets that run out, where what is held idle is missing elsewhere.
// It does no I/O and takes the clock as an argument.
package kcwbalance

import (
	"sync"
	"time"

	"kingcupwick.example/kcw/kcwgrant"
	"kingcupwick.example/kcw/kcwpb"
)

// Config configures a Balance.
type Config struct {
	// Grant is the policy of what to hold; its Divisor is replaced by the
	// number of routers.
	Grant kcwgrant.Config
	// Fresh is how old the core's word on a budget may be to refuse a request
	// for good.
	Fresh time.Duration
}

// Verdict says whether a request may use a team's tokens.
type Verdict int

// Verdicts.
const (
	// Reserved means that the tokens are reserved.
	Reserved Verdict = iota + 1
	// Missing means that the router holds too few tokens; the core may grant
	// more.
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
	granted, returned, spent, reserved int64
	demand                             kcwgrant.Demand
	// available, unspent and scarce are the core's word, as of heardAt.
	available, unspent int64
	scarce             bool
	heardAt            time.Time
	// shortage is the largest request that lacked tokens since the last report.
	shortage int64
}

func (a *account) free() int64 { return a.granted - a.returned - a.spent - a.reserved }

// Balance is a router's tokens. It is safe for concurrent use.
type Balance struct {
	cfg Config

	mu      sync.Mutex
	policy  *kcwgrant.Policy
	routers int64
	teams   map[string]*account
}

// New returns a Balance without tokens.
func New(cfg Config) *Balance {
	b := &Balance{cfg: cfg, teams: map[string]*account{}}
	b.setRouters(1)
	return b
}

func (b *Balance) setRouters(n int64) {
	if n < 1 || n == b.routers {
		return
	}
	b.routers = n
	cfg := b.cfg.Grant
	cfg.Divisor = n
	b.policy = kcwgrant.New(cfg)
}

func (b *Balance) account(team string) *account {
	a := b.teams[team]
	if a == nil {
		a = &account{}
		b.teams[team] = a
	}
	return a
}

// Demand notes a new request for tokens of team.
func (b *Balance) Demand(team string, tokens int64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(team)
	a.demand = b.policy.Add(a.demand, tokens, now)
}

// Reserve reserves tokens of team for one request, if the router holds them.
func (b *Balance) Reserve(team string, tokens int64, now time.Time) Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(team)
	if tokens <= a.free() {
		a.reserved += tokens
		return Reserved
	}
	a.shortage = max(a.shortage, tokens)
	fresh := !a.heardAt.IsZero() && now.Sub(a.heardAt) <= b.cfg.Fresh
	own := a.free()
	switch {
	case fresh && a.unspent-a.reserved < tokens:
		return Exhausted
	case fresh && a.available+own < tokens:
		return Held
	}
	return Missing
}

// Settle ends the reservation of tokens, of which used were used.
func (b *Balance) Settle(team string, tokens, used int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(team)
	a.reserved -= tokens
	a.spent += min(max(used, 0), tokens)
}

// Reports returns what to tell the core, one report for each team with tokens or
// demand, and takes off the tokens that the reports return.
func (b *Balance) Reports(now time.Time) []*kcwpb.AllowanceReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	var reports []*kcwpb.AllowanceReport
	for team, a := range b.teams {
		free := a.free()
		change := b.policy.Plan(kcwgrant.Holding{
			Free: free, Available: a.available, Demand: a.demand, Recalled: a.scarce,
		}, now)
		if a.shortage > 0 {
			change = max(change, a.shortage-free)
		}
		if change < 0 {
			a.returned += min(-change, free)
		}
		report := &kcwpb.AllowanceReport{
			Team: team, Returned: a.returned, Spent: a.spent,
			Want: a.reserved + free + change,
		}
		if a.shortage > 0 {
			report.Least = a.reserved + a.shortage
		}
		a.shortage = 0
		reports = append(reports, report)
	}
	return reports
}

// Return takes all free tokens off, so that the next reports give them back.
func (b *Balance) Return() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, a := range b.teams {
		a.returned += max(0, a.free())
		a.demand = kcwgrant.Demand{}
		a.shortage = 0
	}
}

// Heard takes the core's answer to reports that were made at asked, and the
// number of routers heard lately.
func (b *Balance) Heard(allowances []*kcwpb.Allowance, routers int, asked time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setRouters(int64(routers))
	for _, heard := range allowances {
		a := b.account(heard.GetTeam())
		a.granted = max(a.granted, heard.GetGranted())
		if asked.Before(a.heardAt) {
			continue
		}
		a.available, a.unspent, a.scarce = heard.GetAvailable(), heard.GetUnspent(), heard.GetScarce()
		a.heardAt = asked
	}
}

// Team is the state of one team's tokens, for dumps.
type Team struct {
	Name                               string
	Granted, Returned, Spent, Reserved int64
	Available, Unspent                 int64
	HeardAt                            time.Time
}

// Teams returns the state of all teams.
func (b *Balance) Teams() []Team {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]Team, 0, len(b.teams))
	for name, a := range b.teams {
		list = append(list, Team{
			Name: name, Granted: a.granted, Returned: a.returned, Spent: a.spent, Reserved: a.reserved,
			Available: a.available, Unspent: a.unspent, HeardAt: a.heardAt,
		})
	}
	return list
}
