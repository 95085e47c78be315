// Package kcwsink provides a writer for log lines that never blocks. Lines are queued
// up to a bound and written in batches by one goroutine. When the queue is full they
// are dropped and counted.
package kcwsink

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// maxWriteBytes is the maximum size of one write, unless a single line is longer. It
// is the size up to which a write to a pipe is atomic (PIPE_BUF on Linux). Some log
// collectors keep only the first 8 KiB of each write.
const maxWriteBytes = 4096

// Config configures a Sink.
type Config struct {
	// Writer receives the lines.
	Writer io.Writer
	// MaxBytes bounds the total size of the queued lines.
	MaxBytes int
	// Pause is how long lines are collected before they are written in a batch.
	Pause time.Duration
}

// Sink is an io.Writer that queues lines. It is safe for concurrent use.
type Sink struct {
	cfg     Config
	dropped atomic.Int64
	written atomic.Int64

	mu     sync.Mutex
	queue  []byte
	wake   chan struct{}
	closed bool
	done   chan struct{}
}

// New returns a Sink and starts its goroutine, which runs until Close.
func New(cfg Config) *Sink {
	s := &Sink{cfg: cfg, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go s.run()
	return s
}

// Write queues one line, or drops it if the queue is full. It returns no error.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	if s.closed || len(s.queue)+len(line) > s.cfg.MaxBytes {
		s.mu.Unlock()
		s.dropped.Add(1)
		return len(line), nil
	}
	first := len(s.queue) == 0
	s.queue = append(s.queue, line...)
	s.mu.Unlock()
	if first {
		s.signal()
	}
	return len(line), nil
}

func (s *Sink) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Dropped returns the number of lines dropped.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Written returns the number of bytes written.
func (s *Sink) Written() int64 { return s.written.Load() }

func (s *Sink) run() {
	defer close(s.done)
	var spare []byte
	for range s.wake {
		if !s.isClosed() {
			time.Sleep(s.cfg.Pause)
		}
		s.mu.Lock()
		batch := s.queue
		s.queue = spare[:0]
		closed := s.closed
		s.mu.Unlock()
		for rest := batch; len(rest) > 0; {
			n := wholeLines(rest)
			s.flush(rest[:n])
			rest = rest[n:]
		}
		spare = batch
		if closed {
			return
		}
	}
}

// wholeLines returns the size of as many lines at the beginning of batch as fit into
// one write, and of at least one line.
func wholeLines(batch []byte) int {
	if len(batch) <= maxWriteBytes {
		return len(batch)
	}
	if end := bytes.LastIndexByte(batch[:maxWriteBytes], '\n'); end >= 0 {
		return end + 1
	}
	if end := bytes.IndexByte(batch, '\n'); end >= 0 {
		return end + 1
	}
	return len(batch)
}

// flush writes lines. Those that can't be written are counted as dropped.
func (s *Sink) flush(lines []byte) {
	n, err := s.cfg.Writer.Write(lines)
	s.written.Add(int64(n))
	if err != nil {
		s.dropped.Add(int64(bytes.Count(lines[n:], []byte{'\n'})))
	}
}

func (s *Sink) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// Close writes the queued lines and ends the goroutine. Later lines are dropped.
func (s *Sink) Close() {
	s.mu.Lock()
	wasClosed := s.closed
	s.closed = true
	s.mu.Unlock()
	if !wasClosed {
		s.signal()
	}
	<-s.done
}
