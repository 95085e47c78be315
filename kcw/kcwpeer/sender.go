// Package kcwpeer sends messages to the other replicas of a group over
// connect: one goroutine and one connection for each of them, and a bounded
// queue that drops messages rather than block.
package kcwpeer

import (
	"sync"
	"sync/atomic"
	"time"

	"kingcupwick.example/kcw/kcwpb"
)

// Defaults of Config.
const (
	defaultTimeout    = 250 * time.Millisecond
	defaultIdle       = time.Minute
	defaultQueueBytes = 32 << 20
)

// Config is what a Sender needs.
type Config struct {
	// Group is the name of the group, sent along with every batch.
	Group string
	// Key is the bearer key of the system's own processes.
	Key string
	// Timeout is the longest that a call may take before its connection is
	// given up and a new one made, 250 ms if zero. It should be shorter than
	// the election timeout of the group.
	Timeout time.Duration
	// Idle is how long a connection is kept that nothing is sent over, one
	// minute if zero.
	Idle time.Duration
	// QueueBytes bounds the messages that wait for one replica, 32 MiB if zero.
	QueueBytes int
}

// Sender sends messages to other replicas. Its methods may be called at the
// same time. Lock order: mu before the mutex of a link.
type Sender struct {
	cfg  Config
	sent atomic.Int64

	mu     sync.Mutex
	links  map[string]*link
	closed bool
}

// New returns a Sender. The error is an *Error.
func New(cfg Config) (*Sender, error) {
	if cfg.Group == "" {
		return nil, invalid("new", "no group")
	}
	if cfg.Timeout < 0 || cfg.Idle < 0 || cfg.QueueBytes < 0 {
		return nil, invalid("new", "negative bound")
	}
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.Idle == 0 {
		cfg.Idle = defaultIdle
	}
	if cfg.QueueBytes == 0 {
		cfg.QueueBytes = defaultQueueBytes
	}
	return &Sender{cfg: cfg, links: map[string]*link{}}, nil
}

// Send queues messages for the replica to. It does not block. Messages may be
// lost, in which case all that the queue held go, the oldest first.
func (s *Sender) Send(to *kcwpb.Member, msgs []*kcwpb.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	l := s.links[to.Address]
	if l == nil {
		l = newLink(s, to.Address)
		s.links[to.Address] = l
		go l.run()
	}
	l.push(msgs)
}

// Sent returns the bytes of all batches sent so far, before HTTP's framing.
func (s *Sender) Sent() int64 {
	return s.sent.Load()
}

// Close drops what is queued and closes all connections.
func (s *Sender) Close() error {
	s.mu.Lock()
	links := s.links
	s.links = nil
	s.closed = true
	s.mu.Unlock()
	for _, l := range links {
		l.stop()
	}
	for _, l := range links {
		<-l.done
	}
	return nil
}

// remove forgets l if nothing waits in it, and reports whether it did.
func (s *Sender) remove(l *link) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !l.isEmpty() {
		return false
	}
	if s.links[l.address] == l {
		delete(s.links, l.address)
	}
	return true
}
