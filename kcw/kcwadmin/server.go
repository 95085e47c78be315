// Package kcwadmin serves a process's operator endpoints: health, readiness, metrics
// and a dump of the process's state.
package kcwadmin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/rotisserie/eris"

	"kingcupwick.example/kcw/kcwlisten"
	"kingcupwick.example/kcw/kcwserve"
)

// Paths that a Server answers.
const (
	HealthPath  = "/healthz"
	ReadyPath   = "/readyz"
	MetricsPath = "/metrics"
	DumpPath    = "/dump"
)

// Config configures a Server.
type Config struct {
	// Address is the address to listen on; port zero selects a free port.
	Address netip.AddrPort
	// OperatorKey is the bearer key for the state dump. If it is empty every request
	// for the dump is refused.
	OperatorKey string
	// Health returns an error if the process is not healthy, and Ready returns one if
	// it accepts no work. A nil function stands for success.
	Health, Ready func() error
	// Metrics serves the metrics. If it is nil the path is not found.
	Metrics http.Handler
	// Dump returns the state, which is written as JSON with field names in Pascal
	// case. It must not include keys.
	Dump func(ctx context.Context) any
	// Bound bounds the connections. If it is nil they are not bounded.
	Bound *kcwlisten.Bound
	// HeaderTimeout, IdleTimeout and MaxHeaderBytes are those of http.Server.
	HeaderTimeout, IdleTimeout time.Duration
	MaxHeaderBytes             int
}

// Kind classifies an Error.
type Kind int

// Kinds of errors.
const (
	// Listen means that the server cannot listen on the address.
	Listen Kind = iota + 1
	// Serve means that the server failed while it ran or stopped.
	Serve
)

// Error is returned by this package.
type Error struct {
	Op      string
	Kind    Kind
	Address netip.AddrPort
	Err     error
}

// Error returns the operation, the address and the cause.
func (e *Error) Error() string { return fmt.Sprintf("kcwadmin: %s %s: %v", e.Op, e.Address, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Server serves the operator endpoints. It implements kratos's transport.Server.
type Server struct {
	cfg     Config
	keyHash [sha256.Size]byte
	address netip.AddrPort
	server  *khttp.Server
}

// New returns a Server that listens on cfg.Address, so that an address in use is
// reported here. Requests are answered after Start. The error is an *Error.
func New(cfg Config) (*Server, error) {
	listener, err := net.Listen("tcp", cfg.Address.String())
	if err != nil {
		return nil, &Error{Op: "new", Kind: Listen, Address: cfg.Address, Err: eris.Wrap(err, "listen")}
	}
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	if cfg.Bound != nil {
		listener = cfg.Bound.Listener(listener)
	}
	// Without an explicit endpoint kratos searches the host's network interfaces for
	// one, which some hosts do not expose.
	endpoint := &url.URL{Scheme: "http", Host: address.String()}
	s := &Server{
		cfg:     cfg,
		keyHash: sha256.Sum256([]byte(cfg.OperatorKey)),
		address: address,
		server:  khttp.NewServer(khttp.Listener(listener), khttp.Timeout(0), khttp.Endpoint(endpoint)),
	}
	s.server.HandleFunc(HealthPath, func(w http.ResponseWriter, _ *http.Request) { answerState(w, cfg.Health) })
	s.server.HandleFunc(ReadyPath, func(w http.ResponseWriter, _ *http.Request) { answerState(w, cfg.Ready) })
	s.server.HandleFunc(DumpPath, s.dump)
	if cfg.Metrics != nil {
		s.server.Handle(MetricsPath, cfg.Metrics)
	}
	handler := s.server.Handler
	s.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// No request here has a body that matters.
		kcwserve.SkipBody(w, r)
		handler.ServeHTTP(w, r)
	})
	s.server.ReadHeaderTimeout, s.server.IdleTimeout, s.server.MaxHeaderBytes = cfg.HeaderTimeout, cfg.IdleTimeout, cfg.MaxHeaderBytes
	if cfg.Bound != nil {
		cfg.Bound.Apply(s.server.Server)
	}
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() netip.AddrPort { return s.address }

// Start serves requests until Stop. The error is an *Error, or nil after Stop.
func (s *Server) Start(ctx context.Context) error {
	if err := s.server.Start(ctx); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return &Error{Op: "start", Kind: Serve, Address: s.address, Err: eris.Wrap(err, "serve")}
	}
	return nil
}

// Stop stops the server and waits for the requests in progress until ctx ends. The
// error is an *Error.
func (s *Server) Stop(ctx context.Context) error {
	if err := s.server.Stop(ctx); err != nil {
		return &Error{Op: "stop", Kind: Serve, Address: s.address, Err: eris.Wrap(err, "shut down")}
	}
	return nil
}

func answerState(w http.ResponseWriter, check func() error) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	if check != nil {
		if err := check(); err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			fmt.Fprintln(w, err)
			return
		}
	}
	fmt.Fprintln(w, "ok")
}

func (s *Server) dump(w http.ResponseWriter, r *http.Request) {
	if !s.isOperator(r) {
		w.Header().Set("WWW-Authenticate", "Bearer")
		http.Error(w, "operator key required", http.StatusUnauthorized)
		return
	}
	var state any
	if s.cfg.Dump != nil {
		state = s.cfg.Dump(r.Context())
	}
	body, err := json.MarshalIndent(state, "", "  ")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// The write fails only if the operator has closed the connection.
	_, _ = w.Write(append(body, '\n'))
}

// isOperator reports whether the request has the operator key. It compares hashes in
// constant time, so that timing reveals neither the key's length nor its bytes.
func (s *Server) isOperator(r *http.Request) bool {
	key, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	hash := sha256.Sum256([]byte(key))
	same := subtle.ConstantTimeCompare(hash[:], s.keyHash[:]) == 1
	return found && same && s.cfg.OperatorKey != ""
}
