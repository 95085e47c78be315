package kcwledger

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"kingcupwick.example/kcw/kcwpb"
)

// Lookup returns a contract by the hash of a key or by customer, from the first
// replica that answers and has at least revision req.MinRevision. It returns an
// Error of kind Unavailable if none does before ctx ends, of kind Refused if the
// ledger refuses the call, and of kind Closed if the client is closed.
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

// Heartbeat reports to the leader that a router is running and which contract
// revision it uses. It returns the same errors as Lookup.
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

// List returns the contracts, budgets, claims, grants and history of the leader.
// It returns the same errors as Lookup, and needs the operator's key.
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

// Fleet returns the leader's status of the replicas and routers. It returns the
// same errors as Lookup, and needs the operator's key.
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

// ChangeMembers makes one change of the members, as (*kcwgroup.Group).ChangeMembers.
// It tries one replica after another, but only until one may have received the change: if
// that one gives no answer, the error is of kind OutcomeUnknown, and Fleet returns the
// current members. The next call starts with another replica. The error is of kind
// NotSent if ctx ends or the client is closed before any replica can have received
// the change.
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
		c.links.recordFailure(l, err)
		if connected.Load() && !isNotLeader(err) {
			return nil, &Error{Op: op, Kind: OutcomeUnknown, Err: err}
		}
		c.backOff()
		if ctx.Err() != nil || c.isClosed() {
			return nil, &Error{Op: op, Kind: NotSent, Err: err}
		}
	}
}

// try calls one replica after another, starting with the presumed leader, until
// one answers or ctx ends.
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
		c.links.recordFailure(l, err)
		c.backOff()
	}
}

// Watch passes each event with contract changes after revision() to deliver,
// until ctx ends. It switches to the next replica if the current one sends no
// event within the silence timeout, is cut off from its leader, or is behind
// revision(). It starts with a random replica, so that routers are spread over
// them. It returns an Error of kind Refused if the ledger refuses the call, and of
// kind Closed once ctx has ended or the client is closed.
func (c *Client) Watch(ctx context.Context, req *kcwpb.WatchRequest, revision func() uint64, deliver func(*kcwpb.WatchEvent)) error {
	n := int(time.Now().UnixNano() % int64(c.links.count()))
	for ctx.Err() == nil && !c.isClosed() {
		request := &kcwpb.WatchRequest{Router: req.Router, Incarnation: req.Incarnation, Revision: revision()}
		err := c.readWatch(ctx, c.links.at(n), request, revision, deliver)
		if isRefusal(err) {
			return &Error{Op: "watch", Kind: Refused, Err: err}
		}
		n++
		c.backOff()
	}
	return &Error{Op: "watch", Kind: Closed, Err: ctx.Err()}
}

// readWatch reads the watch stream of one replica until it ends, times out, or
// returns stale data.
func (c *Client) readWatch(ctx context.Context, l *link, req *kcwpb.WatchRequest, revision func() uint64, deliver func(*kcwpb.WatchEvent)) error {
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
