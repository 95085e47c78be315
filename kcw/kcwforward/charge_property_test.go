package kcwforward_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// usage is what one request has used, as its upstreams and its caller saw it.
type usage struct {
	// begun is set if an upstream began to work on the request, and arrived if one got it whole.
	begun, arrived bool
	// delivered is the number of events that the caller has read.
	delivered int
}

// usages are those of all requests, by ID.
type usages struct {
	mu   sync.Mutex
	byID map[string]*usage
}

func (u *usages) change(id string, change func(*usage)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.byID[id] == nil {
		u.byID[id] = &usage{}
	}
	change(u.byID[id])
}

// Kinds of upstreams in TestWhatMayHaveRunIsCharged.
const (
	chargedWhole = iota
	chargedRefused
	chargedClosedBeforeWork
	chargedClosedAtWork
	chargedClosedAfterHead
	chargedClosedInStream
	chargedFailed
	chargedKinds
)

// chargedEvents is the number of events of a whole stream, and eventTokens the tokens of one.
const (
	chargedEvents = 4
	eventTokens   = 3
)

// playCharged plays one attempt at an upstream that works on the request from beginAfter on and
// drops it when its connection closes.
func playCharged(e *exchange, u *usages, kind int, beginAfter, pace time.Duration) {
	id := e.Header.Get("Attempt")
	if kind == chargedRefused {
		e.answer(http.StatusServiceUnavailable, "Not-Run: 1\r\n", "full")
		return
	}
	u.change(id, func(u *usage) { u.arrived = true })
	if kind == chargedClosedBeforeWork {
		e.closeConn()
		return
	}
	time.Sleep(beginAfter)
	if isClosed(e.conn) {
		e.closeConn()
		return
	}
	u.change(id, func(u *usage) { u.begun = true })
	switch kind {
	case chargedClosedAtWork:
		e.closeConn()
		return
	case chargedFailed:
		e.answer(http.StatusInternalServerError, "", "failed")
		return
	}
	e.events(false)
	if kind == chargedClosedAfterHead {
		e.closeConn()
		return
	}
	last, _ := strconv.Atoi(e.Header.Get("Last"))
	for i := last; i < chargedEvents; i++ {
		time.Sleep(pace)
		if kind == chargedClosedInStream && i == chargedEvents/2 || isClosed(e.conn) {
			e.closeConn()
			return
		}
		text := fmt.Sprintf("id: %d\n\n", i+1)
		fmt.Fprintf(e.conn, "%x\r\n%s\r\n", len(text), text)
	}
	fmt.Fprint(e.conn, "0\r\n\r\n")
}

// readEvents sends a request, reads its events until leaveAfter and returns their number.
func (f *fixture) readEvents(t *testing.T, id string, leaveAfter time.Duration, header ...string) int {
	ctx, leave := context.WithTimeout(t.Context(), leaveAfter)
	defer leave()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url+"/a/x", nil)
	if err != nil {
		t.Error(err)
		return 0
	}
	request.Host = "host.example"
	request.Header.Set("Key", "key")
	request.Header.Set("Attempt", id)
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(response.Body)
	return strings.Count(string(body), "\n\n")
}

// TestWhatMayHaveRunIsCharged guards against a team that uses more tokens than it is charged,
// because its callers leave or upstreams break off, and against charges for what surely has not
// run. Upstreams, times and the leaving of callers are drawn.
func TestWhatMayHaveRunIsCharged(t *testing.T) {
	const (
		requests     = 6
		promptTokens = 50
		unit         = 5 * time.Millisecond
		granted      = 400
	)
	parameters := gopter.DefaultTestParametersWithSeed(testSeed(t, 45))
	parameters.MinSuccessfulTests, parameters.Workers = 100, 8
	properties := gopter.NewProperties(parameters)
	properties.Property("what may have run is charged once, and nothing else", prop.ForAll(
		func(isResumable bool, kinds, begins, leaves []int) string {
			route := stream
			if isResumable {
				route = resumable
			}
			route.Generates = true
			u := &usages{byID: map[string]*usage{}}
			f := newFixture(t, 2, route, func(e *exchange) {
				at := (e.number - 1) % len(kinds)
				playCharged(e, u, kinds[at], time.Duration(begins[at])*unit, unit)
			})
			f.grant(granted, 0, granted)
			var calls sync.WaitGroup
			for i, leave := range leaves {
				calls.Go(func() {
					id := "id-" + strconv.Itoa(i)
					delivered := f.readEvents(t, id, time.Duration(leave)*unit, "Prompt", strconv.Itoa(promptTokens), "Output", strconv.Itoa(chargedEvents*eventTokens))
					u.change(id, func(u *usage) { u.delivered = delivered })
				})
			}
			calls.Wait()
			for f.forwarder.InFlight() > 0 {
				time.Sleep(time.Millisecond)
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			u.mu.Lock()
			defer u.mu.Unlock()
			total := int64(0)
			for _, e := range f.events {
				got := *u.byID[e.RequestID]
				least := int64(got.delivered * eventTokens)
				if got.begun {
					least += promptTokens
				}
				total += least
				switch most := int64(promptTokens + chargedEvents*eventTokens); {
				case e.Used < least || e.Used > most:
					return fmt.Sprintf("%s is charged %d tokens and has used %d: %+v, %s", e.RequestID, e.Used, least, got, e.Outcome)
				case !got.arrived && e.Outcome != "CallerGone" && e.Used > 0:
					return fmt.Sprintf("%s is charged %d tokens though no upstream has run it: %s", e.RequestID, e.Used, e.Outcome)
				}
			}
			if total > granted {
				return fmt.Sprintf("%d tokens of %d were used", total, granted)
			}
			return ""
		},
		gen.Bool(), gen.SliceOfN(3*requests, gen.IntRange(0, chargedKinds-1)), gen.SliceOfN(3*requests, gen.IntRange(0, 6)),
		gen.SliceOfN(requests, gen.IntRange(1, 14)),
	))
	properties.TestingRun(t)
}
