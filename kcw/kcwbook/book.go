// Package kcwbook holds the state machine of the ledger: contracts, prepaid
// budgets, grants, claims and bills. It is deterministic: every replica that
// applies the same commands gives the same results and holds the same state.
// It reads no clock; time comes with the commands and never goes back.
package kcwbook

import (
	"slices"
	"strings"
	"sync"

	"kingcupwick.example/kcw/kcwpb"
)

// Book is the ledger's state. Its methods are safe for concurrent use. Messages
// that they return may be shared and must not be changed.
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

// ContractByKey returns the contract that admits the key with SHA-256 hash,
// nil if there is none.
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

// Since returns the contracts changed after revision, deleted ones too, in
// order of revision, and the newest revision.
func (b *Book) Since(revision uint64) ([]*kcwpb.Contract, uint64) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	history := b.state.history
	place, _ := slices.BinarySearchFunc(history, revision+1, func(h revised, want uint64) int {
		if h.revision < want {
			return -1
		}
		return int(min(1, h.revision-want))
	})
	var list []*kcwpb.Contract
	for _, h := range history[place:] {
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
	c := b.state.find(a, request)
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
	for _, a := range sorted(b.state.order) {
		list = append(list, a.contract)
	}
	return list
}

// Budgets returns all budgets in order of customer.
func (b *Book) Budgets() []*kcwpb.Budget {
	b.mu.RLock()
	defer b.mu.RUnlock()
	var list []*kcwpb.Budget
	for _, a := range sorted(b.state.order) {
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
			if !expired(a, record, b.state.at) {
				list = append(list, b.state.decoder().claim(record).message())
			}
		}
	}
	slices.SortFunc(list, func(x, y *kcwpb.Claim) int { return strings.Compare(x.GetRequest(), y.GetRequest()) })
	return list
}

// Grants returns the grants of customer, or of all if customer is empty, in
// order of customer, router and incarnation.
func (b *Book) Grants(customer string) []*kcwpb.Grant {
	b.mu.RLock()
	defer b.mu.RUnlock()
	accounts := b.state.order
	if customer != "" {
		accounts = b.state.only(customer)
	}
	var list []*kcwpb.Grant
	for _, a := range sorted(accounts) {
		for _, g := range a.grants {
			list = append(list, g.message(a.customer))
		}
	}
	return list
}

// only returns the account of customer as a list.
func (s *state) only(customer string) []*account {
	if a := s.accounts[customer]; a != nil {
		return []*account{a}
	}
	return nil
}

// Changes returns the accepted changes of customer, oldest first, or those of
// routers if customer is empty.
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

// IsFenced reports whether incarnation may no longer act for the router called
// name, which need not be known.
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

// Check returns an *Error of KindInvariant if the state breaks a rule: a budget
// whose parts pass its prepaid tokens, or parts that differ from the sum of the
// claims and grants behind them.
func (b *Book) Check() error {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.state.check()
}
