package kcwupstream

import (
	"context"
	"net"
	"sync/atomic"
)

// preconnectionKey is the key of a *preconnection in a context.
type preconnectionKey struct{}

// preconnection is a connection that is opened before the call that uses it.
type preconnection struct {
	upstream *Upstream
	// done is closed when conn and err are set.
	done chan struct{}
	conn net.Conn
	err  error
	// claimed is set by the one goroutine that may use or close conn.
	claimed atomic.Bool
}

// Connect starts to open a connection and returns a context for the one call of Send
// that will use it. The connection is closed if ctx ends before that call. An error of
// opening it is returned by Send.
func (u *Upstream) Connect(ctx context.Context) context.Context {
	c := &preconnection{upstream: u, done: make(chan struct{})}
	go func() {
		c.conn, c.err = u.dialer.DialContext(ctx, "tcp", u.cfg.Address.String())
		close(c.done)
		<-ctx.Done()
		c.discard()
	}()
	return context.WithValue(ctx, preconnectionKey{}, c)
}

// discard closes the connection unless a call has claimed it.
func (c *preconnection) discard() {
	if !c.claimed.Swap(true) && c.conn != nil {
		_ = c.conn.Close()
	}
}

// dial returns the connection that Connect opened for ctx, or opens a new one.
func (u *Upstream) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, ok := ctx.Value(preconnectionKey{}).(*preconnection)
	if !ok || c.upstream != u {
		return forCall(u.dialer.DialContext(ctx, network, address))
	}
	select {
	case <-c.done:
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
	if c.claimed.Swap(true) {
		return forCall(u.dialer.DialContext(ctx, network, address))
	}
	return forCall(c.conn, c.err)
}
