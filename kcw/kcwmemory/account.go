// Package kcwmemory bounds the total memory that a process holds for the requests in
// flight: their bodies, answers and events. Limits on the size of each are not enough,
// since a few dozen of the largest fill a host's memory.
package kcwmemory

import (
	"io"
	"strconv"
	"sync"
	"time"
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

// largeParts of allParts of the limit is what the bodies may use together that are larger than
// limit/smallFraction. The rest is left for the smaller bodies of most requests.
const (
	largeParts, allParts = 3, 4
	smallFraction        = 16
)

// abortingFraction of the limit is what several aborted bodies may hold together that are still
// being read. Many clients could otherwise send faster than the goroutines end that read their bodies.
const abortingFraction = 4

// Account counts the bytes held against a limit. It is safe for concurrent use.
type Account struct {
	limit int64

	mu   sync.Mutex
	held int64
	// aborting is what bodies hold that were aborted and are still being read.
	aborting int64
	// receiving holds the bodies that clients are sending, and what else gives way to others.
	// yielding is what they hold.
	receiving map[*receipt]struct{}
	yielding  int64
	// free are chunks that are not used. They are not a part of held, and fit into the limit
	// beside it.
	free [][]byte
}

// receipt is a body that is being read.
type receipt struct {
	since    time.Time
	acquired int64
	// abort makes reads fail. It is nil for a body that no client is sending.
	abort     func()
	isAborted bool
}

// New returns an Account with a limit in bytes.
func New(limit int64) *Account {
	return &Account{limit: limit, receiving: map[*receipt]struct{}{}}
}

// Held returns the number of bytes held.
func (a *Account) Held() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held
}

// Committed returns the number of bytes held that can't be freed for others, that is without the
// bodies that clients are sending and what Yield has been called for.
func (a *Account) Committed() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held - a.yielding
}

// TryAcquire acquires the given number of bytes and reports whether the limit allowed it. If
// need be, it aborts bodies that clients are sending. It acquires nothing if it returns false.
func (a *Account) TryAcquire(bytes int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.tryAcquire(bytes, nil)
}

// Acquire acquires the given number of bytes, beyond the limit if need be, for what is held already.
// Bodies that clients are sending are aborted for them.
func (a *Account) Acquire(bytes int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.tryAcquire(bytes, nil) {
		a.held += bytes
	}
}

// Yield lets others take the given number of bytes, which the caller has acquired, until it calls
// end. If they need the memory of what has held most for longest, as with bodies, abort is called,
// after which the caller must release the bytes soon. The caller releases them in any case.
func (a *Account) Yield(bytes int64, abort func()) (end func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	b := &receipt{since: time.Now(), acquired: bytes, abort: abort}
	a.receiving[b] = struct{}{}
	a.yielding += bytes
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		if b.isAborted {
			a.aborting -= bytes
			a.held += bytes
			return
		}
		delete(a.receiving, b)
		a.yielding -= bytes
	}
}

// Release releases the given number of bytes, which must have been acquired.
func (a *Account) Release(bytes int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.held -= bytes
}

// tryAcquire is TryAcquire for a body, nil for other memory. The caller holds mu.
func (a *Account) tryAcquire(bytes int64, body *receipt) bool {
	if bytes > a.limit || body != nil && body.isAborted {
		return false
	}
	limit := a.limit
	if body != nil && body.abort != nil && body.acquired+bytes > limit/smallFraction {
		limit = limit / allParts * largeParts
	}
	for a.held+bytes > limit {
		largest := a.largest(time.Now())
		if largest == nil || largest == body || a.aborting > 0 && a.aborting+largest.acquired > a.limit/abortingFraction {
			return false
		}
		// What it holds is free in a moment. It does not count as held from now on, so that
		// not more bodies are aborted than need be.
		largest.isAborted = true
		a.held -= largest.acquired
		a.yielding -= largest.acquired
		a.aborting += largest.acquired
		delete(a.receiving, largest)
		go largest.abort()
	}
	a.held += bytes
	if body != nil {
		body.acquired += bytes
		if body.abort != nil {
			a.yielding += bytes
		}
	}
	// Chunks that are not used count too, so that they are dropped when others need the memory.
	for len(a.free) > 0 && a.held+int64(len(a.free))*chunkBytes > a.limit {
		a.free[len(a.free)-1] = nil
		a.free = a.free[:len(a.free)-1]
	}
	return true
}

// largest returns the body that clients are sending that has held most for longest, nil if there
// is none.
func (a *Account) largest(now time.Time) (largest *receipt) {
	var most float64
	for body := range a.receiving {
		// One millisecond more tells bodies of the same moment apart by what they hold.
		score := float64(body.acquired) * (now.Sub(body.since) + time.Millisecond).Seconds()
		if body.acquired > 0 && (largest == nil || score > most) {
			largest, most = body, score
		}
	}
	return largest
}

// chunkBytes is the size of the chunks of bodies, larger than most bodies.
const chunkBytes = 64 << 10

// initialBufferBytes is the largest initial size of a buffer in bytes, enough for most
// bodies.
const initialBufferBytes = 4 << 10

// ReadAll reads r to its end, at most limit bytes. It returns the data and the number
// of bytes acquired for it, which the caller must release, also after an error. Size is
// the announced size of the data in bytes, negative if unknown. The error is an *Error of
// kind Full or TooLarge, or that of r.
func (a *Account) ReadAll(r io.Reader, size, limit int64) (data []byte, acquired int64, err error) {
	b := &receipt{}
	data, err = a.read(b, r, size, limit)
	return data, b.acquired, err
}

// Receive is ReadAll for the body of a request that a client is sending. If others need the
// memory, the bodies that have held most for longest are aborted first: abort is called, which
// must make reads of r fail and may be called after Receive has returned, and the error is of
// kind Full.
func (a *Account) Receive(r io.Reader, size, limit int64, abort func()) (data []byte, acquired int64, err error) {
	b := &receipt{since: time.Now(), abort: abort}
	a.mu.Lock()
	a.receiving[b] = struct{}{}
	a.mu.Unlock()
	data, err = a.read(b, r, size, limit)
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.receiving, b)
	if b.isAborted {
		a.aborting -= b.acquired
		return nil, 0, &Error{Op: "receive", Kind: Full, Bytes: a.limit}
	}
	a.yielding -= b.acquired
	return data, b.acquired, err
}

// read reads a body. Beyond chunkBytes it is read in chunks that are used again, and copied into
// one buffer once it is whole: buffers of large bodies that are given up would become garbage
// faster than it is collected.
func (a *Account) read(b *receipt, r io.Reader, size, limit int64) (data []byte, err error) {
	if size > limit {
		return nil, &Error{Op: "read", Kind: TooLarge, Bytes: limit}
	}
	data, isEnd, err := a.readFirst(b, r, size, limit)
	if err != nil || isEnd {
		return data, err
	}
	chunks, err := a.readChunks(b, r, limit-int64(len(data)))
	defer a.putChunks(b, chunks)
	if err != nil {
		return nil, err
	}
	total := int64(len(data))
	for _, chunk := range chunks {
		total += int64(len(chunk))
	}
	if !a.acquire(total, b) {
		return nil, &Error{Op: "read", Kind: Full, Bytes: a.limit}
	}
	whole := append(make([]byte, 0, total), data...)
	a.release(int64(cap(data)), b)
	for _, chunk := range chunks {
		whole = append(whole, chunk...)
	}
	return whole, nil
}

// readFirst reads the first chunkBytes of a body into a buffer that grows. IsEnd is set if that is
// all.
func (a *Account) readFirst(b *receipt, r io.Reader, size, limit int64) (data []byte, isEnd bool, err error) {
	// One byte more than announced lets Read reach the end without growing the buffer.
	nextCap := min(size+1, initialBufferBytes)
	if size < 0 {
		nextCap = initialBufferBytes
	}
	for {
		if int64(len(data)) == int64(cap(data)) {
			if len(data) >= chunkBytes {
				return data, false, nil
			}
			// Both the old and the new buffer are held while the data is copied.
			if !a.acquire(nextCap, b) {
				return nil, false, &Error{Op: "read", Kind: Full, Bytes: a.limit}
			}
			oldCap := int64(cap(data))
			data = append(make([]byte, 0, nextCap), data...)
			a.release(oldCap, b)
			if nextCap = min(2*nextCap, limit+1, chunkBytes); int64(cap(data)) <= size {
				nextCap = min(nextCap, size+1)
			}
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case int64(len(data)) > limit:
			return nil, false, &Error{Op: "read", Kind: TooLarge, Bytes: limit}
		case err == io.EOF:
			return data, true, nil
		case err != nil:
			return nil, false, err
		}
	}
}

// readChunks reads the rest of a body, of at most limit bytes. The caller returns the chunks, also
// after an error.
func (a *Account) readChunks(b *receipt, r io.Reader, limit int64) (chunks [][]byte, err error) {
	var total int64
	for {
		last := len(chunks) - 1
		if last < 0 || len(chunks[last]) == chunkBytes {
			chunk := a.takeChunk(b)
			if chunk == nil {
				return chunks, &Error{Op: "read", Kind: Full, Bytes: a.limit}
			}
			chunks = append(chunks, chunk)
			last++
		}
		chunk := chunks[last]
		n, err := r.Read(chunk[len(chunk):chunkBytes])
		chunks[last] = chunk[:len(chunk)+n]
		total += int64(n)
		switch {
		case total > limit:
			return chunks, &Error{Op: "read", Kind: TooLarge, Bytes: limit}
		case err == io.EOF:
			return chunks, nil
		case err != nil:
			return chunks, err
		}
	}
}

// takeChunk returns an empty chunk for a body, nil if there is no memory.
func (a *Account) takeChunk(b *receipt) []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	var chunk []byte
	if last := len(a.free) - 1; last >= 0 {
		chunk, a.free = a.free[last], a.free[:last]
	}
	if !a.tryAcquire(chunkBytes, b) {
		return nil
	}
	if chunk == nil {
		chunk = make([]byte, 0, chunkBytes)
	}
	return chunk
}

// putChunks returns the chunks of a body.
func (a *Account) putChunks(b *receipt, chunks [][]byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, chunk := range chunks {
		a.releaseLocked(chunkBytes, b)
		if a.held+int64(len(a.free)+1)*chunkBytes <= a.limit {
			a.free = append(a.free, chunk[:0])
		}
	}
}

// acquire is tryAcquire for a caller that does not hold mu.
func (a *Account) acquire(bytes int64, b *receipt) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.tryAcquire(bytes, b)
}

// release releases a buffer of a body.
func (a *Account) release(bytes int64, b *receipt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.releaseLocked(bytes, b)
}

// releaseLocked is release for a caller that holds mu.
func (a *Account) releaseLocked(bytes int64, b *receipt) {
	b.acquired -= bytes
	if b.isAborted {
		a.aborting -= bytes
		return
	}
	a.held -= bytes
	if b.abort != nil {
		a.yielding -= bytes
	}
}
