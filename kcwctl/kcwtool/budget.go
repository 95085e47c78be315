package kcwtool

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"kingcupwick.example/kcw/kcwledger"
	"kingcupwick.example/kcw/kcwpb"
)

// account is the row printed for a customer.
type account struct {
	Customer string
	Revision uint64
	Prepaid  int64
	Billed   int64
	Reserved int64
	Granted  int64
	Free     int64
	Withheld int64
	Deleted  bool
}

// event is the row printed for a change in the history.
type event struct {
	At       time.Time
	Kind     string
	Revision uint64
	Tokens   int64
	Change   string
}

func (t *Tool) listCommand() *ffcli.Command {
	return t.command("list", "", "list contracts with their budgets", t.flags("list"), func(ctx context.Context, _ []string) error {
		return t.call(ctx, func(ctx context.Context, client *kcwledger.Client) error {
			list, err := client.List(ctx, &kcwpb.ListRequest{})
			if err != nil {
				return ledgerError("list", err)
			}
			return t.print(accounts(list))
		})
	})
}

func accounts(list *kcwpb.ListResponse) []account {
	budgets := make(map[string]*kcwpb.Budget, len(list.Budgets))
	for _, budget := range list.Budgets {
		budgets[budget.Customer] = budget
	}
	var rows []account
	for _, contract := range list.Contracts {
		b := budgets[contract.Customer]
		rows = append(rows, account{
			Customer: contract.Customer,
			Revision: contract.Revision,
			Prepaid:  b.GetPrepaid(),
			Billed:   b.GetBilled(),
			Reserved: b.GetReserved(),
			Granted:  b.GetGranted(),
			Free:     b.GetPrepaid() - b.GetBilled() - b.GetReserved() - b.GetGranted(),
			Withheld: b.GetWithheld(),
			Deleted:  contract.Deleted,
		})
	}
	return rows
}

func (t *Tool) topUpCommand() *ffcli.Command {
	set := t.flags("top-up")
	change := changeFlag(set)
	wait := set.Duration("wait", 0, "how long to wait until every router has confirmed the change")
	exec := func(ctx context.Context, args []string) error {
		tokens, err := strconv.ParseInt(args[1], 10, 64)
		if err != nil || tokens == 0 {
			return usage("top-up", "%q is not a number of tokens other than zero", args[1])
		}
		return t.topUp(ctx, args[0], tokens, changeIdentity(*change), *wait)
	}
	command := t.command("top-up", "<customer> <tokens>", "add tokens to a budget, or take them off", set, exec)
	command.LongHelp = "A reduction is written after two dashes, as in: kcwctl top-up -- parish -500"
	return command
}

func (t *Tool) topUp(ctx context.Context, customer string, tokens int64, change string, wait time.Duration) error {
	return t.call(ctx, func(bounded context.Context, client *kcwledger.Client) error {
		op := &kcwpb.TopUp{Change: change, Customer: customer, Tokens: tokens}
		result, err := t.submit(bounded, client, "top-up", change, &kcwpb.Command{Op: &kcwpb.Command_TopUp{TopUp: op}})
		if err != nil {
			return err
		}
		if err := t.print([]changed{{customer, result.Revision, change, result.Code == kcwpb.Code_CODE_REPEATED}}); err != nil {
			return err
		}
		return t.confirm(ctx, client, result.Revision, wait)
	})
}

func (t *Tool) historyCommand() *ffcli.Command {
	return t.command("history", "<customer>", "list the changes of a contract", t.flags("history"), func(ctx context.Context, args []string) error {
		return t.call(ctx, func(ctx context.Context, client *kcwledger.Client) error {
			list, err := client.List(ctx, &kcwpb.ListRequest{Customer: args[0], WithHistory: true})
			if err != nil {
				return ledgerError("history", err)
			}
			var rows []event
			for _, c := range list.Changes {
				rows = append(rows, event{timeOf(c.At), c.Kind, c.Revision, c.Tokens, c.Change})
			}
			return t.print(rows)
		})
	})
}

// closed is the row printed for a command on a claim, grant or router.
type closed struct {
	Change   string
	Tokens   int64
	Repeated bool
}

func (t *Tool) resolveCommand() *ffcli.Command {
	set := t.flags("resolve")
	change := changeFlag(set)
	outcome := set.String("outcome", "", "ran or not-run")
	tokens := set.Int64("tokens", 0, "tokens to bill if it ran")
	return t.command("resolve", "<customer> <request>", "close a claim whose outcome is unknown", set, func(ctx context.Context, args []string) error {
		op := &kcwpb.ResolveClaim{Change: changeIdentity(*change), Customer: args[0], Request: args[1], Tokens: *tokens}
		switch *outcome {
		case "ran":
			op.Outcome = kcwpb.Outcome_OUTCOME_RAN
		case "not-run":
			op.Outcome = kcwpb.Outcome_OUTCOME_NOT_RUN
		default:
			return usage("resolve", "-outcome must be ran or not-run")
		}
		return t.execute(ctx, "resolve", op.Change, &kcwpb.Command{Op: &kcwpb.Command_ResolveClaim{ResolveClaim: op}})
	})
}

func (t *Tool) retireCommand() *ffcli.Command {
	set := t.flags("retire")
	change := changeFlag(set)
	return t.command("retire", "<router> <incarnation>", "fence a router whose process is surely gone", set, func(ctx context.Context, args []string) error {
		incarnation, err := parseIncarnation("retire", args[1])
		if err != nil {
			return err
		}
		op := &kcwpb.RetireRouter{Change: changeIdentity(*change), Router: args[0], Incarnation: incarnation}
		return t.execute(ctx, "retire", op.Change, &kcwpb.Command{Op: &kcwpb.Command_RetireRouter{RetireRouter: op}})
	})
}

func (t *Tool) releaseCommand() *ffcli.Command {
	set := t.flags("release")
	change := changeFlag(set)
	return t.command("release", "<customer> <router> <incarnation>", "free an orphaned grant", set, func(ctx context.Context, args []string) error {
		incarnation, err := parseIncarnation("release", args[2])
		if err != nil {
			return err
		}
		op := &kcwpb.ReleaseGrant{Change: changeIdentity(*change), Customer: args[0], Router: args[1], Incarnation: incarnation}
		return t.execute(ctx, "release", op.Change, &kcwpb.Command{Op: &kcwpb.Command_ReleaseGrant{ReleaseGrant: op}})
	})
}

func parseIncarnation(op, text string) (uint64, error) {
	incarnation, err := strconv.ParseUint(strings.TrimSpace(text), 10, 64)
	if err != nil {
		return 0, usage(op, "%q is not an incarnation", text)
	}
	return incarnation, nil
}

// execute sends a command on a claim, grant or router and prints its result.
func (t *Tool) execute(ctx context.Context, op, change string, cmd *kcwpb.Command) error {
	return t.call(ctx, func(ctx context.Context, client *kcwledger.Client) error {
		result, err := t.submit(ctx, client, op, change, cmd)
		if err != nil {
			return err
		}
		return t.print([]closed{{change, result.Tokens, result.Code == kcwpb.Code_CODE_REPEATED}})
	})
}
