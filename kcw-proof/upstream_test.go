package proof

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"kingcupwick.example/kcw-demo/kcwaudit"
	"kingcupwick.example/kcw-standin/kcwrecord"
)

// answerTime is a deadline for answers in one piece that ends well before the
// tests' own bound. An upstream that is silent costs such a call all of it.
const answerTime = "5s"

// order puts faults, written as JSON, in force at a stand-in.
func order(t *testing.T, standin *process, faults string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPut, "http://"+standin.ready+"/fault", strings.NewReader(faults))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Fatalf("faults at %s: %s", standin.name, response.Status)
	}
}

// running returns how many requests run at a stand-in by its own record.
func running(t *testing.T, standin *process) int {
	t.Helper()
	n := 0
	for _, entry := range recordOf(t, standin) {
		if entry.Outcome == kcwrecord.Running {
			n++
		}
	}
	return n
}

// asking asks through both routers until stop is called, each time for an
// answer of another length.
func asking(t *testing.T, c *caller) (stop func()) {
	var stopped atomic.Bool
	var work sync.WaitGroup
	for i := range 2 * routers {
		work.Go(func() {
			for n := 0; !stopped.Load(); n++ {
				c.insist(t, i%routers, fmt.Sprintf("ask-%d-%d", i, n), ask(3+(4*n+i)%40))
			}
		})
	}
	return func() {
		stopped.Store(true)
		work.Wait()
	}
}

func TestLeavingUpstream(t *testing.T) {
	t.Parallel()
	// leaveBound is how long after the start of its drain an upstream may
	// still be sent requests.
	const leaveBound = 5 * time.Second
	f := newFleetOf(t, true, "10m")
	c := &caller{fleet: f}
	wait := opened(t, c, 0, 8, 400)
	if running(t, f.engine) == 0 {
		t.Fatal("no stream runs at the engine that leaves")
	}
	stop := asking(t, c)
	order(t, f.engine, `{"Drain":true}`)
	last := time.Now().Add(leaveBound)
	for _, call := range wait() {
		if call.Outcome != kcwaudit.Whole {
			t.Errorf("%s ended %s while its upstream left", call.Request, call.Outcome)
		}
	}
	until(t, "the other engine is asked after the bound", func() bool {
		const least = 20
		return startedAfter(t, f.spare, last) > least
	})
	stop()
	if n := startedAfter(t, f.engine, last); n > 0 {
		t.Errorf("%d requests reached the engine later than %v after it began to leave", n, leaveBound)
	}
	f.audit(t, c.calls, 0)
}

func startedAfter(t *testing.T, standin *process, at time.Time) int {
	t.Helper()
	n := 0
	for _, entry := range recordOf(t, standin) {
		if entry.StartedAt.After(at) {
			n++
		}
	}
	return n
}

func TestFrozenUpstream(t *testing.T) {
	t.Parallel()
	f := newFleetOf(t, true, "10m")
	c := &caller{fleet: f}
	const streams, asks = 8, 12
	wait := opened(t, c, 0, streams, 400)
	if running(t, f.engine) == 0 {
		t.Fatal("no stream runs at the engine to freeze")
	}
	f.engine.signal(t, syscall.SIGSTOP)
	var work sync.WaitGroup
	for i := range asks {
		work.Go(func() {
			call := c.send(t, i%routers, fmt.Sprintf("frozen-%d", i), ask(3+i), nil)
			if call.Outcome != kcwaudit.Whole {
				c.mu.Lock()
				said := c.said[call.Request]
				c.mu.Unlock()
				t.Errorf("%s ended %s and said %q, and another engine was free", call.Request, call.Outcome, said)
			}
		})
	}
	work.Wait()
	broken := 0
	for _, call := range wait() {
		if call.Outcome == kcwaudit.Broken {
			broken++
		}
	}
	if broken == 0 {
		t.Error("no stream of the frozen engine broke")
	}
	f.engine.signal(t, syscall.SIGCONT)
	for i := range streams {
		c.insist(t, i, fmt.Sprintf("stream-%d", i), stream(400))
	}
	for i := range asks {
		c.insist(t, i, fmt.Sprintf("frozen-%d", i), ask(3+i))
	}
	both := 0
	for _, entry := range recordOf(t, f.engine) {
		if strings.HasPrefix(entry.Request, "frozen-") {
			both++
		}
	}
	t.Logf("%d of %d streams broke; %d of %d asks were first sent to the frozen engine", broken, streams, both, asks)
	f.audit(t, c.calls, 0)
}

func TestSilentUpstreamNotRepeated(t *testing.T) {
	t.Parallel()
	f := newFleetOf(t, false, answerTime)
	c := &caller{fleet: f}
	order(t, f.desk, `{"Silent":true,"Path":"/receipts"}`)
	c.send(t, 0, "silent", receipt("Mets"), nil)
	if said := c.said["silent"]; said != "unknown" {
		t.Errorf("the call that was taken and not answered is %q to its caller", said)
	}
	// A repetition would be answered from now on.
	order(t, f.desk, `{}`)
	for router := range routers {
		c.said["silent"] = ""
		call := c.send(t, router, "silent", receipt("Mets"), nil)
		if said := c.said["silent"]; call.Outcome != kcwaudit.Broken || said != "unknown" {
			t.Errorf("router %d: the retry ended %s and said %q", router, call.Outcome, said)
		}
	}
	c.insist(t, 0, "answered", receipt("Kuusk"))
	runs := 0
	for _, entry := range recordOf(t, f.desk) {
		if entry.Request == "silent" {
			runs++
		}
	}
	if runs != 1 {
		t.Errorf("the call ran %d times", runs)
	}
	f.audit(t, c.calls, 1)
}

func TestLeaderAndRouterKilledAtOnce(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	c := &caller{fleet: f}
	const streams = 6
	wait := opened(t, c, 0, streams, 300)
	stop := asking(t, c)
	leader, router := f.ledgers[f.leader(t)], f.routers[0]
	// Both signals are sent before either end is waited for.
	leader.signal(t, syscall.SIGKILL)
	router.signal(t, syscall.SIGKILL)
	for _, p := range []*process{leader, router} {
		<-p.done
		p.cmd = nil
	}
	for _, call := range wait() {
		if call.Outcome != kcwaudit.Broken {
			t.Errorf("%s ended %s at a router that was killed", call.Request, call.Outcome)
		}
	}
	leader.launch(t)
	router.launch(t)
	leader.await(t)
	router.await(t)
	for i := range streams {
		c.insist(t, i, fmt.Sprintf("stream-%d", i), stream(300))
	}
	stop()
	f.audit(t, c.calls, 0)
}
