package kcwtool

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"kingcupwick.example/kcw/kcwcontract"
	"kingcupwick.example/kcw/kcwledger"
	"kingcupwick.example/kcw/kcwpb"
)

// baseSuffix is put after the name of a contract file for the file that holds
// the revision which it was read at.
const baseSuffix = ".base"

// noBase stands for a -base flag that was not given.
const noBase = -1

func (t *Tool) applyCommand() *ffcli.Command {
	set := t.flags("apply")
	base := set.Int64("base", noBase, "revision that the file was made from, 0 for a new contract (default what get wrote beside the file, or 0)")
	change := changeFlag(set)
	setPrepaid := set.Bool("set-prepaid", false, "set the prepaid tokens to those of the file where the ledger has others")
	wait := set.Duration("wait", 0, "how long to wait until every router has confirmed the change")
	return t.command("apply", "<file>", "create or amend a contract from a file", set, func(ctx context.Context, args []string) error {
		return t.apply(ctx, args[0], amendment{base: *base, change: changeIdentity(*change), setPrepaid: *setPrepaid, wait: *wait})
	})
}

// amendment is what the flags of apply say.
type amendment struct {
	base       int64
	change     string
	setPrepaid bool
	wait       time.Duration
}

func (t *Tool) apply(ctx context.Context, path string, asked amendment) error {
	contract, err := readContract(path)
	if err != nil {
		return err
	}
	if asked.base == noBase {
		if asked.base, err = readBase(path); err != nil {
			return err
		}
	}
	return t.call(ctx, func(bounded context.Context, client *kcwledger.Client) error {
		if err := checkStanding(bounded, client, contract, asked); err != nil {
			return err
		}
		put := &kcwpb.PutContract{Change: asked.change, Base: uint64(asked.base), Contract: contract.Message()}
		result, err := t.submit(bounded, client, "apply", asked.change, &kcwpb.Command{Op: &kcwpb.Command_PutContract{PutContract: put}})
		if err != nil {
			return err
		}
		if err := writeBase(path, result.Revision); err != nil {
			return err
		}
		if err := t.print([]changed{{contract.Customer, result.Revision, asked.change, result.Code == kcwpb.Code_CODE_REPEATED}}); err != nil {
			return err
		}
		return t.confirm(ctx, client, result.Revision, asked.wait)
	})
}

// checkStanding returns an *Error if the contract that the ledger has is not the
// one of the base, or has other prepaid tokens than the file without the flag
// that says so: else a file from before a top-up would undo it. What is read
// here still stands when the change is committed, as the ledger accepts the
// change from the same base only. A change that the ledger has carried out
// before is left to the ledger, which repeats its first result.
func checkStanding(ctx context.Context, client *kcwledger.Client, file *kcwcontract.Contract, asked amendment) error {
	list, err := client.List(ctx, &kcwpb.ListRequest{Customer: file.Customer, WithHistory: true})
	if err != nil {
		return ledgerError("apply", err)
	}
	for _, c := range list.Changes {
		if c.Customer == file.Customer && c.Change == asked.change {
			return nil
		}
	}
	for _, standing := range list.Contracts {
		if standing.Customer == file.Customer {
			return compareStanding(standing, file, asked)
		}
	}
	return nil
}

// compareStanding is checkStanding for the contract that stands at the ledger.
func compareStanding(standing *kcwpb.Contract, file *kcwcontract.Contract, asked amendment) error {
	anew := asked.base == 0 && standing.Deleted
	if !anew && uint64(asked.base) != standing.Revision {
		return &Error{Op: "apply", Kind: Stale, Err: staleError(standing.Revision, standing)}
	}
	if asked.setPrepaid || standing.PrepaidTokens == file.PrepaidTokens {
		return nil
	}
	const text = "the ledger has %d prepaid tokens and the file %d; put the ledger's into the file, or set the file's by -set-prepaid"
	return &Error{Op: "apply", Kind: Refused, Err: fmt.Errorf(text, standing.PrepaidTokens, file.PrepaidTokens)}
}

func readContract(path string) (*kcwcontract.Contract, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{Op: "apply", Kind: Usage, Err: err}
	}
	contract, err := kcwcontract.Decode(data)
	if err != nil {
		return nil, &Error{Op: "apply " + path, Kind: Usage, Err: err}
	}
	return contract, nil
}

// readBase returns the revision in the file that get wrote beside the contract,
// zero if there is none.
func readBase(path string) (int64, error) {
	data, err := os.ReadFile(path + baseSuffix)
	if errors.Is(err, os.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, &Error{Op: "apply", Kind: Usage, Err: err}
	}
	base, err := strconv.ParseInt(strings.TrimSpace(string(data)), 10, 64)
	if err != nil || base < 0 {
		return 0, usage("apply", "%s holds no revision", path+baseSuffix)
	}
	return base, nil
}

func writeBase(path string, revision uint64) error {
	if err := os.WriteFile(path+baseSuffix, []byte(strconv.FormatUint(revision, 10)+"\n"), 0o644); err != nil {
		return &Error{Op: "write", Kind: Failed, Err: err}
	}
	return nil
}
