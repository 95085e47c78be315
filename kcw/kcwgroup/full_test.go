package kcwgroup

import (
	"context"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"kingcupwick.example/kcw/kcwfolder"
)

// disks simulates the disks of a cluster, each of which can be full.
type disks struct {
	mu   sync.Mutex
	full map[string]bool
}

func (d *disks) set(name string, full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full[name] = full
}

func (d *disks) isFull(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.full[name]
}

// configure makes the host that cfg configures use its disk.
func (d *disks) configure(cfg *Config) {
	cfg.Write, cfg.WriteAt, cfg.Remove = d.write(cfg.Name), d.writeAt(cfg.Name), d.remove(cfg.Name)
}

// write returns a Config.Write for a host. If the host's disk is full it writes half of
// data and returns ENOSPC.
func (d *disks) write(name string) func(*os.File, []byte) (int, error) {
	return func(file *os.File, data []byte) (int, error) {
		if !d.isFull(name) {
			return file.Write(data)
		}
		n, err := file.Write(data[:len(data)/2])
		if err == nil {
			err = &os.PathError{Op: "write", Path: file.Name(), Err: unix.ENOSPC}
		}
		return n, err
	}
}

// writeAt returns a Config.WriteAt that fails as write does.
func (d *disks) writeAt(name string) func(*os.File, []byte, int64) (int, error) {
	return func(file *os.File, data []byte, offset int64) (int, error) {
		if !d.isFull(name) {
			return file.WriteAt(data, offset)
		}
		n, err := file.WriteAt(data[:len(data)/2], offset)
		if err == nil {
			err = &os.PathError{Op: "write", Path: file.Name(), Err: unix.ENOSPC}
		}
		return n, err
	}
}

// remove returns a Config.Remove that fails while the host's disk is full, as on a file
// system that needs space to remove a file.
func (d *disks) remove(name string) func(string) error {
	return func(path string) error {
		if d.isFull(name) {
			return &os.PathError{Op: "remove", Path: path, Err: unix.ENOSPC}
		}
		return os.Remove(path)
	}
}

// newDisks returns a running cluster of three hosts and their disks.
func newDisks(t *testing.T) (*cluster, *disks) {
	d := &disks{full: map[string]bool{}}
	c := newCluster(t, 3, d.configure)
	c.startAll()
	return c, d
}

// A leader whose disk is full must not acknowledge anything. The others elect a leader,
// whose address it returns to callers, and it continues in the same process once its
// disk has free space.
func TestFullDiskOfLeader(t *testing.T) {
	c, d := newDisks(t)
	c.proposeMany("before", 3)
	for round := range 3 {
		old := c.leader()
		d.set(old.name, true)
		if _, err := old.group.Propose(shortContext(t), []byte("sent")); kindOf(err) != OutcomeUnknown {
			t.Fatalf("round %d: propose on a full disk: %v, want outcome unknown", round, err)
		}
		if !old.group.Full() {
			t.Error("the replica does not report that its disk is full")
		}
		next := c.leader(old.name)
		c.proposeMany("meanwhile", 3)
		c.eventually("address of the next leader in the status", func() bool { return old.group.Status().GetLeaderAddress() == next.address })
		_, err := old.group.Propose(shortContext(t), []byte("late"))
		if kindOf(err) != NotLeader {
			t.Errorf("propose at the full replica: %v, want not the leader", err)
		}
		if err := old.group.Confirm(shortContext(t)); err == nil {
			t.Error("the full replica confirmed that it leads")
		}
		d.set(old.name, false)
		c.eventually("end of the wait for disk space", func() bool { return !old.group.Full() })
		c.proposeMany("after", 3)
		c.eventually("all commands at the replica whose disk was full", func() bool { return len(old.machine.list()) >= len(next.machine.list()) })
		select {
		case <-old.group.Done():
			t.Errorf("round %d: the replica has stopped", round)
		default:
		}
	}
}

// The group continues while a follower's disk is full, and the follower catches up
// later. It acknowledges nothing while its disk is full, so that nothing is committed
// while the other follower is isolated.
func TestFullDiskOfFollower(t *testing.T) {
	c, d := newDisks(t)
	leader := c.leader()
	var followers []string
	for name := range c.hosts {
		if name != leader.name {
			followers = append(followers, name)
		}
	}
	d.set(followers[0], true)
	c.proposeMany("beside", 5)
	c.isolate(followers[1])
	if _, err := leader.group.Propose(shortContext(t), []byte("alone")); err == nil {
		t.Error("a command was committed by the leader alone")
	}
	c.reconnect(followers[1])
	d.set(followers[0], false)
	c.proposeMany("after", 5)
	behind := c.hosts[followers[0]]
	c.eventually("all commands at the follower whose disk was full", func() bool { return len(behind.machine.list()) >= 10 })
}

// A replica can be stopped while its disk is full, and what it acknowledged before is
// there at the next start.
func TestStopWithFullDisk(t *testing.T) {
	c, d := newDisks(t)
	c.proposeMany("before", 5)
	for name := range c.hosts {
		d.set(name, true)
	}
	leader := c.leader()
	if _, err := leader.group.Propose(shortContext(t), []byte("sent")); err == nil {
		t.Error("a command was committed on full disks")
	}
	for name := range c.hosts {
		c.stop(name, true)
		d.set(name, false)
	}
	for name := range c.hosts {
		c.start(name, false)
	}
	c.proposeMany("after", 1)
	for _, h := range c.running() {
		c.eventually("all commands", func() bool { return len(h.machine.list()) >= 6 })
	}
}

// A snapshot that found the disk full must be written once there is room, and not wait for
// as many entries as the next one.
func TestSnapshotIsWrittenOnceDiskHasRoom(t *testing.T) {
	const entries = 30
	d := &disks{full: map[string]bool{}}
	c := newCluster(t, 3, func(cfg *Config) {
		cfg.WriteAt = d.writeAt(cfg.Name)
		cfg.SnapshotEntries = entries
	})
	c.startAll()
	h := c.leader()
	d.set(h.name, true)
	c.proposeMany("c", entries+5)
	c.eventually("snapshots of the others", func() bool {
		for _, other := range c.running() {
			if other.name != h.name && other.group.Status().GetSnapshot() == 0 {
				return false
			}
		}
		return true
	})
	if h.group.Status().GetSnapshot() != 0 {
		t.Error("a snapshot was written to a full disk")
	}
	d.set(h.name, false)
	c.eventually("snapshot once the disk has room", func() bool { return h.group.Status().GetSnapshot() != 0 })
}

// A replica that can't remove segments of its log because its disk is full must go on, and
// remove them once there is room.
func TestReplicaSurvivesCompactOnFullDisk(t *testing.T) {
	const entries = 30
	d := &disks{full: map[string]bool{}}
	c := newCluster(t, 3, func(cfg *Config) {
		cfg.Remove = d.remove(cfg.Name)
		cfg.SnapshotEntries, cfg.KeepEntries, cfg.SegmentBytes = entries, 5, 500
	})
	c.startAll()
	h := c.leader()
	segments := func() int {
		files, err := os.ReadDir(filepath.Join(h.path, logFolder))
		if err != nil {
			t.Fatal(err)
		}
		return len(files)
	}
	d.set(h.name, true)
	c.proposeMany("c", entries+5)
	c.eventually("snapshot", func() bool { return h.group.Status().GetSnapshot() != 0 })
	c.proposeMany("d", 5)
	select {
	case <-h.group.Done():
		t.Fatalf("the replica has stopped: %v", h.group.Close())
	default:
	}
	full := segments()
	d.set(h.name, false)
	c.eventually("removal of segments once the disk has room", func() bool { return segments() < full })
}

// A replica whose disk is full as it founds the group must wait, and not end: the group
// can't be founded without it.
func TestFoundingGoesOnAfterFullDisk(t *testing.T) {
	d := &disks{full: map[string]bool{}}
	c := newCluster(t, 3, d.configure)
	c.configureFolder = func(name string, cfg *kcwfolder.Config) { cfg.Write = d.write(name) }
	c.start("h1", true)
	h := c.start("h2", true)
	d.set("h2", true)
	c.start("h3", true)
	c.eventually("wait for disk space", func() bool { return h.group.Full() })
	d.set("h2", false)
	c.proposeMany("c", 3)
	c.awaitCommands(h, []string{"c0", "c1", "c2"})
}

// A replica that is started on a full disk must report that, and start once there is room.
func TestStartOnFullDiskIsRepeated(t *testing.T) {
	d := &disks{full: map[string]bool{"h2": true}}
	c := newCluster(t, 3, d.configure)
	c.configureFolder = func(name string, cfg *kcwfolder.Config) { cfg.Write = d.write(name) }
	c.start("h1", true)
	c.start("h3", true)
	if _, err := c.tryStart("h2", true); kindOf(err) != Full {
		t.Fatalf("start gave %v, want an error of kind Full", err)
	}
	c.newGroup = func(cfg Config) (*Group, error) {
		timer := time.AfterFunc(3*fullRetryInterval, func() { d.set("h2", false) })
		defer timer.Stop()
		return NewWhenRoom(t.Context(), cfg)
	}
	h := c.start("h2", true)
	c.proposeMany("c", 3)
	c.awaitCommands(h, []string{"c0", "c1", "c2"})
}

// A start that waits for disk space ends with its context.
func TestStartOnFullDiskEndsWithContext(t *testing.T) {
	d := &disks{full: map[string]bool{"h1": true}}
	c := newCluster(t, 1, d.configure)
	c.configureFolder = func(name string, cfg *kcwfolder.Config) { cfg.Write = d.write(name) }
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	c.newGroup = func(cfg Config) (*Group, error) { return NewWhenRoom(ctx, cfg) }
	if _, err := c.tryStart("h1", true); kindOf(err) != Full {
		t.Errorf("start gave %v, want an error of kind Full", err)
	}
}
