package kcwgateway

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"kingcupwick.example/kcw/kcwmemory"
)

const (
	// BodyCopies is how often the body of a chat completion is held at most while it is parsed:
	// as received, as its members, and as rewritten, in buffers that grow by copying.
	BodyCopies = 7
	// rewrittenCopies of the body stay until the request ends.
	rewrittenCopies = 2
	// requestBytes is the memory in bytes that a request takes besides its body and its answer.
	requestBytes = 4 << 10
	// largeBody is the size in bytes from which bodies are parsed one at a time.
	largeBody = 128 << 10
	// fullLogInterval is the time between two log lines on requests refused for memory.
	fullLogInterval = 5 * time.Second
)

// holding is the memory that one request holds. One goroutine uses it.
type holding struct {
	account *kcwmemory.Account
	held    int64
	// overdraft is shared by all requests. It holds an element while a request holds memory for
	// its answer beyond the limit, which isOver states of this one.
	overdraft chan struct{}
	isOver    bool
}

// tryAcquire acquires more memory and reports whether the limit allowed it.
func (h *holding) tryAcquire(bytes int64) bool {
	if !h.account.TryAcquire(bytes) {
		return false
	}
	h.held += bytes
	return true
}

// acquireAnswer acquires memory for the answer of an upstream, which can't be refused any more.
// One request at a time gets it beyond the limit, until its answer is delivered; others wait. The
// error is that of ctx.
func (h *holding) acquireAnswer(ctx context.Context, bytes int64) error {
	if h.tryAcquire(bytes) {
		return nil
	}
	if !h.isOver {
		select {
		case h.overdraft <- struct{}{}:
			h.isOver = true
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	h.acquire(bytes)
	return nil
}

// acquire acquires memory that is held already.
func (h *holding) acquire(bytes int64) {
	h.account.Acquire(bytes)
	h.held += bytes
}

func (h *holding) release(bytes int64) {
	h.account.Release(bytes)
	h.held -= bytes
}

// deliver calls write, which writes the answer to the caller. If others need the memory meanwhile,
// those whose answers have taken most for longest are cut.
func (h *holding) deliver(deadline *writeDeadline, write func()) {
	end := h.account.Yield(h.held, deadline.cut)
	defer end()
	h.endOverdraft()
	write()
}

func (h *holding) endOverdraft() {
	if h.isOver {
		<-h.overdraft
		h.isOver = false
	}
}

// releaseAll releases what the request holds at its end.
func (h *holding) releaseAll() {
	h.endOverdraft()
	h.release(h.held)
}

// answerReader reads an answer of unknown length and acquires memory for it. The buffers of
// io.ReadAll grow by copying.
type answerReader struct {
	io.Reader
	ctx    context.Context
	memory *holding
}

// Read reads and acquires twice as much memory.
func (r *answerReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if held := r.memory.acquireAnswer(r.ctx, 2*int64(n)); held != nil {
		return n, held
	}
	return n, err
}

// readAll reads an answer to a request with the given method, at most one byte more than limit.
func (h *holding) readAll(ctx context.Context, method string, resp *http.Response, limit int64) ([]byte, error) {
	size := resp.ContentLength
	if size < 0 || size > limit || method == http.MethodHead || !mayHaveBody(resp.StatusCode) {
		return io.ReadAll(&answerReader{io.LimitReader(resp.Body, limit+1), ctx, h})
	}
	if err := h.acquireAnswer(ctx, size); err != nil {
		return nil, err
	}
	body := make([]byte, size)
	n, err := io.ReadFull(resp.Body, body)
	if err == io.EOF && size > 0 {
		err = io.ErrUnexpectedEOF
	}
	return body[:n], err
}

// writeDeadline is the deadline of writes to a caller. It is safe for concurrent use.
type writeDeadline struct {
	control *http.ResponseController

	mu    sync.Mutex
	isCut bool
}

// set sets the deadline, unless the caller has been cut.
func (d *writeDeadline) set(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.isCut {
		// Only the writers of tests don't support deadlines.
		_ = d.control.SetWriteDeadline(at)
	}
}

// cut makes writes fail.
func (d *writeDeadline) cut() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isCut = true
	_ = d.control.SetWriteDeadline(time.Unix(1, 0))
}

// parseChat is admitChat within the bound on memory. Large bodies are parsed one at a time, as what
// is left of one is collected later; ctx ends when the caller leaves meanwhile.
func (g *Gateway) parseChat(ctx context.Context, req *request, body []byte, now time.Time) *refusal {
	size := int64(len(body))
	if size > largeBody {
		g.parsing.Lock()
		defer g.parsing.Unlock()
		if ctx.Err() != nil {
			return refuse(codeCallerGone, g.cfg.Now(), "").withOutcome(notRun, req.repeatable)
		}
	}
	if !req.memory.tryAcquire((BodyCopies - 1) * size) {
		g.logFull("parse")
		return refuse(codeMemoryFull, g.cfg.Now(), "")
	}
	refused := g.admitChat(req, body, now)
	req.memory.release((BodyCopies - rewrittenCopies) * size)
	return refused
}

// logFull logs, at intervals, that requests were refused for memory.
func (g *Gateway) logFull(step string) {
	refused := g.fullRefusals.Add(1)
	now := g.cfg.Now()
	last := g.fullLoggedAt.Load()
	if last != nil && now.Sub(*last) < fullLogInterval || !g.fullLoggedAt.CompareAndSwap(last, &now) {
		return
	}
	klog.InfoS("Requests refused for memory", "Step", step, "HeldBytes", g.cfg.Memory.Held(), "Refused", refused)
}
