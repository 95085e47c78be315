package kcwwallet

import "fmt"

// Kind classifies an Error.
type Kind int

// The kinds of Error.
const (
	// KindNotRun means that no claim could be opened and that the request must not
	// run. A delayed command may still open the claim in the ledger, so the caller
	// settles it as not run.
	KindNotRun Kind = iota + 1
	// KindNotDurable means that the outcome is stored neither in the ledger nor in
	// the journal. The caller settles again.
	KindNotDurable
	// KindInvalid means that a required field of Config is missing.
	KindInvalid
)

// Error is a failure of a Wallet.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation and the cause.
func (e *Error) Error() string { return fmt.Sprintf("kcwwallet: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
