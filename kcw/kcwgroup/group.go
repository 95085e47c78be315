// Package kcwgroup runs one replica of a replicated group. It connects the consensus
// of kcwreplica to a log, snapshots, a transport and a state machine.
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

// inboxCalls limits the calls of Step, and eventCalls the events from the group's own
// goroutines, that wait for the loop.
const (
	inboxCalls = 1024
	eventCalls = 16
)

// maxCommand is the maximum size of a command, in bytes.
const maxCommand = 4 << 20

// Group is a running replica. Its methods may be called concurrently.
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
	// halting is closed when the loop stops accepting events, done when all calls
	// have ended.
	halting     chan struct{}
	done        chan struct{}
	applierDone sync.WaitGroup
	writers     sync.WaitGroup
	closeOnce   sync.Once
	// stopping is closed by Close, so that a loop that waits for disk space returns.
	stopping chan struct{}
	full     atomic.Bool
	// fault is the error that stopped the group, nil if there is none.
	fault  atomic.Pointer[error]
	status atomic.Pointer[kcwpb.GroupStatus]
	// sendingUntil is until when a snapshot counts as being sent.
	sendingUntil atomic.Pointer[time.Time]
	lastContact  atomic.Pointer[time.Time]

	// The fields below are used only by the loop.
	replica *kcwreplica.Replica
	wal     *kcwwal.Log
	// founding is the founding in progress, nil if there is none, and founders the
	// persisted set of founders.
	founding *foundingState
	founders []*kcwpb.Member
	// contacts holds members named in messages, by identity. They supply the
	// addresses of replicas that are not in the membership.
	contacts map[uint64]*kcwpb.Member
	// pendingConfirms holds the calls of Confirm that wait for a quorum, by the ID
	// of their read; confirmID is the last such ID.
	confirmID       uint64
	pendingConfirms map[uint64][]*call
	// leaderTerm is the term in which this replica leads, zero if it does not.
	leaderTerm  uint64
	publishedAt time.Time
	// compactTo is the index up to which the log's segments may be removed. If segments
	// were left because the disk was full, compactAt is when to try again, otherwise zero.
	compactTo uint64
	compactAt time.Time
}

// New opens the replica's state and starts the replica. The error is an *Error; its
// Kind is Storage if the folder is damaged or belongs to another replica, and Full if the
// disk has no space for what New has to write.
func New(cfg Config) (*Group, error) {
	cfg = cfg.withDefaults()
	if err := cfg.check(); err != nil {
		return nil, err
	}
	w := &waiters{calls: map[uint64]*call{}}
	g := &Group{
		cfg: cfg, waiters: w, applier: newApplier(cfg, w),
		inbox:           make(chan []*kcwpb.Message, inboxCalls),
		proposals:       make(chan *call, cfg.Queue),
		confirms:        make(chan *call, cfg.Queue),
		changes:         make(chan *call),
		events:          make(chan func() error, eventCalls),
		halting:         make(chan struct{}),
		stopping:        make(chan struct{}),
		done:            make(chan struct{}),
		contacts:        map[uint64]*kcwpb.Member{},
		pendingConfirms: map[uint64][]*call{},
	}
	g.applier.writeSnapshot = g.writeSnapshot
	g.applier.load = g.load
	g.applier.deferSnapshot = g.isSending
	g.applier.onError = func(err error) { g.post(func() error { return err }) }
	if err := g.open(); err != nil {
		g.closeFiles()
		if isFull(err) {
			return nil, fail("open", Full, err)
		}
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

// Propose appends a command, waits until it is committed and applied, and returns its
// result. The caller must not modify data afterwards. The error is an *Error; if its
// Kind is OutcomeUnknown the command may or may not be executed, otherwise it was not
// executed and will not be.
func (g *Group) Propose(ctx context.Context, data []byte) ([]byte, error) {
	if len(data) > maxCommand {
		return nil, invalid("propose", "the command is too large")
	}
	c := newCall()
	c.data = data
	o, err := g.submit(ctx, "propose", g.proposals, c)
	return o.data, err
}

// Confirm returns nil once a quorum has confirmed that this replica was still the
// leader after the call of Confirm, and everything committed before is applied. The
// error is an *Error.
func (g *Group) Confirm(ctx context.Context) error {
	_, err := g.submit(ctx, "confirm", g.confirms, newCall())
	return err
}

// ChangeMembers adds a learner, promotes a learner, demotes a voter, replaces a voter by
// a learner or removes a member, and returns the membership once the change is
// committed. For a replacement, that is the membership of which Outgoing still holds the
// voters before it: from then on it is certain, and whichever replica leads completes it
// with a second membership, until whose commit other changes are rejected as Busy. Only
// the leader accepts changes, one at a time. The error is an *Error as for Propose; its
// Kind is NotCaughtUp if the learner to be made a voter lacks committed entries.
func (g *Group) ChangeMembers(ctx context.Context, req *kcwpb.ChangeMembersRequest) (*kcwpb.Membership, error) {
	c := newCall()
	c.change = proto.Clone(req).(*kcwpb.ChangeMembersRequest)
	o, err := g.submit(ctx, "change members", g.changes, c)
	return o.membership, err
}

// Step queues messages from other replicas. It does not block; if the queue is full,
// the messages are dropped.
func (g *Group) Step(msgs []*kcwpb.Message) {
	select {
	case g.inbox <- msgs:
	default:
	}
}

// Exchange is the handler of the Peer service. The server must have authenticated the
// caller as a process of the system.
func (g *Group) Exchange(_ context.Context, req *connect.Request[kcwpb.ExchangeRequest]) (*connect.Response[kcwpb.ExchangeResponse], error) {
	if req.Msg.GetGroup() != g.cfg.Group {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errors.New("message of another group"))
	}
	g.Step(req.Msg.GetMessages())
	return connect.NewResponse(&kcwpb.ExchangeResponse{}), nil
}

// Status returns the replica's view of its group, which may be up to a heartbeat
// interval old. The caller must not modify it.
func (g *Group) Status() *kcwpb.GroupStatus {
	status := proto.Clone(g.status.Load()).(*kcwpb.GroupStatus)
	status.Applied = g.applier.applied.Load()
	return status
}

// Done returns a channel that is closed when the group has stopped, because of Close or
// a disk failure.
func (g *Group) Done() <-chan struct{} {
	return g.done
}

// Close transfers leadership if possible, stops the replica and closes its files. The
// folder stays open. Close returns the error that stopped the group earlier, if any.
func (g *Group) Close() error {
	g.closeOnce.Do(func() {
		if !g.full.Load() {
			g.transferLeadership()
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

// transferLeadership starts a leadership transfer if this replica is the leader and
// another voter can take over, and waits for its end for at most an election timeout.
func (g *Group) transferLeadership() {
	g.runInLoop(func() { g.replica.Transfer(g.cfg.Now()) })
	pause := max(g.cfg.Heartbeat/ticksPerHeartbeat, minTick)
	for range int(g.cfg.Election / pause) {
		// The loop may answer after runInLoop has given up.
		transferring := make(chan bool, 1)
		g.runInLoop(func() { transferring <- g.replica.IsTransferring() })
		select {
		case isTransferring := <-transferring:
			if !isTransferring {
				return
			}
		default:
			return
		}
		time.Sleep(pause)
	}
}

// runInLoop runs f in the loop and waits until it returns, but for at most an election
// timeout. It does not wait if the loop has stopped.
func (g *Group) runInLoop(f func()) {
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
		// The loop is blocked by a slow or full disk.
	}
}

// post queues an event for the loop, unless the loop has stopped.
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

// writeSnapshot writes a snapshot in the background, and then has the loop compact the
// log.
func (g *Group) writeSnapshot(meta *kcwpb.SnapshotChunk, image func(io.Writer) error) {
	g.writers.Add(1)
	go func() {
		defer g.writers.Done()
		defer g.applier.writerIdle.Store(true)
		err := g.repeatSnapshot(meta, func() error {
			return g.store.Write(meta.Index, meta.Term, meta.Membership, image)
		})
		g.post(func() error { return g.compact(meta, err) })
	}()
}
