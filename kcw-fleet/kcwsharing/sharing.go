// Package kcwsharing spreads the newest list of upstreams among the routers of a
// document-driven fleet that can't reach the core. It covers network partitions that cut
// off hundreds of routers. Calls of the platform's list are limited and costly, so all
// of these routers together make about one reading per interval, and each asks others for
// a later list than its own.
package kcwsharing

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
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
	// fanout is the number of routers asked in one round. With two, a list reaches
	// hundreds of routers in a few rounds.
	fanout = 2
	// maxAnswerBytes bounds a router's answer, and maxHeaderBytes its header.
	maxAnswerBytes = 4 << 20
	maxHeaderBytes = 16 << 10
	// idleTimeouts is how long idle connections are kept, in call timeouts.
	idleTimeouts = 10
)

// Source is where a router got a list from.
type Source string

// Sources of a list: the platform, or another router.
const (
	SourcePlatform Source = "Own"
	SourceRouter   Source = "Shared"
)

// Config configures a Sharing. Every field is needed.
type Config struct {
	// Read reads the list from the platform.
	Read func(ctx context.Context) ([]*kcwpb.UpstreamRecord, error)
	// Apply puts in force a list that was read from the platform at readAt.
	Apply func(list []*kcwpb.UpstreamRecord, readAt time.Time, source Source)
	// Call requests the list of another router; Caller.Call does so over the network.
	Call func(ctx context.Context, router netip.AddrPort, req *kcwpb.ShareListRequest) (*kcwpb.ShareListResponse, error)
	// Parts and Limits are exchanged along with the list.
	Parts  parts
	Limits limits
	Rand   *rand.Rand
	Now    func() time.Time
}

// parts is a router's state on prompt parts that crash upstreams.
type parts interface {
	// State returns this router's state.
	State() *kcwpb.PartState
	// MergeState merges another router's state. The error states what is damaged.
	MergeState(state *kcwpb.PartState) error
}

// limits is a router's state on the rate limits of upstreams.
type limits interface {
	// Export returns this router's limits.
	Export() []*kcwpb.UpstreamLimit
	// Merge merges another router's limits. The error states what is damaged.
	Merge(limits []*kcwpb.UpstreamLimit) error
}

// Sharing holds the newest list that a router has received. It is safe for concurrent
// use, except that only one goroutine may call Refresh.
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

// Store stores the list in force, which was read from the platform at readAt, for the
// requests of other routers.
func (s *Sharing) Store(records []*kcwpb.UpstreamRecord, readAt time.Time) {
	list := &kcwpb.UpstreamList{Upstreams: records}
	digest := listDigest(list)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list, s.digest, s.readAt = list, digest, readAt
}

// Confirm records that a reading at readAt found the current list unchanged.
func (s *Sharing) Confirm(readAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if readAt.After(s.readAt) {
		if records, isAged := age(s.list.GetUpstreams(), readAt.Sub(s.readAt)); isAged {
			s.list = &kcwpb.UpstreamList{Upstreams: records}
			s.digest = listDigest(s.list)
		}
		s.readAt = readAt
	}
}

// age returns the records with cold times that are shorter by the given time, since they count
// from the reading of the list, and whether any has one.
func age(records []*kcwpb.UpstreamRecord, by time.Duration) (aged []*kcwpb.UpstreamRecord, isAged bool) {
	aged = slices.Clone(records)
	for i, r := range aged {
		if r.GetColdLeftNanos() > 0 {
			next := proto.Clone(r).(*kcwpb.UpstreamRecord)
			next.ColdLeftNanos = max(0, r.GetColdLeftNanos()-int64(by))
			aged[i], isAged = next, true
		}
	}
	return aged, isAged
}

// listDigest returns the digest of a list.
func listDigest(list *kcwpb.UpstreamList) uint64 {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(list)
	if err != nil {
		// Only strings that are not UTF-8 can't be marshalled. Digest zero makes the list
		// differ from every other.
		klog.ErrorS(err, "Failed to compute the digest of the list of upstreams", "Upstreams", len(list.GetUpstreams()))
		return 0
	}
	return xxhash.Sum64(data)
}

// ShareList answers the request of another router.
func (s *Sharing) ShareList(_ context.Context, req *connect.Request[kcwpb.ShareListRequest]) (*connect.Response[kcwpb.ShareListResponse], error) {
	if err := s.cfg.Parts.MergeState(req.Msg.GetParts()); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if err := s.cfg.Limits.Merge(req.Msg.GetLimits()); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	response := s.Respond(req.Msg)
	response.Parts, response.Limits = s.cfg.Parts.State(), s.cfg.Limits.Export()
	return connect.NewResponse(response), nil
}

// Respond returns the answer to another router: the age of the list, and the list itself
// if it is later than that router's and differs from it.
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

// Refresh makes one round. It asks up to fanout random peers, which are other routers, for
// a later list. If none has one, it reads the list from the platform with probability
// 1/routers. A fleet in which each router makes one round per interval thus makes about
// one reading per interval.
func (s *Sharing) Refresh(ctx context.Context, peers []netip.AddrPort, routers int) {
	for range min(fanout, len(peers)) {
		if s.fetch(ctx, peers[s.cfg.Rand.IntN(len(peers))]) {
			return
		}
	}
	if s.cfg.Rand.IntN(max(1, routers)) > 0 {
		return
	}
	began := s.cfg.Now()
	records, err := s.cfg.Read(ctx)
	if err != nil {
		klog.InfoS("List of upstreams not read", "Cause", err.Error(), "ListedAt", s.listedAt())
		return
	}
	s.Store(records, began)
	s.cfg.Apply(records, began, SourcePlatform)
}

func (s *Sharing) listedAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readAt
}

// fetch requests the list of another router, and applies it if it was read later than
// the stored one. It reports whether it applied the list.
func (s *Sharing) fetch(ctx context.Context, router netip.AddrPort) bool {
	s.mu.Lock()
	req := &kcwpb.ShareListRequest{Digest: s.digest, AgeNanos: int64(s.cfg.Now().Sub(s.readAt))}
	current, currentReadAt := s.list, s.readAt
	s.mu.Unlock()
	req.Parts, req.Limits = s.cfg.Parts.State(), s.cfg.Limits.Export()
	began := s.cfg.Now()
	response, err := s.cfg.Call(ctx, router, req)
	if err != nil {
		klog.V(kcwlog.DebugVerbosity).InfoS("Router did not share its list", "Address", router, "Cause", err.Error())
		return false
	}
	if err := s.cfg.Parts.MergeState(response.GetParts()); err != nil {
		klog.InfoS("State of prompt parts refused", "Address", router, "Cause", err.Error())
	}
	if err := s.cfg.Limits.Merge(response.GetLimits()); err != nil {
		klog.InfoS("Rate limits refused", "Address", router, "Cause", err.Error())
	}
	if age := response.GetAgeNanos(); age <= 0 || age >= req.GetAgeNanos() {
		return false
	}
	readAt := began.Add(-time.Duration(response.GetAgeNanos()))
	records, _ := age(current.GetUpstreams(), readAt.Sub(currentReadAt))
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

// NewCaller returns a Caller that bounds each call by timeout.
func NewCaller(timeout time.Duration) *Caller {
	transport := &http.Transport{
		DialContext: (&net.Dialer{Timeout: timeout}).DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeouts * timeout,
		DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes,
	}
	return &Caller{timeout: timeout, transport: transport, http: &http.Client{Transport: transport}}
}

// Call requests the list of another router.
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

// Close closes idle connections.
func (c *Caller) Close() { c.transport.CloseIdleConnections() }
