package kcwgroup

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"k8s.io/klog/v2"

	"kingcupwick.example/kcw/kcwfolder"
	"kingcupwick.example/kcw/kcwpb"
)

const waitBound = 60 * time.Second

// TestMain keeps the log of the groups out of the output.
func TestMain(m *testing.M) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	os.Exit(m.Run())
}

// seed returns the seed of a random test: fixed, or KCW_SEED.
func seed(t testing.TB, fixed int64) int64 {
	if text := os.Getenv("KCW_SEED"); text != "" {
		free, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		fixed = free
	}
	t.Logf("seed %d", fixed)
	return fixed
}

// counter is a state machine that keeps the commands in order.
type counter struct {
	mu       sync.Mutex
	commands []string
}

func (c *counter) Apply(_ uint64, data []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.commands = append(c.commands, string(data))
	return binary.LittleEndian.AppendUint64(nil, uint64(len(c.commands)))
}

func (c *counter) Freeze() func(io.Writer) error {
	c.mu.Lock()
	image := c.commands[:len(c.commands):len(c.commands)]
	c.mu.Unlock()
	return func(w io.Writer) error {
		for _, command := range image {
			if _, err := fmt.Fprintln(w, command); err != nil {
				return err
			}
		}
		return nil
	}
}

func (c *counter) Restore(r io.Reader) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.commands = nil
	for {
		var command string
		_, err := fmt.Fscanln(r, &command)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		c.commands = append(c.commands, command)
	}
}

func (c *counter) list() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.commands...)
}

// host is one replica of a cluster, running or not.
type host struct {
	name    string
	address string
	path    string
	folder  *kcwfolder.Folder
	group   *Group
	machine *counter
	// skew is added to the host's clock, which stands still at stopped if set.
	skew    time.Duration
	stopped time.Time
}

// cluster is hosts in one process, joined by a transport that can be cut.
type cluster struct {
	t     testing.TB
	tweak func(*Config)
	// connect returns a Config.Send for a host, nil for the one of the cluster.
	connect func(*host) func(*kcwpb.Member, []*kcwpb.Message)
	// started, if set, is called with each host that has started.
	started func(*host)

	mu    sync.Mutex
	hosts map[string]*host
	cuts  map[[2]string]bool
}

func newCluster(t testing.TB, n int, tweak func(*Config)) *cluster {
	c := &cluster{t: t, tweak: tweak, hosts: map[string]*host{}, cuts: map[[2]string]bool{}}
	for i := range n {
		c.addHost(fmt.Sprintf("h%d", i+1))
	}
	t.Cleanup(c.close)
	return c
}

func (c *cluster) addHost(name string) *host {
	h := &host{
		name: name, path: c.t.TempDir(),
		address: fmt.Sprintf("127.0.0.1:%d", 40001+len(c.hosts)),
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts[name] = h
	return h
}

func (c *cluster) founders() []*kcwpb.Member {
	var members []*kcwpb.Member
	for _, h := range c.hosts {
		members = append(members, &kcwpb.Member{Name: h.name, Address: h.address})
	}
	return members
}

// send is the transport: to is found by its address.
func (c *cluster) send(from string) func(*kcwpb.Member, []*kcwpb.Message) {
	return func(to *kcwpb.Member, msgs []*kcwpb.Message) {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, h := range c.hosts {
			if h.address == to.Address && h.group != nil && !c.cuts[[2]string{from, h.name}] {
				h.group.Step(msgs)
			}
		}
	}
}

// start runs the host with a machine of its own.
func (c *cluster) start(name string, bootstrap bool) *host {
	c.t.Helper()
	h, err := c.tryStart(name, bootstrap)
	if err != nil {
		c.t.Fatalf("start %s: %v", name, err)
	}
	return h
}

func (c *cluster) tryStart(name string, bootstrap bool) (*host, error) {
	h := c.hosts[name]
	folder, err := kcwfolder.Open(kcwfolder.Config{Path: h.path})
	if err != nil {
		return nil, err
	}
	machine := &counter{}
	cfg := Config{
		Folder: folder, Group: "test", Name: name, Zone: "z-" + name,
		Address: netip.MustParseAddrPort(h.address), Founders: c.founders(),
		Bootstrap: bootstrap, Machine: machine, Send: c.send(name),
		Heartbeat: 15 * time.Millisecond, Election: 150 * time.Millisecond,
		Now: func() time.Time {
			c.mu.Lock()
			defer c.mu.Unlock()
			if !h.stopped.IsZero() {
				return h.stopped
			}
			return time.Now().Add(h.skew)
		},
	}
	if c.connect != nil {
		cfg.Send = c.connect(h)
	}
	if c.tweak != nil {
		c.tweak(&cfg)
	}
	group, err := New(cfg)
	if err != nil {
		_ = folder.Close()
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	h.folder, h.group, h.machine = folder, group, machine
	if c.started != nil {
		c.started(h)
	}
	return h, nil
}

func (c *cluster) startAll() {
	c.t.Helper()
	for name := range c.hosts {
		c.start(name, true)
	}
}

// stop ends the host; kill drops its messages first, so that it hands nothing
// over.
func (c *cluster) stop(name string, kill bool) {
	c.mu.Lock()
	h := c.hosts[name]
	group, folder := h.group, h.folder
	if kill {
		h.group = nil
		for other := range c.hosts {
			c.cuts[[2]string{name, other}] = true
		}
	}
	c.mu.Unlock()
	if group == nil {
		return
	}
	if err := group.Close(); err != nil {
		c.t.Errorf("close %s: %v", name, err)
	}
	if err := folder.Close(); err != nil {
		c.t.Errorf("close folder of %s: %v", name, err)
	}
	c.mu.Lock()
	h.group = nil
	c.mu.Unlock()
	c.heal(name)
}

// cut stops messages between name and all others, both ways.
func (c *cluster) cut(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for other := range c.hosts {
		c.cuts[[2]string{name, other}] = true
		c.cuts[[2]string{other, name}] = true
	}
}

// deafen stops messages to name.
func (c *cluster) deafen(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for other := range c.hosts {
		c.cuts[[2]string{other, name}] = true
	}
}

// stopClock makes the host's clock stand still, or go on.
func (c *cluster) stopClock(name string, stopped bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts[name].stopped = time.Time{}
	if stopped {
		c.hosts[name].stopped = time.Now().Add(c.hosts[name].skew)
	}
}

func (c *cluster) heal(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for pair := range c.cuts {
		if pair[0] == name || pair[1] == name {
			delete(c.cuts, pair)
		}
	}
}

func (c *cluster) close() {
	for name := range c.hosts {
		c.stop(name, true)
	}
}

// running returns copies of the hosts that run.
func (c *cluster) running() []*host {
	c.mu.Lock()
	defer c.mu.Unlock()
	var hosts []*host
	for _, h := range c.hosts {
		if h.group != nil {
			copied := *h
			hosts = append(hosts, &copied)
		}
	}
	return hosts
}

// leader waits until one running host, not among those passed over, confirms
// that it leads.
func (c *cluster) leader(except ...string) *host {
	c.t.Helper()
	var found *host
	c.eventually("a leader", func() bool {
		for _, h := range c.running() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			err := h.group.Confirm(ctx)
			cancel()
			if err == nil && !contains(except, h.name) {
				found = c.hosts[h.name]
				return true
			}
		}
		return false
	})
	return found
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

func (c *cluster) eventually(what string, done func() bool) {
	c.t.Helper()
	end := time.Now().Add(waitBound)
	for !done() {
		if time.Now().After(end) {
			for _, h := range c.running() {
				c.t.Logf("%s: %v", h.name, h.group.Status())
			}
			c.t.Fatalf("no %s within %v", what, waitBound)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// propose commits a command through whichever host leads.
func (c *cluster) propose(command string) {
	c.t.Helper()
	c.eventually("commit of "+command, func() bool {
		for _, h := range c.running() {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			_, err := h.group.Propose(ctx, []byte(command))
			cancel()
			if err == nil {
				return true
			}
		}
		return false
	})
}

// kindOf returns the kind of a group's error, zero for none.
func kindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}
