package kcwrecord

import (
	"bytes"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, errors.New("no space") }

func TestRecord(t *testing.T) {
	var out bytes.Buffer
	record := New(&out)
	request := httptest.NewRequest("POST", "/receipts", nil)
	request.Header.Set(RequestHeader, "r-1")
	sequence, err := record.Start(request, []byte("body"), time.Unix(1, 0))
	if err != nil || sequence != 1 {
		t.Fatal(sequence, err)
	}
	if err := record.Close(sequence, time.Unix(2, 0), func(e *Entry) { e.Outcome = Finished }); err != nil {
		t.Fatal(err)
	}
	if lines := strings.Count(out.String(), "\n"); lines != 2 {
		t.Errorf("got %d lines, want 2", lines)
	}
	entry := record.Entries()[0]
	if entry.Request != "r-1" || entry.Outcome != Finished || entry.BodyDigest != Digest([]byte("body")) || !entry.ClosedAt.After(entry.StartedAt) {
		t.Errorf("got %+v", entry)
	}
}

func TestWriteFails(t *testing.T) {
	_, err := New(failingWriter{}).Start(httptest.NewRequest("GET", "/", nil), nil, time.Time{})
	var typed *Error
	if !errors.As(err, &typed) || typed.Kind != Write {
		t.Errorf("got %v, want kind Write", err)
	}
}
