package kcwtool

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"connectrpc.com/connect"
	"github.com/peterbourgon/ff/v3/ffcli"

	"kingcupwick.example/kcw/kcwcontract"
	"kingcupwick.example/kcw/kcwledger"
	"kingcupwick.example/kcw/kcwpb"
)

// changed is the row printed for a change.
type changed struct {
	Customer string
	Revision uint64
	Change   string
	Repeated bool
}

// pending is the row printed for a router that has not confirmed a revision.
type pending struct {
	Router   string
	Zone     string
	Revision uint64
	HeardAt  time.Time
}

func (t *Tool) getCommand() *ffcli.Command {
	set := t.flags("get")
	file := set.String("file", "", "write the contract to `file`, and its revision beside it, for a later apply")
	return t.command("get", "<customer>", "show a contract as its file", set, func(ctx context.Context, args []string) error {
		return t.call(ctx, func(ctx context.Context, client *kcwledger.Client) error {
			list, err := client.List(ctx, &kcwpb.ListRequest{Customer: args[0]})
			if err != nil {
				return ledgerError("get", err)
			}
			if len(list.Contracts) == 0 {
				return &Error{Op: "get", Kind: Refused, Err: fmt.Errorf("no contract of %s", args[0])}
			}
			return t.writeContract(list.Contracts[0], *file)
		})
	})
}

// writeContract writes a contract to the file at path, and its revision to the
// base file. If path is empty, it writes the contract to Out and the revision to
// Err.
func (t *Tool) writeContract(message *kcwpb.Contract, path string) error {
	contract, err := kcwcontract.FromMessage(message)
	if err != nil {
		return &Error{Op: "get", Kind: Failed, Err: err}
	}
	var text bytes.Buffer
	if err := json.Indent(&text, contract.Canonical(), "", "  "); err != nil {
		return &Error{Op: "get", Kind: Failed, Err: err}
	}
	text.WriteByte('\n')
	if path == "" {
		fmt.Fprintf(t.cfg.Err, "revision %d\n", message.Revision)
		_, err = t.cfg.Out.Write(text.Bytes())
	} else {
		err = os.WriteFile(path, text.Bytes(), 0o644)
	}
	if err != nil {
		return &Error{Op: "get", Kind: Failed, Err: err}
	}
	if path == "" {
		return nil
	}
	return writeBase(path, message.Revision)
}

func (t *Tool) waitCommand() *ffcli.Command {
	set := t.flags("wait")
	revision := set.Uint64("revision", 0, "revision to wait for (default the newest)")
	wait := set.Duration("for", 12*time.Second, "how long to wait")
	return t.command("wait", "", "wait until every router has confirmed a revision", set, func(ctx context.Context, _ []string) error {
		return t.call(ctx, func(bounded context.Context, client *kcwledger.Client) error {
			if *revision == 0 {
				fleet, err := client.Fleet(bounded)
				if err != nil {
					return ledgerError("wait", err)
				}
				*revision = fleet.Revision
			}
			return t.confirm(ctx, client, *revision, *wait)
		})
	})
}

// confirm waits until every router has confirmed the revision, and prints the
// routers that haven't when the wait ends. If wait is zero, it returns at once.
// Ctx isn't bounded by the command's timeout, which applies to the change alone.
func (t *Tool) confirm(ctx context.Context, client *kcwledger.Client, revision uint64, wait time.Duration) error {
	const pollInterval = 200 * time.Millisecond
	if wait <= 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	var rows []pending
	answered := false
	for {
		fleet, err := client.Fleet(ctx)
		if err == nil {
			rows, answered = unconfirmedRouters(fleet, revision), true
			if len(rows) == 0 {
				return nil
			}
		}
		select {
		case <-time.After(pollInterval):
			continue
		case <-ctx.Done():
		}
		if !answered {
			return &Error{Op: "wait", Kind: Unconfirmed, Err: errors.New("the ledger did not tell which routers have confirmed")}
		}
		if err := t.print(rows); err != nil {
			return err
		}
		return &Error{Op: "wait", Kind: Unconfirmed, Err: fmt.Errorf("%d routers have not confirmed revision %d", len(rows), revision)}
	}
}

// unconfirmedRouters returns the routers of the fleet that haven't confirmed the
// revision, except retired ones.
func unconfirmedRouters(fleet *kcwpb.FleetResponse, revision uint64) []pending {
	var rows []pending
	for _, status := range fleet.Routers {
		if status.Revision < revision && !status.GetRouter().GetRetired() {
			rows = append(rows, pending{status.Router.GetName(), status.Router.GetZone(), status.Revision, timeOf(status.HeardAt)})
		}
	}
	return rows
}

// timeOf converts nanoseconds since the Unix epoch. It returns the zero time for
// zero.
func timeOf(nanos int64) time.Time {
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos).UTC()
}

// connectError returns the connect error in the chain of err, or err.
func connectError(err error) error {
	var e *connect.Error
	if errors.As(err, &e) {
		return e
	}
	return err
}
