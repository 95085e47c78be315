// Package kcwupstream implements the client of one upstream. It tracks the upstream's
// load report and the calls in flight.
//
// Each call opens a connection of its own. A reused connection may be broken without
// notice. It may also deliver a late answer to an earlier call, which HTTP/1.1 can't
// distinguish from the answer to the current one. And net/http's Transport resends a
// request if a reused connection proves stale.
//
// A call counts as not sent only if it never had a connection, since the Transport may
// return an error while the request is being written.
package kcwupstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

const (
	defaultDialTimeout     = 2 * time.Second
	defaultProgressTimeout = 30 * time.Second
	pollIdleTimeout        = 10 * time.Second
	maxHeaderBytes         = 64 << 10
	keepAlivePeriod        = 15 * time.Second
)

// errSilent is the cause with which a call is cancelled when it makes no progress until
// its deadline.
var errSilent = eris.New("no progress until the deadline")

// errMalformed replaces the error of an answer that net/http could not parse.
var errMalformed = eris.New("the answer is malformed")

// Config configures an Upstream.
type Config struct {
	// Name is the upstream's name, Service the name of the service that it runs.
	Name, Service string
	// Zone is the upstream's availability zone.
	Zone string
	// Address is the IP address and port that the upstream listens on.
	Address netip.AddrPort
	// Key is sent as a bearer token if it is not empty.
	Key string
	// DialTimeout bounds the time to open a connection and to fetch a load report,
	// 2 s if zero.
	DialTimeout time.Duration
	// ProgressTimeout bounds the wait for the next bytes of an answer, 30 s if
	// zero.
	ProgressTimeout time.Duration
	// Now returns the current time, time.Now if nil.
	Now func() time.Time
}

// Upstream is the client of one upstream. It is safe for concurrent use.
type Upstream struct {
	cfg    Config
	dialer *net.Dialer
	// calls is the Transport for calls, polls that for load reports.
	calls    *http.Transport
	polls    *http.Transport
	inFlight atomic.Int64
	draining atomic.Bool

	mu     sync.Mutex
	load   load
	loadAt time.Time
}

// New returns an Upstream for cfg. It panics if the address is not valid.
func New(cfg Config) *Upstream {
	if !cfg.Address.IsValid() {
		panic("kcwupstream: no address for " + cfg.Name)
	}
	if cfg.DialTimeout <= 0 {
		cfg.DialTimeout = defaultDialTimeout
	}
	if cfg.ProgressTimeout <= 0 {
		cfg.ProgressTimeout = defaultProgressTimeout
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	u := &Upstream{cfg: cfg, dialer: &net.Dialer{Timeout: cfg.DialTimeout, KeepAlive: keepAlivePeriod}}
	u.polls = newTransport(u.dialer.DialContext)
	u.calls = newTransport(u.dial)
	u.calls.DisableKeepAlives = true
	return u
}

// newTransport returns a Transport that ignores proxy settings of the environment and
// requests no compression.
func newTransport(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		IdleConnTimeout:        pollIdleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		Protocols:              protocols,
	}
}

// Name returns the upstream's name.
func (u *Upstream) Name() string { return u.cfg.Name }

// Service returns the name of the service that the upstream runs.
func (u *Upstream) Service() string { return u.cfg.Service }

// Zone returns the upstream's availability zone.
func (u *Upstream) Zone() string { return u.cfg.Zone }

// InFlight returns the number of calls in flight.
func (u *Upstream) InFlight() int { return int(u.inFlight.Load()) }

// Draining reports whether the upstream has stated that it is shutting down.
func (u *Upstream) Draining() bool { return u.draining.Load() }

// Close closes the idle connection that is used for load reports.
func (u *Upstream) Close() { u.polls.CloseIdleConnections() }

// Send sends the method, path, query, header and body of req, and returns the answer
// when its header has arrived. It fails if the header has not arrived by
// firstByteDeadline. The caller must close the answer's body. Send does not follow
// redirects and writes req at most once.
//
// The error is an *Error. Only KindNotSent guarantees that nothing of req was sent.
func (u *Upstream) Send(ctx context.Context, req *http.Request, firstByteDeadline time.Time) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	out := u.outgoing(httptrace.WithClientTrace(ctx, trace), req)
	watchdog := newWatchdog(func() { cancel(errSilent) })
	watchdog.start(firstByteDeadline.Sub(u.cfg.Now()))
	u.inFlight.Add(1)
	resp, err := u.calls.RoundTrip(out)
	watchdog.stop()
	if err == nil && (resp.StatusCode < minStatus || resp.StatusCode > maxStatus) {
		_ = resp.Body.Close()
		err = errMalformed
	}
	if err != nil {
		u.inFlight.Add(-1)
		err = u.callError(ctx, "send", err, connected.Load())
		cancel(nil)
		return nil, err
	}
	if Refused(resp) {
		u.draining.Store(true)
	}
	resp.Body = &progressBody{source: resp.Body, upstream: u, ctx: ctx, cancel: cancel, watchdog: watchdog}
	return resp, nil
}

// The statuses of answers (RFC 9110, section 15). net/http accepts any three digits.
const (
	minStatus = 100
	maxStatus = 599
)

// DrainingHeader is set in a 503 answer by an upstream that is shutting down.
const DrainingHeader = "Kcw-Draining"

// Refused reports whether the upstream refused the request of resp because it is
// shutting down. It has not run the request.
func Refused(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(DrainingHeader) != ""
}

// outgoing returns the request that is sent for req: with the upstream's address and
// key, and without hop-by-hop headers, the caller's key and idempotency keys.
func (u *Upstream) outgoing(ctx context.Context, req *http.Request) *http.Request {
	out := req.Clone(ctx)
	out.URL.Scheme = "http"
	out.URL.Host = u.cfg.Address.String()
	out.Host = out.URL.Host
	out.RequestURI = ""
	removeHopHeaders(out.Header)
	out.Header.Del("Idempotency-Key")
	out.Header.Del("X-Idempotency-Key")
	out.Header.Del("Authorization")
	if u.cfg.Key != "" {
		out.Header.Set("Authorization", "Bearer "+u.cfg.Key)
	}
	out.GetBody = nil
	return out
}

// callError returns err as an *Error. Sent must be true if bytes of the request may have
// been sent.
func (u *Upstream) callError(ctx context.Context, op string, err error, sent bool) error {
	kind := KindLost
	if context.Cause(ctx) == errSilent {
		kind = KindSilent
		err = errSilent
	}
	if !sent {
		kind = KindNotSent
	}
	return &Error{Op: op, Kind: kind, Upstream: u.cfg.Name, Err: eris.Wrap(redact(err), "call")}
}

// redact returns err, or errMalformed if the message of err may contain bytes of an
// answer, as that of an error for a malformed answer does.
func redact(err error) error {
	var network *net.OpError
	switch {
	case errors.As(err, &network), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF),
		errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded), errors.Is(err, errSilent):
		return err
	default:
		return errMalformed
	}
}
