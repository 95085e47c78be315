package kcwforward_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"kingcupwick.example/kcw/kcwroute"
)

// setDeaf makes the kernel drop all packets for the connection.
func setDeaf(t *testing.T, conn net.Conn) {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Error(err)
		return
	}
	// A socket filter that returns zero drops the packet without acknowledging it.
	filter := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
	program := unix.SockFprog{Len: 1, Filter: &filter}
	var optErr error
	err = raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
	if err != nil || optErr != nil {
		t.Error(err, optErr)
	}
}

// One connection goes silent while the upstream answers on others.
func TestRequestDoesNotStayOnSilentConnection(t *testing.T) {
	for _, test := range []struct {
		name  string
		route kcwroute.Route
		start func(e *exchange)
		rest  func(e *exchange)
		want  string
	}{
		{"idempotent", repeatable, func(*exchange) {}, good, "whole"},
		{"stream", resumable, func(e *exchange) { e.events(false, event1) }, goOn, whole},
	} {
		var arrivals atomic.Int64
		f := newSilenceFixture(t, 2, test.route, shortSilence, func(e *exchange) {
			if e.Header.Get("Attempt") == "a" && arrivals.Add(1) == 1 {
				setDeaf(t, e.conn)
				test.start(e)
				return
			}
			test.rest(e)
		})
		var others sync.WaitGroup
		stopped := make(chan struct{})
		for i := range 2 {
			others.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-stopped:
						return
					case <-time.After(time.Millisecond):
						_, _, _ = f.tryCall(t.Context(), fmt.Sprintf("other-%d-%d", i, n), "")
					}
				}
			})
		}
		status, body, err := f.tryCallFor(t.Context(), "a", longTime)
		if status != http.StatusOK || body != test.want || err != nil {
			t.Errorf("%s: got %d, %q and error %v, want the whole answer", test.name, status, body, err)
		}
		close(stopped)
		others.Wait()
	}
}
