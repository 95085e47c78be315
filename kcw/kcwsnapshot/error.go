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
	// Storage means that a file system call failed.
	Storage Kind = iota + 1
	// Damaged means that a file's content differs from what was written.
	Damaged
	// Foreign means that a file is not a snapshot.
	Foreign
	// Missing means that the snapshot does not exist or has been removed.
	Missing
	// Invalid means that an argument is invalid.
	Invalid
	// Full means that the disk has no space for another snapshot; the existing ones
	// are unchanged.
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
	return fmt.Sprintf("kcwsnapshot: %s %s at byte %d: %s: %v", e.Op, e.File, e.Offset, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// failWrite returns the error of a failed write, whose Kind is Full if the disk is
// full and Storage otherwise.
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
