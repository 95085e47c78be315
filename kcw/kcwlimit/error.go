package kcwlimit

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
	// KindOpenRequests is the kind of a request above the open requests.
	KindOpenRequests
	// KindRequests is the kind of a request above the requests a minute.
	KindRequests
	// KindTokens is the kind of a request above the tokens a minute.
	KindTokens
)

var kindNames = map[Kind]string{
	KindInvalid:      "invalid",
	KindOpenRequests: "open requests",
	KindRequests:     "requests a minute",
	KindTokens:       "tokens a minute",
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
	// RetryAt is when a like request would be admitted if none came before it.
	// It is zero where that can't be told.
	RetryAt time.Time
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("kcwlimit: %s: %v: %s", e.Op, e.Kind, e.Detail)
}
