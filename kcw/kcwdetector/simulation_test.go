package kcwdetector_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwdetector"
)

// TestUnrelatedCrashesBlockNoPart simulates fleets whose upstreams crash for reasons
// unrelated to prompts: no part may be blocked. In the second half of each run one part
// crashes upstreams. It must be the only one blocked, and soon enough after the fifth end
// for the decision to reach all routers within the time allowed.
func TestUnrelatedCrashesBlockNoPart(t *testing.T) {
	seed := uint64(1)
	if text := os.Getenv("KCW_SEED"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		seed = n
	}
	const runs = 9
	// reactionTime is the time allowed for the whole fleet after the fifth end, and
	// spreadTime that for two reports of routers.
	const reactionTime, spreadTime = 3 * time.Second, 750 * time.Millisecond
	// subjects are the numbers of different second parts of a class's prompts.
	subjects := []int{10, 120, 3000}
	for run := range uint64(runs) {
		s := &simulation{random: rand.New(rand.NewPCG(seed, run)), detector: newDetector(t), now: start, subjects: subjects[run%uint64(len(subjects))]}
		s.run(t, 60*time.Second, 0)
		if got := blocked(s.detector.Decide(s.now)); len(got) > 0 {
			t.Fatalf("KCW_SEED=%d, run %d: %q blocked without a crashing part", seed, run, got)
		}
		s.run(t, 20*time.Second, 0.05)
		if !slices.Equal(s.blocked, []string{"crashing"}) {
			t.Fatalf("KCW_SEED=%d, run %d: got %q, want only the crashing part", seed, run, s.blocked)
		}
		if len(s.crashEnds) < 5 {
			continue
		}
		if late := s.blockedAt.Sub(s.crashEnds[4]); late > reactionTime-spreadTime {
			t.Errorf("KCW_SEED=%d, run %d: blocked %v after the fifth end, want %v at most", seed, run, late, reactionTime-spreadTime)
		}
	}
}

// simulation is a fleet of 20 upstreams with 150 prompts a second of three classes. Each
// prompt takes 300 ms until its answer begins.
type simulation struct {
	random   *rand.Rand
	detector *kcwdetector.Detector
	now      time.Time
	serial   int
	waiting  [20][]kcwdetector.Cut
	// downUntil is when a crashed upstream is back, generation how often it has started.
	downUntil  [20]time.Time
	generation [20]int
	// crashEnds are the times at which the crashing part ended an upstream.
	crashEnds []time.Time
	blocked   []string
	blockedAt time.Time
	subjects  int
}

// run plays the given time, with a share of prompts that have the crashing part.
func (s *simulation) run(t *testing.T, length time.Duration, crashing float64) {
	t.Helper()
	const tick, prefill = 10 * time.Millisecond, 300 * time.Millisecond
	for end := s.now.Add(length); s.now.Before(end); s.now = s.now.Add(tick) {
		for s.random.Float64() < 0.6 {
			s.send(s.random.Float64() < crashing)
		}
		for u := range s.waiting {
			// Upstreams crash of themselves about every 20 s each, sometimes several at
			// once.
			if s.random.Float64() < 0.0005 {
				s.crash(u)
				for s.random.Float64() < 0.5 {
					s.crash(s.random.IntN(len(s.waiting)))
				}
			}
			for len(s.waiting[u]) > 0 && s.now.Sub(s.waiting[u][0].At) >= prefill {
				first := s.waiting[u][0]
				if slices.Contains(first.Parts, "crashing") {
					s.crashEnds = append(s.crashEnds, s.now)
					s.crash(u)
					break
				}
				s.waiting[u] = s.waiting[u][1:]
				s.detector.Begin(first.Parts, s.now)
			}
		}
		for _, set := range blocked(s.detector.Decide(s.now)) {
			if !slices.Contains(s.blocked, set) {
				s.blocked, s.blockedAt = append(s.blocked, set), s.now
			}
		}
	}
}

// send sends a new prompt to an upstream that listens, if there is one.
func (s *simulation) send(isCrashing bool) {
	s.serial++
	class := s.random.IntN(3)
	parts := []string{fmt.Sprintf("class%d", class), fmt.Sprintf("subject%d-%d", class, s.random.IntN(s.subjects))}
	if isCrashing {
		if len(s.blocked) > 0 {
			return
		}
		parts = slices.Insert(parts, 1, "crashing")
	}
	c := kcwdetector.Cut{Request: strconv.Itoa(s.serial), Prompt: strconv.Itoa(s.serial), Parts: parts, At: s.now}
	for range len(s.waiting) {
		if u := s.random.IntN(len(s.waiting)); !s.now.Before(s.downUntil[u]) {
			s.waiting[u] = append(s.waiting[u], c)
			return
		}
	}
}

// crash ends an upstream, cuts its prompts and sends them once more elsewhere.
func (s *simulation) crash(u int) {
	cuts := s.waiting[u]
	s.waiting[u] = nil
	for _, c := range cuts {
		c.At, c.Upstream = s.now, fmt.Sprintf("u%d-%d", u, s.generation[u])
		s.detector.Cut(c)
	}
	s.generation[u]++
	s.downUntil[u] = s.now.Add(3 * time.Second)
	for _, c := range cuts {
		if slices.Contains(c.Parts, "crashing") && len(s.blocked) > 0 || s.random.Float64() < 0.5 {
			continue
		}
		other := s.random.IntN(len(s.waiting))
		if !s.now.Before(s.downUntil[other]) {
			s.waiting[other] = append(s.waiting[other], kcwdetector.Cut{Request: c.Request, Prompt: c.Prompt, Parts: c.Parts, At: s.now})
		}
	}
}
