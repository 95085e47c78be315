package kcwjournal

import "fmt"

// Kind says what sort of failure an Error is.
type Kind int

// The kinds of Error.
const (
	// KindStorage is a failed call of the file system. The journal takes no more
	// records after it.
	KindStorage Kind = iota + 1
	// KindDamaged is a file that holds other bytes than were written.
	KindDamaged
	// KindInvalid is a record that cannot be kept.
	KindInvalid
)

// Error is a failure of a Journal.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation and the cause.
func (e *Error) Error() string { return fmt.Sprintf("kcwjournal: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
