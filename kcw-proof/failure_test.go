package proof

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"kingcupwick.example/kcw-demo/kcwaudit"
	"kingcupwick.example/kcw/kcwpb"
)

// opened sends n streams of that many tokens through a router, each under an
// identity of its own, and returns once all have begun. Wait returns what they
// came to.
func opened(t *testing.T, c *caller, router, n, tokens int) (wait func() []kcwaudit.Call) {
	t.Helper()
	var begun, ended sync.WaitGroup
	calls := make([]kcwaudit.Call, n)
	begun.Add(n)
	for i := range n {
		ended.Go(func() {
			var once sync.Once
			mark := func() { once.Do(begun.Done) }
			calls[i] = c.send(t, router, fmt.Sprintf("stream-%d", i), stream(tokens), mark)
			mark()
		})
	}
	begun.Wait()
	return func() []kcwaudit.Call {
		ended.Wait()
		return calls
	}
}

func TestRouterKilledWithStreamsOpen(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	c := &caller{fleet: f}
	wait := opened(t, c, 0, 6, 300)
	var once sync.WaitGroup
	once.Go(func() { c.send(t, 0, "receipt", receipt("Tamm"), nil) })
	until(t, "the receipt has reached the desk", func() bool {
		for _, entry := range f.records(t) {
			if entry.Request == "receipt" {
				return true
			}
		}
		return false
	})
	f.routers[0].kill(t)
	for _, call := range wait() {
		if call.Outcome != kcwaudit.Broken {
			t.Errorf("%s ended %s at a router that was killed", call.Request, call.Outcome)
		}
	}
	once.Wait()
	for i := range 6 {
		c.insist(t, 1, fmt.Sprintf("stream-%d", i), stream(300))
	}
	// Whether it ran is not known to the other router, which must not try.
	c.send(t, 1, "receipt", receipt("Tamm"), nil)
	f.routers[0].launch(t)
	f.routers[0].await(t)
	c.insist(t, 0, "after", ask(10))
	f.audit(t, c.calls, 1)
}

func TestLeaderKilledWhileClaimsCommit(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	c := &caller{fleet: f}
	const callers = 8
	var stopped atomic.Bool
	var work sync.WaitGroup
	var answered atomic.Int64
	for i := range callers {
		work.Go(func() {
			for n := 0; !stopped.Load(); n++ {
				c.insist(t, i%routers, fmt.Sprintf("ask-%d-%d", i, n), ask(3))
				answered.Add(1)
			}
		})
	}
	for range 2 {
		seen := answered.Load()
		until(t, "requests are answered", func() bool { return answered.Load() > seen+5*callers })
		leader := f.ledgers[f.leader(t)]
		leader.kill(t)
		seen = answered.Load()
		until(t, "requests are answered without the old leader", func() bool { return answered.Load() > seen+2*callers })
		leader.launch(t)
		leader.await(t)
	}
	stopped.Store(true)
	work.Wait()
	f.audit(t, c.calls, 0)
}

func TestPlannedStopCutsNoStream(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	c := &caller{fleet: f}
	wait := opened(t, c, 0, 6, 400)
	f.routers[0].stop(t)
	for _, call := range wait() {
		if call.Outcome != kcwaudit.Whole {
			t.Errorf("%s ended %s at a planned stop", call.Request, call.Outcome)
		}
	}
	f.audit(t, c.calls, 0)
}

func TestSilentConnections(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	c := &caller{fleet: f}
	c.insist(t, 0, "first", ask(3))
	router := f.routers[0].cmd.Process.Pid
	wait := opened(t, c, 0, 3, 300)
	for _, l := range append(f.ledgerLinks[:], f.engineLinks[0]) {
		l.silence(router)
	}
	// New connections work: without a word from the old ones, requests must be
	// answered again through the same router.
	until(t, "the router answers over new connections", func() bool {
		return c.send(t, 0, fmt.Sprintf("new-%d", time.Now().UnixNano()), ask(3), nil).Outcome == kcwaudit.Whole
	})
	wait()
	for i := range 3 {
		c.insist(t, 0, fmt.Sprintf("stream-%d", i), stream(300))
	}
	f.audit(t, c.calls, 0)
}

func TestLongCutWithTopUp(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name string
		way  direction
	}{
		{"symmetric", both},
		{"answers lost", inward},
		{"requests lost", outward},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t)
			c := &caller{fleet: f}
			c.insist(t, 0, "before", ask(3))
			for _, l := range f.ledgerLinks {
				l.hold(f.routers[0].cmd.Process.Pid, test.way)
			}
			for i := range 4 {
				c.send(t, 0, fmt.Sprintf("cut-%d", i), ask(3), nil)
				c.insist(t, 1, fmt.Sprintf("other-%d", i), ask(3))
			}
			f.change(t, &kcwpb.Command{Op: &kcwpb.Command_TopUp{TopUp: &kcwpb.TopUp{Change: "top-up", Customer: customer, Tokens: 500}}})
			for _, l := range f.ledgerLinks {
				l.heal()
			}
			f.awaitRevision(t, 2)
			for i := range 4 {
				c.insist(t, 0, fmt.Sprintf("cut-%d", i), ask(3))
			}
			f.audit(t, c.calls, 0)
		})
	}
}

func TestFrozenRouterResumes(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	c := &caller{fleet: f}
	wait := opened(t, c, 0, 4, 300)
	f.routers[0].signal(t, syscall.SIGSTOP)
	// Meanwhile the claims are taken over through the other router.
	for i := range 4 {
		c.insistAt(t, 1, fmt.Sprintf("stream-%d", i), stream(300))
	}
	f.routers[0].signal(t, syscall.SIGCONT)
	wait()
	c.insist(t, 0, "after", ask(3))
	f.audit(t, c.calls, 0)
}

func TestFrozenLeaderResumes(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	c := &caller{fleet: f}
	for i := range 2 {
		old := f.leader(t)
		f.ledgers[old].signal(t, syscall.SIGSTOP)
		for j := range 4 {
			c.insist(t, j, fmt.Sprintf("frozen-%d-%d", i, j), ask(3))
		}
		f.ledgers[old].signal(t, syscall.SIGCONT)
		for j := range 4 {
			c.insist(t, j, fmt.Sprintf("resumed-%d-%d", i, j), ask(3))
		}
	}
	f.audit(t, c.calls, 0)
}

func TestSameIdentityAtOnce(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	c := &caller{fleet: f}
	for i, call := range []sort{ask(20), stream(50), receipt("Kask"), ask(3), receipt("Saar"), stream(5)} {
		var at sync.WaitGroup
		request := fmt.Sprintf("same-%d", i)
		for n := range 2 * routers {
			at.Go(func() { c.send(t, n%routers, request, call, nil) })
		}
		at.Wait()
		first, second := c.insist(t, 0, request, call), c.insist(t, 1, request, call)
		if first.Digest != second.Digest {
			t.Errorf("%s: the routers gave two answers", request)
		}
	}
	f.audit(t, c.calls, 0)
}
