package kcwbreaker

import (
	"fmt"
	"time"
)

// Kind says what went wrong.
type Kind int

// The kinds of errors.
const (
	// KindInvalid is the kind of a configuration that breaks a rule.
	KindInvalid Kind = iota + 1
	// KindOpen is the kind of a call that is not admitted until RetryAt.
	KindOpen
	// KindProbing is the kind of a call that is not admitted because as many
	// probes as allowed are under way.
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
	// RetryAt is when the next probe is admitted, if Kind is KindOpen.
	RetryAt time.Time
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("kcwbreaker: %s: %v: %s", e.Op, e.Kind, e.Detail)
}
