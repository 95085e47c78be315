package kcwledger

import "fmt"

// Kind is the reason why a call to the ledger failed.
type Kind string

const (
	// Invalid is a Config without an address or key.
	Invalid Kind = "invalid"
	// NotSent is a command that no replica can have received.
	NotSent Kind = "not sent"
	// OutcomeUnknown is a command that may still be applied.
	OutcomeUnknown Kind = "outcome unknown"
	// Unavailable is a read that no replica answered in time.
	Unavailable Kind = "unavailable"
	// Refused is a call with a key or content that the ledger refuses.
	Refused Kind = "refused"
	// Closed is a call on a closed client.
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
