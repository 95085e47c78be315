package main

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwpb"
)

// TestLeaderStopsWhileRequestsAreBilled stops and restarts the leader while
// requests are opened and billed, then checks that each request was billed once
// and no tokens stay reserved.
func TestLeaderStopsWhileRequestsAreBilled(t *testing.T) {
	const (
		workers  = 8
		requests = 100
		used     = 3
	)
	f := newFleet(t, 3)
	operator, router := f.client(t, testKeys.Operator), f.client(t, testKeys.Router)
	putContract(t, operator, "pew", 1_000_000)
	register(t, f, router, "r1", 1)
	var group sync.WaitGroup
	for w := range workers {
		group.Go(func() {
			for n := range requests {
				request := fmt.Sprintf("w%d-%d", w, n)
				attempt := uint64(w*requests + n + 1)
				submit(t, router, openCommand(request, attempt, 10))
				submit(t, router, settleCommand(request, attempt, used))
			}
		})
	}
	stopped := f.leader(t)
	folder := f.members[stopped].settings.Host.Folder
	f.members[stopped].stop()
	f.leader(t)
	f.members[stopped] = f.start(t, stopped, folder)
	group.Wait()
	budget := f.members[f.leader(t)].book.Budget("pew")
	if budget.Billed != workers*requests*used || budget.Reserved != 0 {
		t.Errorf("budget %v, want %d billed and none reserved", budget, workers*requests*used)
	}
}

// TestReplicasAgreeAfterARestart restarts every replica after hundreds of
// changes and checks that each has the newest revision and budget.
func TestReplicasAgreeAfterARestart(t *testing.T) {
	const changes = 300
	f := newFleet(t, 3)
	operator := f.client(t, testKeys.Operator)
	putContract(t, operator, "pew", 100)
	for n := range changes {
		topUp := &kcwpb.TopUp{Change: fmt.Sprint(n), Customer: "pew", Tokens: 1}
		change(t, operator, &kcwpb.Command{Op: &kcwpb.Command_TopUp{TopUp: topUp}})
	}
	for i, m := range f.members {
		m.stop()
		f.members[i] = f.start(t, i, m.settings.Host.Folder)
	}
	f.leader(t)
	const want = changes + 1
	for i, m := range f.members {
		for range 1000 {
			if m.book.Revision() == want {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		if got := m.book.Revision(); got != want {
			t.Errorf("replica %d has revision %d, want %d", i, got, want)
		}
		if got := m.book.Budget("pew").GetPrepaid(); got != 100+changes {
			t.Errorf("replica %d has %d prepaid tokens, want %d", i, got, 100+changes)
		}
	}
}
