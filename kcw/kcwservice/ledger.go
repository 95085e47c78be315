package kcwservice

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"kingcupwick.example/kcw/kcwpb"
)

// watchBatch bounds the contracts in one event of a watch.
const watchBatch = 512

var (
	errNotFresh = errors.New("no leader heard lately, or not caught up since the start")
	errStopping = errors.New("the replica is stopping")
)

// ledgerService answers routers.
type ledgerService struct {
	*Service
}

// Submit carries out a router's commands.
func (s *ledgerService) Submit(ctx context.Context, req *connect.Request[kcwpb.SubmitRequest]) (*connect.Response[kcwpb.SubmitResponse], error) {
	results, err := s.submit(ctx, req.Msg.Commands, isRouterCommand)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&kcwpb.SubmitResponse{Results: results}), nil
}

// isRouterCommand reports whether a router's key admits cmd.
func isRouterCommand(cmd *kcwpb.Command) bool {
	switch cmd.GetOp().(type) {
	case *kcwpb.Command_RegisterRouter, *kcwpb.Command_OpenClaim, *kcwpb.Command_SettleClaim,
		*kcwpb.Command_DrawGrant, *kcwpb.Command_ReturnGrant, *kcwpb.Command_ReleaseGrant:
		return true
	}
	return false
}

// Lookup returns a contract from this replica, if it is fresh.
func (s *ledgerService) Lookup(_ context.Context, req *connect.Request[kcwpb.LookupRequest]) (*connect.Response[kcwpb.LookupResponse], error) {
	if !s.Fresh() {
		return nil, unavailable(s.cfg.Group.Status(), errNotFresh)
	}
	// The revision is read first: the contract is then at least as new.
	response := &kcwpb.LookupResponse{Revision: s.cfg.Book.Revision()}
	if len(req.Msg.KeyHash) > 0 {
		response.Contract = s.cfg.Book.ContractByKey(req.Msg.KeyHash)
	} else {
		response.Contract = s.cfg.Book.Contract(req.Msg.Customer)
	}
	response.Found = response.Contract != nil
	return connect.NewResponse(response), nil
}

// Watch sends each change after the revision asked for, and an event at least
// once in each beat.
func (s *ledgerService) Watch(ctx context.Context, req *connect.Request[kcwpb.WatchRequest], stream *connect.ServerStream[kcwpb.WatchEvent]) error {
	revision := req.Msg.Revision
	beat := time.NewTicker(s.cfg.WatchInterval)
	defer beat.Stop()
	for {
		changed := s.cfg.Changed()
		next, err := s.sendChanges(stream, revision)
		if err != nil {
			return err
		}
		revision = next
		select {
		case <-changed:
		case <-beat.C:
		case <-ctx.Done():
			return ctx.Err()
		case <-s.stopped:
			return unavailable(s.cfg.Group.Status(), errStopping)
		}
	}
}

// sendChanges sends the changes after revision, in events of a bounded size,
// and returns the revision that the watcher now has.
func (s *ledgerService) sendChanges(stream *connect.ServerStream[kcwpb.WatchEvent], revision uint64) (uint64, error) {
	contracts, newest := s.cfg.Book.Since(revision)
	for len(contracts) > watchBatch {
		part := contracts[:watchBatch]
		contracts = contracts[watchBatch:]
		// The revision of a part is that of its last contract: a watcher that
		// is cut off here asks for the rest from there.
		if err := stream.Send(s.event(part, part[watchBatch-1].Revision)); err != nil {
			return revision, err
		}
	}
	if err := stream.Send(s.event(contracts, newest)); err != nil {
		return revision, err
	}
	return newest, nil
}

func (s *ledgerService) event(contracts []*kcwpb.Contract, revision uint64) *kcwpb.WatchEvent {
	return &kcwpb.WatchEvent{
		Contracts: contracts,
		Revision:  revision,
		Term:      s.cfg.Group.Status().Term,
		Fresh:     s.Fresh(),
	}
}

// Heartbeat takes down that a router is alive. Only the leader answers.
func (s *ledgerService) Heartbeat(_ context.Context, req *connect.Request[kcwpb.HeartbeatRequest]) (*connect.Response[kcwpb.HeartbeatResponse], error) {
	status := s.cfg.Group.Status()
	if status.Leader != status.Id || !s.Fresh() {
		return nil, notLeader(status)
	}
	now := s.cfg.Now()
	s.roster.note(req.Msg, now)
	return connect.NewResponse(&kcwpb.HeartbeatResponse{
		Revision: s.cfg.Book.Revision(),
		Term:     status.Term,
		Recalls:  s.recalls.list(now),
		Fenced:   s.cfg.Book.IsFenced(req.Msg.Router, req.Msg.Incarnation),
		Routers:  s.roster.count(now, s.cfg.SilentAfter),
	}), nil
}
