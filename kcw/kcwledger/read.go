package kcwledger

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"kingcupwick.example/kcw/kcwpb"
)

// Lookup returns a contract by the hash of a key or by customer, from the first
// replica that is fresh and no older than req.MinRevision. It returns an Error
// of kind Unavailable if none answers before ctx ends, and of kind Refused if
// the ledger refuses the key.
func (c *Client) Lookup(ctx context.Context, req *kcwpb.LookupRequest) (*kcwpb.LookupResponse, error) {
	var response *kcwpb.LookupResponse
	err := c.try(ctx, "lookup", func(ctx context.Context, l *link) error {
		r, err := l.ledger.Lookup(ctx, connect.NewRequest(req))
		if err != nil {
			return err
		}
		if r.Msg.Revision < req.MinRevision {
			return errStale
		}
		response = r.Msg
		return nil
	})
	return response, err
}

// Heartbeat tells the leader that a router is alive and which revision is in
// force at it. It fails as Lookup does.
func (c *Client) Heartbeat(ctx context.Context, req *kcwpb.HeartbeatRequest) (*kcwpb.HeartbeatResponse, error) {
	var response *kcwpb.HeartbeatResponse
	err := c.try(ctx, "heartbeat", func(ctx context.Context, l *link) error {
		r, err := l.ledger.Heartbeat(ctx, connect.NewRequest(req))
		if err == nil {
			response = r.Msg
		}
		return err
	})
	return response, err
}

// List returns contracts, budgets, claims, grants and history as the leader has
// them. It fails as Lookup does, and needs the operator's key.
func (c *Client) List(ctx context.Context, req *kcwpb.ListRequest) (*kcwpb.ListResponse, error) {
	var response *kcwpb.ListResponse
	err := c.try(ctx, "list", func(ctx context.Context, l *link) error {
		r, err := l.operator.List(ctx, connect.NewRequest(req))
		if err == nil {
			response = r.Msg
		}
		return err
	})
	return response, err
}

// Fleet returns the replicas and the routers as the leader sees them. It fails
// as List does.
func (c *Client) Fleet(ctx context.Context) (*kcwpb.FleetResponse, error) {
	var response *kcwpb.FleetResponse
	err := c.try(ctx, "fleet", func(ctx context.Context, l *link) error {
		r, err := l.operator.Fleet(ctx, connect.NewRequest(&kcwpb.FleetRequest{}))
		if err == nil {
			response = r.Msg
		}
		return err
	})
	return response, err
}

// ChangeMembers adds, promotes or removes one replica. It is sent to the next
// replica as long as none can have received it, and not resent after one may
// have: the error is then of kind OutcomeUnknown, and Fleet shows the members in
// force. The next call turns to another replica. The error is of kind NotSent
// if ctx ended before any replica can have received it.
func (c *Client) ChangeMembers(ctx context.Context, req *kcwpb.ChangeMembersRequest) (*kcwpb.Membership, error) {
	const op = "change members"
	for {
		l := c.links.leader()
		traced, connected := traceConnected(ctx)
		r, err := l.operator.ChangeMembers(traced, connect.NewRequest(req))
		switch {
		case err == nil:
			return r.Msg.Membership, nil
		case isRefusal(err):
			return nil, &Error{Op: op, Kind: Refused, Err: err}
		}
		c.links.failed(l, err)
		if connected.Load() && !isNotLeader(err) {
			return nil, &Error{Op: op, Kind: OutcomeUnknown, Err: err}
		}
		c.pause()
		if ctx.Err() != nil || c.isClosed() {
			return nil, &Error{Op: op, Kind: NotSent, Err: err}
		}
	}
}

// try calls the replicas in turn, the presumed leader first, until one answers.
func (c *Client) try(ctx context.Context, op string, call func(context.Context, *link) error) error {
	for {
		l := c.links.leader()
		attempt, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
		err := call(attempt, l)
		cancel()
		switch {
		case err == nil:
			return nil
		case isRefusal(err):
			return &Error{Op: op, Kind: Refused, Err: err}
		case ctx.Err() != nil:
			return &Error{Op: op, Kind: Unavailable, Err: err}
		case c.isClosed():
			return &Error{Op: op, Kind: Closed, Err: err}
		}
		c.links.failed(l, err)
		c.pause()
	}
}

// Watch follows the changes of contracts after revision() and gives each event
// to deliver, until ctx ends. It leaves a replica that falls silent, that is
// cut off from its leader, or that is behind revision(), for the next one.
// Replicas are taken in a random order, so that routers spread over them.
func (c *Client) Watch(ctx context.Context, req *kcwpb.WatchRequest, revision func() uint64, deliver func(*kcwpb.WatchEvent)) error {
	n := int(time.Now().UnixNano() % int64(c.links.count()))
	for ctx.Err() == nil && !c.isClosed() {
		request := &kcwpb.WatchRequest{Router: req.Router, Incarnation: req.Incarnation, Revision: revision()}
		err := c.follow(ctx, c.links.at(n), request, revision, deliver)
		if isRefusal(err) {
			return &Error{Op: "watch", Kind: Refused, Err: err}
		}
		n++
		c.pause()
	}
	return &Error{Op: "watch", Kind: Closed, Err: ctx.Err()}
}

// follow reads one watch stream until it must be left.
func (c *Client) follow(ctx context.Context, l *link, req *kcwpb.WatchRequest, revision func() uint64, deliver func(*kcwpb.WatchEvent)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	watchdog := time.AfterFunc(c.cfg.SilenceTimeout, func() { cancel(errSilent) })
	defer watchdog.Stop()
	stream, err := l.ledger.Watch(ctx, connect.NewRequest(req))
	if err != nil {
		cancel(nil)
		return err
	}
	defer func() {
		cancel(nil)
		_ = stream.Close()
	}()
	for stream.Receive() {
		watchdog.Reset(c.cfg.SilenceTimeout)
		event := stream.Msg()
		if !event.Fresh || event.Revision < revision() {
			return errStale
		}
		deliver(event)
	}
	return stream.Err()
}
