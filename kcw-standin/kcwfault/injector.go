// Package kcwfault holds the faults that a stand-in is ordered to show.
package kcwfault

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Config is one order of faults; its zero value orders none. It is written as
// JSON, durations as in "1.5s".
type Config struct {
	// Path limits the order to requests whose path starts so.
	Path string `json:",omitempty"`
	// Count is how many requests the order holds for; zero is all. It does
	// not bound Refuse, Ignore and Drain.
	Count int `json:",omitempty"`
	// Delay passes before the request starts to run.
	Delay string `json:",omitempty"`
	// Late passes between the end of the run and the answer.
	Late string `json:",omitempty"`
	// Silent takes the request and never answers.
	Silent bool `json:",omitempty"`
	// SilentAfter stops a stream after that many tokens and keeps the
	// connection open; CutAfter closes the connection.
	SilentAfter int `json:",omitempty"`
	CutAfter    int `json:",omitempty"`
	// ShortBody closes the connection in the middle of an answer that is not a
	// stream.
	ShortBody bool `json:",omitempty"`
	// Status answers with an error of that status and does not run.
	Status int `json:",omitempty"`
	// NoUsage leaves the token usage out of the answer.
	NoUsage bool `json:",omitempty"`
	// Refuse closes the listening socket.
	Refuse bool `json:",omitempty"`
	// Ignore accepts connections and never reads from them.
	Ignore bool `json:",omitempty"`
	// Drain refuses new requests with 503 and reports draining.
	Drain bool `json:",omitempty"`
}

// Kind classifies an Error.
type Kind int

// Malformed means that an order can't be read.
const Malformed Kind = 1

// Error is returned by this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error describes the failure.
func (e *Error) Error() string { return fmt.Sprintf("kcwfault: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Injector holds the order in force. It may be used by many goroutines at once.
type Injector struct {
	mu      sync.Mutex
	order   Config
	left    int
	changed func(Config)
}

// New returns a Switch without faults. Changed is called with each new order;
// it may be nil.
func New(changed func(Config)) *Injector { return &Injector{changed: changed} }

// Set puts the order in force in place of the one before. The error is an
// *Error.
func (s *Injector) Set(order Config) error {
	for _, text := range []string{order.Delay, order.Late} {
		if text == "" {
			continue
		}
		if _, err := time.ParseDuration(text); err != nil {
			return &Error{Op: "set", Kind: Malformed, Err: err}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.order, s.left = order, order.Count
	if s.changed != nil {
		s.changed(order)
	}
	return nil
}

// Current returns the order in force.
func (s *Injector) Current() Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.order
}

// Take returns the faults that hold for a request of the path and counts it.
func (s *Injector) Take(path string) Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	standing := Config{Drain: s.order.Drain}
	if !strings.HasPrefix(path, s.order.Path) {
		return standing
	}
	if s.order.Count > 0 {
		if s.left == 0 {
			return standing
		}
		s.left--
	}
	return s.order
}

// ServeHTTP answers GET with the order in force and takes a new one by PUT.
func (s *Injector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		var order Config
		decoder := json.NewDecoder(r.Body)
		decoder.DisallowUnknownFields()
		err := decoder.Decode(&order)
		if err == nil {
			err = s.Set(order)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the caller has gone.
	_ = json.NewEncoder(w).Encode(s.Current())
}

// Duration returns how long a duration of an order is; an empty one is zero.
func Duration(text string) time.Duration {
	// Set has accepted the text before.
	pause, _ := time.ParseDuration(text)
	return pause
}
