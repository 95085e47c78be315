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

// bufferedAnswer is a whole answer that has not been passed on yet.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
	// isCloseDelimited is set if only the end of the connection ended the answer.
	isCloseDelimited bool
}

// hopHeaders are the hop-by-hop headers, which are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopHeaders removes the hop-by-hop headers from h, including those that the
// Connection header names (RFC 9110, section 7.6.1).
func RemoveHopHeaders(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// forwardAnswer passes on the answer of an upstream that ran the request.
func (a *attempt) forwardAnswer(response *http.Response) (result, kcwroster.Outcome) {
	if response.Header.Get("Content-Encoding") != "" {
		// Callers request unencoded bodies, so an encoding is a sign of damage.
		return a.endBroken("the answer is damaged", errors.New("it has an encoding"))
	}
	a.isSuccess, a.isCloseDelimited = response.StatusCode < http.StatusMultipleChoices, isCloseDelimited(response)
	if a.resumed != nil {
		if err := checkResumption(response); err != nil {
			return a.endBroken("the stream can't be resumed", err)
		}
		return a.relay(response)
	}
	if a.isSuccess && a.route.Kind == kcwroute.Stream && isStream(response) {
		return a.relay(response)
	}
	answer, err := a.bufferAnswer(response)
	if err != nil {
		return a.endBroken("the answer broke off", err)
	}
	if response.StatusCode >= http.StatusInternalServerError {
		a.failedAnswer = answer
		a.cause = "upstream " + a.ticket.ID() + " failed the request with status " + strconv.Itoa(answer.status)
		return failedRun, kcwroster.Failed
	}
	if !a.claim() {
		return replaced, kcwroster.Replaced
	}
	if a.isSuccess {
		a.begin()
		a.isUnmeasured = len(answer.body) > 0
	}
	answer.write(a.call)
	return delivered, kcwroster.Succeeded
}

// receivedBody is the body of an answer that reports the data that arrives to the roster.
type receivedBody struct {
	body   io.Reader
	ticket *kcwroster.Attempt
}

// Read implements io.Reader.
func (b receivedBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if n > 0 {
		b.ticket.DataReceived()
	}
	return n, err
}

// bufferAnswer reads a whole answer into memory.
func (a *attempt) bufferAnswer(response *http.Response) (*bufferedAnswer, error) {
	a.bodyStarted = true
	body, acquired, err := a.f.cfg.Memory.ReadAll(receivedBody{response.Body, a.ticket}, response.ContentLength, a.f.cfg.MaxAnswerBytes)
	a.memoryHeld += acquired
	if err == nil {
		err = a.checkEnd(response)
	}
	if err != nil {
		return nil, err
	}
	a.f.recordBytes(len(body), len(body))
	a.reusable = !response.Close
	header := response.Header.Clone()
	RemoveHopHeaders(header)
	return &bufferedAnswer{status: response.StatusCode, header: header, body: body, isCloseDelimited: isCloseDelimited(response)}, nil
}

// write writes the answer to the caller.
func (h *bufferedAnswer) write(c *call) {
	c.event.Status = h.status
	c.event.FirstByte = c.f.cfg.Now().Sub(c.start)
	copyHeader(c.w.Header(), h.header)
	c.closeIfStopping()
	switch {
	case h.isCloseDelimited:
		// The caller must not be told a length that the upstream has not stated.
		c.delimitByClose()
	case c.r.Method != http.MethodHead && h.status != http.StatusNoContent && h.status != http.StatusNotModified:
		c.w.Header().Set("Content-Length", strconv.Itoa(len(h.body)))
	}
	c.w.WriteHeader(h.status)
	// A write fails only if the caller has disconnected or takes nothing.
	_ = c.write(h.body)
	c.endAnswer()
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}

// errEventTooLarge ends a stream with an event larger than MaxEventBytes. ErrMemoryFull
// ends a stream whose events would exceed the limit of Config.Memory.
var (
	errEventTooLarge = errors.New("an event is too large")
	errMemoryFull    = errors.New("requests hold all memory that they may")
)

// growBuffer returns a copy of buffer with twice its capacity. The error is
// errEventTooLarge or errMemoryFull.
func (a *attempt) growBuffer(buffer []byte) ([]byte, error) {
	if len(buffer) >= a.f.cfg.MaxEventBytes {
		return nil, errEventTooLarge
	}
	if size := int64(2 * cap(buffer)); !a.f.cfg.Memory.TryAcquire(size) {
		return nil, errMemoryFull
	}
	a.f.cfg.Memory.Release(int64(cap(buffer)))
	a.memoryHeld += int64(cap(buffer))
	return append(make([]byte, 0, 2*cap(buffer)), buffer...), nil
}

// relay passes on the events of a stream as they arrive. It passes on only whole events.
func (a *attempt) relay(response *http.Response) (result, kcwroster.Outcome) {
	if !a.f.cfg.Memory.TryAcquire(initialBufferBytes) {
		return a.endBrokenStream(errMemoryFull)
	}
	a.memoryHeld += initialBufferBytes
	buffer := make([]byte, 0, initialBufferBytes)
	body := receivedBody{response.Body, a.ticket}
	for {
		if err := a.r.Context().Err(); err != nil && a.bodyStarted {
			return a.endBrokenStream(err)
		}
		if len(buffer) == cap(buffer) {
			var err error
			if buffer, err = a.growBuffer(buffer); err != nil {
				return a.endBrokenStream(err)
			}
		}
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		if err == io.EOF {
			if endErr := a.checkEnd(response); endErr != nil {
				err = endErr
			}
		}
		buffer = buffer[:len(buffer)+n]
		a.f.recordBytes(n, n)
		a.bodyStarted = a.bodyStarted || n > 0
		if callerErr := a.r.Context().Err(); callerErr != nil && n > 0 {
			return a.endBrokenStream(callerErr)
		}
		if size := completeEventsSize(buffer); size > 0 {
			a.begin()
			a.ticket.EventsReceived(a.route.GapTarget)
			events, isReplaced, orderErr := a.takeEvents(buffer[:size])
			if isReplaced {
				return replaced, kcwroster.Replaced
			}
			if writeErr := a.forwardEvents(response, events); writeErr != nil {
				a.cause = "can't write to the caller: " + writeErr.Error()
				return callerGone, kcwroster.Neutral
			}
			if orderErr != nil {
				return a.endBrokenStream(orderErr)
			}
			buffer = append(buffer[:0], buffer[size:]...)
		}
		switch {
		case err == nil:
		case err != io.EOF:
			return a.endBrokenStream(err)
		case len(buffer) > 0 || isCloseDelimited(response) && !a.isStreamStarted():
			// An empty stream that ends with its connection can't be told from one that
			// broke off before its first event.
			return a.endBrokenStream(io.ErrUnexpectedEOF)
		case a.resumed != nil && a.resumed.end() != nil:
			return a.endBrokenStream(a.resumed.end())
		case !a.claim():
			return replaced, kcwroster.Replaced
		default:
			a.reusable = !response.Close
			a.startStream(response)
			a.endAnswer()
			return delivered, kcwroster.Succeeded
		}
	}
}

// initialBufferBytes is the initial size of a stream's buffer in bytes, enough for
// several events.
const initialBufferBytes = 4 << 10

// endBrokenStream ends an attempt whose stream did not end properly.
func (a *attempt) endBrokenStream(err error) (result, kcwroster.Outcome) {
	return a.endBroken("the stream broke off after "+strconv.FormatInt(a.eventsPassedOn(), 10)+" events", err)
}

// startStream writes the header of the answer, unless an earlier attempt has done so.
func (a *attempt) startStream(response *http.Response) {
	a.mu.Lock()
	wasStarted := a.stream.started
	a.stream.started = true
	a.mu.Unlock()
	if wasStarted {
		return
	}
	a.event.FirstByte = a.f.cfg.Now().Sub(a.start)
	a.event.Status = response.StatusCode
	header := response.Header.Clone()
	RemoveHopHeaders(header)
	header.Del("Content-Length")
	copyHeader(a.w.Header(), header)
	a.closeIfStopping()
	if isCloseDelimited(response) || !a.r.ProtoAtLeast(1, 1) {
		a.delimitByClose()
	}
	a.w.WriteHeader(response.StatusCode)
}

// takeEvents records the events to pass on and returns them, in the memory of events. All
// are passed on unless the stream is resumed. If there are any, a replaces the other attempt.
// IsReplaced is set if another attempt has answered first. If the error is not nil, the stream
// can't go on after the events returned.
func (a *attempt) takeEvents(events []byte) (taken []byte, isReplaced bool, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.isReplaced {
		return nil, true, nil
	}
	taken = events[:0]
	for rest := events; len(rest) > 0; {
		event := rest[:eventSize(rest)]
		rest = rest[len(event):]
		if a.resumed != nil {
			isNext := false
			if isNext, err = a.resumed.admit(event); err != nil {
				break
			}
			if !isNext {
				continue
			}
		}
		a.stream.record(event, a.route.Resumable)
		taken = append(taken, event...)
	}
	if len(taken) > 0 {
		a.replaceOthers()
		a.writer = a
	}
	return taken, false, err
}

// forwardEvents writes the events of takeEvents to the caller, in one write.
func (a *attempt) forwardEvents(response *http.Response, events []byte) error {
	if len(events) == 0 {
		return nil
	}
	defer a.endWrite()
	a.startStream(response)
	if err := a.write(events); err != nil {
		return err
	}
	return http.NewResponseController(a.w).Flush()
}

// writePieceBytes is the size in bytes of the pieces of an answer that are written one by one, so
// that a slow caller that takes some of it is told from one that takes nothing.
const writePieceBytes = 32 << 10

// write writes data to the caller. It fails if the caller has disconnected or takes nothing for
// Config.WriteTimeout.
func (c *call) write(data []byte) error {
	for len(data) > 0 {
		piece := data[:min(len(data), writePieceBytes)]
		data = data[len(piece):]
		c.extendWriteDeadline()
		if _, err := c.w.Write(piece); err != nil {
			return err
		}
	}
	return nil
}

// extendWriteDeadline starts the time anew within which the caller must take the next bytes.
// SetWriteDeadline fails only on a connection that is closed already.
func (c *call) extendWriteDeadline() {
	_ = http.NewResponseController(c.w).SetWriteDeadline(c.f.cfg.Now().Add(c.f.cfg.WriteTimeout))
}

// eventSize returns the size in bytes of the first event of data, including the empty
// line that ends it, or zero if the event is incomplete.
func eventSize(data []byte) int {
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

// completeEventsSize returns the size in bytes of the complete events at the start of
// data.
func completeEventsSize(data []byte) int {
	size := 0
	for {
		next := eventSize(data[size:])
		if next == 0 {
			return size
		}
		size += next
	}
}

// eventID returns the ID of an event, empty if it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
