// Package kcwgate bounds how many calls a server works on at the same time, so that calls that
// come faster than it answers neither delay each other nor its other work. Callers beyond the
// bound wait in order for a short time, and are refused after that.
package kcwgate

import (
	"context"
	"sync"
	"time"
)

// Config configures a Gate. Every field is needed.
type Config struct {
	// Limit is the number of calls in progress at the same time.
	Limit int
	// MaxWait bounds the wait of a call for its turn. It is a part of the time after which
	// callers give up, so that the work for an admitted call is not in vain.
	MaxWait time.Duration
}

// Kind classifies an Error.
type Kind int

// Kinds of errors: the call has waited for MaxWait, or its caller has gone.
const (
	Busy Kind = iota + 1
	Canceled
)

// Error is the error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error describes the failure.
func (e *Error) Error() string { return "kcwgate: " + e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Stats are the calls of a Gate.
type Stats struct {
	// Active and Waiting are the calls in progress and those that wait for their turn.
	Active, Waiting int
	// Admitted and Refused count calls since the start.
	Admitted, Refused int64
}

// Gate admits calls. It is safe for concurrent use.
type Gate struct {
	cfg Config

	mu    sync.Mutex
	stats Stats
	// queue holds the calls that wait, in the order of arrival. The channel of a call is closed
	// when it is admitted.
	queue []chan struct{}
}

// New returns a Gate without calls.
func New(cfg Config) *Gate { return &Gate{cfg: cfg} }

// Enter admits a call, after a wait if others are in progress. The caller of Enter calls Leave
// at the end of an admitted call. The error is an *Error.
func (g *Gate) Enter(ctx context.Context) error {
	turn := g.join()
	if turn == nil {
		return nil
	}
	timer := time.NewTimer(g.cfg.MaxWait)
	defer timer.Stop()
	kind, cause := Busy, context.DeadlineExceeded
	select {
	case <-turn:
		return nil
	case <-timer.C:
	case <-ctx.Done():
		kind, cause = Canceled, ctx.Err()
	}
	if !g.abandon(turn, kind) {
		// It was admitted at the same time.
		return nil
	}
	return &Error{Op: "enter", Kind: kind, Err: cause}
}

// join admits a call at once and returns nil, or queues it and returns the channel of its turn.
func (g *Gate) join() chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stats.Active < g.cfg.Limit {
		g.stats.Active++
		g.stats.Admitted++
		return nil
	}
	turn := make(chan struct{})
	g.queue = append(g.queue, turn)
	return turn
}

// abandon removes a call from the queue. It returns false if the call has been admitted.
func (g *Gate) abandon(turn chan struct{}, kind Kind) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, waiting := range g.queue {
		if waiting == turn {
			g.queue = append(g.queue[:i], g.queue[i+1:]...)
			if kind == Busy {
				g.stats.Refused++
			}
			return true
		}
	}
	return false
}

// Leave ends an admitted call and admits the one that has waited longest.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.queue) == 0 {
		g.stats.Active--
		return
	}
	g.stats.Admitted++
	close(g.queue[0])
	g.queue = g.queue[1:]
}

// Stats returns the current calls.
func (g *Gate) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	stats := g.stats
	stats.Waiting = len(g.queue)
	return stats
}
