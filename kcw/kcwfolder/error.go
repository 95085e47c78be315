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
	// Storage means that a file system call failed.
	Storage Kind = iota + 1
	// Locked means that the folder is locked by another process.
	Locked
	// Missing means that the file does not exist.
	Missing
	// Damaged means that a file's content is malformed.
	Damaged
	// Invalid means that an argument is invalid.
	Invalid
	// Full means that the disk is full. The call may be repeated.
	Full
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
	case Full:
		return "disk full"
	}
	return fmt.Sprintf("kind %d", int(k))
}

// Error is the type of every error that this package returns.
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

// IsFull reports whether err, the error of a file system call, was caused by a full disk
// or an exceeded disk quota.
func IsFull(err error) bool {
	return errors.Is(err, unix.ENOSPC) || errors.Is(err, unix.EDQUOT)
}

// storageKind returns the Kind for the error of a file system call.
func storageKind(err error) Kind {
	if IsFull(err) {
		return Full
	}
	return Storage
}

func fail(op string, kind Kind, path string, err error) *Error {
	return &Error{Op: op, Kind: kind, Path: path, Err: eris.Wrap(err, op)}
}
