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

// Submit applies a router's commands and returns their results.
func (s *ledgerService) Submit(ctx context.Context, req *connect.Request[kcwpb.SubmitRequest]) (*connect.Response[kcwpb.SubmitResponse], error) {
	results, err := s.submit(ctx, req.Msg.Commands, isRouterCommand)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&kcwpb.SubmitResponse{Results: results}), nil
}

// isRouterCommand reports whether a router's key permits cmd.
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
	// The revision is read before the contract, which is then at least as new.
	response := &kcwpb.LookupResponse{Revision: s.cfg.Book.Revision()}
	if len(req.Msg.KeyHash) > 0 {
		response.Contract = s.cfg.Book.ContractByKey(req.Msg.KeyHash)
	} else {
		response.Contract = s.cfg.Book.Contract(req.Msg.Customer)
	}
	response.Found = response.Contract != nil
	return connect.NewResponse(response), nil
}

// Watch sends the contracts changed after the requested revision and then each
// further change. It sends an event at least once per watch interval.
func (s *ledgerService) Watch(ctx context.Context, req *connect.Request[kcwpb.WatchRequest], stream *connect.ServerStream[kcwpb.WatchEvent]) error {
	revision := req.Msg.Revision
	ticker := time.NewTicker(s.cfg.WatchInterval)
	defer ticker.Stop()
	for {
		changed := s.cfg.Changed()
		next, err := s.sendChanges(stream, revision)
		if err != nil {
			return err
		}
		revision = next
		select {
		case <-changed:
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		case <-s.stopped:
			return unavailable(s.cfg.Group.Status(), errStopping)
		}
	}
}

// sendChanges sends the changes after revision, in events of at most watchBatch
// contracts, and returns the revision that the watcher has received.
func (s *ledgerService) sendChanges(stream *connect.ServerStream[kcwpb.WatchEvent], revision uint64) (uint64, error) {
	contracts, newest := s.cfg.Book.Since(revision)
	for len(contracts) > watchBatch {
		part := contracts[:watchBatch]
		contracts = contracts[watchBatch:]
		// The revision of a part is that of its last contract: a watcher whose
		// stream ends here requests the rest from that revision.
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

// Heartbeat records a router's heartbeat. Only the leader accepts it.
func (s *ledgerService) Heartbeat(_ context.Context, req *connect.Request[kcwpb.HeartbeatRequest]) (*connect.Response[kcwpb.HeartbeatResponse], error) {
	status := s.cfg.Group.Status()
	if status.Leader != status.Id || !s.Fresh() {
		return nil, notLeader(status)
	}
	now := s.cfg.Now()
	s.roster.recordHeartbeat(req.Msg, now)
	return connect.NewResponse(&kcwpb.HeartbeatResponse{
		Revision: s.cfg.Book.Revision(),
		Term:     status.Term,
		Recalls:  s.recalls.list(now),
		Fenced:   s.cfg.Book.IsFenced(req.Msg.Router, req.Msg.Incarnation),
		Routers:  s.roster.count(now, s.cfg.SilentAfter),
	}), nil
}
