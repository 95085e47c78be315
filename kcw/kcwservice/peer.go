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

// Exchange passes the messages of another replica to the group.
func (s *peerService) Exchange(ctx context.Context, req *connect.Request[kcwpb.ExchangeRequest]) (*connect.Response[kcwpb.ExchangeResponse], error) {
	return s.cfg.Group.Exchange(ctx, req)
}
