package kcwlisten

import (
	"time"

	"k8s.io/klog/v2"
)

// logInterval is the time between two log lines of one event of a server. Clients can cause
// thousands of events in a second.
const logInterval = 5 * time.Second

// log logs an event with the state of the connections, or counts it for the next line.
func (b *Bound) log(event string, err error) {
	now := time.Now()
	b.mu.Lock()
	if now.Sub(b.loggedAt[event]) < logInterval {
		b.unlogged[event]++
		b.mu.Unlock()
		return
	}
	unlogged := b.unlogged[event]
	b.loggedAt[event], b.unlogged[event] = now, 0
	b.mu.Unlock()
	stats := b.limiter.Stats()
	cause := ""
	if err != nil {
		cause = err.Error()
	}
	klog.InfoS(event, "Server", b.cfg.Server, "Open", stats.Open, "MaxConns", b.cfg.MaxConns, "HeldBytes", stats.HeldBytes, "MaxHeldBytes", b.cfg.MaxHeldBytes,
		"Refused", stats.Refused, "Closed", stats.Closed, "Unlogged", unlogged, "Cause", cause)
}
