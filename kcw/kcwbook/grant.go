package kcwbook

import (
	"cmp"
	"slices"

	"kingcupwick.example/kcw/kcwpb"
)

// grant is the tokens that one router incarnation may spend by itself.
type grant struct {
	router      string
	incarnation uint64
	tokens      int64
	sequence    uint64
	lastTokens  int64
	orphaned    bool
	touchedAt   int64
}

// message returns g, a grant of customer, as the ledger shows it.
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

// grantOf returns the grant that message m shows.
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

// findGrant returns the place of a router incarnation's grant in a.grants,
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

// putGrant stores g. An orphaned grant that holds nothing is dropped.
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

// drawGrant gives a router tokens to spend by itself.
func (s *state) drawGrant(op *kcwpb.DrawGrant) *kcwpb.Result {
	if !isAmount(op.GetTokens()) || op.GetDivisor() < 1 {
		return invalid("the tokens or the divisor are out of range")
	}
	if refusal := s.actor(op.GetRouter(), op.GetIncarnation()); refusal != nil {
		return refusal
	}
	a := s.live(op.GetCustomer())
	if a == nil {
		return refused(kcwpb.Code_CODE_NOT_FOUND, "the customer is not known")
	}
	g := a.grantOf(op.GetRouter(), op.GetIncarnation())
	if result := a.inSequence(g, op.GetSequence()); result != nil {
		return result
	}
	next := a.budget
	given := min(op.GetTokens(), max(0, next.free())/op.GetDivisor())
	next.granted += given
	if !next.valid() {
		return broken()
	}
	g.tokens += given
	return s.moved(a, g, next, op.GetSequence(), given)
}

// returnGrant takes unspent tokens back.
func (s *state) returnGrant(op *kcwpb.ReturnGrant) *kcwpb.Result {
	if !isAmount(op.GetTokens()) {
		return invalid("the tokens are out of range")
	}
	if refusal := s.actor(op.GetRouter(), op.GetIncarnation()); refusal != nil {
		return refusal
	}
	a := s.accounts[op.GetCustomer()]
	if a == nil {
		return refused(kcwpb.Code_CODE_NOT_FOUND, "the customer is not known")
	}
	g := a.grantOf(op.GetRouter(), op.GetIncarnation())
	if result := a.inSequence(g, op.GetSequence()); result != nil {
		return result
	}
	if op.GetTokens() > g.tokens {
		return invalid("the grant does not hold the tokens")
	}
	next := a.budget
	next.granted -= op.GetTokens()
	next = next.absorb()
	if !next.valid() {
		return broken()
	}
	g.tokens -= op.GetTokens()
	return s.moved(a, g, next, op.GetSequence(), op.GetTokens())
}

// inSequence returns the result of a draw or return that is not the next one
// of g: the first result for a resend, a refusal for any other.
func (a *account) inSequence(g grant, sequence uint64) *kcwpb.Result {
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

// moved stores the grant g and the budget next after a draw or return of
// tokens.
func (s *state) moved(a *account, g grant, next budget, sequence uint64, tokens int64) *kcwpb.Result {
	g.sequence = sequence
	g.lastTokens = tokens
	g.touchedAt = s.at
	a = s.owned(a)
	a.budget = next
	a.putGrant(g)
	s.holds(g.router, a.customer)
	return &kcwpb.Result{
		Code:   kcwpb.Code_CODE_OK,
		Tokens: tokens,
		Budget: a.message(),
		Grant:  g.message(a.customer),
	}
}

// releaseGrant frees what is left of an orphaned grant. A change identity is
// noted in the customer's history if there is one.
func (s *state) releaseGrant(op *kcwpb.ReleaseGrant) *kcwpb.Result {
	if len(op.GetChange()) > maxIdentityBytes {
		return invalid("the change identity is too long")
	}
	a := s.accounts[op.GetCustomer()]
	if a == nil {
		return refused(kcwpb.Code_CODE_NOT_FOUND, "the customer is not known")
	}
	digest := digestOf([]byte(changeRelease), []byte(op.GetRouter()), number(int64(op.GetIncarnation())))
	if op.GetChange() != "" {
		if result := first(a.changes, op.GetChange(), digest); result != nil {
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
	next = next.absorb()
	if !next.valid() {
		return broken()
	}
	a = s.owned(a)
	a.budget = next
	a.grants = slices.Delete(a.grants, i, i+1)
	if op.GetChange() == "" {
		return &kcwpb.Result{Code: kcwpb.Code_CODE_OK, Tokens: g.tokens, Budget: a.message()}
	}
	result := s.changed(a, op.GetChange(), changeRelease, g.tokens, digest)
	result.Tokens = g.tokens
	return result
}
