package kcwbook

import (
	"cmp"
	"slices"

	"kingcupwick.example/kcw/kcwpb"
)

// grant holds the tokens that one router incarnation may spend without asking the
// ledger.
type grant struct {
	router      string
	incarnation uint64
	tokens      int64
	sequence    uint64
	lastTokens  int64
	orphaned    bool
	touchedAt   int64
}

// message converts g, a grant of customer, to its wire form.
func (g grant) message(customer string) *kcwpb.Grant {
	return &kcwpb.Grant{
		Customer:    customer,
		Router:      g.router,
		Incarnation: g.incarnation,
		Tokens:      g.tokens,
		Sequence:    g.sequence,
		LastTokens:  g.lastTokens,
		Orphaned:    g.orphaned,
		TouchedAt:   g.touchedAt,
	}
}

// grantOf converts the wire form m to a grant.
func grantOf(m *kcwpb.Grant) grant {
	return grant{
		router:      m.GetRouter(),
		incarnation: m.GetIncarnation(),
		tokens:      m.GetTokens(),
		sequence:    m.GetSequence(),
		lastTokens:  m.GetLastTokens(),
		orphaned:    m.GetOrphaned(),
		touchedAt:   m.GetTouchedAt(),
	}
}

// findGrant returns the index of a router incarnation's grant in a.grants,
// which is ordered by router and incarnation, and whether it is there.
func (a *account) findGrant(routerName string, incarnation uint64) (int, bool) {
	return slices.BinarySearchFunc(a.grants, grant{router: routerName, incarnation: incarnation}, func(g, want grant) int {
		return cmp.Or(cmp.Compare(g.router, want.router), cmp.Compare(g.incarnation, want.incarnation))
	})
}

// grantOf returns a router incarnation's grant, an empty one if there is none.
func (a *account) grantOf(routerName string, incarnation uint64) grant {
	if i, found := a.findGrant(routerName, incarnation); found {
		return a.grants[i]
	}
	return grant{router: routerName, incarnation: incarnation}
}

// putGrant stores g. A stored grant that is orphaned and has no tokens left is
// removed.
func (a *account) putGrant(g grant) {
	i, found := a.findGrant(g.router, g.incarnation)
	switch {
	case found && g.orphaned && g.tokens == 0:
		a.grants = slices.Delete(a.grants, i, i+1)
	case found:
		a.grants[i] = g
	default:
		a.grants = slices.Insert(a.grants, i, g)
	}
}

// drawGrant moves free tokens to the grant of a router incarnation: at most the
// free tokens divided by the divisor of op.
func (s *state) drawGrant(op *kcwpb.DrawGrant) *kcwpb.Result {
	if !isAmount(op.GetTokens()) || op.GetDivisor() < 1 {
		return invalid("the tokens or the divisor are out of range")
	}
	if refusal := s.checkIncarnation(op.GetRouter(), op.GetIncarnation()); refusal != nil {
		return refusal
	}
	a := s.activeAccount(op.GetCustomer())
	if a == nil {
		return refused(kcwpb.Code_CODE_NOT_FOUND, "the customer is not known")
	}
	g := a.grantOf(op.GetRouter(), op.GetIncarnation())
	if result := a.checkSequence(g, op.GetSequence()); result != nil {
		return result
	}
	next := a.budget
	drawn := min(op.GetTokens(), max(0, next.free())/op.GetDivisor())
	next.granted += drawn
	if !next.valid() {
		return invariantViolation()
	}
	g.tokens += drawn
	return s.storeGrant(a, g, next, op.GetSequence(), drawn)
}

// returnGrant moves unspent tokens of a grant back to the budget.
func (s *state) returnGrant(op *kcwpb.ReturnGrant) *kcwpb.Result {
	if !isAmount(op.GetTokens()) {
		return invalid("the tokens are out of range")
	}
	if refusal := s.checkIncarnation(op.GetRouter(), op.GetIncarnation()); refusal != nil {
		return refusal
	}
	a := s.accounts[op.GetCustomer()]
	if a == nil {
		return refused(kcwpb.Code_CODE_NOT_FOUND, "the customer is not known")
	}
	g := a.grantOf(op.GetRouter(), op.GetIncarnation())
	if result := a.checkSequence(g, op.GetSequence()); result != nil {
		return result
	}
	if op.GetTokens() > g.tokens {
		return invalid("the grant does not hold the tokens")
	}
	next := a.budget
	next.granted -= op.GetTokens()
	next = next.applyWithheld()
	if !next.valid() {
		return invariantViolation()
	}
	g.tokens -= op.GetTokens()
	return s.storeGrant(a, g, next, op.GetSequence(), op.GetTokens())
}

// checkSequence returns nil if sequence is the next one of g, the first result for
// a resend, and a refusal for any other.
func (a *account) checkSequence(g grant, sequence uint64) *kcwpb.Result {
	if sequence == g.sequence+1 {
		return nil
	}
	if sequence == g.sequence && sequence != 0 {
		return &kcwpb.Result{
			Code:   kcwpb.Code_CODE_REPEATED,
			Tokens: g.lastTokens,
			Budget: a.message(),
			Grant:  g.message(a.customer),
		}
	}
	result := invalid("the sequence is not the next one")
	result.Grant = g.message(a.customer)
	return result
}

// storeGrant stores the grant g and the budget next after a draw or return of
// tokens.
func (s *state) storeGrant(a *account, g grant, next budget, sequence uint64, tokens int64) *kcwpb.Result {
	g.sequence = sequence
	g.lastTokens = tokens
	g.touchedAt = s.now
	a = s.mutable(a)
	a.budget = next
	a.putGrant(g)
	s.trackCustomer(g.router, a.customer)
	return &kcwpb.Result{
		Code:   kcwpb.Code_CODE_OK,
		Tokens: tokens,
		Budget: a.message(),
		Grant:  g.message(a.customer),
	}
}

// releaseGrant moves the remaining tokens of an orphaned grant back to the budget.
// A change with an identity is recorded in the customer's history.
func (s *state) releaseGrant(op *kcwpb.ReleaseGrant) *kcwpb.Result {
	if len(op.GetChange()) > maxIdentityBytes {
		return invalid("the change identity is too long")
	}
	a := s.accounts[op.GetCustomer()]
	if a == nil {
		return refused(kcwpb.Code_CODE_NOT_FOUND, "the customer is not known")
	}
	digest := digestOf([]byte(changeRelease), []byte(op.GetRouter()), int64Bytes(int64(op.GetIncarnation())))
	if op.GetChange() != "" {
		if result := repeatedResult(a.changes, op.GetChange(), digest); result != nil {
			return result
		}
	}
	i, found := a.findGrant(op.GetRouter(), op.GetIncarnation())
	if !found {
		return refused(kcwpb.Code_CODE_NOT_FOUND, "the router incarnation has no grant")
	}
	g := a.grants[i]
	if !g.orphaned {
		return invalid("the holder of the grant was not replaced or retired")
	}
	next := a.budget
	next.granted -= g.tokens
	next = next.applyWithheld()
	if !next.valid() {
		return invariantViolation()
	}
	a = s.mutable(a)
	a.budget = next
	a.grants = slices.Delete(a.grants, i, i+1)
	if op.GetChange() == "" {
		return &kcwpb.Result{Code: kcwpb.Code_CODE_OK, Tokens: g.tokens, Budget: a.message()}
	}
	result := s.recordChange(a, op.GetChange(), changeRelease, g.tokens, digest)
	result.Tokens = g.tokens
	return result
}
