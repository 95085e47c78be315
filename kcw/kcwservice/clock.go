package kcwservice

import (
	"sync"
	"time"
)

// commandClock returns the times of commands. It starts at the newest applied time
// or at the wall clock, whichever is later, and then advances with the monotonic
// clock. A step of the wall clock therefore neither ends leases early nor stops
// the rate limits until real time has caught up.
type commandClock struct {
	mu      sync.Mutex
	lastNow time.Time
	at      int64
}

// next returns the time of a command at now, in nanoseconds since the Unix
// epoch. Applied is the time of the newest applied command.
func (c *commandClock) next(now time.Time, applied int64) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastNow.IsZero() {
		c.at = now.UnixNano()
	} else if elapsed := now.Sub(c.lastNow); elapsed > 0 {
		c.at += int64(elapsed)
	}
	c.lastNow = now
	c.at = max(c.at, applied)
	return c.at
}
