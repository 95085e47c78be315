package main

import (
	"context"

	"kingcupwick.example/kcw/kcwledger"
	"kingcupwick.example/kcw/kcwpb"
)

// accounts opens and settles claims at the ledger alone.
type accounts struct {
	client *kcwledger.Client
}

// Open opens a claim.
func (a *accounts) Open(ctx context.Context, claim *kcwpb.OpenClaim) (*kcwpb.Result, error) {
	return a.client.Submit(ctx, &kcwpb.Command{Op: &kcwpb.Command_OpenClaim{OpenClaim: claim}})
}

// Settle closes a claim.
func (a *accounts) Settle(ctx context.Context, claim *kcwpb.SettleClaim) (*kcwpb.Result, error) {
	return a.client.Submit(ctx, &kcwpb.Command{Op: &kcwpb.Command_SettleClaim{SettleClaim: claim}})
}
