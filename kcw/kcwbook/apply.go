package kcwbook

import (
	"google.golang.org/protobuf/proto"

	"kingcupwick.example/kcw/kcwpb"
)

// Apply applies the marshalled kcwpb.Command data and returns the marshalled
// kcwpb.Result. It does not use the index of the log entry. A malformed command
// returns CODE_INVALID and changes nothing.
func (b *Book) Apply(_ uint64, data []byte) []byte {
	command := new(kcwpb.Command)
	if err := proto.Unmarshal(data, command); err != nil {
		return encode(invalid("the command cannot be decoded"))
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return encode(b.state.apply(command))
}

// encode returns result marshalled deterministically, since all replicas must
// return the same bytes.
func encode(result *kcwpb.Result) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(result)
	if err != nil {
		// Marshalling fails only on text that is not UTF-8. A command with such
		// text fails to decode, so no result contains any.
		return nil
	}
	return data
}

// apply applies one command.
func (s *state) apply(command *kcwpb.Command) *kcwpb.Result {
	if command.GetAt() < 0 || command.GetAt() > maxTime {
		return invalid("the time is out of range")
	}
	if command.GetOp() == nil {
		return invalid("the command has no operation")
	}
	s.now = max(s.now, command.GetAt())
	s.sweep()
	return s.dispatch(command)
}

// dispatch applies the operation of command.
func (s *state) dispatch(command *kcwpb.Command) *kcwpb.Result {
	switch op := command.GetOp().(type) {
	case *kcwpb.Command_OpenClaim:
		return s.openClaim(op.OpenClaim)
	case *kcwpb.Command_SettleClaim:
		return s.settleClaim(op.SettleClaim)
	case *kcwpb.Command_DrawGrant:
		return s.drawGrant(op.DrawGrant)
	case *kcwpb.Command_ReturnGrant:
		return s.returnGrant(op.ReturnGrant)
	case *kcwpb.Command_ReleaseGrant:
		return s.releaseGrant(op.ReleaseGrant)
	case *kcwpb.Command_PutContract:
		return s.putContract(op.PutContract)
	case *kcwpb.Command_TopUp:
		return s.topUp(op.TopUp)
	case *kcwpb.Command_RegisterRouter:
		return s.registerRouter(op.RegisterRouter)
	case *kcwpb.Command_RetireRouter:
		return s.retireRouter(op.RetireRouter)
	case *kcwpb.Command_ResolveClaim:
		return s.resolveClaim(op.ResolveClaim)
	}
	return invalid("the operation is not known")
}

// refused returns the result of a command that changed nothing, with the reason.
func refused(code kcwpb.Code, detail string) *kcwpb.Result {
	return &kcwpb.Result{Code: code, Detail: detail}
}

// invalid returns the result of a command that is not valid.
func invalid(detail string) *kcwpb.Result {
	return refused(kcwpb.Code_CODE_INVALID, detail)
}

// invariantViolation returns the result of a command that would break the budget
// invariant.
func invariantViolation() *kcwpb.Result {
	return invalid("the budget would break its invariant")
}

// claimResult returns a result that includes c.
func claimResult(code kcwpb.Code, detail string, c *claim) *kcwpb.Result {
	return &kcwpb.Result{Code: code, Detail: detail, Claim: c.message(), Tokens: c.tokens}
}

// message converts the budget of a to its wire form.
func (a *account) message() *kcwpb.Budget {
	return &kcwpb.Budget{
		Customer:    a.customer,
		Prepaid:     a.budget.prepaid,
		Billed:      a.budget.billed,
		Reserved:    a.budget.reserved,
		Granted:     a.budget.granted,
		Withheld:    a.budget.withheld,
		RequestsDue: a.requestsDue,
		TokensDue:   a.tokensDue,
	}
}
