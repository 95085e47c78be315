package kcwserve_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwserve"
)

// TestAuthenticate guards against bodies that are read before the key is checked, and refusals that
// wait for a body.
func TestAuthenticate(t *testing.T) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	server := httptest.NewServer(kcwserve.Authenticate(handler, func(h http.Header) bool { return h.Get("Authorization") == "Bearer k" }))
	defer server.Close()
	for _, test := range []struct {
		name, fields, body string
		want               int
		isLast             bool
	}{
		{"admitted", "Authorization: Bearer k\r\n", "abc", http.StatusOK, false},
		{"without a key", "", "abc", http.StatusUnauthorized, false},
		{"without a key, connect", "Content-Type: application/proto\r\n", "abc", http.StatusUnauthorized, false},
		{"without a key, body stops", "", "a", http.StatusUnauthorized, true},
		{"without a key, expects", "Expect: 100-continue\r\n", "", http.StatusUnauthorized, true},
	} {
		conn, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(time.Minute))
		if _, err := fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\n%sContent-Length: 3\r\n\r\n%s", test.fields, test.body); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatalf("%s: %v", test.name, err)
		}
		if response.StatusCode != test.want || response.Close != test.isLast {
			t.Errorf("%s: status %d, last %v", test.name, response.StatusCode, response.Close)
		}
		_ = conn.Close()
	}
}
