package kcwcatalog

// Kind says why there is no contract.
type Kind int

// The kinds of an Error.
const (
	// KindUnknown is a key that no contract admits.
	KindUnknown Kind = iota + 1
	// KindUnavailable is a contract that cannot be looked up now.
	KindUnavailable
	// KindMalformed is a contract of the ledger that cannot be read here.
	KindMalformed
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation and its cause.
func (e *Error) Error() string { return "kcwcatalog: " + e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
