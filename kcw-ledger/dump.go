package main

import (
	"time"

	"kingcupwick.example/kcw/kcwconnlimit"
	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwreplica"
)

// dump is the state of a replica, as served at the operator address.
type dump struct {
	Name      string
	Zone      string
	Group     groupDump
	Revision  uint64
	Contracts int
	Budgets   []budgetDump
	Grants    []grantDump
	Routers   []routerDump
	// Connections are those of clients, by server.
	Connections map[string]kcwconnlimit.Stats
}

type groupDump struct {
	ID       uint64 `json:",string"`
	Role     string
	Term     uint64
	Leader   uint64 `json:",string"`
	Commit   uint64
	Applied  uint64
	First    uint64
	Last     uint64
	Snapshot uint64
	HeardAt  time.Time
	Members  []memberDump
}

type memberDump struct {
	ID      uint64 `json:",string"`
	Name    string
	Zone    string
	Address string
	Learner bool
	// Votes is set for the voters, among them one that is being replaced, which is a
	// learner once the replacement is complete.
	Votes bool
	Match uint64
}

type budgetDump struct {
	Customer string
	Prepaid  int64
	Billed   int64
	Reserved int64
	Granted  int64
	Withheld int64
}

type grantDump struct {
	Customer    string
	Router      string
	Incarnation uint64
	Tokens      int64
	Orphaned    bool
}

type routerDump struct {
	Name        string
	Zone        string
	Incarnation uint64
	Retired     bool
}

// dump returns the replica's current state. Commands applied in the meantime may
// show in some parts of it and not in others.
func (r *replica) dump() *dump {
	d := &dump{
		Name:      r.settings.Host.Name,
		Zone:      r.settings.Host.Zone,
		Group:     dumpGroup(r.group.Status()),
		Revision:  r.book.Revision(),
		Contracts: len(r.book.Contracts()), Connections: r.bounds.Stats(),
	}
	for _, b := range r.book.Budgets() {
		d.Budgets = append(d.Budgets, budgetDump{b.Customer, b.Prepaid, b.Billed, b.Reserved, b.Granted, b.Withheld})
	}
	for _, g := range r.book.Grants("") {
		d.Grants = append(d.Grants, grantDump{g.Customer, g.Router, g.Incarnation, g.Tokens, g.Orphaned})
	}
	for _, router := range r.book.Routers() {
		d.Routers = append(d.Routers, routerDump{router.Name, router.Zone, router.Incarnation, router.Retired})
	}
	return d
}

func dumpGroup(s *kcwpb.GroupStatus) groupDump {
	d := groupDump{
		ID:       s.Id,
		Role:     s.Role,
		Term:     s.Term,
		Leader:   s.Leader,
		Commit:   s.Commit,
		Applied:  s.Applied,
		First:    s.First,
		Last:     s.Last,
		Snapshot: s.Snapshot,
		HeardAt:  time.Unix(0, s.HeardAt).UTC(),
	}
	for _, m := range s.GetMembership().GetMembers() {
		votes := kcwreplica.IsVoter(s.GetMembership(), m.Id)
		d.Members = append(d.Members, memberDump{m.Id, m.Name, m.Zone, m.Address, m.Learner, votes, s.Matches[m.Id]})
	}
	return d
}
