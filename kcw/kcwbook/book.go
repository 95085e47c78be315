// Package kcwbook holds the state machine of the ledger: contracts, prepaid
// budgets, grants, claims and bills. It is deterministic: replicas that apply the
// same commands return the same results and have the same state.
// It reads no clock: each command carries its time, and a command that is earlier
// than the one before it is applied at the time of the latter.
package kcwbook

import (
	"slices"
	"strings"
	"sync"

	"kingcupwick.example/kcw/kcwpb"
)

// Book is the state of the ledger. Its methods are safe for concurrent use. The
// messages that they return may be shared and must not be modified.
type Book struct {
	// mu guards state, which Apply changes and the other methods read.
	mu    sync.RWMutex
	state *state
}

// New returns an empty book.
func New() *Book {
	return &Book{state: newState()}
}

// Revision returns the newest contract revision.
func (b *Book) Revision() uint64 {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.state.revision
}

// Contract returns the contract of customer, nil if there is none.
func (b *Book) Contract(customer string) *kcwpb.Contract {
	b.mu.RLock()
	defer b.mu.RUnlock()
	a := b.state.accounts[customer]
	if a == nil {
		return nil
	}
	return a.contract
}

// ContractByKey returns the contract with the key whose SHA-256 is hash, nil if
// there is none.
func (b *Book) ContractByKey(hash []byte) *kcwpb.Contract {
	if len(hash) != digestSize {
		return nil
	}
	b.mu.RLock()
	defer b.mu.RUnlock()
	customer, found := b.state.keys[[digestSize]byte(hash)]
	if !found {
		return nil
	}
	return b.state.accounts[customer].contract
}

// Since returns the contracts changed after revision, including deleted ones, in
// order of revision, and the newest revision.
func (b *Book) Since(revision uint64) ([]*kcwpb.Contract, uint64) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	history := b.state.history
	first, _ := slices.BinarySearchFunc(history, revision+1, func(h revisionEntry, want uint64) int {
		if h.revision < want {
			return -1
		}
		return int(min(1, h.revision-want))
	})
	var list []*kcwpb.Contract
	for _, h := range history[first:] {
		contract := b.state.accounts[h.customer].contract
		if contract.GetRevision() == h.revision {
			list = append(list, contract)
		}
	}
	return list, b.state.revision
}

// Budget returns the budget of customer, nil if there is none.
func (b *Book) Budget(customer string) *kcwpb.Budget {
	b.mu.RLock()
	defer b.mu.RUnlock()
	a := b.state.accounts[customer]
	if a == nil {
		return nil
	}
	return a.message()
}

// Claim returns the claim of customer for request, nil if there is none.
func (b *Book) Claim(customer, request string) *kcwpb.Claim {
	b.mu.RLock()
	defer b.mu.RUnlock()
	a := b.state.accounts[customer]
	if a == nil {
		return nil
	}
	c := b.state.findClaim(a, request)
	if c == nil {
		return nil
	}
	return c.message()
}

// Contracts returns all contracts in order of customer.
func (b *Book) Contracts() []*kcwpb.Contract {
	b.mu.RLock()
	defer b.mu.RUnlock()
	var list []*kcwpb.Contract
	for _, a := range sortedByCustomer(b.state.order) {
		list = append(list, a.contract)
	}
	return list
}

// Budgets returns all budgets in order of customer.
func (b *Book) Budgets() []*kcwpb.Budget {
	b.mu.RLock()
	defer b.mu.RUnlock()
	var list []*kcwpb.Budget
	for _, a := range sortedByCustomer(b.state.order) {
		list = append(list, a.message())
	}
	return list
}

// Claims returns the claims of customer in order of request.
func (b *Book) Claims(customer string) []*kcwpb.Claim {
	b.mu.RLock()
	defer b.mu.RUnlock()
	a := b.state.accounts[customer]
	if a == nil {
		return nil
	}
	var list []*kcwpb.Claim
	for _, c := range a.open {
		list = append(list, c.message())
	}
	for _, queue := range b.state.queues() {
		for _, record := range queue.records(a.slot) {
			if !expired(a, record, b.state.now) {
				list = append(list, b.state.decoder().claim(record).message())
			}
		}
	}
	slices.SortFunc(list, func(x, y *kcwpb.Claim) int { return strings.Compare(x.GetRequest(), y.GetRequest()) })
	return list
}

// Grants returns the grants of customer, or of all customers if it is empty, in
// order of customer, router and incarnation.
func (b *Book) Grants(customer string) []*kcwpb.Grant {
	b.mu.RLock()
	defer b.mu.RUnlock()
	accounts := b.state.order
	if customer != "" {
		accounts = b.state.accountList(customer)
	}
	var list []*kcwpb.Grant
	for _, a := range sortedByCustomer(accounts) {
		for _, g := range a.grants {
			list = append(list, g.message(a.customer))
		}
	}
	return list
}

// accountList returns a list with the account of customer, empty if there is none.
func (s *state) accountList(customer string) []*account {
	if a := s.accounts[customer]; a != nil {
		return []*account{a}
	}
	return nil
}

// Changes returns the accepted changes of customer, oldest first. If customer is
// empty, it returns those of routers.
func (b *Book) Changes(customer string) []*kcwpb.Change {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if customer == "" {
		return slices.Clone(b.state.routerChanges)
	}
	a := b.state.accounts[customer]
	if a == nil {
		return nil
	}
	return slices.Clone(a.changes)
}

// IsFenced reports whether incarnation of the router called name was retired or
// replaced by a newer one. It is false if the router is not registered.
func (b *Book) IsFenced(name string, incarnation uint64) bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	r := b.state.routers[name]
	return r != nil && r.fenced(incarnation)
}

// Routers returns all routers in order of name.
func (b *Book) Routers() []*kcwpb.Router {
	b.mu.RLock()
	defer b.mu.RUnlock()
	var list []*kcwpb.Router
	for _, r := range b.state.routers {
		list = append(list, r.message())
	}
	slices.SortFunc(list, func(x, y *kcwpb.Router) int { return strings.Compare(x.GetName(), y.GetName()) })
	return list
}

// Check returns an *Error of KindInvariant if the parts of a budget exceed its
// prepaid tokens or differ from the sums of its claims and grants.
func (b *Book) Check() error {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.state.check()
}
