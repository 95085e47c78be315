package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwkeyring"
)

const (
	fleetKey      = "key-of-the-test-customer"
	fleetLedgers  = 3
	fleetDeadline = 60 * time.Second
)

// The processes of a test listen in a loopback network that is derived from the
// process ID of the test, so that concurrent runs don't share addresses.
var (
	network       = fmt.Sprintf("127.%d.%d.", 64+os.Getpid()/256%128, os.Getpid()%256)
	ledgerHost    = network + "%d"
	routerHost    = network + "1%d"
	engineAddress = network + "21:7300"
	engineControl = network + "21:7301"
	appAddress    = network + "22:7300"
	appControl    = network + "22:7301"
)

func routerURL(number int) string { return "http://" + fmt.Sprintf(routerHost, number) + ":7200" }

// fleet runs three ledger replicas, a model engine, a plain service and routers
// as processes.
type fleet struct {
	t        testing.TB
	folder   string
	replicas string
	programs map[string]*program
}

// program is one running process. The first to wait for its exit receives the
// error from done, within once.
type program struct {
	cmd  *exec.Cmd
	done chan error
	once sync.Once
}

// startFleet builds the programs, starts a fleet, applies the contract of the test
// customer and waits until every router answers. TokenInterval is the time
// between two tokens of the engine.
func startFleet(t testing.TB, routers int, tokenInterval time.Duration) *fleet {
	t.Helper()
	f := &fleet{t: t, folder: t.TempDir(), programs: map[string]*program{}}
	for _, name := range []string{"kcw-ledger", "kcw-router", "kcw-standin", "kcwctl"} {
		f.mustRun("go", "build", "-o", filepath.Join(f.folder, name), "../"+name)
	}
	for _, role := range []string{"peer", "router", "operator"} {
		f.write(role+".key", "key-of-the-"+role+"-role")
	}
	f.startLedgers()
	f.run("kcw-standin", "engine", fmt.Sprintf("[Standin]\nKind = engine\nAddress = %s\nControl = %s\nLogLevel = error\n[Engine]\nModels = m\nCapacity = 1000\nFirstToken = 20ms\nBetweenTokens = %s\n", engineAddress, engineControl, tokenInterval))
	f.run("kcw-standin", "app", fmt.Sprintf("[Standin]\nKind = plain\nAddress = %s\nControl = %s\nLogLevel = error\n[Plain]\nWork = 300ms\n", appAddress, appControl))
	for i := range routers {
		f.startRouter(i + 1)
	}
	f.write("contract.json", fmt.Sprintf(`{"Customer":"pew","PrepaidTokens":1000000000,
		"Limits":{"OpenRequests":0,"RequestsPerMinute":0,"TokensPerMinute":0,"MaxPromptTokens":100000,"MaxCompletionTokens":1000,"DefaultCompletionTokens":100,"QueueDeadline":"5s"},
		"Keys":[{"Name":"k","Hash":"%x"}],"Models":[{"Name":"m","Upstream":"engine"}],
		"Services":[{"Name":"app","PathPrefix":"/services/app","Methods":["GET","POST"],"CostTokens":5,"NotRepeatable":["/services/app/receipts"]}]}`, kcwkeyring.Hash(fleetKey)))
	f.ctl("apply", filepath.Join(f.folder, "contract.json"))
	for i := range routers {
		f.awaitAnswer(routerURL(i + 1))
	}
	return f
}

func (f *fleet) startLedgers() {
	var founders strings.Builder
	var replicas []string
	for i := 1; i <= fleetLedgers; i++ {
		address := fmt.Sprintf(ledgerHost, i) + ":7100"
		fmt.Fprintf(&founders, "[Founder \"ledger-%d\"]\nZone = z%d\nAddress = %s\n", i, i, address)
		replicas = append(replicas, address)
	}
	f.replicas = strings.Join(replicas, ",")
	for i, address := range replicas {
		f.run("kcw-ledger", fmt.Sprintf("ledger-%d", i+1), fmt.Sprintf(
			"[Host]\nName = ledger-%[1]d\nZone = z%[1]d\nAddress = %[2]s\nAdminAddress = %[3]s:7101\nFolder = %[4]s\nLogLevel = error\n[Group]\nBootstrap = true\n%[5]s[Keys]\nPeerKeyFile = peer.key\nRouterKeyFile = router.key\nOperatorKeyFile = operator.key\n[Service]\nSilentAfter = 2s\n",
			i+1, address, fmt.Sprintf(ledgerHost, i+1), filepath.Join(f.folder, fmt.Sprint("ledger", i+1)), founders.String()))
	}
}

func (f *fleet) startRouter(number int) {
	f.run("kcw-router", fmt.Sprint("router-", number), fmt.Sprintf(
		"[Host]\nName = router-%[1]d\nZone = z1\nAddress = %[2]s:7200\nInternalAddress = %[2]s:7201\nAdminAddress = %[2]s:7202\nFolder = %[5]s\nLogLevel = error\nDrainTime = 100ms\n[Ledger]\nAddresses = %[3]s\n[Keys]\nRouterKeyFile = router.key\n[Upstream \"engine-1\"]\nService = engine\nZone = z1\nAddress = %[4]s\n[Upstream \"app-1\"]\nService = app\nZone = z1\nAddress = %[6]s\n",
		number, fmt.Sprintf(routerHost, number), f.replicas, engineAddress, filepath.Join(f.folder, fmt.Sprint("router", number)), appAddress))
}

func (f *fleet) write(name, text string) {
	if err := os.WriteFile(filepath.Join(f.folder, name), []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) mustRun(name string, args ...string) []byte {
	f.t.Helper()
	var stderr bytes.Buffer
	cmd := exec.Command(name, args...)
	cmd.Stderr = &stderr
	out, err := cmd.Output()
	if err != nil {
		f.t.Fatalf("%s: %v\n%s", name, err, stderr.String())
	}
	return out
}

// ctl runs kcwctl and returns its output.
func (f *fleet) ctl(args ...string) []byte {
	f.t.Helper()
	common := []string{"-addresses", f.replicas, "-key-file", filepath.Join(f.folder, "operator.key"), "-output", "json"}
	return f.mustRun(filepath.Join(f.folder, "kcwctl"), append(common, args...)...)
}

// run starts a program with settings. It is stopped at the end of the test.
func (f *fleet) run(binary, name, settings string) {
	f.write(name+".ini", settings)
	cmd := exec.Command(filepath.Join(f.folder, binary), "-settings", name+".ini")
	cmd.Dir = f.folder
	var stderr bytes.Buffer
	cmd.Stderr = &stderr
	if err := cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	p := &program{cmd: cmd, done: make(chan error, 1)}
	go func() { p.done <- cmd.Wait() }()
	f.programs[name] = p
	f.t.Cleanup(func() {
		f.signal(name, syscall.SIGTERM)
		p.once.Do(func() {
			if err := <-p.done; err != nil {
				f.t.Errorf("%s: %v\n%s", name, err, stderr.String())
			}
		})
	})
}

func (f *fleet) signal(name string, s syscall.Signal) {
	// The error is ignored: the process may have ended.
	_ = f.programs[name].cmd.Process.Signal(s)
}

// awaitExit waits until a process has exited and returns its error.
func (f *fleet) awaitExit(name string) error {
	p := f.programs[name]
	var err error
	p.once.Do(func() { err = <-p.done })
	return err
}

// awaitAnswer waits until a router answers a request.
func (f *fleet) awaitAnswer(url string) {
	f.t.Helper()
	for deadline := time.Now().Add(fleetDeadline); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if _, err := firstToken(url); err == nil {
			return
		}
	}
	f.t.Fatalf("%s does not answer", url)
}

// answer is what a caller received. Err is the error of the request or of reading
// the body.
type answer struct {
	status   int
	body     string
	replayed bool
	err      error
}

// ask sends a request. OnFirstBytes, if set, is called after the first bytes of
// the answer.
func ask(url, path, identity, body string, onFirstBytes func()) answer {
	req, err := http.NewRequest(http.MethodPost, url+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+fleetKey)
	req.Header.Set("Idempotency-Key", identity)
	// The request gets its own connection and no GetBody. The client would
	// otherwise resend it by itself.
	req.Close = true
	req.GetBody = nil
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	head := make([]byte, 8)
	n, err := io.ReadFull(resp.Body, head)
	if onFirstBytes != nil {
		onFirstBytes()
	}
	if err != nil {
		return answer{status: resp.StatusCode, body: string(head[:n]), err: err}
	}
	rest, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, string(head) + string(rest), resp.Header.Get("Kcw-Replayed") != "", err}
}

// entry is one request in the record of a stand-in.
type entry struct {
	Request, Outcome               string
	PromptTokens, CompletionTokens int64
}

// record returns the requests that a stand-in has recorded.
func (f *fleet) record(control string) []entry {
	f.t.Helper()
	resp, err := http.Get("http://" + control + "/record")
	if err != nil {
		f.t.Fatal(err)
	}
	defer resp.Body.Close()
	var entries []entry
	if err := json.NewDecoder(resp.Body).Decode(&entries); err != nil {
		f.t.Fatal(err)
	}
	return entries
}
