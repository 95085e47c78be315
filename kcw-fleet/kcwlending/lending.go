// Package kcwlending lends and borrows prepaid tokens among the routers of a
// document-driven fleet that can't reach the core. It answers a cut in which one
// router runs out of a team's tokens while others hold some. What is lent, and what
// happens to it, is decided by the balance.
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
	// mostAsked bounds the lenders asked for one loan: more than half of those
	// that a router knows have nothing or are gone only in a wide outage.
	mostAsked = 4
	// pauseAfter is how long a team's tokens are not asked for again after nobody
	// lent any: one report of each router to the core.
	pauseAfter = 250 * time.Millisecond
	// maxMessageBytes bounds a message of another router, and maxHeaderBytes its header.
	maxMessageBytes = 64 << 10
	maxHeaderBytes  = 16 << 10
	// idleCalls is for how many times a call's timeout a connection is kept
	// unused: loans come in bursts, and from other routers each time.
	idleCalls = 10
)

// balance is the tokens of this router.
type balance interface {
	// BorrowAmount returns how many tokens to borrow for a request, zero if none.
	BorrowAmount(team string, tokens int64, now time.Time) int64
	// Lend returns how many of the tokens another router may use.
	Lend(team string, tokens int64, now time.Time) int64
	// AddBorrowed takes tokens that were lent.
	AddBorrowed(team string, tokens int64)
}

// Config configures a Lending. Every field is needed.
type Config struct {
	// Router is this router's name.
	Router  string
	Balance balance
	// Timeout bounds the call of one lender.
	Timeout time.Duration
	Now     func() time.Time
}

// loan is the borrowing of one team's tokens that is under way, or the last one.
type loan struct {
	// done is closed at the end, nil if none is under way.
	done       chan struct{}
	pauseUntil time.Time
}

// Lending lends and borrows. It is safe for concurrent use.
type Lending struct {
	kcwpbconnect.UnimplementedLendingHandler
	cfg       Config
	transport *http.Transport
	http      *http.Client

	mu      sync.Mutex
	lenders []netip.AddrPort
	loans   map[string]*loan
}

// New returns a Lending that knows no lenders.
func New(cfg Config) *Lending {
	dialer := &net.Dialer{Timeout: cfg.Timeout}
	transport := &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleCalls * cfg.Timeout, DisableCompression: true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	return &Lending{cfg: cfg, transport: transport, http: &http.Client{Transport: transport}, loans: map[string]*loan{}}
}

// Handler returns the handler for other routers.
func (l *Lending) Handler() (string, http.Handler) {
	return kcwpbconnect.NewLendingHandler(l, connect.WithReadMaxBytes(maxMessageBytes))
}

// SetLenders replaces the addresses of other routers, if there are any.
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

// Acquire borrows tokens of team for a request that needs so many. It returns whether
// a loan was made, by this call or by another that it waited for; the request may
// lack tokens still.
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

	acquired := l.askAll(ctx, lenders, team, tokens)
	l.mu.Lock()
	defer l.mu.Unlock()
	close(current.done)
	current.done = nil
	if acquired == 0 {
		current.pauseUntil = l.cfg.Now().Add(pauseAfter)
	}
	return acquired > 0
}

// askAll asks lenders in random order until none of the tokens is lacking.
func (l *Lending) askAll(ctx context.Context, lenders []netip.AddrPort, team string, tokens int64) int64 {
	rand.Shuffle(len(lenders), func(i, j int) { lenders[i], lenders[j] = lenders[j], lenders[i] })
	acquired := int64(0)
	for _, lender := range lenders[:min(len(lenders), mostAsked)] {
		short := l.cfg.Balance.BorrowAmount(team, tokens, l.cfg.Now())
		if short == 0 || ctx.Err() != nil {
			break
		}
		lent, err := l.ask(ctx, lender, team, short)
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

// ask asks one lender. The answer counts even if no request waits for it any more.
func (l *Lending) ask(ctx context.Context, lender netip.AddrPort, team string, tokens int64) (int64, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), l.cfg.Timeout)
	defer cancel()
	req := connect.NewRequest(&kcwpb.BorrowRequest{Router: l.cfg.Router, Team: team, Tokens: tokens})
	response, err := kcwpbconnect.NewLendingClient(l.http, "http://"+lender.String(), connect.WithReadMaxBytes(maxMessageBytes)).Borrow(ctx, req)
	if err != nil {
		return 0, err
	}
	return min(max(response.Msg.GetTokens(), 0), tokens), nil
}

// Close closes the connections that are not in use.
func (l *Lending) Close() { l.transport.CloseIdleConnections() }
