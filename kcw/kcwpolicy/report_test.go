package kcwpolicy

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwpick"
)

// contracts is the number of contracts, all of one weight. Those below
// bursting are the ones that go beyond their share in some scenarios.
const (
	contracts = 10
	bursting  = 2
	warmUp    = 60 * time.Second
)

// scenario is a load and its faults.
type scenario struct {
	name    string
	workers int
	routers int
	lasts   time.Duration
	rate    float64 // requests a second of each contract
	surge   float64 // factor of the bursting contracts' rate
	surges  time.Duration
	slow    int // engines that are ten times slower
	dead    int // engines that fall silent
	lag     time.Duration
	lost    float64 // part of the load reports that is lost
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

	offered, served            [contracts]int
	outcomes                   map[string]int
	inside                     []time.Duration // times to first token inside the shares
	all                        []time.Duration
	insideRefused              int
	hits, firsts, near         int
	firstTries, retries, herds int
	herding                    float64
}

func contractName(i int) string { return fmt.Sprintf("contract-%d", i) }

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// run carries out a scenario under a variant.
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
	end := start.Add(warmUp + s.lasts)
	f.clock.after(warmUp, func() {
		for i := range s.slow {
			f.engines[i].slow = 10
		}
		for i := range s.dead {
			f.engines[s.slow+i].dead = true
		}
	})
	for c := range contracts {
		f.offer(c, start.Add(warmUp), end)
	}
	f.report(end)
	f.sample(start.Add(warmUp), end)
	f.clock.runUntil(end.Add(time.Minute))
	return f
}

// offer schedules a contract's requests, a Poisson process, until end.
func (f *fleet) offer(c int, begin, end time.Time) {
	rng := source(f.seed, uint64(c))
	var next func()
	next = func() {
		if f.clock.now.After(end) {
			return
		}
		rate := f.scenario.rate
		if c < bursting && f.scenario.surge > 0 && !f.clock.now.Before(begin) && f.clock.now.Before(begin.Add(f.scenario.surges)) {
			rate *= f.scenario.surge
		}
		req := &request{contract: c, tokens: 200 + rng.IntN(400), arrived: f.clock.now}
		// Conversations of a contract: some prefixes are used far more than others.
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

// report schedules the load reports of all engines.
func (f *fleet) report(end time.Time) {
	const period = 500 * time.Millisecond
	rng := source(f.seed, 100)
	for _, e := range f.engines {
		var next func()
		next = func() {
			running, waiting := e.load()
			load := kcwpick.Load{Running: running, Waiting: waiting, Capacity: engineSlots, At: f.clock.now}
			ok := !e.dead
			f.clock.after(f.scenario.lag, func() {
				for _, r := range f.routers {
					if f.scenario.lost == 0 || rng.Float64() >= f.scenario.lost {
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

// sample schedules the measurement of herding: the largest load over the mean.
func (f *fleet) sample(begin, end time.Time) {
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
			f.herds++
		}
		if f.clock.now.Before(end) {
			f.clock.after(100*time.Millisecond, next)
		}
	}
	f.clock.at(begin, next)
}

// counted reports whether a request falls in the measured time.
func (f *fleet) counted(req *request) bool {
	return !req.arrived.Before(time.Unix(1_800_000_000, 0).Add(warmUp))
}

// first notes a request's first token.
func (f *fleet) first(req *request, hit, near bool) {
	if req.state != 0 {
		return
	}
	req.state = 1
	if !f.counted(req) {
		return
	}
	f.firsts++
	if hit {
		f.hits++
	}
	if near {
		f.near++
	}
	took := f.clock.now.Sub(req.arrived)
	f.all = append(f.all, took)
	if req.contract >= bursting {
		f.inside = append(f.inside, took)
	}
}

// over notes a request's outcome.
func (f *fleet) over(req *request, outcome string) {
	if req.state == 2 {
		return
	}
	req.state = 2
	if !f.counted(req) {
		return
	}
	f.outcomes[outcome]++
	if outcome == "ok" {
		f.served[req.contract]++
	} else if req.contract >= bursting {
		f.insideRefused++
	}
}

// percentile returns a percentile of times, zero for none.
func percentile(times []time.Duration, part float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(times))
	return sorted[int(part*float64(len(sorted)-1))]
}

// row returns the figures of a run as a line of the table.
func (f *fleet) row() string {
	ms := func(part float64, times []time.Duration) int64 { return percentile(times, part).Milliseconds() }
	insideOffered := 0
	least := 1.0
	for c := bursting; c < contracts; c++ {
		insideOffered += f.offered[c]
		least = min(least, float64(f.served[c])/float64(max(f.offered[c], 1)))
	}
	return fmt.Sprintf("| %-22s | %5d %5d %5d | %5d %5d %5d | %6.1f | %5d %5d %5d | %5.1f%% | %5.1f%% | %5.2f | %4.0f%% | %4.0f%% | %5.1f%% |",
		f.variant.name, ms(.5, f.inside), ms(.95, f.inside), ms(.99, f.inside), ms(.5, f.all), ms(.95, f.all), ms(.99, f.all),
		float64(f.outcomes["ok"])/f.scenario.lasts.Seconds(),
		f.outcomes["refused"], f.outcomes["late"], f.outcomes["failed"],
		100*float64(f.insideRefused)/float64(max(insideOffered, 1)), 100*least,
		f.herding/float64(max(f.herds, 1)), 100*float64(f.hits)/float64(max(f.firsts, 1)),
		100*float64(f.near)/float64(max(f.firsts, 1)), 100*float64(f.retries)/float64(max(f.firstTries, 1)))
}

const header = "| variant                | inside p50 p95 p99 ms | all p50 p95 p99 ms  | good/s | refused late failed | inside lost | least served | herding | prefix hits | own zone | retries |\n|---|---|---|---|---|---|---|---|---|---|---|"

// today is the sizes of today; design is the design size, shorter.
var today = []scenario{
	{name: "steady", lasts: time.Minute},
	{name: "burst of ten times", lasts: time.Minute, surge: 46, surges: time.Minute},
	{name: "slow upstream", lasts: time.Minute, slow: 1},
	{name: "dead upstream", lasts: time.Minute, dead: 1},
	{name: "late reports", lasts: time.Minute, lag: 2 * time.Second, lost: 0.3},
	{name: "one flooding team", lasts: time.Minute, surge: 20, surges: time.Minute},
}

// full is all policies together; the others are its baselines.
var full = variant{name: "all policies", pick: "picker", queue: true, budget: true, guard: true}

var variants = []variant{
	{name: "round robin, plain", pick: "round robin"},
	{name: "least in flight, plain", pick: "least"},
	{name: "round robin, rest same", pick: "round robin", queue: true, budget: true, guard: true},
	{name: "least, rest same", pick: "least", queue: true, budget: true, guard: true},
	{name: "no queue", pick: "picker", budget: true, guard: true},
	{name: "unlimited retries", pick: "picker", queue: true, guard: true},
	{name: "no breaker, no members", pick: "picker", queue: true, budget: true},
	{name: "no prefix affinity", pick: "picker", queue: true, budget: true, guard: true, plain: true},
	{name: "no zone preference", pick: "picker", queue: true, budget: true, guard: true, tune: func(c *kcwpick.Config) { c.ZoneMargin = 0 }},
	full,
}

// sized gives a scenario its fleet and a rate that keeps half of the slots busy.
func sized(s scenario, workers, routers int) scenario {
	const hold = 20.1 // seconds
	s.workers, s.routers = workers, routers
	s.rate = 0.5 * float64(workers*engineSlots) / hold / contracts
	if s.lag == 0 {
		s.lag = 50 * time.Millisecond
	}
	return s
}

// report prints the table of some variants in some scenarios.
func report(t *testing.T, scenarios []scenario, variants []variant) {
	t.Helper()
	if !testing.Verbose() {
		t.Skip("prints its table with -v only")
	}
	for _, s := range scenarios {
		var b strings.Builder
		for _, v := range variants {
			fmt.Fprintln(&b, run(s, v, 1).row())
		}
		t.Logf("%s: %d workers, %d routers\n%s\n%s", s.name, s.workers, s.routers, header, b.String())
	}
}

// TestPolicyReport prints the figures of docs/BENCHMARKS-policy.md.
func TestPolicyReport(t *testing.T) {
	var scenarios []scenario
	for _, s := range today {
		scenarios = append(scenarios, sized(s, 20, 10))
	}
	report(t, scenarios, variants)
}

// TestPolicyDesignReport prints the figures at the design size, over 10 s.
func TestPolicyDesignReport(t *testing.T) {
	var scenarios []scenario
	for _, s := range today[:2] {
		s = sized(s, 690, 100)
		s.lasts, s.surges = 10*time.Second, 10*time.Second
		scenarios = append(scenarios, s)
	}
	yielding := full
	yielding.name = "all, homes yield"
	yielding.tune = func(c *kcwpick.Config) { c.YieldRange = 0.4 }
	report(t, scenarios, []variant{variants[0], variants[3], variants[7], full, yielding})
}

// TestPolicyGoals checks the goals that hold, on the virtual clock.
func TestPolicyGoals(t *testing.T) {
	plain := variants[7]
	steady := percentile(run(sized(today[0], 20, 10), plain, 1).inside, .95)
	if f := run(sized(today[1], 20, 10), variants[4], 1); 10*f.retries > f.firstTries {
		t.Errorf("burst without a queue: %d retries of %d first tries", f.retries, f.firstTries)
	}
	for _, s := range today {
		for _, v := range []variant{full, plain} {
			f := run(sized(s, 20, 10), v, 1)
			if 10*f.retries > f.firstTries {
				t.Errorf("%s, %s: %d retries of %d first tries", s.name, v.name, f.retries, f.firstTries)
			}
			for c := bursting; c < contracts; c++ {
				if float64(f.served[c]) < 0.9*float64(f.offered[c]) {
					t.Errorf("%s, %s: contract %d had %d of %d served", s.name, v.name, c, f.served[c], f.offered[c])
				}
			}
			if p95 := percentile(f.inside, .95); s.surge > 0 && p95 > 2*steady {
				t.Errorf("%s, %s: first token inside shares %v, over twice %v", s.name, v.name, p95, steady)
			}
		}
	}
}
