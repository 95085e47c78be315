package kcwcontrol

import (
	"sync"
	"time"
)

const (
	// documentLinkFraction is the fraction of the host's link that documents and lists
	// may take. Reports and the replicated log need the rest.
	documentLinkFraction = 0.6
	// documentBurst bounds the backlog of bytes that were allowed but not sent yet,
	// expressed as the time to send them. It is well below a router's call timeout.
	documentBurst = 100 * time.Millisecond
)

// sendPacer limits the rate at which documents and lists leave the leader's host.
// Hundreds of routers ask for a new document at once. Sent to all of them concurrently,
// it would fill the link and reach none of them before the call times out, and all of
// them would ask again.
type sendPacer struct {
	// bytesPerSecond is the rate of the link, zero if it is unlimited.
	bytesPerSecond float64

	mu sync.Mutex
	// freeAt is when the bytes allowed so far will have been sent.
	freeAt time.Time
}

// allow reports whether the given number of bytes may be sent at now, and if so counts
// them. A router that is denied the bytes asks again with its next report.
func (p *sendPacer) allow(bytes int, now time.Time) bool {
	_, ok := p.reserve(bytes, now, documentBurst)
	return ok
}

// reserve returns when the given number of bytes may be sent, in the order of the calls, and
// counts them. It counts nothing and returns false if their turn comes later than maxDelay
// after now.
func (p *sendPacer) reserve(bytes int, now time.Time, maxDelay time.Duration) (at time.Time, ok bool) {
	if p.bytesPerSecond <= 0 {
		return now, true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.freeAt.Before(now) {
		p.freeAt = now
	}
	if p.freeAt.Sub(now) > maxDelay {
		return time.Time{}, false
	}
	// The burst is sent without a delay.
	at = p.freeAt.Add(-documentBurst)
	if at.Before(now) {
		at = now
	}
	p.freeAt = p.freeAt.Add(time.Duration(float64(bytes) / (documentLinkFraction * p.bytesPerSecond) * float64(time.Second)))
	return at, true
}
