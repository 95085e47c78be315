package proof

import (
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"kingcupwick.example/kcw-demo/kcwaudit"
	"kingcupwick.example/kcw/kcwledger"
	"kingcupwick.example/kcw/kcwpb"
)

// openStreams sends n streaming requests of the given number of tokens through a
// router, each with its own identity. It returns once each has a response or has
// failed. wait waits for the ends of all of them and returns the calls.
func openStreams(t *testing.T, c *caller, router, n, tokens int) (wait func() []kcwaudit.Call) {
	t.Helper()
	var started, done sync.WaitGroup
	calls := make([]kcwaudit.Call, n)
	started.Add(n)
	for i := range n {
		done.Go(func() {
			var once sync.Once
			markStarted := func() { once.Do(started.Done) }
			calls[i] = c.send(t, router, fmt.Sprintf("stream-%d", i), stream(tokens), markStarted)
			markStarted()
		})
	}
	started.Wait()
	return func() []kcwaudit.Call {
		done.Wait()
		return calls
	}
}

func TestRouterKilledWithStreamsOpen(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	c := &caller{fleet: f}
	wait := openStreams(t, c, 0, 6, 300)
	var receiptSent sync.WaitGroup
	receiptSent.Go(func() { c.send(t, 0, "receipt", receipt("Tamm"), nil) })
	waitFor(t, "the receipt request has reached the plain service", func() bool {
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
			t.Errorf("%s ended %s, although its router was killed", call.Request, call.Outcome)
		}
	}
	receiptSent.Wait()
	for i := range 6 {
		c.retryUntilWhole(t, 1, fmt.Sprintf("stream-%d", i), stream(300))
	}
	// The other router can't tell whether the receipt request ran, so it must
	// not send it again.
	c.send(t, 1, "receipt", receipt("Tamm"), nil)
	f.routers[0].launch(t)
	f.routers[0].awaitReady(t)
	c.retryUntilWhole(t, 0, "after", completion(10))
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
				c.retryUntilWhole(t, i%routers, fmt.Sprintf("ask-%d-%d", i, n), completion(3))
				answered.Add(1)
			}
		})
	}
	for range 2 {
		seen := answered.Load()
		waitFor(t, "requests are answered", func() bool { return answered.Load() > seen+5*callers })
		leader := f.ledgers[f.leader(t)]
		leader.kill(t)
		seen = answered.Load()
		waitFor(t, "requests are answered without the old leader", func() bool { return answered.Load() > seen+2*callers })
		leader.launch(t)
		leader.awaitReady(t)
	}
	stopped.Store(true)
	work.Wait()
	f.audit(t, c.calls, 0)
}

func TestPlannedStopCutsNoStream(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	c := &caller{fleet: f}
	wait := openStreams(t, c, 0, 6, 400)
	f.routers[0].stop(t)
	for _, call := range wait() {
		if call.Outcome != kcwaudit.Whole {
			t.Errorf("%s ended %s during a planned shutdown", call.Request, call.Outcome)
		}
	}
	f.audit(t, c.calls, 0)
}

func TestSilentConnections(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	c := &caller{fleet: f}
	c.retryUntilWhole(t, 0, "first", completion(3))
	router := f.routers[0].cmd.Process.Pid
	wait := openStreams(t, c, 0, 3, 300)
	for _, l := range append(f.ledgerLinks[:], f.engineLinks[0]) {
		l.blockExisting(router)
	}
	// The old connections stay silent, and new ones work. The same router must
	// detect this and answer requests again.
	waitFor(t, "the router answers over new connections", func() bool {
		return c.send(t, 0, fmt.Sprintf("new-%d", time.Now().UnixNano()), completion(3), nil).Outcome == kcwaudit.Whole
	})
	wait()
	for i := range 3 {
		c.retryUntilWhole(t, 0, fmt.Sprintf("stream-%d", i), stream(300))
	}
	f.audit(t, c.calls, 0)
}

func TestLongCutWithTopUp(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name      string
		direction direction
	}{
		{"symmetric", bothDirections},
		{"answers lost", fromTarget},
		{"requests lost", toTarget},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t)
			c := &caller{fleet: f}
			c.retryUntilWhole(t, 0, "before", completion(3))
			for _, l := range f.ledgerLinks {
				l.block(f.routers[0].cmd.Process.Pid, test.direction)
			}
			for i := range 4 {
				c.send(t, 0, fmt.Sprintf("cut-%d", i), completion(3), nil)
				c.retryUntilWhole(t, 1, fmt.Sprintf("other-%d", i), completion(3))
			}
			f.change(t, "top-up", &kcwpb.Command{Op: &kcwpb.Command_TopUp{TopUp: &kcwpb.TopUp{Change: "top-up", Customer: customer, Tokens: 500}}})
			for _, l := range f.ledgerLinks {
				l.unblock()
			}
			f.awaitRevision(t, 2)
			for i := range 4 {
				c.retryUntilWhole(t, 0, fmt.Sprintf("cut-%d", i), completion(3))
			}
			f.audit(t, c.calls, 0)
		})
	}
}

// TestAnswerToChangeLost guards against a change that is taken for failed, or applied twice,
// because the answer to it was lost and it was sent again.
func TestAnswerToChangeLost(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	var links []*link
	var addresses []netip.AddrPort
	for i := range ledgers {
		addresses = append(addresses, f.address(70+i, 0))
		links = append(links, newLink(t, addresses[i], f.address(10+i, 0)))
		// All connections of these links are the operator's.
		links[i].block(0, fromTarget)
	}
	direct := f.operator
	var err error
	if f.operator, err = kcwledger.New(kcwledger.Config{Addresses: addresses, Key: "operator" + keySuffix}); err != nil {
		t.Fatal(err)
	}
	defer f.operator.Close()
	var work sync.WaitGroup
	work.Go(func() {
		for end := time.Now().Add(waitTimeout / 2); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			if response, err := direct.Fleet(t.Context()); err == nil && response.Revision == 2 {
				break
			}
		}
		for _, l := range links {
			l.cut()
			l.unblock()
		}
	})
	defer work.Wait()
	f.change(t, "top-up", &kcwpb.Command{Op: &kcwpb.Command_TopUp{TopUp: &kcwpb.TopUp{Change: "top-up", Customer: customer, Tokens: 500}}})
}

func TestFrozenRouterResumes(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	c := &caller{fleet: f}
	wait := openStreams(t, c, 0, 4, 300)
	f.routers[0].signal(t, syscall.SIGSTOP)
	// Meanwhile the same requests are retried through the other router, which
	// takes over the claims.
	for i := range 4 {
		c.retryUntilWholeAt(t, 1, fmt.Sprintf("stream-%d", i), stream(300))
	}
	f.routers[0].signal(t, syscall.SIGCONT)
	wait()
	c.retryUntilWhole(t, 0, "after", completion(3))
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
			c.retryUntilWhole(t, j, fmt.Sprintf("frozen-%d-%d", i, j), completion(3))
		}
		f.ledgers[old].signal(t, syscall.SIGCONT)
		for j := range 4 {
			c.retryUntilWhole(t, j, fmt.Sprintf("resumed-%d-%d", i, j), completion(3))
		}
	}
	f.audit(t, c.calls, 0)
}

func TestSameIdentityAtOnce(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	c := &caller{fleet: f}
	for i, spec := range []requestSpec{completion(20), stream(50), receipt("Kask"), completion(3), receipt("Saar"), stream(5)} {
		var calls sync.WaitGroup
		request := fmt.Sprintf("same-%d", i)
		for n := range 2 * routers {
			calls.Go(func() { c.send(t, n%routers, request, spec, nil) })
		}
		calls.Wait()
		first, second := c.retryUntilWhole(t, 0, request, spec), c.retryUntilWhole(t, 1, request, spec)
		if first.Digest != second.Digest {
			t.Errorf("%s: the routers gave different answers", request)
		}
	}
	f.audit(t, c.calls, 0)
}
