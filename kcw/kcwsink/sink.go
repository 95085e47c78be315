// Package kcwsink holds a writer for log lines that never waits: lines are
// queued within a bound, written in batches by one goroutine, and dropped and
// counted when the queue is full.
package kcwsink

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// writeSize is the most bytes of one write, a line longer than this apart: what
// POSIX guarantees a pipe to take in one piece. Some log collectors keep no more
// than twice this of one write.
const writeSize = 4096

// Config configures a Sink.
type Config struct {
	// Writer receives the lines.
	Writer io.Writer
	// MaxBytes bounds the lines that wait.
	MaxBytes int
	// Pause is how long lines are gathered before they are written.
	Pause time.Duration
}

// Sink is an io.Writer that queues. It is safe for concurrent use.
type Sink struct {
	cfg     Config
	dropped atomic.Int64
	written atomic.Int64

	mu      sync.Mutex
	waiting []byte
	wake    chan struct{}
	closed  bool
	done    chan struct{}
}

// New returns a Sink and starts its goroutine, which Close ends.
func New(cfg Config) *Sink {
	s := &Sink{cfg: cfg, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go s.run()
	return s
}

// Write queues one line, or drops it if the queue is full. It returns no error.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	if s.closed || len(s.waiting)+len(line) > s.cfg.MaxBytes {
		s.mu.Unlock()
		s.dropped.Add(1)
		return len(line), nil
	}
	first := len(s.waiting) == 0
	s.waiting = append(s.waiting, line...)
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

// Dropped returns the number of lines dropped, and Written the bytes written.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Written returns the bytes written.
func (s *Sink) Written() int64 { return s.written.Load() }

func (s *Sink) run() {
	defer close(s.done)
	var spare []byte
	for range s.wake {
		if !s.isClosed() {
			time.Sleep(s.cfg.Pause)
		}
		s.mu.Lock()
		batch := s.waiting
		s.waiting = spare[:0]
		closed := s.closed
		s.mu.Unlock()
		for rest := batch; len(rest) > 0; {
			n := wholeLines(rest)
			s.put(rest[:n])
			rest = rest[n:]
		}
		spare = batch
		if closed {
			return
		}
	}
}

// wholeLines returns the size of the lines at the beginning of batch that fit into
// one write, at least one line.
func wholeLines(batch []byte) int {
	if len(batch) <= writeSize {
		return len(batch)
	}
	if end := bytes.LastIndexByte(batch[:writeSize], '\n'); end >= 0 {
		return end + 1
	}
	if end := bytes.IndexByte(batch, '\n'); end >= 0 {
		return end + 1
	}
	return len(batch)
}

// put writes lines. Those that can't be written count as dropped.
func (s *Sink) put(lines []byte) {
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

// Close writes what waits and ends the goroutine. Later lines are dropped.
func (s *Sink) Close() {
	s.mu.Lock()
	again := s.closed
	s.closed = true
	s.mu.Unlock()
	if !again {
		s.signal()
	}
	<-s.done
}
