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

// registerCall is a read of a customer's contract, or a change of it made from
// revision base if change is set.
type registerCall struct {
	customer string
	change   string
	base     uint64
}

// registerState is the newest revision of a contract and the change that made
// it; it is also what a read gives.
type registerState struct {
	revision uint64
	change   string
}

// registerAnswer is what a call gave. A change that lost gives the winner.
type registerAnswer struct {
	registerState
	won bool
}

// contractRegister is the sequential specification of contracts: of changes
// made from one revision the first wins and gives a higher revision, every
// other one is shown the contract that won.
var contractRegister = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := map[string][]porcupine.Operation{}
		for _, op := range history {
			customer := op.Input.(registerCall).customer
			parts[customer] = append(parts[customer], op)
		}
		var all [][]porcupine.Operation
		for _, part := range parts {
			all = append(all, part)
		}
		return all
	},
	Init: func() any { return registerState{} },
	Step: func(state, input, output any) (bool, any) {
		now, in, out := state.(registerState), input.(registerCall), output.(registerAnswer)
		switch {
		case in.change == "":
			return out.registerState == now, now
		case out.won:
			return in.base == now.revision && out.revision > now.revision, registerState{out.revision, in.change}
		}
		return in.base != now.revision && out.registerState == now, now
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
}

// race is the history of operators that change the same contracts.
type race struct {
	tb    testing.TB
	start time.Time

	mu   sync.Mutex
	ops  []porcupine.Operation
	won  int
	lost int
	sent int
}

// read records a read of the leader's contract, and gives it.
func (r *race) read(id int, c *kcwledger.Client, customer string) registerState {
	ctx, cancel := context.WithTimeout(context.Background(), waitBound)
	defer cancel()
	call := time.Since(r.start)
	list, err := c.List(ctx, &kcwpb.ListRequest{Customer: customer})
	if err != nil {
		r.tb.Error("read not answered: ", err)
		return registerState{}
	}
	var now registerState
	if len(list.Contracts) > 0 {
		now = registerState{list.Contracts[0].Revision, list.Contracts[0].Change}
	}
	r.record(id, registerCall{customer: customer}, registerAnswer{registerState: now}, call)
	return now
}

// put records a change. It is sent through several clients, again after each
// that gives no answer, and once more after the answer.
func (r *race) put(id int, clients []*kcwledger.Client, customer, change string, base uint64, weight int64) {
	in := registerCall{customer: customer, change: change, base: base}
	call := time.Since(r.start)
	var result *kcwpb.Result
	for n := 0; result == nil; n++ {
		if time.Since(r.start)-call > waitBound {
			r.tb.Error("change not answered: ", change)
			return
		}
		result = r.send(clients[n%len(clients)], putOf(r.tb, change, customer, base, weight))
	}
	switch result.Code {
	case kcwpb.Code_CODE_OK, kcwpb.Code_CODE_REPEATED:
		r.record(id, in, registerAnswer{registerState{result.Revision, change}, true}, call)
		again := r.send(clients[1], putOf(r.tb, change, customer, base, weight))
		if again != nil && (again.Code != kcwpb.Code_CODE_REPEATED || again.Revision != result.Revision) {
			r.tb.Errorf("change %s sent again gives %v, first gave revision %d", change, again, result.Revision)
		}
	case kcwpb.Code_CODE_STALE_REVISION:
		winner := registerState{result.Revision, result.GetContract().GetChange()}
		r.record(id, in, registerAnswer{registerState: winner}, call)
	default:
		r.tb.Errorf("change %s gives %v", change, result)
	}
}

// send sends cmd for a short time; the answer may be lost.
func (r *race) send(c *kcwledger.Client, cmd *kcwpb.Command) *kcwpb.Result {
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

func (r *race) record(id int, in registerCall, out registerAnswer, call time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{
		ClientId: id, Input: in, Output: out, Call: int64(call), Return: int64(time.Since(r.start)),
	})
	switch {
	case in.change == "":
	case out.won:
		r.won++
	default:
		r.lost++
	}
}

// operate reads and changes contracts until ctx ends.
func (r *race) operate(ctx context.Context, id int, clients []*kcwledger.Client, rnd *rand.Rand) {
	const pause = 20
	for n := 0; ctx.Err() == nil; n++ {
		customer := fmt.Sprint("customer-", rnd.Intn(2))
		now := r.read(id, clients[0], customer)
		r.put(id, clients, customer, fmt.Sprintf("%d.%d", id, n), now.revision, int64(rnd.Intn(100)+1))
		time.Sleep(time.Duration(rnd.Intn(pause)) * time.Millisecond)
	}
}

// disturb does one of several harms to the leader's connections, and heals all
// after a while.
func (f *linkedFleet) disturb(tb testing.TB, harm int, rnd *rand.Rand) {
	lead := f.leader(tb)
	switch harm {
	case 0:
		f.isolate(lead)
	case 1:
		f.doors[lead].hold(false, true)
	case 2:
		f.isolate(lead)
		f.doors[lead].hold(true, true)
	case 3:
		f.between(lead, func(l *forwarder) { l.drop(true) })
	case 4:
		f.doors[lead].drop(true)
	case 5:
		for to, l := range f.links[lead] {
			if to != lead {
				l.hold(true, false)
			}
		}
	case 6:
		for _, links := range f.links {
			links[lead].hold(true, false)
		}
	default:
		f.doors[lead].hush()
		f.between(lead, (*forwarder).hush)
	}
	time.Sleep(time.Duration(300+rnd.Intn(900)) * time.Millisecond)
	f.healAll()
}

// TestRacingOperators has operators change contracts from equal revisions while
// the leader is cut off, deafened and healed, and checks that the history is
// linearizable (Horn and Kroening, "Faster linearizability checking via
// P-compositionality", 2015).
func TestRacingOperators(t *testing.T) {
	const operators, harms = 5, 8
	f := newLinkedFleet(t, 3, nil)
	base := seed(t)
	f.leader(t)
	r := &race{tb: t, start: time.Now()}
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	for id := range operators {
		clients := []*kcwledger.Client{f.client(t, testKeys.Operator), f.client(t, testKeys.Operator)}
		done.Go(func() { r.operate(ctx, id, clients, rand.New(rand.NewSource(base+int64(id)))) })
	}
	watchers := []*watcher{newWatcher(t, f.fleet, "w0"), newWatcher(t, f.fleet, "w1"), newWatcher(t, f.fleet, "w2")}
	rnd := rand.New(rand.NewSource(base - 1))
	for _, harm := range rnd.Perm(harms) {
		f.disturb(t, harm, rnd)
	}
	f.leader(t)
	cancel()
	done.Wait()
	result := porcupine.CheckOperationsTimeout(contractRegister, r.ops, time.Minute)
	t.Logf("%d operations, %d changes won, %d lost, %d calls sent: %v", len(r.ops), r.won, r.lost, r.sent, result)
	if result != porcupine.Ok {
		t.Errorf("the history of %d operations is %v", len(r.ops), result)
	}
	if r.won == 0 || r.lost == 0 {
		t.Errorf("%d changes won and %d lost: no race was run", r.won, r.lost)
	}
	newest := f.members[f.leader(t)].book.Revision()
	for _, w := range watchers {
		await(t, "equal revisions", func() bool { return w.Revision() == newest })
	}
}
