package kcwcontrol

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	"golang.org/x/sync/semaphore"

	"kingcupwick.example/kcw/kcwserve"
)

const (
	// parseMemory is the fraction of the memory that documents may take while they are parsed.
	parseMemory = 0.3
	// objectBytes and valueBytes are the memory that an object and another value of a document
	// take as parsed and translated. The text itself is held parseCopies times.
	objectBytes, valueBytes, parseCopies = 256, 32, 2
)

// parseCost returns the memory in bytes that a document takes at most while it is parsed.
func parseCost(body []byte) int64 {
	objects, values := bytes.Count(body, []byte{'{'}), bytes.Count(body, []byte{','})
	return parseCopies*int64(len(body)) + objectBytes*int64(objects) + valueBytes*int64(values)
}

// parseLimit bounds the memory of documents that are parsed. A document of a few MB of very many
// short parts takes twenty times its size.
type parseLimit struct {
	limit  int64
	memory *semaphore.Weighted
	// refused counts the documents that were not parsed.
	refused atomic.Int64
}

func newParseLimit(host kcwserve.Host) *parseLimit {
	limit := host.Bytes(parseMemory)
	return &parseLimit{limit: limit, memory: semaphore.NewWeighted(limit)}
}

// parseRefusal is the answer to a document that is not parsed.
type parseRefusal struct {
	status int
	text   string
}

func (r *parseRefusal) write(w http.ResponseWriter) {
	if r.status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", electionRetrySeconds)
	}
	http.Error(w, r.text, r.status)
}

// acquire waits until the document may be parsed, at most until ctx ends. The caller calls release
// once the parsed document is not used any more; further calls have no effect.
func (p *parseLimit) acquire(ctx context.Context, body []byte) (release func(), refused *parseRefusal) {
	cost := parseCost(body)
	if cost > p.limit {
		p.refused.Add(1)
		return nil, &parseRefusal{http.StatusRequestEntityTooLarge, "the document has too many parts for the memory of this host"}
	}
	if err := p.memory.Acquire(ctx, cost); err != nil {
		p.refused.Add(1)
		return nil, &parseRefusal{http.StatusServiceUnavailable, "other documents are being read; this one was not taken"}
	}
	return sync.OnceFunc(func() { p.memory.Release(cost) }), nil
}
