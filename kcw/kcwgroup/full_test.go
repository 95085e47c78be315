package kcwgroup

import (
	"os"
	"sync"
	"testing"

	"golang.org/x/sys/unix"
)

// disks are the disks of a cluster, some of them full.
type disks struct {
	mu   sync.Mutex
	full map[string]bool
}

func (d *disks) set(name string, full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full[name] = full
}

// write writes on the disk of a host: a part of data if it is full.
func (d *disks) write(name string) func(*os.File, []byte) (int, error) {
	return func(file *os.File, data []byte) (int, error) {
		d.mu.Lock()
		full := d.full[name]
		d.mu.Unlock()
		if !full {
			return file.Write(data)
		}
		n, err := file.Write(data[:len(data)/2])
		if err == nil {
			err = &os.PathError{Op: "write", Path: file.Name(), Err: unix.ENOSPC}
		}
		return n, err
	}
}

// newDisks returns a running cluster of three whose disks can be filled.
func newDisks(t *testing.T) (*cluster, *disks) {
	d := &disks{full: map[string]bool{}}
	c := newCluster(t, 3, func(cfg *Config) { cfg.Write = d.write(cfg.Name) })
	c.startAll()
	return c, d
}

// TestFullDiskOfLeader checks that a leader whose disk is full acknowledges nothing,
// that the others lead on, that it sends callers there, and that it goes on in the
// same process when there is room.
func TestFullDiskOfLeader(t *testing.T) {
	c, d := newDisks(t)
	c.proposeMany("before", 3)
	for round := range 3 {
		old := c.leader()
		d.set(old.name, true)
		if _, err := old.group.Propose(short(t), []byte("sent")); kindOf(err) != OutcomeUnknown {
			t.Fatalf("round %d: propose on a full disk: %v, want outcome unknown", round, err)
		}
		if !old.group.Full() {
			t.Error("the replica does not say that its disk is full")
		}
		next := c.leader(old.name)
		c.proposeMany("meanwhile", 3)
		c.eventually("word of the next leader", func() bool { return old.group.Status().GetLeaderAddress() == next.address })
		_, err := old.group.Propose(short(t), []byte("late"))
		if kindOf(err) != NotLeader {
			t.Errorf("propose at the full replica: %v, want not the leader", err)
		}
		if err := old.group.Confirm(short(t)); err == nil {
			t.Error("the full replica confirmed that it leads")
		}
		d.set(old.name, false)
		c.eventually("room", func() bool { return !old.group.Full() })
		c.proposeMany("after", 3)
		c.eventually("the replica that was full has all", func() bool { return len(old.machine.list()) >= len(next.machine.list()) })
		select {
		case <-old.group.Done():
			t.Errorf("round %d: the replica has stopped", round)
		default:
		}
	}
}

// TestFullDiskOfFollower checks that the group goes on beside a follower whose disk
// is full, that the follower catches up, and that it acknowledged nothing meanwhile:
// with another one cut off nothing is committed.
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
	c.cut(followers[1])
	if _, err := leader.group.Propose(short(t), []byte("alone")); err == nil {
		t.Error("a command was committed by the leader alone")
	}
	c.heal(followers[1])
	d.set(followers[0], false)
	c.proposeMany("after", 5)
	behind := c.hosts[followers[0]]
	c.eventually("the follower that was full has all", func() bool { return len(behind.machine.list()) >= 10 })
}

// TestStopWithFullDisk checks that a replica can be stopped while its disk is full,
// and that what it acknowledged is there at the next start.
func TestStopWithFullDisk(t *testing.T) {
	c, d := newDisks(t)
	c.proposeMany("before", 5)
	for name := range c.hosts {
		d.set(name, true)
	}
	leader := c.leader()
	if _, err := leader.group.Propose(short(t), []byte("sent")); err == nil {
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
