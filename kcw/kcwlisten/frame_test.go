package kcwlisten

import (
	"strings"
	"testing"
)

// TestFrameScanner checks that frames are found in whatever pieces they come.
func TestFrameScanner(t *testing.T) {
	const settings, head, data = "\x00\x00\x00\x04\x00\x00\x00\x00\x00", "\x00\x00\x02\x01\x05\x00\x00\x00\x01\x01\x01", "\x00\x01\x00\x00\x00\x00\x00\x00\x01"
	long := data + strings.Repeat("\x01", 256)
	for _, test := range []struct {
		name, text string
		isHTTP2    bool
		want       int64
	}{
		{"HTTP/1.1", "POST / HTTP/1.1\r\n\r\n", false, 0},
		{"begins alike", "PRI * HTTP/1.1\r\n\r\n", false, 0},
		{"preface", preface, true, 0},
		{"requests", preface + settings + head + long + head + settings + head, true, 3*streamBytes + 6*frameBytes},
	} {
		for _, piece := range []int{1, 3, 7, len(test.text)} {
			var s frameScanner
			got := int64(0)
			for rest := test.text; rest != ""; rest = rest[min(piece, len(rest)):] {
				got += s.scan([]byte(rest[:min(piece, len(rest))]))
			}
			if got != test.want || s.isHTTP2() != test.isHTTP2 {
				t.Errorf("%s in pieces of %d: %d bytes, HTTP/2 %v", test.name, piece, got, s.isHTTP2())
			}
		}
	}
}
