package kcwcore

import (
	"context"

	"connectrpc.com/connect"

	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwpb/kcwpbconnect"
)

// AnnounceStop tells the leader that the replica m is about to stop. The error is an *Error.
func (c *Client) AnnounceStop(ctx context.Context, m *kcwpb.Member) error {
	_, err := c.callLeader(ctx, "announce a stop", func(fleet kcwpbconnect.FleetClient) error {
		_, err := fleet.Admit(ctx, connect.NewRequest(&kcwpb.FleetAdmitRequest{Member: m, Leaving: true}))
		return err
	})
	return err
}
