package kcwbook

import "kingcupwick.example/kcw/kcwpb"

// registerRouter announces a router incarnation and fences the older ones.
func (s *state) registerRouter(op *kcwpb.RegisterRouter) *kcwpb.Result {
	switch {
	case !isName(op.GetRouter()):
		return invalid("the router is not a name")
	case op.GetIncarnation() == 0:
		return invalid("the incarnation is zero")
	case len(op.GetZone()) > maxTextBytes, len(op.GetAddress()) > maxTextBytes:
		return invalid("the zone or the address is too long")
	}
	r := s.routers[op.GetRouter()]
	if r == nil {
		r = &router{name: op.GetRouter(), holders: make(map[string]bool)}
		s.routers[r.name] = r
	}
	if r.fenced(op.GetIncarnation()) {
		return refused(kcwpb.Code_CODE_FENCED, "a newer incarnation is registered or the router is retired")
	}
	if op.GetIncarnation() == r.incarnation {
		return &kcwpb.Result{Code: kcwpb.Code_CODE_REPEATED, Revision: s.revision}
	}
	s.fence(r, op.GetIncarnation())
	r.incarnation = op.GetIncarnation()
	r.over = 0
	r.zone = op.GetZone()
	r.address = op.GetAddress()
	r.retired = false
	return &kcwpb.Result{Code: kcwpb.Code_CODE_OK, Revision: s.revision}
}

// retireRouter fences a router's newest incarnation on an operator's word.
func (s *state) retireRouter(op *kcwpb.RetireRouter) *kcwpb.Result {
	if !isIdentity(op.GetChange()) {
		return invalid("the change identity is empty or too long")
	}
	r := s.routers[op.GetRouter()]
	if r == nil || op.GetIncarnation() > r.incarnation {
		return refused(kcwpb.Code_CODE_NOT_FOUND, "the router incarnation is not known")
	}
	digest := digestOf([]byte(changeRetire), []byte(op.GetRouter()), number(int64(op.GetIncarnation())))
	if result := first(s.routerChanges, op.GetChange(), digest); result != nil {
		return result
	}
	if r.fenced(op.GetIncarnation()) {
		return refused(kcwpb.Code_CODE_FENCED, "a newer incarnation is registered or the router is retired")
	}
	r.retired = true
	s.fence(r, op.GetIncarnation()+1)
	result := &kcwpb.Result{Code: kcwpb.Code_CODE_OK, Revision: s.revision}
	s.routerChanges = remember(s.routerChanges, &kcwpb.Change{
		Change: op.GetChange(),
		Kind:   changeRetire,
		At:     s.at,
		Result: result,
		Digest: digest,
	})
	return result
}

// fence takes the right to act from the incarnations of r before the one
// called incarnation: their grants become orphaned and the outcome of their
// open claims unknown.
func (s *state) fence(r *router, incarnation uint64) {
	for customer := range r.holders {
		a := s.owned(s.accounts[customer])
		a.orphan(r.name, incarnation)
		a.lose(r.name, incarnation)
	}
	clear(r.holders)
}

// orphan marks the grants of the router's incarnations before incarnation.
// Those that hold nothing are dropped.
func (a *account) orphan(routerName string, incarnation uint64) {
	kept := a.grants[:0]
	for _, g := range a.grants {
		if g.router == routerName && g.incarnation < incarnation {
			g.orphaned = true
			if g.tokens == 0 {
				continue
			}
		}
		kept = append(kept, g)
	}
	a.grants = kept
}

// lose makes the outcome of the open claims of the router's incarnations
// before incarnation unknown. They keep their tokens and no longer count as
// running.
func (a *account) lose(routerName string, incarnation uint64) {
	for request, c := range a.open {
		if c.state != kcwpb.ClaimState_CLAIM_STATE_OPEN || c.router != routerName || c.incarnation >= incarnation {
			continue
		}
		lost := c.with()
		lost.state = kcwpb.ClaimState_CLAIM_STATE_UNKNOWN
		a.open[request] = lost
		a.running--
	}
}

// ended notes that the openings of the router incarnation with serials below
// over have ended.
func (r *router) ended(incarnation, over uint64) {
	if incarnation == r.incarnation {
		r.over = max(r.over, over)
	}
}

// actor returns the refusal of a command by a router incarnation that may not
// act, nil if it may.
func (s *state) actor(routerName string, incarnation uint64) *kcwpb.Result {
	r := s.routers[routerName]
	if r == nil || incarnation > r.incarnation {
		return refused(kcwpb.Code_CODE_NOT_FOUND, "the router incarnation is not registered")
	}
	if r.fenced(incarnation) {
		return refused(kcwpb.Code_CODE_FENCED, "a newer incarnation is registered or the router is retired")
	}
	return nil
}
