package kcwtoken

// Kind classifies an Error.
type Kind int

// Kinds of errors.
const (
	// KindMalformed means that the body is not a valid chat request.
	KindMalformed Kind = iota + 1
	// KindUnsupported means that the request has a parameter, a message member or content
	// that is not supported, because its tokens may have no bound.
	KindUnsupported
	// KindTooLong means that the prompt, the completion or the number of choices exceeds
	// its limit, or that the completion has none.
	KindTooLong
)

// Error is the error of this package. Param names the part of the request at fault. It
// never contains values from the request.
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
