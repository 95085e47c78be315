package main

import (
	"errors"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Ports of each machine, relative to the base port of the run.
const (
	frontPort = iota
	readyPort
	controlPort
	internalPort
	lastPort = internalPort + 5
)

// fleet holds the daemons of a small deployment. Its machines have one loopback address each.
type fleet struct {
	record  *record
	folder  string
	network string
	base    int
	seeds   []int
	list    *listServer
	program map[string][]string
	running map[string]*exec.Cmd
}

// newFleet returns a fleet without daemons whose machines are numbered from 1 to machines.
func newFleet(rec *record, machines int) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: rec, folder: folder, seeds: []int{1, 2, 3}, running: map[string]*exec.Cmd{}, program: map[string][]string{}}
	if err := f.findAddresses(machines); err != nil {
		return nil, err
	}
	if err := f.readDeployFile(); err != nil {
		return nil, err
	}
	f.list, err = newListServer(f.ip(machines + 1))
	return f, err
}

// findAddresses chooses a loopback network and a base port that are free.
func (f *fleet) findAddresses(machines int) error {
	for range 100 {
		f.network = fmt.Sprintf("127.%d.%d.", 100+rand.Intn(100), rand.Intn(250))
		f.base = 20000 + rand.Intn(1000)*10
		if f.isFree(machines) {
			return nil
		}
	}
	return errors.New("no free addresses")
}

func (f *fleet) isFree(machines int) bool {
	for n := 1; n <= machines; n++ {
		for port := frontPort; port <= lastPort; port++ {
			listener, err := net.Listen("tcp", f.at(n, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

func (f *fleet) ip(n int) string { return fmt.Sprintf("%s%d", f.network, n) }

// at returns an address of the n-th machine.
func (f *fleet) at(n, port int) string { return fmt.Sprintf("%s:%d", f.ip(n), f.base+port) }

// readDeployFile reads the commands and the templates of the roles.
func (f *fleet) readDeployFile() error {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return err
	}
	role := ""
	entry := regexp.MustCompile(`^(run|template) = "(.*)"$`)
	for line := range strings.Lines(string(text)) {
		line = strings.TrimSpace(line)
		if name, found := strings.CutPrefix(line, "[roles."); found {
			role = strings.TrimSuffix(name, "]")
		}
		if match := entry.FindStringSubmatch(line); match != nil {
			f.program[role+"."+match[1]] = strings.Fields(match[2])
		}
	}
	if f.program["router.run"] == nil || f.program["control.run"] == nil {
		return errors.New("the deploy file has no roles router and control")
	}
	return nil
}

// settings returns the settings file that the platform makes of the role's template for the
// n-th machine. DataDir is empty on a machine without a disk.
func (f *fleet) settings(role string, n int, bootstrap bool, dataDir string) (string, error) {
	text, err := os.ReadFile(f.program[role+".template"][0])
	if err != nil {
		return "", err
	}
	var seeds []string
	for _, seed := range f.seeds {
		seeds = append(seeds, f.at(seed, controlPort))
	}
	values := map[string]string{
		"node": f.nodeName(role, n), "zone": f.zone(n), "ip": f.ip(n), "seeds": strings.Join(seeds, ","),
		"listen.front": f.at(n, frontPort), "listen.ready": f.at(n, readyPort), "listen.control": f.at(n, controlPort),
		"internal_ports.0": strconv.Itoa(f.base + internalPort), "internal_ports.1": strconv.Itoa(f.base + lastPort),
		"limits.memory_mb": "284", "limits.link_mbps": "1000.0", "limits.cpu_share": "0.5", "data_dir": dataDir, "bootstrap": strconv.FormatBool(bootstrap),
		"fault_tolerance.machines": "1", "bounds.catch_up_s": "4", "bounds.grace_s": "8", "bounds.retry_slack": "60", "bounds.retry_ratio": "0.2",
		"cloud.address": f.list.address(),
	}
	section := regexp.MustCompile(`(?s)\{\{#data_dir\}\}(.*?)\{\{/data_dir\}\}`)
	out := section.ReplaceAllStringFunc(string(text), func(whole string) string {
		if dataDir == "" {
			return ""
		}
		return section.FindStringSubmatch(whole)[1]
	})
	var missing error
	out = regexp.MustCompile(`\{\{([^}]*)\}\}`).ReplaceAllStringFunc(out, func(name string) string {
		value, found := values[strings.Trim(name, "{}")]
		if !found {
			missing = fmt.Errorf("no value for %s", name)
		}
		return value
	})
	return out, missing
}

func (f *fleet) nodeName(role string, n int) string {
	return fmt.Sprintf("review-%d-%s-%d", os.Getpid(), role, n)
}

// zone returns the zone of the n-th machine. There are three.
func (f *fleet) zone(n int) string { return "zone-" + string(rune('a'+(n-1)%3)) }

// start starts a daemon with the command of the deploy file. Its data folder is kept between
// starts.
func (f *fleet) start(role string, n int, bootstrap, hasDisk bool) error {
	dataDir := ""
	if hasDisk {
		dataDir = filepath.Join(f.folder, fmt.Sprintf("data-%s-%d", role, n))
	}
	text, err := f.settings(role, n, bootstrap, dataDir)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("%s-%d", role, n)
	path := filepath.Join(f.folder, name+".ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	words := append([]string(nil), f.program[role+".run"]...)
	for i, word := range words {
		if strings.HasPrefix(word, "/etc/") {
			words[i] = path
		}
	}
	log, err := os.OpenFile(filepath.Join(f.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	f.running[name] = cmd
	f.record.add("start %s, bootstrap = %v", name, bootstrap)
	return nil
}

// startAll starts all daemons for the first time, on machines with a disk.
func (f *fleet) startAll(machines int) error {
	for n := 1; n <= machines; n++ {
		for _, role := range []string{"control", "router"} {
			if err := f.start(role, n, true, true); err != nil {
				return err
			}
		}
	}
	return nil
}

// awaitReady waits until the routers of all machines are ready.
func (f *fleet) awaitReady(machines int) error {
	for range 200 {
		ready := 0
		for n := 1; n <= machines; n++ {
			if status, err := readStatus(http.Get("http://" + f.at(n, readyPort) + "/readyz")); err == nil && status == http.StatusOK {
				ready++
			}
		}
		if ready == machines {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("not all routers are ready")
}

// kill ends a daemon at once and waits for its end.
func (f *fleet) kill(name string) {
	cmd := f.running[name]
	delete(f.running, name)
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
	f.record.add("kill %s", name)
}

// signal sends a signal to a daemon.
func (f *fleet) signal(name string, sig syscall.Signal) {
	err := f.running[name].Process.Signal(sig)
	f.record.add("signal %s to %s, error %v", sig, name, err)
}

// isRunning reports whether a daemon has not ended by itself.
func (f *fleet) isRunning(name string) bool {
	cmd := f.running[name]
	if cmd == nil {
		return false
	}
	var status syscall.WaitStatus
	pid, err := syscall.Wait4(cmd.Process.Pid, &status, syscall.WNOHANG, nil)
	return err == nil && pid == 0
}

// close ends all daemons and removes their files. The daemons' own words on what happened are
// copied to the record.
func (f *fleet) close(words ...string) {
	for name, cmd := range f.running {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		delete(f.running, name)
	}
	logs, _ := filepath.Glob(filepath.Join(f.folder, "*.log"))
	for _, path := range logs {
		text, _ := os.ReadFile(path)
		for line := range strings.Lines(string(text)) {
			for _, word := range words {
				if strings.Contains(line, word) {
					f.record.addLog(filepath.Base(path), strings.ReplaceAll(strings.TrimSpace(line), f.folder, "FOLDER"))
				}
			}
		}
	}
	f.list.close()
	_ = os.RemoveAll(f.folder)
	keys, _ := filepath.Glob(fmt.Sprintf("/tmp/kcw-*-review-%d-*.key", os.Getpid()))
	for _, key := range keys {
		_ = os.Remove(key)
	}
}

// sleepUntil sleeps until a time after the start of the run.
func (f *fleet) sleepUntil(at time.Duration) { time.Sleep(time.Until(f.record.start.Add(at))) }
