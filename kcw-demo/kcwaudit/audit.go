// Package kcwaudit compares what callers saw and what the ledger billed with
// the stand-ins' own record of what ran. It trusts none of them: each has its
// own account of every request, by the request's identity.
package kcwaudit

import (
	"fmt"
	"slices"

	"kingcupwick.example/kcw-standin/kcwrecord"
)

// Outcomes of a call as its caller saw it.
const (
	// Whole means that the whole answer arrived.
	Whole = "Whole"
	// NotRun means that the request was refused and said not to have run.
	NotRun = "NotRun"
	// Broken means that the call ended in any other way.
	Broken = "Broken"
)

// Call is one request as its caller saw it.
type Call struct {
	Customer string
	Request  string
	Outcome  string
	// Digest is of the answer's text for a model, of its body for a plain
	// service, in hexadecimal; it is empty unless the outcome is Whole.
	Digest string
	// IsPlain tells a call to a plain service.
	IsPlain bool
	// IsOnce means that the request must not be repeated.
	IsOnce bool
	// Cost is what a call to a plain service takes from the budget, in tokens.
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

// Config is the three accounts to compare.
type Config struct {
	Calls   []Call
	Entries []kcwrecord.Entry
	// Customers and Claims are named as in the dump that kcwctl writes.
	Customers []Budget
	Claims    []Claim
	// AllowOpen passes over claims that are not closed yet.
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

// New returns an Audit of the accounts.
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

// Problems returns every disagreement, none if all is well.
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

func (a *Audit) checkCall(call Call) {
	id := identity{call.Customer, call.Request}
	claim := a.claims[id]
	ran := ranEntries(a.entries[id])
	switch call.Outcome {
	case Whole:
		if claim.State != "Billed" {
			a.report(call.Customer, call.Request, "a whole answer, and the claim is %q", claim.State)
		}
		if !slices.ContainsFunc(ran, func(e kcwrecord.Entry) bool { return isAnswer(e, call) }) {
			a.report(call.Customer, call.Request, "the caller's answer is none that an upstream gave for it")
		}
	case NotRun:
		if len(ran) > 0 && !a.isAnsweredElsewhere(call) {
			a.report(call.Customer, call.Request, "refused as not run, and it ran %d times", len(ran))
		}
	}
	if call.IsOnce && len(ran) > 1 {
		a.report(call.Customer, call.Request, "must not be repeated, and it ran %d times", len(ran))
	}
	if call.IsPlain && claim.State == "Billed" && claim.Tokens != call.Cost {
		a.report(call.Customer, call.Request, "billed %d tokens, the contract says %d", claim.Tokens, call.Cost)
	}
}

// isAnsweredElsewhere tells whether the same request was sent again with
// another outcome, so that it may have run then.
func (a *Audit) isAnsweredElsewhere(call Call) bool {
	return slices.ContainsFunc(a.cfg.Calls, func(other Call) bool {
		return other.Customer == call.Customer && other.Request == call.Request && other.Outcome != NotRun
	})
}

// ranEntries returns the entries that an upstream did any work for.
func ranEntries(entries []kcwrecord.Entry) []kcwrecord.Entry {
	var ran []kcwrecord.Entry
	for _, entry := range entries {
		isIdle := entry.Outcome == kcwrecord.Refused || entry.Outcome == kcwrecord.Cancelled && entry.Status == 0
		if !isIdle {
			ran = append(ran, entry)
		}
	}
	return ran
}

func isAnswer(entry kcwrecord.Entry, call Call) bool {
	if call.IsPlain {
		return entry.AnswerDigest == call.Digest
	}
	return entry.TextDigest == call.Digest
}

// checkEntries finds what ran to its end and is not billed.
func (a *Audit) checkEntries(id identity, entries []kcwrecord.Entry) {
	claim := a.claims[id]
	finished := slices.ContainsFunc(entries, func(e kcwrecord.Entry) bool { return e.Outcome == kcwrecord.Finished })
	if !finished || claim.State == "Billed" {
		return
	}
	if a.cfg.AllowOpen && (claim.State == "Open" || claim.State == "Unknown") {
		return
	}
	a.report(id.customer, id.request, "ran to its end, and the claim is %q", claim.State)
}

// checkClaim compares a model's bill with what ran.
func (a *Audit) checkClaim(claim Claim) {
	if claim.State != "Billed" {
		if claim.State != "NotRun" && !a.cfg.AllowOpen {
			a.report(claim.Customer, claim.Request, "the claim is left %q", claim.State)
		}
		return
	}
	ran := ranEntries(a.entries[identity{claim.Customer, claim.Request}])
	if len(ran) == 0 {
		a.report(claim.Customer, claim.Request, "billed %d tokens, and it never ran", claim.Tokens)
		return
	}
	if ran[0].PromptTokens == 0 {
		return
	}
	if slices.ContainsFunc(ran, func(e kcwrecord.Entry) bool {
		return e.Outcome == kcwrecord.Finished && e.PromptTokens+e.CompletionTokens == claim.Tokens
	}) {
		return
	}
	if slices.ContainsFunc(ran, func(e kcwrecord.Entry) bool { return e.Outcome == kcwrecord.Finished }) {
		a.report(claim.Customer, claim.Request, "billed %d tokens, %d ran", claim.Tokens, ran[len(ran)-1].PromptTokens+ran[len(ran)-1].CompletionTokens)
	}
}

func (a *Audit) checkBudget(budget Budget) {
	if budget.Billed+budget.Reserved+budget.Granted > budget.Prepaid {
		a.report(budget.Customer, "budget", "%d billed, %d reserved and %d granted of %d prepaid", budget.Billed, budget.Reserved, budget.Granted, budget.Prepaid)
	}
	var sum int64
	for _, claim := range a.cfg.Claims {
		if claim.Customer == budget.Customer && claim.State == "Billed" {
			sum += claim.Tokens
		}
	}
	if sum != budget.Billed {
		a.report(budget.Customer, "budget", "%d billed, its bills come to %d", budget.Billed, sum)
	}
}
