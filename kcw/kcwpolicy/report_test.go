package kcwpolicy

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwpick"
)

// contracts is the number of contracts, all of the same weight. The first
// burstingContracts of them exceed their share in some scenarios.
const (
	contracts         = 10
	burstingContracts = 2
	warmUp            = 60 * time.Second
)

// scenario describes a load and the faults under it.
type scenario struct {
	name          string
	workers       int
	routers       int
	duration      time.Duration
	rate          float64 // requests per second of each contract
	surgeFactor   float64 // factor of the rate of the bursting contracts
	surgeDuration time.Duration
	slowEngines   int // number of engines that are ten times slower
	deadEngines   int // number of engines that stop answering
	reportDelay   time.Duration
	reportLoss    float64 // fraction of the load reports that is lost
}

// fleet is one run of a scenario under a variant.
type fleet struct {
	scenario scenario
	variant  variant
	seed     uint64
	clock    *clock
	engines  []*engine
	byName   map[string]*engine
	routers  []*router

	offered, served                     [contracts]int
	outcomes                            map[string]int
	withinShare                         []time.Duration // times to first token of contracts within their share
	all                                 []time.Duration
	withinShareRefused                  int
	hits, firstTokens, sameZone         int
	firstTries, retries, herdingSamples int
	herding                             float64
}

func contractName(i int) string { return fmt.Sprintf("contract-%d", i) }

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// run simulates a scenario under a variant.
func run(s scenario, v variant, seed uint64) *fleet {
	start := time.Unix(1_800_000_000, 0)
	f := &fleet{
		scenario: s, variant: v, seed: seed, clock: &clock{now: start},
		byName: make(map[string]*engine), outcomes: make(map[string]int),
	}
	for i := range s.workers {
		e := newEngine(f.clock, i)
		f.engines = append(f.engines, e)
		f.byName[e.name] = e
	}
	for i := range s.routers {
		f.routers = append(f.routers, newRouter(f, i))
	}
	end := start.Add(warmUp + s.duration)
	f.clock.after(warmUp, func() {
		for i := range s.slowEngines {
			f.engines[i].slowdown = 10
		}
		for i := range s.deadEngines {
			f.engines[s.slowEngines+i].dead = true
		}
	})
	for c := range contracts {
		f.scheduleRequests(c, start.Add(warmUp), end)
	}
	f.scheduleReports(end)
	f.scheduleSamples(start.Add(warmUp), end)
	f.clock.runUntil(end.Add(time.Minute))
	return f
}

// scheduleRequests schedules the requests of a contract until end. They arrive as a
// Poisson process.
func (f *fleet) scheduleRequests(c int, begin, end time.Time) {
	rng := newRand(f.seed, uint64(c))
	var next func()
	next = func() {
		if f.clock.now.After(end) {
			return
		}
		rate := f.scenario.rate
		if c < burstingContracts && f.scenario.surgeFactor > 0 && !f.clock.now.Before(begin) && f.clock.now.Before(begin.Add(f.scenario.surgeDuration)) {
			rate *= f.scenario.surgeFactor
		}
		req := &request{contract: c, tokens: 200 + rng.IntN(400), arrived: f.clock.now}
		// The prefixes are the conversations of a contract. Some are used far more often
		// than others.
		square := rng.Float64() * rng.Float64()
		req.prefix = uint64(c*1000) + uint64(square*float64(2*f.scenario.workers)) + 1
		if !f.clock.now.Before(begin) {
			f.offered[c]++
		}
		f.routers[rng.IntN(len(f.routers))].arrive(req)
		f.clock.after(time.Duration(rng.ExpFloat64()/rate*float64(time.Second)), next)
	}
	f.clock.after(time.Duration(rng.ExpFloat64()/f.scenario.rate*float64(time.Second)), next)
}

// scheduleReports schedules the load reports of all engines.
func (f *fleet) scheduleReports(end time.Time) {
	const period = 500 * time.Millisecond
	rng := newRand(f.seed, 100)
	for _, e := range f.engines {
		var next func()
		next = func() {
			running, waiting := e.load()
			load := kcwpick.Load{Running: running, Waiting: waiting, Capacity: engineSlots, At: f.clock.now}
			ok := !e.dead
			f.clock.after(f.scenario.reportDelay, func() {
				for _, r := range f.routers {
					if f.scenario.reportLoss == 0 || rng.Float64() >= f.scenario.reportLoss {
						r.poll(e, load, ok)
					}
				}
			})
			if f.clock.now.Before(end) {
				f.clock.after(period, next)
			}
		}
		f.clock.after(time.Duration(rng.Int64N(int64(period))), next)
	}
}

// scheduleSamples schedules the sampling of herding, which is the ratio of the largest
// load to the mean load.
func (f *fleet) scheduleSamples(begin, end time.Time) {
	var next func()
	next = func() {
		most, sum := 0, 0
		for _, e := range f.engines {
			running, waiting := e.load()
			most = max(most, running+waiting)
			sum += running + waiting
		}
		if sum > 0 {
			f.herding += float64(most*len(f.engines)) / float64(sum)
			f.herdingSamples++
		}
		if f.clock.now.Before(end) {
			f.clock.after(100*time.Millisecond, next)
		}
	}
	f.clock.at(begin, next)
}

// isMeasured reports whether a request arrived after the warm-up.
func (f *fleet) isMeasured(req *request) bool {
	return !req.arrived.Before(time.Unix(1_800_000_000, 0).Add(warmUp))
}

// recordFirstToken records the arrival of a request's first token.
func (f *fleet) recordFirstToken(req *request, hit, sameZone bool) {
	if req.state != 0 {
		return
	}
	req.state = 1
	if !f.isMeasured(req) {
		return
	}
	f.firstTokens++
	if hit {
		f.hits++
	}
	if sameZone {
		f.sameZone++
	}
	took := f.clock.now.Sub(req.arrived)
	f.all = append(f.all, took)
	if req.contract >= burstingContracts {
		f.withinShare = append(f.withinShare, took)
	}
}

// recordOutcome records the outcome of a request.
func (f *fleet) recordOutcome(req *request, outcome string) {
	if req.state == 2 {
		return
	}
	req.state = 2
	if !f.isMeasured(req) {
		return
	}
	f.outcomes[outcome]++
	if outcome == "ok" {
		f.served[req.contract]++
	} else if req.contract >= burstingContracts {
		f.withinShareRefused++
	}
}

// percentile returns the percentile of times at fraction, or 0 without times.
func percentile(times []time.Duration, fraction float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(times))
	return sorted[int(fraction*float64(len(sorted)-1))]
}

// row returns the results of a run as a row of the table.
func (f *fleet) row() string {
	ms := func(fraction float64, times []time.Duration) int64 { return percentile(times, fraction).Milliseconds() }
	withinShareOffered := 0
	least := 1.0
	for c := burstingContracts; c < contracts; c++ {
		withinShareOffered += f.offered[c]
		least = min(least, float64(f.served[c])/float64(max(f.offered[c], 1)))
	}
	return fmt.Sprintf("| %-22s | %5d %5d %5d | %5d %5d %5d | %6.1f | %5d %5d %5d | %5.1f%% | %5.1f%% | %5.2f | %4.0f%% | %4.0f%% | %5.1f%% |",
		f.variant.name, ms(.5, f.withinShare), ms(.95, f.withinShare), ms(.99, f.withinShare), ms(.5, f.all), ms(.95, f.all), ms(.99, f.all),
		float64(f.outcomes["ok"])/f.scenario.duration.Seconds(),
		f.outcomes["refused"], f.outcomes["late"], f.outcomes["failed"],
		100*float64(f.withinShareRefused)/float64(max(withinShareOffered, 1)), 100*least,
		f.herding/float64(max(f.herdingSamples, 1)), 100*float64(f.hits)/float64(max(f.firstTokens, 1)),
		100*float64(f.sameZone)/float64(max(f.firstTokens, 1)), 100*float64(f.retries)/float64(max(f.firstTries, 1)))
}

const header = "| variant                | inside p50 p95 p99 ms | all p50 p95 p99 ms  | good/s | refused late failed | inside lost | least served | herding | prefix hits | own zone | retries |\n|---|---|---|---|---|---|---|---|---|---|---|"

// baseScenarios holds the scenarios without a fleet, which withFleet adds.
var baseScenarios = []scenario{
	{name: "steady", duration: time.Minute},
	{name: "burst of ten times", duration: time.Minute, surgeFactor: 46, surgeDuration: time.Minute},
	{name: "slow upstream", duration: time.Minute, slowEngines: 1},
	{name: "dead upstream", duration: time.Minute, deadEngines: 1},
	{name: "late reports", duration: time.Minute, reportDelay: 2 * time.Second, reportLoss: 0.3},
	{name: "one flooding team", duration: time.Minute, surgeFactor: 20, surgeDuration: time.Minute},
}

// allPolicies enables all policies. The other variants are its baselines.
var allPolicies = variant{name: "all policies", pick: "picker", queue: true, budget: true, guard: true}

var variants = []variant{
	{name: "round robin, plain", pick: "round robin"},
	{name: "least in flight, plain", pick: "least"},
	{name: "round robin, rest same", pick: "round robin", queue: true, budget: true, guard: true},
	{name: "least, rest same", pick: "least", queue: true, budget: true, guard: true},
	{name: "no queue", pick: "picker", budget: true, guard: true},
	{name: "unlimited retries", pick: "picker", queue: true, guard: true},
	{name: "no breaker, no members", pick: "picker", queue: true, budget: true},
	{name: "no prefix affinity", pick: "picker", queue: true, budget: true, guard: true, noPrefix: true},
	{name: "no zone preference", pick: "picker", queue: true, budget: true, guard: true, tune: func(c *kcwpick.Config) { c.ZoneMargin = 0 }},
	allPolicies,
}

// withFleet returns s with the given fleet and with a rate that keeps half of the slots
// busy.
func withFleet(s scenario, workers, routers int) scenario {
	const holdSeconds = 20.1 // mean time for which a request holds its slot
	s.workers, s.routers = workers, routers
	s.rate = 0.5 * float64(workers*engineSlots) / holdSeconds / contracts
	if s.reportDelay == 0 {
		s.reportDelay = 50 * time.Millisecond
	}
	return s
}

// printReport prints one table per scenario with a row per variant.
func printReport(t *testing.T, scenarios []scenario, variants []variant) {
	t.Helper()
	if !testing.Verbose() {
		t.Skip("prints its tables with -v only")
	}
	for _, s := range scenarios {
		var b strings.Builder
		for _, v := range variants {
			fmt.Fprintln(&b, run(s, v, 1).row())
		}
		t.Logf("%s: %d workers, %d routers\n%s\n%s", s.name, s.workers, s.routers, header, b.String())
	}
}

// TestPolicyReport prints the figures in docs/BENCHMARKS-policy.md.
func TestPolicyReport(t *testing.T) {
	var scenarios []scenario
	for _, s := range baseScenarios {
		scenarios = append(scenarios, withFleet(s, 20, 10))
	}
	printReport(t, scenarios, variants)
}

// TestPolicyDesignReport prints the figures for a fleet of the design size, over 10 s.
func TestPolicyDesignReport(t *testing.T) {
	var scenarios []scenario
	for _, s := range baseScenarios[:2] {
		s = withFleet(s, 690, 100)
		s.duration, s.surgeDuration = 10*time.Second, 10*time.Second
		scenarios = append(scenarios, s)
	}
	yielding := allPolicies
	yielding.name = "all, homes yield"
	yielding.tune = func(c *kcwpick.Config) { c.YieldRange = 0.4 }
	printReport(t, scenarios, []variant{variants[0], variants[3], variants[7], allPolicies, yielding})
}

// TestPolicyGoals checks the goals that the policies meet, on the virtual clock.
func TestPolicyGoals(t *testing.T) {
	noPrefix := variants[7]
	steady := percentile(run(withFleet(baseScenarios[0], 20, 10), noPrefix, 1).withinShare, .95)
	if f := run(withFleet(baseScenarios[1], 20, 10), variants[4], 1); 10*f.retries > f.firstTries {
		t.Errorf("burst without a queue: %d retries of %d first tries", f.retries, f.firstTries)
	}
	for _, s := range baseScenarios {
		for _, v := range []variant{allPolicies, noPrefix} {
			f := run(withFleet(s, 20, 10), v, 1)
			if 10*f.retries > f.firstTries {
				t.Errorf("%s, %s: %d retries of %d first tries", s.name, v.name, f.retries, f.firstTries)
			}
			for c := burstingContracts; c < contracts; c++ {
				if float64(f.served[c]) < 0.9*float64(f.offered[c]) {
					t.Errorf("%s, %s: contract %d had %d of %d served", s.name, v.name, c, f.served[c], f.offered[c])
				}
			}
			if p95 := percentile(f.withinShare, .95); s.surgeFactor > 0 && p95 > 2*steady {
				t.Errorf("%s, %s: first token of contracts within their share %v, over twice %v", s.name, v.name, p95, steady)
			}
		}
	}
}
