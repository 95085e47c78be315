package kcwgroup

import (
	"errors"
	"fmt"
	"net/netip"

	"github.com/rotisserie/eris"
)

// Kind classifies an Error.
type Kind int

// The kinds of Error.
const (
	// Invalid means that a Config or a request is invalid.
	Invalid Kind = iota + 1
	// NotLeader means that this replica is not the leader. The proposal was not
	// executed and never will be.
	NotLeader
	// OutcomeUnknown means that the proposal may or may not be executed.
	OutcomeUnknown
	// NotCaughtUp means that the learner to be made a voter lacks committed entries.
	NotCaughtUp
	// Busy means that another membership change or a leadership transfer is in
	// progress; nothing was executed.
	Busy
	// Canceled means that the context ended before the proposal was accepted; it
	// will not be executed.
	Canceled
	// Closed means that the group has stopped; nothing was executed.
	Closed
	// Storage means that the disk failed, or that the folder is damaged or
	// belongs to another replica.
	Storage
	// Full means that New found the disk full; it may be called again.
	Full
)

// String returns the kind's name.
func (k Kind) String() string {
	names := map[Kind]string{
		Invalid:        "invalid",
		NotLeader:      "not the leader",
		OutcomeUnknown: "outcome unknown",
		NotCaughtUp:    "learner not caught up",
		Busy:           "busy",
		Canceled:       "canceled",
		Closed:         "closed",
		Storage:        "storage",
		Full:           "disk full",
	}
	if name, ok := names[k]; ok {
		return name
	}
	return fmt.Sprintf("kind %d", int(k))
}

// Error is the type of every error that this package returns.
type Error struct {
	Op   string
	Kind Kind
	// Leader is the last known address of the leader, or the zero value if it is
	// unknown. It may be set if Kind is NotLeader or OutcomeUnknown.
	Leader netip.AddrPort
	Err    error
}

// Error returns the operation, kind, leader and cause.
func (e *Error) Error() string {
	text := fmt.Sprintf("kcwgroup: %s: %s", e.Op, e.Kind)
	if e.Leader.IsValid() {
		text += ", leader at " + e.Leader.String()
	}
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

func fail(op string, kind Kind, err error) *Error {
	if err != nil {
		err = eris.Wrap(err, op)
	}
	return &Error{Op: op, Kind: kind, Err: err}
}

func invalid(op, text string) *Error {
	return fail(op, Invalid, errors.New(text))
}
