package kcwpeer

import (
	"errors"
	"fmt"

	"github.com/rotisserie/eris"
)

// Kind classifies an Error.
type Kind int

// The kinds of Error.
const (
	// Invalid means that a Config is invalid.
	Invalid Kind = iota + 1
)

// String returns the kind's name.
func (k Kind) String() string {
	if k == Invalid {
		return "invalid"
	}
	return fmt.Sprintf("kind %d", int(k))
}

// Error is returned by New.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, kind and cause.
func (e *Error) Error() string {
	return fmt.Sprintf("kcwpeer: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

func invalid(op, text string) *Error {
	return &Error{Op: op, Kind: Invalid, Err: eris.Wrap(errors.New(text), op)}
}
