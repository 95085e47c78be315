// Package kcwwallet opens and settles a router's claims on the customers' token
// budgets. It submits them to the ledger. While the ledger can't be reached it
// opens claims on grants, which are tokens drawn in advance, and stores claims and
// outcomes in a local journal until they can be submitted.
package kcwwallet

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"kingcupwick.example/kcw/kcwgrant"
	"kingcupwick.example/kcw/kcwjournal"
	"kingcupwick.example/kcw/kcwpb"
)

// ledger is the client of the ledger. After an error the command may or may not
// be applied.
type ledger interface {
	Submit(ctx context.Context, cmd *kcwpb.Command) (*kcwpb.Result, error)
}

// Config configures a Wallet.
type Config struct {
	Ledger ledger
	// Journal makes claims on grants durable. If it is nil no grants are drawn, and
	// requests are refused while the ledger can't be reached.
	Journal *kcwjournal.Journal
	Policy  *kcwgrant.Policy
	Router  string
	// Incarnation is the router's incarnation that is registered in the ledger.
	Incarnation uint64
	// LedgerDeadline bounds the wait for the ledger before the grant is used, and
	// the wait for the answer to every command but an opening; 300 ms if zero.
	LedgerDeadline time.Duration
	// LedgerPatience bounds the wait for the ledger if no grant covers the request.
	// Once the ledger has not answered for this long, such requests are refused at
	// once. 1 s if zero.
	LedgerPatience time.Duration
	// ProbeAfter is the time between calls of a ledger that does not answer; 500 ms
	// if zero.
	ProbeAfter time.Duration
	// ReconcileInterval is the time between two calls of Reconcile in Run; 1 s if
	// zero.
	ReconcileInterval time.Duration
	// Now is the clock; time.Now if nil.
	Now func() time.Time
}

// Wallet opens and settles claims. It is safe for concurrent use.
type Wallet struct {
	cfg Config
	// reconciling serializes calls of Reconcile; it is locked before mu.
	reconciling sync.Mutex
	// mu guards the fields below. It is not held during calls of the ledger or the
	// journal.
	mu       sync.Mutex
	balances map[string]*balance
	// claims holds the claims that are not yet held by the ledger alone.
	claims map[name]*entry
	// pending holds the claims whose outcome is not yet confirmed by the ledger,
	// oldest first.
	pending []*entry
	// refused counts outcomes that the ledger refused. They stay in the journal.
	refused int
	// oldGrants are the grants of older incarnations. They are released once the
	// claims on them are settled.
	oldGrants []*kcwpb.Grant
	// failingSince is the start of the first of the calls that failed in a row, zero
	// if the last call was answered. Until slowUntil, requests that a grant covers
	// are not submitted to the ledger; until silentUntil, no request is.
	failingSince           time.Time
	slowUntil, silentUntil time.Time
	fenced                 bool
	// closing is set by Close: no claim is opened and all grants are returned.
	closing bool
	// serial is the number of the last opening submitted to the ledger, and
	// inFlight holds the numbers of those whose call has not returned.
	serial   uint64
	inFlight map[uint64]bool
}

// name identifies a claim.
type name struct {
	customer string
	request  string
}

// entry is a claim that the wallet keeps track of.
type entry struct {
	name name
	open *kcwpb.OpenClaim
	// hold is the tokens of the balance that are reserved for the claim.
	hold int64
	// timeout bounds the wait for the ledger to open the claim.
	timeout time.Duration
	// submitted is whether the opening was sent to the ledger, which may have
	// applied it.
	submitted bool
	// local is whether the claim was opened on the grant without the ledger's
	// answer.
	local bool
	// busy is whether a call of the ledger or the journal for the claim is in
	// progress.
	busy bool
	// settle is the outcome that is in the journal and not yet confirmed by the
	// ledger.
	settle *kcwpb.SettleClaim
}

// New returns a wallet that has taken over the journal's records of older
// incarnations. It returns an *Error of KindInvalid if cfg lacks a required field.
func New(cfg Config) (*Wallet, error) {
	if cfg.Ledger == nil || cfg.Policy == nil || cfg.Router == "" || cfg.Incarnation == 0 {
		return nil, &Error{Op: "New", Kind: KindInvalid, Err: eris.New("Ledger, Policy, Router and Incarnation are required")}
	}
	if cfg.LedgerDeadline <= 0 {
		cfg.LedgerDeadline = 300 * time.Millisecond
	}
	if cfg.LedgerPatience <= 0 {
		cfg.LedgerPatience = time.Second
	}
	if cfg.ProbeAfter <= 0 {
		cfg.ProbeAfter = 500 * time.Millisecond
	}
	if cfg.ReconcileInterval <= 0 {
		cfg.ReconcileInterval = time.Second
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	w := &Wallet{cfg: cfg, balances: make(map[string]*balance), claims: make(map[name]*entry), inFlight: make(map[uint64]bool)}
	if cfg.Journal != nil {
		w.recover(cfg.Journal.Live())
	}
	return w, nil
}

// recover takes over the records of older incarnations. A claim that was opened
// and not settled is settled with an unknown outcome.
func (w *Wallet) recover(records []*kcwpb.JournalRecord) {
	for _, record := range records {
		if grant := record.GetDrawn(); grant != nil {
			w.oldGrants = append(w.oldGrants, grant)
			continue
		}
		settle := record.GetSettled()
		if opened := record.GetOpened(); opened != nil {
			settle = &kcwpb.SettleClaim{
				Customer: opened.GetCustomer(), Request: opened.GetRequest(),
				Router: opened.GetRouter(), Incarnation: opened.GetIncarnation(), Attempt: opened.GetAttempt(),
				Outcome: kcwpb.Outcome_OUTCOME_UNKNOWN, Tokens: opened.GetTokens(), FromGrant: true,
				Repeatable: opened.GetRepeatable(), Digest: opened.GetDigest(),
			}
		}
		e := &entry{name: name{settle.GetCustomer(), settle.GetRequest()}, settle: settle}
		w.claims[e.name] = e
		w.pending = append(w.pending, e)
	}
}

// Run calls Reconcile at intervals until ctx ends.
func (w *Wallet) Run(ctx context.Context) {
	ticker := time.NewTicker(w.cfg.ReconcileInterval)
	defer ticker.Stop()
	for {
		w.Reconcile(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Recall marks the grants of customers as recalled by the ledger, so that
// Reconcile returns their unused tokens.
func (w *Wallet) Recall(customers []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, customer := range customers {
		if b := w.balances[customer]; b != nil {
			b.recalled = true
		}
	}
}

// Pending returns the number of outcomes that the ledger has not confirmed, and the
// number of those that it has refused.
func (w *Wallet) Pending() (pending, refused int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.pending), w.refused
}

// submit sends cmd to the ledger with a timeout and records whether the ledger
// answers.
func (w *Wallet) submit(ctx context.Context, cmd *kcwpb.Command, timeout time.Duration) (*kcwpb.Result, error) {
	calledAt := w.cfg.Now()
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	result, err := w.cfg.Ledger.Submit(limited, cmd)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		// If the caller's context ended, this is no failure of the ledger.
		if ctx.Err() == nil {
			w.recordFailure(calledAt, limited.Err() != nil)
		}
		return nil, err
	}
	w.failingSince, w.slowUntil, w.silentUntil = time.Time{}, time.Time{}, time.Time{}
	if b := result.GetBudget(); b != nil {
		w.balance(b.GetCustomer()).available = b.GetPrepaid() - b.GetBilled() - b.GetReserved() - b.GetGranted()
	}
	return result, nil
}

// recordFailure records that the call made at calledAt failed. The parameter isTimeout
// is whether it timed out.
func (w *Wallet) recordFailure(calledAt time.Time, isTimeout bool) {
	now := w.cfg.Now()
	if w.failingSince.IsZero() {
		w.failingSince = calledAt
	}
	w.slowUntil = now.Add(w.cfg.ProbeAfter)
	if !isTimeout || now.Sub(w.failingSince) >= w.cfg.LedgerPatience {
		w.silentUntil = w.slowUntil
	}
}

// oldestInFlight returns the serial below which the calls of all openings have
// returned.
func (w *Wallet) oldestInFlight() uint64 {
	oldest := w.serial + 1
	for serial := range w.inFlight {
		oldest = min(oldest, serial)
	}
	return oldest
}

// shouldSubmit reports whether a request is submitted to the ledger at now. The
// parameter isCovered is whether a grant can serve it instead. While the ledger does
// not answer, one request per ProbeAfter is submitted.
func (w *Wallet) shouldSubmit(now time.Time, isCovered bool) bool {
	until := w.silentUntil
	if isCovered {
		until = w.slowUntil
	}
	if until.IsZero() {
		return true
	}
	if now.Before(until) {
		return false
	}
	w.slowUntil = now.Add(w.cfg.ProbeAfter)
	if !w.silentUntil.IsZero() {
		w.silentUntil = w.slowUntil
	}
	return true
}

// claim returns e as a claim in the given state with the given tokens.
func (e *entry) claim(state kcwpb.ClaimState, tokens int64) *kcwpb.Claim {
	c := &kcwpb.Claim{Customer: e.name.customer, Request: e.name.request, State: state, Tokens: tokens, FromGrant: true}
	if e.open != nil {
		c.Router, c.Incarnation, c.Attempt = e.open.GetRouter(), e.open.GetIncarnation(), e.open.GetAttempt()
		c.Repeatable, c.Digest = e.open.GetRepeatable(), e.open.GetDigest()
		return c
	}
	c.Router, c.Incarnation, c.Attempt = e.settle.GetRouter(), e.settle.GetIncarnation(), e.settle.GetAttempt()
	c.Repeatable, c.Digest = e.settle.GetRepeatable(), e.settle.GetDigest()
	return c
}

// forget removes e from the registered claims.
func (w *Wallet) forget(e *entry) {
	if w.claims[e.name] == e {
		delete(w.claims, e.name)
	}
}

// appendRecord appends record to the journal and returns when it is durable.
func (w *Wallet) appendRecord(record *kcwpb.JournalRecord) error {
	return w.cfg.Journal.Append(proto.Clone(record).(*kcwpb.JournalRecord))
}
