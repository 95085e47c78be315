package kcwforward

import (
	"context"
	"net"
	"net/http"
	"syscall"
)

// connKey is the key of the caller's connection in the context of a request.
type connKey struct{}

// ConnContext returns ctx with the connection of a caller. It is meant for the field of that
// name of the http.Server whose handler is the Forwarder. Without it, an answer that ends with
// the caller's connection looks whole if the server or the process ends in the middle of it.
func (f *Forwarder) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// delimitByClose makes the end of the caller's connection the end of the answer, as RFC 9112,
// section 6.3, allows. It must be called before the header is written. Until endAnswer is
// called, whatever closes the connection resets it, so that the answer does not look whole.
func (c *call) delimitByClose() {
	c.event.CloseDelimited = true
	// With this value net/http neither adds a length nor sends chunks. It does not write it.
	c.w.Header().Set("Transfer-Encoding", "identity")
	c.setLinger(0)
}

// endAnswer ends an answer that is whole.
func (c *call) endAnswer() {
	if !c.event.CloseDelimited {
		return
	}
	// What is still buffered must not be lost if the process ends. If it can't be written, the
	// connection is reset.
	if err := http.NewResponseController(c.w).Flush(); err == nil {
		c.setLinger(-1)
	}
}

// abort closes the caller's connection without the end of the answer, which shows the caller
// that there is no whole one. It does not return.
func (c *call) abort() {
	if c.event.CloseDelimited {
		c.resetCaller()
	}
	panic(http.ErrAbortHandler)
}

// lingerer is a TCP connection, or one that wraps it.
type lingerer interface {
	SetLinger(seconds int) error
}

// resetCaller resets the caller's connection.
func (c *call) resetCaller() {
	conn, _, err := http.NewResponseController(c.w).Hijack()
	if err != nil {
		return // The connection is closed already.
	}
	if tcp, ok := conn.(lingerer); ok {
		// Linger fails only on a connection that is closed already.
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// setLinger sets the linger time of the caller's connection in seconds, negative for the
// default.
func (c *call) setLinger(seconds int) {
	if conn, ok := c.r.Context().Value(connKey{}).(lingerer); ok {
		// Linger fails only on a connection that is closed already.
		_ = conn.SetLinger(seconds)
	}
}

// isCloseDelimited reports whether only the end of the connection ends the answer (RFC 9112,
// section 6.3).
func isCloseDelimited(response *http.Response) bool {
	return response.Body != http.NoBody && response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// checkEnd returns an error if the answer, which has been read to its end, ended with a reset
// of its connection.
func (a *attempt) checkEnd(response *http.Response) error {
	if isCloseDelimited(response) && a.conn.IsReset() {
		return syscall.ECONNRESET
	}
	return nil
}
