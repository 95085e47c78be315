package kcwtool

import (
	"errors"
	"flag"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"kingcupwick.example/kcw/kcwledger"
)

// Kind classifies an Error. Its number is the exit code of the command.
type Kind int

// Kinds of errors, and the exit code zero.
const (
	// OK means that the command succeeded.
	OK Kind = iota
	// Failed means any other failure.
	Failed
	// Usage means invalid arguments, settings or files; nothing was sent.
	Usage
	// Stale means that the contract was changed since the revision that the
	// change was based on; nothing was changed.
	Stale
	// Unconfirmed means that the change is in force at the ledger but not every
	// router has confirmed it in time, or that the replacement of a replica is not
	// complete in time.
	Unconfirmed
	// Unavailable means that no leader of the ledger answered in time; nothing
	// was changed.
	Unavailable
	// Unknown means that the answer was lost: the change may or may not have been
	// executed. It may be sent again with the same change identity.
	Unknown
	// Refused means that the ledger refused the command, or that a contract file
	// would set other prepaid tokens than the ledger has; nothing was changed.
	Refused
	// Forbidden means that the ledger or process did not accept the key.
	Forbidden
)

var kindNames = [...]string{
	"ok", "failed", "usage", "stale revision", "not confirmed", "unavailable", "outcome unknown", "refused", "forbidden",
}

// String returns the name of the kind.
func (k Kind) String() string {
	if k < 0 || int(k) >= len(kindNames) {
		return fmt.Sprintf("Kind(%d)", int(k))
	}
	return kindNames[k]
}

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error describes the failure.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func usage(op, format string, args ...any) error {
	return &Error{Op: op, Kind: Usage, Err: fmt.Errorf(format, args...)}
}

// ledgerError converts the error of a call to the ledger to an *Error.
func ledgerError(op string, err error) error {
	kind := Failed
	var e *kcwledger.Error
	if errors.As(err, &e) {
		switch e.Kind {
		case kcwledger.NotSent, kcwledger.Unavailable:
			kind = Unavailable
		case kcwledger.OutcomeUnknown:
			kind = Unknown
		case kcwledger.Refused:
			kind = refusalKind(err)
		case kcwledger.Invalid:
			kind = Usage
		}
	}
	return &Error{Op: op, Kind: kind, Err: err}
}

// kindOf returns the kind of the error that a command ended with.
func kindOf(err error) Kind {
	var e *Error
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return OK
	case errors.As(err, &e):
		return e.Kind
	case errors.As(err, &ffcli.NoExecError{}):
		return Usage
	}
	return Failed
}
