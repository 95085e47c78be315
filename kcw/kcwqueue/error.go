package kcwqueue

import (
	"fmt"
	"time"
)

// Kind says what went wrong.
type Kind int

// The kinds of errors.
const (
	// KindInvalid is the kind of a configuration or item that breaks a rule.
	KindInvalid Kind = iota + 1
	// KindFull is the kind of an item refused because the queue is full of
	// items that go before it.
	KindFull
	// KindLate is the kind of an item refused because it can't be expected to
	// start by its deadline.
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
	// RetryAt is when a later offer can be expected to succeed, for KindFull
	// and KindLate.
	RetryAt time.Time
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("kcwqueue: %s: %v: %s", e.Op, e.Kind, e.Detail)
}
