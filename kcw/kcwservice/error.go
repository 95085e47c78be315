package kcwservice

import "fmt"

// Kind is the reason why a Service could not be created or a call was refused.
type Kind string

const (
	// Invalid is a Config with a missing or invalid field.
	Invalid Kind = "invalid"
	// Forbidden is a call that its key does not permit.
	Forbidden Kind = "forbidden"
)

// Error is the error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("kcwservice: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("kcwservice: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
