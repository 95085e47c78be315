package kcwgateway

import (
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
	// largeBody is the size in bytes from which bodies are parsed one at a time.
	largeBody = 128 << 10
	// fullLogInterval is the time between two log lines on requests refused for memory.
	fullLogInterval = 5 * time.Second
)

// holding is the memory that one request holds.
type holding struct {
	account *kcwmemory.Account
	held    int64
}

// tryAcquire acquires more memory and reports whether the limit allowed it.
func (h *holding) tryAcquire(bytes int64) bool {
	if !h.account.TryAcquire(bytes) {
		return false
	}
	h.held += bytes
	return true
}

// acquire acquires memory that is held already, beyond the limit if need be.
func (h *holding) acquire(bytes int64) {
	h.account.Acquire(bytes)
	h.held += bytes
}

func (h *holding) release(bytes int64) {
	h.account.Release(bytes)
	h.held -= bytes
}

func (h *holding) releaseAll() { h.release(h.held) }

// parseChat is admitChat within the bound on memory. Large bodies are parsed one at a time, as what
// is left of one is collected later.
func (g *Gateway) parseChat(req *request, body []byte, now time.Time) *refusal {
	size := int64(len(body))
	if size > largeBody {
		g.parsing.Lock()
		defer g.parsing.Unlock()
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
