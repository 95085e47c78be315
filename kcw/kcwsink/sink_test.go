package kcwsink_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwsink"
)

// gate is a writer that waits until it is opened.
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

func TestSink(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	s := kcwsink.New(kcwsink.Config{Writer: g, MaxBytes: 100})
	const lines = 1000
	for range lines {
		if n, err := s.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatalf("write gave %d, %v", n, err)
		}
	}
	if s.Dropped() == 0 {
		t.Error("nothing was dropped although the writer stands still")
	}
	close(g.open)
	s.Close()
	_, _ = s.Write([]byte("late\n"))
	if got := strings.Count(g.got.String(), "line\n") + int(s.Dropped()); got != lines+1 {
		t.Errorf("%d lines written or dropped, want %d", got, lines+1)
	}
	if s.Written() != int64(g.got.Len()) {
		t.Errorf("counted %d bytes of %d", s.Written(), g.got.Len())
	}
}

// collector keeps no more than the first bytes of each write.
type collector struct {
	most int
	got  bytes.Buffer
}

func (c *collector) Write(p []byte) (int, error) {
	c.got.Write(p[:min(len(p), c.most)])
	return len(p), nil
}

// TestWholeLines checks that no line is lost by a collector that keeps 8 KiB of a
// write, which is what lines of one batch were lost by.
func TestWholeLines(t *testing.T) {
	c := &collector{most: 8 << 10}
	s := kcwsink.New(kcwsink.Config{Writer: c, MaxBytes: 1 << 20, Pause: time.Millisecond})
	var want bytes.Buffer
	for i := range 500 {
		line := strings.Repeat("x", i%900) + "\n"
		if i == 250 {
			line = strings.Repeat("y", 6000) + "\n"
		}
		want.WriteString(line)
		_, _ = s.Write([]byte(line))
	}
	s.Close()
	if !bytes.Equal(c.got.Bytes(), want.Bytes()) {
		t.Errorf("%d bytes collected of %d", c.got.Len(), want.Len())
	}
	if s.Dropped() != 0 {
		t.Errorf("%d lines dropped", s.Dropped())
	}
}
