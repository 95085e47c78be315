// Package kcwforward forwards the requests of callers to upstreams: admission by
// route, key and prepaid tokens, the choice of an upstream, attempts, and the
// answer back to the caller.
//
// Nothing is sent twice unless the route allows it or the upstream has said that
// it did not run the request. An answer is passed on whole or visibly broken.
package kcwforward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"kingcupwick.example/kcw/kcwbalance"
	"kingcupwick.example/kcw/kcwlink"
	"kingcupwick.example/kcw/kcwmemory"
	"kingcupwick.example/kcw/kcwpace"
	"kingcupwick.example/kcw/kcwretry"
	"kingcupwick.example/kcw/kcwroster"
	"kingcupwick.example/kcw/kcwroute"
)

// RequestInfo is what a caller says of its request in headers.
type RequestInfo struct {
	// AttemptInfo identifies the request.
	RequestID string
	// Key is the caller's key, empty if there is none.
	Key string
	// Deadline is when the caller stops waiting, zero if it does not say.
	Deadline time.Time
	// PromptTokens is the size of the prompt and OutputTokens the most that
	// may be generated.
	PromptTokens, OutputTokens int64
	// Prefix identifies the part of the prompt that is shared with other
	// requests, zero if there is none.
	Prefix uint64
	// LastEventID is the last event of a stream that the caller has.
	LastEventID string
}

// AttemptInfo is what one attempt tells its upstream.
type AttemptInfo struct {
	Upstream    string
	Team        string
	Deadline    time.Time
	Priority    int
	LastEventID string
}

// ResponseInfo is what the headers of an upstream's answer say.
type ResponseInfo struct {
	// AttemptInfo is the request that is answered.
	RequestID string
	// NotRun says that the upstream did not run the request, Misdirected that
	// another upstream has the address.
	NotRun, Misdirected bool
	// Leaving says that the upstream leaves and wants no new requests.
	Leaving bool
	// DeclinedUntil is until when the upstream wants no requests from this router,
	// zero if it does not say.
	DeclinedUntil time.Time
	// Load is the upstream's load, nil if it does not say.
	Load *kcwroster.Load
	// KeepAliveUntil is when the connection will be closed if it stays idle, zero
	// if the answer does not say.
	KeepAliveUntil time.Time
}

// Dialect reads and writes the headers that callers and upstreams know.
type Dialect interface {
	// ParseRequest reads what a caller says. The error says which header is
	// malformed.
	ParseRequest(r *http.Request, now time.Time) (RequestInfo, error)
	// UpstreamHeader returns the header to send on: the caller's own, without
	// what concerns one connection, is secret or is the router's to say.
	UpstreamHeader(caller http.Header, a AttemptInfo, now time.Time) http.Header
	// ParseResponse reads the header of an answer that came at now.
	ParseResponse(status int, h http.Header, now time.Time) ResponseInfo
	// RetryAfter writes how long a caller should wait.
	RetryAfter(d time.Duration) string
}

// Event is one decision on a request, for logs and metrics.
type Event struct {
	RequestID, Route, Team, Service string
	Upstream                        string
	Status                          int
	// Outcome is one word of a fixed set, Cause the reason in free text.
	Outcome, Cause string
	Sends          int
	Elapsed        time.Duration
	FirstByte      time.Duration
	Document       uint64
	ListAge        time.Duration
	Tokens, Used   int64
	// Budget is the state of the team's budget that decided a refusal, zero for
	// other requests. Its age is BudgetAge.
	Budget     kcwbalance.Budget
	BudgetAge  time.Duration
	RetryAfter time.Duration
}

// Config configures a Forwarder. Every field is needed.
type Config struct {
	Dialect Dialect
	// Document returns the configuration in force, nil if there is none.
	Document func() *kcwroute.Document
	Roster   *kcwroster.Roster
	Balance  *kcwbalance.Balance
	// Link is told of the bytes carried and says which connections to give up.
	Link *kcwlink.Link
	// RequestTokens asks the core for tokens and returns when it has answered or ctx
	// ends; it reports whether it has answered.
	RequestTokens func(ctx context.Context) bool
	// BorrowTokens borrows tokens of a team from other routers where the core does not
	// answer; it reports whether there may be enough now.
	BorrowTokens func(ctx context.Context, team string, tokens int64) bool
	// TokenTimeout bounds the wait for tokens, from the core and from routers each.
	TokenTimeout time.Duration
	// RetryRatio and RetrySlack bound the attempts beyond the first that reach
	// a service through all routers: a fraction of the first ones, and so many
	// on top. Routers returns the number of routers that share the slack.
	RetryRatio float64
	RetrySlack int
	Routers    func() int
	// Memory is what bodies, answers and events of all requests may hold together.
	Memory *kcwmemory.Account
	// MaxHeadBytes bounds the heads that an upstream sends for one request.
	MaxHeadBytes int64
	// MaxBodyBytes bounds a request's body and MaxAnswerBytes an answer that is
	// not a stream. MaxEventBytes bounds one event.
	MaxBodyBytes, MaxAnswerBytes int64
	MaxEventBytes                int
	// UsedWithin is how lately a kept connection must have been used to carry a
	// request that must not run twice.
	UsedWithin time.Duration
	// SilenceCheckInterval is how long an answer is awaited before the upstream is asked
	// to have said something to anybody.
	SilenceCheckInterval time.Duration
	// Stopping returns when the router will stop and whether it is about to.
	// While it is, callers are asked to use other connections.
	Stopping func() (Stop, bool)
	// OnEnd is called when a request has ended, OnRetry when an attempt has failed
	// and another follows, and Withdrawn when an answer says that its upstream wants
	// no requests; they must not block.
	OnEnd, OnRetry func(Event)
	OnWithdrawal   func(attempt, upstream string, said ResponseInfo)
	Rand           *rand.Rand
	Now            func() time.Time
}

// Stop is a planned stop: the time until which all requests are taken, and the
// end.
type Stop struct {
	AcceptsUntil, EndsAt time.Time
}

// Forwarder is the handler of callers' requests.
type Forwarder struct {
	cfg      Config
	pace     *kcwpace.Estimator
	inFlight atomic.Int64

	// mu guards rand and retries.
	mu      sync.Mutex
	retries map[string]*kcwretry.Budget
	routers int
}

// Error is the error of this package. It is what New returns for a Config that
// lacks a part.
type Error struct {
	Op   string
	Kind Kind
}

// Kind classifies an Error.
type Kind int

// Incomplete means that Config lacks a part.
const Incomplete Kind = 1

// Error describes the failure.
func (e *Error) Error() string { return "kcwforward: " + e.Op + ": the configuration lacks a part" }

// New returns a Forwarder. The error is an *Error of kind Incomplete.
func New(cfg Config) (*Forwarder, error) {
	parts := cfg.Dialect != nil && cfg.Document != nil && cfg.Roster != nil && cfg.Balance != nil && cfg.Link != nil && cfg.Memory != nil && cfg.MaxHeadBytes > 0 &&
		cfg.RequestTokens != nil && cfg.BorrowTokens != nil && cfg.Routers != nil && cfg.Stopping != nil && cfg.OnEnd != nil && cfg.OnRetry != nil && cfg.OnWithdrawal != nil && cfg.Rand != nil && cfg.Now != nil
	if !parts || cfg.MaxBodyBytes <= 0 || cfg.MaxAnswerBytes <= 0 || cfg.MaxEventBytes <= 0 || cfg.SilenceCheckInterval <= 0 {
		return nil, &Error{Op: "new", Kind: Incomplete}
	}
	return &Forwarder{cfg: cfg, pace: kcwpace.New(), retries: map[string]*kcwretry.Budget{}}, nil
}

// InFlight returns the number of requests that are not answered.
func (f *Forwarder) InFlight() int64 { return f.inFlight.Load() }

// ServeHTTP answers one request.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	c := &call{f: f, w: w, r: r, start: f.cfg.Now()}
	c.stop, c.stopping = f.cfg.Stopping()
	if c.stopping || f.sheds(c.start) {
		w.Header().Set("Connection", "close")
	}
	c.event.ListAge = c.start.Sub(f.cfg.Roster.ListedAt())
	defer c.observe()
	defer func() { f.cfg.Memory.Release(c.taken) }()
	if refusal := c.admit(); refusal != nil {
		c.refuse(refusal)
		return
	}
	defer c.settle()
	c.run()
}

// sheds reports whether the connection of a request at now is one of those that the
// host's link has too many of.
func (f *Forwarder) sheds(now time.Time) bool {
	excess := f.cfg.Link.ShedFraction(now)
	return excess > 0 && f.draw() < excess
}

// headSize is about the size of a request's header in bytes.
const headSize = 600

// carried tells the link of bytes received and sent.
func (f *Forwarder) carried(in, out int) { f.cfg.Link.Record(in, out, f.cfg.Now()) }

// draw returns a random number in [0, 1).
func (f *Forwarder) draw() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cfg.Rand.Float64()
}

// budget returns the retry budget of a service.
func (f *Forwarder) budget(service string) *kcwretry.Budget {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.cfg.Routers()
	if n < 1 {
		// Nothing is known of the others yet.
		n = max(1, f.cfg.RetrySlack)
	}
	if n != f.routers {
		f.routers = n
		for _, b := range f.retries {
			b.SetBurst(f.burst())
		}
	}
	b := f.retries[service]
	if b != nil {
		return b
	}
	// The pauses of the budget are not used: an attempt follows the last at
	// once, at another upstream.
	b, err := kcwretry.New(kcwretry.Config{
		Ratio: f.cfg.RetryRatio, Burst: f.burst(), InitialBalance: f.burst(),
		InitialBackoff: time.Millisecond, MaxBackoff: time.Millisecond, Rand: f.cfg.Rand,
	})
	if err != nil {
		panic("kcwforward: " + err.Error())
	}
	f.retries[service] = b
	return b
}

// burst returns this router's part of the slack.
func (f *Forwarder) burst() int { return max(1, f.cfg.RetrySlack/f.routers) }
