package kcwbook

import (
	"slices"
	"strings"

	"kingcupwick.example/kcw/kcwpb"
)

// state is everything that a book holds. An account reached from an image is
// never changed: owned replaces it by a copy first.
type state struct {
	// at is the time of the newest command in nanoseconds since the Unix epoch.
	at int64
	// generation rises with each image; accounts of older ones are shared.
	generation uint64
	revision   uint64

	accounts map[string]*account
	// order holds the accounts in the order of their creation.
	order   []*account
	keys    map[[digestSize]byte]string
	routers map[string]*router
	// routerChanges holds the accepted changes that belong to no customer.
	routerChanges []*kcwpb.Change
	// history holds one entry for each revision, in rising order.
	history []revised

	// routerNames and upstreams hold names that closed claims refer to.
	routerNames names
	upstreams   names

	repeatables retained
	onces       retained
}

// revised says which customer's contract a revision changed.
type revised struct {
	revision uint64
	customer string
}

// account is all that the book holds for one customer.
type account struct {
	generation uint64
	slot       int
	customer   string
	contract   *kcwpb.Contract
	budget     budget
	// requestsDue and tokensDue are the theoretical arrival times of the rate
	// limits, in nanoseconds since the Unix epoch.
	requestsDue int64
	tokensDue   int64
	// running counts the claims in state open.
	running int64
	// open holds the claims in state open or unknown, by request.
	open    map[string]*claim
	grants  []grant
	changes []*kcwpb.Change
}

// router is a registered router and what its incarnations hold.
type router struct {
	name        string
	zone        string
	incarnation uint64
	retired     bool
	address     string
	// over is the serial below which the incarnation's openings have ended.
	over uint64
	// holders are the customers that may have open claims or grants of the
	// router's incarnations.
	holders map[string]bool
}

func newState() *state {
	return &state{
		accounts: make(map[string]*account),
		keys:     make(map[[digestSize]byte]string),
		routers:  make(map[string]*router),

		routerNames: names{numbers: make(map[string]uint64)},
		upstreams:   names{numbers: make(map[string]uint64)},

		repeatables: newRetained(),
		onces:       newRetained(),
	}
}

// add creates the account of customer.
func (s *state) add(customer string) *account {
	a := &account{
		generation: s.generation,
		slot:       len(s.order),
		customer:   customer,
		open:       make(map[string]*claim),
	}
	s.accounts[customer] = a
	s.order = append(s.order, a)
	return a
}

// owned returns the account that may be changed in place of a: a itself, or a
// copy if an image shares it.
func (s *state) owned(a *account) *account {
	if a.generation == s.generation {
		return a
	}
	next := *a
	next.generation = s.generation
	next.open = make(map[string]*claim, len(a.open))
	for request, c := range a.open {
		next.open[request] = c
	}
	next.grants = slices.Clone(a.grants)
	next.changes = slices.Clone(a.changes)
	s.accounts[a.customer] = &next
	s.order[a.slot] = &next
	return &next
}

// live returns the account of customer if its contract is in force.
func (s *state) live(customer string) *account {
	a := s.accounts[customer]
	if a == nil || a.contract.GetDeleted() {
		return nil
	}
	return a
}

// holds notes that a router's incarnations may hold something of customer.
func (s *state) holds(routerName, customer string) {
	if r := s.routers[routerName]; r != nil {
		r.holders[customer] = true
	}
}

// revise makes contract the newest one of a, under the next revision.
func (s *state) revise(a *account, contract *kcwpb.Contract) {
	s.revision++
	contract.Revision = s.revision
	contract.ChangedAt = s.at
	a.contract = contract
	s.history = append(s.history, revised{revision: s.revision, customer: a.customer})
	if len(s.history) > 2*len(s.order)+historySlack {
		s.compactHistory()
	}
}

// compactHistory drops the revisions that a newer one of the customer covers.
func (s *state) compactHistory() {
	kept := make([]revised, 0, len(s.order)+historySlack)
	for _, h := range s.history {
		if s.accounts[h.customer].contract.GetRevision() == h.revision {
			kept = append(kept, h)
		}
	}
	s.history = kept
}

// sorted returns the accounts in order of customer.
func sorted(accounts []*account) []*account {
	list := slices.Clone(accounts)
	slices.SortFunc(list, func(a, b *account) int { return strings.Compare(a.customer, b.customer) })
	return list
}

// message returns r as the ledger shows it.
func (r *router) message() *kcwpb.Router {
	return &kcwpb.Router{
		Name:        r.name,
		Zone:        r.zone,
		Incarnation: r.incarnation,
		Retired:     r.retired,
		Address:     r.address,
		Over:        r.over,
	}
}

// fenced says whether incarnation may no longer act for the router.
func (r *router) fenced(incarnation uint64) bool {
	return incarnation < r.incarnation || (r.retired && incarnation == r.incarnation)
}
