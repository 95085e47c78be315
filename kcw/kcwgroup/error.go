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
	// Invalid is a wrong Config or request.
	Invalid Kind = iota + 1
	// NotLeader means that this replica does not lead and that the proposal
	// was surely not, and never will be, carried out.
	NotLeader
	// OutcomeUnknown means that the proposal may or may not be carried out.
	OutcomeUnknown
	// NotCaughtUp means that a learner is too far behind to vote.
	NotCaughtUp
	// Busy means that another membership change or a leadership transfer is
	// under way; nothing was carried out.
	Busy
	// Canceled means that the context ended before the proposal was taken; it
	// was surely not carried out.
	Canceled
	// Closed means that the group has stopped; nothing was carried out.
	Closed
	// Storage means that the disk failed or holds a damaged or foreign state.
	Storage
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
	}
	if name, ok := names[k]; ok {
		return name
	}
	return fmt.Sprintf("kind %d", int(k))
}

// Error is the error of every function of this package.
type Error struct {
	Op   string
	Kind Kind
	// Leader is where the leader was last known to be, the zero value if
	// unknown. It is set for NotLeader and OutcomeUnknown.
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
