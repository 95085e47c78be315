// Package kcwlending lends and borrows prepaid tokens among the routers of a
// document-driven fleet that can't reach the core. It covers network partitions in which
// one router runs out of a team's tokens while others hold some. The balance decides how
// much is lent and borrowed, and accounts for it.
package kcwlending

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
	"k8s.io/klog/v2"

	"kingcupwick.example/kcw/kcwlog"
	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwpb/kcwpbconnect"
)

const (
	// maxLenders bounds the lenders asked for one loan. It is half of those that the
	// core names to a router; more than that lack tokens or are unreachable only in a
	// wide outage.
	maxLenders = 4
	// retryPause is how long no loan is requested for a team after a request for one
	// yielded no tokens. It is the interval of a router's reports to the core.
	retryPause = 250 * time.Millisecond
	// maxMessageBytes bounds a message from another router, and maxHeaderBytes its
	// header.
	maxMessageBytes = 64 << 10
	maxHeaderBytes  = 16 << 10
	// idleTimeouts is how long idle connections are kept, in call timeouts. It is short
	// because loans come in bursts, and each burst uses other routers.
	idleTimeouts = 10
)

// balance is the balance of the tokens that this router holds.
type balance interface {
	// BorrowAmount returns how many tokens to borrow for a request, zero if it holds enough.
	BorrowAmount(team string, tokens int64, now time.Time) int64
	// Lend deducts up to the given number of tokens and returns how many it lends.
	Lend(team string, tokens int64, now time.Time) int64
	// AddBorrowed adds tokens that another router has lent.
	AddBorrowed(team string, tokens int64)
}

// Config configures a Lending. Every field is needed.
type Config struct {
	// Router is this router's name.
	Router  string
	Balance balance
	// Timeout bounds the call to one lender.
	Timeout time.Duration
	Now     func() time.Time
}

// loan is the state of the loans for one team. At most one is in progress.
type loan struct {
	// done is closed when the loan in progress ends. It is nil if none is in progress.
	done chan struct{}
	// pauseUntil is the end of the pause after a loan that yielded no tokens.
	pauseUntil time.Time
}

// Lending lends tokens to other routers and borrows tokens from them. It is safe for
// concurrent use.
type Lending struct {
	kcwpbconnect.UnimplementedLendingHandler
	cfg       Config
	transport *http.Transport
	http      *http.Client

	mu      sync.Mutex
	lenders []netip.AddrPort
	loans   map[string]*loan
}

// New returns a Lending without lenders.
func New(cfg Config) *Lending {
	dialer := &net.Dialer{Timeout: cfg.Timeout}
	transport := &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeouts * cfg.Timeout, DisableCompression: true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	return &Lending{cfg: cfg, transport: transport, http: &http.Client{Transport: transport}, loans: map[string]*loan{}}
}

// Handler returns the handler for other routers.
func (l *Lending) Handler() (string, http.Handler) {
	return kcwpbconnect.NewLendingHandler(l, connect.WithReadMaxBytes(maxMessageBytes))
}

// SetLenders replaces the addresses of other routers. It does nothing if lenders is
// empty.
func (l *Lending) SetLenders(lenders []netip.AddrPort) {
	if len(lenders) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lenders = lenders
}

// Borrow lends tokens to another router.
func (l *Lending) Borrow(_ context.Context, req *connect.Request[kcwpb.BorrowRequest]) (*connect.Response[kcwpb.BorrowResponse], error) {
	lent := l.cfg.Balance.Lend(req.Msg.GetTeam(), req.Msg.GetTokens(), l.cfg.Now())
	if lent > 0 {
		klog.InfoS("Tokens lent", "Router", req.Msg.GetRouter(), "Team", req.Msg.GetTeam(), "Tokens", lent, "Asked", req.Msg.GetTokens())
	}
	return connect.NewResponse(&kcwpb.BorrowResponse{Tokens: lent}), nil
}

// Acquire borrows tokens of team for a request that needs the given number. If a loan
// for the team is in progress it waits for that one instead. It returns true if it
// borrowed tokens or a loan that it waited for has ended; the request may still lack
// tokens then.
func (l *Lending) Acquire(ctx context.Context, team string, tokens int64) bool {
	l.mu.Lock()
	current := l.loans[team]
	if current == nil {
		current = &loan{}
		l.loans[team] = current
	}
	if done := current.done; done != nil {
		l.mu.Unlock()
		select {
		case <-done:
			return true
		case <-ctx.Done():
			return false
		}
	}
	if l.cfg.Now().Before(current.pauseUntil) {
		l.mu.Unlock()
		return false
	}
	current.done = make(chan struct{})
	lenders := slices.Clone(l.lenders)
	l.mu.Unlock()

	acquired := l.borrowFromLenders(ctx, lenders, team, tokens)
	l.mu.Lock()
	defer l.mu.Unlock()
	close(current.done)
	current.done = nil
	if acquired == 0 {
		current.pauseUntil = l.cfg.Now().Add(retryPause)
	}
	return acquired > 0
}

// borrowFromLenders requests loans from up to maxLenders lenders, in random order, until
// the balance covers the request. It returns the number of tokens borrowed.
func (l *Lending) borrowFromLenders(ctx context.Context, lenders []netip.AddrPort, team string, tokens int64) int64 {
	rand.Shuffle(len(lenders), func(i, j int) { lenders[i], lenders[j] = lenders[j], lenders[i] })
	acquired := int64(0)
	for _, lender := range lenders[:min(len(lenders), maxLenders)] {
		short := l.cfg.Balance.BorrowAmount(team, tokens, l.cfg.Now())
		if short == 0 || ctx.Err() != nil {
			break
		}
		lent, err := l.requestLoan(ctx, lender, team, short)
		if err != nil {
			klog.V(kcwlog.DebugVerbosity).InfoS("Lender did not answer", "Address", lender, "Cause", err.Error())
			continue
		}
		l.cfg.Balance.AddBorrowed(team, lent)
		acquired += lent
	}
	klog.InfoS("Tokens borrowed", "Team", team, "Tokens", acquired, "Asked", tokens, "Lenders", len(lenders))
	return acquired
}

// requestLoan requests a loan from one lender. The call goes on after ctx has ended,
// because the lender may have deducted the tokens already.
func (l *Lending) requestLoan(ctx context.Context, lender netip.AddrPort, team string, tokens int64) (int64, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), l.cfg.Timeout)
	defer cancel()
	req := connect.NewRequest(&kcwpb.BorrowRequest{Router: l.cfg.Router, Team: team, Tokens: tokens})
	response, err := kcwpbconnect.NewLendingClient(l.http, "http://"+lender.String(), connect.WithReadMaxBytes(maxMessageBytes)).Borrow(ctx, req)
	if err != nil {
		return 0, err
	}
	return min(max(response.Msg.GetTokens(), 0), tokens), nil
}

// Close closes idle connections.
func (l *Lending) Close() { l.transport.CloseIdleConnections() }
