package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record is what was sent, answered and run, with the time since the start of the run.
type record struct {
	start time.Time
	path  string

	mu    sync.Mutex
	lines []string
}

func newRecord(folder string) *record {
	return &record{start: time.Now(), path: filepath.Join(folder, "record.txt")}
}

// add adds a line.
func (r *record) add(format string, args ...any) {
	line := fmt.Sprintf("%8.3f s  %s", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, line)
}

// addLog adds a line of a daemon's log.
func (r *record) addLog(name, line string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, "log "+name+": "+line)
}

// elapsed returns the time since the start of the run.
func (r *record) elapsed() time.Duration { return time.Since(r.start) }

// write writes the record to its file.
func (r *record) write() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	file, err := os.Create(r.path)
	if err != nil {
		return err
	}
	for _, line := range r.lines {
		if _, err := fmt.Fprintln(file, line); err != nil {
			return err
		}
	}
	return file.Close()
}
