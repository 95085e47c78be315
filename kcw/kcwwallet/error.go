package kcwwallet

import "fmt"

// Kind says what sort of failure an Error is.
type Kind int

// The kinds of Error.
const (
	// KindNotRun means that no claim could be opened: the request must not run.
	// The ledger may still open the claim, so the caller settles it as not run.
	KindNotRun Kind = iota + 1
	// KindNotDurable means that the outcome is not durable anywhere yet. The
	// caller settles again.
	KindNotDurable
	// KindInvalid is a wrong argument or setting.
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
