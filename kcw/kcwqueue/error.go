package kcwqueue

import (
	"fmt"
	"time"
)

// Kind classifies an Error.
type Kind int

// The kinds of errors.
const (
	// KindInvalid is the kind of an invalid configuration or item.
	KindInvalid Kind = iota + 1
	// KindFull is the kind of an item that is refused because the queue is full
	// and holds no item that may be evicted in its favor.
	KindFull
	// KindLate is the kind of an item that is refused because it is not expected
	// to start by its deadline.
	KindLate
)

var kindNames = map[Kind]string{
	KindInvalid: "invalid",
	KindFull:    "full",
	KindLate:    "late",
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
	// RetryAt is the time from which a new offer is expected to succeed. It is set
	// if Kind is KindFull or KindLate.
	RetryAt time.Time
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("kcwqueue: %s: %v: %s", e.Op, e.Kind, e.Detail)
}
