// Package kcwpeer sends messages to the other replicas of a group over Connect RPC.
// Each replica has a goroutine, a connection and a bounded queue that drops messages
// rather than block.
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

// Config configures a Sender.
type Config struct {
	// Group is the name of the group, which is sent with every batch.
	Group string
	// Key is the bearer key of the group's processes. If it is empty none is sent.
	Key string
	// Timeout is the time after which a call is abandoned and its connection
	// replaced, 250 ms if zero. It should be shorter than the group's election
	// timeout.
	Timeout time.Duration
	// Idle is how long an unused connection is kept, 1 min if zero.
	Idle time.Duration
	// QueueBytes bounds the messages queued for one replica, 32 MiB if zero.
	QueueBytes int
}

// Sender sends messages to other replicas. It is safe for concurrent use. Lock
// order: mu before the mutex of a link.
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

// Send queues messages for the replica to. It does not block. If the replica's queue
// is full, all messages in it are dropped.
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

// Sent returns the total size in bytes of the batches sent, without HTTP framing.
func (s *Sender) Sent() int64 {
	return s.sent.Load()
}

// Close drops the queued messages and closes all connections.
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
		<-l.stopped
	}
	return nil
}

// remove removes l if its queue is empty, and reports whether it did.
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
