package kcwupstream

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
)

// countedConn counts the bytes of a connection in both directions.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// countedListener counts the bytes of all connections that it accepts.
type countedListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{conn, l.bytes}, nil
}

// BenchmarkPoll measures the time of one load report, and its size in bytes including
// HTTP but not TCP.
func BenchmarkPoll(b *testing.B) {
	var bytes atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, `{"Running":12,"Waiting":3,"Capacity":16,"Draining":false}`)
	}))
	server.Listener = &countedListener{server.Listener, &bytes}
	server.Start()
	defer server.Close()
	u := New(Config{
		Name: "engine-1", Service: "engine", Zone: "z1",
		Address: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")),
	})
	defer u.Close()
	b.ResetTimer()
	for range b.N {
		if err := u.Poll(b.Context()); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-B/poll")
}
