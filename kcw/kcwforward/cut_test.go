package kcwforward_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"kingcupwick.example/kcw/kcwroute"
)

// framing is how the end of an answer is found (RFC 9112, section 6.3).
type framing int

const (
	byLength framing = iota
	byChunks
	byTrailers
	byConnection
	byOldConnection
	framings
)

// What an upstream writes on a kept connection before its answer.
const (
	nothing = iota
	surplusByLength
	surplusByChunks
	brokenSurplus
	brokenOwn
	restOfBody
	leads
)

// cutAnswer is an answer that its upstream sends up to some byte, and then closes or resets
// the connection.
type cutAnswer struct {
	route   kcwroute.Route
	method  string
	proto   string
	status  int
	framing framing
	// interims is the number of interim answers before the answer.
	interims int
	// isKept is set if the connection has carried a request before. Lead is what is then
	// written before the answer, up to leadCut bytes if that is broken.
	isKept        bool
	lead, leadCut int
	// cut is the number of bytes sent, all if it is larger than the answer.
	cut     int
	isReset bool
	// lastFraming is that of the answer to the request if it is sent again.
	lastFraming framing
}

var (
	cutRoutes   = []kcwroute.Route{once, repeatable, stream, resumable}
	cutMethods  = []string{http.MethodPost, http.MethodPost, http.MethodPost, http.MethodHead}
	cutStatuses = []int{200, 200, 200, 200, 204, 304, 404, 500}
)

// newCutAnswer returns an answer that the numbers determine.
func newCutAnswer(route, method, status, frame, lastFrame, interims, lead, leadCut, cut int, isOldCaller, isKept, isReset bool) cutAnswer {
	c := cutAnswer{
		route: cutRoutes[route%len(cutRoutes)], method: cutMethods[method%len(cutMethods)], proto: "HTTP/1.1",
		status: cutStatuses[status%len(cutStatuses)], framing: framing(frame % int(framings)), lastFraming: framing(lastFrame % int(framings)),
		interims: interims % 3, isKept: isKept, lead: lead % leads, leadCut: leadCut, isReset: isReset,
	}
	if isOldCaller {
		c.proto = "HTTP/1.0"
	}
	head, body := c.text(c.framing, "own", c.events())
	c.cut = cut % (len(head) + len(body) + 2)
	return c
}

// events returns the body of the answer, in parts that are events on a route of streams.
func (c cutAnswer) events() []string {
	if !c.hasBody() {
		return nil
	}
	return []string{event1, event2, event3}
}

func (c cutAnswer) hasBody() bool {
	return c.method != http.MethodHead && c.status != http.StatusNoContent && c.status != http.StatusNotModified
}

// isStream reports whether the answer is passed on event by event.
func (c cutAnswer) isStream() bool {
	return c.route.Kind == kcwroute.Stream && c.status == http.StatusOK && c.hasBody()
}

// text returns the head and the body of an answer as they are sent.
func (c cutAnswer) text(f framing, seal string, events []string) (head, body string) {
	head = strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", c.interims)
	proto := "HTTP/1.1"
	if f == byOldConnection {
		proto = "HTTP/1.0"
	}
	head += fmt.Sprintf("%s %d Some reason\r\nSeal: %s\r\nAttempt: id-1\r\n%s", proto, c.status, seal, eventStream)
	whole := strings.Join(events, "")
	switch f {
	case byLength:
		if c.status != http.StatusNoContent {
			head += fmt.Sprintf("Content-Length: %d\r\n", len(whole))
		}
		body = whole
	case byChunks, byTrailers:
		if c.status != http.StatusNoContent {
			head += "Transfer-Encoding: chunked\r\n"
		}
		for _, event := range events {
			// A chunk ends within an event.
			body += fmt.Sprintf("4;x=y\r\n%s\r\n%x\r\n%s\r\n", event[:4], len(event)-4, event[4:])
		}
		body += "0\r\n"
		if f == byTrailers {
			body += "Trailing: field\r\nOther: field\r\n"
		}
		body += "\r\n"
	case byConnection:
		head += "Connection: close\r\n"
		body = whole
	case byOldConnection:
		body = whole
	}
	if !c.hasBody() {
		body = ""
	}
	return head + "\r\n", body
}

// wholeBody returns the body of the answer and whether it is whole, by RFC 9112 and as a
// stream of events.
func (c cutAnswer) wholeBody() (body string, isWhole bool) {
	head, sent := c.text(c.framing, "own", c.events())
	if c.cut < len(head) {
		return "", false
	}
	body = strings.Join(c.events(), "")
	if c.framing < byConnection || !c.hasBody() {
		return body, c.cut >= len(head)+len(sent)
	}
	body = body[:min(c.cut-len(head), len(body))]
	isWhole = !c.isReset && (!c.isStream() || body == event1 || body == event1+event2 || body == event1+event2+event3)
	return body, isWhole
}

// writeLead writes what comes before the answer on a kept connection.
func (c cutAnswer) writeLead(e *exchange) {
	own, _ := c.text(c.framing, "broken", c.events())
	text := ""
	switch c.lead {
	case surplusByLength:
		text = "HTTP/1.1 503 X\r\nAttempt: id-0\r\nContent-Length: 6\r\n\r\nsecret"
	case surplusByChunks:
		text = "HTTP/1.1 200 X\r\nAttempt: id-0\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nsecret\r\n0\r\n\r\n"
	case brokenSurplus:
		text = "HTTP/1.1 503 Some reason\r\nOther: value\r\nSeal: id-0\r\nAttempt: id-0\r\nContent-Length: 6\r\n\r\nsecret"
		text = text[:c.leadCut%len(text)]
	case brokenOwn:
		text = own[:c.leadCut%len(own)]
	case restOfBody:
		text = "secret\r\n"
	}
	_, _ = io.WriteString(e.conn, text)
}

// play sends the answer up to its cut and ends the connection.
func (c cutAnswer) play(e *exchange) {
	if c.isKept && e.position > 1 {
		c.writeLead(e)
	}
	head, body := c.text(c.framing, "own", c.events())
	text := head + body
	_, _ = io.WriteString(e.conn, text[:min(c.cut, len(text))])
	if c.isReset {
		_ = e.conn.(*net.TCPConn).SetLinger(0)
	}
	_ = e.conn.Close()
}

// playAgain sends a whole answer to the request that is sent again.
func (c cutAnswer) playAgain(e *exchange) {
	again := c
	again.status = http.StatusOK
	last, _ := strconv.Atoi(e.Header.Get("Last"))
	events := again.events()
	head, body := again.text(c.lastFraming, "again", events[min(last, len(events)):])
	_, _ = io.WriteString(e.conn, head+body)
	if c.lastFraming >= byConnection {
		_ = e.conn.Close()
	}
}

// check makes the call and returns what is wrong with the answer that the caller gets.
func (c cutAnswer) check(t *testing.T) string {
	var sends atomic.Int64
	script := func(e *exchange) {
		if sends.Add(1) == 1 {
			c.play(e)
			return
		}
		c.playAgain(e)
	}
	var f *fixture
	if c.isKept {
		f = newKept(t, 2, c.route, script)
	} else {
		f = newFixture(t, 2, c.route, script)
	}
	defer f.closeUpstreams()
	got, err := f.callRaw(c.method, c.proto)
	if err != nil {
		return err.Error()
	}
	hasLead := c.isKept && c.lead != nothing && c.method != http.MethodHead
	body, isWhole := c.wholeBody()
	all := strings.Join(c.events(), "")
	if c.method != http.MethodHead {
		all = event1 + event2 + event3
	}
	switch {
	case got.status == http.StatusGatewayTimeout:
		return "the caller waited for its deadline"
	case !got.isWhole && got.seal != "" && !strings.HasPrefix(all, got.body):
		return fmt.Sprintf("the broken answer has the body %q", got.body)
	case !got.isWhole:
		if isWhole && !c.isReset && !hasLead {
			return "a whole answer is broken"
		}
		return ""
	case got.seal == "own" && c.isStream() && c.route.Resumable && !isWhole && got.body == all:
		// The other upstream has completed the stream.
		return ""
	case got.seal == "own" && !isWhole:
		return fmt.Sprintf("an answer cut at %d bytes looks whole, with status %d and body %q", c.cut, got.status, got.body)
	case got.seal == "own" && (got.body != body || got.status != c.status):
		return fmt.Sprintf("the answer has status %d and body %q, want %d and %q", got.status, got.body, c.status, body)
	case got.seal == "own" && c.framing >= byConnection && c.hasBody() && !got.endsWithConn:
		return "the answer ends with its connection, and the caller's does not"
	case got.seal == "again" && (got.status != http.StatusOK || got.body != all || !c.route.MayRepeat()):
		return fmt.Sprintf("the second answer has status %d and body %q", got.status, got.body)
	case got.seal != "own" && got.seal != "again" && (got.seal != "" || got.status < http.StatusInternalServerError):
		return fmt.Sprintf("status %d with the seal %q", got.status, got.seal)
	case got.seal == "" && isWhole && !c.isReset && !hasLead:
		return fmt.Sprintf("a whole answer fails with status %d, %q", got.status, got.body)
	}
	return ""
}

// Answers cut at random bytes: none looks whole to the caller unless it is.
func TestCutAnswerNeverLooksWhole(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(testSeed(t, 38))
	parameters.MinSuccessfulTests = 1000
	properties := gopter.NewProperties(parameters)
	large := gen.IntRange(0, 1<<20)
	properties.Property("a cut answer is broken to the caller", prop.ForAll(
		func(shape, cuts []int, flags []bool) string {
			c := newCutAnswer(shape[0], shape[1], shape[2], shape[3], shape[4], shape[5], shape[6], cuts[0], cuts[1], flags[0], flags[1], flags[2])
			wrong := ""
			// The subtest closes the upstreams and the server of the case.
			t.Run("case", func(t *testing.T) { wrong = c.check(t) })
			if wrong != "" {
				return fmt.Sprintf("%s: %+v", wrong, c)
			}
			return ""
		},
		gen.SliceOfN(7, large), gen.SliceOfN(2, large), gen.SliceOfN(3, gen.Bool()),
	))
	properties.TestingRun(t)
}

// TestAnswerCutAtEachByteNeverLooksWhole checks the answers of all framings, cut at each byte.
func TestAnswerCutAtEachByteNeverLooksWhole(t *testing.T) {
	for _, route := range []kcwroute.Route{once, stream} {
		for frame := range framings {
			for _, isReset := range []bool{false, true} {
				c := cutAnswer{route: route, method: http.MethodPost, proto: "HTTP/1.1", status: http.StatusOK, framing: frame, interims: 1, isReset: isReset}
				head, body := c.text(frame, "own", c.events())
				for c.cut = 0; c.cut <= len(head)+len(body); c.cut++ {
					t.Run("case", func(t *testing.T) {
						if wrong := c.check(t); wrong != "" {
							t.Errorf("%s: %+v", wrong, c)
						}
					})
				}
			}
		}
	}
}

func FuzzCutAnswer(f *testing.F) {
	f.Add(0, 0, 0, 0, 0, 0, 0, 0, 0, false, false, false)
	f.Add(2, 0, 0, 3, 1, 1, 3, 20, 120, true, true, true)
	f.Fuzz(func(t *testing.T, route, method, status, frame, lastFrame, interims, lead, leadCut, cut int, isOldCaller, isKept, isReset bool) {
		for _, n := range []int{route, method, status, frame, lastFrame, interims, lead, leadCut, cut} {
			if n < 0 {
				t.Skip()
			}
		}
		c := newCutAnswer(route, method, status, frame, lastFrame, interims, lead, leadCut, cut, isOldCaller, isKept, isReset)
		if wrong := c.check(t); wrong != "" {
			t.Errorf("%s: %+v", wrong, c)
		}
	})
}
