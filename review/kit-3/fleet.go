package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the sheet of gpcw-router, and ports of the fleet.
const (
	contact = 3 * time.Second
	ackTime = 4 * time.Second

	frontPort, readyPort, controlPort, firstPort, lastPort = 8227, 8220, 8229, 7340, 7355
	listHost                                               = 200
)

// host is a machine of the fleet. All of them run a router and a control process.
type host struct {
	number int
	zone   string
	disk   bool
}

// hosts are two machines in each of three zones. The first of a zone has a disk.
var hosts = []host{
	{1, "neweng-a", true},
	{2, "neweng-a", false},
	{3, "neweng-b", true},
	{4, "neweng-b", false},
	{5, "neweng-c", true},
	{6, "neweng-c", false},
}

// fleet is the processes of the project, on loopback addresses.
type fleet struct {
	record  *record
	folder  string
	network string
	list    string
	seeds   []int

	mu      sync.Mutex
	daemons map[string]*exec.Cmd
}

// newFleet finds a free loopback network.
func newFleet(r *record, seeds []int) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	for range 50 {
		network := fmt.Sprintf("127.%d.%d.", 100+rand.IntN(80), rand.IntN(250))
		if isFree(network) {
			return &fleet{record: r, folder: folder, network: network, seeds: seeds, list: fmt.Sprintf("%s%d:8223", network, listHost), daemons: map[string]*exec.Cmd{}}, nil
		}
	}
	return nil, errors.New("no free loopback network")
}

func isFree(network string) bool {
	for _, h := range hosts {
		for _, port := range []int{frontPort, readyPort, controlPort, firstPort, lastPort} {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", network, h.number, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

func (f *fleet) at(number, port int) string { return fmt.Sprintf("%s%d:%d", f.network, number, port) }

// fill fills in a template of the deploy file, as far as these templates use the syntax.
func (f *fleet) fill(text string, h host, folder string, bootstrap bool) string {
	if begin, end := strings.Index(text, "{{#data_dir}}"), strings.Index(text, "{{/data_dir}}"); begin >= 0 && end > begin {
		section := ""
		if h.disk {
			section = text[begin+len("{{#data_dir}}") : end]
		}
		text = text[:begin] + section + text[end+len("{{/data_dir}}"):]
	}
	var seeds []string
	for _, n := range f.seeds {
		seeds = append(seeds, f.at(n, controlPort))
	}
	return strings.NewReplacer(
		// Each of these processes has a /tmp of its own on the platform.
		"= /tmp/", "= "+f.folder+"/",
		"{{node}}", fmt.Sprintf("front-%s-%d", h.zone, h.number),
		"{{zone}}", h.zone,
		"{{ip}}", fmt.Sprintf("%s%d", f.network, h.number),
		"{{listen.front}}", f.at(h.number, frontPort),
		"{{listen.ready}}", f.at(h.number, readyPort),
		"{{listen.control}}", f.at(h.number, controlPort),
		"{{limits.memory_mb}}", "284",
		"{{limits.link_mbps}}", "1000",
		"{{data_dir}}", folder,
		"{{seeds}}", strings.Join(seeds, ","),
		"{{internal_ports.0}}", fmt.Sprint(firstPort),
		"{{internal_ports.1}}", fmt.Sprint(lastPort),
		"{{bootstrap}}", fmt.Sprint(bootstrap),
		"{{fault_tolerance.machines}}", "1",
		"{{bounds.grace_s}}", "8",
		"{{bounds.catch_up_s}}", "4",
		"{{bounds.retry_slack}}", "60",
		"{{bounds.retry_ratio}}", "0.2",
		"{{cloud.address}}", f.list,
	).Replace(text)
}

// start starts one role on a host, with the command of the deploy file.
func (f *fleet) start(h host, role string, bootstrap bool) error {
	template, err := os.ReadFile(filepath.Join("deploy", role+".ini"))
	if err != nil {
		return err
	}
	name := fmt.Sprintf("%s-%d", role, h.number)
	folder := filepath.Join(f.folder, "disk-"+name)
	if h.disk {
		if err := os.MkdirAll(folder, 0o700); err != nil {
			return err
		}
	}
	settings := filepath.Join(f.folder, name+".ini")
	if err := os.WriteFile(settings, []byte(f.fill(string(template), h, folder, bootstrap)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cores := "0.4"
	if h.disk {
		cores = "0.72"
	}
	cmd := exec.Command(filepath.Join("target", "platform"), role, "-settings", settings)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.folder, "LANG=C", "KCW_CORES=" + cores, "KCW_MAX_DESCRIPTORS=4100", "KCW_COLD_OVERAGE=", "KCW_COLD_SLACK="}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	f.mu.Lock()
	f.daemons[name] = cmd
	f.mu.Unlock()
	f.record.line("started %s, process %d", name, cmd.Process.Pid)
	return nil
}

// startAll starts the whole fleet for the first time.
func (f *fleet) startAll() error {
	for _, h := range hosts {
		for _, role := range []string{"control", "router"} {
			if err := f.start(h, role, true); err != nil {
				return err
			}
		}
	}
	return nil
}

// kill ends both processes of a host at once, as a loss of power does.
func (f *fleet) kill(h host) {
	for _, role := range []string{"control", "router"} {
		name := fmt.Sprintf("%s-%d", role, h.number)
		f.mu.Lock()
		cmd := f.daemons[name]
		delete(f.daemons, name)
		f.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
			f.record.line("killed %s", name)
		}
	}
}

// close ends all processes and removes the temporary folder, unless KEEP is set.
func (f *fleet) close() {
	for _, h := range hosts {
		f.kill(h)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		fmt.Println("logs in", f.folder)
	}
}

// isReady asks a router as the provider does.
func (f *fleet) isReady(number int) bool {
	response, err := (&http.Client{Timeout: time.Second}).Get("http://" + f.at(number, readyPort) + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until the routers of all hosts are ready.
func (f *fleet) awaitReady(within time.Duration) error {
	for end := time.Now().Add(within); ; time.Sleep(200 * time.Millisecond) {
		ready := 0
		for _, h := range hosts {
			if f.isReady(h.number) {
				ready++
			}
		}
		if ready == len(hosts) {
			f.record.line("all %d routers are ready", ready)
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d routers are ready after %v", ready, len(hosts), within)
		}
	}
}

// put sends a configuration as the operator does, to one host after the other, until it is
// acknowledged. It returns how long that took.
func (f *fleet) put(version int, within time.Duration) (time.Duration, error) {
	start := time.Now()
	pause := 100 * time.Millisecond
	for i := 0; time.Since(start) < within; i++ {
		number := hosts[i%len(hosts)].number
		request, err := http.NewRequest(http.MethodPut, "http://"+f.at(number, controlPort)+"/configuration", strings.NewReader(configuration(version)))
		if err != nil {
			return 0, err
		}
		request.Header.Set("Content-Type", "application/json")
		response, err := (&http.Client{Timeout: time.Second}).Do(request)
		if err != nil {
			f.record.line("configuration %d to host %d: %v", version, number, err)
		} else {
			_ = response.Body.Close()
			f.record.line("configuration %d to host %d: %d", version, number, response.StatusCode)
			if response.StatusCode == http.StatusOK {
				return time.Since(start), nil
			}
			if response.StatusCode >= 400 && response.StatusCode < 500 && response.StatusCode != http.StatusRequestTimeout && response.StatusCode != http.StatusTooManyRequests {
				return 0, fmt.Errorf("configuration %d is refused with %d", version, response.StatusCode)
			}
		}
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
	return 0, errNoAck
}

// errNoAck means that the operator's configuration was not acknowledged in time.
var errNoAck = errors.New("the configuration is not acknowledged")
