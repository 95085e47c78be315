package kcwforward_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// openAttempts are the attempts that upstreams have got and neither answered nor seen closed.
type openAttempts struct {
	mu     sync.Mutex
	open   map[string][]*exchange
	runs   map[string]int
	faults []string
}

// count returns the number of open attempts at the request. It removes those whose connection
// is closed.
func (o *openAttempts) count(id string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.open[id] = slices.DeleteFunc(o.open[id], func(e *exchange) bool { return isClosed(e.conn) })
	return len(o.open[id])
}

// await waits until at most n attempts at the request are open.
func (o *openAttempts) await(id string, n int) {
	for end := time.Now().Add(longTime); o.count(id) > n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			o.mu.Lock()
			o.faults = append(o.faults, fmt.Sprintf("%s: more than %d attempts stay open", id, n))
			o.mu.Unlock()
			return
		}
	}
}

// begin adds an attempt, once at most one other is open. Runs is set if the upstream runs the
// request.
func (o *openAttempts) begin(e *exchange, runs bool) {
	id := e.Header.Get("Attempt")
	o.await(id, 1)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.open[id] = append(o.open[id], e)
	if runs {
		o.runs[id]++
	}
}

func (o *openAttempts) end(e *exchange) {
	id := e.Header.Get("Attempt")
	o.mu.Lock()
	defer o.mu.Unlock()
	o.open[id] = slices.DeleteFunc(o.open[id], func(other *exchange) bool { return other == e })
}

// hedgeBehavior is what an upstream does with one attempt.
type hedgeBehavior struct {
	// Kind is one of the cases of play. The upstream pauses before event PauseAt and closes
	// the connection in event CutAt, if there are so many.
	Kind, PauseAt, CutAt int
	Pause                time.Duration
}

const (
	hedgeEvents    = 5
	hedgeKinds     = 9
	refusingKind   = 0
	failingKind    = 1
	silentKind     = 2
	cuttingKind    = 3
	replayingKind  = 4
	hedgedRequests = 5
)

// hedgedEvents returns the events of the right answer to a request.
func hedgedEvents(id string) []string {
	var events []string
	for i := range hedgeEvents {
		events = append(events, fmt.Sprintf("id: %d\ndata: %s %d\n\n", i+1, id, i))
	}
	return events
}

func (b hedgeBehavior) play(e *exchange, open *openAttempts) {
	open.begin(e, b.Kind != refusingKind)
	defer open.end(e)
	last, _ := strconv.Atoi(e.Header.Get("Last"))
	events := hedgedEvents(e.Header.Get("Attempt"))
	if b.Kind == replayingKind {
		last = 0
	}
	if b.PauseAt <= last {
		time.Sleep(b.Pause)
	}
	switch b.Kind {
	case refusingKind:
		e.answer(http.StatusServiceUnavailable, "Not-Run: 1\r\n", "full")
		return
	case failingKind:
		e.answer(http.StatusInternalServerError, "", "failed")
		return
	case silentKind:
		for !isClosed(e.conn) {
			time.Sleep(time.Millisecond)
		}
		return
	}
	e.events(false)
	for i := last; i < len(events); i++ {
		if i == b.PauseAt && i > last {
			time.Sleep(b.Pause)
		}
		text := events[i]
		if b.Kind == cuttingKind && i == b.CutAt {
			fmt.Fprintf(e.conn, "%x\r\n%s", len(text), text[:len(text)/2])
			e.closeConn()
			return
		}
		fmt.Fprintf(e.conn, "%x\r\n%s\r\n", len(text), text)
	}
	fmt.Fprint(e.conn, "0\r\n\r\n")
}

// Random upstreams pause, are cut, refuse and replay while several requests are hedged.
func TestHedgedStreamHasEachEventOnce(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(testSeed(t, 38))
	parameters.MinSuccessfulTests, parameters.Workers = 80, 8
	properties := gopter.NewProperties(parameters)
	var mu sync.Mutex
	wholes, won, lost := 0, 0, 0
	const behaviors = 4 * hedgedRequests
	properties.Property("each caller gets a beginning of its stream", prop.ForAll(
		func(upstreams, attempts int, kinds, pausesAt, pauses, cuts []int) string {
			route := resumable
			route.MaxAttempts = attempts
			open := &openAttempts{open: map[string][]*exchange{}, runs: map[string]int{}}
			f := newSilenceFixture(t, upstreams, route, shortSilence, func(e *exchange) {
				at := (e.number - 1) % behaviors
				hedgeBehavior{kinds[at], pausesAt[at], cuts[at], time.Duration(pauses[at]) * shortSilence / 2}.play(e, open)
			})
			var calls sync.WaitGroup
			for i := range hedgedRequests {
				calls.Go(func() {
					id := "request-" + strconv.Itoa(i)
					ctx, cancel := context.WithTimeout(t.Context(), 2*longTime)
					defer cancel()
					status, body, err := f.tryCallFor(ctx, id, 20*shortSilence)
					isWhole, fault := checkHedged(id, status, body, err)
					open.mu.Lock()
					defer open.mu.Unlock()
					if fault != "" {
						open.faults = append(open.faults, fault)
					}
					if isWhole {
						mu.Lock()
						wholes++
						mu.Unlock()
					}
				})
			}
			calls.Wait()
			for i := range hedgedRequests {
				id := "request-" + strconv.Itoa(i)
				open.await(id, 0)
				open.mu.Lock()
				if open.runs[id] > attempts {
					open.faults = append(open.faults, fmt.Sprintf("%s ran at %d upstreams, %d are allowed", id, open.runs[id], attempts))
				}
				open.mu.Unlock()
			}
			mu.Lock()
			defer mu.Unlock()
			f.mu.Lock()
			defer f.mu.Unlock()
			for _, h := range f.hedges {
				switch h.State {
				case "Won":
					won++
				case "Lost":
					lost++
				}
			}
			open.mu.Lock()
			defer open.mu.Unlock()
			return strings.Join(open.faults, "; ")
		},
		gen.IntRange(2, 3), gen.IntRange(2, 3), gen.SliceOfN(behaviors, gen.IntRange(0, hedgeKinds)),
		gen.SliceOfN(behaviors, gen.IntRange(0, hedgeEvents-1)), gen.SliceOfN(behaviors, gen.IntRange(0, 8)),
		gen.SliceOfN(behaviors, gen.IntRange(0, hedgeEvents-1)),
	))
	properties.TestingRun(t)
	t.Logf("%d whole streams; %d hedges won and %d lost", wholes, won, lost)
	if wholes == 0 || won == 0 || lost == 0 {
		t.Error("the behaviors don't cover whole streams and hedges that win and lose")
	}
}

// checkHedged reports whether the caller got its whole stream, and what is wrong with the
// answer.
func checkHedged(id string, status int, body string, err error) (isWhole bool, fault string) {
	right := strings.Join(hedgedEvents(id), "")
	switch {
	case status == 0:
		return false, fmt.Sprintf("%s: %v", id, err)
	case status != http.StatusOK:
		if strings.Contains(body, "id:") {
			return false, fmt.Sprintf("%s: status %d has events", id, status)
		}
		return false, ""
	case !strings.HasPrefix(right, body):
		return false, fmt.Sprintf("%s: the caller got %q", id, body)
	case err == nil && body != right:
		return false, fmt.Sprintf("%s: %q looks complete", id, body)
	}
	return err == nil, ""
}

// tryCallFor is like tryCall, with a deadline that is stated to the router.
func (f *fixture) tryCallFor(ctx context.Context, id string, wait time.Duration) (status int, body string, err error) {
	return f.tryCallWith(ctx, map[string]string{"Attempt": id, "Key": "key", "Wait": strconv.FormatInt(wait.Milliseconds(), 10)})
}
