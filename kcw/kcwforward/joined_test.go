package kcwforward_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
)

// TestPartOfHeadDoesNotJoinAnswer checks that an earlier answer that broke off at any byte of
// its head does not change the status or the header of the answer that follows it.
func TestPartOfHeadDoesNotJoinAnswer(t *testing.T) {
	const attempt = "Attempt: id-1\r\n"
	for _, lead := range []string{
		"HTTP/1.1 503 Some reason\r\nOther: value\r\nSeal: lead\r\nNot-Run: 1\r\nContent-Type: text/plain\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n",
		"HTTP/1.1 200 OK\r\n" + attempt + "Seal: lead\r\nTrailer: Name\r\nTransfer-Encoding: chunked\r\nContent-Type: text/plain\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + attempt + "Trailer: Name\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n",
	} {
		for _, answer := range []struct {
			status      int
			interim     string
			header, end string
		}{
			{200, "", "Seal: own\r\nContent-Length: 5\r\n\r\n", "whole"},
			{200, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", "Seal: own\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nwhole\r\n0\r\n\r\n"},
			{500, "", "Seal: own\r\nContent-Length: 5\r\n\r\n", "whole"},
		} {
			for _, isKept := range []bool{true, false} {
				for cut := 1; cut <= len(lead); cut++ {
					what := fmt.Sprintf("%d after %q", answer.status, lead[:cut])
					t.Run(what, func(t *testing.T) {
						f := newJoined(t, isKept, func(e *exchange) {
							_, _ = io.WriteString(e.conn, lead[:cut])
							_, _ = fmt.Fprintf(e.conn, "%sHTTP/1.1 %d X\r\n%s%s%s", answer.interim, answer.status, attempt, answer.header, answer.end)
							e.closeConn()
						})
						got, err := f.callRaw(http.MethodPost, "HTTP/1.1")
						isOwn := got.status == answer.status && got.seal == "own" && got.body == "whole"
						if err != nil || !isOwn && got.status != http.StatusBadGateway {
							t.Errorf("got %+v, %v", got, err)
						}
					})
				}
			}
		}
	}
}

// newJoined returns a fixture with one upstream, whose connection has carried a request if
// isKept is set.
func newJoined(t *testing.T, isKept bool, script func(e *exchange)) *fixture {
	t.Helper()
	if isKept {
		return newKept(t, 1, once, script)
	}
	return newFixture(t, 1, once, script)
}
