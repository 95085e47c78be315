package kcwwallet

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// closePause is the time between two attempts to return all grants.
const closePause = 50 * time.Millisecond

// Close refuses new claims, reports every outcome to the ledger and returns every
// grant. It retries until that is done or ctx ends. In the latter case it returns
// an *Error of KindNotDurable, and the router's next incarnation reads the rest
// from the journal.
func (w *Wallet) Close(ctx context.Context) error {
	w.mu.Lock()
	w.closing = true
	w.mu.Unlock()
	for {
		w.Reconcile(ctx)
		if w.isDrained() {
			return nil
		}
		select {
		case <-time.After(closePause):
		case <-ctx.Done():
			return &Error{Op: "Close", Kind: KindNotDurable, Err: eris.Wrap(ctx.Err(), "return the grants")}
		}
	}
}

// isDrained reports whether the ledger has confirmed every outcome and has all
// grants back.
func (w *Wallet) isDrained() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending) > 0 {
		return false
	}
	for _, b := range w.balances {
		if b.free != 0 || b.held != 0 || b.spent != 0 || b.transfer != nil {
			return false
		}
	}
	return true
}
