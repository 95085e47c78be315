package kcwupstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"reflect"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// listen starts a server that runs serve for each connection, and returns its address.
func listen(t *testing.T, serve func(conn net.Conn, number int64)) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	var count atomic.Int64
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn, count.Add(1))
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

func send(u *Upstream, method, body string, wait time.Duration) (string, error) {
	req, err := http.NewRequest(method, "http://upstream/path", strings.NewReader(body))
	if err != nil {
		return "", err
	}
	req.Header.Set("Idempotency-Key", "i")
	resp, err := u.Send(context.Background(), req, time.Now().Add(wait))
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return string(raw), err
}

func checkKind(t *testing.T, err error, kind Kind) {
	t.Helper()
	var failure *Error
	if !errors.As(err, &failure) || failure.Kind != kind {
		t.Errorf("error %v, want kind %d", err, kind)
	}
}

// TestWrittenOnce checks that a request is not written a second time if the upstream reads
// it and closes the connection. If the connection was used before, net/http's Transport
// treats it as stale and resends some requests.
func TestWrittenOnce(t *testing.T) {
	for _, test := range []struct{ method, body string }{
		{http.MethodPost, "pay"},
		{http.MethodGet, ""},
		{http.MethodDelete, ""},
	} {
		t.Run(test.method, func(t *testing.T) {
			var received atomic.Int64
			address := listen(t, func(conn net.Conn, _ int64) {
				defer conn.Close()
				in := bufio.NewReader(conn)
				for {
					req, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					if req.Method != http.MethodHead {
						received.Add(1)
						return
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n")
				}
			})
			u := New(Config{Name: "u", Address: address})
			if _, err := send(u, http.MethodHead, "", time.Minute); err != nil {
				t.Fatal(err)
			}
			_, err := send(u, test.method, test.body, time.Minute)
			checkKind(t, err, KindLost)
			if received.Load() != 1 {
				t.Errorf("the upstream received the request %d times", received.Load())
			}
		})
	}
}

// refusingAddress returns an address that refuses connections until the test ends. Its port stays
// bound, without a listener, so that no listener of this or another process gets it.
func refusingAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	loopback := netip.MustParseAddr("127.0.0.1")
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: loopback.As4()}); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return netip.AddrPortFrom(loopback, uint16(bound.(*syscall.SockaddrInet4).Port))
}

func TestSendFailures(t *testing.T) {
	closed := listen(t, func(conn net.Conn, _ int64) { _ = conn.Close() })
	refusing := refusingAddress(t)
	silent := listen(t, func(conn net.Conn, _ int64) { _, _ = io.Copy(io.Discard, conn) })
	pausing := listen(t, func(conn net.Conn, _ int64) {
		_, _ = bufio.NewReader(conn).ReadString('\n')
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
		_, _ = io.Copy(io.Discard, conn)
	})
	short := listen(t, func(conn net.Conn, _ int64) {
		_, _ = bufio.NewReader(conn).ReadString('\n')
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
		_ = conn.Close()
	})
	garbled := listen(t, func(conn net.Conn, _ int64) {
		_, _ = bufio.NewReader(conn).ReadString('\n')
		_, _ = io.WriteString(conn, "HTTP/1.1 confidential words\r\n\r\n")
		_ = conn.Close()
	})
	for _, test := range []struct {
		name    string
		address netip.AddrPort
		kind    Kind
	}{
		{"garbled", garbled, KindLost},
		{"refused", refusing, KindNotSent},
		{"closed at once", closed, KindLost},
		{"silent", silent, KindSilent},
		{"silent within the answer", pausing, KindSilent},
		{"short body", short, KindLost},
	} {
		u := New(Config{Name: "u", Address: test.address, ProgressTimeout: 50 * time.Millisecond})
		_, err := send(u, http.MethodPost, "body", 50*time.Millisecond)
		checkKind(t, err, test.kind)
		if strings.Contains(err.Error(), "confidential") {
			t.Errorf("%s: the error contains the answer's text: %v", test.name, err)
		}
		if u.InFlight() != 0 {
			t.Errorf("%s: %d calls in flight", test.name, u.InFlight())
		}
	}
}

// TestSlowReader checks that an answer can be read to its end even if its reader pauses
// for longer than ProgressTimeout.
func TestSlowReader(t *testing.T) {
	const progress = 50 * time.Millisecond
	whole := strings.Repeat("all of it ", 5000)
	address := listen(t, func(conn net.Conn, _ int64) {
		_, _ = bufio.NewReader(conn).ReadString('\n')
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(whole), whole)
		_, _ = io.Copy(io.Discard, conn)
	})
	u := New(Config{Name: "u", Address: address, ProgressTimeout: progress})
	req, _ := http.NewRequest(http.MethodPost, "http://upstream/", strings.NewReader("x"))
	resp, err := u.Send(t.Context(), req, time.Now().Add(time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var got []byte
	for p := make([]byte, 10000); ; {
		time.Sleep(2 * progress)
		n, err := resp.Body.Read(p)
		got = append(got, p[:n]...)
		if err == io.EOF {
			break
		}
		if err != nil {
			t.Fatalf("after %d bytes of %d: %v", len(got), len(whole), err)
		}
	}
	if string(got) != whole {
		t.Errorf("got %d bytes that differ from the %d sent", len(got), len(whole))
	}
}

// TestCancelled checks that a call is not sent if its context was cancelled before it.
func TestCancelled(t *testing.T) {
	u := New(Config{Name: "u", Address: listen(t, func(conn net.Conn, _ int64) { _, _ = io.Copy(io.Discard, conn) })})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	req, _ := http.NewRequest(http.MethodPost, "http://upstream/", strings.NewReader("x"))
	_, err := u.Send(ctx, req, time.Now().Add(time.Minute))
	checkKind(t, err, KindNotSent)
}

// TestUnreadAnswer checks that a connection is not reused for another call if its answer
// was not read to the end.
func TestUnreadAnswer(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		raw, _ := io.ReadAll(r.Body)
		for range 1000 {
			_, _ = fmt.Fprintf(w, "%s ", raw)
			_ = http.NewResponseController(w).Flush()
		}
	}))
	t.Cleanup(server.Close)
	u := New(Config{Name: "u", Address: netip.MustParseAddrPort(server.Listener.Addr().String())})
	for i := range 50 {
		req, _ := http.NewRequest(http.MethodPost, "http://upstream/", strings.NewReader(fmt.Sprintf("left-%d", i)))
		resp, err := u.Send(t.Context(), req, time.Now().Add(time.Minute))
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.ReadFull(resp.Body, make([]byte, 10))
		_ = resp.Body.Close()
		body, err := send(u, http.MethodPost, "mine", time.Minute)
		if err != nil || body != strings.Repeat("mine ", 1000) {
			t.Fatalf("answer %q, %v", body, err)
		}
	}
}

// TestLateAnswer checks that a second answer that arrives on the connection of an earlier
// call is not returned as the answer to a later one.
func TestLateAnswer(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"
	address := listen(t, func(conn net.Conn, _ int64) {
		defer conn.Close()
		in := bufio.NewReader(conn)
		for used := 0; ; used++ {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			raw, _ := io.ReadAll(req.Body)
			if used > 0 {
				_, _ = fmt.Fprintf(conn, answer, len("late"), "late")
			}
			_, _ = fmt.Fprintf(conn, answer, len(raw), raw)
		}
	})
	u := New(Config{Name: "u", Address: address})
	for i := range 20 {
		want := fmt.Sprintf("mine-%d", i)
		if body, err := send(u, http.MethodPost, want, time.Minute); err != nil || body != want {
			t.Errorf("call %d: answer %q, error %v", i, body, err)
		}
	}
}

func TestPoll(t *testing.T) {
	var report atomic.Value
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, report.Load().(string))
	}))
	t.Cleanup(server.Close)
	u := New(Config{Name: "u", Address: netip.MustParseAddrPort(server.Listener.Addr().String())})
	for _, test := range []struct {
		report   string
		fails    bool
		running  int
		draining bool
	}{
		{`{"Running":3,"Waiting":1,"Capacity":8}`, false, 3, false},
		{`{`, true, 3, false},
		{`{"Running":2,"Draining":true}`, false, 2, true},
		{`{"Running":1}`, false, 1, false},
	} {
		report.Store(test.report)
		err := u.Poll(t.Context())
		running, _, _, _ := u.Load()
		if (err != nil) != test.fails || running != test.running || u.Draining() != test.draining {
			t.Errorf("%s: %v, running %d, draining %v", test.report, err, running, u.Draining())
		}
	}
}

func TestCopyHeader(t *testing.T) {
	from := http.Header{
		"Connection": {"close, X-Private"}, "X-Private": {"x"}, "Keep-Alive": {"timeout=5"}, "Content-Length": {"3"},
		"Content-Type": {"text/plain"}, "X-Kept": {"a", "b"},
	}
	to := http.Header{}
	CopyHeader(to, from)
	want := http.Header{"Content-Type": {"text/plain"}, "X-Kept": {"a", "b"}}
	if !reflect.DeepEqual(to, want) {
		t.Errorf("CopyHeader gave %v, want %v", to, want)
	}
}

// TestConnect checks that a connection opened by Connect is used for one call, and is
// closed if there is no call.
func TestConnect(t *testing.T) {
	var opened, closed atomic.Int64
	address := listen(t, func(conn net.Conn, _ int64) {
		opened.Add(1)
		defer closed.Add(1)
		defer conn.Close()
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err == nil {
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	u := New(Config{Name: "u", Address: address})
	for _, calls := range []int{1, 0, 2} {
		opened.Store(0)
		closed.Store(0)
		ctx, cancel := context.WithCancel(t.Context())
		connectCtx := u.Connect(ctx)
		for opened.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		for range calls {
			req, _ := http.NewRequest(http.MethodPost, "http://upstream/", strings.NewReader("x"))
			resp, err := u.Send(connectCtx, req, time.Now().Add(time.Minute))
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.ReadAll(resp.Body)
			_ = resp.Body.Close()
		}
		cancel()
		want := int64(max(calls, 1))
		for closed.Load() < want {
			time.Sleep(time.Millisecond)
		}
		if opened.Load() != want {
			t.Errorf("%d calls opened %d connections, want %d", calls, opened.Load(), want)
		}
	}
}
