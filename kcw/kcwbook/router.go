package kcwbook

import "kingcupwick.example/kcw/kcwpb"

// registerRouter registers a router incarnation and fences the older ones.
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
		r = &router{name: op.GetRouter(), customers: make(map[string]bool)}
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
	r.minSerial = 0
	r.zone = op.GetZone()
	r.address = op.GetAddress()
	r.retired = false
	return &kcwpb.Result{Code: kcwpb.Code_CODE_OK, Revision: s.revision}
}

// retireRouter fences a router's newest incarnation at an operator's request.
func (s *state) retireRouter(op *kcwpb.RetireRouter) *kcwpb.Result {
	if !isIdentity(op.GetChange()) {
		return invalid("the change identity is empty or too long")
	}
	r := s.routers[op.GetRouter()]
	if r == nil || op.GetIncarnation() > r.incarnation {
		return refused(kcwpb.Code_CODE_NOT_FOUND, "the router incarnation is not known")
	}
	digest := digestOf([]byte(changeRetire), []byte(op.GetRouter()), int64Bytes(int64(op.GetIncarnation())))
	if result := repeatedResult(s.routerChanges, op.GetChange(), digest); result != nil {
		return result
	}
	if r.fenced(op.GetIncarnation()) {
		return refused(kcwpb.Code_CODE_FENCED, "a newer incarnation is registered or the router is retired")
	}
	r.retired = true
	s.fence(r, op.GetIncarnation()+1)
	result := &kcwpb.Result{Code: kcwpb.Code_CODE_OK, Revision: s.revision}
	s.routerChanges = appendChange(s.routerChanges, &kcwpb.Change{
		Change: op.GetChange(),
		Kind:   changeRetire,
		At:     s.now,
		Result: result,
		Digest: digest,
	})
	return result
}

// fence revokes the incarnations of r before the given one: their grants become
// orphaned and the outcomes of their open claims unknown.
func (s *state) fence(r *router, incarnation uint64) {
	for customer := range r.customers {
		a := s.mutable(s.accounts[customer])
		a.orphanGrants(r.name, incarnation)
		a.markOutcomesUnknown(r.name, incarnation)
	}
	clear(r.customers)
}

// orphanGrants marks the grants of the router's incarnations before the given one
// as orphaned. Those without tokens are removed.
func (a *account) orphanGrants(routerName string, incarnation uint64) {
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

// markOutcomesUnknown sets the outcome of the open claims of the router's
// incarnations before the given one to unknown. The claims keep their tokens and no
// longer count as running.
func (a *account) markOutcomesUnknown(routerName string, incarnation uint64) {
	for request, c := range a.open {
		if c.state != kcwpb.ClaimState_CLAIM_STATE_OPEN || c.router != routerName || c.incarnation >= incarnation {
			continue
		}
		unknown := c.clone()
		unknown.state = kcwpb.ClaimState_CLAIM_STATE_UNKNOWN
		a.open[request] = unknown
		a.running--
	}
}

// raiseMinSerial records that the incarnation's openings with serials below
// minSerial have ended. It ignores an incarnation that is not the newest.
func (r *router) raiseMinSerial(incarnation, minSerial uint64) {
	if incarnation == r.incarnation {
		r.minSerial = max(r.minSerial, minSerial)
	}
}

// checkIncarnation returns the refusal of a command by a router incarnation that is
// fenced or not registered, nil for any other.
func (s *state) checkIncarnation(routerName string, incarnation uint64) *kcwpb.Result {
	r := s.routers[routerName]
	if r == nil || incarnation > r.incarnation {
		return refused(kcwpb.Code_CODE_NOT_FOUND, "the router incarnation is not registered")
	}
	if r.fenced(incarnation) {
		return refused(kcwpb.Code_CODE_FENCED, "a newer incarnation is registered or the router is retired")
	}
	return nil
}
