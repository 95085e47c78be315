package kcwledger

import (
	"crypto/sha256"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwpb/kcwpbconnect"
)

// countingListener counts the bytes of its connections, both ways.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// claimCommands returns the commands that open and settle the claim of a request
// of typical size.
func claimCommands(n int) (*kcwpb.Command, *kcwpb.Command) {
	digest := sha256.Sum256([]byte("a request"))
	request := fmt.Sprintf("01J%024d", n)
	opening := &kcwpb.OpenClaim{
		Customer: "granite-pew", Request: request, Tokens: 1200, Router: "neweng-a-3", Incarnation: 1_800_000_000,
		Repeatable: true, Digest: digest[:], LeaseNanos: 600e9, Attempt: uint64(n),
	}
	settling := &kcwpb.SettleClaim{
		Customer: "granite-pew", Request: request, Router: "neweng-a-3", Incarnation: 1_800_000_000,
		Outcome: kcwpb.Outcome_OUTCOME_RAN, Tokens: 400, Upstream: "kcw-model-07", AnswerDigest: digest[:], Attempt: uint64(n),
	}
	return &kcwpb.Command{Op: &kcwpb.Command_OpenClaim{OpenClaim: opening}},
		&kcwpb.Command{Op: &kcwpb.Command_SettleClaim{SettleClaim: settling}}
}

// BenchmarkRequestBytes measures the bytes between a router and the ledger for
// the two commands of one request, for several numbers of concurrent requests.
func BenchmarkRequestBytes(b *testing.B) {
	for _, workers := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) { benchmarkRequestBytes(b, workers) })
	}
}

func benchmarkRequestBytes(b *testing.B, workers int) {
	var bytes atomic.Int64
	mux := http.NewServeMux()
	mux.Handle(kcwpbconnect.NewLedgerHandler(&replica{submit: ok}))
	server := httptest.NewUnstartedServer(mux)
	server.Listener = &countingListener{server.Listener, &bytes}
	server.Config.Protocols = protocols()
	server.Start()
	defer server.Close()
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	c, err := New(Config{Addresses: []netip.AddrPort{address}, Key: "0123456789abcdef0123456789abcdef"})
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	var next atomic.Int64
	var group sync.WaitGroup
	b.ResetTimer()
	for range workers {
		group.Go(func() {
			for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
				opening, settling := claimCommands(int(n))
				for _, cmd := range []*kcwpb.Command{opening, settling} {
					if _, err := c.Submit(b.Context(), cmd); err != nil {
						b.Error(err)
						return
					}
				}
			}
		})
	}
	group.Wait()
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-B/request")
}
