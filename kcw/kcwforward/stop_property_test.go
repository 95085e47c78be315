package kcwforward_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"kingcupwick.example/kcw/kcwroute"
)

// Kinds of answers that upstreams give in TestStopCutsNothingSentToIt.
const (
	wholeAnswer = iota
	refusedAnswer
	failedAnswer
	resetAnswer
	brokenAnswer
	answerKinds
)

// playStopping answers with as many events as the request names, or with a plain body, and pauses
// before the one with the number pauseAt.
func playStopping(e *exchange, isStream bool, kind, pauseAt int, pause time.Duration) {
	switch kind {
	case refusedAnswer:
		e.answer(http.StatusServiceUnavailable, "Not-Run: 1\r\n", "full")
		return
	case failedAnswer:
		e.answer(http.StatusInternalServerError, "", "failed")
		return
	case resetAnswer:
		e.closeConn()
		return
	}
	events, _ := strconv.Atoi(e.Header.Get("Events"))
	last, _ := strconv.Atoi(e.Header.Get("Last"))
	if isStream {
		e.events(false)
	}
	for i := last; i < events; i++ {
		if i == pauseAt {
			time.Sleep(pause)
		}
		if kind == brokenAnswer && i == events/2 {
			e.closeConn()
			return
		}
		if isStream {
			text := fmt.Sprintf("id: %d\n\n", i+1)
			fmt.Fprintf(e.conn, "%x\r\n%s\r\n", len(text), text)
		}
	}
	if isStream {
		fmt.Fprint(e.conn, "0\r\n\r\n")
		return
	}
	good(e)
}

// TestStopCutsNothingSentToIt guards against requests that are sent to a stopping router, passed
// on and cut at the end of the stop. Routes, sizes, deadlines, times of arrival, pauses and
// failures of upstreams are drawn.
func TestStopCutsNothingSentToIt(t *testing.T) {
	const (
		earlier = 12
		unit    = 10 * time.Millisecond
	)
	parameters := gopter.DefaultTestParametersWithSeed(testSeed(t, 45))
	parameters.MinSuccessfulTests, parameters.Workers = 100, 8
	properties := gopter.NewProperties(parameters)
	routes := []kcwroute.Route{once, repeatable, stream, resumable}
	properties.Property("requests are refused or get the answer of an upstream", prop.ForAll(
		func(routeAt, stopUnits, sentUnits, waitUnits, events, pauseAt, pauseUnits int, kinds []int) string {
			route := routes[routeAt]
			isStream := route.Kind == kcwroute.Stream
			f := newSilenceFixture(t, 2, route, shortSilence, func(e *exchange) {
				if e.number <= earlier {
					playStopping(e, isStream, wholeAnswer, -1, 0)
					return
				}
				playStopping(e, isStream, kinds[(e.number-earlier-1)%len(kinds)], pauseAt, time.Duration(pauseUnits)*unit)
			})
			for i := range earlier {
				_, _, _ = f.call(t, http.MethodPost, "", "Attempt", "earlier-"+strconv.Itoa(i), "Events", "1")
			}
			f.beginStop(time.Duration(stopUnits) * unit)
			ending := time.AfterFunc(time.Duration(stopUnits)*unit, f.forwarder.End)
			defer ending.Stop()
			time.Sleep(time.Duration(sentUnits) * unit)
			response, _, _ := f.call(t, http.MethodPost, "", "Attempt", "late", "Events", strconv.Itoa(events), "Wait", strconv.Itoa(waitUnits*int(unit.Milliseconds())))
			for f.forwarder.InFlight() > 0 {
				time.Sleep(time.Millisecond)
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			ended := f.events[len(f.events)-1]
			// A request that is still there after its deadline, which is before the end of the
			// stop, may be ended by either.
			isStopped := strings.Contains(ended.Cause, "stop") && ended.Elapsed < time.Duration(waitUnits)*unit
			switch {
			case !response.Close:
				return "the connection is not closed"
			case isStopped && (ended.Outcome != "Stopping" || len(f.requests) > earlier):
				return fmt.Sprintf("ended %s after %d attempts: %s", ended.Outcome, len(f.requests)-earlier, ended.Cause)
			case ended.Outcome == "Stopping" && response.Header.Get("Retry-After") == "":
				return "refused without Retry-After"
			}
			return ""
		},
		gen.IntRange(0, len(routes)-1), gen.IntRange(1, 30), gen.IntRange(0, 30), gen.IntRange(1, 60), gen.IntRange(1, 6),
		gen.IntRange(0, 6), gen.IntRange(0, 30), gen.SliceOfN(3, gen.IntRange(0, answerKinds-1)),
	))
	properties.TestingRun(t)
}
