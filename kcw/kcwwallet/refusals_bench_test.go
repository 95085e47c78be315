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

// tokenSource selects where requests get their tokens: from the ledger (quorum),
// from grants only (escrow), or from the ledger with grants as the fallback (both).
type tokenSource string

const (
	quorum tokenSource = "A-quorum"
	escrow tokenSource = "B-escrow"
	both   tokenSource = "C-both"
)

// escrowLink passes only the first opening on to the ledger, so that the others use
// grants.
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

// run is a request that runs at a router until a given time.
type run struct {
	router int
	claim  *kcwpb.SettleClaim
	tokens int64
	until  time.Time
}

// simulation is a fleet of ten routers under skewed demand.
type simulation struct {
	source  tokenSource
	world   *world
	routers []*router
	random  *rand.Rand
	runs    []run
	// stopped is the router that is stopped, nil if none is, and lost holds the runs
	// that were lost with it and not started again.
	stopped         *router
	lost            []run
	number          int
	requestCount    int
	refused         int
	falseRefusals   int
	falseRepeatable int
	overspent       int64
}

const (
	routerCount = 10
	// requestsPerSecond is the request rate of the whole fleet.
	requestsPerSecond = 20
	// maxReservation is the largest reservation in tokens.
	maxReservation = 200
)

func newSimulation(b *testing.B, source tokenSource, prepaid int64, policy kcwgrant.Config) *simulation {
	s := &simulation{source: source, world: newWorld(b, prepaid), random: rand.New(rand.NewPCG(seed, 1))}
	s.world.fast = true
	for i := range routerCount {
		r := &router{world: s.world, name: fmt.Sprint("r-", i), policy: policy, link: &link{world: s.world}}
		if source != quorum {
			r.folder = b.TempDir()
		}
		r.start()
		s.routers = append(s.routers, r)
	}
	return s
}

// runSecond simulates one second: new requests, settlements and reconciliation.
func (s *simulation) runSecond() {
	for range requestsPerSecond {
		s.request()
	}
	s.world.advance(time.Second)
	var running []run
	for _, r := range s.runs {
		if r.until.After(s.world.now) {
			running = append(running, r)
			continue
		}
		_, _ = s.routers[r.router].settle(r.claim, ran, r.tokens)
	}
	s.runs = running
	for _, r := range s.routers {
		if r != s.stopped {
			r.reconcile()
		}
	}
	b := s.world.book.Budget(customer)
	s.overspent = max(s.overspent, b.GetBilled()-b.GetPrepaid())
}

// request has one router open a request. The router is drawn by Zipf weights.
func (s *simulation) request() {
	i := s.pick()
	s.number++
	s.requestCount++
	tokens := 20 + s.random.Int64N(maxReservation-20)
	used := tokens * (30 + s.random.Int64N(70)) / 100
	repeatable := s.random.IntN(10) > 0
	request := fmt.Sprint("q-", s.number)
	claim, ok := s.open(i, request, tokens, repeatable)
	if ok {
		until := s.world.now.Add(time.Duration(s.random.IntN(5)) * time.Second)
		s.runs = append(s.runs, run{router: i, claim: claim, tokens: used, until: until})
		return
	}
	s.refused++
	// The refusal is false if tokens that are neither spent nor held, granted ones
	// included, would have covered the request.
	b := s.world.book.Budget(customer)
	spent := b.GetBilled() + b.GetReserved() + s.unreportedTokens()
	if b.GetPrepaid()-spent >= tokens {
		s.falseRefusals++
		if repeatable {
			s.falseRepeatable++
		}
	}
}

// unreportedTokens returns an upper bound of the tokens that requests use on grants
// without a claim in the ledger.
func (s *simulation) unreportedTokens() int64 {
	var sum int64
	for _, r := range slices.Concat(s.lost, s.runs) {
		if s.world.book.Claim(customer, r.claim.GetRequest()) == nil {
			sum += r.tokens
		}
	}
	return sum
}

// pick draws a router that is not stopped.
func (s *simulation) pick() int {
	i := s.draw()
	for s.routers[i] == s.stopped {
		i = s.draw()
	}
	return i
}

func (s *simulation) draw() int {
	var total float64
	for i := range routerCount {
		total += 1 / float64(i+1)
	}
	at := s.random.Float64() * total
	for i := range routerCount {
		if at -= 1 / float64(i+1); at < 0 {
			return i
		}
	}
	return routerCount - 1
}

// open opens a request at router i. If requests use grants only, a router that
// lacks tokens draws some and retries once.
func (s *simulation) open(i int, request string, tokens int64, repeatable bool) (*kcwpb.SettleClaim, bool) {
	r := s.routers[i]
	claim, result, err := r.open(request, tokens, repeatable)
	if err == nil {
		return claim, result.GetCode() == codeOK
	}
	_, _ = r.settle(claim, notRun, 0)
	if s.source != escrow {
		return nil, false
	}
	r.reconcile()
	claim, result, err = r.open(request, tokens, repeatable)
	if err != nil {
		_, _ = r.settle(claim, notRun, 0)
	}
	return claim, err == nil && result.GetCode() == codeOK
}

// report reports the shares of the requests that were refused, and the overspend.
func (s *simulation) report(b *testing.B) {
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(100*float64(s.falseRefusals)/float64(s.requestCount), "%false")
	b.ReportMetric(100*float64(s.falseRepeatable)/float64(s.requestCount), "%false-repeatable")
	b.ReportMetric(float64(s.requestCount), "asked")
	b.ReportMetric(float64(s.refused), "refused")
	b.ReportMetric(float64(max(0, s.overspent)), "overspent")
	if err := s.world.book.Check(); err != nil {
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

// BenchmarkRefusals reports overspend and false refusals by deployment, scenario
// and token source. The scenarios are the exhaustion of a budget that covers five
// minutes of demand, ten minutes in which half of the routers can't reach the
// ledger, and ten minutes after the loss of the busiest router, the latter two with
// a large budget and with one that is exhausted meanwhile, and ten minutes with ten
// leader changes.
func BenchmarkRefusals(b *testing.B) {
	const large, ending = 40_000_000, 700_000
	for _, deployment := range deployments {
		for _, w := range []tokenSource{quorum, escrow, both} {
			for _, test := range []struct {
				name    string
				prepaid int64
				run     func(*simulation, *testing.B)
			}{
				{"exhaustion", 430_000, func(s *simulation, _ *testing.B) { s.cutHalf(360, 0) }},
				{"cut", large, func(s *simulation, _ *testing.B) { s.cutHalf(300, 600) }},
				{"cut-and-exhaustion", ending, func(s *simulation, _ *testing.B) { s.cutHalf(300, 600) }},
				{"death", large, (*simulation).routerLoss},
				{"death-and-exhaustion", ending, (*simulation).routerLoss},
				{"leader-change", large, (*simulation).leaderChanges},
			} {
				b.Run(fmt.Sprintf("%s/%s/%s", deployment.name, test.name, w), func(b *testing.B) {
					for range b.N {
						s := newSimulation(b, w, test.prepaid, deployment.policy)
						test.run(s, b)
						s.report(b)
					}
				})
			}
		}
	}
}

// cutHalf simulates after seconds. If cutFor is not zero, it then cuts half of the
// routers off from the ledger for cutFor seconds and counts only these.
func (s *simulation) cutHalf(after, cutFor int) {
	s.useGrantsOnly()
	for range after {
		s.runSecond()
	}
	if cutFor == 0 {
		return
	}
	s.resetCounts()
	for i := range routerCount {
		s.routers[i].link.cut = i%2 == 0
	}
	for range cutFor {
		s.runSecond()
	}
}

// resetCounts sets the counts of requests to zero.
func (s *simulation) resetCounts() {
	s.requestCount, s.refused, s.falseRefusals, s.falseRepeatable = 0, 0, 0, 0
}

// useGrantsOnly restarts the routers with openings on grants only, if the token
// source is escrow.
func (s *simulation) useGrantsOnly() {
	if s.source != escrow {
		return
	}
	for _, r := range s.routers {
		r.grantsOnly = true
		r.start()
	}
}
