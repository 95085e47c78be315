package kcwcrowd

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// servedWithin bounds how long ordinary callers are refused. It is long beside the limits
	// in time of the servers under test.
	servedWithin = 20 * time.Second
	// requestTimeout bounds an ordinary request.
	requestTimeout = 10 * time.Second
	pollInterval   = 50 * time.Millisecond
)

// Attack is a crowd at a process.
type Attack struct {
	Kind   Kind
	Target *Target
	// PID identifies the process.
	PID int
	// Restart, if it is not nil, starts the process again beside the crowd and returns its new
	// identifier.
	Restart func() int
	// Ordinary returns a request inside all limits, which is to be answered with status 200.
	Ordinary func() *http.Request
	// MaxBytes and MaxDescriptors bound the resident memory and the open files of the process.
	MaxBytes       int64
	MaxDescriptors int
}

// Outcome is how the process bore a crowd.
type Outcome struct {
	// Lives is whether the process still runs.
	Lives bool
	// ResidentBytes and Descriptors are the most memory that was resident and the most files
	// that were open.
	ResidentBytes int64
	Descriptors   int
	// Waited is how long an ordinary request waited beside the crowd.
	Waited time.Duration
	// Sent is the number of connections on which all was sent.
	Sent int64
	// Problems are the bounds that were passed.
	Problems []string
}

// Run lets the crowd send and returns how the process bore it.
func (a Attack) Run() Outcome {
	o := Outcome{Lives: true}
	isServed := func() bool { return Status(a.Ordinary()) == http.StatusOK }
	report := func(format string, values ...any) { o.Problems = append(o.Problems, fmt.Sprintf(format, values...)) }
	if !holdsWithin(servedWithin, isServed) {
		report("no ordinary request was served before")
		return o
	}
	if err := ResetResident(a.PID); err != nil {
		report("%v", err)
	}
	crowd := Start(a.Kind, a.Target)
	observe := func() bool {
		o.Descriptors = max(o.Descriptors, DescriptorCount(a.PID))
		return false
	}
	holdsWithin(servedWithin, func() bool { return observe() || crowd.HasBegun() })
	if a.Restart != nil {
		a.PID = a.Restart()
	}
	start := time.Now()
	if !holdsWithin(servedWithin, func() bool { return observe() || isServed() }) {
		report("no ordinary request was served beside the clients")
	}
	o.Waited = time.Since(start)
	observe()
	crowd.End()
	o.Sent = crowd.Sent()
	if o.Lives = DescriptorCount(a.PID) > 0; !o.Lives {
		report("the process ended")
		return o
	}
	var err error
	if o.ResidentBytes, err = ResidentBytes(a.PID); err != nil {
		report("%v", err)
	}
	if o.ResidentBytes > a.MaxBytes {
		report("%d MB were resident, the process may use %d MB", o.ResidentBytes>>20, a.MaxBytes>>20)
	}
	if o.Descriptors > a.MaxDescriptors {
		report("%d descriptors were open, the process may open %d", o.Descriptors, a.MaxDescriptors)
	}
	if !holdsWithin(servedWithin, isServed) {
		report("no ordinary request was served afterwards")
	}
	return o
}

// String describes the outcome without its problems.
func (o Outcome) String() string {
	return fmt.Sprintf("%d MB resident, %d descriptors, sent %d times, an ordinary request waited %d ms", o.ResidentBytes>>20, o.Descriptors, o.Sent, o.Waited.Milliseconds())
}

// holdsWithin polls until the condition holds and reports whether it did in time.
func holdsWithin(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// DescriptorCount returns the number of open files of a process, zero if it has ended.
func DescriptorCount(pid int) int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(entries)
}

// ResetResident makes the most memory that a process has had resident what it has now.
func ResetResident(pid int) error {
	const resetPeak = "5"
	return os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", pid), []byte(resetPeak), 0o600)
}

// ResidentBytes returns the most memory that a process has had resident, in bytes. The source is
// VmHWM of /proc, proc_pid_status(5).
func ResidentBytes(pid int) (int64, error) {
	path := fmt.Sprintf("/proc/%d/status", pid)
	data, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(data)) {
		if text, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")), 10, 64)
			return kilobytes << 10, err
		}
	}
	return 0, fmt.Errorf("%s has no VmHWM", path)
}

// Status sends a request inside all limits on a new connection and returns the status, zero if
// there is no whole answer.
func Status(request *http.Request) int {
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	response, err := (&http.Client{Timeout: requestTimeout, Transport: transport}).Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}
