package kcwupstream

// Kind classifies an Error.
type Kind int

// The kinds of an Error.
const (
	// KindNotSent means that no byte of the request was sent.
	KindNotSent Kind = iota + 1
	// KindLost means that the request may have reached the upstream, but its answer
	// did not arrive whole.
	KindLost
	// KindSilent means that the call made no progress until its deadline. The
	// request may have reached the upstream.
	KindSilent
	// KindLoad means that the upstream's load report could not be fetched.
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
