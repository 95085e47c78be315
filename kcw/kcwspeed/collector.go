// Package kcwspeed learns how much load each upstream handles well. A Collector, one at each
// router, sums up what the answers of upstreams show between two reports. A Table, one at the
// leader of the core, merges the reports of all routers and derives from them the load, the
// slowness and the capacity of each upstream.
//
// It is designed for 300 routers that report every 250 ms, 140 upstreams and 900 answers a
// second, of which a router sees about one in 5 s from each upstream. The package does no I/O;
// the time is an argument.
package kcwspeed

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"kingcupwick.example/kcw/kcwpb"
)

const (
	// maxReported bounds the upstreams in one report. At a report every 250 ms and 50 bytes for
	// each upstream this is 1.6 KB a second, which only routers reach that get some 40 answers a
	// second.
	maxReported = 8
	// maxCollected bounds the upstreams of which samples are held.
	maxCollected = 1024
	// sampleLifetime is the age at which samples that could not be reported are dropped.
	sampleLifetime = 2 * time.Second
	// maxSlowness bounds the slowness of one answer in both directions, and maxLatency the
	// relative latency, so that one answer can't determine a mean.
	maxSlowness = 8
	maxLatency  = 8
)

// Answer is what an answer shows of its upstream.
type Answer struct {
	Upstream, Service string
	// Running, Waiting and Slots are the load that the answer states, in requests, and Slowness
	// how long work takes on the upstream's host relative to the usual.
	Running, Waiting, Slots int
	Slowness                float64
}

// FirstByte is the time that an upstream needed for the start of an answer.
type FirstByte struct {
	Upstream, Service string
	PromptTokens      int64
	Elapsed           time.Duration
	// Target is the time that the route intends, zero if it names none.
	Target time.Duration
}

// Gap is the mean time between the events of a stream since the last Gap.
type Gap struct {
	Upstream, Service string
	Mean              time.Duration
	// Target is the longest time that the route intends, zero if it names none.
	Target time.Duration
}

// collected is what was collected of one upstream since the last acknowledged report.
type collected struct {
	load   Answer
	loadAt time.Time
	// answers counts the answers, and slowness is the sum of theirs.
	answers  int
	slowness float64
	// latencies counts the first bytes and gaps, and latency is the sum of their relative
	// latencies.
	latencies int
	latency   float64
}

// Collector collects the samples of one router. It is safe for concurrent use.
type Collector struct {
	mu sync.Mutex
	// upstreams holds the samples that no acknowledged report has, by upstream.
	upstreams map[string]*collected
	// firstBytes and gaps hold the baselines, by service.
	firstBytes, gaps map[string]*baseline
}

// NewCollector returns an empty Collector.
func NewCollector() *Collector {
	return &Collector{upstreams: map[string]*collected{}, firstBytes: map[string]*baseline{}, gaps: map[string]*baseline{}}
}

// Add adds an answer that came at now. Answers that state no slowness are ignored: their
// upstreams are placed by each router's own knowledge.
func (c *Collector) Add(a Answer, now time.Time) {
	if !(a.Slowness > 0) || a.Slots <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.upstreams[a.Upstream]
	if u == nil {
		if len(c.upstreams) >= maxCollected {
			return
		}
		u = &collected{}
		c.upstreams[a.Upstream] = u
	}
	u.load, u.loadAt = a, now
	u.answers++
	u.slowness += boundSlowness(a.Slowness)
}

func boundSlowness(s float64) float64 { return min(max(s, 1.0/maxSlowness), maxSlowness) }

// AddFirstByte adds the first byte of an answer that came at now, after the answer was added
// with Add. A request that found all slots taken shows the length of the queue and not the
// speed, so it is ignored.
func (c *Collector) AddFirstByte(f FirstByte, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.upstreams[f.Upstream]
	if u == nil || u.load.Waiting > 0 || u.load.Running > u.load.Slots || f.Elapsed <= 0 {
		return
	}
	u.addLatency(c.firstBytes, f.Service, f.PromptTokens, f.Elapsed, f.Target, now)
}

// AddGap adds the mean gap of a stream at an upstream of which an answer was added.
func (c *Collector) AddGap(g Gap, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if u := c.upstreams[g.Upstream]; u != nil && g.Mean > 0 {
		u.addLatency(c.gaps, g.Service, 0, g.Mean, g.Target, now)
	}
}

// addLatency adds a time that a request with that many prompt tokens has taken. A time within half
// of the target is as good as any other. What is over it counts relative to what the upstreams of
// the service need for such a prompt on average, which leaves out the router's own lateness.
func (u *collected) addLatency(baselines map[string]*baseline, service string, tokens int64, elapsed, target time.Duration, now time.Time) {
	b := baselines[service]
	if b == nil {
		b = &baseline{}
		baselines[service] = b
	}
	expected, isKnown := b.expected(tokens)
	b.add(tokens, elapsed, now)
	if !isKnown {
		return
	}
	u.latencies++
	u.latency += min(max(elapsed.Seconds()/max(expected, target/2).Seconds(), 1), maxLatency)
}

// Report is a report of what was collected.
type Report struct {
	Speeds []*kcwpb.UpstreamSpeed
	// counted holds what the report contains of each upstream.
	counted map[string]collected
}

// Report returns a report of the upstreams with the most samples. What it contains is collected
// until Acknowledge is called with it.
func (c *Collector) Report(now time.Time) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	ids := make([]string, 0, len(c.upstreams))
	// Upstreams without new samples are kept for first bytes that follow a reported answer.
	for id, u := range c.upstreams {
		if now.Sub(u.loadAt) > sampleLifetime {
			delete(c.upstreams, id)
			continue
		}
		if u.answers > 0 || u.latencies > 0 {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(c.upstreams[b].answers, c.upstreams[a].answers), c.upstreams[b].loadAt.Compare(c.upstreams[a].loadAt), cmp.Compare(a, b))
	})
	ids = ids[:min(len(ids), maxReported)]
	report := Report{counted: make(map[string]collected, len(ids))}
	for _, id := range ids {
		u := c.upstreams[id]
		speed := &kcwpb.UpstreamSpeed{
			Upstream: id, Running: uint32(u.load.Running), Waiting: uint32(u.load.Waiting), Slots: uint32(u.load.Slots),
			AgeNanos: max(0, int64(now.Sub(u.loadAt))), Samples: uint32(u.answers), Slowness: float32(boundSlowness(u.load.Slowness)),
		}
		if u.answers > 0 {
			speed.Slowness = float32(u.slowness / float64(u.answers))
		}
		if u.latencies > 0 {
			speed.Latency = float32(u.latency / float64(u.latencies))
		}
		report.Speeds = append(report.Speeds, speed)
		report.counted[id] = *u
	}
	return report
}

// Acknowledge drops what a report contains that the core has accepted.
func (c *Collector) Acknowledge(report Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, counted := range report.counted {
		u := c.upstreams[id]
		if u == nil {
			continue
		}
		u.answers -= counted.answers
		u.slowness -= counted.slowness
		u.latencies -= counted.latencies
		u.latency -= counted.latency
	}
}

// Collected returns the number of upstreams of which samples wait for a report.
func (c *Collector) Collected() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, u := range c.upstreams {
		if u.answers > 0 || u.latencies > 0 {
			n++
		}
	}
	return n
}
