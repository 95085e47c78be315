package kcwgateway

// Kind classifies an Error.
type Kind int

// The kinds of an Error.
const (
	// KindConfig is an incomplete or invalid Config.
	KindConfig Kind = iota + 1
	// KindPeer is another router's failure to return an answer.
	KindPeer
	// KindPeerSilent means that another router did not answer, or not to the end. It may
	// later.
	KindPeerSilent
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation and its cause.
func (e *Error) Error() string { return "kcwgateway: " + e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
