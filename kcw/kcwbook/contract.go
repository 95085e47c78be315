package kcwbook

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"

	"google.golang.org/protobuf/proto"

	"kingcupwick.example/kcw/kcwpb"
)

// Kinds of changes in a customer's history.
const (
	changePut     = "PutContract"
	changeTopUp   = "TopUp"
	changeRetire  = "RetireRouter"
	changeRelease = "ReleaseGrant"
	changeResolve = "ResolveClaim"
)

// digestOf returns the SHA-256 of parts, each led by its length.
func digestOf(parts ...[]byte) []byte {
	hash := sha256.New()
	for _, part := range parts {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write(part)
	}
	return hash.Sum(nil)
}

// number returns n as eight bytes.
func number(n int64) []byte {
	return binary.BigEndian.AppendUint64(nil, uint64(n))
}

// first returns the first outcome of change among changes, nil if it is new.
// Another change under the same identity is refused.
func first(changes []*kcwpb.Change, change string, digest []byte) *kcwpb.Result {
	for _, c := range changes {
		if c.GetChange() != change {
			continue
		}
		if string(c.GetDigest()) != string(digest) {
			return refused(kcwpb.Code_CODE_MISMATCH, "the change identity was used for another change")
		}
		result := proto.Clone(c.GetResult()).(*kcwpb.Result)
		result.Code = kcwpb.Code_CODE_REPEATED
		return result
	}
	return nil
}

// remember returns changes with one more, without the oldest if there are too
// many.
func remember(changes []*kcwpb.Change, change *kcwpb.Change) []*kcwpb.Change {
	if len(changes) >= changesKept {
		changes = changes[len(changes)-changesKept+1:]
	}
	return append(changes, change)
}

// putContract creates or amends a contract.
func (s *state) putContract(op *kcwpb.PutContract) *kcwpb.Result {
	if problem := checkPut(op); problem != "" {
		return invalid(problem)
	}
	asked := op.GetContract()
	digest := putDigest(op)
	a := s.accounts[asked.GetCustomer()]
	if a != nil {
		if result := first(a.changes, op.GetChange(), digest); result != nil {
			return result
		}
	}
	if !a.based(op.GetBase()) {
		return s.stale(a)
	}
	if problem := s.checkKeys(asked); problem != "" {
		return invalid(problem)
	}
	var before budget
	if a != nil {
		before = a.budget
	}
	next, ok := before.amend(asked.GetPrepaidTokens() - before.target())
	if !ok || !next.valid() {
		return broken()
	}
	if a == nil {
		a = s.add(asked.GetCustomer())
	}
	a = s.owned(a)
	a.budget = next
	s.replaceKeys(a.contract, asked)
	contract := proto.Clone(asked).(*kcwpb.Contract)
	contract.Change = op.GetChange()
	s.revise(a, contract)
	return s.changed(a, op.GetChange(), changePut, next.target()-before.target(), digest)
}

// putDigest returns the SHA-256 of what op asks for.
func putDigest(op *kcwpb.PutContract) []byte {
	asked := op.GetContract()
	limits := asked.GetLimits()
	parts := [][]byte{
		[]byte(changePut), number(int64(op.GetBase())), number(asked.GetPrepaidTokens()), asked.GetSpec(),
		number(limits.GetOpenRequests()), number(limits.GetRequestsPerMinute()), number(limits.GetTokensPerMinute()),
	}
	if asked.GetDeleted() {
		parts = append(parts, []byte("Deleted"))
	}
	return digestOf(append(parts, asked.GetKeyHashes()...)...)
}

// based says whether a change made from revision base applies to a, which is
// nil for a new customer. A deleted contract may also be made anew.
func (a *account) based(base uint64) bool {
	if a == nil {
		return base == 0
	}
	return base == a.contract.GetRevision() || (base == 0 && a.contract.GetDeleted())
}

// stale returns the refusal of a change that was not made from the newest
// revision, with the contract that won.
func (s *state) stale(a *account) *kcwpb.Result {
	result := refused(kcwpb.Code_CODE_STALE_REVISION, "the contract has another revision")
	if a != nil {
		result.Revision = a.contract.GetRevision()
		result.Contract = a.contract
	}
	return result
}

// checkKeys returns what is wrong with the keys of asked, empty if nothing is.
func (s *state) checkKeys(asked *kcwpb.Contract) string {
	seen := make(map[[digestSize]byte]bool, len(asked.GetKeyHashes()))
	for i, hash := range asked.GetKeyHashes() {
		if len(hash) != digestSize {
			return fmt.Sprintf("key %d is not a SHA-256", i)
		}
		key := [digestSize]byte(hash)
		if seen[key] {
			return fmt.Sprintf("key %d stands twice", i)
		}
		seen[key] = true
		if owner, used := s.keys[key]; used && owner != asked.GetCustomer() {
			return fmt.Sprintf("key %d is used by customer %s", i, owner)
		}
	}
	return ""
}

// replaceKeys puts the keys of next in force in place of those of old.
func (s *state) replaceKeys(old, next *kcwpb.Contract) {
	for _, hash := range old.GetKeyHashes() {
		delete(s.keys, [digestSize]byte(hash))
	}
	if next.GetDeleted() {
		return
	}
	for _, hash := range next.GetKeyHashes() {
		s.keys[[digestSize]byte(hash)] = next.GetCustomer()
	}
}

// changed notes a change of a contract and returns its result.
func (s *state) changed(a *account, change, kind string, tokens int64, digest []byte) *kcwpb.Result {
	result := &kcwpb.Result{
		Code:     kcwpb.Code_CODE_OK,
		Revision: a.contract.GetRevision(),
		Tokens:   a.budget.target(),
		Budget:   a.message(),
	}
	a.changes = remember(a.changes, &kcwpb.Change{
		Change:   change,
		Customer: a.customer,
		Kind:     kind,
		Revision: a.contract.GetRevision(),
		Tokens:   tokens,
		At:       s.at,
		Result:   result,
		Digest:   digest,
	})
	return result
}

// topUp amends the prepaid tokens of a budget.
func (s *state) topUp(op *kcwpb.TopUp) *kcwpb.Result {
	if !isIdentity(op.GetChange()) {
		return invalid("the change identity is empty or too long")
	}
	a := s.accounts[op.GetCustomer()]
	if a == nil {
		return refused(kcwpb.Code_CODE_NOT_FOUND, "the customer is not known")
	}
	digest := digestOf([]byte(changeTopUp), number(op.GetTokens()))
	if result := first(a.changes, op.GetChange(), digest); result != nil {
		return result
	}
	if a.contract.GetDeleted() {
		return refused(kcwpb.Code_CODE_NOT_FOUND, "the contract is deleted")
	}
	next, ok := a.budget.amend(op.GetTokens())
	if !ok || !next.valid() {
		return invalid("the prepaid tokens would leave their range")
	}
	a = s.owned(a)
	a.budget = next
	contract := proto.Clone(a.contract).(*kcwpb.Contract)
	contract.PrepaidTokens = next.target()
	contract.Change = op.GetChange()
	s.revise(a, contract)
	return s.changed(a, op.GetChange(), changeTopUp, op.GetTokens(), digest)
}
