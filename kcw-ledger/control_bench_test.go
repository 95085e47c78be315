package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwledger"
	"kingcupwick.example/kcw/kcwpb"
)

// countingForwarder forwards its connections to target and counts their bytes
// in both directions.
func countingForwarder(tb testing.TB, target netip.AddrPort, bytes *atomic.Int64) netip.AddrPort {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go forwardCounted(conn, target, bytes)
		}
	}()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

func forwardCounted(conn net.Conn, target netip.AddrPort, bytes *atomic.Int64) {
	upstream, err := net.Dial("tcp", target.String())
	if err != nil {
		_ = conn.Close()
		return
	}
	forward := func(to, from net.Conn) {
		_, _ = io.Copy(io.MultiWriter(to, byteCounter{bytes}), from)
		_ = to.Close()
		_ = from.Close()
	}
	go forward(upstream, conn)
	forward(conn, upstream)
}

// byteCounter is a writer that counts the bytes written to it.
type byteCounter struct {
	bytes *atomic.Int64
}

func (c byteCounter) Write(p []byte) (int, error) {
	c.bytes.Add(int64(len(p)))
	return len(p), nil
}

// BenchmarkControlBytes measures the bytes per second between the ledger and a
// router without requests: its watch stream, and a heartbeat every half second.
// One operation lasts one second.
func BenchmarkControlBytes(b *testing.B) {
	for _, changes := range []int{0, 5} {
		b.Run(fmt.Sprintf("changes=%d", changes), func(b *testing.B) { benchmarkControlBytes(b, changes) })
	}
}

func benchmarkControlBytes(b *testing.B, changes int) {
	f := newFleet(b, 3)
	leader := f.leader(b)
	operator := f.client(b, testKeys.Operator)
	putContract(b, operator, "pew", 1_000_000)
	var bytes atomic.Int64
	c, err := kcwledger.New(kcwledger.Config{
		Addresses: []netip.AddrPort{countingForwarder(b, f.addresses[leader], &bytes)},
		Key:       testKeys.Router,
	})
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	register(b, f, c, "r1", 1)
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	var revision atomic.Uint64
	go func() {
		_ = c.Watch(ctx, &kcwpb.WatchRequest{Router: "r1", Incarnation: 1}, revision.Load, func(e *kcwpb.WatchEvent) {
			revision.Store(e.Revision)
		})
	}()
	time.Sleep(time.Second)
	bytes.Store(0)
	b.ResetTimer()
	for n := range b.N {
		for beat := range 2 {
			if _, err := c.Heartbeat(ctx, &kcwpb.HeartbeatRequest{Router: "r1", Zone: "zone", Incarnation: 1, Revision: revision.Load()}); err != nil {
				b.Fatal(err)
			}
			for i := range changes * beat {
				topUp := &kcwpb.TopUp{Change: fmt.Sprint(n, "-", i), Customer: "pew", Tokens: 1}
				change(b, operator, &kcwpb.Command{Op: &kcwpb.Command_TopUp{TopUp: topUp}})
			}
			time.Sleep(500 * time.Millisecond)
		}
	}
	b.StopTimer()
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-B/s")
}

// BenchmarkRequestWire measures the bytes between a router and the ledger for
// each request when requests are opened and billed one at a time.
func BenchmarkRequestWire(b *testing.B) {
	f := newFleet(b, 3)
	operator := f.client(b, testKeys.Operator)
	putContract(b, operator, "pew", 1_000_000_000)
	var bytes atomic.Int64
	c, err := kcwledger.New(kcwledger.Config{
		Addresses: []netip.AddrPort{countingForwarder(b, f.addresses[f.leader(b)], &bytes)},
		Key:       testKeys.Router,
	})
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	register(b, f, c, "r1", 1)
	bytes.Store(0)
	b.ResetTimer()
	for n := range b.N {
		request := fmt.Sprintf("01J%024d", n)
		submit(b, c, openCommand(request, uint64(n+1), 1200))
		submit(b, c, settleCommand(request, uint64(n+1), 400))
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-B/request")
}
