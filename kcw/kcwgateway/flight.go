package kcwgateway

import (
	"bytes"
	"context"
	"sync"

	"kingcupwick.example/kcw/kcwpb"
)

// flightKey identifies a request of a customer.
type flightKey struct{ customer, request string }

// flightResult is the result that all callers of a flight get: a complete and
// billed answer, or a refusal.
type flightResult struct {
	answer  *kcwpb.AnswerPart
	refusal *refusal
}

// flight is a request that this router executes, from its admission until its claim
// is closed. The lock of flights guards its fields, except that result may be read
// without the lock once done is closed.
type flight struct {
	key      flightKey
	digest   []byte
	cancel   context.CancelCauseFunc
	done     chan struct{}
	result   flightResult
	resolved bool
	// detached lets the request run to its end without a caller.
	detached bool
	// callers counts the first caller and those attached.
	callers int
}

// flights is the table of requests in flight.
type flights struct {
	mu    sync.Mutex
	byKey map[flightKey]*flight
	// idle is closed and replaced whenever byKey becomes empty.
	idle chan struct{}
}

func newFlights() *flights {
	return &flights{byKey: map[flightKey]*flight{}, idle: make(chan struct{})}
}

// join adds a caller to the flight of key, and creates the flight if there is none.
// Match is false if the digest of the flight differs.
func (t *flights) join(key flightKey, digest []byte, cancel context.CancelCauseFunc) (f *flight, first, match bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f, ok := t.byKey[key]
	if !ok {
		f = &flight{key: key, digest: digest, cancel: cancel, done: make(chan struct{}), callers: 1}
		t.byKey[key] = f
		return f, true, true
	}
	if !bytes.Equal(f.digest, digest) {
		return nil, false, false
	}
	f.callers++
	return f, false, true
}

// joinExisting adds a caller to the flight of key and returns the flight. It returns
// nil if there is no such flight or its digest differs.
func (t *flights) joinExisting(key flightKey, digest []byte) *flight {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.byKey[key]
	if f == nil || !bytes.Equal(f.digest, digest) {
		return nil
	}
	f.callers++
	return f
}

// leave removes a caller from f. When the last one leaves, the request is cancelled
// unless it is detached or already resolved.
func (t *flights) leave(f *flight, cause error) {
	t.mu.Lock()
	f.callers--
	cancels := f.callers == 0 && !f.detached && !f.resolved
	t.mu.Unlock()
	if cancels {
		f.cancel(cause)
	}
}

// detach lets f run to its end without a caller.
func (t *flights) detach(f *flight) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f.detached = true
}

// resolve gives the result to all callers of f. Only the first call has an effect.
// The flight stays in the table until remove is called.
func (t *flights) resolve(f *flight, result flightResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if f.resolved {
		return
	}
	f.resolved = true
	f.result = result
	close(f.done)
}

// remove deletes f from the table.
func (t *flights) remove(f *flight) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byKey, f.key)
	if len(t.byKey) == 0 {
		close(t.idle)
		t.idle = make(chan struct{})
	}
}

// waitIdle waits until no request is in flight. It returns the error of ctx if that
// ends first.
func (t *flights) waitIdle(ctx context.Context) error {
	for {
		t.mu.Lock()
		count, idle := len(t.byKey), t.idle
		t.mu.Unlock()
		if count == 0 {
			return nil
		}
		select {
		case <-idle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
