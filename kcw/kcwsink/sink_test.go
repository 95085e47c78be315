package kcwsink_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

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
