// Package kcwgroup holds one replica of a replicated group at work: it drives
// the consensus of kcwreplica with a log, snapshots, a transport and a state
// machine.
package kcwgroup

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwreplica"
	"kingcupwick.example/kcw/kcwsnapshot"
	"kingcupwick.example/kcw/kcwwal"
)

// inboxCalls and eventCalls bound the calls of Step, and the events of the
// group's own goroutines, that wait for the loop.
const (
	inboxCalls = 1024
	eventCalls = 16
)

// maxCommand bounds a command, in bytes.
const maxCommand = 4 << 20

// Group is one replica at work. Its methods may be called at the same time.
type Group struct {
	cfg      Config
	identity identity
	store    *kcwsnapshot.Store
	applier  *applier
	waiters  *waiters

	inbox     chan []*kcwpb.Message
	proposals chan *call
	confirms  chan *call
	changes   chan *call
	events    chan func() error
	// halting is closed when the loop stops taking events, done when all calls
	// are ended.
	halting     chan struct{}
	done        chan struct{}
	applierDone sync.WaitGroup
	writers     sync.WaitGroup
	closeOnce   sync.Once
	// stopping is closed by Close. It ends the wait of a loop whose disk is full.
	stopping chan struct{}
	full     atomic.Bool
	fault    atomic.Pointer[error]
	status   atomic.Pointer[kcwpb.GroupStatus]
	// sendingUntil is when a snapshot that is being sent counts as given up.
	sendingUntil atomic.Pointer[time.Time]
	heard        atomic.Pointer[time.Time]

	// Below belong to the loop.
	replica     *kcwreplica.Replica
	wal         *kcwwal.Log
	founding    *foundation
	founders    []*kcwpb.Member
	contacts    map[uint64]*kcwpb.Member
	round       uint64
	confirming  map[uint64][]*call
	leadTerm    uint64
	publishedAt time.Time
}

// New opens the replica's state and starts it. The error is an *Error; its Kind
// is Storage if the folder holds a damaged or foreign state.
func New(cfg Config) (*Group, error) {
	cfg = cfg.withDefaults()
	if err := cfg.check(); err != nil {
		return nil, err
	}
	w := &waiters{calls: map[uint64]*call{}}
	g := &Group{
		cfg: cfg, waiters: w, applier: newApplier(cfg, w),
		inbox:      make(chan []*kcwpb.Message, inboxCalls),
		proposals:  make(chan *call, cfg.Queue),
		confirms:   make(chan *call, cfg.Queue),
		changes:    make(chan *call),
		events:     make(chan func() error, eventCalls),
		halting:    make(chan struct{}),
		stopping:   make(chan struct{}),
		done:       make(chan struct{}),
		contacts:   map[uint64]*kcwpb.Member{},
		confirming: map[uint64][]*call{},
	}
	g.applier.freeze = g.freeze
	g.applier.load = g.load
	g.applier.hold = g.isSending
	g.applier.broken = func(err error) { g.post(func() error { return err }) }
	if err := g.open(); err != nil {
		g.closeFiles()
		return nil, err
	}
	g.publish()
	g.applierDone.Add(1)
	go func() {
		defer g.applierDone.Done()
		g.applier.run()
	}()
	go g.loop()
	return g, nil
}

// Propose appends a command and returns the result of applying it, once it is
// committed. Data must not be changed afterwards. The error is an *Error; after
// OutcomeUnknown the command may or may not be carried out, after any other
// kind it was not and will not be.
func (g *Group) Propose(ctx context.Context, data []byte) ([]byte, error) {
	if len(data) > maxCommand {
		return nil, invalid("propose", "the command is too large")
	}
	c := newCall()
	c.data = data
	o, err := g.submit(ctx, "propose", g.proposals, c)
	return o.data, err
}

// Confirm returns nil once a quorum has confirmed that this replica led after
// Confirm was called, and all that was committed by then is applied here.
func (g *Group) Confirm(ctx context.Context) error {
	_, err := g.submit(ctx, "confirm", g.confirms, newCall())
	return err
}

// ChangeMembers adds a learner, promotes one or removes a member, and returns
// the membership once the change is committed. Only the leader does so, one
// change at a time. The error is an *Error as of Propose, and of kind
// NotCaughtUp if a learner to promote is behind.
func (g *Group) ChangeMembers(ctx context.Context, req *kcwpb.ChangeMembersRequest) (*kcwpb.Membership, error) {
	c := newCall()
	c.change = proto.Clone(req).(*kcwpb.ChangeMembersRequest)
	o, err := g.submit(ctx, "change members", g.changes, c)
	return o.membership, err
}

// Step takes messages from other replicas. It does not block; when the queue
// is full messages are dropped.
func (g *Group) Step(msgs []*kcwpb.Message) {
	select {
	case g.inbox <- msgs:
	default:
	}
}

// Exchange is the handler of the Peer service. The caller of the handler must
// have been authenticated as a process of the system.
func (g *Group) Exchange(_ context.Context, req *connect.Request[kcwpb.ExchangeRequest]) (*connect.Response[kcwpb.ExchangeResponse], error) {
	if req.Msg.GetGroup() != g.cfg.Group {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errors.New("message of another group"))
	}
	g.Step(req.Msg.GetMessages())
	return connect.NewResponse(&kcwpb.ExchangeResponse{}), nil
}

// Status returns the replica's view of its group, which may be a heartbeat old.
// It must not be changed.
func (g *Group) Status() *kcwpb.GroupStatus {
	status := proto.Clone(g.status.Load()).(*kcwpb.GroupStatus)
	status.Applied = g.applier.applied.Load()
	return status
}

// Done returns a channel that is closed when the group has stopped, by Close or
// by a fault of the disk.
func (g *Group) Done() <-chan struct{} {
	return g.done
}

// Close hands leadership over if it can, stops the replica and closes its
// files. The folder stays open. It returns the fault that stopped the group
// before, if any.
func (g *Group) Close() error {
	g.closeOnce.Do(func() {
		if !g.full.Load() {
			g.handOver()
		}
		close(g.stopping)
		g.post(func() error { return errStopped })
		<-g.done
		g.writers.Wait()
		g.closeFiles()
	})
	if fault := g.fault.Load(); fault != nil {
		return *fault
	}
	return nil
}

// handOver waits until another replica leads, if this one does and there is
// one to take over, for at most an election timeout.
func (g *Group) handOver() {
	g.ask(func() { g.replica.Transfer(g.cfg.Now()) })
	pause := max(g.cfg.Heartbeat/ticksPerHeartbeat, minTick)
	for range int(g.cfg.Election / pause) {
		leading := false
		g.ask(func() { leading = g.replica.IsTransferring() })
		if !leading {
			return
		}
		time.Sleep(pause)
	}
}

// ask runs f in the loop and waits for it, for an election timeout at most; it returns
// at once if the loop has stopped.
func (g *Group) ask(f func()) {
	ran := make(chan struct{})
	g.post(func() error {
		f()
		close(ran)
		return nil
	})
	select {
	case <-ran:
	case <-g.halting:
	case <-time.After(g.cfg.Election):
		// The loop waits for its disk.
	}
}

// post hands an event to the loop, unless it has stopped.
func (g *Group) post(event func() error) {
	select {
	case g.events <- event:
	case <-g.halting:
	}
}

func (g *Group) closeFiles() {
	if g.wal != nil {
		_ = g.wal.Close()
	}
	if g.store != nil {
		_ = g.store.Close()
	}
}

// load restores the machine from the stored snapshot at index.
func (g *Group) load(index uint64) error {
	return g.store.Load(index, g.cfg.Machine.Restore)
}

// freeze writes a snapshot in the background and has the log cut behind it.
func (g *Group) freeze(meta *kcwpb.SnapshotChunk, image func(io.Writer) error) {
	g.writers.Add(1)
	go func() {
		defer g.writers.Done()
		defer g.applier.idle.Store(true)
		err := g.store.Write(meta.Index, meta.Term, meta.Membership, image)
		g.post(func() error { return g.compact(meta, err) })
	}()
}
