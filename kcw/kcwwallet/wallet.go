// Package kcwwallet holds a router's access to the money: it opens and settles
// claims at the ledger, or out of grants and into the journal while the ledger
// can't be reached.
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

// ledger is what a Wallet needs of the ledger's client. An error means that the
// command may or may not be carried out.
type ledger interface {
	Submit(ctx context.Context, cmd *kcwpb.Command) (*kcwpb.Result, error)
}

// Config configures a Wallet.
type Config struct {
	Ledger ledger
	// Journal makes claims out of grants durable. Without one nothing is drawn,
	// and requests are refused while the ledger can't be reached.
	Journal *kcwjournal.Journal
	Policy  *kcwgrant.Policy
	Router  string
	// Incarnation is the one that is registered at the ledger.
	Incarnation uint64
	// LedgerDeadline bounds the wait for the ledger before the grant is used;
	// 300 ms if zero.
	LedgerDeadline time.Duration
	// LedgerPatience bounds the wait where no grant covers the request, and is how long
	// the ledger must not have answered for such a request to be refused at once; a
	// second if zero.
	LedgerPatience time.Duration
	// ProbeAfter is how long after a failed call the ledger is asked again; 500
	// ms if zero.
	ProbeAfter time.Duration
	// TendPeriod is the time between two calls of Tend in Run; a second if zero.
	TendPeriod time.Duration
	// Now is the clock; time.Now if nil.
	Now func() time.Time
}

// Wallet opens and settles claims. It may be used by many goroutines at once.
type Wallet struct {
	cfg Config
	// tending keeps one Tend at work; it is taken before mu.
	tending sync.Mutex
	// mu guards the fields below. It is not held across calls of the ledger or
	// the journal.
	mu       sync.Mutex
	balances map[string]*balance
	// claims holds the claims that are not the ledger's alone, by name.
	claims map[name]*entry
	// pending holds the claims whose outcome the ledger is to be told, oldest
	// first.
	pending []*entry
	// refused counts outcomes that the ledger would not take. They stay in the
	// journal.
	refused int
	// olds are the grants of older incarnations, to be released once their
	// claims are settled.
	olds []*kcwpb.Grant
	// unansweredSince is when the first call was made of those that the ledger did not
	// answer, zero since it has answered one. Until slowUntil it is not asked by requests
	// that a grant covers, and until silentUntil by none.
	unansweredSince        time.Time
	slowUntil, silentUntil time.Time
	fenced                 bool
	// closing is set when all grants are to go back.
	closing bool
	// serial numbers the openings sent to the ledger, and sent holds those whose
	// calls have not ended.
	serial uint64
	sent   map[uint64]bool
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
	// hold is the tokens of the balance that the claim keeps from others.
	hold int64
	// patience bounds the wait for the ledger to open the claim.
	patience time.Duration
	// asked says that the ledger may have opened the claim.
	asked bool
	// local says that the claim runs out of the grant.
	local bool
	// busy says that a call of the ledger or the journal is under way for it.
	busy bool
	// settle is the outcome that the journal holds and the ledger lacks.
	settle *kcwpb.SettleClaim
}

// New returns a wallet that has taken over what the journal holds of older
// incarnations. It returns an *Error of KindInvalid if cfg lacks a part.
func New(cfg Config) (*Wallet, error) {
	if cfg.Ledger == nil || cfg.Policy == nil || cfg.Router == "" || cfg.Incarnation == 0 {
		return nil, &Error{Op: "New", Kind: KindInvalid, Err: eris.New("a ledger, a policy, a router and an incarnation are needed")}
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
	if cfg.TendPeriod <= 0 {
		cfg.TendPeriod = time.Second
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	w := &Wallet{cfg: cfg, balances: make(map[string]*balance), claims: make(map[name]*entry), sent: make(map[uint64]bool)}
	if cfg.Journal != nil {
		w.recover(cfg.Journal.Live())
	}
	return w, nil
}

// recover takes over the records of older incarnations. What became of a claim
// that was opened and not settled is not known.
func (w *Wallet) recover(records []*kcwpb.JournalRecord) {
	for _, record := range records {
		if grant := record.GetDrawn(); grant != nil {
			w.olds = append(w.olds, grant)
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

// Run tends the grants and the journal until ctx ends.
func (w *Wallet) Run(ctx context.Context) {
	ticker := time.NewTicker(w.cfg.TendPeriod)
	defer ticker.Stop()
	for {
		w.Tend(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Recall notes that the ledger wants the idle grants of customers back.
func (w *Wallet) Recall(customers []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, customer := range customers {
		if p := w.balances[customer]; p != nil {
			p.recalled = true
		}
	}
}

// Pending returns how many outcomes the ledger is still to be told, and how many
// it would not take.
func (w *Wallet) Pending() (pending, refused int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.pending), w.refused
}

// submit sends cmd to the ledger, waits for at most the time patience, and notes
// whether it answers.
func (w *Wallet) submit(ctx context.Context, cmd *kcwpb.Command, patience time.Duration) (*kcwpb.Result, error) {
	asked := w.cfg.Now()
	limited, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	result, err := w.cfg.Ledger.Submit(limited, cmd)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		// A caller that went away tells nothing about the ledger.
		if ctx.Err() == nil {
			w.unanswered(asked, limited.Err() != nil)
		}
		return nil, err
	}
	w.unansweredSince, w.slowUntil, w.silentUntil = time.Time{}, time.Time{}, time.Time{}
	if b := result.GetBudget(); b != nil {
		w.balance(b.GetCustomer()).available = b.GetPrepaid() - b.GetBilled() - b.GetReserved() - b.GetGranted()
	}
	return result, nil
}

// unanswered notes that the ledger did not answer the call made at asked, in time or at
// all.
func (w *Wallet) unanswered(asked time.Time, isLate bool) {
	now := w.cfg.Now()
	if w.unansweredSince.IsZero() {
		w.unansweredSince = asked
	}
	w.slowUntil = now.Add(w.cfg.ProbeAfter)
	if !isLate || now.Sub(w.unansweredSince) >= w.cfg.LedgerPatience {
		w.silentUntil = w.slowUntil
	}
}

// over returns the serial below which all openings have ended.
func (w *Wallet) over() uint64 {
	oldest := w.serial + 1
	for serial := range w.sent {
		oldest = min(oldest, serial)
	}
	return oldest
}

// asks says whether a request is to ask the ledger at the time now, which a grant covers
// or not. While the ledger is slow or silent one request in each ProbeAfter does.
func (w *Wallet) asks(now time.Time, isCovered bool) bool {
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

// claim returns the claim of e in state, with tokens.
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

// drop forgets e.
func (w *Wallet) drop(e *entry) {
	if w.claims[e.name] == e {
		delete(w.claims, e.name)
	}
}

// journaled adds record to the journal durably.
func (w *Wallet) journaled(record *kcwpb.JournalRecord) error {
	return w.cfg.Journal.Append(proto.Clone(record).(*kcwpb.JournalRecord))
}
