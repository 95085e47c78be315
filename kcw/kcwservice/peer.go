package kcwservice

import (
	"context"

	"connectrpc.com/connect"

	"kingcupwick.example/kcw/kcwpb"
)

// peerService answers the other replicas.
type peerService struct {
	*Service
}

// Exchange hands messages of another replica to the group.
func (s *peerService) Exchange(_ context.Context, req *connect.Request[kcwpb.ExchangeRequest]) (*connect.Response[kcwpb.ExchangeResponse], error) {
	s.cfg.Group.Step(req.Msg.Messages)
	return connect.NewResponse(&kcwpb.ExchangeResponse{}), nil
}
