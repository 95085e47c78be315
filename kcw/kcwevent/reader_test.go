package kcwevent

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

func TestNext(t *testing.T) {
	for _, test := range []struct {
		name, in string
		data     []string
		kind     Kind
	}{
		{"empty", "", nil, 0},
		{"one", "data: a\n\n", []string{"a"}, 0},
		{"no space", "data:a\n\n", []string{"a"}, 0},
		{"carriage returns", "data: a\r\n\r\ndata: b\r\n\r\n", []string{"a", "b"}, 0},
		{"two lines", "data: a\ndata: b\n\n", []string{"a\nb"}, 0},
		{"other fields", ": hello\nevent: x\nid: 1\ndata: a\n\n", []string{"a"}, 0},
		{"bare data", "data\n\n", []string{""}, 0},
		{"cut in a line", "data: a\n\ndata: b", []string{"a"}, KindTruncated},
		{"cut before the empty line", "data: a\n\ndata: b\n", []string{"a"}, KindTruncated},
		{"too large", "data: " + strings.Repeat("x", 100) + "\n\n", nil, KindTooLarge},
	} {
		for _, source := range []io.Reader{strings.NewReader(test.in), iotest.OneByteReader(strings.NewReader(test.in))} {
			checkEvents(t, test.name, New(Config{Source: source, MaxBytes: 64}), test.data, test.kind)
		}
	}
}

func checkEvents(t *testing.T, name string, r *Reader, want []string, kind Kind) {
	t.Helper()
	for _, data := range want {
		_, got, err := r.Next()
		if err != nil || string(got) != data {
			t.Errorf("%s: Next = %q, %v, want %q", name, got, err, data)
		}
	}
	_, _, err := r.Next()
	var failure *Error
	if kind == 0 && err != io.EOF {
		t.Errorf("%s: end = %v, want EOF", name, err)
	}
	if kind != 0 && (!errors.As(err, &failure) || failure.Kind != kind) {
		t.Errorf("%s: end = %v, want kind %d", name, err, kind)
	}
}

// FuzzNext checks that the concatenated raw events equal the stream.
func FuzzNext(f *testing.F) {
	f.Add([]byte("data: a\n\n"))
	f.Add([]byte("data: a\r\n\r\nid: 3\ndata: b\ndata: c\n\n"))
	f.Add([]byte(": x\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data: cut"))
	f.Fuzz(func(t *testing.T, in []byte) {
		r := New(Config{Source: bytes.NewReader(in), MaxBytes: 1 << 10})
		var all []byte
		for {
			raw, data, err := r.Next()
			if err == io.EOF {
				if !bytes.Equal(all, in) {
					t.Fatalf("events hold %q, want %q", all, in)
				}
				return
			}
			if err != nil {
				return
			}
			if len(data) > len(raw) {
				t.Fatalf("data %q is longer than the event %q", data, raw)
			}
			all = append(all, raw...)
			if !bytes.HasPrefix(in, all) {
				t.Fatalf("events hold %q, which is not a prefix of %q", all, in)
			}
		}
	})
}
