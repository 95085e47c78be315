// Package kcwsharing passes the newest list of upstreams among the routers of a
// document-driven fleet that the core can't be reached from. It answers a cut of
// hundreds of routers, in which each would read the list from the platform by
// itself, while calls of the list are few and dear: all of them together make about
// one reading in each interval, and each asks others for a later one than its own.
package kcwsharing

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"kingcupwick.example/kcw/kcwlog"
	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwpb/kcwpbconnect"
)

const (
	// asked is how many routers are asked in one round, so that a list reaches
	// hundreds of routers in a few rounds.
	asked = 2
	// maxAnswerBytes bounds the answer of a router, and maxHeaderBytes its header.
	maxAnswerBytes = 4 << 20
	maxHeaderBytes = 16 << 10
	// idleCalls is for how many times a call's timeout a connection is kept unused.
	idleCalls = 10
)

// Source says who read a list.
type Source string

// Sources of a list.
const (
	SourcePlatform Source = "Own"
	SourceRouter   Source = "Shared"
)

// Config configures a Sharing. Every field is needed.
type Config struct {
	// Read reads the list from the platform.
	Read func(ctx context.Context) ([]*kcwpb.UpstreamRecord, error)
	// Apply puts a list in force that was read at a time.
	Apply func(list []*kcwpb.UpstreamRecord, readAt time.Time, source Source)
	// Call asks the router at an address. Caller.Call does so over the network.
	Call func(ctx context.Context, router netip.AddrPort, req *kcwpb.ShareListRequest) (*kcwpb.ShareListResponse, error)
	Rand *rand.Rand
	Now  func() time.Time
}

// Sharing is the newest list that a router knows. It is safe for concurrent use,
// but for Refresh, which one goroutine calls.
type Sharing struct {
	kcwpbconnect.UnimplementedSharingHandler
	cfg Config

	mu     sync.Mutex
	list   *kcwpb.UpstreamList
	digest uint64
	readAt time.Time
}

// New returns a Sharing without a list.
func New(cfg Config) *Sharing { return &Sharing{cfg: cfg} }

// Handler returns the handler for other routers.
func (s *Sharing) Handler() (string, http.Handler) { return kcwpbconnect.NewSharingHandler(s) }

// Store keeps a list that is in force and was read at a time, to share it.
func (s *Sharing) Store(records []*kcwpb.UpstreamRecord, readAt time.Time) {
	list := &kcwpb.UpstreamList{Upstreams: records}
	digest := sum(list)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list, s.digest, s.readAt = list, digest, readAt
}

// Confirm notes that the list held was read again, unchanged.
func (s *Sharing) Confirm(readAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if readAt.After(s.readAt) {
		s.readAt = readAt
	}
}

// sum returns the digest of a list.
func sum(list *kcwpb.UpstreamList) uint64 {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(list)
	if err != nil {
		// Only text that is not UTF-8 can't be marshalled: such a list equals no other.
		klog.ErrorS(err, "List of upstreams has no digest", "Upstreams", len(list.GetUpstreams()))
		return 0
	}
	return xxhash.Sum64(data)
}

// ShareList answers another router.
func (s *Sharing) ShareList(_ context.Context, req *connect.Request[kcwpb.ShareListRequest]) (*connect.Response[kcwpb.ShareListResponse], error) {
	return connect.NewResponse(s.Respond(req.Msg)), nil
}

// Respond returns the answer to another router.
func (s *Sharing) Respond(req *kcwpb.ShareListRequest) *kcwpb.ShareListResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.list == nil {
		return &kcwpb.ShareListResponse{}
	}
	response := &kcwpb.ShareListResponse{AgeNanos: max(1, int64(s.cfg.Now().Sub(s.readAt)))}
	if response.GetAgeNanos() < req.GetAgeNanos() && (s.digest != req.GetDigest() || s.digest == 0) {
		response.List = s.list
	}
	return response
}

// Refresh makes one round: it asks some of the routers at neighbours for a later list
// than the one held, and if none has one it reads the list itself in about one of
// as many rounds as the fleet has routers. The routers that are cut off make a round
// at each interval, so that together they make one reading an interval.
func (s *Sharing) Refresh(ctx context.Context, neighbours []netip.AddrPort, routers int) {
	for range min(asked, len(neighbours)) {
		if s.ask(ctx, neighbours[s.cfg.Rand.IntN(len(neighbours))]) {
			return
		}
	}
	if s.cfg.Rand.IntN(max(1, routers)) > 0 {
		return
	}
	began := s.cfg.Now()
	records, err := s.cfg.Read(ctx)
	if err != nil {
		klog.InfoS("List of upstreams not read", "Cause", err.Error(), "ListedAt", s.heldAt())
		return
	}
	s.Store(records, began)
	s.cfg.Apply(records, began, SourcePlatform)
}

func (s *Sharing) heldAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readAt
}

// ask asks the router at an address, and reports whether it had a later reading.
func (s *Sharing) ask(ctx context.Context, router netip.AddrPort) bool {
	s.mu.Lock()
	req := &kcwpb.ShareListRequest{Digest: s.digest, AgeNanos: int64(s.cfg.Now().Sub(s.readAt))}
	held := s.list
	s.mu.Unlock()
	began := s.cfg.Now()
	response, err := s.cfg.Call(ctx, router, req)
	if err != nil {
		klog.V(kcwlog.DebugVerbosity).InfoS("Router did not share its list", "Address", router, "Cause", err.Error())
		return false
	}
	if age := response.GetAgeNanos(); age <= 0 || age >= req.GetAgeNanos() {
		return false
	}
	readAt := began.Add(-time.Duration(response.GetAgeNanos()))
	records := held.GetUpstreams()
	if list := response.GetList(); list != nil {
		records = list.GetUpstreams()
	}
	s.Store(records, readAt)
	s.cfg.Apply(records, readAt, SourceRouter)
	return true
}

// Caller calls routers over the network. It is safe for concurrent use.
type Caller struct {
	timeout   time.Duration
	transport *http.Transport
	http      *http.Client
}

// NewCaller returns a Caller whose calls last no longer than timeout.
func NewCaller(timeout time.Duration) *Caller {
	transport := &http.Transport{
		DialContext: (&net.Dialer{Timeout: timeout}).DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleCalls * timeout,
		DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes,
	}
	return &Caller{timeout: timeout, transport: transport, http: &http.Client{Transport: transport}}
}

// Call asks the router at an address for its list.
func (c *Caller) Call(ctx context.Context, router netip.AddrPort, req *kcwpb.ShareListRequest) (*kcwpb.ShareListResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	client := kcwpbconnect.NewSharingClient(c.http, "http://"+router.String(), connect.WithReadMaxBytes(maxAnswerBytes))
	response, err := client.ShareList(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// Close closes the connections that are not in use.
func (c *Caller) Close() { c.transport.CloseIdleConnections() }
