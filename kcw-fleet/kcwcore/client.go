// Package kcwcore holds a client of the core of a document-driven fleet: it finds
// the leader among the members that it knows and calls it.
package kcwcore

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"kingcupwick.example/kcw/kcwledger"
	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwpb/kcwpbconnect"
)

// Config configures a Client.
type Config struct {
	// Seeds are the first members known.
	Seeds []netip.AddrPort
}

// dialTimeout bounds the opening of a connection, a few hundred round trips between
// zones: a host without power does not answer.
const dialTimeout = 300 * time.Millisecond

// Kind classifies an Error.
type Kind int

// Unanswered means that the member that was called did not answer as leader.
const Unanswered Kind = 1

// Error is the error of this package.
type Error struct {
	Op     string
	Kind   Kind
	Member netip.AddrPort
	Err    error
}

// Error describes the failure.
func (e *Error) Error() string {
	return "kcwcore: " + e.Op + " at " + e.Member.String() + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Client calls the leader of the core. The context bounds each call. It is safe for
// concurrent use.
type Client struct {
	transport *http.Transport
	http      *http.Client

	mu      sync.Mutex
	seeds   []netip.AddrPort
	members []netip.AddrPort
	target  netip.AddrPort
	next    int
}

// New returns a Client.
func New(cfg Config) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute, DisableCompression: true,
	}
	return &Client{transport: transport, http: &http.Client{Transport: transport}, seeds: cfg.Seeds}
}

// SetSeeds replaces the members of the settings. It reports whether they changed.
func (c *Client) SetSeeds(seeds []netip.AddrPort) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := !slices.Equal(c.seeds, seeds)
	c.seeds = seeds
	return changed
}

// SetMembers replaces the members that the core itself has told.
func (c *Client) SetMembers(members []netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members = members
}

// Sync calls Fleet.Sync at the member taken for the leader, and learns the members
// of the core. After an error,
// which is an *Error, the next call goes to another.
func (c *Client) Sync(ctx context.Context, req *kcwpb.FleetSyncRequest) (*kcwpb.FleetSyncResponse, error) {
	member := c.choose()
	response, err := kcwpbconnect.NewFleetClient(c.http, "http://"+member.String()).Sync(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, c.failed("sync", member, err)
	}
	c.keep(response.Msg.GetCore())
	return response.Msg, nil
}

// Admit asks the member taken for the leader to admit a replica.
func (c *Client) Admit(ctx context.Context, m *kcwpb.Member) error {
	member := c.choose()
	req := connect.NewRequest(&kcwpb.FleetAdmitRequest{Member: m})
	if _, err := kcwpbconnect.NewFleetClient(c.http, "http://"+member.String()).Admit(ctx, req); err != nil {
		return c.failed("admit", member, err)
	}
	return nil
}

// Locate asks the member taken for the leader where the leader is, and learns
// the members of the core. It returns the leader's address for routers and
// members.
func (c *Client) Locate(ctx context.Context) (netip.AddrPort, error) {
	member := c.choose()
	response, err := kcwpbconnect.NewFleetClient(c.http, "http://"+member.String()).Locate(ctx, connect.NewRequest(&kcwpb.FleetLocateRequest{}))
	if err != nil {
		return netip.AddrPort{}, c.failed("locate", member, err)
	}
	leader, err := netip.ParseAddrPort(response.Msg.GetLeader())
	if err != nil {
		return netip.AddrPort{}, c.failed("locate", member, err)
	}
	c.keep(response.Msg.GetCore())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.target = leader
	return leader, nil
}

// keep replaces the members that the core itself has told by those at the
// addresses of core, if there are any.
func (c *Client) keep(core []string) {
	if members := Addresses(core); len(members) > 0 {
		c.SetMembers(members)
	}
}

// Addresses returns the addresses that the core has told in texts. One that is
// malformed is logged and left out.
func Addresses(texts []string) []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, text := range texts {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			klog.InfoS("Malformed address from the core", "Address", text, "Cause", err.Error())
			continue
		}
		addresses = append(addresses, address)
	}
	return addresses
}

// Target returns the member that is called next.
func (c *Client) Target() netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.target
}

// choose returns the member to call.
func (c *Client) choose() netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.target.IsValid() {
		return c.target
	}
	known := slices.Clone(c.members)
	for _, seed := range c.seeds {
		if !slices.Contains(known, seed) {
			known = append(known, seed)
		}
	}
	if len(known) == 0 {
		return netip.AddrPort{}
	}
	c.next++
	c.target = known[c.next%len(known)]
	return c.target
}

// failed notes that member did not answer, and turns to the leader that it named
// or to another.
func (c *Client) failed(op string, member netip.AddrPort, err error) error {
	var refused *connect.Error
	leader := netip.AddrPort{}
	if errors.As(err, &refused) {
		leader, _ = netip.ParseAddrPort(refused.Meta().Get(kcwledger.LeaderHeader))
	}
	if errors.Is(err, context.DeadlineExceeded) {
		// A connection that has gone silent must not be used again.
		c.transport.CloseIdleConnections()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.target == member {
		c.target = netip.AddrPort{}
		if leader.IsValid() && leader != member {
			c.target = leader
		}
	}
	return &Error{Op: op, Kind: Unanswered, Member: member, Err: eris.Wrap(err, "call")}
}

// Close closes the connections that are not in use.
func (c *Client) Close() { c.transport.CloseIdleConnections() }
