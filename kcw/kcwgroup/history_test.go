package kcwgroup

import (
	"context"
	"fmt"
	"math/rand"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// operation is a read or a write of the register named key. Only a write has a value.
type operation struct {
	key   string
	value string
	write bool
}

// registers is the sequential specification against which histories are checked.
var registers = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(operation).key
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		in := input.(operation)
		if in.write {
			return true, in.value
		}
		return output.(string) == state.(string), state
	},
	DescribeOperation: func(input, output any) string {
		return fmt.Sprintf("%v -> %v", input, output)
	},
}

// recorder collects the operations of all clients.
type recorder struct {
	mu  sync.Mutex
	ops []porcupine.Operation
}

func (r *recorder) add(op porcupine.Operation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, op)
}

// client runs operations one after the other, each on a random running host, until the
// context ends. A write of unknown outcome is recorded as one that never returns; other
// failed operations are not recorded.
func (c *cluster) client(ctx context.Context, id int, rnd *rand.Rand, start time.Time, r *recorder) {
	const forever = int64(1) << 62
	for i := 0; ctx.Err() == nil; i++ {
		hosts := c.running()
		if len(hosts) == 0 {
			continue
		}
		h := hosts[rnd.Intn(len(hosts))]
		in := operation{key: fmt.Sprintf("k%d", rnd.Intn(3)), write: rnd.Intn(2) == 0}
		if in.write {
			in.value = fmt.Sprintf("%d.%d", id, i)
		}
		call := int64(time.Since(start))
		out, err := h.operate(in)
		end := int64(time.Since(start))
		switch {
		case err == nil:
		case in.write && kindOf(err) == OutcomeUnknown:
			end = forever
		default:
			time.Sleep(time.Millisecond)
			continue
		}
		r.add(porcupine.Operation{ClientId: id, Input: in, Output: out, Call: call, Return: end})
	}
}

func (h *host) operate(in operation) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	group, machine := h.group, h.machine
	if in.write {
		_, err := group.Propose(ctx, []byte(in.key+"="+in.value))
		return "", err
	}
	if err := group.Confirm(ctx); err != nil {
		return "", err
	}
	return lastValue(machine.list(), in.key), nil
}

func lastValue(commands []string, key string) string {
	for i := len(commands) - 1; i >= 0; i-- {
		if value, ok := strings.CutPrefix(commands[i], key+"="); ok {
			return value
		}
	}
	return ""
}

// injectFault injects a random fault at the leader and repairs it after a while: it
// isolates the leader, with or without stopping its clock, drops the messages to it,
// restarts it, or moves its clock an hour ahead, as after a suspension.
func (c *cluster) injectFault(rnd *rand.Rand) {
	victim := c.leader().name
	pause := time.Duration(200+rnd.Intn(400)) * time.Millisecond
	switch rnd.Intn(5) {
	case 0:
		c.isolate(victim)
	case 1:
		c.stopClock(victim, true)
		c.isolate(victim)
	case 2:
		c.cutInbound(victim)
	case 3:
		c.stop(victim, true)
		time.Sleep(pause)
		c.start(victim, true)
		return
	default:
		c.mu.Lock()
		c.hosts[victim].skew += time.Hour
		c.mu.Unlock()
	}
	time.Sleep(pause)
	c.stopClock(victim, false)
	c.reconnect(victim)
}

// Writes and confirmed reads of concurrent clients are linearizable while faults are
// injected at the leader (Horn and Kroening, "Faster linearizability checking via
// P-compositionality", 2015).
func TestHistoryIsLinearizable(t *testing.T) {
	const clients, faults = 6, 10
	c := newCluster(t, 3, func(cfg *Config) {
		cfg.SnapshotEntries = 200
		cfg.KeepEntries = 20
	})
	c.startAll()
	c.leader()
	base := seed(t, 1)
	var r recorder
	var wait sync.WaitGroup
	ctx, cancel := context.WithCancel(t.Context())
	start := time.Now()
	for id := range clients {
		wait.Add(1)
		go func() {
			defer wait.Done()
			c.client(ctx, id, rand.New(rand.NewSource(base+int64(id))), start, &r)
		}()
	}
	rnd := rand.New(rand.NewSource(base - 1))
	for range faults {
		c.injectFault(rnd)
	}
	cancel()
	wait.Wait()
	result := porcupine.CheckOperationsTimeout(registers, r.ops, time.Minute)
	t.Logf("%d operations: %v", len(r.ops), result)
	if result != porcupine.Ok {
		t.Errorf("the history of %d operations is %v", len(r.ops), result)
	}
}
