package kcwwallet_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwgrant"
	"kingcupwick.example/kcw/kcwpb"
)

// way is how requests get their tokens.
type way string

const (
	quorum way = "A-quorum"
	escrow way = "B-escrow"
	both   way = "C-both"
)

// escrowLink hides openings from the ledger, so that all are out of grants.
type escrowLink struct {
	*link
	opened bool
}

func (l *escrowLink) Submit(ctx context.Context, cmd *kcwpb.Command) (*kcwpb.Result, error) {
	if cmd.GetOpenClaim() != nil && l.opened {
		return nil, errSilent
	}
	l.opened = l.opened || cmd.GetOpenClaim() != nil
	return l.link.Submit(ctx, cmd)
}

// run is one request at work until a time.
type run struct {
	router int
	claim  *kcwpb.SettleClaim
	tokens int64
	until  time.Time
}

// drill is ten routers under skewed demand.
type drill struct {
	way     way
	world   *world
	routers []*router
	random  *rand.Rand
	runs    []run
	// dead is the router that died, nil if none did, and lost holds the runs that
	// died with it and were not run again.
	dead     *router
	lost     []run
	number   int
	asked    int
	refused  int
	falsely  int
	ontime   int
	overflow int64
}

const (
	drillRouters = 10
	// drillRate is the requests a second of the whole fleet.
	drillRate = 20
	// drillMost is the largest reservation in tokens.
	drillMost = 200
)

func newDrill(b *testing.B, w way, prepaid int64, policy kcwgrant.Config) *drill {
	d := &drill{way: w, world: newWorld(b, prepaid), random: rand.New(rand.NewPCG(seed, 1))}
	d.world.fast = true
	for i := range drillRouters {
		r := &router{world: d.world, name: fmt.Sprint("r-", i), policy: policy, link: &link{world: d.world}}
		if w != quorum {
			r.folder = b.TempDir()
		}
		r.start()
		d.routers = append(d.routers, r)
	}
	return d
}

// second passes one second: demand, settling, and the routers' tending.
func (d *drill) second() {
	for range drillRate {
		d.request()
	}
	d.world.pass(time.Second)
	var left []run
	for _, r := range d.runs {
		if r.until.After(d.world.now) {
			left = append(left, r)
			continue
		}
		_, _ = d.routers[r.router].settle(r.claim, ran, r.tokens)
	}
	d.runs = left
	for _, r := range d.routers {
		if r != d.dead {
			r.tend()
		}
	}
	b := d.world.book.Budget(customer)
	d.overflow = max(d.overflow, b.GetBilled()-b.GetPrepaid())
}

// request has one router open a request. Routers are drawn with Zipf weights.
func (d *drill) request() {
	i := d.pick()
	d.number++
	d.asked++
	tokens := 20 + d.random.Int64N(drillMost-20)
	used := tokens * (30 + d.random.Int64N(70)) / 100
	repeatable := d.random.IntN(10) > 0
	request := fmt.Sprint("q-", d.number)
	claim, ok := d.open(i, request, tokens, repeatable)
	if ok {
		until := d.world.now.Add(time.Duration(d.random.IntN(5)) * time.Second)
		d.runs = append(d.runs, run{router: i, claim: claim, tokens: used, until: until})
		return
	}
	d.refused++
	// Granted tokens that nobody spent or holds could still serve the request.
	b := d.world.book.Budget(customer)
	spent := b.GetBilled() + b.GetReserved() + d.away()
	if b.GetPrepaid()-spent >= tokens {
		d.falsely++
		if repeatable {
			d.ontime++
		}
	}
}

// away returns the tokens that run out of grants or were billed out of them
// away from the ledger, at most.
func (d *drill) away() int64 {
	var sum int64
	for _, r := range slices.Concat(d.lost, d.runs) {
		if d.world.book.Claim(customer, r.claim.GetRequest()) == nil {
			sum += r.tokens
		}
	}
	return sum
}

// pick draws a router, another one in place of a dead one.
func (d *drill) pick() int {
	i := d.draw()
	for d.routers[i] == d.dead {
		i = d.draw()
	}
	return i
}

func (d *drill) draw() int {
	var total float64
	for i := range drillRouters {
		total += 1 / float64(i+1)
	}
	at := d.random.Float64() * total
	for i := range drillRouters {
		if at -= 1 / float64(i+1); at < 0 {
			return i
		}
	}
	return drillRouters - 1
}

// open opens a request at router i. Out of grants alone, a router that lacks
// tokens draws and tries once more.
func (d *drill) open(i int, request string, tokens int64, repeatable bool) (*kcwpb.SettleClaim, bool) {
	r := d.routers[i]
	claim, result, err := r.open(request, tokens, repeatable)
	if err == nil {
		return claim, result.GetCode() == codeOK
	}
	_, _ = r.settle(claim, notRun, 0)
	if d.way != escrow {
		return nil, false
	}
	r.tend()
	claim, result, err = r.open(request, tokens, repeatable)
	if err != nil {
		_, _ = r.settle(claim, notRun, 0)
	}
	return claim, err == nil && result.GetCode() == codeOK
}

// report reports the shares of the requests that were refused.
func (d *drill) report(b *testing.B) {
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(100*float64(d.falsely)/float64(d.asked), "%false")
	b.ReportMetric(100*float64(d.ontime)/float64(d.asked), "%false-repeatable")
	b.ReportMetric(float64(d.asked), "asked")
	b.ReportMetric(float64(d.refused), "refused")
	b.ReportMetric(float64(max(0, d.overflow)), "overspent")
	if err := d.world.book.Check(); err != nil {
		b.Fatal(err)
	}
}

// deployments are the settings of the two deployments.
var deployments = []struct {
	name   string
	policy kcwgrant.Config
}{
	{"Kviitung", kcwgrant.Config{Endurance: 10 * time.Minute, Divisor: 40, IdleAfter: 2 * time.Minute}},
	{"GranitePew", kcwgrant.Config{Endurance: 15 * time.Minute, Divisor: 12, IdleAfter: 30 * time.Minute}},
}

// BenchmarkRefusals reports overspend and false refusals by way and deployment:
// until a budget of five minutes of demand is exhausted, through ten minutes in
// which half of the routers are cut off, and through the same with a budget that
// ends meanwhile; through ten minutes after the death of the busiest router, with
// both budgets, and through ten minutes with as many leader changes.
func BenchmarkRefusals(b *testing.B) {
	const large, ending = 40_000_000, 700_000
	for _, deployment := range deployments {
		for _, w := range []way{quorum, escrow, both} {
			for _, test := range []struct {
				name    string
				prepaid int64
				run     func(*drill, *testing.B)
			}{
				{"exhaustion", 430_000, func(d *drill, _ *testing.B) { d.cutHalf(360, 0) }},
				{"cut", large, func(d *drill, _ *testing.B) { d.cutHalf(300, 600) }},
				{"cut-and-exhaustion", ending, func(d *drill, _ *testing.B) { d.cutHalf(300, 600) }},
				{"death", large, (*drill).death},
				{"death-and-exhaustion", ending, (*drill).death},
				{"leader-change", large, (*drill).leaderChanges},
			} {
				b.Run(fmt.Sprintf("%s/%s/%s", deployment.name, test.name, w), func(b *testing.B) {
					for range b.N {
						d := newDrill(b, w, test.prepaid, deployment.policy)
						test.run(d, b)
						d.report(b)
					}
				})
			}
		}
	}
}

// cutHalf runs for after seconds, and then, if cutFor is not zero, cuts half of
// the routers off for so many seconds and counts only these.
func (d *drill) cutHalf(after, cutFor int) {
	d.hide()
	for range after {
		d.second()
	}
	if cutFor == 0 {
		return
	}
	d.count()
	for i := range drillRouters {
		d.routers[i].link.cut = i%2 == 0
	}
	for range cutFor {
		d.second()
	}
}

// count starts the counts anew.
func (d *drill) count() { d.asked, d.refused, d.falsely, d.ontime = 0, 0, 0, 0 }

// hide hides openings from the ledger if all are to be out of grants.
func (d *drill) hide() {
	if d.way != escrow {
		return
	}
	for _, r := range d.routers {
		r.hidden = true
		r.start()
	}
}
