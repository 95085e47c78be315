package kcwbalance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"kingcupwick.example/kcw/kcwallowance"
	"kingcupwick.example/kcw/kcwbalance"
	"kingcupwick.example/kcw/kcwpb"
)

func TestLend(t *testing.T) {
	for _, test := range []struct {
		name string
		// held and reserved count the lender's tokens and those reserved by its own
		// requests. demand is the number of tokens requested from it per second.
		held, reserved, demand int64
		// inactive leaves the tokens beyond the limit inactive.
		inactive               bool
		requested, least, most int64
	}{
		{"the whole amount", 500, 0, 0, false, 300, 300, 300},
		{"the free tokens", 500, 300, 0, false, 300, 200, 200},
		{"all but the lender's expected demand", 500, 0, 100, false, 500, 380, 420},
		{"less free than the lender's expected demand", 500, 450, 100, false, 100, 0, 0},
		{"no tokens beyond the limit while inactive", 500, 0, 0, true, 300, 0, 0},
		{"nothing requested", 500, 0, 0, false, 0, 0, 0},
	} {
		h := &host{}
		b := newBalance(h)
		for second := range 30 {
			b.RecordDemand("a", test.demand, start.Add(time.Duration(second-30)*time.Second))
		}
		exchange(b, test.held, 0, 1000, test.held)
		if !test.inactive {
			h.up += time.Minute
		}
		if test.reserved > 0 && b.Reserve("a", test.reserved, start) != kcwbalance.Reserved {
			t.Fatalf("%s: not reserved", test.name)
		}
		if got := b.Lend("a", test.requested, start); got < test.least || got > test.most {
			t.Errorf("%s: lent %d, want %d to %d", test.name, got, test.least, test.most)
		}
	}
	if got := newBalance(&host{}).Lend("unknown", 10, start); got != 0 {
		t.Errorf("lent %d tokens of an unknown team", got)
	}
}

// TestBorrowed checks that borrowed tokens are used before the router's own, also while
// its own are not active, and that they are not reported to the core.
func TestBorrowed(t *testing.T) {
	b := newBalance(&host{})
	exchange(b, 100, 0, 1000, 100)
	if got := b.BorrowAmount("a", 150, start); got != 150 {
		t.Errorf("%d tokens are lacking, want 150", got)
	}
	b.AddBorrowed("a", 150)
	if got := b.BorrowAmount("a", 150, start); got != 0 {
		t.Errorf("%d tokens are lacking after the loan", got)
	}
	if got := b.Reserve("a", 150, start); got != kcwbalance.Reserved {
		t.Fatalf("reserving borrowed tokens: %v", got)
	}
	if r := b.Report(start).Teams[0]; r.GetReserved() != 0 || r.GetSpent() != 0 {
		t.Errorf("borrowed tokens are reported: %v", r)
	}
	b.Settle("a", 150, 120)
	if r := b.Report(start).Teams[0]; r.GetReserved() != 0 || r.GetSpent() != 0 {
		t.Errorf("borrowed tokens are reported after their use: %v", r)
	}
	// 30 tokens of the loan remain.
	if got := b.Reserve("a", 30, start); got != kcwbalance.Reserved {
		t.Errorf("reserving the rest of a loan: %v", got)
	}
	b.Settle("a", 30, 0)
	h := &host{}
	b = newBalance(h)
	exchange(b, 100, 0, 1000, 100)
	h.up += time.Minute
	b.AddBorrowed("a", 30)
	if got := b.Reserve("a", 120, start); got != kcwbalance.Reserved {
		t.Fatalf("reserving own and borrowed tokens together: %v", got)
	}
	if r := b.Report(start).Teams[0]; r.GetReserved() != 90 {
		t.Errorf("%d own tokens reserved, want 90", r.GetReserved())
	}
	b.Settle("a", 120, 120)
	if r := b.Report(start).Teams[0]; r.GetSpent() != 90 {
		t.Errorf("%d own tokens spent, want 90", r.GetSpent())
	}
}

// router simulates a router with the clock of its host. Reserved lists the reservations
// of its running requests.
type router struct {
	name        string
	host        *host
	balance     *kcwbalance.Balance
	incarnation uint64
	serial      uint64
	started     time.Duration
	reserved    []int64
}

func (r *router) start(uptime time.Duration) {
	r.incarnation++
	r.serial = 0
	r.host = &host{up: uptime}
	r.started = uptime
	r.balance = newBalance(r.host)
	r.reserved = nil
}

// command returns a report and the command that carries it to the core.
func (r *router) command(now time.Time) (*kcwpb.FleetCommand, kcwbalance.Report) {
	report := r.balance.Report(now)
	r.serial++
	return &kcwpb.FleetCommand{Op: &kcwpb.FleetCommand_SyncAllowances{SyncAllowances: &kcwpb.SyncAllowances{
		Router: r.name, Incarnation: r.incarnation, Serial: r.serial, Reports: report.Teams,
		Boot: "b", Started: int64(r.started), Reported: int64(report.Uptime),
		Activation: int64(report.Accrual.End), Span: int64(report.Accrual.End - report.Accrual.Start),
	}}}, report
}

// TestNeverOverspentWithLoans runs random histories of routers that serve, lend, borrow,
// restart after being killed, and lose messages to the core and to each other. It checks
// after each step that the tokens used and reserved don't exceed the prepaid tokens.
func TestNeverOverspentWithLoans(t *testing.T) {
	const prepaid, steps, seeds = 5_000, 2000, 200
	loans, killed, served := 0, 0, 0
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 7))
		table := kcwallowance.New()
		apply := func(command *kcwpb.FleetCommand) *kcwpb.FleetResult {
			data, err := proto.Marshal(command)
			if err != nil {
				t.Fatal(err)
			}
			result := &kcwpb.FleetResult{}
			if err := proto.Unmarshal(table.Apply(0, data), result); err != nil {
				t.Fatal(err)
			}
			return result
		}
		apply(&kcwpb.FleetCommand{Op: &kcwpb.FleetCommand_PutDocument{PutDocument: &kcwpb.PutDocument{
			Version: 1, Budgets: []*kcwpb.TeamBudget{{Team: "a", Prepaid: prepaid}},
		}}})
		routers := make([]*router, 4)
		for i := range routers {
			routers[i] = &router{name: string(rune('w' + i))}
			routers[i].start(time.Hour)
		}
		now, used, isCut := start, int64(0), false
		for step := range steps {
			elapsed := time.Duration(random.Int64N(int64(200 * time.Millisecond)))
			now = now.Add(elapsed)
			for _, r := range routers {
				r.host.up += elapsed
			}
			r := routers[random.IntN(len(routers))]
			switch action := random.IntN(20); {
			case action == 0:
				isCut = random.IntN(2) == 0
			case action == 1 && random.IntN(4) == 0:
				// Requests with reserved tokens may have run.
				for _, tokens := range r.reserved {
					used += tokens
				}
				killed++
				r.start(r.host.up + time.Duration(random.Int64N(int64(4*time.Second))))
			case action < 8:
				tokens := 20 + random.Int64N(200)
				r.balance.RecordDemand("a", tokens, now)
				if r.balance.Reserve("a", tokens, now) == kcwbalance.Reserved {
					r.reserved = append(r.reserved, tokens)
				}
			case action < 12 && len(r.reserved) > 0:
				tokens := r.reserved[0]
				r.reserved = r.reserved[1:]
				spent := random.Int64N(tokens + 1)
				r.balance.Settle("a", tokens, spent)
				used += spent
				served++
			case action < 15 && isCut:
				lender := routers[random.IntN(len(routers))]
				amount := r.balance.BorrowAmount("a", 200, now)
				if lender == r || amount == 0 {
					break
				}
				if lent := lender.balance.Lend("a", amount, now); lent > 0 && random.IntN(5) > 0 {
					r.balance.AddBorrowed("a", lent)
					loans++
				}
			case !isCut:
				command, report := r.command(now)
				if random.IntN(5) == 0 {
					break
				}
				if result := apply(command); random.IntN(5) > 0 && result.GetCode() == kcwpb.Code_CODE_OK {
					r.balance.ApplyAllowances(report, result.GetAllowances())
				}
			}
			running := int64(0)
			for _, r := range routers {
				for _, tokens := range r.reserved {
					running += tokens
				}
			}
			if used+running > prepaid {
				t.Fatalf("seed %d, step %d: %d tokens used and %d reserved of %d", seed, step, used, running, prepaid)
			}
		}
	}
	if loans < seeds || killed < seeds || served < 10*seeds {
		t.Errorf("only %d loans, %d restarts and %d served requests", loans, killed, served)
	}
}
