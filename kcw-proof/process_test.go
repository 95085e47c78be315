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

// programs is the folder of the programs under test.
var programs string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the programs with the race detector: a program that finds
// a race ends with a code of its own, which stop reports.
func buildAndRun(m *testing.M) int {
	folder, err := os.MkdirTemp("", "kcw-proof")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(folder)
	programs = folder
	for _, name := range []string{"kcw-ledger", "kcw-router", "kcw-standin"} {
		build := exec.Command("go", "build", "-race", "-o", folder, ".")
		build.Dir = filepath.Join("..", name)
		if out, err := build.CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build %s: %v\n%s", name, err, out)
			return 1
		}
	}
	return m.Run()
}

// process is one program at work.
type process struct {
	name, program, settings, log string
	ready                        string
	cmd                          *exec.Cmd
	done                         chan error
}

// launch starts the process; await waits until it is ready.
func (p *process) launch(t *testing.T) {
	t.Helper()
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	p.cmd = exec.Command(filepath.Join(programs, p.program), "-settings", p.settings)
	p.cmd.Stderr = log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	cmd, done := p.cmd, make(chan error, 1)
	p.done = done
	go func() { done <- cmd.Wait() }()
}

func (p *process) await(t *testing.T) {
	t.Helper()
	until(t, p.name+" is ready", func() bool {
		select {
		case err := <-p.done:
			t.Fatalf("%s ended with %v:\n%s", p.name, err, p.tail())
		default:
		}
		client := http.Client{Timeout: time.Second}
		response, err := client.Get("http://" + p.ready + "/readyz")
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

// kill ends the process at once.
func (p *process) kill(t *testing.T) {
	t.Helper()
	p.signal(t, syscall.SIGKILL)
	<-p.done
	p.cmd = nil
}

// stop asks the process to end and fails the test unless it ends well.
func (p *process) stop(t *testing.T) {
	t.Helper()
	if p.cmd == nil {
		return
	}
	// A frozen process can't act on the other signal. A process that has ended
	// already is told by its exit.
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-p.done:
		if err != nil {
			t.Errorf("%s ended with %v:\n%s", p.name, err, p.tail())
		}
	case <-time.After(bound):
		t.Errorf("%s did not stop:\n%s", p.name, p.tail())
		_ = p.cmd.Process.Kill()
		<-p.done
	}
	p.cmd = nil
}

// tail returns the end of the process's log, or the first race that it tells of.
func (p *process) tail() string {
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

// bound is how long a condition may take to come true.
const bound = time.Minute

// until waits for the condition and fails the test if it does not come true.
func until(t *testing.T, what string, condition func() bool) {
	t.Helper()
	const poll = 50 * time.Millisecond
	for deadline := time.Now().Add(bound); time.Now().Before(deadline); time.Sleep(poll) {
		if condition() {
			return
		}
	}
	t.Fatalf("waited %v in vain: %s", bound, what)
}
