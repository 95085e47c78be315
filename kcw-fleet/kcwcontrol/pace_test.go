package kcwcontrol

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestDocumentToAll simulates routers that ask for a new document with their reports,
// over the link of one host. It checks that within one call timeout no more bytes are
// sent than the link carries, and when the last router has the document.
func TestDocumentToAll(t *testing.T) {
	const (
		megabit  = 1e6 / 8
		interval = 250 * time.Millisecond
		timeout  = 600 * time.Millisecond
	)
	for _, test := range []struct {
		name     string
		routers  int
		bytes    int
		linkMbps float64
		within   time.Duration
	}{
		{"hundreds of routers and a large document", 300, 40_000, 100, 3 * time.Second},
		{"planned maximum", 377, 40_000, 100, 3 * time.Second},
		{"few routers on a fast link", 10, 40_000, 1000, 2 * interval},
		{"unlimited link", 300, 40_000, 0, 2 * interval},
	} {
		random := rand.New(rand.NewPCG(1, 5))
		pacer := &sendPacer{bytesPerSecond: test.linkMbps * megabit}
		start := time.Unix(1_700_000_000, 0)
		requestAt := make([]time.Duration, test.routers)
		for i := range requestAt {
			requestAt[i] = time.Duration(random.Int64N(int64(interval)))
		}
		var sent []time.Duration
		now := time.Duration(0)
		for ; len(sent) < test.routers && now < time.Minute; now += time.Millisecond {
			for i, at := range requestAt {
				if at < 0 || at.Truncate(time.Millisecond) != now {
					continue
				}
				if pacer.allow(test.bytes, start.Add(now)) {
					sent = append(sent, now)
					requestAt[i] = -1
					continue
				}
				requestAt[i] = now + interval/2 + time.Duration(random.Int64N(int64(interval)))
			}
		}
		if len(sent) < test.routers || sent[len(sent)-1] > test.within {
			t.Errorf("%s: %d of %d routers have the document after %v, want all within %v", test.name, len(sent), test.routers, now, test.within)
		}
		for i, from := range sent {
			bytes := 0
			for _, at := range sent[i:] {
				if at-from < timeout {
					bytes += test.bytes
				}
			}
			if maxBytes := test.linkMbps * megabit * timeout.Seconds(); maxBytes > 0 && float64(bytes) > maxBytes {
				t.Fatalf("%s: %d bytes are sent in %v from %v on, the link carries %.0f", test.name, bytes, timeout, from, maxBytes)
			}
		}
	}
}
