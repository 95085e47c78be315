package kcwsnapshot

import (
	"errors"
	"fmt"

	"github.com/rotisserie/eris"

	"kingcupwick.example/kcw/kcwfolder"
)

// Kind classifies an Error.
type Kind int

// The kinds of Error.
const (
	// Storage is a failed call of the file system.
	Storage Kind = iota + 1
	// Damaged means that a file's content is not what was written.
	Damaged
	// Foreign means that a file is not a snapshot.
	Foreign
	// Missing means that the snapshot is not here, or no longer.
	Missing
	// Invalid is a wrong argument.
	Invalid
	// Full means that the disk has no room for another snapshot; those that are kept
	// are as they were.
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
		return "missing"
	case Invalid:
		return "invalid"
	case Full:
		return "disk full"
	}
	return fmt.Sprintf("kind %d", int(k))
}

// Error is the error of every function of this package.
type Error struct {
	Op   string
	Kind Kind
	// File is the path concerned and Offset the place in it, in bytes.
	File   string
	Offset int64
	Err    error
}

// Error returns the operation, kind, place and cause.
func (e *Error) Error() string {
	return fmt.Sprintf("kcwsnapshot: %s %s at byte %d: %s: %v", e.Op, e.File, e.Offset, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// failWrite returns the error of a write that failed.
func failWrite(op, file string, offset int64, err error) *Error {
	kind := Storage
	if kcwfolder.IsFull(err) {
		kind = Full
	}
	return fail(op, kind, file, offset, err)
}

func fail(op string, kind Kind, file string, offset int64, err error) *Error {
	return &Error{Op: op, Kind: kind, File: file, Offset: offset, Err: eris.Wrap(err, op)}
}

func failText(op string, kind Kind, file string, offset int64, text string) *Error {
	return fail(op, kind, file, offset, errors.New(text))
}
