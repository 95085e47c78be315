package kcwavailability

import "fmt"

// Kind classifies an Error.
type Kind int

// KindInvalid is the kind of an error about an invalid configuration.
const KindInvalid Kind = 1

// String returns the kind's name.
func (k Kind) String() string {
	if k == KindInvalid {
		return "invalid"
	}
	return fmt.Sprintf("kind %d", int(k))
}

// Error is the type of every error that this package returns.
type Error struct {
	Op     string
	Kind   Kind
	Detail string
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("kcwavailability: %s: %v: %s", e.Op, e.Kind, e.Detail)
}
