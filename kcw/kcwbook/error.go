package kcwbook

import "fmt"

// Kind is the kind of an Error.
type Kind int

const (
	// KindDamaged is a snapshot that is incomplete or corrupt.
	KindDamaged Kind = iota + 1
	// KindWrite is a snapshot that could not be written.
	KindWrite
	// KindInvariant is a state that breaks the budget invariant.
	KindInvariant
)

// Error is a failure of a Book.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation and the cause.
func (e *Error) Error() string { return fmt.Sprintf("kcwbook: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
