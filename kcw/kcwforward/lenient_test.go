package kcwforward_test

import (
	"io"
	"net/http"
	"testing"
)

// TestLenientHeads checks what is taken from heads that RFC 9112 forbids, or lets a recipient
// repair, on connections that then end.
func TestLenientHeads(t *testing.T) {
	const start, length = "HTTP/1.1 200 OK\r\nAttempt: id-1\r\nSeal: own\r\n", "Content-Length: 5\r\n"
	isOwn := rawAnswer{status: 200, seal: "own", body: "whole", isWhole: true}
	none := rawAnswer{status: 502, isWhole: true}
	for _, test := range []struct {
		name, text string
		want       rawAnswer
	}{
		{"lines that end with a line feed", "HTTP/1.1 200 OK\nAttempt: id-1\nSeal: own\nContent-Length: 5\n\nwhole", isOwn},
		{"folded line", start + "Other: folded\r\n value\r\n" + length + "\r\nwhole", isOwn},
		{"folded length", start + "Content-Length: 5\r\n 5\r\n\r\nwhole", none},
		{"last line without its end", start + "Content-Length: 5", none},
		{"no empty line", start + length, none},
		{"empty line without its line feed", start + length + "\r", none},
		{"carriage return in a value", start + "Other: a\rb\r\n" + length + "\r\nwhole", none},
		{"space before the first field", "HTTP/1.1 200 OK\r\n Attempt: id-1\r\n" + length + "\r\nwhole", none},
		{"space before a colon", start + "Content-Length : 5\r\n\r\nwhole", none},
		{"space before a colon, cut", start + "Content-Length : 5\r\n\r\nwho", none},
		{"field without a colon", start + "Other\r\n" + length + "\r\nwhole", none},
		{"two lengths", start + length + "Content-Length: 3\r\n\r\nwhole", none},
		{"list of lengths", start + "Content-Length: 5, 3\r\n\r\nwhole", none},
		{"sign of a length", start + "Content-Length: +5\r\n\r\nwhole", none},
		{"other transfer coding", start + "Transfer-Encoding: gzip\r\n\r\nwhole", none},
		{"chunks with HTTP/1.0", "HTTP/1.0 200 OK\r\nAttempt: id-1\r\nSeal: own\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", none},
		{"chunks and a length with HTTP/1.0", "HTTP/1.0 200 OK\r\nAttempt: id-1\r\nSeal: own\r\ntransfer-encoding:\r\n chunked\r\n" + length + "\r\nwhole", none},
		{"size of a chunk that ends with a line feed", start + "Transfer-Encoding: chunked\r\n\r\n5\nwhole\r\n0\r\n\r\n", none},
		{"bytes after a chunk", start + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole!\r\n0\r\n\r\n", none},
		{"no last chunk", start + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n", none},
		{"last chunk without its end", start + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n", none},
		{"trailer without its end", start + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nName: value\r\n", none},
	} {
		f := newFixture(t, 1, once, func(e *exchange) {
			_, _ = io.WriteString(e.conn, test.text)
			e.closeConn()
		})
		got, err := f.callRaw(http.MethodPost, "HTTP/1.1")
		if got.status == http.StatusBadGateway {
			got.body = "" // The cause.
		}
		if err != nil || got != test.want {
			t.Errorf("%s: got %+v, %v; want %+v", test.name, got, err, test.want)
		}
	}
}
