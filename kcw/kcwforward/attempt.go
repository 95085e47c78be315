package kcwforward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"kingcupwick.example/kcw/kcwconn"
	"kingcupwick.example/kcw/kcwroster"
)

const (
	// maxSurplus bounds the answers to earlier requests that are passed over on
	// a kept connection.
	maxSurplus = 2
	// leaveTimeout bounds the wait for the end of a request whose caller has
	// left, several round trips: an upstream that works on works for nobody.
	leaveTimeout = 50 * time.Millisecond
	// maxSurplusBytes bounds the body of such an answer.
	maxSurplusBytes = 1 << 20
	// maxInterim bounds the interim answers before an answer.
	maxInterim = 16
	// directWrite is the size in bytes up to which a request is written at once;
	// a larger one may have to wait for an upstream that answers before it has
	// read it, so that it is written beside the reading.
	directWrite = 4 << 10
)

// attempt is one try at one upstream.
type attempt struct {
	*call
	ticket *kcwroster.Attempt
	// final says that no other attempt may follow once this one may have run.
	final bool
	conn  *kcwconn.Conn
	// written is closed when a large request is written, nil for a small one;
	// unsent is the error of writing, read after that.
	written chan struct{}
	unsent  error
	held    *heldAnswer
	cause   string
	// keepUntil is when the upstream closes the connection, reusable whether
	// the answer was read to its end.
	keepUntil time.Time
	reusable  bool
	// ran says that bytes of an answer's body came, err why the attempt broke.
	ran bool
	err error
}

// do makes the attempt and returns its end.
func (a *attempt) do() result {
	conn, err := a.ticket.Pool().Take(a.r.Context(), a.usedAfter())
	if err != nil {
		return a.unreachable(err)
	}
	a.conn = conn
	before := a.mayHaveRun
	stop := context.AfterFunc(a.r.Context(), a.leave)
	got, outcome := a.exchange()
	if stop() && a.reusable && a.isWritten() {
		a.ticket.Pool().Put(conn, a.keepUntil)
	} else {
		_ = conn.Close()
	}
	if a.r.Context().Err() != nil && got != delivered {
		got, outcome = callerGone, kcwroster.Neutral
		ended := errors.Is(a.err, io.EOF) || errors.Is(a.err, io.ErrUnexpectedEOF)
		if !a.ran && (ended || !a.wasWritten()) {
			// The upstream has dropped the request before its first token, with
			// which a generation begins to run, or never had the whole of it.
			a.mayHaveRun = before
		}
	}
	a.ticket.Done(outcome)
	return got
}

// leave ends the attempt because the caller has left. A generation without any
// answer is given a moment to end, which tells whether it ran: an upstream that
// drops a request closes the connection, and one that ran it has sent an event.
func (a *attempt) leave() {
	half, ok := a.conn.Conn.(interface{ CloseWrite() error })
	if !ok || a.reserved == 0 || half.CloseWrite() != nil || a.conn.SetReadDeadline(a.f.cfg.Now().Add(leaveTimeout)) != nil {
		_ = a.conn.Close()
	}
}

func (a *attempt) unreachable(err error) result {
	a.cause = "upstream " + a.ticket.ID() + " can't be connected: " + err.Error()
	if a.r.Context().Err() != nil {
		a.ticket.Done(kcwroster.Neutral)
		return callerGone
	}
	a.ticket.Done(kcwroster.Unreachable)
	return notRun
}

// isWritten reports whether the whole request is written by now.
func (a *attempt) isWritten() bool {
	if a.written != nil {
		select {
		case <-a.written:
		default:
			return false
		}
	}
	return a.unsent == nil
}

// wasWritten reports whether the whole request was written, once the connection is
// closed.
func (a *attempt) wasWritten() bool {
	if a.written != nil {
		<-a.written
	}
	return a.unsent == nil
}

// exchange sends the request and handles the answer.
func (a *attempt) exchange() (result, kcwroster.Outcome) {
	// Once a byte may have left, the request may run.
	before := a.mayHaveRun
	a.mayHaveRun = true
	if err := a.conn.SetDeadline(a.deadline); err != nil {
		return a.broken("the connection is closed", err)
	}
	if err := a.send(); err != nil {
		return a.broken("the request could not be sent", err)
	}
	response, said, err := a.response()
	if err != nil {
		return a.broken("no answer", err)
	}
	a.keepUntil = said.KeepAliveUntil
	if said.Load != nil {
		a.ticket.ReportLoad(*said.Load)
	}
	if said.NotRun {
		a.mayHaveRun = before
		return a.notRun(response, said)
	}
	return a.answer(response)
}

// notRun ends an attempt that the upstream says it has not run.
func (a *attempt) notRun(response *http.Response, said ResponseInfo) (result, kcwroster.Outcome) {
	a.cause = "upstream " + a.ticket.ID() + " did not run the request, status " + strconv.Itoa(response.StatusCode)
	a.drain(response)
	if said.Misdirected {
		return notRun, kcwroster.Misdirected
	}
	return notRun, kcwroster.Neutral
}

// drain reads the rest of an answer that is not passed on, so that the
// connection can be used again.
func (a *attempt) drain(response *http.Response) {
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSurplusBytes))
	a.reusable = err == nil && n < maxSurplusBytes && !response.Close
}

// broken ends an attempt without a whole answer.
func (a *attempt) broken(what string, err error) (result, kcwroster.Outcome) {
	a.err = err
	a.cause = "upstream " + a.ticket.ID() + ": " + what + ": " + err.Error()
	if !a.f.cfg.Now().Before(a.deadline) {
		return expired, kcwroster.Neutral
	}
	var endless *kcwconn.Error
	if a.conn.Reused && !errors.Is(err, errSilent) && !errors.As(err, &endless) {
		// The upstream may have closed a kept connection at the same moment,
		// which tells nothing of its health.
		return unknown, kcwroster.Neutral
	}
	return unknown, kcwroster.Failed
}

// send writes the request.
func (a *attempt) send() error {
	var head bytes.Buffer
	head.WriteString(a.r.Method + " " + a.r.RequestURI + " HTTP/1.1\r\nHost: " + a.r.Host + "\r\n")
	last := a.said.LastEventID
	if a.stream.lastID != "" {
		last = a.stream.lastID
	}
	team := ""
	if a.team != nil {
		team = a.team.Name
	}
	header := a.f.cfg.Dialect.UpstreamHeader(a.r.Header, AttemptInfo{
		Upstream: a.ticket.ID(), Team: team, Deadline: a.deadline, Priority: a.rank(), LastEventID: last,
	}, a.f.cfg.Now())
	if a.hasBody {
		header.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	if err := header.Write(&head); err != nil {
		return err
	}
	head.WriteString("\r\n")
	a.f.carried(0, head.Len()+len(a.body))
	if head.Len()+len(a.body) <= directWrite {
		head.Write(a.body)
		_, a.unsent = a.conn.Write(head.Bytes())
		return a.unsent
	}
	a.written = make(chan struct{})
	go func() {
		defer close(a.written)
		buffers := net.Buffers{head.Bytes(), a.body}
		_, a.unsent = buffers.WriteTo(a.conn.Conn)
	}()
	return nil
}

// errSilent ends the wait for an upstream that is silent on all connections.
var errSilent = errors.New("the upstream is silent")

// await waits for bytes of an answer. While other attempts are allowed, it gives
// up on an upstream that has become silent.
func (a *attempt) await() error {
	if a.conn.Reader.Buffered() > 0 {
		return nil
	}
	if a.final {
		_, err := a.conn.Reader.Peek(1)
		return err
	}
	for {
		now := a.f.cfg.Now()
		until := now.Add(a.f.cfg.SilenceCheckInterval)
		gone := a.r.Context().Err() != nil
		if gone {
			until = now.Add(leaveTimeout)
		}
		if until.After(a.deadline) {
			until = a.deadline
		}
		if err := a.conn.SetReadDeadline(until); err != nil {
			return err
		}
		_, err := a.conn.Reader.Peek(1)
		if err == nil {
			return a.conn.SetReadDeadline(a.deadline)
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		if gone || !a.f.cfg.Now().Before(a.deadline) {
			return err
		}
		if a.ticket.IsSilent() {
			return errSilent
		}
	}
}

// noteWithdrawal notes that an answer, to this request or not, says that the upstream
// wants no requests.
func (a *attempt) noteWithdrawal(said ResponseInfo) {
	if !said.DeclinedUntil.IsZero() {
		a.ticket.MarkDeclined(said.DeclinedUntil)
	}
	if said.Leaving && a.ticket.MarkLeaving() || !said.DeclinedUntil.IsZero() {
		a.f.cfg.OnWithdrawal(a.said.RequestID, a.ticket.ID(), said)
	}
}

// response reads the header of the answer to this request, and returns what it says
// as well. Answers to earlier requests and interim answers are passed over.
func (a *attempt) response() (*http.Response, ResponseInfo, error) {
	request := &http.Request{Method: a.r.Method}
	// The bound is one for all heads that belong to this request.
	a.conn.LimitHead(a.f.cfg.MaxHeadBytes)
	defer a.conn.LiftHeadLimit()
	for surplus, interim := 0, 0; ; {
		if err := a.await(); err != nil {
			return nil, ResponseInfo{}, err
		}
		if err := a.conn.SetReadDeadline(a.deadline); err != nil {
			return nil, ResponseInfo{}, err
		}
		response, err := http.ReadResponse(a.conn.Reader, request)
		if err != nil {
			return nil, ResponseInfo{}, err
		}
		a.ticket.Answered()
		said := a.f.cfg.Dialect.ParseResponse(response.StatusCode, response.Header, a.f.cfg.Now())
		a.noteWithdrawal(said)
		if response.StatusCode < http.StatusOK {
			if interim++; interim > maxInterim {
				return nil, ResponseInfo{}, errors.New("interim answers do not end")
			}
			continue
		}
		if said.RequestID == a.said.RequestID || said.RequestID == "" && response.StatusCode >= http.StatusBadRequest {
			return response, said, nil
		}
		if surplus++; surplus > maxSurplus || response.ContentLength < 0 || response.ContentLength > maxSurplusBytes {
			return nil, ResponseInfo{}, errors.New("the answer is to another request")
		}
		a.conn.LiftHeadLimit()
		if _, err := io.CopyN(io.Discard, response.Body, response.ContentLength); err != nil {
			return nil, ResponseInfo{}, err
		}
		a.conn.LimitHead(a.f.cfg.MaxHeadBytes)
	}
}
