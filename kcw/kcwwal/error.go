package kcwwal

import (
	"errors"
	"fmt"

	"github.com/rotisserie/eris"
)

// Kind classifies an Error.
type Kind int

// The kinds of Error.
const (
	// Storage means that a file system call failed. After a failed write or sync the
	// log rejects all further writes, since the content of the disk is then unknown.
	Storage Kind = iota + 1
	// Damaged means that synced content differs from what was written.
	Damaged
	// Foreign means that a file does not belong to this log.
	Foreign
	// Missing means that a segment does not exist.
	Missing
	// Invalid means that an argument is invalid.
	Invalid
	// Full means that the disk is full. Nothing was changed, and the call may be
	// repeated.
	Full
)

// String returns the kind's name.
func (k Kind) String() string {
	switch k {
	case Storage:
		return "storage"
	case Damaged:
		return "damaged"
	case Foreign:
		return "foreign file"
	case Missing:
		return "missing segment"
	case Invalid:
		return "invalid"
	case Full:
		return "disk full"
	}
	return fmt.Sprintf("kind %d", int(k))
}

// Error is the type of every error that this package returns.
type Error struct {
	Op   string
	Kind Kind
	// File is the path of the file, and Offset the offset in it, in bytes.
	File   string
	Offset int64
	Err    error
}

// Error returns the operation, file, offset, kind and cause.
func (e *Error) Error() string {
	return fmt.Sprintf("kcwwal: %s %s at byte %d: %s: %v", e.Op, e.File, e.Offset, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

func fail(op string, kind Kind, file string, offset int64, err error) *Error {
	return &Error{Op: op, Kind: kind, File: file, Offset: offset, Err: eris.Wrap(err, op)}
}

func failText(op string, kind Kind, file string, offset int64, text string) *Error {
	return fail(op, kind, file, offset, errors.New(text))
}
