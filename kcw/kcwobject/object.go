// Package kcwobject reads JSON objects and arrays part by part. A document of a few MB can have a
// million members or elements, each of which takes dozens of bytes in a map or a list.
package kcwobject

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Kind classifies an Error.
type Kind int

// Kinds of errors.
const (
	// Malformed means that the text is not JSON.
	Malformed Kind = iota + 1
	// OtherType means that the text is JSON of another type.
	OtherType
)

// Error describes the failure.
func (e *Error) Error() string {
	if e.Kind == OtherType {
		return "kcwobject: " + e.Op + ": JSON of another type"
	}
	return "kcwobject: " + e.Op + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Members calls visit for each member of the object raw, in order, also for a name that is
// repeated. Null has no members. The value is a part of raw. Members stops at the first error of
// visit and returns it. Other errors are an *Error.
func Members(raw []byte, visit func(name string, value json.RawMessage) error) error {
	return read("members", raw, '{', func(decoder *json.Decoder) error {
		token, err := decoder.Token()
		if err != nil {
			return &Error{Op: "members", Kind: Malformed, Err: err}
		}
		// The decoder accepts nothing else as a name.
		name, _ := token.(string)
		value, err := next(raw, decoder)
		if err != nil {
			return err
		}
		return visit(name, value)
	})
}

// Elements calls visit for each element of the array raw, in order. Null has no elements. The value
// is a part of raw. Elements stops at the first error of visit and returns it. Other errors are an
// *Error.
func Elements(raw []byte, visit func(value json.RawMessage) error) error {
	return read("elements", raw, '[', func(decoder *json.Decoder) error {
		value, err := next(raw, decoder)
		if err != nil {
			return err
		}
		return visit(value)
	})
}

// read calls part for each part of an object or array that begins with the delimiter.
func read(op string, raw []byte, begin json.Delim, part func(*json.Decoder) error) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	first, err := decoder.Token()
	if err != nil {
		return &Error{Op: op, Kind: Malformed, Err: err}
	}
	if first != nil && first != begin {
		return &Error{Op: op, Kind: OtherType}
	}
	for first != nil && decoder.More() {
		if err := part(decoder); err != nil {
			return err
		}
	}
	if first != nil {
		if _, err := decoder.Token(); err != nil {
			return &Error{Op: op, Kind: Malformed, Err: err}
		}
	}
	if _, err := decoder.Token(); err != io.EOF {
		return &Error{Op: op, Kind: Malformed, Err: errTrailing}
	}
	return nil
}

// errTrailing is the cause of the error for text after the end.
var errTrailing = errors.New("text after the end")

// next returns the next value, a part of raw.
func next(raw []byte, decoder *json.Decoder) (json.RawMessage, error) {
	start := decoder.InputOffset()
	if err := decoder.Decode(&skipped{}); err != nil {
		return nil, &Error{Op: "value", Kind: Malformed, Err: err}
	}
	return bytes.TrimLeft(raw[start:decoder.InputOffset()], ":, \t\r\n"), nil
}

// skipped is a value that is only checked.
type skipped struct{}

// UnmarshalJSON accepts any value.
func (*skipped) UnmarshalJSON([]byte) error { return nil }
