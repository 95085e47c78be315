package kcwaudit

import (
	"strings"
	"testing"

	"kingcupwick.example/kcw-standin/kcwrecord"
)

func entry(outcome string, completion int64) kcwrecord.Entry {
	return kcwrecord.Entry{
		Customer: "parish", Request: "r-1", Outcome: outcome, Status: 200,
		PromptTokens: 5, CompletionTokens: completion, TextDigest: "text", AnswerDigest: "body",
	}
}

func TestProblems(t *testing.T) {
	call := func(outcome string) []Call {
		return []Call{{Customer: "parish", Request: "r-1", Outcome: outcome, Digest: "text"}}
	}
	claim := func(state string, tokens int64) []Claim {
		return []Claim{{Customer: "parish", Request: "r-1", State: state, Tokens: tokens}}
	}
	once := []Call{{Customer: "parish", Request: "r-1", Outcome: Broken, IsOnce: true, IsPlain: true, Cost: 20}}
	finished, broken := entry(kcwrecord.Finished, 10), entry(kcwrecord.Broken, 3)
	plain := kcwrecord.Entry{Customer: "parish", Request: "r-1", Outcome: kcwrecord.Broken, Status: 201}
	for _, test := range []struct {
		name    string
		calls   []Call
		entries []kcwrecord.Entry
		claims  []Claim
		billed  int64
		want    string
	}{
		{"consistent", call(Whole), []kcwrecord.Entry{finished}, claim("Billed", 15), 15, ""},
		{"retried", call(Whole), []kcwrecord.Entry{broken, finished}, claim("Billed", 15), 15, ""},
		{"cut and billed", call(Broken), []kcwrecord.Entry{broken}, claim("Billed", 8), 8, ""},
		{"not run", call(NotRun), []kcwrecord.Entry{entry(kcwrecord.Refused, 0)}, claim("NotRun", 0), 0, ""},
		{"not repeatable, answer lost", once, []kcwrecord.Entry{plain}, claim("Billed", 20), 20, ""},
		{"not billed", call(Whole), []kcwrecord.Entry{finished}, claim("NotRun", 0), 0, "the claim is"},
		{"no claim", call(Broken), []kcwrecord.Entry{finished}, nil, 0, "ran to completion"},
		{"wrong amount", call(Whole), []kcwrecord.Entry{finished}, claim("Billed", 14), 14, "billed 14 tokens, but the upstream counted 15"},
		{"never ran", nil, nil, claim("Billed", 15), 15, "never ran"},
		{"other answer", []Call{{Customer: "parish", Request: "r-1", Outcome: Whole, Digest: "x"}}, []kcwrecord.Entry{finished}, claim("Billed", 15), 15, "no upstream gave the answer"},
		{"refused but ran", call(NotRun), []kcwrecord.Entry{broken}, claim("NotRun", 0), 0, "refused as not run"},
		{"ran twice", once, []kcwrecord.Entry{plain, plain}, claim("Billed", 20), 20, "must not be repeated"},
		{"wrong cost", once, []kcwrecord.Entry{plain}, claim("Billed", 19), 19, "the contract's cost is 20"},
		{"left open", nil, nil, claim("Open", 15), 0, "the claim is still"},
		{"sum", call(Whole), []kcwrecord.Entry{finished}, claim("Billed", 15), 30, "its billed claims sum to 15"},
		{"overspent", nil, nil, nil, 101, "101 billed"},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := New(Config{
				Calls: test.calls, Entries: test.entries, Claims: test.claims,
				Customers: []Budget{{Customer: "parish", Prepaid: 100, Billed: test.billed}},
			}).Problems()
			if test.want == "" && len(got) > 0 || !strings.Contains(strings.Join(got, "\n"), test.want) {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}
