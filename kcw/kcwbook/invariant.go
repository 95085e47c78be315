package kcwbook

import (
	"github.com/rotisserie/eris"

	"kingcupwick.example/kcw/kcwpb"
)

// check returns an *Error of KindInvariant if a budget breaks the invariant.
func (s *state) check() error {
	for _, a := range s.order {
		if err := a.check(); err != nil {
			return &Error{Op: "Check", Kind: KindInvariant, Err: eris.Wrapf(err, "customer %s", a.customer)}
		}
	}
	return nil
}

// check compares the budget of a with its contract, claims and grants.
func (a *account) check() error {
	if !a.budget.valid() {
		return eris.Errorf("billed %d + reserved %d + granted %d exceed prepaid %d, or withheld %d is out of range",
			a.budget.billed, a.budget.reserved, a.budget.granted, a.budget.prepaid, a.budget.withheld)
	}
	if a.budget.withheld > 0 && a.budget.free() > 0 {
		return eris.Errorf("%d tokens are free while %d are withheld", a.budget.free(), a.budget.withheld)
	}
	if a.contract.GetPrepaidTokens() != a.budget.target() {
		return eris.Errorf("the contract has %d prepaid tokens and the budget %d", a.contract.GetPrepaidTokens(), a.budget.target())
	}
	var reserved, running, granted int64
	for _, c := range a.open {
		reserved += c.tokens
		if c.state == kcwpb.ClaimState_CLAIM_STATE_OPEN {
			running++
		}
	}
	for _, g := range a.grants {
		if g.tokens < 0 {
			return eris.Errorf("the grant of %s/%d holds %d tokens", g.router, g.incarnation, g.tokens)
		}
		granted += g.tokens
	}
	if reserved != a.budget.reserved || granted != a.budget.granted || running != a.running {
		return eris.Errorf("claims hold %d of reserved %d, grants %d of granted %d, %d of %d claims run",
			reserved, a.budget.reserved, granted, a.budget.granted, running, a.running)
	}
	return nil
}
