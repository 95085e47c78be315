package kcwserve

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"kingcupwick.example/kcw/kcwmemory"
)

// unavailableSeconds is the Retry-After of a request for whose body there was no memory. The
// bodies of other processes are received within it.
const unavailableSeconds = "1"

// Receive returns next with requests whose body, of at most limit bytes, has been received whole.
// It refuses compressed ones.
// The memory that bodies hold is acquired from the account. A handler that reads bodies itself
// may keep large buffers of those that stop short of their end.
func Receive(next http.Handler, account *kcwmemory.Account, limit int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		if r.Header.Get("Content-Encoding") != "" {
			// A few kB may decompress to any size. No process of the fleet compresses requests.
			refuse(w, r, http.StatusUnsupportedMediaType, "compressed requests are not accepted")
			return
		}
		control := http.NewResponseController(w)
		most := limit
		if r.ContentLength > 0 {
			most = min(limit, r.ContentLength)
		}
		if r.ContentLength > limit {
			refuse(w, r, http.StatusRequestEntityTooLarge, "the body is too large")
			return
		}
		// The deadline can't be set on a connection that is closed already.
		abort := func() { _ = control.SetReadDeadline(time.Unix(1, 0)) }
		body, acquired, err := account.Receive(http.MaxBytesReader(w, r.Body, most), r.ContentLength, most, abort)
		defer func() { account.Release(acquired) }()
		// The handler decodes a copy.
		size := int64(len(body))
		if err == nil && !account.TryAcquire(size) {
			err = &kcwmemory.Error{Op: "copy", Kind: kcwmemory.Full, Bytes: size}
		} else if err == nil {
			acquired += size
		}
		var memory *kcwmemory.Error
		var large *http.MaxBytesError
		switch {
		case errors.As(err, &large):
			refuse(w, r, http.StatusRequestEntityTooLarge, "the body is too large")
		case errors.As(err, &memory) && memory.Kind == kcwmemory.Full:
			w.Header().Set("Retry-After", unavailableSeconds)
			refuse(w, r, http.StatusServiceUnavailable, "other requests hold all memory that they may")
		case err != nil:
			refuse(w, r, http.StatusBadRequest, "the body can't be read: "+err.Error())
		default:
			r.Body = io.NopCloser(bytes.NewReader(body))
			next.ServeHTTP(w, r)
		}
	})
}

// refuse answers a request whose body was not received whole.
func refuse(w http.ResponseWriter, r *http.Request, status int, text string) {
	closeAfterRefusal(w, r)
	http.Error(w, text, status)
}
