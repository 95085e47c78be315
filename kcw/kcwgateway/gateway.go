// Package kcwgateway serves the HTTP requests of callers. A Gateway authenticates
// a request by its API key, checks it against the customer's contract, opens its
// claim, sends it to an upstream and forwards the answer. An answer ends cleanly
// only if it is complete and its bill is durable; otherwise the caller gets an
// error or the connection is aborted.
//
// Every request obeys one invariant: its claim is open before the first byte goes
// to an upstream, and once a byte may have been sent, its outcome is unknown until
// the answer is complete.
package kcwgateway

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"kingcupwick.example/kcw/kcwanswer"
	"kingcupwick.example/kcw/kcwcatalog"
	"kingcupwick.example/kcw/kcwcontract"
	"kingcupwick.example/kcw/kcwkeyring"
	"kingcupwick.example/kcw/kcwlimit"
	"kingcupwick.example/kcw/kcwmemory"
	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwserve"
	"kingcupwick.example/kcw/kcwtoken"
	"kingcupwick.example/kcw/kcwupstream"
)

// contractSource finds the contract that an API key belongs to.
type contractSource interface {
	ByKey(ctx context.Context, key string) (*kcwcontract.Contract, error)
}

// claimLedger opens and settles claims.
type claimLedger interface {
	Open(ctx context.Context, claim *kcwpb.OpenClaim) (*kcwpb.Result, error)
	Settle(ctx context.Context, claim *kcwpb.SettleClaim) (*kcwpb.Result, error)
}

// Config configures a Gateway. A duration or size of zero selects the default that
// is given with the field.
type Config struct {
	// Router and Incarnation identify the owner of the claims that are opened here.
	Router      string
	Incarnation uint64
	// Zone is the availability zone of this router.
	Zone string
	// Contracts and Accounts are required.
	Contracts contractSource
	Accounts  claimLedger
	// Limits applies this router's share of a contract's limits to claims that are
	// opened out of a grant. If it is nil, such claims are not limited.
	Limits *kcwlimit.Limiter
	// Answers stores finished answers. If it is nil, a Store with default settings
	// is used.
	Answers *kcwanswer.Store
	// Upstreams lists every upstream of every service.
	Upstreams []*kcwupstream.Upstream
	// Peers holds the keys of the processes that may fetch answers. If it is nil, no
	// process may.
	Peers *kcwkeyring.Keyring
	// PeerKey is the key that this process presents to other routers.
	PeerKey string
	// Memory bounds what bodies and answers of requests hold together. If it is nil, they may hold
	// 1 GiB.
	Memory *kcwmemory.Account
	// MaxBodyBytes bounds the body of a request, 4 MiB; MaxAnswerBytes an answer
	// that is not a stream, 16 MiB; MaxEventBytes one event of a stream, 1 MiB.
	MaxBodyBytes, MaxAnswerBytes int64
	MaxEventBytes                int
	// OpenTimeout bounds the opening of a claim, 3 s, and SettleTimeout the time that
	// an answer waits for its bill to become durable, 10 s.
	OpenTimeout, SettleTimeout time.Duration
	// FirstByteTimeout bounds the wait for the start of a stream, 60 s, and
	// AnswerTimeout the wait for an answer that is not a stream, 10 min.
	FirstByteTimeout, AnswerTimeout time.Duration
	// WriteTimeout bounds one write to a caller, 30 s, and ReadTimeout the
	// reading of a request's body, 30 s.
	WriteTimeout, ReadTimeout time.Duration
	// PollInterval is the time between two load reports, 250 ms.
	PollInterval time.Duration
	// SilenceTimeout is the maximum age of the last load report of an upstream that
	// gets requests, 3 s.
	SilenceTimeout time.Duration
	// Routers is the number of routers that share the upstreams, 1. Each router runs
	// at most its part of their capacity at once.
	Routers int
	// QueueCapacity bounds the number of requests queued for a service, 1,000.
	QueueCapacity int
	// UpstreamCapacity is the number of concurrent requests that an upstream is
	// assumed to take until it reports its capacity, 16.
	UpstreamCapacity int
	// MaxAttempts bounds the number of attempts of one request, 3.
	MaxAttempts int
	// FirstRetries is the number of retries that a new gateway may make for each
	// service before first attempts have added to the retry budget, at most 10.
	FirstRetries int
	// ContinuousUsage requests the token usage with every event of a stream.
	ContinuousUsage bool
	// EnginePriority sends the priority of each request to the engine, which serves
	// the lowest number first.
	EnginePriority bool
	// PrefixYield is the YieldRange of the kcwpick.Picker.
	PrefixYield float64
	// Observe is called for each request that ends; it may be nil.
	Observe func(service, code string, firstByte, total time.Duration, tokens int64)
	// Seed makes the random choices reproducible. Zero selects a random seed.
	Seed uint64
	// Now returns the current time; time.Now if nil.
	Now func() time.Time
}

// Gateway is the HTTP handler for callers. It is safe for concurrent use.
type Gateway struct {
	cfg          Config
	estimator    *kcwtoken.Estimator
	flights      *flights
	pool         *pool
	openAttempts atomic.Uint64
	draining     atomic.Bool
	stopped      atomic.Bool
	fenced       atomic.Bool
	peers        peers
	// parsing is held while a large body is parsed. overdraft is described at holding.
	parsing   sync.Mutex
	overdraft chan struct{}
	// fullRefusals counts the requests refused for memory, of which fullLoggedAt is the last
	// log line.
	fullRefusals atomic.Int64
	fullLoggedAt atomic.Pointer[time.Time]
	// unsettled counts the claims that are closed in the background after their
	// request ended. settling waits for the goroutines that do so.
	unsettled atomic.Int64
	settling  sync.WaitGroup
	// settleCtx is cancelled when Stop gives up closing claims in the background.
	settleCtx    context.Context
	stopSettling context.CancelFunc
}

// New returns a Gateway for cfg, or an *Error if cfg is incomplete.
func New(cfg Config) (*Gateway, error) {
	if cfg.Contracts == nil || cfg.Accounts == nil || cfg.Router == "" {
		return nil, &Error{Op: "new", Kind: KindConfig, Err: eris.New("Router, Contracts and Accounts must be set")}
	}
	cfg = cfg.withDefaults()
	p, err := newPool(cfg)
	if err != nil {
		return nil, &Error{Op: "new", Kind: KindConfig, Err: err}
	}
	settleCtx, stopSettling := context.WithCancel(context.Background())
	return &Gateway{
		cfg:          cfg,
		estimator:    kcwtoken.New(kcwtoken.Config{}),
		flights:      newFlights(),
		pool:         p,
		peers:        newPeers(cfg.PeerKey),
		overdraft:    make(chan struct{}, 1),
		settleCtx:    settleCtx,
		stopSettling: stopSettling,
	}, nil
}

// Run polls the load of the upstreams and prunes Config.Limits until ctx ends.
func (g *Gateway) Run(ctx context.Context) {
	if g.cfg.Limits != nil {
		go g.pruneLimits(ctx)
	}
	g.pool.poll(ctx, g.cfg.PollInterval)
}

func (g *Gateway) pruneLimits(ctx context.Context) {
	ticker := time.NewTicker(pruneInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			g.cfg.Limits.Prune(g.cfg.Now())
		case <-ctx.Done():
			return
		}
	}
}

// SetRouters sets the number of routers that share the upstreams, as the ledger
// counts them. A count below one is ignored: a ledger that has received no
// heartbeat yet returns it.
func (g *Gateway) SetRouters(routers int) {
	if routers > 0 {
		g.pool.routers.Store(int64(routers))
	}
}

// Drain begins a planned stop: Ready returns an error and callers are asked to
// close their connections, while requests are still served.
func (g *Gateway) Drain() { g.draining.Store(true) }

// Stop refuses new requests and waits until every request in flight has ended and
// its claim is closed. It returns the error of ctx if that ends first; claims that
// are still open then are left to recovery.
func (g *Gateway) Stop(ctx context.Context) error {
	g.draining.Store(true)
	g.stopped.Store(true)
	err := g.flights.waitIdle(ctx)
	g.stopSettling()
	g.settling.Wait()
	for _, u := range g.cfg.Upstreams {
		u.Close()
	}
	if err != nil {
		return eris.Wrap(err, "requests in flight")
	}
	return nil
}

// Fence makes the gateway refuse requests, because a newer incarnation of this
// router was registered.
func (g *Gateway) Fence() { g.fenced.Store(true) }

// Ready returns nil if the gateway accepts requests, and otherwise the reason why
// it does not.
func (g *Gateway) Ready() error {
	switch {
	case g.fenced.Load():
		return eris.New("replaced by a newer incarnation")
	case g.draining.Load():
		return eris.New("stopping")
	default:
		return nil
	}
}

// ServeHTTP serves one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := g.cfg.Now()
	// The server writes its buffered data after ServeHTTP returns, and needs a new
	// deadline for that.
	defer g.extendWriteDeadline(w)
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	identity, given, refused := identityOf(r.Header, now)
	if refused == nil {
		w.Header().Set(RequestHeader, identity)
		refused = g.serve(w, r, identity, given, now)
	}
	if refused != nil {
		// A refusal does not wait for the rest of a body.
		kcwserve.SkipBody(w, r)
		g.extendWriteDeadline(w)
		refused.write(w, identity, g.cfg.Now())
		g.observe("", string(refused.code), now, time.Time{}, 0)
	}
}

// extendWriteDeadline renews the deadline for writes to the caller.
func (g *Gateway) extendWriteDeadline(w http.ResponseWriter) {
	// Only the writers of tests don't support deadlines.
	_ = http.NewResponseController(w).SetWriteDeadline(g.cfg.Now().Add(g.cfg.WriteTimeout))
}

// serve admits a request and executes it. It returns the refusal of a request that
// is not admitted, or nil.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request, identity string, given bool, now time.Time) *refusal {
	if g.stopped.Load() {
		return refuse(codeRouterDraining, now, "")
	}
	if g.fenced.Load() {
		return refuse(codeRouterFenced, now, "")
	}
	contract, key, refused := g.authenticate(r, now)
	if refused != nil {
		return refused
	}
	if r.URL.Path == modelsPath {
		if r.Method != http.MethodGet {
			return refuse(codeMethodNotAllowed, now, "")
		}
		serveModels(w, contract)
		return nil
	}
	service, refused := findService(contract, r, now)
	if refused != nil {
		return refused
	}
	memory := &holding{account: g.cfg.Memory, overdraft: g.overdraft}
	defer memory.releaseAll()
	if !memory.tryAcquire(requestBytes) {
		g.logFull("request")
		return refuse(codeMemoryFull, now, "")
	}
	body, refused := g.readBody(w, r, memory, now)
	if refused != nil {
		return refused
	}
	req := &request{
		contract: contract, identity: identity, identityGiven: given, startedAt: now, memory: memory,
		digest:     digestOf(r.Method, r.URL.RequestURI(), body),
		repeatable: !isNoRepeat(r.Header),
		header:     upstreamHeader(r.Header, contract.Customer, identity),
	}
	req.team, _ = contract.Team(key.Team)
	if service != nil {
		admitService(req, service, r, body)
	} else if refused := g.parseChat(r.Context(), req, body, now); refused != nil {
		return refused
	}
	return g.startOrJoin(w, r, req)
}

// findService returns the plain service that a request calls, nil for a chat completion. It refuses a
// request by its path and method before its body is read.
func findService(contract *kcwcontract.Contract, r *http.Request, now time.Time) (*kcwcontract.Service, *refusal) {
	switch {
	case r.URL.Path == chatPath && r.Method != http.MethodPost:
		return nil, refuse(codeMethodNotAllowed, now, "")
	case r.URL.Path == chatPath:
		return nil, nil
	case strings.HasPrefix(r.URL.Path, servicesPath):
		return checkService(contract, r, now)
	default:
		return nil, refuse(codeUnknownPath, now, "")
	}
}

// authenticate returns the contract that the caller's API key belongs to, and the
// key's entry in it.
func (g *Gateway) authenticate(r *http.Request, now time.Time) (*kcwcontract.Contract, kcwcontract.Key, *refusal) {
	apiKey, ok := kcwkeyring.Bearer(r.Header)
	if !ok {
		return nil, kcwcontract.Key{}, refuse(codeUnknownKey, now, "")
	}
	contract, err := g.cfg.Contracts.ByKey(r.Context(), apiKey)
	var failure *kcwcatalog.Error
	if errors.As(err, &failure) && failure.Kind == kcwcatalog.KindUnknown {
		return nil, kcwcontract.Key{}, refuse(codeUnknownKey, now, "")
	}
	if err != nil {
		return nil, kcwcontract.Key{}, refuse(codeContractsUnavailable, now, "")
	}
	key, ok := contract.KeyByHash(hexHash(apiKey))
	if !ok {
		return nil, kcwcontract.Key{}, refuse(codeUnknownKey, now, "")
	}
	return contract, key, nil
}

// observe reports a request that ended to Config.Observe.
func (g *Gateway) observe(service, code string, started, firstByte time.Time, tokens int64) {
	if g.cfg.Observe == nil {
		return
	}
	var first time.Duration
	if !firstByte.IsZero() {
		first = firstByte.Sub(started)
	}
	g.cfg.Observe(service, code, first, g.cfg.Now().Sub(started), tokens)
}
