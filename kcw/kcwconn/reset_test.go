package kcwconn_test

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwconn"
)

// TestIsReset checks that a connection that its upstream has reset is told from one that is
// open or that its upstream has closed, whoever gets the error of the reset.
func TestIsReset(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	pool := kcwconn.New(kcwconn.Config{
		Address: listener.Addr().(*net.TCPAddr).AddrPort(), DialTimeout: 5 * time.Second, SilenceTimeout: time.Second,
		IdleTimeout: 10 * time.Second, MaxIdle: 2, Now: time.Now,
	})
	defer pool.Close()
	reset := func(c *net.TCPConn) error { return errors.Join(c.SetLinger(0), c.Close()) }
	read := func(c io.ReadWriter) error {
		_, err := c.Read(make([]byte, 1))
		return err
	}
	write := func(c io.ReadWriter) error {
		for {
			if _, err := c.Write([]byte("x")); err != nil {
				return err
			}
		}
	}
	for _, test := range []struct {
		name  string
		end   func(c *net.TCPConn) error
		first func(c io.ReadWriter) error
		want  bool
	}{
		{"open", func(*net.TCPConn) error { return nil }, func(io.ReadWriter) error { return nil }, false},
		{"closed for writing", (*net.TCPConn).CloseWrite, read, false},
		{"closed", (*net.TCPConn).Close, read, false},
		{"reset, seen by a read", reset, read, true},
		{"reset, seen by a write", reset, write, true},
	} {
		c := take(t, pool, time.Time{})
		upstream, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if err := test.end(upstream.(*net.TCPConn)); err != nil {
			t.Fatal(err)
		}
		firstErr := test.first(c)
		if got := c.IsReset(); got != test.want {
			t.Errorf("%s: IsReset is %v after the error %v", test.name, got, firstErr)
		}
		_ = c.Close()
		_ = upstream.Close()
	}
}
