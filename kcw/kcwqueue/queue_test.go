package kcwqueue

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var epoch = time.Unix(1_800_000_000, 0)

// properties returns gopter's properties with the seed in KCW_SEED, or 1.
func properties(t *testing.T) *gopter.Properties {
	seed := int64(1)
	if text := os.Getenv("KCW_SEED"); text != "" {
		var err error
		if seed, err = strconv.ParseInt(text, 10, 64); err != nil {
			t.Fatal(err)
		}
	}
	return gopter.NewProperties(gopter.DefaultTestParametersWithSeed(seed))
}

func newQueue(t testing.TB, modify func(*Config)) *Queue {
	t.Helper()
	cfg := Config{
		Slots: 1, Capacity: 4, Priorities: 3, Aging: time.Second, InitialHold: time.Second, UsageTimeConstant: time.Second,
		Rand: rand.New(rand.NewPCG(1, 1)),
	}
	if modify != nil {
		modify(&cfg)
	}
	q, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return q
}

func item(id uint64, contract, team string, priority int) Item {
	return Item{
		ID: id, Contract: contract, Team: team, ContractWeight: 1, TeamWeight: 1,
		Priority: priority, Cost: 1, Deadline: epoch.Add(time.Hour),
	}
}

func kind(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}

func TestOffer(t *testing.T) {
	late := item(9, "b", "t", 0)
	late.Deadline = epoch.Add(500 * time.Millisecond)
	expired := item(9, "b", "t", 0)
	expired.Deadline = epoch
	weightless := item(9, "b", "t", 0)
	weightless.ContractWeight = 0
	for _, test := range []struct {
		name    string
		before  []Item
		offer   Item
		started bool
		evicted uint64
		kind    Kind
	}{
		{name: "free slot", offer: item(9, "a", "t", 0), started: true},
		{name: "waits", before: []Item{item(1, "a", "t", 0)}, offer: item(9, "a", "t", 0)},
		{name: "expected start after the deadline", before: []Item{item(1, "a", "t", 0)}, offer: late, kind: KindLate},
		{name: "deadline passed", offer: expired, kind: KindLate},
		{name: "no weight", offer: weightless, kind: KindInvalid},
		{name: "invalid priority", offer: item(9, "a", "t", 3), kind: KindInvalid},
		{name: "ID in use", before: []Item{item(9, "a", "t", 0)}, offer: item(9, "a", "t", 0), kind: KindInvalid},
		{
			name:   "full of items of the same contract and team",
			before: []Item{item(1, "a", "t", 0), item(2, "a", "t", 0), item(3, "a", "t", 0), item(4, "a", "t", 0), item(5, "a", "t", 0)},
			offer:  item(9, "a", "t", 0), kind: KindFull,
		},
		{
			name:   "full of items of another contract",
			before: []Item{item(1, "a", "t", 0), item(2, "a", "t", 0), item(3, "a", "t", 0), item(4, "a", "t", 0), item(5, "a", "t", 0)},
			offer:  item(9, "b", "t", 0), evicted: 5,
		},
		{
			name:   "full of items of another team",
			before: []Item{item(1, "a", "t", 0), item(2, "a", "t", 0), item(3, "a", "t", 0), item(4, "a", "t", 0), item(5, "a", "t", 0)},
			offer:  item(9, "a", "u", 0), evicted: 5,
		},
		{
			name:   "full of items of higher priority",
			before: []Item{item(1, "a", "t", 1), item(2, "a", "t", 1), item(3, "a", "t", 1), item(4, "a", "t", 1), item(5, "a", "t", 1)},
			offer:  item(9, "b", "t", 0), kind: KindFull,
		},
		{
			name:   "holds an item of lower priority",
			before: []Item{item(1, "a", "t", 1), item(2, "b", "t", 0), item(3, "a", "t", 1), item(4, "a", "t", 1), item(5, "a", "t", 1)},
			offer:  item(9, "a", "t", 1), evicted: 2,
		},
	} {
		q := newQueue(t, nil)
		for _, it := range test.before {
			if _, _, err := q.Offer(epoch, it); err != nil {
				t.Fatalf("%s: %v", test.name, err)
			}
		}
		started, evicted, err := q.Offer(epoch, test.offer)
		var evictedID uint64
		if evicted != nil {
			evictedID = evicted.ID
		}
		if started != test.started || evictedID != test.evicted || kind(err) != test.kind {
			t.Errorf("%s: started %v, evicted %d, %v", test.name, started, evictedID, err)
		}
		var refusal *Error
		if errors.As(err, &refusal) && refusal.Kind == KindFull && !refusal.RetryAt.After(epoch) {
			t.Errorf("%s: RetryAt is not after the offer", test.name)
		}
	}
}

// serveBacklog keeps several flows backlogged and frees one slot per step of time. Flow
// i is a contract, or a team of one contract, with weight weights[i] and priority
// priorities[i]. It returns the number of items started for each flow.
func serveBacklog(q *Queue, byTeam bool, weights []float64, priorities []int, steps int, step, patience time.Duration) []int {
	counts := make([]int, len(weights))
	flows := make(map[uint64]int)
	waiting := make([]int, len(weights))
	var running []uint64
	id := uint64(0)
	now := epoch
	start := func(items []Item) {
		for _, it := range items {
			counts[flows[it.ID]]++
			waiting[flows[it.ID]]--
			running = append(running, it.ID)
		}
	}
	for range steps {
		for _, it := range q.Expire(now) {
			waiting[flows[it.ID]]--
		}
		for i, weight := range weights {
			for range 3 - waiting[i] {
				id++
				it := item(id, fmt.Sprint("contract-", i), "t", priorities[i])
				it.Deadline = now.Add(patience)
				if byTeam {
					it.Contract, it.Team, it.TeamWeight = "c", it.Contract, weight
				} else {
					it.ContractWeight = weight
				}
				flows[id] = i
				started, evicted, err := q.Offer(now, it)
				if err == nil {
					waiting[i]++
				}
				if evicted != nil {
					waiting[flows[evicted.ID]]--
				}
				if started {
					start([]Item{it})
				}
			}
		}
		now = now.Add(step)
		if len(running) > 0 {
			ended := running[0]
			running = running[1:]
			started, expired := q.Release(now, ended, 1)
			for _, it := range expired {
				waiting[flows[it.ID]]--
			}
			start(started)
		}
	}
	return counts
}

func TestShares(t *testing.T) {
	p := properties(t)
	p.Property("backlogged contracts or teams of one priority share the slots by weight", prop.ForAll(
		func(byTeam bool, a, b, c int) bool {
			q := newQueue(t, func(cfg *Config) { cfg.Slots, cfg.Capacity = 4, 100 })
			weights := []float64{float64(a), float64(b), float64(c)}
			counts := serveBacklog(q, byTeam, weights, []int{0, 0, 0}, 1000, 10*time.Millisecond, time.Hour)
			for i := range weights {
				want := 1000 * weights[i] / float64(a+b+c)
				if diff := float64(counts[i]) - want; diff > 0.05*want+10 || diff < -0.05*want-10 {
					return false
				}
			}
			return true
		}, gen.Bool(), gen.IntRange(1, 5), gen.IntRange(1, 5), gen.IntRange(1, 5)))
	p.Property("no flow starves, whatever its priority and however short its deadlines", prop.ForAll(
		func(low, high, patience int) bool {
			q := newQueue(t, func(cfg *Config) { cfg.Slots, cfg.Capacity, cfg.InitialHold = 1, 6, 100*time.Millisecond })
			counts := serveBacklog(q, false, []float64{1, 1, 1}, []int{low, high, high}, 300, 100*time.Millisecond, time.Duration(patience)*time.Millisecond)
			return counts[0] >= 300/100 // at least once in 10 s; rising to the highest level takes 2 s
		}, gen.IntRange(0, 1), gen.IntRange(1, 2), gen.IntRange(300, 3000)))
	p.TestingRun(t)
}

func TestReserve(t *testing.T) {
	q := newQueue(t, func(cfg *Config) { cfg.Slots, cfg.Reserve, cfg.Capacity = 10, 0.2, 100 })
	small := item(100, "small", "t", 0)
	small.ContractWeight = 3
	if started, _, _ := q.Offer(epoch, small); !started {
		t.Fatal("the first item did not start")
	}
	for id := range uint64(20) {
		if _, _, err := q.Offer(epoch, item(id, "flood", "t", 2)); err != nil {
			t.Fatal(err)
		}
	}
	if _, running, _ := q.Counts(); running != 8 {
		t.Errorf("%d run, want 8, since two slots are reserved", running)
	}
	small.ID = 101
	if started, _, _ := q.Offer(epoch, small); !started {
		t.Error("an item of a contract within its share did not start in a reserved slot")
	}
}

// TestRandomCalls makes random calls to a queue and checks the invariants after each.
func TestRandomCalls(t *testing.T) {
	p := properties(t)
	p.Property("the queue is bounded and work-conserving, each item ends once, and none starts late", prop.ForAll(
		func(seed int64) string { return randomCalls(t, rand.New(rand.NewPCG(uint64(seed), 0))) },
		gen.Int64()))
	p.TestingRun(t)
}

// randomCalls returns a description of the violated invariant, or the empty string.
func randomCalls(t *testing.T, rng *rand.Rand) string {
	q := newQueue(t, func(cfg *Config) { cfg.Slots, cfg.Capacity = 3, 8 })
	now := epoch
	state := make(map[uint64]string)
	items := make(map[uint64]Item)
	var violation string
	transition := func(its []Item, from, to string) {
		for _, it := range its {
			if state[it.ID] != from {
				violation = fmt.Sprintf("item %d changes from %q to %q", it.ID, state[it.ID], to)
			}
			if to == "running" && !it.Deadline.After(now) {
				violation = "an item started at or after its deadline"
			}
			state[it.ID] = to
		}
	}
	for id := uint64(1); id < 300 && violation == ""; id++ {
		now = now.Add(time.Duration(rng.IntN(200)) * time.Millisecond)
		switch rng.IntN(8) {
		case 0:
			for other := uint64(1); other < id; other++ {
				if state[other] == "running" {
					state[other] = "ended"
					started, expired := q.Release(now, other, rng.Float64())
					transition(expired, "waiting", "ended")
					transition(started, "waiting", "running")
					break
				}
			}
		case 1:
			transition(q.Expire(now), "waiting", "ended")
		case 2:
			started, expired := q.SetSlots(now, rng.IntN(5))
			transition(expired, "waiting", "ended")
			transition(started, "waiting", "running")
		case 3:
			other := uint64(rng.IntN(int(id)))
			if q.Cancel(other) {
				transition([]Item{items[other]}, "waiting", "ended")
			}
		default:
			it := item(id, fmt.Sprint("c", rng.IntN(3)), fmt.Sprint("t", rng.IntN(2)), rng.IntN(3))
			it.Deadline = now.Add(time.Duration(rng.IntN(5000)) * time.Millisecond)
			items[id] = it
			started, evicted, err := q.Offer(now, it)
			if evicted != nil {
				transition([]Item{*evicted}, "waiting", "ended")
			}
			switch {
			case started:
				transition([]Item{it}, "", "running")
			case err == nil:
				state[id] = "waiting"
			}
		}
		slots, running, waiting := q.Counts()
		count := map[string]int{}
		for _, s := range state {
			count[s]++
		}
		_, due := q.NextDeadline()
		switch {
		case running != count["running"] || waiting != count["waiting"] || due != (waiting > 0):
			violation = "the counts of running or waiting items are wrong"
		case waiting > 8:
			violation = "more items wait than the capacity"
		case running < slots && waiting > 0:
			violation = "an item waits although a slot is free"
		}
	}
	return violation
}
