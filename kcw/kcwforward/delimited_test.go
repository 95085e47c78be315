package kcwforward_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"kingcupwick.example/kcw/kcwroute"
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

// delimitedByClose writes an answer without a length, of which only the end of the connection
// is the end.
func delimitedByClose(e *exchange, status int, header, body string) {
	fmt.Fprintf(e.conn, "HTTP/1.1 %d X\r\nAttempt: %s\r\nSeal: own\r\n%s\r\n%s", status, e.Header.Get("Attempt"), header, body)
}

// TestCloseDelimitedAnswerGetsNoLength checks that an answer that ends with its connection
// ends with that of the caller, where it could have been cut by its upstream.
func TestCloseDelimitedAnswerGetsNoLength(t *testing.T) {
	for _, test := range []struct {
		name   string
		route  kcwroute.Route
		status int
		header string
		body   string
	}{
		{"answer", once, 200, "", "half"},
		{"empty answer", once, 200, "", ""},
		{"empty answer, idempotent", repeatable, 200, "", ""},
		{"refusal", once, 404, "", "half"},
		{"failure", once, 500, "", "half"},
		{"failure everywhere", repeatable, 500, "", "half"},
		{"no event stream", stream, 200, "Content-Type: application/json\r\n", "{"},
		{"events", stream, 200, eventStream, event1 + event2},
		{"events without a type", resumable, 200, "", event1 + event2},
	} {
		for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
			f := newFixture(t, 2, test.route, func(e *exchange) {
				delimitedByClose(e, test.status, test.header, test.body)
				e.closeConn()
			})
			got, err := f.callRaw(http.MethodPost, proto)
			want := rawAnswer{status: test.status, seal: "own", body: test.body, isWhole: true, endsWithConn: true}
			if err != nil || got != want {
				t.Errorf("%s, %s caller: got %+v, %v; want %+v", test.name, proto, got, err, want)
			}
		}
	}
}

// TestRouterThatEndsCutsNoAnswerUnseen checks that a stream that ends with the caller's
// connection does not look whole if the server closes that connection.
func TestRouterThatEndsCutsNoAnswerUnseen(t *testing.T) {
	for _, test := range []struct {
		proto string
		start func(e *exchange)
	}{
		{"HTTP/1.1", func(e *exchange) { delimitedByClose(e, 200, eventStream, event1) }},
		{"HTTP/1.0", func(e *exchange) { delimitedByClose(e, 200, eventStream, event1) }},
		{"HTTP/1.0", func(e *exchange) { e.events(false, event1) }},
	} {
		f := newFixture(t, 1, stream, test.start)
		conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(conn, "POST /a/x %s\r\nHost: host.example\r\nAttempt: id-1\r\nKey: key\r\n\r\n", test.proto)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(response.Body, make([]byte, len(event1))); err != nil {
			t.Fatal(err)
		}
		if err := f.server.Config.Close(); err != nil {
			t.Error(err)
		}
		if rest, err := io.ReadAll(response.Body); err == nil {
			t.Errorf("%s caller: the stream ends after one event and %q, and looks whole", test.proto, rest)
		}
		_ = conn.Close()
		f.closeUpstreams()
	}
}

// TestResetSeenByWriterEndsNoAnswer checks that an answer that ends with its connection is not
// whole if that was reset, also where the kernel reports the reset to the one who writes the
// request and an end to the one who reads the answer.
func TestResetSeenByWriterEndsNoAnswer(t *testing.T) {
	const calls = 40
	for range calls {
		t.Run("call", func(t *testing.T) {
			f := newFixture(t, 1, once, func(e *exchange) {
				delimitedByClose(e, 200, "", "half")
				_ = e.conn.(*net.TCPConn).SetLinger(0)
				e.closeConn()
			})
			response, body, err := f.call(t, http.MethodPost, strings.Repeat("x", maxBodyBytes), "Leave-Body", "1")
			if err == nil && response.StatusCode != http.StatusBadGateway {
				t.Errorf("got status %d and %q", response.StatusCode, body)
			}
		})
	}
}
