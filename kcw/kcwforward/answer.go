package kcwforward

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"kingcupwick.example/kcw/kcwroster"
	"kingcupwick.example/kcw/kcwroute"
)

// heldAnswer is a whole answer that is not passed on yet.
type heldAnswer struct {
	status int
	header http.Header
	body   []byte
}

// delivery is how much of a stream has gone to the caller.
type delivery struct {
	begun  bool
	events int64
	lastID string
}

// connectionHeaders concern one connection and are not passed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopHeaders removes from h the headers that concern one connection, those
// that Connection names included (RFC 9110, section 7.6.1).
func RemoveHopHeaders(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		h.Del(name)
	}
}

// answer passes on the answer of an upstream that ran the request.
func (a *attempt) answer(response *http.Response) (result, kcwroster.Outcome) {
	if response.Header.Get("Content-Encoding") != "" {
		// Callers ask for plain bodies, so that this is not the upstream's.
		return a.broken("the answer is damaged", errors.New("it has an encoding"))
	}
	isGood := response.StatusCode < http.StatusMultipleChoices
	if isGood && a.route.Kind == kcwroute.Stream {
		return a.relay(response)
	}
	if a.stream.begun {
		return a.broken("the stream can't be resumed", errors.New("status "+strconv.Itoa(response.StatusCode)))
	}
	held, err := a.hold(response)
	if err != nil {
		return a.broken("the answer broke off", err)
	}
	a.event.FirstByte = a.f.cfg.Now().Sub(a.start)
	if response.StatusCode >= http.StatusInternalServerError {
		a.held = held
		a.cause = "upstream " + a.ticket.ID() + " failed the request with status " + strconv.Itoa(held.status)
		return refusedRun, kcwroster.Failed
	}
	held.write(a.call)
	return delivered, kcwroster.Succeeded
}

// hold reads a whole answer.
func (a *attempt) hold(response *http.Response) (*heldAnswer, error) {
	a.ran = true
	body, taken, err := a.f.cfg.Memory.ReadAll(response.Body, response.ContentLength, a.f.cfg.MaxAnswerBytes)
	a.taken += taken
	if err != nil {
		return nil, err
	}
	a.f.carried(len(body), len(body))
	a.reusable = !response.Close
	header := response.Header.Clone()
	RemoveHopHeaders(header)
	return &heldAnswer{status: response.StatusCode, header: header, body: body}, nil
}

// write gives the answer to the caller.
func (h *heldAnswer) write(c *call) {
	c.event.Status = h.status
	copyHeader(c.w.Header(), h.header)
	if c.r.Method != http.MethodHead && h.status != http.StatusNoContent && h.status != http.StatusNotModified {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(h.body)))
	}
	c.w.WriteHeader(h.status)
	// A failed write means that the caller has gone.
	_, _ = c.w.Write(h.body)
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}

// errEventTooLarge ends a stream with an event larger than the limit, and
// errMemoryFull one for whose events there is no memory.
var (
	errEventTooLarge = errors.New("an event is too large")
	errMemoryFull    = errors.New("requests hold all memory that they may")
)

// grow returns buffer with twice its room.
func (a *attempt) grow(buffer []byte) ([]byte, error) {
	if len(buffer) >= a.f.cfg.MaxEventBytes {
		return nil, errEventTooLarge
	}
	if more := int64(2 * cap(buffer)); !a.f.cfg.Memory.TryAcquire(more) {
		return nil, errMemoryFull
	}
	a.f.cfg.Memory.Release(int64(cap(buffer)))
	a.taken += int64(cap(buffer))
	return append(make([]byte, 0, 2*cap(buffer)), buffer...), nil
}

// relay passes the events of a stream on as they come, whole events only.
func (a *attempt) relay(response *http.Response) (result, kcwroster.Outcome) {
	if !a.f.cfg.Memory.TryAcquire(readSize) {
		return a.streamBroken(errMemoryFull)
	}
	a.taken += readSize
	buffer := make([]byte, 0, readSize)
	for {
		if err := a.r.Context().Err(); err != nil && a.ran {
			return a.streamBroken(err)
		}
		if err := a.await(); err != nil && a.conn.Reader.Buffered() == 0 && !errors.Is(err, io.EOF) {
			return a.streamBroken(err)
		}
		if len(buffer) == cap(buffer) {
			var err error
			if buffer, err = a.grow(buffer); err != nil {
				return a.streamBroken(err)
			}
		}
		n, err := response.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		a.f.carried(n, n)
		a.ran = a.ran || n > 0
		if gone := a.r.Context().Err(); gone != nil && n > 0 {
			return a.streamBroken(gone)
		}
		if whole := wholeEvents(buffer); whole > 0 {
			if n > 0 {
				a.ticket.DataReceived()
			}
			if failure := a.pass(response, buffer[:whole]); failure != nil {
				a.cause = "the caller can't be written to: " + failure.Error()
				return callerGone, kcwroster.Neutral
			}
			buffer = append(buffer[:0], buffer[whole:]...)
		}
		switch {
		case err == nil:
		case err != io.EOF:
			return a.streamBroken(err)
		case len(buffer) > 0:
			return a.streamBroken(io.ErrUnexpectedEOF)
		default:
			a.reusable = !response.Close
			a.begin(response)
			return delivered, kcwroster.Succeeded
		}
	}
}

// readSize is the first size of a stream's buffer in bytes, some events.
const readSize = 4 << 10

func (a *attempt) streamBroken(err error) (result, kcwroster.Outcome) {
	return a.broken("the stream broke off after "+strconv.FormatInt(a.stream.events, 10)+" events", err)
}

// begin writes the header of the answer, once for all attempts.
func (a *attempt) begin(response *http.Response) {
	if a.stream.begun {
		return
	}
	a.stream.begun = true
	a.event.FirstByte = a.f.cfg.Now().Sub(a.start)
	a.event.Status = response.StatusCode
	header := response.Header.Clone()
	RemoveHopHeaders(header)
	header.Del("Content-Length")
	copyHeader(a.w.Header(), header)
	a.w.WriteHeader(response.StatusCode)
}

// pass gives whole events to the caller, in one write.
func (a *attempt) pass(response *http.Response, events []byte) error {
	a.begin(response)
	for rest := events; len(rest) > 0; {
		end := wholeEvent(rest)
		if id := eventID(rest[:end]); id != "" {
			a.stream.lastID = id
		}
		a.stream.events++
		rest = rest[end:]
	}
	if _, err := a.w.Write(events); err != nil {
		return err
	}
	return http.NewResponseController(a.w).Flush()
}

// wholeEvent returns the size of the first event of data with the empty line
// that ends it, zero if it is not whole.
func wholeEvent(data []byte) int {
	for at := 0; ; {
		end := bytes.IndexByte(data[at:], '\n')
		if end < 0 {
			return 0
		}
		line := bytes.TrimSuffix(data[at:at+end], []byte("\r"))
		at += end + 1
		if len(line) == 0 {
			return at
		}
	}
}

// wholeEvents returns the size of all whole events at the beginning of data.
func wholeEvents(data []byte) int {
	size := 0
	for {
		next := wholeEvent(data[size:])
		if next == 0 {
			return size
		}
		size += next
	}
}

// eventID returns the identity of an event, empty if it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
