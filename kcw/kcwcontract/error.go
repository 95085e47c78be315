package kcwcontract

import (
	"fmt"
	"strings"
)

// Kind says what sort of failure an Error is.
type Kind int

const (
	// KindSyntax is a contract that is not JSON of the right shape.
	KindSyntax Kind = iota + 1
	// KindInvalid is a contract that breaks a rule.
	KindInvalid
)

// Error lists every problem of a contract.
type Error struct {
	Op   string
	Kind Kind
	// Problems has one line for each problem, led by the path of its field.
	Problems []string
	Err      error
}

// Error returns the problems in one line.
func (e *Error) Error() string {
	text := "kcwcontract: " + e.Op + ": " + strings.Join(e.Problems, "; ")
	if e.Err != nil {
		text += fmt.Sprintf(": %v", e.Err)
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
