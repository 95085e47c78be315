package kcwconn_test

import (
	"errors"
	"net"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwconn"
)

// newPool returns a pool of connections to a listener that sends greeting on each.
func newPool(t *testing.T, now func() time.Time, greeting string) *kcwconn.Pool {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = c.Write([]byte(greeting))
		}
	}()
	pool := kcwconn.New(kcwconn.Config{
		Address: listener.Addr().(*net.TCPAddr).AddrPort(), DialTimeout: 5 * time.Second, SilenceTimeout: time.Second,
		IdleTimeout: 10 * time.Second, MaxIdle: 2, Now: now,
	})
	t.Cleanup(pool.Close)
	return pool
}

func take(t *testing.T, pool *kcwconn.Pool, usedAfter time.Time) *kcwconn.Conn {
	t.Helper()
	c, err := pool.Take(t.Context(), usedAfter)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestKept checks that an idle connection is reused, unless it was last used before
// usedAfter or has been idle for IdleTimeout.
func TestKept(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	pool := newPool(t, func() time.Time { return now }, "")
	pool.Put(take(t, pool, time.Time{}), time.Time{})
	now = now.Add(time.Second)
	c := take(t, pool, time.Time{})
	if !c.Reused || pool.Opened() != 1 {
		t.Errorf("reused %v after %d openings, want the idle connection", c.Reused, pool.Opened())
	}
	pool.Put(c, time.Time{})
	now = now.Add(time.Second)
	if c := take(t, pool, now.Add(-time.Millisecond)); c.Reused {
		t.Error("Take returned a connection that was last used before usedAfter")
	}
	now = now.Add(10 * time.Second)
	if c := take(t, pool, time.Time{}); c.Reused {
		t.Error("a connection was reused after IdleTimeout")
	}
}

// TestUpstreamStatesTime checks that a connection is not reused from the time on that was
// given to Put.
func TestUpstreamStatesTime(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	pool := newPool(t, func() time.Time { return now }, "")
	pool.Put(take(t, pool, time.Time{}), now.Add(2*time.Second))
	now = now.Add(2 * time.Second)
	if c := take(t, pool, time.Time{}); c.Reused {
		t.Error("a connection was reused after the time given to Put")
	}
}

// TestSurplusBytes checks that a connection is not reused if bytes arrived on it that
// belong to no request.
func TestSurplusBytes(t *testing.T) {
	pool := newPool(t, time.Now, "HTTP/1.1 200 OK\r\n\r\n")
	c := take(t, pool, time.Time{})
	if _, err := c.Reader.Peek(1); err != nil {
		t.Fatal(err)
	}
	pool.Put(c, time.Time{})
	if c := take(t, pool, time.Time{}); c.Reused {
		t.Error("a connection with surplus bytes was reused")
	}
}

func TestDialError(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	_ = listener.Close()
	pool := kcwconn.New(kcwconn.Config{Address: address, DialTimeout: time.Second, SilenceTimeout: time.Second, Now: time.Now})
	_, err = pool.Take(t.Context(), time.Time{})
	var e *kcwconn.Error
	if !errors.As(err, &e) || e.Kind != kcwconn.Dial {
		t.Errorf("got error %v, want one of kind Dial", err)
	}
}
