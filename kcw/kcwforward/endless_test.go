package kcwforward_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwroute"
)

// TestEndlessUpstream checks that an upstream that sends endless bytes, in each part of
// an answer in turn, is disconnected soon and causes only a bounded allocation, and
// checks what the caller receives.
func TestEndlessUpstream(t *testing.T) {
	const (
		// maxOffered is the number of bytes that an upstream tries to send.
		maxOffered = 256 << 20
		// maxAllocated bounds the bytes allocated for a request, and maxSent the bytes
		// that the upstream can send before it is disconnected. They leave room for the
		// largest head, for an answer of 1 MiB in a buffer that doubles as it grows, and
		// for the buffers of a connection.
		maxAllocated = 16 << 20
		maxSent      = 32 << 20
	)
	line := strings.Repeat("x", 1000)
	const head = "HTTP/1.1 200 OK\r\nAttempt: id-1\r\n"
	for _, test := range []struct {
		name  string
		route kcwroute.Route
		// prefix is sent once, and repeated is sent without end.
		prefix   string
		repeated string
		// status is the status that the caller receives. Broken is set if the answer's
		// body ends with an error.
		status int
		broken bool
	}{
		{"header lines", once, head, "Line: " + line + "\r\n", 502, false},
		{"short header lines", once, head, "A:\r\n", 502, false},
		{"one header line", once, head + "Line: ", line, 502, false},
		{"the status line", once, "HTTP/1.1 200 ", line, 502, false},
		{"no answer at all", once, "", line, 502, false},
		{"interim answers", once, "", "HTTP/1.1 100 Continue\r\n\r\n", 502, false},
		{"interim answers with headers", once, "", "HTTP/1.1 103 Early Hints\r\nLink: " + line + "\r\n\r\n", 502, false},
		{"a surplus answer", once, "HTTP/1.1 200 OK\r\nAttempt: id-0\r\nContent-Length: 1099511627776\r\n\r\n", line, 502, false},
		{"surplus answers", once, "", "HTTP/1.1 200 OK\r\nAttempt: id-0\r\nContent-Length: 1\r\n\r\nx", 502, false},
		{"a body with its length", once, head + "Content-Length: 1099511627776\r\n\r\n", line, 502, false},
		{"a body up to its end", once, head + "\r\n", line, 502, false},
		{"a body in chunks", once, head + "Transfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + line + "\r\n", 502, false},
		{"a chunk's extension", once, head + "Transfer-Encoding: chunked\r\n\r\n3;", line, 502, false},
		{"a trailer", once, head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "Line: " + line + "\r\n", 502, false},
		{"one trailer line", once, head + "Transfer-Encoding: chunked\r\n\r\n0\r\nLine: ", line, 502, false},
		{"the body of a failure", once, "HTTP/1.1 500 X\r\nAttempt: id-1\r\n\r\n", line, 502, false},
		{"the body of a refusal", once, "HTTP/1.1 503 X\r\nAttempt: id-1\r\nNot-Run: 1\r\n\r\n", line, 503, false},
		{"the first event", stream, head + "\r\ndata: ", line, 502, false},
		{"a later event", stream, head + "\r\nid: 1\ndata: a\n\ndata: ", line, 200, true},
		{"lines of an event", stream, head + "\r\n", "data: " + line + "\n", 502, false},
	} {
		var sent atomic.Int64
		ended := make(chan struct{}, 8)
		f := newFixture(t, 1, test.route, func(e *exchange) {
			defer func() { ended <- struct{}{} }()
			if _, err := io.WriteString(e.conn, test.prefix); err != nil {
				return
			}
			block := strings.Repeat(test.repeated, 1+(64<<10)/len(test.repeated))
			for sent.Load() < maxOffered {
				n, err := io.WriteString(e.conn, block)
				sent.Add(int64(n))
				if err != nil {
					return
				}
			}
		})
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		response, _, err := f.call(t, http.MethodPost, "body")
		<-ended
		runtime.ReadMemStats(&after)
		if (err != nil) != test.broken || response != nil && response.StatusCode != test.status {
			t.Errorf("%s: got %v, error %v", test.name, response, err)
		}
		if sent.Load() > maxSent {
			t.Errorf("%s: the upstream could send %d bytes", test.name, sent.Load())
		}
		// This includes the block that the script allocates.
		if got := after.TotalAlloc - before.TotalAlloc; got > maxAllocated {
			t.Errorf("%s: %d bytes allocated", test.name, got)
		}
	}
}

// TestStalledCallerIsDisconnected guards against a caller that reads nothing and keeps its request,
// its upstream and their memory for as long as it stays connected.
func TestStalledCallerIsDisconnected(t *testing.T) {
	const timeout = 300 * time.Millisecond
	block := strings.Repeat("data: "+strings.Repeat("x", 1000)+"\n\n", 64)
	large := strings.Repeat("x", 1<<20)
	for _, test := range []struct {
		name   string
		route  kcwroute.Route
		script func(e *exchange)
	}{
		{"stream", stream, func(e *exchange) {
			_, err := io.WriteString(e.conn, "HTTP/1.1 200 OK\r\nAttempt: id-1\r\n"+eventStream+"\r\n")
			for err == nil {
				_, err = io.WriteString(e.conn, block)
			}
		}},
		{"pipelined answers", once, func(e *exchange) { e.answer(200, "", large) }},
	} {
		f := newTimedFixture(t, 1, test.route, longTime, timeout, test.script)
		conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		go func() {
			request := "POST /a/x HTTP/1.1\r\nHost: host.example\r\nKey: key\r\nAttempt: id-1\r\nContent-Length: 0\r\n\r\n"
			_, _ = io.WriteString(conn, strings.Repeat(request, 64))
		}()
		for f.arrivals() == 0 {
			time.Sleep(time.Millisecond)
		}
		end := time.Now().Add(longTime / 2)
		for quiet := 0; quiet < 50 && time.Now().Before(end); time.Sleep(time.Millisecond) {
			quiet++
			if f.forwarder.InFlight() > 0 {
				quiet = 0
			}
		}
		if n := f.forwarder.InFlight(); n > 0 {
			t.Errorf("%s: %d requests are in flight", test.name, n)
		}
		if held := f.memory.Held(); held != 0 {
			t.Errorf("%s: %d bytes are held", test.name, held)
		}
	}
}

// TestSlowCallerGetsWholeAnswer checks that a caller that reads slowly, for longer than the time
// for which it may take nothing, is not disconnected.
func TestSlowCallerGetsWholeAnswer(t *testing.T) {
	const size = 8 << 20
	event := "data: " + strings.Repeat("x", 16<<10) + "\n\n"
	f := newTimedFixture(t, 1, stream, longTime, 400*time.Millisecond, func(e *exchange) {
		e.events(false)
		for range size / len(event) {
			fmt.Fprintf(e.conn, "%x\r\n%s\r\n", len(event), event)
		}
		fmt.Fprint(e.conn, "0\r\n\r\n")
	})
	response := f.open(t, http.MethodPost, nil)
	defer func() { _ = response.Body.Close() }()
	got, buffer := 0, make([]byte, 256<<10)
	begin := time.Now()
	for {
		n, err := io.ReadFull(response.Body, buffer)
		got += n
		if err != nil {
			if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Errorf("after %d bytes: %v", got, err)
			}
			break
		}
		time.Sleep(30 * time.Millisecond)
	}
	if want := size / len(event) * len(event); got != want {
		t.Errorf("got %d bytes in %v, want %d", got, time.Since(begin), want)
	}
}

// TestMemoryTogether checks that the memory of all requests is bounded: a request that
// would exceed the bound fails, and all memory is released when the requests end.
func TestMemoryTogether(t *testing.T) {
	const size = 900 << 10
	body := strings.Repeat("x", size)
	f := newFixture(t, 1, once, func(e *exchange) { e.answer(200, "", body) })
	limit := int64(4 * maxBodyBytes)
	if !f.memory.TryAcquire(limit - size) {
		t.Fatal("memory is held before the first request")
	}
	if response, _, err := f.call(t, http.MethodPost, ""); err != nil || response.StatusCode != 502 {
		t.Errorf("answer without enough memory: %v, %v", response, err)
	}
	if response, _, err := f.call(t, http.MethodPost, body); err != nil || response.StatusCode != 503 || response.Header.Get("Retry-After") == "" {
		t.Errorf("body without enough memory: %v, %v", response, err)
	}
	f.memory.Release(limit - size)
	if response, got, err := f.call(t, http.MethodPost, body); err != nil || response.StatusCode != 200 || got != body {
		t.Errorf("answer with enough memory: %v, %v", response, err)
	}
	for f.forwarder.InFlight() > 0 {
		time.Sleep(time.Millisecond)
	}
	if held := f.memory.Held(); held != 0 {
		t.Errorf("%d bytes are held after all requests have ended", held)
	}
}

// TestSlowCaller checks that a request whose body arrives too slowly is answered with
// status 408 at its deadline and is not forwarded.
func TestSlowCaller(t *testing.T) {
	f := newFixture(t, 1, once, good)
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	const head = "POST /a/x HTTP/1.1\r\nHost: host.example\r\nKey: key\r\nAttempt: id-1\r\nContent-Length: 9999\r\nWait: 200\r\n\r\n"
	if _, err := io.WriteString(conn, head); err != nil {
		t.Fatal(err)
	}
	stop := make(chan struct{})
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
				if _, err := io.WriteString(conn, "x"); err != nil {
					return
				}
			}
		}
	}()
	answer, err := io.ReadAll(io.LimitReader(conn, 12))
	close(stop)
	if err != nil && !errors.Is(err, io.EOF) || string(answer) != "HTTP/1.1 408" {
		t.Errorf("got %q, %v", answer, err)
	}
	if f.arrivals() != 0 {
		t.Error("the request was forwarded")
	}
}

// TestOversizedAnswerIsNotRepeated checks that a request whose answer exceeds a limit is
// sent to one upstream only.
func TestOversizedAnswerIsNotRepeated(t *testing.T) {
	const tooLarge = 2 << 20
	body := strings.Repeat("x", tooLarge)
	for _, test := range []struct {
		name   string
		route  kcwroute.Route
		script func(e *exchange)
	}{
		{"answer", repeatable, func(e *exchange) { e.answer(200, "", body) }},
		{"failure", repeatable, func(e *exchange) { e.answer(500, "", body) }},
		{"event", resumable, func(e *exchange) { e.events(true, "data: "+body+"\n\n") }},
	} {
		f := newFixture(t, 3, test.route, test.script)
		response, _, err := f.call(t, http.MethodPost, "")
		if err != nil || response.StatusCode != http.StatusBadGateway || f.arrivals() != 1 {
			t.Errorf("%s: got %v, error %v after %d sends, want status 502 after one", test.name, response, err, f.arrivals())
		}
	}
}

// TestFullMemoryIsNotRepeated checks that a router without memory for an answer does not
// request it from further upstreams, nor count their answers as failures.
func TestFullMemoryIsNotRepeated(t *testing.T) {
	const size = 900 << 10
	body := strings.Repeat("x", size)
	f := newFixture(t, 3, repeatable, func(e *exchange) { e.answer(200, "", body) })
	limit := int64(4 * maxBodyBytes)
	if !f.memory.TryAcquire(limit - size/2) {
		t.Fatal("memory is held before the first request")
	}
	const calls = 5
	for range calls {
		if response, _, err := f.call(t, http.MethodPost, ""); err != nil || response.StatusCode != http.StatusBadGateway {
			t.Errorf("got %v, %v", response, err)
		}
	}
	if got := f.arrivals(); got != calls {
		t.Errorf("%d requests were sent %d times", calls, got)
	}
}
