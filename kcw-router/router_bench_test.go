package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// benchBody is the body of the measured requests.
const benchBody = `{"model":"m","messages":[{"role":"user","content":"How is shellac thinned?"}],"max_tokens":4,"stream":true}`

// firstToken requests a stream, reads it to its end, and returns the time until
// its first event.
func firstToken(base string) (time.Duration, error) {
	req, err := http.NewRequest(http.MethodPost, base+"/v1/chat/completions", strings.NewReader(benchBody))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+fleetKey)
	start := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	in := bufio.NewReader(resp.Body)
	line, err := in.ReadString('\n')
	first := time.Since(start)
	if err != nil || !strings.HasPrefix(line, "data: {") {
		return 0, fmt.Errorf("status %d: %s", resp.StatusCode, line)
	}
	rest, err := io.ReadAll(in)
	if err == nil && !strings.Contains(string(rest), "[DONE]") {
		err = io.ErrUnexpectedEOF
	}
	return first, err
}

// BenchmarkFirstToken measures the time to the first token, alternately directly
// from the stand-in and through a router with three ledger replicas, for several
// numbers of concurrent callers.
func BenchmarkFirstToken(b *testing.B) {
	startFleet(b, 1, time.Millisecond)
	http.DefaultTransport.(*http.Transport).MaxIdleConnsPerHost = 64
	for _, callers := range []int{1, 16} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			var mu sync.Mutex
			var direct, routed []time.Duration
			var all sync.WaitGroup
			turns := make(chan struct{}, b.N)
			for range b.N {
				turns <- struct{}{}
			}
			close(turns)
			for range callers {
				all.Go(func() {
					for range turns {
						d, errD := firstToken("http://" + engineAddress)
						r, errR := firstToken(routerURL(1))
						if errD != nil || errR != nil {
							b.Error(errD, errR)
							return
						}
						mu.Lock()
						direct, routed = append(direct, d), append(routed, r)
						mu.Unlock()
					}
				})
			}
			all.Wait()
			report(b, "direct", direct)
			report(b, "routed", routed)
			if len(direct) > 0 {
				b.ReportMetric(millis(median(routed)-median(direct)), "added-p50-ms")
			}
		})
	}
}

func report(b *testing.B, name string, times []time.Duration) {
	if len(times) == 0 {
		return
	}
	slices.Sort(times)
	b.ReportMetric(millis(median(times)), name+"-p50-ms")
	b.ReportMetric(millis(times[len(times)*95/100]), name+"-p95-ms")
}

func median(sorted []time.Duration) time.Duration { return sorted[len(sorted)/2] }

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
