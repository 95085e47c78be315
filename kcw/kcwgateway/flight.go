package kcwgateway

import (
	"bytes"
	"context"
	"sync"

	"kingcupwick.example/kcw/kcwpb"
)

// identity names one request of one customer.
type identity struct{ customer, request string }

// verdict is how a request ended: an answer that is whole and billed, or a
// refusal.
type verdict struct {
	answer  *kcwpb.AnswerPart
	refusal *refusal
}

// flight is one request that this router works on, from its admission until
// its claim is closed. Its fields are guarded by the lock of flights, except
// that verdict is read freely once done is closed.
type flight struct {
	identity identity
	digest   []byte
	cancel   context.CancelCauseFunc
	done     chan struct{}
	verdict  verdict
	decided  bool
	// holds lets the request run to its end without a caller.
	holds bool
	// callers counts the first caller and those attached.
	callers int
}

// flights is the table of requests in flight.
type flights struct {
	mu    sync.Mutex
	table map[identity]*flight
	// idle is closed and renewed whenever the table becomes empty.
	idle chan struct{}
}

func newFlights() *flights {
	return &flights{table: map[identity]*flight{}, idle: make(chan struct{})}
}

// join adds a caller to the flight of id, which begins if there is none. Match
// is false if the flight belongs to another request.
func (t *flights) join(id identity, digest []byte, cancel context.CancelCauseFunc) (f *flight, first, match bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f, ok := t.table[id]
	if !ok {
		f = &flight{identity: id, digest: digest, cancel: cancel, done: make(chan struct{}), callers: 1}
		t.table[id] = f
		return f, true, true
	}
	if !bytes.Equal(f.digest, digest) {
		return nil, false, false
	}
	f.callers++
	return f, false, true
}

// follow adds a caller to the flight of id, if there is one for the digest.
func (t *flights) follow(id identity, digest []byte) *flight {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.table[id]
	if f == nil || !bytes.Equal(f.digest, digest) {
		return nil
	}
	f.callers++
	return f
}

// leave takes a caller off f. When the last one leaves, the request is
// cancelled, unless it runs on without a caller.
func (t *flights) leave(f *flight, cause error) {
	t.mu.Lock()
	f.callers--
	cancels := f.callers == 0 && !f.holds && !f.decided
	t.mu.Unlock()
	if cancels {
		f.cancel(cause)
	}
}

// hold lets f run to its end, even without a caller.
func (t *flights) hold(f *flight) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f.holds = true
}

// decide gives v to all callers of f. The flight stays in the table until end.
func (t *flights) decide(f *flight, v verdict) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if f.decided {
		return
	}
	f.decided = true
	f.verdict = v
	close(f.done)
}

// end removes f.
func (t *flights) end(f *flight) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.table, f.identity)
	if len(t.table) == 0 {
		close(t.idle)
		t.idle = make(chan struct{})
	}
}

// wait returns nil when no request is in flight, or the error of ctx.
func (t *flights) wait(ctx context.Context) error {
	for {
		t.mu.Lock()
		count, idle := len(t.table), t.idle
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
