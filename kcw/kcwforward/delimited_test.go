package kcwforward_test

import (
	"fmt"
	"net/http"
	"testing"
)

// TestCloseDelimitedStream checks, for each position, a stream without length and chunks
// that ends there with its connection: it is whole after an event and broken within one.
func TestCloseDelimitedStream(t *testing.T) {
	const a, b = "id: 1\ndata: a\n\n", "id: 2\r\ndata: b\r\n\r\n"
	all := a + b
	for end := range len(all) + 1 {
		f := newFixture(t, 1, stream, func(e *exchange) {
			fmt.Fprintf(e.conn, "HTTP/1.1 200 OK\r\nAttempt: %s\r\n\r\n%s", e.Header.Get("Attempt"), all[:end])
			e.closeConn()
		})
		response, body, err := f.call(t, http.MethodPost, "")
		want := ""
		switch {
		case end == len(all):
			want = all
		case end >= len(a):
			want = a
		}
		isWhole := end == len(a) || end == len(all)
		if isWhole && (err != nil || response.StatusCode != http.StatusOK || body != want) {
			t.Errorf("cut at %d: got %d, %q and error %v, want the whole stream %q", end, response.StatusCode, body, err, want)
		}
		if !isWhole && (response.StatusCode == http.StatusOK && err == nil || response.StatusCode == http.StatusOK && body != want) {
			t.Errorf("cut at %d: got %d, %q and error %v, want a broken stream", end, response.StatusCode, body, err)
		}
	}
}
