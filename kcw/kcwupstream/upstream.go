// Package kcwupstream holds one upstream: its address and zone, its load, the
// calls in flight and its connections.
//
// Two rules of net/http need care. Its Transport sends a request again on
// another connection if a pooled one turns out stale and the request has a
// rewindable body and an idempotency header, or a method such as GET; and it
// returns an error after a request may have been written. So a call that must
// not be repeated takes a connection of its own, on which the Transport never
// sends twice, and a call counts as not sent only if it never had a connection.
package kcwupstream

import (
	"context"
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
	defaultIdleTimeout     = 4 * time.Second
	defaultMaxIdle         = 256
	maxHeaderBytes         = 64 << 10
	keepAlivePeriod        = 15 * time.Second
)

// errSilent is the cause of a call cancelled by its progress deadline.
var errSilent = eris.New("no progress until the deadline")

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
	// IdleTimeout is how long an unused connection is kept, 4 s if zero.
	IdleTimeout time.Duration
	// MaxIdle is how many unused connections are kept, 256 if zero.
	MaxIdle int
	// Now is the clock, time.Now if nil.
	Now func() time.Time
}

// Upstream is one upstream. It is safe for concurrent use.
type Upstream struct {
	cfg      Config
	pooled   *http.Transport
	single   *http.Transport
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
	if cfg.IdleTimeout <= 0 {
		cfg.IdleTimeout = defaultIdleTimeout
	}
	if cfg.MaxIdle <= 0 {
		cfg.MaxIdle = defaultMaxIdle
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	u := &Upstream{cfg: cfg, pooled: newTransport(cfg), single: newTransport(cfg)}
	u.single.DisableKeepAlives = true
	return u
}

// newTransport returns a Transport that follows no proxy of the environment
// and changes neither request nor answer.
func newTransport(cfg Config) *http.Transport {
	dialer := &net.Dialer{Timeout: cfg.DialTimeout, KeepAlive: keepAlivePeriod}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext:            dialer.DialContext,
		DisableCompression:     true,
		MaxIdleConns:           cfg.MaxIdle,
		MaxIdleConnsPerHost:    cfg.MaxIdle,
		IdleConnTimeout:        cfg.IdleTimeout,
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

// Close closes the connections that are not in use.
func (u *Upstream) Close() {
	u.pooled.CloseIdleConnections()
	u.single.CloseIdleConnections()
}

// Send sends req, of which the path, query, method, header and body count, and
// returns the answer once its header is there, which it must be by firstByte.
// The caller closes the answer's body; a connection whose answer was not read
// to its end is not used again. Redirects are not followed.
//
// A call that is not repeatable is written at most once. The error is an
// *Error; only with KindNotSent is it sure that nothing of req has left.
func (u *Upstream) Send(ctx context.Context, req *http.Request, repeatable bool, firstByte time.Time) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	out := u.outgoing(httptrace.WithClientTrace(ctx, trace), req, repeatable)
	transport := u.pooled
	if !repeatable {
		transport = u.single
	}
	watch := time.AfterFunc(firstByte.Sub(u.cfg.Now()), func() { cancel(errSilent) })
	u.inFlight.Add(1)
	resp, err := transport.RoundTrip(out)
	if err != nil {
		watch.Stop()
		u.inFlight.Add(-1)
		err = u.failure(ctx, "send", err, connected.Load())
		cancel(nil)
		return nil, err
	}
	watch.Reset(u.cfg.ProgressTimeout)
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
func (u *Upstream) outgoing(ctx context.Context, req *http.Request, repeatable bool) *http.Request {
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
	if repeatable {
		// An empty value lets the Transport use another connection in place of
		// a stale one, and is not sent.
		out.Header["Idempotency-Key"] = []string{}
	} else {
		out.GetBody = nil
	}
	return out
}

// failure turns err into an *Error, and gives up the unused connections if the
// upstream was silent.
func (u *Upstream) failure(ctx context.Context, op string, err error, sent bool) error {
	kind := KindLost
	if context.Cause(ctx) == errSilent {
		kind = KindSilent
		u.pooled.CloseIdleConnections()
		err = errSilent
	}
	if !sent {
		kind = KindNotSent
	}
	return &Error{Op: op, Kind: kind, Upstream: u.cfg.Name, Err: eris.Wrap(err, "call")}
}
