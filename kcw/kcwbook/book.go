// Package kcwbook holds the state machine of the ledger: contracts, prepaid
// budgets, grants, claims and bills. It is deterministic: every replica that
// applies the same commands gives the same results and holds the same state.
package kcwbook

import (
	"io"
	"sync"

	"google.golang.org/protobuf/proto"

	"kingcupwick.example/kcw/kcwpb"
)

// Book is the ledger's state. Its methods are safe for concurrent use.
type Book struct {
	mu sync.RWMutex
}

// New returns an empty book.
func New() *Book { return &Book{} }

// Apply carries out the marshalled kcwpb.Command data, the entry of the log at
// index, and returns the marshalled kcwpb.Result. A malformed command gives
// CODE_INVALID and changes nothing.
func (b *Book) Apply(index uint64, data []byte) []byte {
	out, _ := proto.Marshal(&kcwpb.Result{Code: kcwpb.Code_CODE_INVALID})
	return out
}

// Freeze returns a function that writes the state as of the call as a stream
// of length-delimited kcwpb.SnapshotRecord. The function may be called once,
// from any goroutine, while the book goes on applying commands.
func (b *Book) Freeze() func(io.Writer) error { return func(io.Writer) error { return nil } }

// Restore replaces the state by the one that r holds. It returns an *Error and
// leaves the book as it was if the stream is damaged.
func (b *Book) Restore(r io.Reader) error { return nil }

// Revision returns the newest contract revision.
func (b *Book) Revision() uint64 { return 0 }

// Contract returns the contract of customer, nil if there is none.
func (b *Book) Contract(customer string) *kcwpb.Contract { return nil }

// ContractByKey returns the contract that admits the key with SHA-256 hash,
// nil if there is none.
func (b *Book) ContractByKey(hash []byte) *kcwpb.Contract { return nil }

// Since returns the contracts changed after revision, in order of revision,
// and the newest revision.
func (b *Book) Since(revision uint64) ([]*kcwpb.Contract, uint64) { return nil, 0 }

// Budget returns the budget of customer, nil if there is none.
func (b *Book) Budget(customer string) *kcwpb.Budget { return nil }

// Claim returns the claim of customer for request, nil if there is none.
func (b *Book) Claim(customer, request string) *kcwpb.Claim { return nil }

// Contracts returns all contracts in order of customer.
func (b *Book) Contracts() []*kcwpb.Contract { return nil }

// Budgets returns all budgets in order of customer.
func (b *Book) Budgets() []*kcwpb.Budget { return nil }

// Claims returns the claims of customer in order of request.
func (b *Book) Claims(customer string) []*kcwpb.Claim { return nil }

// Grants returns the grants of customer, or of all if customer is empty.
func (b *Book) Grants(customer string) []*kcwpb.Grant { return nil }

// Changes returns the accepted changes of customer, oldest first, or those of
// routers if customer is empty.
func (b *Book) Changes(customer string) []*kcwpb.Change { return nil }

// Routers returns all routers in order of name.
func (b *Book) Routers() []*kcwpb.Router { return nil }
