package kcwforward_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// TestOldCallerSeesBrokenStream checks that a stream that breaks off between two events
// does not look whole to an HTTP/1.0 caller, whose answers end with the connection.
func TestOldCallerSeesBrokenStream(t *testing.T) {
	const event = "id: 1\ndata: a\n\n"
	for _, isWhole := range []bool{true, false} {
		f := newFixture(t, 1, stream, func(e *exchange) {
			e.events(isWhole, event)
			if !isWhole {
				e.closeConn()
			}
		})
		conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(conn, "POST /a/x HTTP/1.0\r\nHost: host.example\r\nAttempt: id-1\r\nKey: key\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			// The reset may arrive before the header has been read.
			if isWhole {
				t.Error(err)
			}
			_ = conn.Close()
			continue
		}
		body, err := io.ReadAll(response.Body)
		if isWhole != (err == nil) || isWhole && string(body) != event || errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("whole %v: got %q, %v", isWhole, body, err)
		}
		_ = conn.Close()
	}
}

// TestHalfClosedCallerGetsNoCutAnswerAsWhole checks that a request that ends because its caller
// has closed the sending side of its connection gets nothing that looks like a whole answer.
func TestHalfClosedCallerGetsNoCutAnswerAsWhole(t *testing.T) {
	for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
		arrived := make(chan struct{})
		f := newFixture(t, 1, once, func(*exchange) { close(arrived) })
		conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(conn, "POST /a/x "+proto+"\r\nHost: host.example\r\nAttempt: id-1\r\nKey: key\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		<-arrived
		if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
			t.Fatal(err)
		}
		if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			t.Errorf("%s caller: got status %d with length %d", proto, response.StatusCode, response.ContentLength)
		}
		_ = conn.Close()
		f.closeUpstreams()
	}
}

// TestHalfClosedCallerGetsNoCutStreamAsWhole is like
// TestHalfClosedCallerGetsNoCutAnswerAsWhole, for a stream that has begun.
func TestHalfClosedCallerGetsNoCutStreamAsWhole(t *testing.T) {
	for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
		f := newFixture(t, 1, stream, func(e *exchange) { e.events(false, event1) })
		conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(conn, "POST /a/x "+proto+"\r\nHost: host.example\r\nAttempt: id-1\r\nKey: key\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(response.Body, make([]byte, len(event1))); err != nil {
			t.Fatal(err)
		}
		if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
			t.Fatal(err)
		}
		if rest, err := io.ReadAll(response.Body); err == nil {
			t.Errorf("%s caller: the stream ends after one event and %q, and looks whole", proto, rest)
		}
		_ = conn.Close()
		f.closeUpstreams()
	}
}
