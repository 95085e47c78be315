// Package kcwcore holds a client of the core of a document-driven fleet: it finds
// the leader by the hosts that it knows and calls it, and exchanges what is known
// of the core with other hosts.
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
	// Seeds are the hosts of the settings.
	Seeds []netip.AddrPort
	// Self is where this host serves the core; it is not valid at a router.
	Self netip.AddrPort
}

const (
	// dialTimeout bounds the opening of a connection, a few hundred round trips
	// between zones: a host without power does not answer.
	dialTimeout = 300 * time.Millisecond
	// maxTries bounds the hosts that one call is sent to: one that is gone, one that
	// does not lead, and the leader, with one to spare.
	maxTries = 4
	// leaderFor is how long a leader is named that no member has confirmed since, some
	// election timeouts.
	leaderFor = 3 * time.Second
	// forget is how long hosts are remembered that are in no settings, longer than
	// any outage in which they should be found again by memory.
	forget = 24 * time.Hour
	// maxAnswerBytes bounds an answer: a compressed document and a list.
	maxAnswerBytes = 16 << 20
	// maxHeaderBytes bounds the header of an answer.
	maxHeaderBytes = 64 << 10
	// HostsHeader names hosts that serve the core, in the refusal of one that does
	// not lead.
	HostsHeader = "Kcw-Hosts"
)

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

	mu        sync.Mutex
	directory *kcwdirectory.Directory
}

// New returns a Client.
func New(cfg Config) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute, DisableCompression: true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	directory := kcwdirectory.New(kcwdirectory.Config{Self: cfg.Self, LeaderTTL: leaderFor, HostTTL: forget})
	directory.SetSeeds(cfg.Seeds)
	return &Client{transport: transport, http: &http.Client{Transport: transport}, directory: directory}
}

// SetSeeds replaces the hosts of the settings. It reports whether they changed.
func (c *Client) SetSeeds(seeds []netip.AddrPort) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.directory.SetSeeds(seeds)
}

// Merge takes what is known of the core from elsewhere.
func (c *Client) Merge(view kcwdirectory.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.directory.Merge(view, time.Now())
}

// MergeFrom takes what the host at address has told of the core. The address is not
// valid if the host does not serve the core.
func (c *Client) MergeFrom(address netip.AddrPort, view kcwdirectory.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.directory.RecordContact(address, now)
	c.directory.Merge(view, now)
}

// View returns what is known of the core.
func (c *Client) View() kcwdirectory.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.directory.View(time.Now())
}

// AnnounceTargets returns the hosts to announce to, for a host that leads or not.
func (c *Client) AnnounceTargets(leads bool) []netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.directory.AnnounceTargets(leads, time.Now())
}

// Leader returns the leader that was confirmed lately; it is not valid if there is
// none.
func (c *Client) Leader() netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.directory.Leader(time.Now())
}

// fleet returns the service at a host.
func (c *Client) fleet(host netip.AddrPort) kcwpbconnect.FleetClient {
	return kcwpbconnect.NewFleetClient(c.http, "http://"+host.String(), connect.WithReadMaxBytes(maxAnswerBytes))
}

// Sync calls Fleet.Sync at the host taken for the leader and learns the members
// of the core. One that refuses or can't be connected is followed by another. The
// error is an *Error.
func (c *Client) Sync(ctx context.Context, req *kcwpb.FleetSyncRequest) (*kcwpb.FleetSyncResponse, error) {
	var response *connect.Response[kcwpb.FleetSyncResponse]
	host, err := c.try(ctx, "sync", func(fleet kcwpbconnect.FleetClient) error {
		var err error
		response, err = fleet.Sync(ctx, connect.NewRequest(req))
		return err
	})
	if err != nil {
		return nil, err
	}
	view := kcwdirectory.View{Leader: host}
	for _, member := range ParseAddresses(response.Msg.GetCore()) {
		view.Hosts = append(view.Hosts, kcwdirectory.Host{Address: member, Member: true})
	}
	c.Merge(view)
	return response.Msg, nil
}

// Admit asks the host taken for the leader to admit a replica. The error is an
// *Error.
func (c *Client) Admit(ctx context.Context, m *kcwpb.Member) error {
	_, err := c.try(ctx, "admit", func(fleet kcwpbconnect.FleetClient) error {
		_, err := fleet.Admit(ctx, connect.NewRequest(&kcwpb.FleetAdmitRequest{Member: m}))
		return err
	})
	return err
}

// try calls hosts until one takes the call, and returns it.
func (c *Client) try(ctx context.Context, op string, call func(kcwpbconnect.FleetClient) error) (netip.AddrPort, error) {
	err := &Error{Op: op, Kind: Unanswered, Err: errors.New("no host is known")}
	for range maxTries {
		host := c.next()
		if !host.IsValid() {
			break
		}
		cause := call(c.fleet(host))
		if cause == nil {
			return host, nil
		}
		err = c.failed(op, host, cause)
		if ctx.Err() != nil || connect.CodeOf(cause) != connect.CodeUnavailable {
			break
		}
	}
	return netip.AddrPort{}, err
}

// next returns the host to call.
func (c *Client) next() netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.directory.Next(time.Now())
}

// failed notes that host did not answer as leader, and learns what it told.
func (c *Client) failed(op string, host netip.AddrPort, err error) *Error {
	if errors.Is(err, context.DeadlineExceeded) {
		// A connection that has gone silent must not be used again.
		c.transport.CloseIdleConnections()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.directory.RecordFailure(host, now)
	var refused *connect.Error
	if errors.As(err, &refused) {
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
	return &Error{Op: op, Kind: Unanswered, Member: host, Err: eris.Wrap(err, "call")}
}

// Announce tells the host at address what is known of the core, as told by the host
// at self if that is valid, and learns what that host knows.
func (c *Client) Announce(ctx context.Context, address, self netip.AddrPort) error {
	req := &kcwpb.FleetAnnounceRequest{View: Encode(c.View())}
	if self.IsValid() {
		req.Address = self.String()
	}
	response, err := c.fleet(address).Announce(ctx, connect.NewRequest(req))
	if err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			c.transport.CloseIdleConnections()
		}
		return &Error{Op: "announce", Kind: Unanswered, Member: address, Err: eris.Wrap(err, "call")}
	}
	c.MergeFrom(address, Decode(response.Msg.GetView()))
	return nil
}

// AnnounceNext exchanges views with the host that is asked next, for a host without a disk
// that looks for the leader.
func (c *Client) AnnounceNext(ctx context.Context, self netip.AddrPort) error {
	host := c.next()
	if !host.IsValid() {
		return &Error{Op: "ask", Kind: Unanswered, Err: errors.New("no host is known")}
	}
	if err := c.Announce(ctx, host, self); err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.directory.RecordFailure(host, time.Now())
		return err
	}
	return nil
}

// Encode returns view as a message.
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

// Decode returns the view of a message. What is malformed is left out.
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

// ParseAddresses returns the addresses that the core has told in texts. One that is
// malformed is logged and left out.
func ParseAddresses(texts []string) []netip.AddrPort {
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

// Close closes the connections that are not in use.
func (c *Client) Close() { c.transport.CloseIdleConnections() }
