// Package kcwmemory bounds the memory that the requests of one process hold
// together: bodies, answers and events. Bounds on each of them alone don't, since a
// host's memory is a few dozen of the largest ones.
package kcwmemory

import (
	"io"
	"strconv"
	"sync/atomic"
)

// Kind classifies an Error.
type Kind int

// Kinds of errors.
const (
	// Full means that requests hold as much memory as they may together.
	Full Kind = iota + 1
	// TooLarge means that one body is larger than its own bound.
	TooLarge
)

// Error is the error of this package.
type Error struct {
	Op   string
	Kind Kind
	// Bytes is the bound that was met.
	Bytes int64
}

// Error describes the failure.
func (e *Error) Error() string {
	if e.Kind == TooLarge {
		return "kcwmemory: " + e.Op + ": larger than " + strconv.FormatInt(e.Bytes, 10) + " bytes"
	}
	return "kcwmemory: " + e.Op + ": requests hold all of " + strconv.FormatInt(e.Bytes, 10) + " bytes"
}

// Account counts the memory held. It is safe for concurrent use.
type Account struct {
	limit int64
	held  atomic.Int64
}

// New returns an Account of limit bytes.
func New(limit int64) *Account { return &Account{limit: limit} }

// Held returns the number of bytes held.
func (a *Account) Held() int64 { return a.held.Load() }

// TryAcquire takes bytes, and reports false without any effect if there are too few.
func (a *Account) TryAcquire(bytes int64) bool {
	if a.held.Add(bytes) <= a.limit {
		return true
	}
	a.held.Add(-bytes)
	return false
}

// Release gives bytes back that were taken.
func (a *Account) Release(bytes int64) { a.held.Add(-bytes) }

// firstRead is the first size of a buffer in bytes, enough for most bodies.
const firstRead = 4 << 10

// ReadAll reads r to its end, at most limit bytes, and returns what it read and the
// bytes taken for it, which the caller gives back. Size is the number of bytes that
// are announced, negative if unknown. The error is an *Error or that of r.
func (a *Account) ReadAll(r io.Reader, size, limit int64) (data []byte, taken int64, err error) {
	if size > limit {
		return nil, 0, &Error{Op: "read", Kind: TooLarge, Bytes: limit}
	}
	// One byte more than announced, so that the end is met without growing.
	next := min(size+1, firstRead)
	if size < 0 {
		next = firstRead
	}
	for {
		if int64(len(data)) == int64(cap(data)) {
			// The old buffer and the new one are held at the same time for a moment.
			if !a.TryAcquire(next) {
				return nil, taken, &Error{Op: "read", Kind: Full, Bytes: a.limit}
			}
			old := int64(cap(data))
			data = append(make([]byte, 0, next), data...)
			a.Release(old)
			taken += next - old
			next = min(2*next, limit+1)
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case int64(len(data)) > limit:
			return nil, taken, &Error{Op: "read", Kind: TooLarge, Bytes: limit}
		case err == io.EOF:
			return data, taken, nil
		case err != nil:
			return nil, taken, err
		}
	}
}
