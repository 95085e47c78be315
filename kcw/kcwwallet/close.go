package kcwwallet

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// closePause is the time between two tries to give all grants back.
const closePause = 50 * time.Millisecond

// Close opens no more claims, tells the ledger every outcome, and gives every
// grant back. It tries until that is done or ctx ends; the error is then an
// *Error of KindNotDurable, and the next incarnation of the router takes over
// what is left from the journal.
func (w *Wallet) Close(ctx context.Context) error {
	w.mu.Lock()
	w.closing = true
	w.mu.Unlock()
	for {
		w.Tend(ctx)
		if w.isEmpty() {
			return nil
		}
		select {
		case <-time.After(closePause):
		case <-ctx.Done():
			return &Error{Op: "Close", Kind: KindNotDurable, Err: eris.Wrap(ctx.Err(), "give the grants back")}
		}
	}
}

// isEmpty says whether the ledger knows every outcome and has every grant back.
func (w *Wallet) isEmpty() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending) > 0 {
		return false
	}
	for _, p := range w.balances {
		if p.free != 0 || p.held != 0 || p.spent != 0 || p.move != nil {
			return false
		}
	}
	return true
}
