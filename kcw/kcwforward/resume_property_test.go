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
)

// behavior is what one upstream does with a stream of which the caller has some events.
type behavior struct {
	// Kind is one of the cases of play. Cut is the number of bytes of the stream that are
	// sent before the connection is closed, beyond the stream's size for a whole stream.
	// Piece is the size of the chunks.
	Kind, Cut, Piece int
	// Surplus is set if an answer to another request comes first.
	Surplus bool
}

const behaviors = 14

// play answers as b says. The events are those of the right stream.
func (b behavior) play(e *exchange, events []string) {
	if b.Surplus {
		surplus{status: 503, header: refused, framing: "chunked", id: "other", times: 2}.write(e)
	}
	last, _ := strconv.Atoi(e.Header.Get("Last"))
	rest := events[last:]
	if last == 0 && b.startsStream() {
		// The stream of the caller is the one that begins.
		b.send(e, strings.Join(events, ""))
		return
	}
	switch b.Kind {
	case 0:
		b.send(e, strings.Join(events, ""))
	case 1:
		b.send(e, strings.Join(events[min(last+1, len(events)):], ""))
	case 2:
		b.send(e, strings.ReplaceAll(strings.Join(events, ""), "data: ", "data: x"))
	case 3:
		b.send(e, strings.ReplaceAll(strings.Join(rest, ""), "id: ", "i: "))
	case 4:
		b.send(e, strings.Join(append(rest[:len(rest):len(rest)], rest...), ""))
	case 5:
		framed(200, "Content-Type: application/json\r\n", "{}\n\n")(e)
	case 6:
		raw(204, "", "")(e)
	case 7:
		framed(500, "", strings.Join(rest, ""))(e)
	case 8:
		framed(503, refused, strings.Join(rest, ""))(e)
	case 9:
		framed(206, eventStream, strings.Join(rest, ""))(e)
	case 10:
		b.send(e, "")
	default:
		b.send(e, strings.Join(rest, ""))
	}
}

// startsStream reports whether a caller that has no events yet would get those that b sends, or
// an answer of 200.
func (b behavior) startsStream() bool { return b.Kind < 6 || b.Kind > 9 }

// send sends a stream in chunks, up to its end or to b.Cut bytes.
func (b behavior) send(e *exchange, text string) {
	isCut := b.Cut < len(text)
	text = text[:min(b.Cut, len(text))]
	var chunks []string
	for len(text) > 0 {
		n := min(b.Piece, len(text))
		chunks = append(chunks, text[:n])
		text = text[n:]
	}
	e.events(!isCut, chunks...)
	if isCut {
		e.closeConn()
	}
}

// Random upstreams: the caller gets a beginning of the right stream, all of it if it looks complete.
func TestResumedStreamIsPrefix(t *testing.T) {
	var events []string
	for i := range 6 {
		events = append(events, fmt.Sprintf("id: %d\ndata: %d\n\n", i+1, i*i))
	}
	right := strings.Join(events, "")
	parameters := gopter.DefaultTestParametersWithSeed(testSeed(t, 35))
	parameters.MinSuccessfulTests = 400
	properties := gopter.NewProperties(parameters)
	const attempts = 4
	wholes, resumed := 0, 0
	properties.Property("the caller gets a beginning of the right stream", prop.ForAll(
		func(kinds, cuts, pieces []int, surplus []bool) string {
			route := resumable
			route.MaxAttempts = attempts
			f := newFixture(t, attempts, route, func(e *exchange) {
				at := e.number - 1
				behavior{kinds[at], cuts[at], pieces[at], surplus[at]}.play(e, events)
			})
			start := time.Now()
			response, body, err := f.call(t, http.MethodPost, "")
			if time.Since(start) > longTime/2 {
				return "the caller waited for its deadline"
			}
			if response.StatusCode != http.StatusOK {
				if response.StatusCode > http.StatusInternalServerError && strings.Contains(body, "id:") {
					return "the router's own answer carries events"
				}
				return ""
			}
			if !strings.HasPrefix(right, body) {
				return fmt.Sprintf("the caller got %q", body)
			}
			if err == nil && body != right {
				return fmt.Sprintf("%q looks complete", body)
			}
			if err == nil {
				wholes++
			}
			if f.runs("id-1") > 1 {
				resumed++
			}
			return ""
		},
		gen.SliceOfN(attempts, gen.IntRange(0, behaviors)), gen.SliceOfN(attempts, gen.IntRange(0, 2*len(right))),
		gen.SliceOfN(attempts, gen.IntRange(1, 40)), gen.SliceOfN(attempts, gen.Bool()),
	))
	properties.TestingRun(t)
	t.Logf("of %d streams %d came whole and %d were resumed", parameters.MinSuccessfulTests, wholes, resumed)
	if wholes == 0 || resumed == 0 {
		t.Error("the behaviors don't cover whole and resumed streams")
	}
}
