// Package kcwcore implements a client of the core of a document-driven fleet. It finds
// and calls the leader, and exchanges views of the core with other hosts.
package kcwcore

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"kingcupwick.example/kcw-fleet/kcwdirectory"
	"kingcupwick.example/kcw/kcwledger"
	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwpb/kcwpbconnect"
)

// Config configures a Client.
type Config struct {
	// Seeds are the hosts that the settings name.
	Seeds []netip.AddrPort
	// Self is where this host serves the core; it is not valid at a router.
	Self netip.AddrPort
}

const (
	// dialTimeout bounds the opening of a connection, because a host without power does
	// not answer. It is a few hundred round trips between zones.
	dialTimeout = 300 * time.Millisecond
	// maxTries bounds the hosts that one call is sent to. It covers an unreachable host,
	// one that does not lead, the leader, and one to spare.
	maxTries = 4
	// leaderTTL is how long a leader stays valid without a new confirmation. It is a few
	// election timeouts.
	leaderTTL = 3 * time.Second
	// hostTTL is how long hosts that are not seeds are remembered. It is longer than any
	// outage after which this host must still find the core through them.
	hostTTL = 24 * time.Hour
	// maxAnswerBytes bounds an answer, which may hold a compressed document and a list.
	maxAnswerBytes = 16 << 20
	// maxHeaderBytes bounds the header of an answer.
	maxHeaderBytes = 64 << 10
	// HostsHeader is the header in which a host that does not lead lists hosts that
	// serve the core when it refuses a call.
	HostsHeader = "Kcw-Hosts"
)

// Kind classifies an Error.
type Kind int

// Kinds of errors: the called host did not answer, or not as leader; or it leads and refused the
// call because it has too many in progress.
const (
	Unanswered Kind = iota + 1
	Busy
)

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

	mu        sync.Mutex
	directory *kcwdirectory.Directory
	// answered is the host that last answered as leader, failure why a host has not since.
	answered netip.AddrPort
	failure  string
}

// New returns a Client.
func New(cfg Config) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute, DisableCompression: true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	directory := kcwdirectory.New(kcwdirectory.Config{Self: cfg.Self, LeaderTTL: leaderTTL, HostTTL: hostTTL})
	directory.SetSeeds(cfg.Seeds)
	return &Client{transport: transport, http: &http.Client{Transport: transport}, directory: directory}
}

// SetSeeds replaces the seeds. It reports whether they changed.
func (c *Client) SetSeeds(seeds []netip.AddrPort) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.directory.SetSeeds(seeds)
}

// Merge adds a view from a source other than a call, such as the replica or the disk.
func (c *Client) Merge(view kcwdirectory.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.directory.Merge(view, time.Now())
}

// MergeFrom adds the view of the host at address and records the contact. The address is
// not valid if the host does not serve the core.
func (c *Client) MergeFrom(address netip.AddrPort, view kcwdirectory.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.directory.RecordContact(address, now)
	c.directory.Merge(view, now)
}

// View returns the current view of the core.
func (c *Client) View() kcwdirectory.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.directory.View(time.Now())
}

// AnnounceTargets returns the hosts to which this host announces its view; leads is set
// if it leads.
func (c *Client) AnnounceTargets(leads bool) []netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.directory.AnnounceTargets(leads, time.Now())
}

// Leader returns the leader; the address is not valid if none has been confirmed within
// leaderTTL.
func (c *Client) Leader() netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.directory.Leader(time.Now())
}

// fleetClient returns a client of the Fleet service at a host.
func (c *Client) fleetClient(host netip.AddrPort) kcwpbconnect.FleetClient {
	return kcwpbconnect.NewFleetClient(c.http, "http://"+host.String(), connect.WithReadMaxBytes(maxAnswerBytes))
}

// Sync calls Fleet.Sync at the leader, merges the membership in the answer, and returns the
// host that answered. It tries other hosts if one refuses the call or can't be reached. The
// error is an *Error.
func (c *Client) Sync(ctx context.Context, req *kcwpb.FleetSyncRequest) (response *kcwpb.FleetSyncResponse, host netip.AddrPort, err error) {
	var answer *connect.Response[kcwpb.FleetSyncResponse]
	host, err = c.callLeader(ctx, "sync", func(fleet kcwpbconnect.FleetClient) error {
		var err error
		answer, err = fleet.Sync(ctx, connect.NewRequest(req))
		return err
	})
	if err != nil {
		return nil, netip.AddrPort{}, err
	}
	view := kcwdirectory.View{Leader: host}
	for _, member := range ParseAddresses(answer.Msg.GetCore()) {
		view.Hosts = append(view.Hosts, kcwdirectory.Host{Address: member, Member: true})
	}
	c.Merge(view)
	return answer.Msg, host, nil
}

// Admit asks the leader to admit a replica. The error is an *Error.
func (c *Client) Admit(ctx context.Context, m *kcwpb.Member) error {
	_, err := c.callLeader(ctx, "admit", func(fleet kcwpbconnect.FleetClient) error {
		_, err := fleet.Admit(ctx, connect.NewRequest(&kcwpb.FleetAdmitRequest{Member: m}))
		return err
	})
	return err
}

// Permit asks the leader for a permit and returns the upstream that it is for, empty if there
// is none. Unlike Sync it tries no other host, since the request would wait. The error is an
// *Error.
func (c *Client) Permit(ctx context.Context, req *kcwpb.FleetPermitRequest) (string, error) {
	leader := c.Leader()
	if !leader.IsValid() {
		return "", &Error{Op: "permit", Kind: Unanswered, Err: errors.New("no leader is known")}
	}
	response, err := c.fleetClient(leader).Permit(ctx, connect.NewRequest(req))
	if err != nil {
		return "", &Error{Op: "permit", Kind: Unanswered, Member: leader, Err: eris.Wrap(err, "call")}
	}
	return response.Msg.GetUpstream(), nil
}

// Follow asks the member at address for a document newer than the one in req, and waits as long
// as req allows. The error is an *Error.
func (c *Client) Follow(ctx context.Context, address netip.AddrPort, req *kcwpb.FleetFollowRequest) (*kcwpb.FleetFollowResponse, error) {
	response, err := c.fleetClient(address).Follow(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, &Error{Op: "follow", Kind: Unanswered, Member: address, Err: eris.Wrap(err, "call")}
	}
	return response.Msg, nil
}

// callLeader calls up to maxTries hosts until one answers as leader, and returns its
// address. It stops at an error other than Unavailable.
func (c *Client) callLeader(ctx context.Context, op string, call func(kcwpbconnect.FleetClient) error) (netip.AddrPort, error) {
	err := &Error{Op: op, Kind: Unanswered, Err: errors.New("no host is known")}
	var tried []netip.AddrPort
	for range maxTries {
		host := c.nextHost(tried)
		if !host.IsValid() {
			break
		}
		tried = append(tried, host)
		startedAt := time.Now()
		cause := call(c.fleetClient(host))
		if cause == nil {
			c.recordAnswer(op, host)
			return host, nil
		}
		err = c.recordFailure(op, host, startedAt, cause)
		if ctx.Err() != nil || connect.CodeOf(cause) != connect.CodeUnavailable {
			break
		}
	}
	return netip.AddrPort{}, err
}

// nextHost returns the next host to call in a search that has called the hosts in tried. The
// last try goes to the host whose last call is the longest ago.
func (c *Client) nextHost(tried []netip.AddrPort) netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(tried) < maxTries-1 {
		if host := c.directory.NextAfter(tried, time.Now()); host.IsValid() {
			return host
		}
	}
	return c.directory.Next(time.Now())
}

// recordAnswer records that host answered as leader, and logs if another one did before.
func (c *Client) recordAnswer(op string, host netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.directory.RecordContact(host, time.Now())
	if host != c.answered {
		klog.InfoS("Leader of the core changed", "Operation", op, "Member", host, "Before", c.answered, "Cause", c.failure)
	}
	c.answered, c.failure = host, ""
}

// recordFailure records that host did not answer a call, begun at startedAt, as leader, and
// merges the leader and the hosts that its refusal names.
func (c *Client) recordFailure(op string, host netip.AddrPort, startedAt time.Time, err error) *Error {
	if errors.Is(err, context.DeadlineExceeded) {
		// The connection may be dead, so it must not be reused.
		c.transport.CloseIdleConnections()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var refused *connect.Error
	isRefused := errors.As(err, &refused) && connect.IsWireError(err)
	kind := Unanswered
	if isRefused && refused.Code() == connect.CodeResourceExhausted {
		kind = Busy
		c.directory.RecordContact(host, now)
	} else if !isRefused {
		c.recordNoAnswer(host, startedAt, now)
	} else {
		c.directory.RecordFailure(host, now)
		c.directory.RecordContact(host, now)
		view := kcwdirectory.View{}
		if leader, err := netip.ParseAddrPort(refused.Meta().Get(kcwledger.LeaderHeader)); err == nil && leader != host {
			view.Leader = leader
		}
		if hosts := refused.Meta().Get(HostsHeader); hosts != "" {
			for _, address := range ParseAddresses(strings.Split(hosts, ",")) {
				view.Hosts = append(view.Hosts, kcwdirectory.Host{Address: address})
			}
		}
		c.directory.Merge(view, now)
	}
	failure := &Error{Op: op, Kind: kind, Member: host, Err: eris.Wrap(err, "call")}
	c.failure = failure.Error()
	return failure
}

// recordNoAnswer records that host had not answered a call, begun at startedAt, by now. It
// counts as silent if it had as much time as a connection needs. The caller holds mu.
func (c *Client) recordNoAnswer(host netip.AddrPort, startedAt, now time.Time) {
	if now.Sub(startedAt) >= dialTimeout {
		c.directory.RecordSilence(host, now)
		return
	}
	c.directory.RecordFailure(host, now)
}

// Announce exchanges views with the host at address. It sends self as this host's own
// address if that is valid. The error is an *Error.
func (c *Client) Announce(ctx context.Context, address, self netip.AddrPort) error {
	req := &kcwpb.FleetAnnounceRequest{View: Encode(c.View())}
	if self.IsValid() {
		req.Address = self.String()
	}
	response, err := c.fleetClient(address).Announce(ctx, connect.NewRequest(req))
	if err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			c.transport.CloseIdleConnections()
		}
		return &Error{Op: "announce", Kind: Unanswered, Member: address, Err: eris.Wrap(err, "call")}
	}
	c.MergeFrom(address, Decode(response.Msg.GetView()))
	return nil
}

// AnnounceNext exchanges views with the next host to call in a search that has called the
// hosts in tried, and returns that host. A host without a disk uses it to locate the leader.
// The error is an *Error; the host is not valid if none is known.
func (c *Client) AnnounceNext(ctx context.Context, self netip.AddrPort, tried []netip.AddrPort) (netip.AddrPort, error) {
	host := c.nextHost(tried)
	if !host.IsValid() {
		return host, &Error{Op: "ask", Kind: Unanswered, Err: errors.New("no host is known")}
	}
	startedAt := time.Now()
	err := c.Announce(ctx, host, self)
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.recordNoAnswer(host, startedAt, time.Now())
	}
	return host, err
}

// Encode returns the wire form of view.
func Encode(view kcwdirectory.View) *kcwpb.CoreView {
	message := &kcwpb.CoreView{LeaderAgeNanos: int64(view.LeaderAge)}
	if view.Leader.IsValid() {
		message.Leader = view.Leader.String()
	}
	for _, h := range view.Hosts {
		message.Hosts = append(message.Hosts, &kcwpb.CoreHost{Address: h.Address.String(), Member: h.Member, AgeNanos: int64(h.Age)})
	}
	return message
}

// Decode returns the view of a message. It leaves out malformed addresses.
func Decode(message *kcwpb.CoreView) kcwdirectory.View {
	view := kcwdirectory.View{LeaderAge: time.Duration(message.GetLeaderAgeNanos())}
	if leader := message.GetLeader(); leader != "" {
		if addresses := ParseAddresses([]string{leader}); len(addresses) == 1 {
			view.Leader = addresses[0]
		}
	}
	for _, h := range message.GetHosts() {
		for _, address := range ParseAddresses([]string{h.GetAddress()}) {
			view.Hosts = append(view.Hosts, kcwdirectory.Host{Address: address, Member: h.GetMember(), Age: time.Duration(h.GetAgeNanos())})
		}
	}
	return view
}

// ParseAddresses parses addresses that were received from other hosts or stored by an
// earlier process. It logs malformed ones and leaves them out.
func ParseAddresses(texts []string) []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, text := range texts {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			klog.InfoS("Malformed address left out", "Address", text, "Cause", err.Error())
			continue
		}
		addresses = append(addresses, address)
	}
	return addresses
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }
