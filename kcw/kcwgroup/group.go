// Package kcwgroup holds one replica of a replicated group at work: it drives
// the consensus of kcwreplica with a log, snapshots, a transport and a state
// machine.
package kcwgroup

import (
	"context"
	"errors"

	"connectrpc.com/connect"

	"kingcupwick.example/kcw/kcwpb"
)

// Group is one replica at work. Its methods may be called at the same time.
type Group struct {
	cfg Config
}

// New opens the replica's state and starts it. The error is an *Error.
func New(cfg Config) (*Group, error) {
	cfg = cfg.withDefaults()
	if err := cfg.check(); err != nil {
		return nil, err
	}
	return &Group{cfg: cfg}, nil
}

// Propose appends a command and returns the result of applying it, once it is
// committed. The error is an *Error; after OutcomeUnknown the command may or
// may not be carried out, after any other kind it was not.
func (g *Group) Propose(ctx context.Context, data []byte) ([]byte, error) {
	return nil, fail("propose", NotLeader, nil)
}

// Confirm returns nil once a quorum has confirmed that this replica led when
// Confirm was called and all that was committed then is applied here.
func (g *Group) Confirm(ctx context.Context) error {
	return fail("confirm", NotLeader, nil)
}

// Step takes messages from other replicas. It does not block; when the queue
// is full messages are dropped.
func (g *Group) Step(msgs []*kcwpb.Message) {}

// Exchange is the handler of the Peer service. The caller of the handler must
// have been authenticated as a process of the system.
func (g *Group) Exchange(_ context.Context, req *connect.Request[kcwpb.ExchangeRequest]) (*connect.Response[kcwpb.ExchangeResponse], error) {
	if req.Msg.GetGroup() != g.cfg.Group {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errors.New("message of another group"))
	}
	g.Step(req.Msg.GetMessages())
	return connect.NewResponse(&kcwpb.ExchangeResponse{}), nil
}

// Status returns the replica's view of its group.
func (g *Group) Status() *kcwpb.GroupStatus {
	return &kcwpb.GroupStatus{}
}

// ChangeMembers adds a learner, promotes one or removes a member, and returns
// the membership once the change is committed. Only the leader does so, one
// change at a time. The error is an *Error as of Propose, and of kind
// NotCaughtUp if a learner to promote is behind.
func (g *Group) ChangeMembers(ctx context.Context, req *kcwpb.ChangeMembersRequest) (*kcwpb.Membership, error) {
	return nil, fail("change members", NotLeader, nil)
}

// Close hands leadership over if it can, stops the replica and closes its
// files. The folder stays open.
func (g *Group) Close() error {
	return nil
}
