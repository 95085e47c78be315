package kcwservice

import (
	"context"
	"errors"
	"sync"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"kingcupwick.example/kcw/kcwgroup"
	"kingcupwick.example/kcw/kcwpb"
)

// maxCommands bounds the commands of one call.
const maxCommands = 1024

// submit proposes the commands concurrently and returns their results. All
// commands are idempotent, so the caller can resend all of them after an error.
func (s *Service) submit(ctx context.Context, commands []*kcwpb.Command, allowed func(*kcwpb.Command) bool) ([]*kcwpb.Result, error) {
	if len(commands) > maxCommands {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("too many commands"))
	}
	for _, cmd := range commands {
		if !allowed(cmd) {
			return nil, connect.NewError(connect.CodePermissionDenied, &Error{Op: "submit", Kind: Forbidden})
		}
	}
	results := make([]*kcwpb.Result, len(commands))
	errs := make([]error, len(commands))
	var proposed sync.WaitGroup
	for i, cmd := range commands {
		proposed.Go(func() { results[i], errs[i] = s.propose(ctx, cmd) })
	}
	proposed.Wait()
	if err := s.submitError(errs); err != nil {
		return nil, err
	}
	return results, nil
}

// submitError returns the error of a call from the errors of its commands. It is
// notLeader only if every command was rejected because this replica is not the
// leader, so that no command can be applied.
func (s *Service) submitError(errs []error) error {
	notLeading := 0
	var first error
	for _, err := range errs {
		if err != nil && first == nil {
			first = err
		}
		if isNotLeader(err) {
			notLeading++
		}
	}
	switch {
	case first == nil:
		return nil
	case notLeading == len(errs):
		return notLeader(s.cfg.Group.Status())
	}
	return unavailable(s.cfg.Group.Status(), first)
}

func isNotLeader(err error) bool {
	var e *kcwgroup.Error
	return errors.As(err, &e) && e.Kind == kcwgroup.NotLeader
}

// propose sets the time of cmd, proposes it and returns its result.
func (s *Service) propose(ctx context.Context, cmd *kcwpb.Command) (*kcwpb.Result, error) {
	cmd.At = s.clock.next(s.cfg.Now(), s.cfg.Book.Time())
	s.markSilentOwner(cmd.GetOpenClaim())
	data, err := proto.Marshal(cmd)
	if err != nil {
		return nil, err
	}
	applied, err := s.cfg.Group.Propose(ctx, data)
	if err != nil {
		return nil, err
	}
	result := &kcwpb.Result{}
	if err := proto.Unmarshal(applied, result); err != nil {
		return nil, err
	}
	s.recordShortage(cmd.GetOpenClaim(), result)
	return result, nil
}

// markSilentOwner sets the silent router of open to the owner of its claim, if that
// router's heartbeats have stopped. Only the leader decides this, so the fields
// set by the caller are overwritten.
func (s *Service) markSilentOwner(open *kcwpb.OpenClaim) {
	if open == nil {
		return
	}
	open.SilentRouter, open.SilentIncarnation = "", 0
	claim := s.cfg.Book.Claim(open.Customer, open.Request)
	if claim == nil || claim.Router == open.Router {
		return
	}
	if s.roster.isSilent(claim.Router, s.cfg.Now(), s.cfg.SilentAfter) {
		open.SilentRouter, open.SilentIncarnation = claim.Router, claim.Incarnation
	}
}

// recordShortage recalls the grants of a budget that had too few free tokens to
// open a claim.
func (s *Service) recordShortage(open *kcwpb.OpenClaim, result *kcwpb.Result) {
	if open != nil && result.Code == kcwpb.Code_CODE_EXHAUSTED {
		s.recalls.add(open.Customer, s.cfg.Now())
	}
}
