package kcwpolicy

import (
	"sync"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwpick"
	"kingcupwick.example/kcw/kcwqueue"
)

// TestConcurrentCalls calls one router's policies from several goroutines, for the race
// detector, and checks that no requests are left in flight.
func TestConcurrentCalls(t *testing.T) {
	f := &fleet{scenario: withFleet(baseScenarios[0], 6, 1), variant: allPolicies, clock: &clock{now: time.Unix(1_800_000_000, 0)}}
	for i := range 6 {
		f.engines = append(f.engines, newEngine(f.clock, i))
	}
	r := newRouter(f, 0)
	var wg sync.WaitGroup
	for g := range 8 {
		wg.Go(func() {
			for i := range 500 {
				now := f.clock.now.Add(time.Duration(i) * time.Millisecond)
				usable := func(name string) bool { return r.availability.Usable(now, name) && r.breakers[name].Ready(now) }
				item := kcwqueue.Item{
					ID: uint64(g*1000 + i), Contract: contractName(g), Team: "t", ContractWeight: 1, TeamWeight: 1, Cost: 1, Deadline: now.Add(time.Hour),
				}
				if _, _, err := r.queue.Offer(now, item); err != nil {
					continue
				}
				if name, ok := r.picker.Pick(now, "model", uint64(i%7), usable); ok {
					if ticket, err := r.breakers[name].Begin(now); err == nil {
						r.breakers[name].Succeed(now, ticket, now)
					}
					r.picker.Report(name, kcwpick.Load{Running: i % 9, Capacity: engineSlots, At: now})
					r.availability.Answered(now, name, now, false)
					r.picker.Finished(now, name)
				}
				r.budget.Deposit()
				r.budget.TryWithdraw()
				r.queue.Cancel(item.ID)
				r.queue.Release(now, item.ID, 1)
			}
		})
	}
	wg.Wait()
	for _, e := range f.engines {
		if n := r.picker.InFlight(e.name); n != 0 {
			t.Errorf("%d requests left in flight at %s", n, e.name)
		}
	}
}
