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

// pingAfter is how long a connection may be silent before it is tested.
const pingAfter = 5 * time.Second

// link is the connections to one replica.
type link struct {
	address   netip.AddrPort
	transport *http.Transport
	ledger    kcwpbconnect.LedgerClient
	operator  kcwpbconnect.OperatorClient
}

// links is the replicas that the client knows, and which one it takes for the
// leader. Leaders named by a follower are added, so that the client outlives
// the replicas of its settings.
type links struct {
	key     string
	timeout time.Duration
	mu      sync.Mutex
	all     []*link
	current int
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
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: timeout},
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

// leader returns the replica taken for the leader.
func (l *links) leader() *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all[l.current]
}

// at returns a replica by a number that may exceed their count.
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

// failed takes note that a call to used ended with err: the leader that the
// replica named, or else the next replica, comes next.
func (l *links) failed(used *link, err error) {
	hint, ok := leaderHint(err)
	l.mu.Lock()
	defer l.mu.Unlock()
	isCurrent := l.all[l.current] == used
	if connect.CodeOf(err) == connect.CodeDeadlineExceeded {
		l.renew(used)
	}
	if !isCurrent {
		return
	}
	if ok {
		l.current = l.find(hint)
		return
	}
	l.current = (l.current + 1) % len(l.all)
}

// renew gives the replica of used a fresh connection: the one that fell silent
// may be dead permanently, and the transport would go on using it. The caller
// holds mu.
func (l *links) renew(used *link) {
	for i, known := range l.all {
		if known == used {
			l.all[i] = newLink(used.address, l.key, l.timeout)
		}
	}
	// Calls still under way end by their own deadlines; the connection is
	// closed with the last of them.
	time.AfterFunc(l.timeout, used.transport.CloseIdleConnections)
}

// find returns the place of address among the links, which it is added to if
// new. The caller holds mu.
func (l *links) find(address netip.AddrPort) int {
	for i, known := range l.all {
		if known.address == address {
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

// leaderHint returns the leader that a follower named in its refusal.
func leaderHint(err error) (netip.AddrPort, bool) {
	var e *connect.Error
	if !errors.As(err, &e) {
		return netip.AddrPort{}, false
	}
	address, parseErr := netip.ParseAddrPort(e.Meta().Get(LeaderHeader))
	return address, parseErr == nil
}

// bearer puts the key on each call.
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

// protocols returns HTTP/2 without TLS, whose compressed headers take a third of
// the bytes of HTTP/1.1 for messages as small as a command.
func protocols() *http.Protocols {
	p := &http.Protocols{}
	p.SetUnencryptedHTTP2(true)
	return p
}
