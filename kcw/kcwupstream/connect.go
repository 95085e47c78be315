package kcwupstream

import (
	"context"
	"net"
	"sync/atomic"
)

// connectKey is the key of a *connecting in a context.
type connectKey struct{}

// connecting is a connection that is opened ahead of its call. Taken is set by
// who gets to use or close it.
type connecting struct {
	upstream *Upstream
	done     chan struct{}
	conn     net.Conn
	err      error
	taken    atomic.Bool
}

// Connect begins to open a connection and returns a context for the one Send
// that will use it. The connection is closed if ctx ends before that Send.
func (u *Upstream) Connect(ctx context.Context) context.Context {
	c := &connecting{upstream: u, done: make(chan struct{})}
	go func() {
		c.conn, c.err = u.dialer.DialContext(ctx, "tcp", u.cfg.Address.String())
		close(c.done)
		<-ctx.Done()
		c.discard()
	}()
	return context.WithValue(ctx, connectKey{}, c)
}

// discard closes the connection unless it was taken.
func (c *connecting) discard() {
	if !c.taken.Swap(true) && c.conn != nil {
		_ = c.conn.Close()
	}
}

// dial returns the connection opened ahead for ctx, or a new one.
func (u *Upstream) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, ok := ctx.Value(connectKey{}).(*connecting)
	if !ok || c.upstream != u {
		return u.dialer.DialContext(ctx, network, address)
	}
	select {
	case <-c.done:
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
	if c.taken.Swap(true) {
		return u.dialer.DialContext(ctx, network, address)
	}
	return c.conn, c.err
}
