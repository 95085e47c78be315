package kcwlisten_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwlisten"
)

// fixture is a bounded server. The handler reads the body at /read, waits for release at /wait
// and leaves the body at other paths.
type fixture struct {
	t       *testing.T
	bound   *kcwlisten.Bound
	server  *http.Server
	address string
	release chan struct{}
	// canceled counts the requests whose context ended while the handler waited.
	canceled atomic.Int64
	// runs counts the requests.
	runs atomic.Int64
}

func newFixture(t *testing.T, change func(cfg *kcwlisten.Config), wrap func(net.Listener) net.Listener) *fixture {
	t.Helper()
	cfg := kcwlisten.Config{Server: "test", MaxConns: 20, MaxHeldBytes: 1 << 20, MaxAhead: 3, BodyTimeout: time.Minute}
	if change != nil {
		change(&cfg)
	}
	bound, err := kcwlisten.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{t: t, bound: bound, address: listener.Addr().String(), release: make(chan struct{})}
	f.server = &http.Server{Handler: f, ReadHeaderTimeout: time.Minute}
	bound.Apply(f.server)
	if wrap != nil {
		listener = wrap(listener)
	}
	var serving sync.WaitGroup
	serving.Go(func() { _ = f.server.Serve(bound.Listener(listener)) })
	t.Cleanup(func() {
		_ = f.server.Close()
		serving.Wait()
	})
	return f
}

func (f *fixture) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.runs.Add(1)
	if r.URL.Path != "/" {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			http.Error(w, err.Error(), http.StatusRequestTimeout)
			return
		}
	}
	if r.URL.Path == "/wait" {
		select {
		case <-f.release:
		case <-r.Context().Done():
			f.canceled.Add(1)
		}
	}
	_, _ = io.WriteString(w, "ok")
}

// client is a connection to the server.
type client struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

func (f *fixture) dial() *client {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.address)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = conn.Close() })
	return &client{Conn: conn, t: f.t, reader: bufio.NewReader(conn)}
}

func (c *client) send(format string, args ...any) {
	c.t.Helper()
	if _, err := fmt.Fprintf(c, format, args...); err != nil {
		c.t.Fatal(err)
	}
}

// status reads an answer and returns its status, zero if the connection is closed.
func (c *client) status() (status int, isLast bool) {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, true
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, true
	}
	return response.StatusCode, response.Close
}

// waitFor polls until the condition holds.
func waitFor(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	const limit = time.Minute
	for end := time.Now().Add(limit); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", limit, condition)
		}
	}
}

const get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// TestHeadLimit guards against heads over the limit of the document that are read to their end,
// and against heads at the limit that are refused.
func TestHeadLimit(t *testing.T) {
	const limit = 8 << 10
	f := newFixture(t, func(cfg *kcwlisten.Config) {
		cfg.Limits = func() kcwlisten.Limits { return kcwlisten.Limits{HeadBytes: limit} }
	}, nil)
	for _, test := range []struct {
		bytes, want int
	}{{100, http.StatusOK}, {limit - 100, http.StatusOK}, {limit + 10<<10, http.StatusRequestHeaderFieldsTooLarge}} {
		c := f.dial()
		c.send("POST /read HTTP/1.1\r\nHost: h\r\nContent-Length: 30000\r\nA: %s\r\n\r\n", strings.Repeat("x", test.bytes))
		if test.want == http.StatusOK {
			c.send("%s", strings.Repeat("\n", 30000))
		}
		if got, _ := c.status(); got != test.want {
			t.Errorf("a head of %d bytes got %d, want %d", test.bytes, got, test.want)
		}
	}
}

// TestManyAhead guards against clients that keep the server busy with requests sent ahead.
func TestManyAhead(t *testing.T) {
	f := newFixture(t, nil, nil)
	c := f.dial()
	c.send("%s", strings.Repeat(get, 1000))
	n := 1
	for _, isLast := c.status(); !isLast; _, isLast = c.status() {
		n++
	}
	if n > 6 {
		t.Errorf("%d requests were answered that were sent ahead", n)
	}
}

// TestClientLeavesRequestsAhead guards against requests that run although their client has left.
func TestClientLeavesRequestsAhead(t *testing.T) {
	f := newFixture(t, nil, nil)
	c := f.dial()
	c.send("%s", strings.Repeat("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n", 3))
	waitFor(t, "the first request runs", func() bool { return f.runs.Load() == 1 })
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	close(f.release)
	waitFor(t, "the connection is closed", func() bool { return f.bound.Stats().Open == 0 })
	if runs := f.runs.Load(); runs != 1 {
		t.Errorf("%d requests ran", runs)
	}
}

// TestStopEndsWithoutIncompleteRequests guards against a stop that waits for clients whose request is
// not complete, and against one that does not wait for a request that runs.
func TestStopEndsWithoutIncompleteRequests(t *testing.T) {
	f := newFixture(t, func(cfg *kcwlisten.Config) { cfg.StopTimeout = 50 * time.Millisecond }, nil)
	f.dial().send("POST /read HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nx")
	f.dial().send("GET / HTTP/1.1\r\n")
	running := f.dial()
	running.send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	waitFor(t, "two requests run", func() bool { return f.runs.Load() == 2 && f.bound.Stats().Open == 3 })
	ended := make(chan error)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		ended <- f.server.Shutdown(ctx)
	}()
	waitFor(t, "incomplete requests are closed", func() bool { return f.bound.Stats().Open == 1 })
	close(f.release)
	if status, _ := running.status(); status != http.StatusOK {
		t.Errorf("the request that ran got %d", status)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestOneAfterTheOther guards against a count of requests sent ahead that counts others too.
func TestOneAfterTheOther(t *testing.T) {
	f := newFixture(t, nil, nil)
	c := f.dial()
	for n := range 50 {
		path := []string{"/", "/read"}[n%2]
		c.send("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: 10000\r\n\r\n%s", path, strings.Repeat("x", 10000))
		if status, isLast := c.status(); status != http.StatusOK || isLast {
			t.Fatalf("answer %d: status %d, last %v", n, status, isLast)
		}
	}
}

// TestBodyStops guards against bodies that stop and keep their connection forever, whether the
// handler reads them or the server reads the rest.
func TestBodyStops(t *testing.T) {
	f := newFixture(t, func(cfg *kcwlisten.Config) { cfg.BodyTimeout = 50 * time.Millisecond }, nil)
	for _, path := range []string{"/", "/read"} {
		c := f.dial()
		c.send("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nx", path)
		// The client keeps its side open until the server has closed the connection.
		_, _ = io.Copy(io.Discard, c)
	}
	waitFor(t, "the connections are closed", func() bool { return f.bound.Stats().Open == 0 })
}

// TestTimeoutEndsWithBody guards against a bound on the time of a body that ends requests which
// run for longer.
func TestTimeoutEndsWithBody(t *testing.T) {
	const timeout = 20 * time.Millisecond
	f := newFixture(t, func(cfg *kcwlisten.Config) { cfg.BodyTimeout = timeout }, nil)
	c := f.dial()
	c.send("POST /wait HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n0123456789")
	time.Sleep(5 * timeout)
	close(f.release)
	if status, _ := c.status(); status != http.StatusOK || f.canceled.Load() != 0 {
		t.Errorf("got %d, and %d requests were canceled", status, f.canceled.Load())
	}
}

// TestMemoryOfHeads guards against heads that hold more memory together than allowed, also if
// their first bytes come along with the request before.
func TestMemoryOfHeads(t *testing.T) {
	const held = 1 << 20
	f := newFixture(t, func(cfg *kcwlisten.Config) { cfg.MaxHeldBytes = held }, nil)
	var clients []*client
	for range 15 {
		c := f.dial()
		c.send("%sGET / HTTP/1.1\r\n%s", get, strings.Repeat("a:\r\n", 900))
		clients = append(clients, c)
	}
	waitFor(t, "connections are closed for what they hold", func() bool { return f.bound.Stats().Closed > 5 })
	if got := f.bound.Stats().HeldBytes; got > held {
		t.Errorf("%d bytes are held, at most %d are allowed", got, held)
	}
	c := f.dial()
	c.send(get)
	if status, _ := c.status(); status != http.StatusOK {
		t.Errorf("an ordinary request got %d", status)
	}
	for _, c := range clients {
		_ = c.Close()
	}
	waitFor(t, "nothing is held", func() bool { return f.bound.Stats().HeldBytes == 0 })
}

// TestChargedBodies guards against bodies that hold more memory together than allowed.
func TestChargedBodies(t *testing.T) {
	f := newFixture(t, func(cfg *kcwlisten.Config) { cfg.ChargeBodies = true }, nil)
	for range 5 {
		c := f.dial()
		c.send("POST /read HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n%s", strings.Repeat("x", 299999))
	}
	waitFor(t, "a connection is closed for what it holds", func() bool { return f.bound.Stats().Closed > 0 })
}

// TestFull checks that a full server closes a connection without a request for a new one.
func TestFull(t *testing.T) {
	const conns = 4
	f := newFixture(t, func(cfg *kcwlisten.Config) { cfg.MaxConns = conns }, nil)
	kept := f.dial()
	for range 3 * conns {
		f.dial()
		kept.send(get)
		if status, _ := kept.status(); status != http.StatusOK {
			t.Fatalf("a caller that uses its connection got %d", status)
		}
	}
	waitFor(t, "connections were closed", func() bool { return f.bound.Stats().Closed >= 2*conns })
	if got := f.bound.Stats().Open; got > conns {
		t.Errorf("%d connections are open", got)
	}
}

// failingListener returns an error for the first calls of Accept.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) > 0 {
		err := l.errs[0]
		l.errs = l.errs[1:]
		return nil, err
	}
	return l.Listener.Accept()
}

// TestAcceptFails guards against a server that ends because a connection can't be accepted.
func TestAcceptFails(t *testing.T) {
	f := newFixture(t, nil, func(l net.Listener) net.Listener {
		return &failingListener{Listener: l, errs: []error{syscall.EMFILE, syscall.ENOBUFS, errors.New("unknown")}}
	})
	c := f.dial()
	c.send(get)
	if status, _ := c.status(); status != http.StatusOK {
		t.Errorf("got %d", status)
	}
}

func TestBadConfig(t *testing.T) {
	var typed *kcwlisten.Error
	if _, err := kcwlisten.New(kcwlisten.Config{}); !errors.As(err, &typed) || typed.Kind != kcwlisten.BadConfig {
		t.Errorf("got %v", err)
	}
}
