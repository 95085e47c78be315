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

// shortAnswerTimeout is an answer deadline well below waitTimeout. A call
// without streaming to a silent upstream fails only when that deadline ends.
const shortAnswerTimeout = "5s"

// setFaults sets the faults of a stand-in, given as JSON.
func setFaults(t *testing.T, standin *process, faults string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPut, "http://"+standin.adminAddress+"/fault", strings.NewReader(faults))
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

// running returns the number of requests in progress according to the record of
// a stand-in.
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

// sendContinuously sends requests through both routers until stop is called. The
// answers have varying lengths.
func sendContinuously(t *testing.T, c *caller) (stop func()) {
	var stopped atomic.Bool
	var work sync.WaitGroup
	for i := range 2 * routers {
		work.Go(func() {
			for n := 0; !stopped.Load(); n++ {
				c.retryUntilWhole(t, i%routers, fmt.Sprintf("ask-%d-%d", i, n), completion(3+(4*n+i)%40))
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
	// drainBound is the time after the start of a drain during which the
	// upstream may still get requests.
	const drainBound = 5 * time.Second
	f := newFleetWith(t, true, "10m")
	c := &caller{fleet: f}
	wait := openStreams(t, c, 0, 8, 400)
	if running(t, f.engine) == 0 {
		t.Fatal("the engine to drain has no stream in progress")
	}
	stop := sendContinuously(t, c)
	setFaults(t, f.engine, `{"Drain":true}`)
	drainDeadline := time.Now().Add(drainBound)
	for _, call := range wait() {
		if call.Outcome != kcwaudit.Whole {
			t.Errorf("%s ended %s while its upstream was draining", call.Request, call.Outcome)
		}
	}
	waitFor(t, "the other engine gets requests after the bound", func() bool {
		const minRequests = 20
		return startedAfter(t, f.spare, drainDeadline) > minRequests
	})
	stop()
	if n := startedAfter(t, f.engine, drainDeadline); n > 0 {
		t.Errorf("%d requests reached the engine more than %v after it began to drain", n, drainBound)
	}
	f.audit(t, c.calls, 0)
}

// startedAfter returns the number of requests that a stand-in started after the
// given time.
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
	f := newFleetWith(t, true, "10m")
	c := &caller{fleet: f}
	const streams, requests = 8, 12
	wait := openStreams(t, c, 0, streams, 400)
	if running(t, f.engine) == 0 {
		t.Fatal("the engine to freeze has no stream in progress")
	}
	f.engine.signal(t, syscall.SIGSTOP)
	var work sync.WaitGroup
	for i := range requests {
		work.Go(func() {
			call := c.send(t, i%routers, fmt.Sprintf("frozen-%d", i), completion(3+i), nil)
			if call.Outcome != kcwaudit.Whole {
				c.mu.Lock()
				outcome := c.refusalOutcomes[call.Request]
				c.mu.Unlock()
				t.Errorf("%s ended %s with stated outcome %q, although another engine was free", call.Request, call.Outcome, outcome)
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
		t.Error("no stream broke when its engine froze")
	}
	f.engine.signal(t, syscall.SIGCONT)
	for i := range streams {
		c.retryUntilWhole(t, i, fmt.Sprintf("stream-%d", i), stream(400))
	}
	for i := range requests {
		c.retryUntilWhole(t, i, fmt.Sprintf("frozen-%d", i), completion(3+i))
	}
	reached := 0
	for _, entry := range recordOf(t, f.engine) {
		if strings.HasPrefix(entry.Request, "frozen-") {
			reached++
		}
	}
	t.Logf("%d of %d streams broke; %d of %d other requests reached the frozen engine", broken, streams, reached, requests)
	f.audit(t, c.calls, 0)
}

// It does not run beside the other tests, whose load makes routers refuse requests because the
// ledger is late.
func TestPauseOfUpstreamBreaksNoAnswer(t *testing.T) {
	f := newFleetWith(t, true, "10m")
	c := &caller{fleet: f}
	for _, test := range []struct{ name, faults string }{
		{"before the first byte", `{"Pause":"1s"}`},
		{"in the middle", `{"Pause":"1s","PauseAfter":20}`},
	} {
		for _, standin := range f.standins() {
			setFaults(t, standin, test.faults)
		}
		const streams, requests = 8, 6
		var work sync.WaitGroup
		send := func(i int, kind string, spec requestSpec) {
			request := fmt.Sprintf("%s-%d-%s", kind, i, strings.ReplaceAll(test.name, " ", "-"))
			work.Go(func() {
				if call := c.send(t, i%routers, request, spec, nil); call.Outcome != kcwaudit.Whole {
					t.Errorf("%s ended %s", request, call.Outcome)
				}
			})
		}
		for i := range streams {
			send(i, "stream", stream(60))
		}
		for i := range requests {
			send(i, "ask", completion(3+i))
			send(i, "receipt", receipt("Mets"))
		}
		work.Wait()
	}
	f.audit(t, c.calls, 0)
}

func TestSilentUpstreamNotRepeated(t *testing.T) {
	t.Parallel()
	f := newFleetWith(t, false, shortAnswerTimeout)
	c := &caller{fleet: f}
	setFaults(t, f.desk, `{"Silent":true,"Path":"/receipts"}`)
	c.send(t, 0, "silent", receipt("Mets"), nil)
	if outcome := c.refusalOutcomes["silent"]; outcome != "unknown" {
		t.Errorf("the accepted but unanswered call has stated outcome %q, want unknown", outcome)
	}
	// From here on the service would answer a repetition.
	setFaults(t, f.desk, `{}`)
	for router := range routers {
		c.refusalOutcomes["silent"] = ""
		call := c.send(t, router, "silent", receipt("Mets"), nil)
		if outcome := c.refusalOutcomes["silent"]; call.Outcome != kcwaudit.Broken || outcome != "unknown" {
			t.Errorf("router %d: the retry ended %s with stated outcome %q", router, call.Outcome, outcome)
		}
	}
	c.retryUntilWhole(t, 0, "answered", receipt("Kuusk"))
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
	wait := openStreams(t, c, 0, streams, 300)
	stop := sendContinuously(t, c)
	leader, router := f.ledgers[f.leader(t)], f.routers[0]
	// Both processes are killed before the wait for either exit.
	leader.signal(t, syscall.SIGKILL)
	router.signal(t, syscall.SIGKILL)
	for _, p := range []*process{leader, router} {
		<-p.done
		p.cmd = nil
	}
	for _, call := range wait() {
		if call.Outcome != kcwaudit.Broken {
			t.Errorf("%s ended %s, although its router was killed", call.Request, call.Outcome)
		}
	}
	leader.launch(t)
	router.launch(t)
	leader.awaitReady(t)
	router.awaitReady(t)
	for i := range streams {
		c.retryUntilWhole(t, i, fmt.Sprintf("stream-%d", i), stream(300))
	}
	stop()
	f.audit(t, c.calls, 0)
}
