// Package kcwupstream holds one upstream: its address and zone, its load, the
// calls in flight and its connections.
//
// Each call has a connection of its own. A connection that was used before may
// be silently dead, or bring a late answer to an earlier call, which nothing in
// HTTP/1.1 tells from the answer to this one; and net/http's Transport sends a
// request again if it finds such a connection stale. A call counts as not sent
// only if it never had a connection, for the Transport may return an error
// while the request is being written.
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

// errSilent is the cause of a call cancelled by its progress deadline.
var errSilent = eris.New("no progress until the deadline")

// errMalformed stands for an answer that net/http could not read.
var errMalformed = eris.New("the answer is malformed")

// Config sets up an Upstream.
type Config struct {
	// Name is the upstream's own name, Service what it serves.
	Name, Service string
	// Zone is its availability zone.
	Zone string
	// Address is the IP and port that it listens on.
	Address netip.AddrPort
	// Key is sent as bearer key, if not empty.
	Key string
	// DialTimeout bounds the opening of a connection, 2 s if zero.
	DialTimeout time.Duration
	// ProgressTimeout bounds the wait for the next bytes of an answer, 30 s if
	// zero.
	ProgressTimeout time.Duration
	// Now is the clock, time.Now if nil.
	Now func() time.Time
}

// Upstream is one upstream. It is safe for concurrent use.
type Upstream struct {
	cfg      Config
	dialer   *net.Dialer
	calls    *http.Transport
	polls    *http.Transport
	inFlight atomic.Int64
	draining atomic.Bool

	mu     sync.Mutex
	load   load
	loadAt time.Time
}

// New returns the Upstream of cfg. It panics if the address is not valid.
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

// newTransport returns a Transport that follows no proxy of the environment
// and changes neither request nor answer.
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

// Service returns what the upstream serves.
func (u *Upstream) Service() string { return u.cfg.Service }

// Zone returns the upstream's availability zone.
func (u *Upstream) Zone() string { return u.cfg.Zone }

// InFlight returns the number of calls that have not ended.
func (u *Upstream) InFlight() int { return int(u.inFlight.Load()) }

// Draining returns whether the upstream said that it is leaving.
func (u *Upstream) Draining() bool { return u.draining.Load() }

// Close closes the connection for load reports.
func (u *Upstream) Close() { u.polls.CloseIdleConnections() }

// Send sends req, of which the path, query, method, header and body count, and
// returns the answer once its header is there, which it must be by firstByte.
// The caller closes the answer's body. Redirects are not followed, and req is
// written at most once.
//
// The error is an *Error; only with KindNotSent is it sure that nothing of req
// has left.
func (u *Upstream) Send(ctx context.Context, req *http.Request, firstByte time.Time) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	out := u.outgoing(httptrace.WithClientTrace(ctx, trace), req)
	watch := newWatch(func() { cancel(errSilent) })
	watch.start(firstByte.Sub(u.cfg.Now()))
	u.inFlight.Add(1)
	resp, err := u.calls.RoundTrip(out)
	watch.stop()
	if err != nil {
		u.inFlight.Add(-1)
		err = u.failure(ctx, "send", err, connected.Load())
		cancel(nil)
		return nil, err
	}
	if Refused(resp) {
		u.draining.Store(true)
	}
	resp.Body = &body{source: resp.Body, upstream: u, ctx: ctx, cancel: cancel, watch: watch}
	return resp, nil
}

// DrainingHeader marks an answer of 503 from an upstream that is leaving.
const DrainingHeader = "Kcw-Draining"

// Refused returns whether resp says that its upstream is leaving and has not
// taken the request.
func Refused(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(DrainingHeader) != ""
}

// outgoing returns the request to write for req.
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

// failure turns err into an *Error.
func (u *Upstream) failure(ctx context.Context, op string, err error, sent bool) error {
	kind := KindLost
	if context.Cause(ctx) == errSilent {
		kind = KindSilent
		err = errSilent
	}
	if !sent {
		kind = KindNotSent
	}
	return &Error{Op: op, Kind: kind, Upstream: u.cfg.Name, Err: eris.Wrap(withoutText(err), "call")}
}

// withoutText returns err, or another error in its place if its message may
// hold bytes of an answer, as those of a malformed one do.
func withoutText(err error) error {
	var network *net.OpError
	switch {
	case errors.As(err, &network), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF),
		errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded), errors.Is(err, errSilent):
		return err
	default:
		return errMalformed
	}
}
