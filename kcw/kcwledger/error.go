package kcwledger

import "fmt"

// Kind says why a call to the ledger failed.
type Kind string

const (
	// Invalid is a Config or argument that can't be used.
	Invalid Kind = "invalid"
	// NotSent is a command that no replica can have received.
	NotSent Kind = "not sent"
	// OutcomeUnknown is a command that may still be carried out.
	OutcomeUnknown Kind = "outcome unknown"
	// Unavailable is a read that no replica answered in time.
	Unavailable Kind = "unavailable"
	// Refused is a call that the ledger refused, for its key or its form.
	Refused Kind = "refused"
	// Closed is a call on a client that was closed.
	Closed Kind = "closed"
)

// Error is the error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("kcwledger: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("kcwledger: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
