package kcwtool

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"io"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"kingcupwick.example/kcw/kcwledger"
	"kingcupwick.example/kcw/kcwpb"
)

// ledgerDump is the state of the ledger as dump prints it.
type ledgerDump struct {
	Revision  uint64
	Customers []account
	Claims    []claimRow
	Grants    []grantRow
	Changes   []changeRow
}

type claimRow struct {
	Customer    string
	Request     string
	State       string
	Tokens      int64
	Router      string
	Incarnation uint64
	Repeatable  bool
	FromGrant   bool
	Upstream    string
	OpenedAt    time.Time
	LeaseUntil  time.Time
	ClosedAt    time.Time
	// AnswerDigest is in hexadecimal.
	AnswerDigest string
}

type grantRow struct {
	Customer    string
	Router      string
	Incarnation uint64
	Tokens      int64
	Orphaned    bool
}

type changeRow struct {
	Customer string
	event
}

var claimStates = map[kcwpb.ClaimState]string{
	kcwpb.ClaimState_CLAIM_STATE_OPEN:    "Open",
	kcwpb.ClaimState_CLAIM_STATE_BILLED:  "Billed",
	kcwpb.ClaimState_CLAIM_STATE_NOT_RUN: "NotRun",
	kcwpb.ClaimState_CLAIM_STATE_UNKNOWN: "Unknown",
}

func (t *Tool) dumpCommand() *ffcli.Command {
	set := t.flags("dump")
	customer := set.String("customer", "", "only this customer (default all)")
	process := set.String("process", "", "dump the process with this operator `address` in place of the ledger's state")
	return t.command("dump", "", "write the ledger's state, or a process's, as JSON", set, func(ctx context.Context, _ []string) error {
		if *process != "" {
			data, err := t.fetchDump(ctx, *process)
			if err != nil {
				return err
			}
			return t.write(data)
		}
		return t.call(ctx, func(ctx context.Context, client *kcwledger.Client) error {
			list, err := client.List(ctx, &kcwpb.ListRequest{Customer: *customer, WithClaims: true, WithHistory: true})
			if err != nil {
				return ledgerError("dump", err)
			}
			data, err := json.MarshalIndent(newLedgerDump(list), "", "  ")
			if err != nil {
				return &Error{Op: "dump", Kind: Failed, Err: err}
			}
			return t.write(append(data, '\n'))
		})
	})
}

func newLedgerDump(list *kcwpb.ListResponse) ledgerDump {
	dump := ledgerDump{Revision: list.Revision, Customers: accounts(list)}
	for _, c := range list.Claims {
		dump.Claims = append(dump.Claims, claimRow{
			Customer:     c.Customer,
			Request:      c.Request,
			State:        claimStates[c.State],
			Tokens:       c.Tokens,
			Router:       c.Router,
			Incarnation:  c.Incarnation,
			Repeatable:   c.Repeatable,
			FromGrant:    c.FromGrant,
			Upstream:     c.Upstream,
			OpenedAt:     timeOf(c.OpenedAt),
			LeaseUntil:   timeOf(c.LeaseUntil),
			ClosedAt:     timeOf(c.ClosedAt),
			AnswerDigest: hex.EncodeToString(c.AnswerDigest),
		})
	}
	for _, g := range list.Grants {
		dump.Grants = append(dump.Grants, grantRow{g.Customer, g.Router, g.Incarnation, g.Tokens, g.Orphaned})
	}
	for _, c := range list.Changes {
		dump.Changes = append(dump.Changes, changeRow{c.Customer, event{timeOf(c.At), c.Kind, c.Revision, c.Tokens, c.Change}})
	}
	return dump
}

func (t *Tool) write(data []byte) error {
	if _, err := t.cfg.Out.Write(data); err != nil {
		return &Error{Op: "write", Kind: Failed, Err: err}
	}
	return nil
}

func readAll(from io.Reader) ([]byte, error) {
	data, err := io.ReadAll(from)
	if err != nil {
		return nil, &Error{Op: "read", Kind: Failed, Err: err}
	}
	return data, nil
}
