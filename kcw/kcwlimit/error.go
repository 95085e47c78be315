package kcwlimit

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
	// KindOpenRequests is the kind of a request that exceeds the limit on open requests.
	KindOpenRequests
	// KindRequests is the kind of a request that exceeds the requests per minute.
	KindRequests
	// KindTokens is the kind of a request that exceeds the tokens per minute.
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
	// RetryAt is the time at which a request of the same size would be admitted if
	// no other request arrived before it. It is zero if there is no such time or it
	// can't be computed.
	RetryAt time.Time
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("kcwlimit: %s: %v: %s", e.Op, e.Kind, e.Detail)
}
