// Package kcwserve builds HTTP servers on kratos's transport that pass every request
// unmodified to one handler. The router of kratos would clean paths.
package kcwserve

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/rotisserie/eris"

	"kingcupwick.example/kcw/kcwlisten"
)

// Config bounds what callers may send and how long they may take. Zero selects the
// default of net/http.
type Config struct {
	HeaderTimeout, IdleTimeout time.Duration
	MaxHeaderBytes             int
	// Bound bounds the connections. If it is nil they are not bounded.
	Bound *kcwlisten.Bound
	// ConnContext is that of http.Server.
	ConnContext func(ctx context.Context, conn net.Conn) context.Context
	// HTTP2 adds HTTP/2 without TLS, for calls between processes.
	HTTP2 bool
	// Listener replaces a listener at the address.
	Listener net.Listener
}

// Bounds of a connection over HTTP/2, in bytes: of a frame, and of what handlers have not read of
// bodies.
const (
	maxFrameBytes       = 16 << 10
	maxStreamUnread     = 64 << 10
	maxConnectionUnread = 128 << 10
)

// Server is a kratos transport.Server.
type Server = khttp.Server

// Error is the error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Kind classifies an Error.
type Kind int

// Listen means that listening at the address failed.
const Listen Kind = 1

// Error describes the failure.
func (e *Error) Error() string { return "kcwserve: " + e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// New listens at address and returns a server that sets no deadline for answers. The
// error is an *Error.
func New(address netip.AddrPort, handler http.Handler, cfg Config) (*Server, error) {
	listener := cfg.Listener
	if listener == nil {
		var err error
		if listener, err = net.Listen("tcp", address.String()); err != nil {
			return nil, &Error{Op: "new", Kind: Listen, Err: eris.Wrap(err, "listen")}
		}
	}
	if cfg.Bound != nil {
		listener = cfg.Bound.Listener(listener)
	}
	// Without an explicit endpoint, kratos would derive one from the host's network
	// interfaces, which some hosts hide.
	endpoint := &url.URL{Scheme: "http", Host: address.String()}
	server := khttp.NewServer(khttp.Listener(listener), khttp.Timeout(0), khttp.Endpoint(endpoint))
	server.Handler = handler
	server.ReadHeaderTimeout = cfg.HeaderTimeout
	server.IdleTimeout = cfg.IdleTimeout
	server.MaxHeaderBytes = cfg.MaxHeaderBytes
	server.ConnContext = cfg.ConnContext
	if cfg.HTTP2 {
		server.Protocols = &http.Protocols{}
		server.Protocols.SetHTTP1(true)
		server.Protocols.SetUnencryptedHTTP2(true)
		server.HTTP2 = &http.HTTP2Config{
			MaxReadFrameSize: maxFrameBytes, MaxReceiveBufferPerStream: maxStreamUnread, MaxReceiveBufferPerConnection: maxConnectionUnread,
		}
	}
	if cfg.Bound != nil {
		cfg.Bound.Apply(server.Server)
	}
	return server, nil
}
