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

// digestOf returns the SHA-256 of parts, each preceded by its length.
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

// int64Bytes returns n as eight bytes in big-endian order.
func int64Bytes(n int64) []byte {
	return binary.BigEndian.AppendUint64(nil, uint64(n))
}

// repeatedResult returns the stored result of change if it is among changes, nil if
// it is new. A different change with the same identity is refused.
func repeatedResult(changes []*kcwpb.Change, change string, digest []byte) *kcwpb.Result {
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

// appendChange appends change to changes and drops the oldest one if there would
// be more than maxChanges.
func appendChange(changes []*kcwpb.Change, change *kcwpb.Change) []*kcwpb.Change {
	if len(changes) >= maxChanges {
		changes = changes[len(changes)-maxChanges+1:]
	}
	return append(changes, change)
}

// putContract creates or amends a contract.
func (s *state) putContract(op *kcwpb.PutContract) *kcwpb.Result {
	if problem := checkPut(op); problem != "" {
		return invalid(problem)
	}
	requested := op.GetContract()
	digest := putDigest(op)
	a := s.accounts[requested.GetCustomer()]
	if a != nil {
		if result := repeatedResult(a.changes, op.GetChange(), digest); result != nil {
			return result
		}
	}
	if !a.acceptsBase(op.GetBase()) {
		return s.staleRevision(a)
	}
	if problem := s.checkKeys(requested); problem != "" {
		return invalid(problem)
	}
	var before budget
	if a != nil {
		before = a.budget
	}
	next, ok := before.amend(requested.GetPrepaidTokens() - before.target())
	if !ok || !next.valid() {
		return invariantViolation()
	}
	if a == nil {
		a = s.add(requested.GetCustomer())
	}
	a = s.mutable(a)
	a.budget = next
	s.replaceKeys(a.contract, requested)
	contract := proto.Clone(requested).(*kcwpb.Contract)
	contract.Change = op.GetChange()
	s.revise(a, contract)
	return s.recordChange(a, op.GetChange(), changePut, next.target()-before.target(), digest)
}

// putDigest returns the SHA-256 of the contents of op.
func putDigest(op *kcwpb.PutContract) []byte {
	requested := op.GetContract()
	limits := requested.GetLimits()
	parts := [][]byte{
		[]byte(changePut), int64Bytes(int64(op.GetBase())), int64Bytes(requested.GetPrepaidTokens()), requested.GetSpec(),
		int64Bytes(limits.GetOpenRequests()), int64Bytes(limits.GetRequestsPerMinute()), int64Bytes(limits.GetTokensPerMinute()),
	}
	if requested.GetDeleted() {
		parts = append(parts, []byte("Deleted"))
	}
	return digestOf(append(parts, requested.GetKeyHashes()...)...)
}

// acceptsBase reports whether a change based on revision base applies to a, which
// is nil for a new customer. Base zero also applies to a deleted contract, which
// it recreates.
func (a *account) acceptsBase(base uint64) bool {
	if a == nil {
		return base == 0
	}
	return base == a.contract.GetRevision() || (base == 0 && a.contract.GetDeleted())
}

// staleRevision returns the refusal of a change that is not based on the newest
// revision, with the current contract.
func (s *state) staleRevision(a *account) *kcwpb.Result {
	result := refused(kcwpb.Code_CODE_STALE_REVISION, "the contract has another revision")
	if a != nil {
		result.Revision = a.contract.GetRevision()
		result.Contract = a.contract
	}
	return result
}

// checkKeys returns the first problem of the keys of requested, or an empty
// string.
func (s *state) checkKeys(requested *kcwpb.Contract) string {
	seen := make(map[[digestSize]byte]bool, len(requested.GetKeyHashes()))
	for i, hash := range requested.GetKeyHashes() {
		if len(hash) != digestSize {
			return fmt.Sprintf("key %d is not a SHA-256", i)
		}
		key := [digestSize]byte(hash)
		if seen[key] {
			return fmt.Sprintf("key %d stands twice", i)
		}
		seen[key] = true
		if owner, used := s.keys[key]; used && owner != requested.GetCustomer() {
			return fmt.Sprintf("key %d is used by customer %s", i, owner)
		}
	}
	return ""
}

// replaceKeys replaces the keys of old by those of next. A deleted contract has no
// valid keys.
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

// recordChange records a change of a contract and returns its result.
func (s *state) recordChange(a *account, change, kind string, tokens int64, digest []byte) *kcwpb.Result {
	result := &kcwpb.Result{
		Code:     kcwpb.Code_CODE_OK,
		Revision: a.contract.GetRevision(),
		Tokens:   a.budget.target(),
		Budget:   a.message(),
	}
	a.changes = appendChange(a.changes, &kcwpb.Change{
		Change:   change,
		Customer: a.customer,
		Kind:     kind,
		Revision: a.contract.GetRevision(),
		Tokens:   tokens,
		At:       s.now,
		Result:   result,
		Digest:   digest,
	})
	return result
}

// topUp increases or reduces the prepaid tokens of a budget.
func (s *state) topUp(op *kcwpb.TopUp) *kcwpb.Result {
	if !isIdentity(op.GetChange()) {
		return invalid("the change identity is empty or too long")
	}
	a := s.accounts[op.GetCustomer()]
	if a == nil {
		return refused(kcwpb.Code_CODE_NOT_FOUND, "the customer is not known")
	}
	digest := digestOf([]byte(changeTopUp), int64Bytes(op.GetTokens()))
	if result := repeatedResult(a.changes, op.GetChange(), digest); result != nil {
		return result
	}
	if a.contract.GetDeleted() {
		return refused(kcwpb.Code_CODE_NOT_FOUND, "the contract is deleted")
	}
	next, ok := a.budget.amend(op.GetTokens())
	if !ok || !next.valid() {
		return invalid("the prepaid tokens would leave their range")
	}
	a = s.mutable(a)
	a.budget = next
	contract := proto.Clone(a.contract).(*kcwpb.Contract)
	contract.PrepaidTokens = next.target()
	contract.Change = op.GetChange()
	s.revise(a, contract)
	return s.recordChange(a, op.GetChange(), changeTopUp, op.GetTokens(), digest)
}
