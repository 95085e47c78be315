package kcwtool

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"kingcupwick.example/kcw/kcwledger"
	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwreplica"
)

// replicaRow is the row printed for a replica of the ledger.
type replicaRow struct {
	ID      uint64 `json:",string"`
	Name    string
	Zone    string
	Address string
	Role    string
	Match   uint64
}

// routerRow is the row printed for a router.
type routerRow struct {
	Name        string
	Zone        string
	Incarnation uint64
	Revision    uint64
	Retired     bool
	HeardAt     time.Time
}

func (t *Tool) membersCommand() *ffcli.Command {
	set := t.flags("members")
	routers := set.Bool("routers", false, "list the routers in place of the replicas")
	return t.command("members", "", "list the replicas of the ledger, or the routers", set, func(ctx context.Context, _ []string) error {
		return t.call(ctx, func(ctx context.Context, client *kcwledger.Client) error {
			fleet, err := client.Fleet(ctx)
			if err != nil {
				return ledgerError("members", err)
			}
			if *routers {
				return t.print(routerRows(fleet))
			}
			return t.print(replicaRows(fleet.Group))
		})
	})
}

// replicaRows returns a row for each replica. Match is the index up to which the
// replica has the log, as the leader has recorded it.
func replicaRows(group *kcwpb.GroupStatus) []replicaRow {
	var rows []replicaRow
	for _, m := range group.GetMembership().GetMembers() {
		role := "learner"
		switch {
		case m.Id == group.Leader:
			role = "leader"
		case kcwreplica.IsVoter(group.Membership, m.Id):
			role = "voter"
		}
		match := group.Matches[m.Id]
		if m.Id == group.Id {
			match = group.Last
		}
		rows = append(rows, replicaRow{m.Id, m.Name, m.Zone, m.Address, role, match})
	}
	return rows
}

func routerRows(fleet *kcwpb.FleetResponse) []routerRow {
	var rows []routerRow
	for _, s := range fleet.Routers {
		r := s.GetRouter()
		rows = append(rows, routerRow{r.GetName(), r.GetZone(), r.GetIncarnation(), s.Revision, r.GetRetired(), timeOf(s.HeardAt)})
	}
	return rows
}

func (t *Tool) replaceCommand() *ffcli.Command {
	set := t.flags("replace")
	lost := set.Uint64("lost", 0, "identity of the lost replica, as members shows it")
	admin := set.String("admin", "", "operator `address` of the new replica")
	address := set.String("address", "", "`address` of the new replica for the others and for routers")
	return t.command("replace", "", "put a new replica in the place of a lost one", set, func(ctx context.Context, _ []string) error {
		_, err := netip.ParseAddrPort(*address)
		if *lost == 0 || *admin == "" || err != nil {
			return usage("replace", "-lost, -admin and -address are needed")
		}
		return t.call(ctx, func(ctx context.Context, client *kcwledger.Client) error {
			added, err := t.identify(ctx, *admin, *address)
			if err != nil {
				return err
			}
			r := &replacement{client: client, lost: *lost, added: added}
			if err := r.run(ctx); err != nil {
				return err
			}
			fleet, err := client.Fleet(ctx)
			if err != nil {
				return ledgerError("replace", err)
			}
			return t.print(replicaRows(fleet.Group))
		})
	})
}

// identify reads the identity of a new replica from its state dump.
func (t *Tool) identify(ctx context.Context, admin, address string) (*kcwpb.Member, error) {
	var dump struct {
		Name, Zone string
		Group      struct {
			ID uint64 `json:",string"`
		}
	}
	data, err := t.fetchDump(ctx, admin)
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(data, &dump); err != nil || dump.Group.ID == 0 {
		return nil, &Error{Op: "replace", Kind: Failed, Err: fmt.Errorf("the dump of %s names no replica identity", admin)}
	}
	return &kcwpb.Member{Id: dump.Group.ID, Name: dump.Name, Zone: dump.Zone, Address: address}, nil
}

// replacement puts a new replica in the place of a lost one, one membership change at a
// time.
type replacement struct {
	client *kcwledger.Client
	lost   uint64
	added  *kcwpb.Member
}

// run makes changes until none is left. It repeats the one that the leader refuses, for
// instance because the new replica has not caught up or an earlier change is not complete.
func (r *replacement) run(ctx context.Context) error {
	const pollInterval = 200 * time.Millisecond
	incomplete := func(err error) error {
		return &Error{Op: "replace", Kind: Unconfirmed, Err: fmt.Errorf("the replacement is not complete; run the command again: %w", errors.Join(ctx.Err(), err))}
	}
	for first := true; ; first = false {
		fleet, err := r.client.Fleet(ctx)
		switch {
		case err != nil && ctx.Err() != nil && !first:
			return incomplete(err)
		case err != nil:
			return ledgerError("replace", err)
		}
		change := r.next(fleet.GetGroup().GetMembership())
		if change == nil {
			return nil
		}
		_, err = r.client.ChangeMembers(ctx, change)
		if err != nil {
			err = ledgerError("replace: "+change.Kind.String(), err)
			if kind := kindOf(err); kind != Refused && kind != Unknown && ctx.Err() == nil {
				return err
			}
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return incomplete(err)
		}
	}
}

// next returns the next change, nil if there is none: the new replica is added as a
// learner and takes the place of the lost one, which is then removed.
func (r *replacement) next(membership *kcwpb.Membership) *kcwpb.ChangeMembersRequest {
	added := findMember(membership, r.added.Id)
	switch {
	case added == nil:
		return &kcwpb.ChangeMembersRequest{Kind: kcwpb.ChangeMembersRequest_KIND_ADD_LEARNER, Member: r.added}
	case added.Learner && kcwreplica.IsVoter(membership, r.lost):
		return &kcwpb.ChangeMembersRequest{Kind: kcwpb.ChangeMembersRequest_KIND_REPLACE, Member: added, Replaced: r.lost}
	case added.Learner:
		return &kcwpb.ChangeMembersRequest{Kind: kcwpb.ChangeMembersRequest_KIND_PROMOTE, Member: added}
	}
	if lost := findMember(membership, r.lost); lost != nil {
		return &kcwpb.ChangeMembersRequest{Kind: kcwpb.ChangeMembersRequest_KIND_REMOVE, Member: lost}
	}
	return nil
}

func findMember(membership *kcwpb.Membership, id uint64) *kcwpb.Member {
	for _, m := range membership.GetMembers() {
		if m.Id == id {
			return m
		}
	}
	return nil
}

// fetchDump returns the state dump of the process at an operator address.
func (t *Tool) fetchDump(ctx context.Context, address string) ([]byte, error) {
	s, err := t.load()
	if err != nil {
		return nil, err
	}
	key, err := readKey(s.Operator.KeyFile)
	if err != nil {
		return nil, err
	}
	response, err := bearerGet(ctx, address, "/dump", key)
	if err != nil {
		return nil, &Error{Op: "dump", Kind: Unavailable, Err: err}
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusUnauthorized, http.StatusForbidden:
		return nil, &Error{Op: "dump", Kind: Forbidden, Err: errors.New(response.Status)}
	default:
		return nil, &Error{Op: "dump", Kind: Failed, Err: errors.New(response.Status)}
	}
	return readAll(response.Body)
}
