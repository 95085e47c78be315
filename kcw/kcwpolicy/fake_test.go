package kcwpolicy

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// The parameters of the fake engine. It prefills one prompt after the other. A cached
// prefix takes a fifth of the time.
const (
	engineSlots  = 64
	engineQueue  = engineSlots // largest number of queued requests
	engineCache  = 24          // largest number of cached prefixes
	missPrefill  = 60 * time.Millisecond
	hitPrefill   = 12 * time.Millisecond
	tokenTime    = 50 * time.Millisecond
	networkDelay = time.Millisecond
)

// event is a function that runs at a virtual time.
type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// clock is a virtual clock with its pending events.
type clock struct {
	now    time.Time
	events events
	seq    int
}

func (c *clock) after(d time.Duration, run func()) { c.at(c.now.Add(d), run) }

func (c *clock) at(at time.Time, run func()) {
	c.seq++
	heap.Push(&c.events, event{at: at, seq: c.seq, run: run})
}

func (c *clock) runUntil(end time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
}

// try is one attempt to run a request at one engine.
type try struct {
	prefix   uint64
	tokens   int
	state    int // 0 queued, 1 running, 2 ended
	first    func(hit bool)
	ended    func()
	rejected func()
}

// engine is a fake model engine with slots, a bounded queue and a prefix cache.
type engine struct {
	clock        *clock
	name         string
	zone         string
	slowdown     int // factor of all durations
	dead         bool
	running      int
	waiting      []*try
	prefillUntil time.Time // end of the prefill of all accepted prompts
	cache        []uint64  // most recently used last
}

func newEngine(c *clock, i int) *engine {
	return &engine{clock: c, name: fmt.Sprintf("worker-%d", i), zone: fmt.Sprintf("zone-%d", i%3), slowdown: 1}
}

func (e *engine) accept(t *try) {
	switch {
	case e.dead || t.state == 2:
	case len(e.waiting) >= engineQueue:
		t.state = 2
		e.clock.after(networkDelay, t.rejected)
	default:
		e.waiting = append(e.waiting, t)
		e.advance()
	}
}

func (e *engine) advance() {
	for e.running < engineSlots && len(e.waiting) > 0 {
		t := e.waiting[0]
		e.waiting = e.waiting[1:]
		if t.state == 2 {
			continue
		}
		t.state = 1
		e.running++
		hit := e.lookUp(t.prefix)
		prefill := missPrefill
		if hit {
			prefill = hitPrefill
		}
		if e.prefillUntil.Before(e.clock.now) {
			e.prefillUntil = e.clock.now
		}
		e.prefillUntil = e.prefillUntil.Add(prefill * time.Duration(e.slowdown))
		e.clock.at(e.prefillUntil.Add(networkDelay), func() {
			if t.state == 1 {
				t.first(hit)
			}
		})
		decode := time.Duration(t.tokens) * tokenTime * time.Duration(e.slowdown)
		e.clock.at(e.prefillUntil.Add(decode), func() {
			if t.state == 1 {
				e.remove(t)
				t.ended()
			}
		})
	}
}

// remove ends a try at the engine, because it has ended or its caller has canceled it.
func (e *engine) remove(t *try) {
	if t.state == 1 {
		e.running--
	}
	t.state = 2
	e.advance()
}

// lookUp makes prefix the most recently used one of the cache and reports whether it was
// cached already.
func (e *engine) lookUp(prefix uint64) bool {
	hit := false
	kept := e.cache[:0]
	for _, p := range e.cache {
		if p == prefix {
			hit = true
		} else {
			kept = append(kept, p)
		}
	}
	e.cache = append(kept, prefix)
	if len(e.cache) > engineCache {
		e.cache = e.cache[1:]
	}
	return hit
}

// load returns the numbers of running and queued requests, without canceled ones.
func (e *engine) load() (running, waiting int) {
	for _, t := range e.waiting {
		if t.state == 0 {
			waiting++
		}
	}
	return e.running, waiting
}

// newRand returns a random source for the given stream of the seed.
func newRand(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }
