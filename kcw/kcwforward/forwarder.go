// Package kcwforward implements the HTTP handler that forwards callers' requests to
// upstreams. It admits a request by route, key and prepaid tokens, selects an
// upstream, retries where that is safe, and relays the answer to the caller.
//
// A request is sent again only if its route allows repeats or the upstream stated
// that it did not run the request. An answer that breaks off is never made to look
// complete: the caller gets an error or a connection that is closed early.
package kcwforward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"kingcupwick.example/kcw/kcwbalance"
	"kingcupwick.example/kcw/kcwcold"
	"kingcupwick.example/kcw/kcwdetector"
	"kingcupwick.example/kcw/kcwlink"
	"kingcupwick.example/kcw/kcwmemory"
	"kingcupwick.example/kcw/kcwoverload"
	"kingcupwick.example/kcw/kcwpermit"
	"kingcupwick.example/kcw/kcwretry"
	"kingcupwick.example/kcw/kcwroster"
	"kingcupwick.example/kcw/kcwroute"
	"kingcupwick.example/kcw/kcwstop"
)

// RequestInfo holds the values that a caller's request headers carry.
type RequestInfo struct {
	// RequestID identifies the request.
	RequestID string
	// Key is the caller's key, empty if there is none.
	Key string
	// Deadline is when the caller stops waiting, zero if it states none.
	Deadline time.Time
	// PromptTokens is the size of the prompt, OutputTokens an upper bound on the
	// size of the generated text.
	PromptTokens, OutputTokens int64
	// Prefix is the hash of the part of the prompt that is shared with other
	// requests, zero if there is none.
	Prefix uint64
	// Parts identify the parts of the prompt that other requests may share, in order.
	// Prompt identifies the last part, which belongs to the request or its session; it
	// is empty if the request has no parts.
	Parts  []string
	Prompt string
	// LastEventID identifies the last event of a stream that the caller received.
	LastEventID string
}

// AttemptInfo holds the values that the headers of one attempt carry to its upstream.
type AttemptInfo struct {
	Upstream string
	// Team is the caller's team, empty if the route is public or there are no teams.
	Team     string
	Deadline time.Time
	// Priority is the priority for the engine, zero being the highest.
	Priority int
	// LastEventID identifies the last event that the caller received, over all
	// attempts. It is empty if there is none.
	LastEventID string
}

// ResponseInfo holds the values that the headers of an upstream's answer carry.
type ResponseInfo struct {
	// RequestID identifies the request that is answered.
	RequestID string
	// NotRun is set if the upstream did not run the request, Misdirected if the
	// address now belongs to another upstream.
	NotRun, Misdirected bool
	// Leaving is set if the upstream is shutting down and accepts no new requests.
	Leaving bool
	// DeclinedUntil is the time until which the upstream accepts no requests from
	// this router, zero if the answer states none.
	DeclinedUntil time.Time
	// RateLimit is the limit of requests per second that the upstream names, zero if it
	// names none. MalformedLimit is the text of a limit that can't be read; RateLimit is
	// then zero too.
	RateLimit      float64
	MalformedLimit string
	// Load is the upstream's load, nil if the answer does not report it. MalformedLoad is the
	// text of a report that can't be read whole.
	Load          *kcwroster.Load
	MalformedLoad string
	// KeepAliveUntil is when the upstream closes the connection if it stays idle,
	// zero if the answer does not state it.
	KeepAliveUntil time.Time
}

// Dialect translates between HTTP headers and the values that this package uses.
type Dialect interface {
	// ParseRequest parses the headers of a caller's request that arrived at now.
	// The error names the malformed header.
	ParseRequest(r *http.Request, now time.Time) (RequestInfo, error)
	// UpstreamHeader returns the header of an attempt: the caller's header with the
	// fields of a, and without hop-by-hop headers, secrets and headers that only
	// the router may set.
	UpstreamHeader(caller http.Header, a AttemptInfo, now time.Time) http.Header
	// ParseResponse parses the header of an answer that arrived at now.
	ParseResponse(status int, h http.Header, now time.Time) ResponseInfo
	// RetryAfter formats d as the value of a Retry-After header.
	RetryAfter(d time.Duration) string
}

// PartGuard refuses requests whose prompts have parts that crash upstreams, and is told how
// attempts go.
type PartGuard interface {
	// Admit returns the parts for which a request with these parts is refused, nil for
	// none. If isTrial is set, the request may be sent once nevertheless.
	Admit(parts []string) (blocked []string, isTrial bool)
	// Match is like Admit for a request that is under way already and is no trial.
	Match(parts []string) (blocked []string)
	// Avoided returns the upstreams at which prompts with any of these parts were cut, as
	// long as no answer to one has got further. Others are tried first.
	Avoided(parts []string) (upstreams []string)
	// Begin records that the answer to a prompt with these parts has begun.
	Begin(parts []string)
	// Complete records that the answer to a request sent at a time has ended. If isWhole is not
	// set, it ended with its connection, which may have been broken off unnoticed.
	Complete(parts []string, isWhole bool, sentAt time.Time)
	// Cut records an attempt whose upstream closed the connection before the answer was whole.
	Cut(cut kcwdetector.Cut)
}

// Event describes the end of a request, or a failed attempt, for logs and metrics.
type Event struct {
	RequestID, Route, Team, Service string
	Upstream                        string
	Status                          int
	// Outcome is one of a fixed set of words, Cause the reason in free text.
	Outcome, Cause string
	// Sends is the number of attempts.
	Sends int
	// Permit is the upstream with a rate limit for which the last attempt had a permit.
	// Displaced is the upstream that the last attempt would have gone to if there had been
	// a permit. Both are empty for other attempts.
	Permit, Displaced string
	// Avoided holds the upstreams that the last attempt avoided, because prompts with parts
	// of this one were cut there.
	Avoided []string
	// Cut is set if the upstream closed the connection of the last attempt before its
	// answer was whole, and Begun if a part of an answer had been passed on by then.
	Cut, Begun bool
	// CloseDelimited is set if the end of the caller's connection is the end of the answer.
	CloseDelimited bool
	// Surplus is the number of answers to other requests that came before those to this
	// one, in all attempts.
	Surplus int
	// Parts are those of RequestInfo.
	Parts []string
	// Elapsed is the time from the arrival of the request to its end, zero for a
	// failed attempt. FirstByte is the time until a stream was started, or until
	// another answer was read whole, zero if neither occurred.
	Elapsed   time.Duration
	FirstByte time.Duration
	// Document is the version of the configuration, ListAge the age of the list of
	// upstreams.
	Document uint64
	ListAge  time.Duration
	// Tokens is the number of tokens to reserve, Used the number that was used.
	Tokens, Used int64
	// Budget is the state of the team's budget that led to a refusal, zero for
	// other requests. BudgetAge is the age of that state.
	Budget     kcwbalance.Budget
	BudgetAge  time.Duration
	RetryAfter time.Duration
}

// Config configures a Forwarder. Every field is required, except that RetrySlack may be
// zero.
type Config struct {
	Dialect Dialect
	// Document returns the current configuration, nil if there is none yet.
	Document func() *kcwroute.Document
	Roster   *kcwroster.Roster
	Balance  *kcwbalance.Balance
	// Link measures the load of the host's network link. It determines the
	// fraction of connections to shed.
	Link *kcwlink.Link
	// Overload decides whether the router has room for a request, and whether it is late
	// itself.
	Overload *kcwoverload.Overload
	// RequestTokens requests tokens from the core and returns when the core has
	// answered or ctx ends. It reports whether the core has answered.
	RequestTokens func(ctx context.Context) bool
	// BorrowTokens borrows tokens of a team from other routers, for when the core
	// does not answer. It reports whether there may be enough tokens now.
	BorrowTokens func(ctx context.Context, team string, tokens int64) bool
	Guard        PartGuard
	// Permits provides the permits for upstreams with a rate limit.
	Permits permits
	// TokenTimeout bounds one call of RequestTokens or BorrowTokens.
	TokenTimeout time.Duration
	// RetryRatio and RetrySlack bound the retries to one service: all routers
	// together send at most RetryRatio times as many retries as requests, plus
	// RetrySlack, of which each router has an equal part but at least one. Routers
	// returns the number of routers that share the slack, zero if that is not known
	// yet.
	RetryRatio float64
	RetrySlack int
	Routers    func() int
	// Memory bounds the memory that the bodies, answers and events of all requests
	// hold together.
	Memory *kcwmemory.Account
	// MaxHeadBytes bounds the status lines and headers that an upstream sends for
	// one attempt, those of interim answers included.
	MaxHeadBytes int64
	// MaxBodyBytes bounds a request's body, MaxAnswerBytes an answer that is not a
	// stream, and MaxEventBytes one event of a stream.
	MaxBodyBytes, MaxAnswerBytes int64
	MaxEventBytes                int
	// UsedWithin is the longest time that a pooled connection may have been idle to be
	// reused for a request that must not run twice.
	UsedWithin time.Duration
	// WriteTimeout is how long a caller may take no byte of its answer before it is
	// disconnected. It must not be shorter than the time for which the server keeps idle
	// connections, since it goes on after the end of an answer.
	WriteTimeout time.Duration
	// SilenceCheckInterval is how often an attempt checks whether its upstream is silent on
	// all connections.
	SilenceCheckInterval time.Duration
	// Stopping returns the planned stop and whether the router is stopping. While
	// it is, answers ask callers to close their connections.
	Stopping func() (kcwstop.Stop, bool)
	// OnEnd is called when a request has ended, OnRetry when an attempt has failed
	// and another may follow, and OnWithdrawal when an answer states that its upstream
	// accepts no requests. OnHedge is called when a second attempt begins beside one whose
	// upstream is silent, when it ends, and when there should be one and none could begin.
	// They must not block, nor call the Forwarder.
	OnEnd, OnRetry func(Event)
	OnHedge        func(Hedge)
	OnWithdrawal   func(requestID, upstream string, info ResponseInfo)
	Rand           *rand.Rand
	Now            func() time.Time
}

// permits provides permits for requests to upstreams with a rate limit.
type permits interface {
	// Acquire returns a permit for one of the upstreams of the claim. Its upstream is empty
	// if there is none.
	Acquire(ctx context.Context, claim kcwpermit.Claim) kcwpermit.Permit
	// MaySend reports whether the request may still be sent with its permit.
	MaySend(permit kcwpermit.Permit) bool
	// ReportOutage is called with each sign that an upstream had an outage. It must not block.
	ReportOutage(upstream string, sign kcwcold.Sign)
	// ReturnAfter returns the time after which a caller should return that is refused
	// because all upstreams of the service are at their limits.
	ReturnAfter(service string) time.Duration
}

// Forwarder is the handler of callers' requests.
type Forwarder struct {
	cfg      Config
	inFlight atomic.Int64
	// ending ends when End is called.
	ending context.Context
	end    context.CancelFunc

	// mu guards cfg.Rand and the fields below.
	mu sync.Mutex
	// retryBudgets holds the retry budget of each service.
	retryBudgets map[string]*kcwretry.Budget
	// routers is the number of routers that the burst of retryBudgets was set for.
	routers int
}

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
}

// Kind classifies an Error.
type Kind int

// Incomplete means that a required field of Config is missing or not positive.
const Incomplete Kind = 1

// Error describes the failure.
func (e *Error) Error() string {
	return "kcwforward: " + e.Op + ": a required field of Config is missing or not positive"
}

// New returns a Forwarder for cfg. The error is an *Error of kind Incomplete if a required
// field is missing or not positive. New does not check TokenTimeout, RetryRatio,
// RetrySlack and UsedWithin; ServeHTTP panics if RetryRatio is not in (0, 1].
func New(cfg Config) (*Forwarder, error) {
	complete := cfg.Dialect != nil && cfg.Document != nil && cfg.Roster != nil && cfg.Balance != nil && cfg.Link != nil && cfg.Overload != nil && cfg.Guard != nil && cfg.Permits != nil && cfg.Memory != nil && cfg.MaxHeadBytes > 0 &&
		cfg.RequestTokens != nil && cfg.BorrowTokens != nil && cfg.Routers != nil && cfg.Stopping != nil && cfg.OnEnd != nil && cfg.OnRetry != nil && cfg.OnHedge != nil && cfg.OnWithdrawal != nil && cfg.Rand != nil && cfg.Now != nil
	if !complete || cfg.MaxBodyBytes <= 0 || cfg.MaxAnswerBytes <= 0 || cfg.MaxEventBytes <= 0 || cfg.WriteTimeout <= 0 || cfg.SilenceCheckInterval <= 0 {
		return nil, &Error{Op: "new", Kind: Incomplete}
	}
	f := &Forwarder{cfg: cfg, retryBudgets: map[string]*kcwretry.Budget{}}
	f.ending, f.end = context.WithCancel(context.Background())
	return f, nil
}

// End ends the requests in flight: those whose body is being read are refused, and attempts end
// as if their upstreams had broken off. It is called at the end of a planned stop, so that
// callers get an answer if none has begun, and so that unused tokens become free before the
// process ends.
func (f *Forwarder) End() { f.end() }

// InFlight returns the number of requests in flight.
func (f *Forwarder) InFlight() int64 { return f.inFlight.Load() }

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	c := &call{f: f, w: w, r: r, start: f.cfg.Now()}
	c.extendWriteDeadline()
	// The server writes buffered data after ServeHTTP has returned.
	defer c.extendWriteDeadline()
	if f.shouldShed(c.start) {
		w.Header().Set("Connection", "close")
	}
	c.event.ListAge = c.start.Sub(f.cfg.Roster.ListedAt())
	defer c.drainBody()
	defer c.reportEnd()
	defer func() { f.cfg.Memory.Release(c.memoryHeld) }()
	if refusal := c.admit(); refusal != nil {
		c.refuse(refusal)
		return
	}
	defer c.settleTokens()
	c.run()
}

// shouldShed reports whether to close the connection of a request at now, so that
// the load of the host falls. It picks connections at random.
func (f *Forwarder) shouldShed(now time.Time) bool {
	fraction := max(f.cfg.Link.ShedFraction(now), f.cfg.Overload.CloseFraction())
	return fraction > 0 && f.randomFloat() < fraction
}

// requestHeadBytes is the approximate size of a request's header in bytes.
const requestHeadBytes = 600

// recordBytes adds bytes received and sent to the load of the link.
func (f *Forwarder) recordBytes(in, out int) { f.cfg.Link.Record(in, out, f.cfg.Now()) }

// randomFloat returns a random number in [0, 1).
func (f *Forwarder) randomFloat() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cfg.Rand.Float64()
}

// retryBudget returns the retry budget of a service. It adjusts the bursts of all
// budgets if the number of routers has changed.
func (f *Forwarder) retryBudget(service string) *kcwretry.Budget {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.cfg.Routers()
	if n < 1 {
		// The number of routers is not known yet: use the smallest burst, one.
		n = max(1, f.cfg.RetrySlack)
	}
	if n != f.routers {
		f.routers = n
		for _, b := range f.retryBudgets {
			b.SetBurst(f.retryBurst())
		}
	}
	b := f.retryBudgets[service]
	if b != nil {
		return b
	}
	// The budget's backoff is not used: a retry follows the failed attempt
	// immediately, at another upstream.
	b, err := kcwretry.New(kcwretry.Config{
		Ratio: f.cfg.RetryRatio, Burst: f.retryBurst(), InitialBalance: f.retryBurst(),
		InitialBackoff: time.Millisecond, MaxBackoff: time.Millisecond, Rand: f.cfg.Rand,
	})
	if err != nil {
		panic("kcwforward: " + err.Error())
	}
	f.retryBudgets[service] = b
	return b
}

// retryBurst returns this router's share of the retry slack, at least one.
func (f *Forwarder) retryBurst() int { return max(1, f.cfg.RetrySlack/f.routers) }
