// Package kcwanswer stores finished answers, for a bounded time and in bounded memory,
// so that a retried request gets the same bytes. An answer is returned only to the
// customer, request identity and request digest that it was stored for.
package kcwanswer

import (
	"container/list"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"kingcupwick.example/kcw/kcwkeyring"
	"kingcupwick.example/kcw/kcwpb"
)

const (
	// defaultMaxBytes is the value of Config.MaxBytes if it is not set.
	defaultMaxBytes = 64 << 20
	// defaultMaxAnswers is the value of Config.MaxAnswers if it is not set.
	defaultMaxAnswers = 10_000
	// defaultRetention is the value of Config.Retention if it is not set.
	defaultRetention = 10 * time.Minute
	// overheadBytes is the size counted for each answer in addition to its body.
	overheadBytes = 512
)

// Kind classifies an Error.
type Kind int

// The kinds of an Error.
const (
	// KindUnknown means that no answer to the request is stored.
	KindUnknown Kind = iota + 1
	// KindMismatch means that the identity was used for a request with another digest.
	KindMismatch
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation and its cause.
func (e *Error) Error() string { return "kcwanswer: " + e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Config configures a Store.
type Config struct {
	// MaxBytes bounds the total size of the answers, 64 MiB if zero. An answer
	// larger than a quarter of it is not stored.
	MaxBytes int64
	// MaxAnswers bounds the number of answers, 10,000 if zero.
	MaxAnswers int
	// Retention is how long an answer is stored, ten minutes if zero.
	Retention time.Duration
	// Now returns the current time, time.Now if nil.
	Now func() time.Time
}

// Store holds finished answers. It is safe for concurrent use.
type Store struct {
	cfg Config

	mu      sync.Mutex
	answers map[identity]*list.Element
	// byAge holds the *entry of each answer, oldest first.
	byAge *list.List
	// bytes is the total size of the answers.
	bytes int64
}

// identity is the customer and the identity of a request.
type identity struct{ customer, request string }

// entry is a stored answer.
type entry struct {
	identity  identity
	digest    []byte
	answer    *kcwpb.AnswerPart
	expiresAt time.Time
}

// New returns an empty Store for cfg.
func New(cfg Config) *Store {
	if cfg.MaxBytes <= 0 {
		cfg.MaxBytes = defaultMaxBytes
	}
	if cfg.MaxAnswers <= 0 {
		cfg.MaxAnswers = defaultMaxAnswers
	}
	if cfg.Retention <= 0 {
		cfg.Retention = defaultRetention
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Store{cfg: cfg, answers: map[identity]*list.Element{}, byAge: list.New()}
}

// Put stores the whole answer to a request for the given retention, or for
// Config.Retention if it is zero. The answer must not be changed afterwards. Put evicts
// the oldest answers if a limit is exceeded, and does not store an answer that is too
// large.
func (s *Store) Put(customer, request string, digest []byte, answer *kcwpb.AnswerPart, retention time.Duration) {
	if retention <= 0 {
		retention = s.cfg.Retention
	}
	e := &entry{identity: identity{customer, request}, digest: digest, answer: answer, expiresAt: s.cfg.Now().Add(retention)}
	s.mu.Lock()
	defer s.mu.Unlock()
	if element, ok := s.answers[e.identity]; ok {
		s.remove(element)
	}
	if e.size() > s.cfg.MaxBytes/4 {
		return
	}
	s.answers[e.identity] = s.byAge.PushBack(e)
	s.bytes += e.size()
	for s.bytes > s.cfg.MaxBytes || len(s.answers) > s.cfg.MaxAnswers {
		s.remove(s.byAge.Front())
	}
}

// Get returns the answer to a request. The error is an *Error of KindUnknown if none is
// stored, and of KindMismatch if the identity was used for a request with another digest.
func (s *Store) Get(customer, request string, digest []byte) (*kcwpb.AnswerPart, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	element, ok := s.answers[identity{customer, request}]
	if !ok {
		return nil, &Error{Op: "get", Kind: KindUnknown, Err: eris.New("no answer is kept")}
	}
	e := element.Value.(*entry)
	if s.cfg.Now().After(e.expiresAt) {
		s.remove(element)
		return nil, &Error{Op: "get", Kind: KindUnknown, Err: eris.New("the answer is no longer kept")}
	}
	if !kcwkeyring.Equal(e.digest, digest) {
		return nil, &Error{Op: "get", Kind: KindMismatch, Err: eris.New("the identity belongs to another request")}
	}
	return e.answer, nil
}

// Size returns the number of stored answers and their total size in bytes.
func (s *Store) Size() (answers int, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.answers), s.bytes
}

// expire removes the expired answers that are older than the first one that has not
// expired.
func (s *Store) expire() {
	now := s.cfg.Now()
	for front := s.byAge.Front(); front != nil; front = s.byAge.Front() {
		if !now.After(front.Value.(*entry).expiresAt) {
			return
		}
		s.remove(front)
	}
}

func (s *Store) remove(element *list.Element) {
	e := s.byAge.Remove(element).(*entry)
	delete(s.answers, e.identity)
	s.bytes -= e.size()
}

// size returns the size in bytes that counts against Config.MaxBytes.
func (e *entry) size() int64 {
	return int64(len(e.answer.GetBody())) + overheadBytes
}
