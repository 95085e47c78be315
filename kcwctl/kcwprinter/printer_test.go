package kcwprinter

import (
	"bytes"
	"errors"
	"testing"
	"time"
)

type row struct {
	Customer string
	Tokens   int64
	At       time.Time
}

func TestPrint(t *testing.T) {
	rows := []row{{"parish", 12, time.Unix(0, 0).UTC()}, {"", -1, time.Time{}}}
	for _, test := range []struct {
		format string
		rows   []row
		want   string
	}{
		{Table, rows, "CUSTOMER  TOKENS  AT\nparish    12      1970-01-01T00:00:00Z\n-         -1      -\n"},
		{Table, nil, "CUSTOMER  TOKENS  AT\n"},
		{JSON, nil, "[]\n"},
		{JSON, rows[:1], "[\n  {\n    \"Customer\": \"parish\",\n    \"Tokens\": 12,\n    \"At\": \"1970-01-01T00:00:00Z\"\n  }\n]\n"},
	} {
		var out bytes.Buffer
		printer, err := New(Config{Out: &out, Format: test.format})
		if err != nil {
			t.Fatal(err)
		}
		if err := printer.Print(test.rows); err != nil || out.String() != test.want {
			t.Errorf("%s: got %q %v, want %q", test.format, out.String(), err, test.want)
		}
	}
}

func TestUnknownFormat(t *testing.T) {
	_, err := New(Config{Format: "yaml"})
	var typed *Error
	if !errors.As(err, &typed) || typed.Kind != UnknownFormat {
		t.Errorf("got %v, want kind UnknownFormat", err)
	}
}
