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

// baseSuffix is appended to the name of a contract file to name the file that
// holds the contract's revision.
const baseSuffix = ".base"

// noBase is the default of the -base flag and means that it was not given.
const noBase = -1

func (t *Tool) applyCommand() *ffcli.Command {
	set := t.flags("apply")
	base := set.Int64("base", noBase, "revision that the file was made from, 0 for a new contract (default what get wrote beside the file, or 0)")
	change := changeFlag(set)
	setPrepaid := set.Bool("set-prepaid", false, "set the prepaid tokens to those of the file where the ledger has others")
	wait := set.Duration("wait", 0, "how long to wait until every router has confirmed the change")
	return t.command("apply", "<file>", "create or amend a contract from a file", set, func(ctx context.Context, args []string) error {
		return t.apply(ctx, args[0], applyFlags{base: *base, change: changeIdentity(*change), setPrepaid: *setPrepaid, wait: *wait})
	})
}

// applyFlags holds the values of the flags of apply.
type applyFlags struct {
	base       int64
	change     string
	setPrepaid bool
	wait       time.Duration
}

func (t *Tool) apply(ctx context.Context, path string, flags applyFlags) error {
	contract, err := readContract(path)
	if err != nil {
		return err
	}
	if flags.base == noBase {
		if flags.base, err = readBase(path); err != nil {
			return err
		}
	}
	return t.call(ctx, func(bounded context.Context, client *kcwledger.Client) error {
		if err := checkCurrent(bounded, client, contract, flags); err != nil {
			return err
		}
		put := &kcwpb.PutContract{Change: flags.change, Base: uint64(flags.base), Contract: contract.Message()}
		result, err := t.submit(bounded, client, "apply", flags.change, &kcwpb.Command{Op: &kcwpb.Command_PutContract{PutContract: put}})
		if err != nil {
			return err
		}
		if err := writeBase(path, result.Revision); err != nil {
			return err
		}
		if err := t.print([]changed{{contract.Customer, result.Revision, flags.change, result.Code == kcwpb.Code_CODE_REPEATED}}); err != nil {
			return err
		}
		return t.confirm(ctx, client, result.Revision, flags.wait)
	})
}

// checkCurrent returns an *Error if the ledger's contract isn't at the base
// revision, or if its prepaid tokens differ from the file's and -set-prepaid isn't
// given: a file from before a top-up would otherwise undo the top-up. A deleted
// contract may also be created anew, from base 0. The comparison still holds when
// the change is committed, because the ledger accepts the change only from the base
// revision. A change that the ledger has already executed is not checked, because
// the ledger repeats its first result.
func checkCurrent(ctx context.Context, client *kcwledger.Client, file *kcwcontract.Contract, flags applyFlags) error {
	list, err := client.List(ctx, &kcwpb.ListRequest{Customer: file.Customer, WithHistory: true})
	if err != nil {
		return ledgerError("apply", err)
	}
	for _, c := range list.Changes {
		if c.Customer == file.Customer && c.Change == flags.change {
			return nil
		}
	}
	for _, current := range list.Contracts {
		if current.Customer == file.Customer {
			return compareCurrent(current, file, flags)
		}
	}
	return nil
}

// compareCurrent compares the ledger's current contract with the file, as
// described at checkCurrent.
func compareCurrent(current *kcwpb.Contract, file *kcwcontract.Contract, flags applyFlags) error {
	recreates := flags.base == 0 && current.Deleted
	if !recreates && uint64(flags.base) != current.Revision {
		return &Error{Op: "apply", Kind: Stale, Err: staleError(current.Revision, current)}
	}
	if flags.setPrepaid || current.PrepaidTokens == file.PrepaidTokens {
		return nil
	}
	const text = "the ledger has %d prepaid tokens and the file %d; put the ledger's into the file, or set the file's by -set-prepaid"
	return &Error{Op: "apply", Kind: Refused, Err: fmt.Errorf(text, current.PrepaidTokens, file.PrepaidTokens)}
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

// readBase returns the revision in the base file of the contract file at path, or
// zero if there is no base file.
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
