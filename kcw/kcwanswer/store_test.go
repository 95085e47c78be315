package kcwanswer

import (
	"errors"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwpb"
)

func part(body string) *kcwpb.AnswerPart {
	return &kcwpb.AnswerPart{Status: 200, Body: []byte(body), Last: true}
}

func TestGet(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	s := New(Config{Retention: time.Minute, Now: func() time.Time { return now }})
	s.Put("a", "1", []byte("d"), part("first"), 0)
	s.Put("a", "2", []byte("d"), part("second"), time.Hour)
	for _, test := range []struct {
		name, customer, request, digest string
		after                           time.Duration
		body                            string
		kind                            Kind
	}{
		{"same request", "a", "1", "d", 0, "first", 0},
		{"other customer", "b", "1", "d", 0, "", KindUnknown},
		{"other identity", "a", "3", "d", 0, "", KindUnknown},
		{"other digest", "a", "1", "e", 0, "", KindMismatch},
		{"at its expiry", "a", "1", "d", time.Minute, "first", 0},
		{"after its expiry", "a", "1", "d", time.Nanosecond, "", KindUnknown},
		{"longer retention", "a", "2", "d", 0, "second", 0},
	} {
		now = now.Add(test.after)
		got, err := s.Get(test.customer, test.request, []byte(test.digest))
		var failure *Error
		if test.kind != 0 && (!errors.As(err, &failure) || failure.Kind != test.kind) {
			t.Errorf("%s: error %v, want kind %d", test.name, err, test.kind)
		}
		if string(got.GetBody()) != test.body {
			t.Errorf("%s: body %q, want %q", test.name, got.GetBody(), test.body)
		}
	}
}

func TestBounds(t *testing.T) {
	for _, test := range []struct {
		name    string
		cfg     Config
		bodies  []string
		answers int
	}{
		{"number", Config{MaxAnswers: 2}, []string{"a", "b", "c"}, 2},
		{"bytes", Config{MaxBytes: 4 * (overheadBytes + 1)}, []string{"a", "b", "c", "d", "e"}, 4},
		{"one too large", Config{MaxBytes: 4 * (overheadBytes + 1)}, []string{"a", "bb"}, 1},
		{"replaced", Config{}, []string{"a", "a"}, 1},
	} {
		s := New(test.cfg)
		for _, body := range test.bodies {
			s.Put("customer", body, nil, part(body), 0)
		}
		answers, bytes := s.Size()
		if answers != test.answers || bytes != int64(answers)*(overheadBytes+1) {
			t.Errorf("%s: %d answers with %d bytes, want %d answers", test.name, answers, bytes, test.answers)
		}
	}
}
