package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwkeyring"
)

// The addresses of the fleet under measurement.
const (
	benchLedger   = "127.0.43.%d:7100"
	benchRouter   = "127.0.43.11"
	benchEngine   = "127.0.43.21:7300"
	benchControl  = "127.0.43.21:7301"
	benchKey      = "key-of-the-bench-customer"
	benchLedgers  = 3
	benchDeadline = 30 * time.Second
	benchBody     = `{"model":"m","messages":[{"role":"user","content":"How is shellac thinned?"}],"max_tokens":4,"stream":true}`
)

// fleet is the processes of one run.
type fleet struct {
	b      *testing.B
	folder string
}

func startFleet(b *testing.B) *fleet {
	b.Helper()
	f := &fleet{b: b, folder: b.TempDir()}
	for _, program := range []string{"kcw-ledger", "kcw-router", "kcw-standin", "kcwctl"} {
		f.must("go", "build", "-o", filepath.Join(f.folder, program), "../"+program)
	}
	for _, role := range []string{"peer", "router", "operator"} {
		f.write(role+".key", "key-of-the-"+role+"-role")
	}
	var founders, addresses strings.Builder
	for i := range benchLedgers {
		address := fmt.Sprintf(benchLedger, i+1)
		fmt.Fprintf(&founders, "[Founder \"ledger-%d\"]\nZone = z%d\nAddress = %s\n", i+1, i+1, address)
		fmt.Fprintf(&addresses, ",%s", address)
	}
	replicas := addresses.String()[1:]
	for i := range benchLedgers {
		address := fmt.Sprintf(benchLedger, i+1)
		f.run("kcw-ledger", fmt.Sprintf("ledger-%d", i+1), fmt.Sprintf(
			"[Host]\nName = ledger-%d\nZone = z%d\nAddress = %s\nAdminAddress = %s\nFolder = %s\nLogLevel = error\n[Group]\nBootstrap = true\n%s[Keys]\nPeerKeyFile = peer.key\nRouterKeyFile = router.key\nOperatorKeyFile = operator.key\n",
			i+1, i+1, address, strings.Replace(address, ":7100", ":7101", 1), filepath.Join(f.folder, fmt.Sprint("data", i)), founders.String()))
	}
	f.run("kcw-standin", "engine", fmt.Sprintf("[Standin]\nKind = engine\nAddress = %s\nControl = %s\nLogLevel = error\n[Engine]\nModels = m\nCapacity = 1000\nFirstToken = 20ms\nBetweenTokens = 1ms\n", benchEngine, benchControl))
	f.run("kcw-router", "router", fmt.Sprintf(
		"[Host]\nName = router-1\nZone = z1\nAddress = %[1]s:7200\nInternalAddress = %[1]s:7201\nAdminAddress = %[1]s:7202\nLogLevel = error\nDrainTime = 0s\n[Ledger]\nAddresses = %[2]s\n[Keys]\nRouterKeyFile = router.key\n[Upstream \"engine-1\"]\nService = engine\nZone = z1\nAddress = %[3]s\n",
		benchRouter, replicas, benchEngine))
	f.write("contract.json", fmt.Sprintf(`{"Customer":"bench","PrepaidTokens":1000000000,
		"Limits":{"OpenRequests":0,"RequestsPerMinute":0,"TokensPerMinute":0,"MaxPromptTokens":100000,"MaxCompletionTokens":1000,"DefaultCompletionTokens":100,"QueueDeadline":"5s"},
		"Keys":[{"Name":"k","Hash":"%x"}],"Models":[{"Name":"m","Upstream":"engine"}]}`, kcwkeyring.Hash(benchKey)))
	f.must(filepath.Join(f.folder, "kcwctl"), "-addresses", replicas, "-key-file", filepath.Join(f.folder, "operator.key"), "apply", filepath.Join(f.folder, "contract.json"))
	f.await()
	return f
}

func (f *fleet) write(name, text string) {
	if err := os.WriteFile(filepath.Join(f.folder, name), []byte(text), 0o600); err != nil {
		f.b.Fatal(err)
	}
}

func (f *fleet) must(name string, args ...string) {
	f.b.Helper()
	if out, err := exec.Command(name, args...).CombinedOutput(); err != nil {
		f.b.Fatalf("%s: %v\n%s", name, err, out)
	}
}

// run starts a program with settings until the benchmark ends.
func (f *fleet) run(program, name, settings string) {
	f.write(name+".ini", settings)
	cmd := exec.Command(filepath.Join(f.folder, program), "-settings", name+".ini")
	cmd.Dir = f.folder
	var stderr bytes.Buffer
	cmd.Stderr = &stderr
	if err := cmd.Start(); err != nil {
		f.b.Fatal(err)
	}
	f.b.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGTERM)
		if err := cmd.Wait(); err != nil {
			f.b.Errorf("%s: %v\n%s", name, err, stderr.String())
		}
	})
}

// await waits until the router answers.
func (f *fleet) await() {
	for deadline := time.Now().Add(benchDeadline); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if _, err := firstToken("http://" + benchRouter + ":7200"); err == nil {
			return
		}
	}
	f.b.Fatal("the router does not answer")
}

// firstToken returns the time until the first event of a stream, which it
// reads to its end.
func firstToken(base string) (time.Duration, error) {
	req, err := http.NewRequest(http.MethodPost, base+"/v1/chat/completions", strings.NewReader(benchBody))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+benchKey)
	began := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	in := bufio.NewReader(resp.Body)
	line, err := in.ReadString('\n')
	first := time.Since(began)
	if err != nil || !strings.HasPrefix(line, "data: {") {
		return 0, fmt.Errorf("status %d: %s", resp.StatusCode, line)
	}
	rest, err := io.ReadAll(in)
	if err == nil && !strings.Contains(string(rest), "[DONE]") {
		err = io.ErrUnexpectedEOF
	}
	return first, err
}

// BenchmarkFirstToken measures the time to the first token straight from the
// stand-in and through a router with three ledgers, by turns, at a number of
// callers.
func BenchmarkFirstToken(b *testing.B) {
	startFleet(b)
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
						d, errD := firstToken("http://" + benchEngine)
						r, errR := firstToken("http://" + benchRouter + ":7200")
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
