// Package kcwlisten bounds what the clients of an HTTP server can make it hold: connections,
// the memory of requests that are being received, requests sent ahead, and time.
//
// It wraps the server's listener, so that each connection counts what was read from it and
// since when. kcwconnlimit decides which connections to refuse or close.
package kcwlisten

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"kingcupwick.example/kcw/kcwconnlimit"
)

// Limits are limits of requests that may change while the server runs. Zero stands for no limit
// beside that of the server.
type Limits struct {
	HeadBytes                  int
	HeaderTimeout, IdleTimeout time.Duration
}

// Config configures a Bound.
type Config struct {
	// Server names the server in log lines.
	Server string
	// MaxConns bounds the open connections, and MaxHeldBytes the memory of the requests that
	// are being received or held, over all connections.
	MaxConns     int
	MaxHeldBytes int64
	// ChargeBodies adds the bodies of requests to the memory that is bounded. It is for
	// servers whose handler does not bound them itself.
	ChargeBodies bool
	// MaxAhead bounds the requests in a row that a client sends before the answer to the one
	// before is complete. Its connection is closed after the answer to the next.
	MaxAhead int
	// BodyTimeout bounds the time without a byte of a body that is being read. WriteTimeout
	// bounds one write; zero leaves that to the handler.
	BodyTimeout, WriteTimeout time.Duration
	// StopTimeout bounds how long a request may be received once the server shuts down, 5 s if
	// zero. Requests that run are waited for.
	StopTimeout time.Duration
	// Limits returns the limits in force. If it is nil there are none.
	Limits func() Limits
}

// Error is returned by New for a configuration that can't be used.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Kind classifies an Error.
type Kind int

// BadConfig means that a bound is not positive.
const BadConfig Kind = 1

// Error describes the failure.
func (e *Error) Error() string { return fmt.Sprintf("kcwlisten: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Bound bounds the connections of one server. It is safe for concurrent use.
//
// Neither mu, nor the locks of its Limiter and of its connections, is held while another of
// them is taken.
type Bound struct {
	cfg     Config
	limiter *kcwconnlimit.Limiter

	// pausing holds an element while a client pauses, which one does at a time.
	pausing chan struct{}

	mu    sync.Mutex
	conns map[kcwconnlimit.ID]*conn
	// loggedAt is when a log line of each event was last written, and unlogged how many
	// events have had none since.
	loggedAt map[string]time.Time
	unlogged map[string]int
}

// New returns a Bound for cfg. The error is an *Error.
func New(cfg Config) (*Bound, error) {
	limiter, err := kcwconnlimit.New(kcwconnlimit.Config{MaxConns: cfg.MaxConns, MaxHeldBytes: cfg.MaxHeldBytes})
	if err != nil {
		return nil, &Error{Op: "new", Kind: BadConfig, Err: err}
	}
	if cfg.StopTimeout == 0 {
		cfg.StopTimeout = defaultStopTimeout
	}
	if cfg.Limits == nil {
		cfg.Limits = func() Limits { return Limits{} }
	}
	return &Bound{
		cfg: cfg, limiter: limiter, pausing: make(chan struct{}, 1), conns: map[kcwconnlimit.ID]*conn{}, loggedAt: map[string]time.Time{}, unlogged: map[string]int{},
	}, nil
}

// Stats returns the state of the connections.
func (b *Bound) Stats() kcwconnlimit.Stats { return b.limiter.Stats() }

// Listener returns the listener that a server to which Apply was applied must serve.
func (b *Bound) Listener(inner net.Listener) net.Listener {
	return &listener{Listener: inner, bound: b, closed: make(chan struct{})}
}

// Apply makes server observe the bounds. Its Handler and its ConnContext, if it has one, must be
// set already.
func (b *Bound) Apply(server *http.Server) {
	outer := server.ConnContext
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if outer != nil {
			ctx = outer(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, c)
	}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if bounded, ok := c.(*conn); ok {
			bounded.setState(state)
		}
	}
	server.Handler = b.handler(server.Handler)
	server.RegisterOnShutdown(b.closeReceiving)
}

const (
	defaultStopTimeout = 5 * time.Second
	stopInterval       = 100 * time.Millisecond
)

// closeReceiving closes connections whose request is not complete within StopTimeout, until no
// connection is open. The server would wait for them as long as their clients like.
func (b *Bound) closeReceiving() {
	for b.limiter.Stats().Open > 0 {
		b.closeAll(b.limiter.Receiving(time.Now().Add(-b.cfg.StopTimeout))...)
		time.Sleep(stopInterval)
	}
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// handler returns next with the bounds of requests.
func (b *Bound) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if r.ProtoMajor > 1 {
			b.serveStream(c, next, w, r)
			return
		}
		hasBody := r.ContentLength != 0
		isAhead, isOver := c.beginRequest(hasBody)
		if isAhead && c.hasLeft() {
			b.log("Requests of clients that left", nil)
			panic(http.ErrAbortHandler)
		}
		if isOver {
			w.Header().Set("Connection", "close")
		}
		if hasBody {
			r.Body = &body{ReadCloser: r.Body, onEnd: c.endBody}
		}
		next.ServeHTTP(w, r)
	})
}

// serveStream serves one of several requests on a connection over HTTP/2. The connection is trusted
// once the handler has read a body to its end, which it does only for clients that it admits.
func (b *Bound) serveStream(c *conn, next http.Handler, w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		r.Body = &body{ReadCloser: r.Body, onEnd: c.trust}
	}
	next.ServeHTTP(w, r)
}

// closeAll closes connections in favor of others.
func (b *Bound) closeAll(victims ...kcwconnlimit.ID) {
	for _, id := range victims {
		b.mu.Lock()
		victim := b.conns[id]
		b.mu.Unlock()
		if victim != nil {
			victim.evict()
			b.log("Connections closed", nil)
		}
	}
}

// pauseIfNearlyFull delays a client with a large request if requests hold much memory.
// It returns at once when its connection is closed in favor of others.
func (b *Bound) pauseIfNearlyFull(evicted <-chan struct{}) {
	if b.limiter.Stats().HeldBytes <= b.cfg.MaxHeldBytes/2 {
		return
	}
	select {
	case b.pausing <- struct{}{}:
		time.Sleep(largePause)
		<-b.pausing
	case <-evicted:
	}
}

func (b *Bound) add(c *conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.conns[c.id] = c
}

func (b *Bound) remove(id kcwconnlimit.ID) {
	b.mu.Lock()
	delete(b.conns, id)
	b.mu.Unlock()
	b.limiter.Close(id)
}
