package kcwledger

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"

	"kingcupwick.example/kcw/kcwpb/kcwpbconnect"
)

// pingIdleTime is how long a connection may be idle before it is pinged.
const pingIdleTime = 5 * time.Second

// link holds the connections to one replica.
type link struct {
	address   netip.AddrPort
	transport *http.Transport
	ledger    kcwpbconnect.LedgerClient
	operator  kcwpbconnect.OperatorClient
}

// links holds the links to all replicas and which of them is presumed to be the
// leader. A leader that a follower names is added, so that the client keeps
// working when all configured replicas have been replaced.
type links struct {
	key         string
	timeout     time.Duration
	mu          sync.Mutex
	all         []*link
	leaderIndex int
}

func newLinks(addresses []netip.AddrPort, key string, timeout time.Duration) *links {
	l := &links{key: key, timeout: timeout}
	for _, address := range addresses {
		l.all = append(l.all, newLink(address, key, timeout))
	}
	return l
}

func newLink(address netip.AddrPort, key string, timeout time.Duration) *link {
	dialer := &net.Dialer{Timeout: timeout}
	transport := &http.Transport{
		DialContext:     dialer.DialContext,
		IdleConnTimeout: time.Minute,
		Protocols:       protocols(),
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingIdleTime, PingTimeout: timeout},
	}
	client := &http.Client{Transport: transport}
	base := "http://" + address.String()
	bearer := connect.WithInterceptors(&bearer{key: key})
	return &link{
		address:   address,
		transport: transport,
		ledger:    kcwpbconnect.NewLedgerClient(client, base, bearer),
		operator:  kcwpbconnect.NewOperatorClient(client, base, bearer),
	}
}

// leader returns the link to the presumed leader.
func (l *links) leader() *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all[l.leaderIndex]
}

// at returns the link at index n modulo the number of links.
func (l *links) at(n int) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all[n%len(l.all)]
}

func (l *links) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.all)
}

// recordFailure updates the links after a call returned err; failed is the link of
// that call. If it is the link to the presumed leader, another replica is presumed
// to be the leader: the one that err names, or else the next. After a timeout the
// link is also reconnected.
func (l *links) recordFailure(failed *link, err error) {
	hint, ok := leaderHint(err)
	l.mu.Lock()
	defer l.mu.Unlock()
	isLeader := l.all[l.leaderIndex] == failed
	if connect.CodeOf(err) == connect.CodeDeadlineExceeded {
		l.reconnect(failed)
	}
	if !isLeader {
		return
	}
	if ok {
		l.leaderIndex = l.indexOf(hint)
		return
	}
	l.leaderIndex = (l.leaderIndex + 1) % len(l.all)
}

// reconnect replaces the link old by one with a new connection: the connection of
// old may be dead, and its transport would continue to use it. The caller holds mu.
func (l *links) reconnect(old *link) {
	for i, entry := range l.all {
		if entry == old {
			l.all[i] = newLink(old.address, l.key, l.timeout)
		}
	}
	// Calls in flight on the old connection end by their deadlines within the
	// timeout. The connection is idle after that and is closed.
	time.AfterFunc(l.timeout, old.transport.CloseIdleConnections)
}

// indexOf returns the index of the link to address and adds a link if there is
// none. The caller holds mu.
func (l *links) indexOf(address netip.AddrPort) int {
	for i, entry := range l.all {
		if entry.address == address {
			return i
		}
	}
	l.all = append(l.all, newLink(address, l.key, l.timeout))
	return len(l.all) - 1
}

func (l *links) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, link := range l.all {
		link.transport.CloseIdleConnections()
	}
}

// leaderHint returns the address of the leader that a follower named in err.
func leaderHint(err error) (netip.AddrPort, bool) {
	var e *connect.Error
	if !errors.As(err, &e) {
		return netip.AddrPort{}, false
	}
	address, parseErr := netip.ParseAddrPort(e.Meta().Get(LeaderHeader))
	return address, parseErr == nil
}

// bearer adds the key to the headers of each call.
type bearer struct {
	key string
}

// WrapUnary implements connect.Interceptor.
func (b *bearer) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		req.Header().Set("Authorization", "Bearer "+b.key)
		return next(ctx, req)
	}
}

// WrapStreamingClient implements connect.Interceptor.
func (b *bearer) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		conn := next(ctx, spec)
		conn.RequestHeader().Set("Authorization", "Bearer "+b.key)
		return conn
	}
}

// WrapStreamingHandler implements connect.Interceptor. A client has no handler.
func (b *bearer) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}

// protocols selects HTTP/2 without TLS. For messages as small as a command, its
// compressed headers take a third of the bytes of HTTP/1.1.
func protocols() *http.Protocols {
	p := &http.Protocols{}
	p.SetUnencryptedHTTP2(true)
	return p
}
