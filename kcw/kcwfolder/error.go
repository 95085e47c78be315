package kcwfolder

import (
	"errors"
	"fmt"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// Kind classifies an Error.
type Kind int

// The kinds of Error.
const (
	// Storage is a failed call of the file system.
	Storage Kind = iota + 1
	// Locked means that another process holds the folder.
	Locked
	// Missing means that the file does not exist.
	Missing
	// Damaged means that a file's content is not what was written.
	Damaged
	// Invalid is a wrong argument.
	Invalid
)

// String returns the kind's name.
func (k Kind) String() string {
	switch k {
	case Storage:
		return "storage"
	case Locked:
		return "locked by another process"
	case Missing:
		return "missing"
	case Damaged:
		return "damaged"
	case Invalid:
		return "invalid"
	}
	return fmt.Sprintf("kind %d", int(k))
}

// Error is the error of every function of this package.
type Error struct {
	Op   string
	Kind Kind
	Path string
	Err  error
}

// Error returns the operation, kind, path and cause.
func (e *Error) Error() string {
	return fmt.Sprintf("kcwfolder: %s %s: %s: %v", e.Op, e.Path, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// IsFull reports whether err, of a call of the file system, says that the disk has no
// room.
func IsFull(err error) bool {
	return errors.Is(err, unix.ENOSPC) || errors.Is(err, unix.EDQUOT)
}

func fail(op string, kind Kind, path string, err error) *Error {
	return &Error{Op: op, Kind: kind, Path: path, Err: eris.Wrap(err, op)}
}
