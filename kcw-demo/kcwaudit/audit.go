// Package kcwaudit checks three independent logs of the same requests against
// each other: the outcomes that callers saw, the claims and budgets in the
// ledger, and the stand-ins' records of what ran. Requests are matched by
// customer and request identity. No log is assumed to be correct.
package kcwaudit

import (
	"fmt"
	"slices"

	"kingcupwick.example/kcw-standin/kcwrecord"
)

// Outcomes of a call as seen by its caller.
const (
	// Whole means that the complete answer arrived.
	Whole = "Whole"
	// NotRun means that the request was refused and reported as not run.
	NotRun = "NotRun"
	// Broken means that the call ended in any other way.
	Broken = "Broken"
)

// Call is one request as seen by its caller.
type Call struct {
	Customer string
	Request  string
	Outcome  string
	// Digest is the SHA-256 in hexadecimal of the answer's text for a model, or
	// of the response body for a plain service. It is empty unless the outcome
	// is Whole.
	Digest string
	// IsPlain marks a call to a plain service.
	IsPlain bool
	// IsOnce marks a request that must not run more than once.
	IsOnce bool
	// Cost is the contract's price of a call to a plain service, in tokens.
	Cost int64
}

// Budget is one customer's budget in the ledger's dump.
type Budget struct {
	Customer                           string
	Prepaid, Billed, Reserved, Granted int64
}

// Claim is one claim in the ledger's dump.
type Claim struct {
	Customer, Request, State string
	Tokens                   int64
}

// Config holds the logs to compare.
type Config struct {
	Calls   []Call
	Entries []kcwrecord.Entry
	// Customers and Claims have the names of the fields in kcwctl's dump.
	Customers []Budget
	Claims    []Claim
	// AllowOpen accepts claims that are not closed yet.
	AllowOpen bool
}

// Audit is one comparison.
type Audit struct {
	cfg      Config
	entries  map[identity][]kcwrecord.Entry
	claims   map[identity]Claim
	problems []string
}

type identity struct{ customer, request string }

// New returns an Audit of the logs in cfg.
func New(cfg Config) *Audit {
	a := &Audit{cfg: cfg, entries: map[identity][]kcwrecord.Entry{}, claims: map[identity]Claim{}}
	for _, entry := range cfg.Entries {
		id := identity{entry.Customer, entry.Request}
		a.entries[id] = append(a.entries[id], entry)
	}
	for _, claim := range cfg.Claims {
		a.claims[identity{claim.Customer, claim.Request}] = claim
	}
	return a
}

// Problems returns a description of every inconsistency, sorted.
func (a *Audit) Problems() []string {
	a.problems = nil
	for _, call := range a.cfg.Calls {
		a.checkCall(call)
	}
	for id, entries := range a.entries {
		a.checkEntries(id, entries)
	}
	for _, claim := range a.cfg.Claims {
		a.checkClaim(claim)
	}
	for _, budget := range a.cfg.Customers {
		a.checkBudget(budget)
	}
	slices.Sort(a.problems)
	return a.problems
}

func (a *Audit) report(customer, request, format string, args ...any) {
	a.problems = append(a.problems, customer+" "+request+": "+fmt.Sprintf(format, args...))
}

// checkCall reports an answer that was not billed or that no upstream gave, a
// refused request that ran, a request that ran more often than it may, and a wrong
// price of a call to a plain service.
func (a *Audit) checkCall(call Call) {
	id := identity{call.Customer, call.Request}
	claim := a.claims[id]
	executed := executedEntries(a.entries[id])
	switch call.Outcome {
	case Whole:
		if claim.State != "Billed" {
			a.report(call.Customer, call.Request, "the answer is complete, but the claim is %q", claim.State)
		}
		if !slices.ContainsFunc(executed, func(e kcwrecord.Entry) bool { return matchesAnswer(e, call) }) {
			a.report(call.Customer, call.Request, "no upstream gave the answer that the caller received")
		}
	case NotRun:
		if len(executed) > 0 && !a.hasOtherOutcome(call) {
			a.report(call.Customer, call.Request, "refused as not run, but it ran %d times", len(executed))
		}
	}
	if call.IsOnce && len(executed) > 1 {
		a.report(call.Customer, call.Request, "must not be repeated, but it ran %d times", len(executed))
	}
	if call.IsPlain && claim.State == "Billed" && claim.Tokens != call.Cost {
		a.report(call.Customer, call.Request, "billed %d tokens, but the contract's cost is %d", claim.Tokens, call.Cost)
	}
}

// hasOtherOutcome reports whether another call with the same request identity
// had an outcome other than NotRun, so that the request may have run then.
func (a *Audit) hasOtherOutcome(call Call) bool {
	return slices.ContainsFunc(a.cfg.Calls, func(other Call) bool {
		return other.Customer == call.Customer && other.Request == call.Request && other.Outcome != NotRun
	})
}

// executedEntries returns the entries of requests that an upstream started to
// process.
func executedEntries(entries []kcwrecord.Entry) []kcwrecord.Entry {
	var executed []kcwrecord.Entry
	for _, entry := range entries {
		isUnstarted := entry.Outcome == kcwrecord.Refused || entry.Outcome == kcwrecord.Cancelled && entry.Status == 0
		if !isUnstarted {
			executed = append(executed, entry)
		}
	}
	return executed
}

func matchesAnswer(entry kcwrecord.Entry, call Call) bool {
	if call.IsPlain {
		return entry.AnswerDigest == call.Digest
	}
	return entry.TextDigest == call.Digest
}

// checkEntries reports a request that ran to completion but was not billed.
func (a *Audit) checkEntries(id identity, entries []kcwrecord.Entry) {
	claim := a.claims[id]
	finished := slices.ContainsFunc(entries, func(e kcwrecord.Entry) bool { return e.Outcome == kcwrecord.Finished })
	if !finished || claim.State == "Billed" {
		return
	}
	if a.cfg.AllowOpen && (claim.State == "Open" || claim.State == "Unknown") {
		return
	}
	a.report(id.customer, id.request, "ran to completion, but the claim is %q", claim.State)
}

// checkClaim reports a claim that was left open, billed although the request
// never ran, or billed with a token count that differs from the upstream's. The
// token count is checked only if a model request ran to completion.
func (a *Audit) checkClaim(claim Claim) {
	if claim.State != "Billed" {
		if claim.State != "NotRun" && !a.cfg.AllowOpen {
			a.report(claim.Customer, claim.Request, "the claim is still %q", claim.State)
		}
		return
	}
	executed := executedEntries(a.entries[identity{claim.Customer, claim.Request}])
	if len(executed) == 0 {
		a.report(claim.Customer, claim.Request, "billed %d tokens, but it never ran", claim.Tokens)
		return
	}
	if executed[0].PromptTokens == 0 {
		return
	}
	if slices.ContainsFunc(executed, func(e kcwrecord.Entry) bool {
		return e.Outcome == kcwrecord.Finished && e.PromptTokens+e.CompletionTokens == claim.Tokens
	}) {
		return
	}
	if slices.ContainsFunc(executed, func(e kcwrecord.Entry) bool { return e.Outcome == kcwrecord.Finished }) {
		a.report(claim.Customer, claim.Request, "billed %d tokens, but the upstream counted %d", claim.Tokens, executed[len(executed)-1].PromptTokens+executed[len(executed)-1].CompletionTokens)
	}
}

// checkBudget reports a budget that exceeds the prepaid tokens, or whose billed
// tokens differ from the sum of its billed claims.
func (a *Audit) checkBudget(budget Budget) {
	if budget.Billed+budget.Reserved+budget.Granted > budget.Prepaid {
		a.report(budget.Customer, "budget", "%d billed, %d reserved and %d granted of %d prepaid", budget.Billed, budget.Reserved, budget.Granted, budget.Prepaid)
	}
	var billed int64
	for _, claim := range a.cfg.Claims {
		if claim.Customer == budget.Customer && claim.State == "Billed" {
			billed += claim.Tokens
		}
	}
	if billed != budget.Billed {
		a.report(budget.Customer, "budget", "%d billed, but its billed claims sum to %d", budget.Billed, billed)
	}
}
