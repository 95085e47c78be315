// Package kcwservice implements the RPC services of a ledger replica for the other
// replicas, for routers, and for operators.
package kcwservice

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwpb/kcwpbconnect"
	"kingcupwick.example/kcw/kcwreplica"
	"kingcupwick.example/kcw/kcwserve"
)

// Config configures a Service. Every field but Receive is required.
type Config struct {
	Group group
	Book  book
	// Changed returns a channel that is closed at the next change of the
	// contracts' revision.
	Changed func() <-chan struct{}
	// PeerKey is the key of replicas, RouterKey that of routers and OperatorKey
	// that of operators.
	PeerKey     string
	RouterKey   string
	OperatorKey string
	// WatchInterval is the longest time between two events of a watch.
	WatchInterval time.Duration
	// SilentAfter is the time since a router's last heartbeat after which other
	// routers may adopt its repeatable claims.
	SilentAfter time.Duration
	// Now returns the current time.
	Now func() time.Time
	// Receive returns a handler with the bound of messages. It is applied to calls that have been
	// authenticated. If it is nil there is no bound.
	Receive func(http.Handler) http.Handler
}

// group is the replica of the consensus group that the services use.
type group interface {
	Propose(ctx context.Context, data []byte) ([]byte, error)
	Confirm(ctx context.Context) error
	Exchange(ctx context.Context, req *connect.Request[kcwpb.ExchangeRequest]) (*connect.Response[kcwpb.ExchangeResponse], error)
	Status() *kcwpb.GroupStatus
	Fresh() bool
	ChangeMembers(ctx context.Context, req *kcwpb.ChangeMembersRequest) (*kcwpb.Membership, error)
}

// book is the replicated state that the services read.
type book interface {
	Revision() uint64
	Time() int64
	Contract(customer string) *kcwpb.Contract
	ContractByKey(hash []byte) *kcwpb.Contract
	Since(revision uint64) ([]*kcwpb.Contract, uint64)
	Budget(customer string) *kcwpb.Budget
	Claim(customer, request string) *kcwpb.Claim
	Contracts() []*kcwpb.Contract
	Claims(customer string) []*kcwpb.Claim
	Grants(customer string) []*kcwpb.Grant
	Changes(customer string) []*kcwpb.Change
	Routers() []*kcwpb.Router
	IsFenced(name string, incarnation uint64) bool
}

// Service answers the calls to one replica.
type Service struct {
	cfg     Config
	clock   commandClock
	roster  *roster
	recalls *recalls
	stopped chan struct{}
	once    sync.Once
	// lastAsVoter is the last index of the replica's log when it was first known to be a
	// voter, zero before. caughtUp is set once the replica has caught up with it.
	lastAsVoter atomic.Uint64
	caughtUp    atomic.Bool
}

// New returns a Service. It returns an Error of kind Invalid if a field of cfg
// is missing or two roles share a key.
func New(cfg Config) (*Service, error) {
	if err := check(cfg); err != nil {
		return nil, &Error{Op: "new", Kind: Invalid, Err: err}
	}
	s := &Service{cfg: cfg, roster: newRoster(), recalls: newRecalls(), stopped: make(chan struct{})}
	if status := cfg.Group.Status(); kcwreplica.IsVoter(status.GetMembership(), status.GetId()) {
		s.lastAsVoter.Store(status.GetLast())
	}
	return s, nil
}

func check(cfg Config) error {
	switch {
	case cfg.Group == nil, cfg.Book == nil, cfg.Changed == nil, cfg.Now == nil:
		return errors.New("the group, book, change notification or clock is missing")
	case cfg.PeerKey == "", cfg.RouterKey == "", cfg.OperatorKey == "":
		return errors.New("a key is missing")
	case cfg.PeerKey == cfg.RouterKey, cfg.PeerKey == cfg.OperatorKey, cfg.RouterKey == cfg.OperatorKey:
		return errors.New("two roles share a key")
	case cfg.WatchInterval <= 0, cfg.SilentAfter <= 0:
		return errors.New("the watch interval or the silence limit is not positive")
	}
	return nil
}

// Handler returns the handler of all services.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	handle := func(path string, handler http.Handler, key string) {
		if s.cfg.Receive != nil {
			handler = s.cfg.Receive(handler)
		}
		mux.Handle(path, kcwserve.Authenticate(handler, newKeyAuth(key).admits))
	}
	limit := connect.WithReadMaxBytes(maxMessageBytes)
	path, handler := kcwpbconnect.NewPeerHandler(&peerService{s}, limit)
	handle(path, handler, s.cfg.PeerKey)
	path, handler = kcwpbconnect.NewLedgerHandler(&ledgerService{s}, limit)
	handle(path, handler, s.cfg.RouterKey)
	path, handler = kcwpbconnect.NewOperatorHandler(&operatorService{s}, limit)
	handle(path, handler, s.cfg.OperatorKey)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		kcwserve.SkipBody(w, r)
		http.NotFound(w, r)
	})
	return mux
}

// Stop ends every watch, so that a server can shut down. Other calls continue.
func (s *Service) Stop() {
	s.once.Do(func() { close(s.stopped) })
}
