package kcwcontrol

import (
	"sync"
	"time"
)

const (
	// documentPart is the part of the host's link that documents and lists may take;
	// reports and the log need the rest.
	documentPart = 0.6
	// documentBurst is for how long documents may be sent ahead of that rate, well below
	// the time after which a router gives a call up.
	documentBurst = 100 * time.Millisecond
)

// sendPace spreads documents and lists over the link of the leader's host. It answers
// hundreds of routers that ask for a new document at once: sent to all of them side by
// side over a link that is full, it reaches none before its call ends, and all ask
// again.
type sendPace struct {
	// bytesPerSecond is the rate of the link, zero if it has no bound.
	bytesPerSecond float64

	mu sync.Mutex
	// freeAt is when what was allowed so far has been sent.
	freeAt time.Time
}

// allow reports whether so many bytes may be sent at now. A router that gets none asks
// again with its next report.
func (p *sendPace) allow(bytes int, now time.Time) bool {
	if p.bytesPerSecond <= 0 {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.freeAt.Before(now) {
		p.freeAt = now
	}
	if p.freeAt.Sub(now) > documentBurst {
		return false
	}
	p.freeAt = p.freeAt.Add(time.Duration(float64(bytes) / (documentPart * p.bytesPerSecond) * float64(time.Second)))
	return true
}
