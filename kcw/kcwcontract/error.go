package kcwcontract

import (
	"fmt"
	"strings"
)

// Kind classifies an Error.
type Kind int

const (
	// KindSyntax means that the contract is not JSON with the fields and types of a
	// Contract.
	KindSyntax Kind = iota + 1
	// KindInvalid means that a value of the contract is not allowed.
	KindInvalid
)

// Error lists every problem of a contract.
type Error struct {
	Op   string
	Kind Kind
	// Problems has one line for each problem, which begins with the field's path.
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
