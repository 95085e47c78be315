// Package kcwfault holds the configuration of the faults that a stand-in injects.
package kcwfault

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Config selects the faults to inject; the zero value selects none. It is encoded
// as JSON, with durations such as "1.5s".
type Config struct {
	// Path limits the faults to requests whose path has this prefix.
	Path string `json:",omitempty"`
	// Count is the number of requests that get the faults, zero for all. It
	// does not apply to Refuse, Ignore and Drain.
	Count int `json:",omitempty"`
	// Delay is the wait before the request starts to run.
	Delay string `json:",omitempty"`
	// Late is the wait between the end of processing and the response.
	Late string `json:",omitempty"`
	// Pause is the time for which the answer stops before it goes on. A stream stops after
	// PauseAfter tokens, another answer in the middle of its body. If PauseAfter is zero,
	// both stop before their first byte.
	Pause      string `json:",omitempty"`
	PauseAfter int    `json:",omitempty"`
	// Silent accepts the request and never answers.
	Silent bool `json:",omitempty"`
	// SilentAfter stalls a stream after this many tokens and keeps the
	// connection open. CutAfter closes the connection instead.
	SilentAfter int `json:",omitempty"`
	CutAfter    int `json:",omitempty"`
	// ShortBody closes the connection in the middle of a response that is not
	// a stream.
	ShortBody bool `json:",omitempty"`
	// Status rejects the request with this HTTP status, without running it.
	Status int `json:",omitempty"`
	// NoUsage omits the token usage from the response.
	NoUsage bool `json:",omitempty"`
	// Refuse closes the listening socket, so that connections are refused.
	Refuse bool `json:",omitempty"`
	// Ignore accepts connections and never reads from them.
	Ignore bool `json:",omitempty"`
	// Drain rejects new requests with 503 and reports the stand-in as draining.
	Drain bool `json:",omitempty"`
}

// SplitAtPause returns the parts of the body of an answer before and after the pause. The first
// part is empty if the answer pauses before its first byte or not at all.
func (c Config) SplitAtPause(body []byte) (before, after []byte) {
	if c.Pause == "" || c.PauseAfter == 0 {
		return nil, body
	}
	return body[:len(body)/2], body[len(body)/2:]
}

// Kind classifies an Error.
type Kind int

// Malformed means that a duration of a Config is invalid.
const Malformed Kind = 1

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error describes the failure.
func (e *Error) Error() string { return fmt.Sprintf("kcwfault: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Injector holds the faults to inject. It is safe for concurrent use.
type Injector struct {
	mu        sync.Mutex
	faults    Config
	remaining int
	onChange  func(Config)
}

// New returns an Injector without faults. If onChange is not nil, Set calls it
// with the new faults, with the Injector locked.
func New(onChange func(Config)) *Injector { return &Injector{onChange: onChange} }

// Set replaces the faults and restarts the count. The error is an *Error.
func (i *Injector) Set(faults Config) error {
	for _, text := range []string{faults.Delay, faults.Late, faults.Pause} {
		if text == "" {
			continue
		}
		if _, err := time.ParseDuration(text); err != nil {
			return &Error{Op: "set", Kind: Malformed, Err: err}
		}
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults, i.remaining = faults, faults.Count
	if i.onChange != nil {
		i.onChange(faults)
	}
	return nil
}

// Current returns the faults last set.
func (i *Injector) Current() Config {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults
}

// Take returns the faults for a request to path and counts the request.
func (i *Injector) Take(path string) Config {
	i.mu.Lock()
	defer i.mu.Unlock()
	drainOnly := Config{Drain: i.faults.Drain}
	if !strings.HasPrefix(path, i.faults.Path) {
		return drainOnly
	}
	if i.faults.Count > 0 {
		if i.remaining == 0 {
			return drainOnly
		}
		i.remaining--
	}
	return i.faults
}

// ServeHTTP returns the faults as JSON. A PUT request replaces them first.
func (i *Injector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		var faults Config
		decoder := json.NewDecoder(r.Body)
		decoder.DisallowUnknownFields()
		err := decoder.Decode(&faults)
		if err == nil {
			err = i.Set(faults)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	// A write fails only if the caller has disconnected.
	_ = json.NewEncoder(w).Encode(i.Current())
}

// Duration parses a duration of a Config that Set has accepted. An empty text
// is zero.
func Duration(text string) time.Duration {
	// Set has checked the text, so the error is always nil.
	duration, _ := time.ParseDuration(text)
	return duration
}
