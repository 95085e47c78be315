package kcwlogwriter_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwlogwriter"
)

// gate is a writer that blocks until open is closed.
type gate struct {
	open chan struct{}
	mu   sync.Mutex
	got  bytes.Buffer
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.got.Write(p)
}

func TestWriter(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	w := kcwlogwriter.New(kcwlogwriter.Config{Writer: g, MaxBytes: 100})
	const lines = 1000
	for range lines {
		if n, err := w.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatalf("write gave %d, %v", n, err)
		}
	}
	if w.Dropped() == 0 {
		t.Error("no line was dropped although the writer blocks")
	}
	close(g.open)
	w.Close()
	_, _ = w.Write([]byte("late\n"))
	if got := strings.Count(g.got.String(), "line\n") + int(w.Dropped()); got != lines+1 {
		t.Errorf("%d lines written or dropped, want %d", got, lines+1)
	}
	if w.Written() != int64(g.got.Len()) {
		t.Errorf("Written is %d, want %d", w.Written(), g.got.Len())
	}
}

// collector keeps only the first limit bytes of each write.
type collector struct {
	limit int
	got   bytes.Buffer
}

func (c *collector) Write(p []byte) (int, error) {
	c.got.Write(p[:min(len(p), c.limit)])
	return len(p), nil
}

// TestWholeLines checks that a collector that keeps only 8 KiB of each write receives
// every line. Such a collector would lose lines if a batch were one write.
func TestWholeLines(t *testing.T) {
	c := &collector{limit: 8 << 10}
	w := kcwlogwriter.New(kcwlogwriter.Config{Writer: c, MaxBytes: 1 << 20, Pause: time.Millisecond})
	var want bytes.Buffer
	for i := range 500 {
		line := strings.Repeat("x", i%900) + "\n"
		if i == 250 {
			line = strings.Repeat("y", 6000) + "\n"
		}
		want.WriteString(line)
		_, _ = w.Write([]byte(line))
	}
	w.Close()
	if !bytes.Equal(c.got.Bytes(), want.Bytes()) {
		t.Errorf("collected %d bytes, want %d", c.got.Len(), want.Len())
	}
	if w.Dropped() != 0 {
		t.Errorf("%d lines dropped", w.Dropped())
	}
}
