package kcwgroup

import (
	"context"
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwfolder"
	"kingcupwick.example/kcw/kcwmembership"
	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwreplica"
)

// Intervals of the cluster that repairs itself. Their ratios to the election timeout are
// those of the fleet's core.
const (
	repairInterval  = 40 * time.Millisecond
	requestInterval = 100 * time.Millisecond
	silentAfter     = 190 * time.Millisecond
	silentElections = 2
)

// repair lets the leader of a cluster change the members as a kcwmembership.Planner decides,
// and the replicas without a vote request admission.
type repair struct {
	*cluster
	election time.Duration
	losses   int

	mu       sync.Mutex
	planners map[*Group]*kcwmembership.Planner
}

func (r *repair) planner(g *Group) *kcwmembership.Planner {
	if r.planners[g] == nil {
		r.planners[g] = kcwmembership.New(kcwmembership.Config{
			Losses: r.losses, SilentAfter: silentAfter, RemoveAfter: 12 * silentAfter,
			MaxRequestAge: 4 * requestInterval, MaxPause: 2 * repairInterval,
		})
	}
	return r.planners[g]
}

// run repairs the membership at the host name until ctx ends.
func (r *repair) run(ctx context.Context, name string) {
	var requestAt, freshAt time.Time
	for ctx.Err() == nil {
		time.Sleep(repairInterval)
		hosts := r.running()
		i := slices.IndexFunc(hosts, func(h *host) bool { return h.name == name })
		if i < 0 {
			continue
		}
		h, now := hosts[i], time.Now()
		if h.group.Fresh() || freshAt.IsZero() {
			freshAt = now
		}
		status := h.group.Status()
		r.change(ctx, h.group, status)
		inForce := kcwreplica.IsVoter(status.GetMembership(), status.GetId()) && now.Sub(freshAt) <= silentElections*r.election
		if !inForce && !now.Before(requestAt) {
			requestAt = now.Add(requestInterval)
			r.request(&kcwpb.Member{Id: status.GetId(), Name: h.name, Zone: "z-" + h.name, Address: h.address})
		}
	}
}

// change makes the next membership change if group leads.
func (r *repair) change(ctx context.Context, group *Group, status *kcwpb.GroupStatus) {
	r.mu.Lock()
	planner := r.planner(group)
	if status.GetId() == 0 || status.GetId() != status.GetLeader() {
		planner.Reset()
		r.mu.Unlock()
		return
	}
	change := planner.Next(status, time.Now())
	r.mu.Unlock()
	if change == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, r.election)
	defer cancel()
	if _, err := group.ChangeMembers(ctx, change); err != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		planner.Refuse(change, time.Now())
	}
}

// request requests admission at every host that takes itself to lead.
func (r *repair) request(member *kcwpb.Member) {
	for _, h := range r.running() {
		if status := h.group.Status(); status.GetId() == status.GetLeader() {
			r.mu.Lock()
			r.planner(h.group).RequestAdmission(member, time.Now())
			r.mu.Unlock()
		}
	}
}

// fullDisks is one random sequence of disks that are full one after the other.
type fullDisks struct {
	*repair
	disks *disks
	rnd   *rand.Rand

	mu    sync.Mutex
	acked []string
	// longest is the longest time that a call took.
	longest time.Duration
}

// propose proposes unique commands at random hosts until ctx ends. Each call must be
// answered.
func (f *fullDisks) propose(ctx context.Context, id int, rnd *rand.Rand) {
	for i := 0; ctx.Err() == nil; i++ {
		hosts := f.running()
		if len(hosts) == 0 {
			continue
		}
		command := fmt.Sprintf("%d-%d-%s", id, i, strings.Repeat("x", rnd.Intn(200)))
		f.call(hosts[rnd.Intn(len(hosts))], command)
		time.Sleep(time.Duration(rnd.Intn(4)) * time.Millisecond)
	}
}

// call proposes command at h and reports whether it was acknowledged.
func (f *fullDisks) call(h *host, command string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	started := time.Now()
	_, err := h.group.Propose(ctx, []byte(command))
	if ctx.Err() != nil {
		f.t.Errorf("a proposal at %s was not answered within %v: %v", h.name, waitTimeout, err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.longest = max(f.longest, time.Since(started))
	if err == nil {
		f.acked = append(f.acked, command)
	}
	return err == nil
}

// victim returns a random running host: any, the leader, a follower or a learner.
func (f *fullDisks) victim() *host {
	hosts := f.running()
	slices.SortFunc(hosts, func(a, b *host) int { return strings.Compare(a.name, b.name) })
	kind := [...]string{"", "leader", "leader", "follower", "learner"}[f.rnd.Intn(5)]
	f.rnd.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	for _, h := range hosts {
		if h.group.Status().GetRole() == kind {
			return h
		}
	}
	return hosts[0]
}

// start starts the host name again. It returns false if its disk is full.
func (f *fullDisks) start(name string) bool {
	_, err := f.tryStart(name, false)
	if err != nil && !isFull(err) {
		f.t.Fatalf("start %s: %v", name, err)
	}
	return err == nil
}

// awaitRepair waits until each voter is a replica that runs, so that one more may lose its
// disk.
func (f *fullDisks) awaitRepair() {
	f.eventually("repair of the membership", func() bool {
		membership := f.leader().group.Status().GetMembership()
		hosts := f.running()
		for _, m := range membership.GetMembers() {
			runs := slices.ContainsFunc(hosts, func(h *host) bool { return h.group.Status().GetId() == m.GetId() })
			if kcwreplica.IsVoter(membership, m.GetId()) && !runs {
				return false
			}
		}
		return len(membership.GetOutgoing()) == 0
	})
}

// fill makes the disk of one host full for a while, beside a random event.
func (f *fullDisks) fill() {
	h := f.victim()
	event := f.rnd.Intn(8)
	isRunning := true
	switch event {
	case 0:
		f.stop(h.name, f.rnd.Intn(2) == 0)
		isRunning = f.start(h.name)
	case 1:
		f.awaitRepair()
		f.loseDisk(h.name)
		isRunning = f.start(h.name)
	}
	if f.rnd.Intn(2) == 0 {
		time.Sleep(time.Duration(f.rnd.Intn(100)) * time.Millisecond)
	}
	f.disks.set(h.name, true)
	time.Sleep(time.Duration(f.rnd.Intn(200)) * time.Millisecond)
	switch event {
	case 2:
		f.stop(h.name, f.rnd.Intn(2) == 0)
		isRunning = f.start(h.name)
	case 3, 4:
		for _, other := range f.running() {
			if status := other.group.Status(); status.GetLeader() == status.GetId() {
				other.group.runInLoop(func() { other.group.replica.Transfer(other.group.cfg.Now()) })
			}
		}
	}
	time.Sleep(time.Duration(f.rnd.Intn(600)) * time.Millisecond)
	f.disks.set(h.name, false)
	if !isRunning && !f.start(h.name) {
		f.t.Fatalf("%s does not start on a disk with room", h.name)
	}
	if f.rnd.Intn(2) == 0 {
		time.Sleep(time.Duration(f.rnd.Intn(400)) * time.Millisecond)
	}
}

// check checks what must hold once all disks have room.
func (f *fullDisks) check(stopClients func()) {
	f.leader()
	for _, h := range f.running() {
		f.eventually("answer of "+h.name+" with the leader or an acknowledgement", func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
			defer cancel()
			err := h.group.Confirm(ctx)
			return err == nil || kindOf(err) == NotLeader && h.group.Fresh() && h.group.Status().GetLeaderAddress() != ""
		})
	}
	stopClients()
	f.eventually("acknowledgement of the last command", func() bool { return f.call(f.leader(), "last") })
	for _, h := range f.running() {
		f.awaitCommands(h, f.acked)
		if h.group.Full() {
			f.t.Errorf("%s still takes its disk to be full", h.name)
		}
		select {
		case <-h.group.Done():
			f.t.Errorf("%s has stopped: %v", h.name, h.group.Close())
		default:
		}
	}
	f.awaitSameState()
}

// awaitSameState waits until all hosts have applied the same index, and compares their states.
func (f *fullDisks) awaitSameState() {
	hosts := f.running()
	f.eventually("same index at all hosts", func() bool {
		for _, h := range hosts[1:] {
			if h.group.Status().GetApplied() != hosts[0].group.Status().GetApplied() {
				return false
			}
		}
		return true
	})
	want := hosts[0].machine.list()
	for _, h := range hosts[1:] {
		got := h.machine.list()
		for i := range max(len(got), len(want)) {
			if i >= len(got) || i >= len(want) || got[i] != want[i] {
				f.t.Errorf("%s applied %d commands, %s %d; they differ from the one at %d on: %.100q, %.100q",
					h.name, len(got), hosts[0].name, len(want), i, got[min(i, len(got)):min(i+3, len(got))], want[min(i, len(want)):min(i+3, len(want))])
				break
			}
		}
	}
}

// playFullDisks plays the sequence of the given seed.
func playFullDisks(t *testing.T, seed int64) {
	rnd := rand.New(rand.NewSource(seed))
	d := &disks{full: map[string]bool{}}
	founders := 3 + 2*rnd.Intn(2)
	var election time.Duration
	c := newCluster(t, founders, func(cfg *Config) {
		d.configure(cfg)
		cfg.SnapshotEntries, cfg.KeepEntries, cfg.SegmentBytes = 40, 5, 2<<10
		election = cfg.Election
	})
	c.configureFolder = func(name string, cfg *kcwfolder.Config) { cfg.Write = d.write(name) }
	c.startAll()
	c.leader()
	f := &fullDisks{
		repair: &repair{cluster: c, election: election, losses: founders / 2, planners: map[*Group]*kcwmembership.Planner{}},
		disks:  d, rnd: rnd,
	}
	for i := range rnd.Intn(3) {
		c.start(c.addHost(fmt.Sprintf("spare%d", i)).name, false)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var repairs, clients sync.WaitGroup
	for name := range c.hosts {
		repairs.Go(func() { f.run(ctx, name) })
	}
	clientsCtx, stopClients := context.WithCancel(ctx)
	for id := range 3 {
		clients.Go(func() { f.propose(clientsCtx, id, rand.New(rand.NewSource(seed+int64(id)))) })
	}
	for range 3 + rnd.Intn(4) {
		f.fill()
	}
	f.check(func() { stopClients(); clients.Wait() })
	cancel()
	repairs.Wait()
	t.Logf("seed %d: %d founders, %d hosts, %d acknowledged, the longest call took %v", seed, founders, len(c.hosts), len(f.acked), f.longest)
}

// After disks were full one after the other, changes must not stay refused or unanswered.
func TestChangesGoOnAfterFullDisksInTurn(t *testing.T) {
	first := seed(t, 1)
	for s := first; s < first+sequences(t, 6); s++ {
		t.Run(fmt.Sprintf("seed %d", s), func(t *testing.T) {
			t.Parallel()
			playFullDisks(t, s)
		})
	}
}
