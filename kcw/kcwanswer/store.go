// Package kcwanswer keeps finished answers for a bounded time and size, so
// that a retry gets the same bytes. An answer is found only by the customer,
// the request identity and the digest of the request that it answers.
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
	// defaultMaxBytes bounds all bodies together if Config leaves it open.
	defaultMaxBytes = 64 << 20
	// defaultMaxAnswers bounds the number of answers if Config leaves it open.
	defaultMaxAnswers = 10_000
	// defaultRetention is how long an answer is kept if Config leaves it open.
	defaultRetention = 10 * time.Minute
	// overheadBytes is counted for each answer on top of its body.
	overheadBytes = 512
)

// Kind says why there is no answer.
type Kind int

// The kinds of an Error.
const (
	// KindUnknown is a request without a kept answer.
	KindUnknown Kind = iota + 1
	// KindMismatch is an identity that was used for another request.
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

// Config sets up a Store.
type Config struct {
	// MaxBytes bounds all answers together, 64 MiB if zero. An answer larger
	// than a quarter of it is not kept.
	MaxBytes int64
	// MaxAnswers bounds their number, 10,000 if zero.
	MaxAnswers int
	// Retention is how long an answer is kept, ten minutes if zero.
	Retention time.Duration
	// Now is the clock, time.Now if nil.
	Now func() time.Time
}

// Store holds finished answers. It is safe for concurrent use.
type Store struct {
	cfg Config

	mu      sync.Mutex
	answers map[identity]*list.Element
	// oldest holds the *kept of answers, the first kept first.
	oldest *list.List
	bytes  int64
}

type identity struct{ customer, request string }

type kept struct {
	identity identity
	digest   []byte
	answer   *kcwpb.AnswerPart
	until    time.Time
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
	return &Store{cfg: cfg, answers: map[identity]*list.Element{}, oldest: list.New()}
}

// Put keeps the whole answer to a request for retention, or for that of the
// Config if it is zero. The answer must not be changed afterwards. Older
// answers make room; an answer too large to keep is dropped.
func (s *Store) Put(customer, request string, digest []byte, answer *kcwpb.AnswerPart, retention time.Duration) {
	if retention <= 0 {
		retention = s.cfg.Retention
	}
	k := &kept{identity: identity{customer, request}, digest: digest, answer: answer, until: s.cfg.Now().Add(retention)}
	s.mu.Lock()
	defer s.mu.Unlock()
	if element, ok := s.answers[k.identity]; ok {
		s.remove(element)
	}
	if k.size() > s.cfg.MaxBytes/4 {
		return
	}
	s.answers[k.identity] = s.oldest.PushBack(k)
	s.bytes += k.size()
	for s.bytes > s.cfg.MaxBytes || len(s.answers) > s.cfg.MaxAnswers {
		s.remove(s.oldest.Front())
	}
}

// Get returns the answer to a request. The error is an *Error of KindUnknown
// if there is none, and of KindMismatch if the identity was used for a request
// with another digest.
func (s *Store) Get(customer, request string, digest []byte) (*kcwpb.AnswerPart, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	element, ok := s.answers[identity{customer, request}]
	if !ok {
		return nil, &Error{Op: "get", Kind: KindUnknown, Err: eris.New("no answer is kept")}
	}
	k := element.Value.(*kept)
	if s.cfg.Now().After(k.until) {
		s.remove(element)
		return nil, &Error{Op: "get", Kind: KindUnknown, Err: eris.New("the answer is no longer kept")}
	}
	if !kcwkeyring.Equal(k.digest, digest) {
		return nil, &Error{Op: "get", Kind: KindMismatch, Err: eris.New("the identity belongs to another request")}
	}
	return k.answer, nil
}

// Size returns the number of answers kept and their bytes.
func (s *Store) Size() (answers int, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.answers), s.bytes
}

// expire drops the oldest answers whose time is over.
func (s *Store) expire() {
	now := s.cfg.Now()
	for front := s.oldest.Front(); front != nil; front = s.oldest.Front() {
		if !now.After(front.Value.(*kept).until) {
			return
		}
		s.remove(front)
	}
}

func (s *Store) remove(element *list.Element) {
	k := s.oldest.Remove(element).(*kept)
	delete(s.answers, k.identity)
	s.bytes -= k.size()
}

// size returns what the answer counts against the limit, in bytes.
func (k *kept) size() int64 {
	return int64(len(k.answer.GetBody())) + overheadBytes
}
