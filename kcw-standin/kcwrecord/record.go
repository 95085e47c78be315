// Package kcwrecord holds a stand-in's log of every request that reached it. The
// log is independent of the state of the system under test, so that the two can
// be compared. Entries are added and closed, never removed.
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

// Request headers that are copied into an entry.
const (
	RequestHeader  = "Kcw-Request"
	CustomerHeader = "Kcw-Customer"
	AttemptHeader  = "Kcw-Attempt"
)

// Outcomes of an entry.
const (
	// Running means that the request has not ended yet.
	Running = "Running"
	// Finished means that the complete answer was written.
	Finished = "Finished"
	// Cancelled means that the caller disconnected before the end.
	Cancelled = "Cancelled"
	// Broken means that an injected fault cut the answer short.
	Broken = "Broken"
	// Refused means that the request was rejected without running.
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
	// BodyDigest is the SHA-256 of the request's body in hexadecimal, the
	// format of all digests.
	BodyDigest string
	// PromptTokens and CompletionTokens are the tokens processed and generated.
	PromptTokens     int64
	CompletionTokens int64
	// AnswerDigest is the digest of the response body as written, TextDigest
	// that of the generated text in it.
	AnswerDigest string
	TextDigest   string
	StartedAt    time.Time
	ClosedAt     time.Time
}

// Kind classifies an Error.
type Kind int

// Write means that an entry could not be written to the file.
const Write Kind = 1

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error describes the failure.
func (e *Error) Error() string { return fmt.Sprintf("kcwrecord: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Record is an append-only log of requests. It is safe for concurrent use.
type Record struct {
	mu      sync.Mutex
	entries []Entry
	out     io.Writer
}

// New returns an empty Record. If out is not nil, each entry is written to it as
// a JSON line when it starts and again when it is closed.
func New(out io.Writer) *Record { return &Record{out: out} }

// Start adds an entry for a request with the given body and returns the entry's
// sequence number. The error is an *Error.
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

// Close calls edit, which completes the entry with the given sequence number, and
// writes the entry. The error is an *Error. Close panics if there is no such entry.
func (r *Record) Close(sequence int, now time.Time, edit func(*Entry)) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry := &r.entries[sequence-1]
	edit(entry)
	entry.ClosedAt = now
	return r.write(*entry)
}

// Entries returns a copy of all entries in the order in which they started.
func (r *Record) Entries() []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Entry{}, r.entries...)
}

// ServeHTTP writes the entries as a JSON array.
func (r *Record) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// A write fails only if the caller has disconnected.
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
