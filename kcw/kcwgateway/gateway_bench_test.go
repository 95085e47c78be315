package kcwgateway

import (
	"bytes"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"testing"
	"time"
)

// BenchmarkOverhead measures the time to the first byte of a stream, in turn directly
// from an upstream and through a gateway with an in-memory ledger.
func BenchmarkOverhead(b *testing.B) {
	l := newLedger(b, "r1")
	e := &engine{words: []string{"a", "b"}}
	f := startGateway(b, l, "r1", map[string][]http.Handler{"engine": {e}}, nil)
	address := startUpstream(b, e)
	var direct, routed []time.Duration
	for b.Loop() {
		direct = append(direct, timeToFirstByte(b, address, streamBody))
		routed = append(routed, timeToFirstByte(b, netip.MustParseAddrPort(f.server.Listener.Addr().String()), streamBody))
	}
	slices.Sort(direct)
	slices.Sort(routed)
	b.ReportMetric(float64(direct[len(direct)/2].Microseconds()), "direct-p50-us")
	b.ReportMetric(float64(routed[len(routed)/2].Microseconds()), "routed-p50-us")
}

func timeToFirstByte(b *testing.B, address netip.AddrPort, body string) time.Duration {
	req, err := http.NewRequest(http.MethodPost, "http://"+address.String()+chatPath, bytes.NewReader([]byte(body)))
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+keyOf("pew"))
	began := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		b.Fatal(err)
	}
	defer resp.Body.Close()
	if _, err := io.ReadFull(resp.Body, make([]byte, 1)); err != nil {
		b.Fatal(err)
	}
	first := time.Since(began)
	_, _ = io.Copy(io.Discard, resp.Body)
	return first
}
