package kcwgroup

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwfolder"
	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwwal"
)

// proposeMany commits n commands, prefix0, prefix1 and so on, and returns them.
func (c *cluster) proposeMany(prefix string, n int) []string {
	c.t.Helper()
	var commands []string
	for i := range n {
		command := fmt.Sprintf("%s%d", prefix, i)
		c.propose(command)
		commands = append(commands, command)
	}
	return commands
}

// awaitCommands waits until h has applied every command.
func (c *cluster) awaitCommands(h *host, commands []string) {
	c.t.Helper()
	c.eventually("all commands at "+h.name, func() bool {
		list := h.machine.list()
		for _, command := range commands {
			if !slices.Contains(list, command) {
				return false
			}
		}
		return true
	})
}

func shortContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func TestIsolatedLeaderAnswersNothing(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.startAll()
	old := c.leader()
	c.isolate(old.name)
	c.eventually("stepping down", func() bool { return old.group.Status().Role != "leader" })
	if _, err := old.group.Propose(shortContext(t), []byte("lost")); kindOf(err) != NotLeader {
		t.Errorf("propose at an isolated leader: %v, want not the leader", err)
	}
	if err := old.group.Confirm(shortContext(t)); kindOf(err) != NotLeader {
		t.Errorf("confirm at an isolated leader: %v, want not the leader", err)
	}
	next := c.leader(old.name)
	commands := c.proposeMany("after", 3)
	c.reconnect(old.name)
	c.awaitCommands(old, commands)
	if slices.Contains(next.machine.list(), "lost") {
		t.Error("a rejected command was applied")
	}
}

func TestProposalOfIsolatedLeaderIsUnknown(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.startAll()
	old := c.leader()
	c.isolate(old.name)
	_, err := old.group.Propose(shortContext(t), []byte("perhaps"))
	if kind := kindOf(err); kind != OutcomeUnknown && kind != NotLeader {
		t.Errorf("propose at a leader being isolated: %v, want outcome unknown", err)
	}
}

// A leader whose clock jumps ahead, as after a suspension of the process, must not
// confirm that it leads, although its role is still that of leader.
func TestFrozenLeaderDoesNotConfirm(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.startAll()
	old := c.leader()
	c.isolate(old.name)
	c.mu.Lock()
	old.skew += time.Hour
	c.mu.Unlock()
	if err := old.group.Confirm(shortContext(t)); kindOf(err) != NotLeader {
		t.Errorf("confirm after a suspension: %v, want not the leader", err)
	}
	next := c.leader(old.name)
	c.reconnect(old.name)
	commands := c.proposeMany("after", 3)
	c.awaitCommands(old, commands)
	c.awaitCommands(next, commands)
}

// An isolated leader whose clock has stopped never steps down, since its election
// timeout does not expire. It must still not confirm that it leads.
func TestLeaderWithStoppedClockDoesNotConfirm(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.startAll()
	old := c.leader()
	c.stopClock(old.name, true)
	c.isolate(old.name)
	c.leader(old.name)
	c.proposeMany("after", 1)
	if err := old.group.Confirm(shortContext(t)); err == nil {
		t.Error("a leader that was replaced confirmed that it leads")
	}
}

// The index at which a waiting proposal was appended may be committed with another
// leader's entry. The proposal must then fail instead of receiving that entry's
// result.
func TestReplacedProposalIsNotAnswered(t *testing.T) {
	for _, test := range []struct {
		name string
		term uint64
		want Kind
	}{
		{"same term", 3, 0},
		{"another term", 4, NotLeader},
	} {
		w := &waiters{calls: map[uint64]*call{}}
		a := newApplier(Config{Machine: &counter{}}.withDefaults(), w)
		c := newCall()
		c.term = 3
		w.add(7, c)
		a.apply(&kcwpb.Entry{Index: 7, Term: test.term})
		if o := <-c.done; kindOf(o.err) != test.want {
			t.Errorf("%s: %v, want %v", test.name, o.err, test.want)
		}
	}
}

// Entries that a leader sent before it was deposed may be committed by the next
// leader, so that the outcome of their proposals is unknown.
func TestProposalWithoutRepliesIsUnknown(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.startAll()
	old := c.leader()
	c.cutInbound(old.name)
	_, err := old.group.Propose(shortContext(t), []byte("sent"))
	if kindOf(err) != OutcomeUnknown {
		t.Errorf("propose at a leader that receives nothing: %v, want outcome unknown", err)
	}
	next := c.leader(old.name)
	c.proposeMany("after", 1)
	if !slices.Contains(next.machine.list(), "sent") {
		t.Error("the proposal was not committed by the next leader, so that the test did not cover the case")
	}
}

// While a snapshot is being sent the next one is deferred, up to maxDeferFactor times
// the usual bound.
func TestSnapshotWaitsForTransfer(t *testing.T) {
	for _, test := range []struct {
		name      string
		sending   bool
		entries   uint64
		snapshots int
	}{
		{"below the bound", false, 9, 0},
		{"at the bound", false, 10, 1},
		{"at the bound while sending", true, 10, 0},
		{"far beyond the bound while sending", true, 10 * maxDeferFactor, 1},
	} {
		a := newApplier(Config{Machine: &counter{}, SnapshotEntries: 10}.withDefaults(), &waiters{})
		snapshots := 0
		a.deferSnapshot = func() bool { return test.sending }
		a.writeSnapshot = func(*kcwpb.SnapshotChunk, func(io.Writer) error) { snapshots++ }
		for index := uint64(1); index <= test.entries; index++ {
			a.process(work{entries: []*kcwpb.Entry{{Index: index, Term: 1}}})
		}
		if snapshots != test.snapshots {
			t.Errorf("%s: %d snapshots, want %d", test.name, snapshots, test.snapshots)
		}
	}
}

func TestClockSteppedBackAndForth(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.startAll()
	var commands []string
	for i, skew := range []time.Duration{-time.Hour, time.Hour, 0} {
		leader := c.leader()
		c.mu.Lock()
		leader.skew = skew
		c.mu.Unlock()
		commands = append(commands, c.proposeMany(fmt.Sprintf("step%d-", i), 3)...)
	}
	for _, h := range c.running() {
		c.awaitCommands(h, commands)
	}
}

func TestRestart(t *testing.T) {
	for _, test := range []struct {
		name      string
		snapshots uint64
		commands  int
	}{
		{"from the log", 1 << 30, 400},
		{"from snapshots", 50, 400},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(t, 3, func(cfg *Config) {
				cfg.SnapshotEntries = test.snapshots
				cfg.KeepEntries = 10
				cfg.SegmentBytes = 1 << 10
			})
			c.startAll()
			commands := c.proposeMany("c", test.commands)
			for name := range c.hosts {
				c.stop(name, true)
			}
			for name := range c.hosts {
				c.start(name, false)
			}
			commands = append(commands, c.proposeMany("again", 3)...)
			for _, h := range c.running() {
				c.eventually("the same commands at "+h.name, func() bool {
					return c.hasExactly(h, commands)
				})
			}
		})
	}
}

// A host that was stopped while the log was compacted receives a snapshot.
func TestFarBehindReplicaGetsSnapshot(t *testing.T) {
	c := newCluster(t, 3, func(cfg *Config) {
		cfg.SnapshotEntries = 20
		cfg.KeepEntries = 5
		cfg.SegmentBytes = 1 << 10
	})
	c.startAll()
	c.leader()
	c.stop("h3", true)
	commands := c.proposeMany("c", 200)
	c.eventually("compacted log", func() bool { return c.leader().group.Status().First > 100 })
	h := c.start("h3", true)
	c.eventually("the same commands at h3", func() bool {
		return c.hasExactly(h, commands)
	})
}

func TestPlannedStopHandsOver(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.startAll()
	old := c.leader()
	c.proposeMany("c", 3)
	term := old.group.Status().Term
	c.stop(old.name, false)
	if next := c.leader(); next.group.Status().Term != term+1 {
		t.Errorf("term %d after the stop, want %d by a transfer", next.group.Status().Term, term+1)
	}
}

// loseDisk stops a host and replaces its folder by an empty one.
func (c *cluster) loseDisk(name string) {
	c.stop(name, true)
	c.hosts[name].path = c.t.TempDir()
}

func TestLostDiskGetsNewIdentity(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.startAll()
	commands := c.proposeMany("c", 20)
	old := c.hosts["h3"].group.Status().Id
	c.loseDisk("h3")
	h := c.start("h3", true)
	c.eventually("end of the founding", func() bool { return h.group.Status().Role == "learner" })
	if id := h.group.Status().Id; id == old {
		t.Fatalf("the replica with an empty folder kept the identity %d", old)
	}
	c.repair(h, old)
	c.awaitCommands(h, commands)
}

// repair adds h as a learner, promotes it and removes the identity old.
func (c *cluster) repair(h *host, old uint64) {
	c.t.Helper()
	member := &kcwpb.Member{Id: h.group.Status().Id, Name: h.name, Address: h.address}
	c.change(kcwpb.ChangeMembersRequest_KIND_ADD_LEARNER, member)
	c.change(kcwpb.ChangeMembersRequest_KIND_REMOVE, &kcwpb.Member{Id: old})
	c.change(kcwpb.ChangeMembersRequest_KIND_PROMOTE, member)
}

func (c *cluster) change(kind kcwpb.ChangeMembersRequest_Kind, member *kcwpb.Member) {
	c.t.Helper()
	c.request(&kcwpb.ChangeMembersRequest{Kind: kind, Member: member})
}

// request makes a membership change through whichever host leads.
func (c *cluster) request(req *kcwpb.ChangeMembersRequest) {
	c.t.Helper()
	c.eventually(req.Kind.String(), func() bool {
		_, err := c.leader().group.ChangeMembers(c.t.Context(), req)
		return err == nil
	})
}

// If a second host is lost right after the repair of the first, no acknowledged
// command is lost.
func TestSecondHostLostAfterRepair(t *testing.T) {
	for _, second := range []string{"h1", "h2"} {
		t.Run(second, func(t *testing.T) {
			c := newCluster(t, 3, func(cfg *Config) {
				cfg.SnapshotEntries = 50
				cfg.KeepEntries = 5
			})
			c.startAll()
			commands := c.proposeMany("c", 120)
			old := c.hosts["h3"].group.Status().Id
			c.loseDisk("h3")
			commands = append(commands, c.proposeMany("d", 20)...)
			c.repair(c.start("h3", false), old)
			c.loseDisk(second)
			commands = append(commands, c.proposeMany("e", 20)...)
			for _, h := range c.running() {
				c.eventually("the same commands at "+h.name, func() bool {
					return c.hasExactly(h, commands)
				})
			}
		})
	}
}

func TestPromoteRefusesLearnerBehind(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.startAll()
	c.proposeMany("c", 3)
	absent := &kcwpb.Member{Id: 99, Name: "h9", Address: "127.0.0.1:1"}
	c.change(kcwpb.ChangeMembersRequest_KIND_ADD_LEARNER, absent)
	_, err := c.leader().group.ChangeMembers(t.Context(), &kcwpb.ChangeMembersRequest{
		Kind: kcwpb.ChangeMembersRequest_KIND_PROMOTE, Member: absent,
	})
	if kindOf(err) != NotCaughtUp {
		t.Errorf("promote an absent learner: %v, want not caught up", err)
	}
}

func TestBadFolders(t *testing.T) {
	c := newCluster(t, 1, nil)
	h := c.start("h1", true)
	c.proposeMany("c", 20)
	segment := func() string {
		files, err := filepath.Glob(filepath.Join(h.path, logFolder, "*.wal"))
		if err != nil || len(files) == 0 {
			t.Fatal("no segment", err)
		}
		return files[0]
	}
	_, err := c.tryStart("h1", true)
	var locked *kcwfolder.Error
	if !errors.As(err, &locked) || locked.Kind != kcwfolder.Locked {
		t.Errorf("second process on a folder: %v, want locked", err)
	}
	c.stop("h1", true)
	original, err := os.ReadFile(segment())
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name    string
		corrupt func() error
		kind    kcwwal.Kind
	}{
		{"flipped byte", func() error {
			data := slices.Clone(original)
			data[len(data)/2] ^= 1
			return os.WriteFile(segment(), data, 0o600)
		}, kcwwal.Damaged},
		{"lost log", func() error { return os.Remove(segment()) }, kcwwal.Missing},
	} {
		if err := test.corrupt(); err != nil {
			t.Fatal(err)
		}
		_, err := c.tryStart("h1", true)
		var damage *kcwwal.Error
		if kindOf(err) != Storage || !errors.As(err, &damage) || damage.Kind != test.kind {
			t.Errorf("%s: %v, want %v", test.name, err, test.kind)
		}
	}
}

// A replica whose disk fails stops without acknowledging anything more, and the
// others continue.
func TestDiskFailureStopsReplica(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.startAll()
	old := c.leader()
	old.group.runInLoop(func() { _ = old.group.wal.Close() })
	if _, err := old.group.Propose(shortContext(t), []byte("sent")); kindOf(err) != OutcomeUnknown {
		t.Errorf("propose on a failed disk: %v, want outcome unknown", err)
	}
	<-old.group.Done()
	if _, err := old.group.Propose(shortContext(t), []byte("late")); kindOf(err) != Closed {
		t.Errorf("propose after the stop: %v, want closed", err)
	}
	if err := old.group.Close(); kindOf(err) != Storage {
		t.Errorf("close gave %v, want storage", err)
	}
	c.mu.Lock()
	old.group = nil
	c.mu.Unlock()
	_ = old.folder.Close()
	c.proposeMany("after", 3)
}

// TestStopWhileLoopIsBlocked stops a leader whose loop a disk blocks for longer than the
// stop waits for it. The race detector finds values that the loop writes after that.
func TestStopWhileLoopIsBlocked(t *testing.T) {
	c := newCluster(t, 3, nil)
	c.startAll()
	group := c.leader().group
	// transferLeadership waits for the loop twice, for an election timeout each. The test
	// sleeps because any other wait would synchronise it with the loop.
	const blocked = 3
	group.post(func() error {
		time.Sleep(blocked * group.cfg.Election)
		return nil
	})
	group.transferLeadership()
	time.Sleep(blocked * group.cfg.Election)
	c.proposeMany("after", 3)
}
