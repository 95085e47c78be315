package kcwreplica

import (
	"errors"
	"fmt"

	"github.com/rotisserie/eris"
)

// Kind classifies an Error.
type Kind int

// The kinds of Error.
const (
	// NotLeader means that the replica is not the leader; nothing was changed.
	NotLeader Kind = iota + 1
	// Busy means that a membership change or a leadership transfer is in
	// progress, or that the leader has not yet committed an entry of its term.
	Busy
	// NotCaughtUp means that the learner to be made a voter lacks committed
	// entries.
	NotCaughtUp
	// Invalid means that an argument is invalid.
	Invalid
	// Damaged means that the stored state is inconsistent.
	Damaged
)

// String returns the kind's name.
func (k Kind) String() string {
	switch k {
	case NotLeader:
		return "not the leader"
	case Busy:
		return "busy"
	case NotCaughtUp:
		return "learner not caught up"
	case Invalid:
		return "invalid"
	case Damaged:
		return "damaged"
	}
	return fmt.Sprintf("kind %d", int(k))
}

// Error is the type of every error that this package returns.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, kind and cause.
func (e *Error) Error() string {
	return fmt.Sprintf("kcwreplica: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

func fail(op string, kind Kind, text string) *Error {
	return &Error{Op: op, Kind: kind, Err: eris.Wrap(errors.New(text), op)}
}
