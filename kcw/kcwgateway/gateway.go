// Package kcwgateway is what callers speak to. A Gateway admits a request by
// its key and contract, opens its claim, sends it to an upstream, and passes
// the answer on: whole, and not before its bill is durable, or visibly broken.
//
// Of each request it keeps one rule above all: its claim is open before a byte
// of it leaves, and once a byte may have left, its outcome is unknown until
// the answer is whole.
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
	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwtoken"
	"kingcupwick.example/kcw/kcwupstream"
)

// contracts finds the contract that admits a key.
type contracts interface {
	ByKey(ctx context.Context, key string) (*kcwcontract.Contract, error)
}

// accounts opens and settles claims.
type accounts interface {
	Open(ctx context.Context, claim *kcwpb.OpenClaim) (*kcwpb.Result, error)
	Settle(ctx context.Context, claim *kcwpb.SettleClaim) (*kcwpb.Result, error)
}

// Config sets up a Gateway. Durations and sizes that are zero get the default
// that is named.
type Config struct {
	// Router and Incarnation are the owner of the claims opened here.
	Router      string
	Incarnation uint64
	// Zone is the availability zone of this router.
	Zone string
	// Contracts and Accounts are required.
	Contracts contracts
	Accounts  accounts
	// Limits applies this router's share of a contract's limits to claims that
	// are opened out of a grant; there is no limit then if it is nil.
	Limits *kcwlimit.Limiter
	// Answers keeps finished answers, a Store with its defaults if nil.
	Answers *kcwanswer.Store
	// Upstreams lists every upstream of every service.
	Upstreams []*kcwupstream.Upstream
	// Peers admits the processes that may fetch answers; none may if it is nil.
	Peers *kcwkeyring.Keyring
	// PeerKey is the key of this process at the other routers.
	PeerKey string
	// MaxBodyBytes bounds a request, 4 MiB; MaxAnswerBytes an answer that is
	// not a stream, 16 MiB; MaxEventBytes one event of a stream, 1 MiB.
	MaxBodyBytes, MaxAnswerBytes int64
	MaxEventBytes                int
	// OpenTimeout bounds the opening of a claim, 3 s, and SettleTimeout how
	// long an answer waits for its bill, 10 s.
	OpenTimeout, SettleTimeout time.Duration
	// FirstByteTimeout bounds the wait for a stream to begin, 60 s, and
	// AnswerTimeout for an answer that is not a stream, 10 min.
	FirstByteTimeout, AnswerTimeout time.Duration
	// WriteTimeout bounds one write to a caller, 30 s, and ReadTimeout the
	// reading of a request's body, 30 s.
	WriteTimeout, ReadTimeout time.Duration
	// PollInterval is the time between two load reports, 250 ms.
	PollInterval time.Duration
	// SilenceTimeout is how long after its last load report an upstream is
	// given work, 3 s.
	SilenceTimeout time.Duration
	// Routers is the number of routers that share the upstreams, 1. Each starts no
	// more requests at once than its part of their capacity.
	Routers int
	// QueueCapacity bounds the requests that wait for a service, 1,000.
	QueueCapacity int
	// UpstreamCapacity is how many requests an upstream takes at once until it
	// says otherwise, 16.
	UpstreamCapacity int
	// MaxAttempts bounds the tries of one request, 3.
	MaxAttempts int
	// FirstRetries is how many retries of a service a new gateway may spend
	// before its first requests have earned any, 10 at most.
	FirstRetries int
	// ContinuousUsage asks engines for the usage with each event.
	ContinuousUsage bool
	// EnginePriority tells engines the priority of each request, the lowest
	// number first.
	EnginePriority bool
	// PrefixYield is the YieldRange of the kcwpick.Picker.
	PrefixYield float64
	// Observe is told of each request that ends; it may be nil.
	Observe func(service, code string, firstByte, total time.Duration, tokens int64)
	// Seed makes the random choices repeatable; zero takes any.
	Seed uint64
	// Now is the clock, time.Now if nil.
	Now func() time.Time
}

// Gateway is the HTTP handler for callers. It is safe for concurrent use.
type Gateway struct {
	cfg       Config
	estimator *kcwtoken.Estimator
	flights   *flights
	pool      *pool
	attempts  atomic.Uint64
	draining  atomic.Bool
	stopped   atomic.Bool
	fenced    atomic.Bool
	peers     peers
	// unsettled counts the claims whose closing goes on after their request.
	unsettled atomic.Int64
	closing   sync.WaitGroup
	// life ends when the process gives up on unsettled claims.
	life context.Context
	kill context.CancelFunc
}

// New returns a Gateway for cfg, or an *Error if cfg lacks a part.
func New(cfg Config) (*Gateway, error) {
	if cfg.Contracts == nil || cfg.Accounts == nil || cfg.Router == "" {
		return nil, &Error{Op: "new", Kind: KindConfig, Err: eris.New("Router, Contracts and Accounts are needed")}
	}
	cfg = cfg.withDefaults()
	p, err := newPool(cfg)
	if err != nil {
		return nil, &Error{Op: "new", Kind: KindConfig, Err: err}
	}
	life, kill := context.WithCancel(context.Background())
	return &Gateway{
		cfg:       cfg,
		estimator: kcwtoken.New(kcwtoken.Config{}),
		flights:   newFlights(),
		pool:      p,
		peers:     newPeers(cfg.PeerKey),
		life:      life,
		kill:      kill,
	}, nil
}

// Run asks the upstreams for their load, and forgets the limits of customers
// that are gone, until ctx ends.
func (g *Gateway) Run(ctx context.Context) {
	if g.cfg.Limits != nil {
		go g.prune(ctx)
	}
	g.pool.poll(ctx, g.cfg.PollInterval)
}

func (g *Gateway) prune(ctx context.Context) {
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

// SetRouters sets how many routers share the upstreams, as the ledger counts them. A
// count below one, as of a ledger that has heard none yet, changes nothing.
func (g *Gateway) SetRouters(routers int) {
	if routers > 0 {
		g.pool.routers.Store(int64(routers))
	}
}

// Drain begins a planned stop: Ready fails, and callers are told to take new
// connections, while requests are still served.
func (g *Gateway) Drain() { g.draining.Store(true) }

// Stop refuses new requests and waits until every request in flight has ended
// and its claim is closed. It returns the error of ctx if that ends first; the
// claims left are for recovery.
func (g *Gateway) Stop(ctx context.Context) error {
	g.draining.Store(true)
	g.stopped.Store(true)
	err := g.flights.wait(ctx)
	g.kill()
	g.closing.Wait()
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

// Ready returns nil if the gateway takes requests, or why it does not.
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

// ServeHTTP answers one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := g.cfg.Now()
	// What the server still holds is written after the return.
	defer g.limitWrite(w)
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	identity, named, bad := identityOf(r.Header, now)
	if bad == nil {
		w.Header().Set(RequestHeader, identity)
		bad = g.serve(w, r, identity, named, now)
	}
	if bad != nil {
		g.limitWrite(w)
		bad.write(w, identity, g.cfg.Now())
		g.observe("", string(bad.code), now, time.Time{}, 0)
	}
}

// limitWrite renews the time until which writes to a caller may block.
func (g *Gateway) limitWrite(w http.ResponseWriter) {
	// A writer without deadlines is one of a test.
	_ = http.NewResponseController(w).SetWriteDeadline(g.cfg.Now().Add(g.cfg.WriteTimeout))
}

// serve returns the refusal of a request that is not admitted, or nil.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request, identity string, named bool, now time.Time) *refusal {
	if g.stopped.Load() {
		return refuse(codeRouterDraining, now, "")
	}
	if g.fenced.Load() {
		return refuse(codeRouterFenced, now, "")
	}
	contract, key, bad := g.authenticate(r, now)
	if bad != nil {
		return bad
	}
	if r.URL.Path == modelsPath {
		if r.Method != http.MethodGet {
			return refuse(codeMethodNotAllowed, now, "")
		}
		serveModels(w, contract)
		return nil
	}
	body, bad := g.readBody(w, r, now)
	if bad != nil {
		return bad
	}
	req := &request{
		contract: contract, identity: identity, named: named, startedAt: now,
		digest:     digestOf(r.Method, r.URL.RequestURI(), body),
		repeatable: !marked(r.Header),
		header:     forwarded(r.Header, contract.Customer, identity),
	}
	req.team, _ = contract.Team(key.Team)
	if bad := g.admit(req, r, body, now); bad != nil {
		return bad
	}
	return g.begin(w, r, req)
}

// admit checks a request by its path.
func (g *Gateway) admit(req *request, r *http.Request, body []byte, now time.Time) *refusal {
	switch {
	case r.URL.Path == chatPath && r.Method != http.MethodPost:
		return refuse(codeMethodNotAllowed, now, "")
	case r.URL.Path == chatPath:
		return g.admitChat(req, body, now)
	case strings.HasPrefix(r.URL.Path, servicesPath):
		return g.admitService(req, r, body, now)
	default:
		return refuse(codeUnknownPath, now, "")
	}
}

// authenticate returns the contract of the caller's key, and the key's entry.
func (g *Gateway) authenticate(r *http.Request, now time.Time) (*kcwcontract.Contract, kcwcontract.Key, *refusal) {
	text, ok := kcwkeyring.Bearer(r.Header)
	if !ok {
		return nil, kcwcontract.Key{}, refuse(codeUnknownKey, now, "")
	}
	contract, err := g.cfg.Contracts.ByKey(r.Context(), text)
	var failure *kcwcatalog.Error
	if errors.As(err, &failure) && failure.Kind == kcwcatalog.KindUnknown {
		return nil, kcwcontract.Key{}, refuse(codeUnknownKey, now, "")
	}
	if err != nil {
		return nil, kcwcontract.Key{}, refuse(codeContractsUnavailable, now, "")
	}
	key, ok := contract.KeyByHash(hexHash(text))
	if !ok {
		return nil, kcwcontract.Key{}, refuse(codeUnknownKey, now, "")
	}
	return contract, key, nil
}

// observe tells the Config's observer of a request that ended.
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
