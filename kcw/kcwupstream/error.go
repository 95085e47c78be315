package kcwupstream

// Kind says how a call of an upstream failed.
type Kind int

// The kinds of an Error.
const (
	// KindNotSent is a call of which no byte can have left.
	KindNotSent Kind = iota + 1
	// KindLost is a call whose request may have reached the upstream and whose
	// answer did not arrive whole.
	KindLost
	// KindSilent is a call that made no progress until its deadline. Its
	// request may have reached the upstream.
	KindSilent
	// KindLoad is a load report that could not be had.
	KindLoad
)

// Error is the error type of this package.
type Error struct {
	Op       string
	Kind     Kind
	Upstream string
	Err      error
}

// Error returns the operation, the upstream and the cause.
func (e *Error) Error() string {
	return "kcwupstream: " + e.Op + " " + e.Upstream + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
