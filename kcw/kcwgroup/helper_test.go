package kcwgroup

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"k8s.io/klog/v2"

	"kingcupwick.example/kcw/kcwfolder"
	"kingcupwick.example/kcw/kcwpb"
)

const waitTimeout = 60 * time.Second

// TestMain discards the groups' log output.
func TestMain(m *testing.M) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	os.Exit(m.Run())
}

// seed returns the seed of a randomized test: the value of KCW_SEED if that is set, and
// fixed otherwise.
func seed(t testing.TB, fixed int64) int64 {
	fixed = setting(t, "KCW_SEED", fixed)
	t.Logf("seed %d", fixed)
	return fixed
}

// sequences returns how many random sequences a test plays: the value of KCW_SEQUENCES if that is
// set, and fixed otherwise.
func sequences(t testing.TB, fixed int64) int64 { return setting(t, "KCW_SEQUENCES", fixed) }

// setting returns the number in the variable name, or fixed if it is not set.
func setting(t testing.TB, name string, fixed int64) int64 {
	text := os.Getenv(name)
	if text == "" {
		return fixed
	}
	parsed, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

// counter is a state machine whose state is the list of all commands. The result of a
// command is their number.
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
	// skew is added to the host's clock. If stopped is set, the clock does not
	// advance and always returns stopped.
	skew    time.Duration
	stopped time.Time
}

// cluster is a group of hosts in one process, connected by a transport whose links can
// be cut.
type cluster struct {
	t         testing.TB
	configure func(*Config)
	// configureFolder, if set, is called with the settings of a host's folder.
	configureFolder func(name string, cfg *kcwfolder.Config)
	// newGroup starts a host's group; the default is New.
	newGroup func(Config) (*Group, error)
	// connect returns a Config.Send for a host. If it is nil, the hosts use the
	// cluster's own transport.
	connect func(*host) func(*kcwpb.Member, []*kcwpb.Message)
	// started, if set, is called with each host that has started.
	started func(*host)

	mu    sync.Mutex
	hosts map[string]*host
	cuts  map[[2]string]bool
	// unknown holds the commands that propose has sent again after an unknown outcome, so
	// that the log may hold them twice.
	unknown map[string]bool
}

func newCluster(t testing.TB, n int, configure func(*Config)) *cluster {
	c := &cluster{t: t, configure: configure, hosts: map[string]*host{}, cuts: map[[2]string]bool{}, unknown: map[string]bool{}}
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

// send returns a Config.Send for the host from, which finds the receiver by its
// address.
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

// start starts the host with a new state machine.
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
	folderConfig := kcwfolder.Config{Path: h.path}
	if c.configureFolder != nil {
		c.configureFolder(name, &folderConfig)
	}
	folder, err := kcwfolder.Open(folderConfig)
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
	if c.configure != nil {
		c.configure(&cfg)
	}
	newGroup := New
	if c.newGroup != nil {
		newGroup = c.newGroup
	}
	group, err := newGroup(cfg)
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

// stop stops the host. If kill is set, all messages from and to it are dropped first,
// so that it cannot transfer leadership.
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
	c.reconnect(name)
}

// isolate drops all messages between name and the other hosts.
func (c *cluster) isolate(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for other := range c.hosts {
		c.cuts[[2]string{name, other}] = true
		c.cuts[[2]string{other, name}] = true
	}
}

// cutInbound drops all messages to name.
func (c *cluster) cutInbound(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for other := range c.hosts {
		c.cuts[[2]string{other, name}] = true
	}
}

// stopClock stops the host's clock, or lets it run again.
func (c *cluster) stopClock(name string, stopped bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts[name].stopped = time.Time{}
	if stopped {
		c.hosts[name].stopped = time.Now().Add(c.hosts[name].skew)
	}
}

func (c *cluster) reconnect(name string) {
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

// running returns copies of the running hosts.
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

// leader waits until a running host that is not in except confirms that it leads, and
// returns it.
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
	end := time.Now().Add(waitTimeout)
	for !done() {
		if time.Now().After(end) {
			for _, h := range c.running() {
				c.t.Logf("%s: %v", h.name, h.group.Status())
			}
			c.t.Fatalf("no %s within %v", what, waitTimeout)
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
			if kind := kindOf(err); kind == OutcomeUnknown || kind == 0 {
				c.mu.Lock()
				c.unknown[command] = true
				c.mu.Unlock()
			}
		}
		return false
	})
}

// hasExactly reports whether h has applied exactly the commands, in their order. A command that
// was sent again after an unknown outcome may have been applied several times in a row.
func (c *cluster) hasExactly(h *host, commands []string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	var applied []string
	for _, command := range h.machine.list() {
		if n := len(applied); n > 0 && applied[n-1] == command && c.unknown[command] {
			continue
		}
		applied = append(applied, command)
	}
	return slices.Equal(applied, commands)
}

// kindOf returns the kind of an *Error, or zero for any other error and for nil.
func kindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}
