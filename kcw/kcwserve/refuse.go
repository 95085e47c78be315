package kcwserve

import (
	"errors"
	"io"
	"net/http"
	"time"

	"connectrpc.com/connect"
)

const (
	// maxSkippedBytes and maxSkipTime bound the body of a refused request that is read before the
	// refusal, so that the caller can use its connection further.
	maxSkippedBytes = 256 << 10
	maxSkipTime     = 20 * time.Millisecond
)

// SkipBody discards the body of a request that is refused before it is read, and returns the number
// of bytes read. If that takes too long, the connection is closed after the answer; the server
// would otherwise hold the answer back until the body has come. EnableFullDuplex is no remedy: in
// Go 1.26 the server panics if a handler with it leaves a body unread.
func SkipBody(w http.ResponseWriter, r *http.Request) int64 {
	if r.ContentLength == 0 || r.ProtoMajor != 1 {
		return 0
	}
	if r.Header.Get("Expect") != "" {
		// A read would ask the client for the body.
		w.Header().Set("Connection", "close")
		return 0
	}
	control := http.NewResponseController(w)
	var n int64
	err := control.SetReadDeadline(time.Now().Add(maxSkipTime))
	if err == nil {
		n, err = io.CopyN(io.Discard, r.Body, maxSkippedBytes)
	}
	// Otherwise the read deadline stays, since the server reads on when it closes the body.
	if !errors.Is(err, io.EOF) || control.SetReadDeadline(time.Time{}) != nil {
		w.Header().Set("Connection", "close")
	}
	return n
}

var errUnknownKey = errors.New("unknown process key")

// Authenticate returns next for requests whose header is admitted, which has the key of a process.
// Others are refused before their body is read.
func Authenticate(next http.Handler, admits func(http.Header) bool) http.Handler {
	writer := connect.NewErrorWriter()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if admits(r.Header) {
			next.ServeHTTP(w, r)
			return
		}
		SkipBody(w, r)
		if !writer.IsSupported(r) {
			http.Error(w, errUnknownKey.Error(), http.StatusUnauthorized)
			return
		}
		// The write fails only if the client has disconnected.
		_ = writer.Write(w, r, connect.NewError(connect.CodeUnauthenticated, errUnknownKey))
	})
}

// closeAfterRefusal makes a server close the connection after the answer. Over HTTP/2, where other
// requests share it, only the stream ends.
func closeAfterRefusal(w http.ResponseWriter, r *http.Request) {
	if r.ProtoMajor == 1 {
		w.Header().Set("Connection", "close")
	}
}
