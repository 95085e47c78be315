package main

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"kingcupwick.example/kcw/kcwledger"
	"kingcupwick.example/kcw/kcwpb"
)

// contractCall is a read of a customer's contract or, if change is set, a change
// based on revision base.
type contractCall struct {
	customer string
	change   string
	base     uint64
}

// contractState is the newest revision of a contract and the ID of the change
// that made it. It is also the result of a read.
type contractState struct {
	revision uint64
	change   string
}

// contractResult is the result of a call. A rejected change returns the current
// state.
type contractResult struct {
	contractState
	accepted bool
}

// contractSpec is the sequential specification of contracts: of the changes
// based on one revision, the first is accepted and raises the revision; every
// other one is rejected and returns the accepted contract.
var contractSpec = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := map[string][]porcupine.Operation{}
		for _, op := range history {
			customer := op.Input.(contractCall).customer
			parts[customer] = append(parts[customer], op)
		}
		var all [][]porcupine.Operation
		for _, part := range parts {
			all = append(all, part)
		}
		return all
	},
	Init: func() any { return contractState{} },
	Step: func(state, input, output any) (bool, any) {
		current, in, out := state.(contractState), input.(contractCall), output.(contractResult)
		switch {
		case in.change == "":
			return out.contractState == current, current
		case out.accepted:
			return in.base == current.revision && out.revision > current.revision, contractState{out.revision, in.change}
		}
		return in.base != current.revision && out.contractState == current, current
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
}

// raceHistory records the calls of operators that change the same contracts.
type raceHistory struct {
	tb    testing.TB
	start time.Time

	mu       sync.Mutex
	ops      []porcupine.Operation
	accepted int
	rejected int
	sent     int
}

// read reads the leader's contract of customer and records the call.
func (r *raceHistory) read(id int, c *kcwledger.Client, customer string) contractState {
	ctx, cancel := context.WithTimeout(context.Background(), waitBound)
	defer cancel()
	calledAt := time.Since(r.start)
	list, err := c.List(ctx, &kcwpb.ListRequest{Customer: customer})
	if err != nil {
		r.tb.Error("read not answered: ", err)
		return contractState{}
	}
	var current contractState
	if len(list.Contracts) > 0 {
		current = contractState{list.Contracts[0].Revision, list.Contracts[0].Change}
	}
	r.record(id, contractCall{customer: customer}, contractResult{contractState: current}, calledAt)
	return current
}

// put sends a change and records the call. After a call without an answer it
// sends the change again through the next client. After an accepted change it
// sends the change once more, which must return the same revision.
func (r *raceHistory) put(id int, clients []*kcwledger.Client, customer, change string, base uint64, weight int64) {
	in := contractCall{customer: customer, change: change, base: base}
	calledAt := time.Since(r.start)
	var result *kcwpb.Result
	for n := 0; result == nil; n++ {
		if time.Since(r.start)-calledAt > waitBound {
			r.tb.Error("change not answered: ", change)
			return
		}
		result = r.send(clients[n%len(clients)], putOf(r.tb, change, customer, base, weight))
	}
	switch result.Code {
	case kcwpb.Code_CODE_OK, kcwpb.Code_CODE_REPEATED:
		r.record(id, in, contractResult{contractState{result.Revision, change}, true}, calledAt)
		repeated := r.send(clients[1], putOf(r.tb, change, customer, base, weight))
		if repeated != nil && (repeated.Code != kcwpb.Code_CODE_REPEATED || repeated.Revision != result.Revision) {
			r.tb.Errorf("change %s sent again returns %v, first returned revision %d", change, repeated, result.Revision)
		}
	case kcwpb.Code_CODE_STALE_REVISION:
		current := contractState{result.Revision, result.GetContract().GetChange()}
		r.record(id, in, contractResult{contractState: current}, calledAt)
	default:
		r.tb.Errorf("change %s returns %v", change, result)
	}
}

// send sends cmd with a short timeout and returns nil if there is no answer.
func (r *raceHistory) send(c *kcwledger.Client, cmd *kcwpb.Command) *kcwpb.Result {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	result, err := c.Change(ctx, cmd)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	if err != nil {
		return nil
	}
	return result
}

// record adds a call that was made at calledAt, measured from the start of the
// test, and has just returned.
func (r *raceHistory) record(id int, in contractCall, out contractResult, calledAt time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{
		ClientId: id, Input: in, Output: out, Call: int64(calledAt), Return: int64(time.Since(r.start)),
	})
	switch {
	case in.change == "":
	case out.accepted:
		r.accepted++
	default:
		r.rejected++
	}
}

// operate repeatedly reads and changes contracts until ctx ends.
func (r *raceHistory) operate(ctx context.Context, id int, clients []*kcwledger.Client, rnd *rand.Rand) {
	const maxPauseMillis = 20
	for n := 0; ctx.Err() == nil; n++ {
		customer := fmt.Sprint("customer-", rnd.Intn(2))
		current := r.read(id, clients[0], customer)
		r.put(id, clients, customer, fmt.Sprintf("%d.%d", id, n), current.revision, int64(rnd.Intn(100)+1))
		time.Sleep(time.Duration(rnd.Intn(maxPauseMillis)) * time.Millisecond)
	}
}

// injectFault causes one of several faults on the leader's connections, and
// heals all after a random time.
func (f *linkedFleet) injectFault(tb testing.TB, fault int, rnd *rand.Rand) {
	leader := f.leader(tb)
	switch fault {
	case 0:
		f.isolate(leader)
	case 1:
		f.clientForwarders[leader].block(false, true)
	case 2:
		f.isolate(leader)
		f.clientForwarders[leader].block(true, true)
	case 3:
		f.forEachLink(leader, func(l *forwarder) { l.closeAll(true) })
	case 4:
		f.clientForwarders[leader].closeAll(true)
	case 5:
		for to, l := range f.links[leader] {
			if to != leader {
				l.block(true, false)
			}
		}
	case 6:
		for _, links := range f.links {
			links[leader].block(true, false)
		}
	default:
		f.clientForwarders[leader].stall()
		f.forEachLink(leader, (*forwarder).stall)
	}
	time.Sleep(time.Duration(300+rnd.Intn(900)) * time.Millisecond)
	f.healAll()
}

// TestRacingOperators lets operators change contracts concurrently from the same
// revisions while the leader's connections fail and recover, and checks that the
// history is linearizable (Horn and Kroening, "Faster linearizability checking
// via P-compositionality", 2015).
func TestRacingOperators(t *testing.T) {
	const operators, faults = 5, 8
	f := newLinkedFleet(t, 3, nil)
	base := seed(t)
	f.leader(t)
	r := &raceHistory{tb: t, start: time.Now()}
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	for id := range operators {
		clients := []*kcwledger.Client{f.client(t, testKeys.Operator), f.client(t, testKeys.Operator)}
		done.Go(func() { r.operate(ctx, id, clients, rand.New(rand.NewSource(base+int64(id)))) })
	}
	watchers := []*watcher{newWatcher(t, f.fleet, "w0"), newWatcher(t, f.fleet, "w1"), newWatcher(t, f.fleet, "w2")}
	rnd := rand.New(rand.NewSource(base - 1))
	for _, fault := range rnd.Perm(faults) {
		f.injectFault(t, fault, rnd)
	}
	f.leader(t)
	cancel()
	done.Wait()
	result := porcupine.CheckOperationsTimeout(contractSpec, r.ops, time.Minute)
	t.Logf("%d operations, %d changes accepted, %d rejected, %d calls sent: %v", len(r.ops), r.accepted, r.rejected, r.sent, result)
	if result != porcupine.Ok {
		t.Errorf("the history of %d operations is %v", len(r.ops), result)
	}
	if r.accepted == 0 || r.rejected == 0 {
		t.Errorf("%d changes accepted and %d rejected: the operators did not race", r.accepted, r.rejected)
	}
	newest := f.members[f.leader(t)].book.Revision()
	for _, w := range watchers {
		await(t, "equal revisions", func() bool { return w.Revision() == newest })
	}
}
