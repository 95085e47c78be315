// Package kcwrecord holds a stand-in's own account of every request that
// reached it, kept apart from what the system under test believes. Entries are
// only added and closed, never removed.
package kcwrecord

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Headers that a stand-in copies into an entry.
const (
	RequestHeader  = "Kcw-Request"
	CustomerHeader = "Kcw-Customer"
	AttemptHeader  = "Kcw-Attempt"
)

// Outcomes of an entry.
const (
	// Running means that the request is not closed yet.
	Running = "Running"
	// Finished means that the whole answer was written.
	Finished = "Finished"
	// Cancelled means that the caller went away before the end.
	Cancelled = "Cancelled"
	// Broken means that an ordered fault kept the answer from being whole.
	Broken = "Broken"
	// Refused means that the request was answered without running.
	Refused = "Refused"
)

// Entry is one request that reached the stand-in.
type Entry struct {
	Sequence int
	Request  string
	Customer string
	Attempt  string
	Method   string
	Path     string
	Outcome  string
	Status   int
	// BodyDigest is the SHA-256 of the request's body in hexadecimal, as the
	// other digests are.
	BodyDigest string
	// PromptTokens and CompletionTokens are what ran.
	PromptTokens     int64
	CompletionTokens int64
	// AnswerDigest is of the body as written, TextDigest of the text in it.
	AnswerDigest string
	TextDigest   string
	StartedAt    time.Time
	ClosedAt     time.Time
}

// Kind classifies an Error.
type Kind int

// Write means that an entry could not be written to the file.
const Write Kind = 1

// Error is returned by this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error describes the failure.
func (e *Error) Error() string { return fmt.Sprintf("kcwrecord: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Record is the account. It may be used by many goroutines at once.
type Record struct {
	mu      sync.Mutex
	entries []Entry
	out     io.Writer
}

// New returns an empty Record, which writes each entry to out as a JSON line
// when it starts and again when it is closed. Out may be nil.
func New(out io.Writer) *Record { return &Record{out: out} }

// Start adds an entry for the request with the given body and returns its
// sequence. The error is an *Error.
func (r *Record) Start(request *http.Request, body []byte, now time.Time) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry := Entry{
		Sequence:   len(r.entries) + 1,
		Request:    request.Header.Get(RequestHeader),
		Customer:   request.Header.Get(CustomerHeader),
		Attempt:    request.Header.Get(AttemptHeader),
		Method:     request.Method,
		Path:       request.URL.Path,
		Outcome:    Running,
		BodyDigest: Digest(body),
		StartedAt:  now,
	}
	r.entries = append(r.entries, entry)
	return entry.Sequence, r.write(entry)
}

// Close completes the entry that Start numbered, by what edit sets. The error
// is an *Error. It panics if there is no such entry.
func (r *Record) Close(sequence int, now time.Time, edit func(*Entry)) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry := &r.entries[sequence-1]
	edit(entry)
	entry.ClosedAt = now
	return r.write(*entry)
}

// Entries returns a copy of all entries in the order of their start.
func (r *Record) Entries() []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Entry{}, r.entries...)
}

// ServeHTTP writes the entries as a JSON array.
func (r *Record) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the reader has gone.
	_ = json.NewEncoder(w).Encode(r.Entries())
}

func (r *Record) write(entry Entry) error {
	if r.out == nil {
		return nil
	}
	line, err := json.Marshal(entry)
	if err == nil {
		_, err = r.out.Write(append(line, '\n'))
	}
	if err != nil {
		return &Error{Op: "write", Kind: Write, Err: eris.Wrap(err, "write an entry")}
	}
	return nil
}

// Digest returns the SHA-256 of data in hexadecimal.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
