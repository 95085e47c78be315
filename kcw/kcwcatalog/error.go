package kcwcatalog

// Kind classifies an Error.
type Kind int

// The kinds of an Error.
const (
	// KindUnknown means that no contract lists the key.
	KindUnknown Kind = iota + 1
	// KindUnavailable means that the contract cannot be looked up now.
	KindUnavailable
	// KindMalformed means that the contract in the ledger cannot be decoded.
	KindMalformed
)

// Error is returned by this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation and its cause.
func (e *Error) Error() string { return "kcwcatalog: " + e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
