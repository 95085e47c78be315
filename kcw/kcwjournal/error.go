package kcwjournal

import "fmt"

// Kind classifies an Error.
type Kind int

// The kinds of Error.
const (
	// KindStorage means that a call of the file system failed or that the journal
	// is closed. The journal accepts no more records after it.
	KindStorage Kind = iota + 1
	// KindDamaged means that the file does not hold the bytes that were written.
	KindDamaged
	// KindInvalid means that a record is empty or can't be encoded within the size
	// limit.
	KindInvalid
	// KindFull means that the disk is full. Nothing was changed, and the call may be
	// repeated.
	KindFull
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
