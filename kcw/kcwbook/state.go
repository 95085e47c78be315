package kcwbook

import (
	"slices"
	"strings"

	"kingcupwick.example/kcw/kcwpb"
)

// state is the complete state of a book. An account that an image shares is never
// modified: mutable replaces it by a copy first.
type state struct {
	// now is the time of the newest command in nanoseconds since the Unix epoch.
	now int64
	// generation increases with each image. Accounts of an older generation are
	// shared with an image.
	generation uint64
	revision   uint64

	accounts map[string]*account
	// order holds the accounts in the order of their creation.
	order   []*account
	keys    map[[digestSize]byte]string
	routers map[string]*router
	// routerChanges holds the accepted changes that belong to no customer.
	routerChanges []*kcwpb.Change
	// history holds one entry for each revision, in ascending order.
	history []revisionEntry

	// routerNames and upstreams hold names that closed claims refer to.
	routerNames nameTable
	upstreams   nameTable

	repeatableClaims    retentionQueue
	nonRepeatableClaims retentionQueue
}

// revisionEntry records which customer's contract a revision changed.
type revisionEntry struct {
	revision uint64
	customer string
}

// account is the state of one customer.
type account struct {
	// generation is the generation of the state in which the account was created or
	// copied.
	generation uint64
	// slot is the index of the account in state.order.
	slot     int
	customer string
	contract *kcwpb.Contract
	budget   budget
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

// router is a registered router.
type router struct {
	name        string
	zone        string
	incarnation uint64
	retired     bool
	address     string
	// minSerial is the serial below which all openings of the incarnation have
	// ended.
	minSerial uint64
	// customers are those that may have open claims or grants of the router's
	// incarnations.
	customers map[string]bool
}

func newState() *state {
	return &state{
		accounts: make(map[string]*account),
		keys:     make(map[[digestSize]byte]string),
		routers:  make(map[string]*router),

		routerNames: nameTable{numbers: make(map[string]uint64)},
		upstreams:   nameTable{numbers: make(map[string]uint64)},

		repeatableClaims:    newRetentionQueue(),
		nonRepeatableClaims: newRetentionQueue(),
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

// mutable returns the account to modify in place of a: a itself, or a copy of it if
// an image shares a.
func (s *state) mutable(a *account) *account {
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

// activeAccount returns the account of customer, nil if there is none or its
// contract is deleted.
func (s *state) activeAccount(customer string) *account {
	a := s.accounts[customer]
	if a == nil || a.contract.GetDeleted() {
		return nil
	}
	return a
}

// trackCustomer records that customer may have open claims or grants of a router's
// incarnations.
func (s *state) trackCustomer(routerName, customer string) {
	if r := s.routers[routerName]; r != nil {
		r.customers[customer] = true
	}
}

// revise makes contract the current contract of a, with the next revision.
func (s *state) revise(a *account, contract *kcwpb.Contract) {
	s.revision++
	contract.Revision = s.revision
	contract.ChangedAt = s.now
	a.contract = contract
	s.history = append(s.history, revisionEntry{revision: s.revision, customer: a.customer})
	if len(s.history) > 2*len(s.order)+historySlack {
		s.compactHistory()
	}
}

// compactHistory drops the revisions that a newer one of the same customer replaces.
func (s *state) compactHistory() {
	kept := make([]revisionEntry, 0, len(s.order)+historySlack)
	for _, h := range s.history {
		if s.accounts[h.customer].contract.GetRevision() == h.revision {
			kept = append(kept, h)
		}
	}
	s.history = kept
}

// sortedByCustomer returns the accounts in order of customer.
func sortedByCustomer(accounts []*account) []*account {
	list := slices.Clone(accounts)
	slices.SortFunc(list, func(a, b *account) int { return strings.Compare(a.customer, b.customer) })
	return list
}

// message converts r to its wire form.
func (r *router) message() *kcwpb.Router {
	return &kcwpb.Router{
		Name:        r.name,
		Zone:        r.zone,
		Incarnation: r.incarnation,
		Retired:     r.retired,
		Address:     r.address,
		Over:        r.minSerial,
	}
}

// fenced reports whether incarnation was retired or replaced by a newer one.
func (r *router) fenced(incarnation uint64) bool {
	return incarnation < r.incarnation || (r.retired && incarnation == r.incarnation)
}
