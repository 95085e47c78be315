package kcwservice

import (
	"context"
	"errors"

	"connectrpc.com/connect"

	"kingcupwick.example/kcw/kcwcontract"
	"kingcupwick.example/kcw/kcwgroup"
	"kingcupwick.example/kcw/kcwpb"
)

// operatorService answers operators.
type operatorService struct {
	*Service
}

// Submit applies an operator's commands and returns their results. It validates
// contracts itself and does not rely on the operator's tool.
func (s *operatorService) Submit(ctx context.Context, req *connect.Request[kcwpb.SubmitRequest]) (*connect.Response[kcwpb.SubmitResponse], error) {
	for _, cmd := range req.Msg.Commands {
		if err := checkContract(cmd.GetPutContract()); err != nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
	}
	results, err := s.submit(ctx, req.Msg.Commands, isOperatorCommand)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&kcwpb.SubmitResponse{Results: results}), nil
}

// checkContract returns an error unless put is nil, deletes a contract, or has a
// valid contract in its canonical form.
func checkContract(put *kcwpb.PutContract) error {
	if put == nil || put.GetContract().GetDeleted() {
		return nil
	}
	if put.Contract == nil {
		return errors.New("no contract")
	}
	_, err := kcwcontract.FromMessage(put.Contract)
	return err
}

// isOperatorCommand reports whether an operator's key permits cmd.
func isOperatorCommand(cmd *kcwpb.Command) bool {
	switch cmd.GetOp().(type) {
	case *kcwpb.Command_PutContract, *kcwpb.Command_TopUp, *kcwpb.Command_RetireRouter,
		*kcwpb.Command_ReleaseGrant, *kcwpb.Command_ResolveClaim:
		return true
	}
	return false
}

// List returns the ledger's records of one customer or of all, after a quorum has
// confirmed that this replica has the newest state.
func (s *operatorService) List(ctx context.Context, req *connect.Request[kcwpb.ListRequest]) (*connect.Response[kcwpb.ListResponse], error) {
	if err := s.confirm(ctx); err != nil {
		return nil, err
	}
	response := &kcwpb.ListResponse{Revision: s.cfg.Book.Revision()}
	for _, contract := range s.contracts(req.Msg.Customer) {
		s.addToList(response, contract, req.Msg)
	}
	return connect.NewResponse(response), nil
}

// contracts returns the contract of customer, or all if customer is empty.
func (s *Service) contracts(customer string) []*kcwpb.Contract {
	if customer == "" {
		return s.cfg.Book.Contracts()
	}
	if contract := s.cfg.Book.Contract(customer); contract != nil {
		return []*kcwpb.Contract{contract}
	}
	return nil
}

// addToList adds to response the records of one contract that req selects.
func (s *Service) addToList(response *kcwpb.ListResponse, contract *kcwpb.Contract, req *kcwpb.ListRequest) {
	response.Contracts = append(response.Contracts, contract)
	if budget := s.cfg.Book.Budget(contract.Customer); budget != nil {
		response.Budgets = append(response.Budgets, budget)
	}
	if req.WithClaims {
		response.Claims = append(response.Claims, s.cfg.Book.Claims(contract.Customer)...)
		response.Grants = append(response.Grants, s.cfg.Book.Grants(contract.Customer)...)
	}
	if req.WithHistory {
		response.Changes = append(response.Changes, s.cfg.Book.Changes(contract.Customer)...)
	}
}

// Fleet returns the leader's status of the replicas and routers.
func (s *operatorService) Fleet(ctx context.Context, _ *connect.Request[kcwpb.FleetRequest]) (*connect.Response[kcwpb.FleetResponse], error) {
	if err := s.confirm(ctx); err != nil {
		return nil, err
	}
	return connect.NewResponse(&kcwpb.FleetResponse{
		Group:    s.cfg.Group.Status(),
		Revision: s.cfg.Book.Revision(),
		Routers:  s.roster.list(s.cfg.Book.Routers()),
	}), nil
}

// ChangeMembers makes one change of the members, as (*kcwgroup.Group).ChangeMembers.
func (s *operatorService) ChangeMembers(ctx context.Context, req *connect.Request[kcwpb.ChangeMembersRequest]) (*connect.Response[kcwpb.ChangeMembersResponse], error) {
	membership, err := s.cfg.Group.ChangeMembers(ctx, req.Msg)
	if err != nil {
		return nil, s.memberError(err)
	}
	return connect.NewResponse(&kcwpb.ChangeMembersResponse{Membership: membership}), nil
}

// memberError converts the error of a membership change to the answer of the call.
func (s *Service) memberError(err error) error {
	var e *kcwgroup.Error
	if !errors.As(err, &e) {
		return s.callError(err)
	}
	switch e.Kind {
	case kcwgroup.Invalid, kcwgroup.NotCaughtUp, kcwgroup.Busy:
		return connect.NewError(connect.CodeInvalidArgument, err)
	}
	return s.callError(err)
}

// confirm returns nil once a quorum has confirmed that this replica is the leader
// and the replica has applied every entry committed before the call.
func (s *Service) confirm(ctx context.Context) error {
	if err := s.cfg.Group.Confirm(ctx); err != nil {
		return s.callError(err)
	}
	return nil
}

func (s *Service) callError(err error) error {
	if isNotLeader(err) {
		return notLeader(s.cfg.Group.Status())
	}
	return unavailable(s.cfg.Group.Status(), err)
}
