package proof

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// programFolder is the folder with the built programs.
var programFolder string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the programs with the race detector and runs the tests. A
// program that detects a race exits with a special code, which stop reports.
func buildAndRun(m *testing.M) int {
	folder, err := os.MkdirTemp("", "kcw-proof")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(folder)
	programFolder = folder
	if err := buildPrograms("-race"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// buildPrograms builds the programs into programFolder.
func buildPrograms(flags ...string) error {
	for _, name := range []string{"kcw-ledger", "kcw-router", "kcw-standin"} {
		build := exec.Command("go", append(append([]string{"build"}, flags...), "-o", programFolder, ".")...)
		build.Dir = filepath.Join("..", name)
		if out, err := build.CombinedOutput(); err != nil {
			return fmt.Errorf("build %s: %w\n%s", name, err, out)
		}
	}
	return nil
}

// process is a program under test. Its cmd is nil while it isn't running.
type process struct {
	name, program, settings, log string
	adminAddress                 string
	// descriptors bounds the open files, zero for no bound of its own.
	descriptors int
	cmd         *exec.Cmd
	done        chan error
}

// launch starts the process. Its log is appended to the log file.
func (p *process) launch(t *testing.T) {
	t.Helper()
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	path := filepath.Join(programFolder, p.program)
	p.cmd = exec.Command(path, "-settings", p.settings)
	if p.descriptors > 0 {
		limit := fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, p.descriptors)
		p.cmd = exec.Command("sh", "-c", limit, path, "-settings", p.settings)
	}
	p.cmd.Stderr = log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	cmd, done := p.cmd, make(chan error, 1)
	p.done = done
	go func() { done <- cmd.Wait() }()
}

// awaitReady waits until the process reports that it is ready. It fails the test
// if the process exits.
func (p *process) awaitReady(t *testing.T) {
	t.Helper()
	waitFor(t, p.name+" is ready", func() bool {
		select {
		case err := <-p.done:
			t.Fatalf("%s ended with %v:\n%s", p.name, err, p.logTail())
		default:
		}
		client := http.Client{Timeout: time.Second}
		response, err := client.Get("http://" + p.adminAddress + "/readyz")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

func (p *process) signal(t *testing.T, signal syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(signal); err != nil {
		t.Fatalf("%s: %v: %v", p.name, signal, err)
	}
}

// kill sends SIGKILL and waits for the process to exit.
func (p *process) kill(t *testing.T) {
	t.Helper()
	p.signal(t, syscall.SIGKILL)
	<-p.done
	p.cmd = nil
}

// stop shuts the process down. It fails the test if the process exits with an
// error or does not exit within waitTimeout.
func (p *process) stop(t *testing.T) {
	t.Helper()
	if p.cmd == nil {
		return
	}
	// A process stopped by SIGSTOP can't handle SIGTERM before SIGCONT. The
	// errors are ignored: if the process has already exited, p.done reports it.
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-p.done:
		if err != nil {
			t.Errorf("%s ended with %v:\n%s", p.name, err, p.logTail())
		}
	case <-time.After(waitTimeout):
		t.Errorf("%s did not stop:\n%s", p.name, p.logTail())
		_ = p.cmd.Process.Kill()
		<-p.done
	}
	p.cmd = nil
}

// logTail returns the first data race reported in the process's log or, if there
// is none, the last lines of the log.
func (p *process) logTail() string {
	const lines, raceBytes = 30, 6000
	data, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	if _, race, found := strings.Cut(string(data), "WARNING: DATA RACE"); found {
		return race[:min(len(race), raceBytes)]
	}
	all := strings.Split(string(data), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

// waitTimeout is the maximum wait for a condition, a call or a shutdown.
const waitTimeout = time.Minute

// waitFor polls until the condition is true. It fails the test after waitTimeout.
func waitFor(t *testing.T, description string, condition func() bool) {
	t.Helper()
	const poll = 50 * time.Millisecond
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(poll) {
		if condition() {
			return
		}
	}
	t.Fatalf("not reached within %v: %s", waitTimeout, description)
}
