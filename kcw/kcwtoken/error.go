package kcwtoken

// Kind says why a request has no bound.
type Kind int

// The kinds of an Error.
const (
	// KindMalformed is a body that is not a chat request.
	KindMalformed Kind = iota + 1
	// KindUnsupported is a parameter or content whose tokens have no bound.
	KindUnsupported
	// KindTooLong is a prompt or completion over the limit.
	KindTooLong
)

// Error is the error type of this package. Param names the part of the request
// at fault; no text of the request is in it.
type Error struct {
	Op    string
	Kind  Kind
	Param string
	Err   error
}

// Error returns the operation, the parameter and the cause.
func (e *Error) Error() string {
	text := "kcwtoken: " + e.Op
	if e.Param != "" {
		text += " " + e.Param
	}
	return text + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
