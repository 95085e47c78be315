package kcwbreaker

import (
	"fmt"
	"time"
)

// Kind classifies an Error.
type Kind int

// The kinds of errors.
const (
	// KindInvalid is the kind of an invalid configuration.
	KindInvalid Kind = iota + 1
	// KindOpen is the kind of a call that is refused because the breaker is open
	// until RetryAt.
	KindOpen
	// KindProbing is the kind of a call that is refused because the maximum number
	// of probes is in progress.
	KindProbing
)

var kindNames = map[Kind]string{
	KindInvalid: "invalid",
	KindOpen:    "open",
	KindProbing: "probing",
}

// String returns the kind's name.
func (k Kind) String() string {
	if name, ok := kindNames[k]; ok {
		return name
	}
	return fmt.Sprintf("kind %d", int(k))
}

// Error is the error of this package.
type Error struct {
	Op     string
	Kind   Kind
	Detail string
	// RetryAt is when the first probe is admitted. It is set if Kind is KindOpen.
	RetryAt time.Time
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("kcwbreaker: %s: %v: %s", e.Op, e.Kind, e.Detail)
}
