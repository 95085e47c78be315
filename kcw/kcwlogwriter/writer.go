// Package kcwlogwriter provides a writer for log lines that never blocks. Lines are queued
// up to a bound and written in batches by one goroutine. When the queue is full they
// are dropped and counted.
package kcwlogwriter

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

// Config configures a Writer.
type Config struct {
	// Writer receives the lines.
	Writer io.Writer
	// MaxBytes bounds the total size of the queued lines.
	MaxBytes int
	// Pause is how long lines are collected before they are written in a batch.
	Pause time.Duration
}

// Writer is an io.Writer that queues lines. It is safe for concurrent use.
type Writer struct {
	cfg     Config
	dropped atomic.Int64
	written atomic.Int64

	mu     sync.Mutex
	queue  []byte
	wake   chan struct{}
	closed bool
	done   chan struct{}
}

// New returns a Writer and starts its goroutine, which runs until Close.
func New(cfg Config) *Writer {
	w := &Writer{cfg: cfg, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line, or drops it if the queue is full. It returns no error.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if w.closed || len(w.queue)+len(line) > w.cfg.MaxBytes {
		w.mu.Unlock()
		w.dropped.Add(1)
		return len(line), nil
	}
	wasEmpty := len(w.queue) == 0
	w.queue = append(w.queue, line...)
	w.mu.Unlock()
	if wasEmpty {
		w.signal()
	}
	return len(line), nil
}

func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Dropped returns the number of lines dropped.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Written returns the number of bytes written.
func (w *Writer) Written() int64 { return w.written.Load() }

func (w *Writer) run() {
	defer close(w.done)
	var spare []byte
	for range w.wake {
		if !w.isClosed() {
			time.Sleep(w.cfg.Pause)
		}
		w.mu.Lock()
		batch := w.queue
		w.queue = spare[:0]
		closed := w.closed
		w.mu.Unlock()
		for rest := batch; len(rest) > 0; {
			n := wholeLines(rest)
			w.flush(rest[:n])
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
func (w *Writer) flush(lines []byte) {
	n, err := w.cfg.Writer.Write(lines)
	w.written.Add(int64(n))
	if err != nil {
		w.dropped.Add(int64(bytes.Count(lines[n:], []byte{'\n'})))
	}
}

func (w *Writer) isClosed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closed
}

// Close writes the queued lines and ends the goroutine. Later lines are dropped.
func (w *Writer) Close() {
	w.mu.Lock()
	wasClosed := w.closed
	w.closed = true
	w.mu.Unlock()
	if !wasClosed {
		w.signal()
	}
	<-w.done
}
