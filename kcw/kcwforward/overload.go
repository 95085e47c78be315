package kcwforward

import (
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"kingcupwick.example/kcw/kcwoverload"
)

// checkOverload refuses a request that the router has no room for. Its body has not been read.
func (c *call) checkOverload() *refusal {
	now := c.f.cfg.Now()
	urgency := 1 - float64(c.enginePriority())/maxEnginePriority
	cause, retryAfter := c.f.cfg.Overload.Admit(kcwoverload.Request{
		Urgency: urgency, Deadline: c.deadline, LinkDelay: c.f.cfg.Link.Delay(now),
	}, now)
	if cause == kcwoverload.Admitted && !c.f.cfg.Bandwidth.Admit(requestHeadBytes+max(c.r.ContentLength, 0), urgency, now) {
		cause, retryAfter = kcwoverload.Link, linkRetryAfter
	}
	if cause == kcwoverload.Admitted {
		return nil
	}
	return &refusal{
		status: http.StatusServiceUnavailable, outcome: "Overloaded", cause: "the router is overloaded: " + string(cause) + " is exhausted",
		retryAfter: retryAfter, isMinimum: true, isOverload: true,
	}
}

// linkRetryAfter is the Retry-After of requests that the link can't carry. A retry reaches another
// router, so that it need not wait for this one.
const linkRetryAfter = 50 * time.Millisecond

// refuseAtOnce writes the refusal before the body of the request has been read, and asks the
// caller to close the connection. By default net/http would read the body first.
func (c *call) refuseAtOnce(r *refusal) {
	control := http.NewResponseController(c.w)
	// EnableFullDuplex fails only for a protocol that needs none.
	_ = control.EnableFullDuplex()
	c.w.Header().Set("Connection", "close")
	c.bodyLeft = c.r.ContentLength != 0
	c.fail(r.status, r.cause)
	// A flush fails only if the caller has disconnected.
	_ = control.Flush()
}

// drainTimeout bounds how long the body of a refused request is discarded. A caller has read its
// refusal by then.
const drainTimeout = time.Second

// drainBody discards the body of a request that was refused at once. If the connection were closed
// with unread bytes, the kernel would reset it, and the caller could lose the refusal.
func (c *call) drainBody() {
	if !c.bodyLeft {
		return
	}
	if err := http.NewResponseController(c.w).SetReadDeadline(c.f.cfg.Now().Add(drainTimeout)); err != nil {
		return // The connection is closed already.
	}
	// An error means that the caller has disconnected or is slow.
	n, _ := io.Copy(io.Discard, io.LimitReader(c.r.Body, c.f.cfg.MaxBodyBytes))
	c.f.recordBytes(requestHeadBytes+int(n), 0)
}

// isOwnTimeout reports whether err is a timeout, and the router itself was late between since and
// now. The peer may then have answered in time.
func (a *attempt) isOwnTimeout(err error, since time.Time) bool {
	var timeout net.Error
	if !errors.As(err, &timeout) || !timeout.Timeout() {
		return false
	}
	return a.f.cfg.Overload.LostTime(since, a.f.cfg.Now()) > 0
}
