package kcwconn_test

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"kingcupwick.example/kcw/kcwconn"
)

const (
	shortSilence = 100 * time.Millisecond
	// pauseTime is several times the time after which a peer is silent.
	pauseTime = 1500 * time.Millisecond
	// largeBytes exceeds what the buffers of a connection hold.
	largeBytes = 32 << 20
)

// newPausePool returns a pool for a listener whose connections are silent after shortSilence.
func newPausePool(t *testing.T) (*kcwconn.Pool, net.Listener) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	pool := kcwconn.New(kcwconn.Config{
		Address: listener.Addr().(*net.TCPAddr).AddrPort(), DialTimeout: 5 * time.Second, SilenceTimeout: shortSilence,
		AckTimeout: time.Minute, IdleTimeout: time.Minute, MaxIdle: 2, Now: time.Now,
	})
	t.Cleanup(pool.Close)
	return pool, listener
}

// The peer reads nothing for a while, as a process that is suspended.
func TestPauseOfReaderBreaksNoRequest(t *testing.T) {
	pool, listener := newPausePool(t)
	c := take(t, pool, time.Time{})
	defer func() { _ = c.Close() }()
	peer, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = peer.Close() }()
	wrote := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, largeBytes))
		wrote <- err
	}()
	time.Sleep(pauseTime)
	if n, err := io.CopyN(io.Discard, peer, largeBytes); err != nil {
		t.Errorf("%d of %d bytes arrived: %v", n, largeBytes, err)
	}
	if err := <-wrote; err != nil {
		t.Error(err)
	}
}

// setDeaf makes the kernel drop all packets for the connection, or no longer.
func setDeaf(t *testing.T, conn net.Conn, deaf bool) {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	// A socket filter that returns zero drops the packet without acknowledging it.
	filter := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
	program := unix.SockFprog{Len: 1, Filter: &filter}
	option := unix.SO_ATTACH_FILTER
	if !deaf {
		option = unix.SO_DETACH_FILTER
	}
	var optErr error
	err = raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, option, &program)
	})
	if err != nil || optErr != nil {
		t.Fatal(err, optErr)
	}
}

// TestLostPackets checks that a connection on which packets are lost for a while is silent
// meanwhile and goes on, with bytes on the way or an answer awaited.
func TestLostPackets(t *testing.T) {
	for _, test := range []struct {
		name string
		// sendsBefore is set if the request arrives before packets are lost.
		sendsBefore bool
	}{{"request on the way", false}, {"answer awaited", true}} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			pool, listener := newPausePool(t)
			c := take(t, pool, time.Time{})
			defer func() { _ = c.Close() }()
			peer, err := listener.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = peer.Close() }()
			if !test.sendsBefore {
				setDeaf(t, peer, true)
			}
			const request, answer = "request", "answer"
			if _, err := c.Write([]byte(request)); err != nil {
				t.Fatal(err)
			}
			if test.sendsBefore {
				readAll(t, peer, request)
				setDeaf(t, peer, true)
			}
			for !c.IsSilent(time.Now()) {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(pauseTime)
			setDeaf(t, peer, false)
			if !test.sendsBefore {
				readAll(t, peer, request)
			}
			if _, err := peer.Write([]byte(answer)); err != nil {
				t.Error(err)
			}
			readAll(t, c.Reader, answer)
			for c.IsSilent(time.Now()) {
				time.Sleep(time.Millisecond)
			}
		})
	}
}

// readAll reads the text, which is what is sent.
func readAll(t *testing.T, from io.Reader, text string) {
	t.Helper()
	got := make([]byte, len(text))
	if _, err := io.ReadFull(from, got); err != nil || string(got) != text {
		t.Errorf("got %q and error %v, want %q", got, err, text)
	}
}

// A silent connection is closed after AckTimeout, and not reused before.
func TestDeadPeer(t *testing.T) {
	pool, listener := newPausePool(t)
	c := take(t, pool, time.Time{})
	peer, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = peer.Close() }()
	setDeaf(t, peer, true)
	pool.Put(c, time.Time{})
	for !c.IsSilent(time.Now()) {
		time.Sleep(time.Millisecond)
	}
	other := take(t, pool, time.Time{})
	if other.Reused {
		t.Error("a silent connection was reused")
	}
	_ = other.Close()
	short := kcwconn.New(kcwconn.Config{
		Address: listener.Addr().(*net.TCPAddr).AddrPort(), DialTimeout: 5 * time.Second, SilenceTimeout: shortSilence,
		AckTimeout: 2 * shortSilence, IdleTimeout: time.Minute, MaxIdle: 2, Now: time.Now,
	})
	defer short.Close()
	c = take(t, short, time.Time{})
	defer func() { _ = c.Close() }()
	for range 2 {
		// The connection of other comes first.
		peer, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = peer.Close() }()
		setDeaf(t, peer, true)
	}
	if _, err := c.Write([]byte("request")); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Reader.Peek(1); !errors.Is(err, unix.ETIMEDOUT) {
		t.Errorf("got error %v, want that the peer acknowledged nothing", err)
	}
}

// A system that counts keep-alive probes closes no connection before AckTimeout.
func TestKeepAliveLastsForAckTimeout(t *testing.T) {
	for _, test := range []struct {
		silence, ack time.Duration
	}{{time.Second, 5 * time.Second}, {2 * time.Second, 5 * time.Second}, {time.Second, time.Second}} {
		_, listener := newPausePool(t)
		pool := kcwconn.New(kcwconn.Config{
			Address: listener.Addr().(*net.TCPAddr).AddrPort(), DialTimeout: 5 * time.Second, SilenceTimeout: test.silence,
			AckTimeout: test.ack, IdleTimeout: time.Minute, MaxIdle: 2, Now: time.Now,
		})
		c := take(t, pool, time.Time{})
		raw, err := c.Conn.(*net.TCPConn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		var idle, interval, count int
		err = raw.Control(func(fd uintptr) {
			for option, value := range map[int]*int{unix.TCP_KEEPIDLE: &idle, unix.TCP_KEEPINTVL: &interval, unix.TCP_KEEPCNT: &count} {
				if *value, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option); err != nil {
					t.Error(err)
				}
			}
		})
		if err != nil {
			t.Fatal(err)
		}
		if lasts := time.Duration(idle+interval*count) * time.Second; lasts < test.ack {
			t.Errorf("%v: a connection is closed %v after its last byte, want %v at least", test, lasts, test.ack)
		}
		_ = c.Close()
		pool.Close()
	}
}

// TestSoundConnectionIsNotSilent checks a connection that carries no byte for longer than the
// silence timeout while its request is answered.
func TestSoundConnectionIsNotSilent(t *testing.T) {
	pool, listener := newPausePool(t)
	c := take(t, pool, time.Time{})
	defer func() { _ = c.Close() }()
	peer, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = peer.Close() }()
	if _, err := c.Write([]byte("request")); err != nil {
		t.Fatal(err)
	}
	readAll(t, peer, "request")
	for end := time.Now().Add(pauseTime); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if c.IsSilent(time.Now()) {
			t.Fatal("a connection whose bytes were acknowledged is silent")
		}
	}
}
