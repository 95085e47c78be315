// Package kcwmemory bounds the total memory that a process holds for the requests in
// flight: their bodies, answers and events. Limits on the size of each are not enough,
// since a few dozen of the largest fill a host's memory.
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
	// Full means that the bytes to acquire would exceed the limit of the Account.
	Full Kind = iota + 1
	// TooLarge means that one body is larger than its own limit.
	TooLarge
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	// Bytes is the limit that would be exceeded.
	Bytes int64
}

// Error describes the failure.
func (e *Error) Error() string {
	if e.Kind == TooLarge {
		return "kcwmemory: " + e.Op + ": larger than " + strconv.FormatInt(e.Bytes, 10) + " bytes"
	}
	return "kcwmemory: " + e.Op + ": requests hold all of " + strconv.FormatInt(e.Bytes, 10) + " bytes"
}

// Account counts the bytes held against a limit. It is safe for concurrent use.
type Account struct {
	limit int64
	held  atomic.Int64
}

// New returns an Account with a limit in bytes.
func New(limit int64) *Account { return &Account{limit: limit} }

// Held returns the number of bytes held.
func (a *Account) Held() int64 { return a.held.Load() }

// TryAcquire acquires the given number of bytes and reports whether the limit allowed it.
// It acquires nothing if it returns false.
func (a *Account) TryAcquire(bytes int64) bool {
	if a.held.Add(bytes) <= a.limit {
		return true
	}
	a.held.Add(-bytes)
	return false
}

// Release releases the given number of bytes, which must have been acquired.
func (a *Account) Release(bytes int64) { a.held.Add(-bytes) }

// initialBufferBytes is the largest initial size of a buffer in bytes, enough for most
// bodies.
const initialBufferBytes = 4 << 10

// ReadAll reads r to its end, at most limit bytes. It returns the data and the number
// of bytes acquired for it, which the caller must release, also after an error. Size is
// the announced size of the data in bytes, negative if unknown. The error is an *Error of
// kind Full or TooLarge, or that of r.
func (a *Account) ReadAll(r io.Reader, size, limit int64) (data []byte, acquired int64, err error) {
	if size > limit {
		return nil, 0, &Error{Op: "read", Kind: TooLarge, Bytes: limit}
	}
	// One byte more than announced lets Read reach the end without growing the buffer.
	nextCap := min(size+1, initialBufferBytes)
	if size < 0 {
		nextCap = initialBufferBytes
	}
	for {
		if int64(len(data)) == int64(cap(data)) {
			// Both the old and the new buffer are held while the data is copied.
			if !a.TryAcquire(nextCap) {
				return nil, acquired, &Error{Op: "read", Kind: Full, Bytes: a.limit}
			}
			oldCap := int64(cap(data))
			data = append(make([]byte, 0, nextCap), data...)
			a.Release(oldCap)
			acquired += nextCap - oldCap
			nextCap = min(2*nextCap, limit+1)
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case int64(len(data)) > limit:
			return nil, acquired, &Error{Op: "read", Kind: TooLarge, Bytes: limit}
		case err == io.EOF:
			return data, acquired, nil
		case err != nil:
			return nil, acquired, err
		}
	}
}
