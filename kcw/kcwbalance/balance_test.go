package kcwbalance_test

import (
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwbalance"
	"kingcupwick.example/kcw/kcwgrant"
	"kingcupwick.example/kcw/kcwpb"
)

var start = time.Unix(1_700_000_000, 0)

// host simulates the uptime of a host.
type host struct{ up time.Duration }

func (h *host) uptime() time.Duration { return h.up }

func newBalance(h *host) *kcwbalance.Balance {
	return kcwbalance.New(kcwbalance.Config{
		Grant:  kcwgrant.Config{Endurance: 10 * time.Second, IdleAfter: time.Minute, Memory: 5 * time.Second},
		Active: time.Second, ActivateAfter: 3 * time.Second, Fresh: time.Second, Uptime: h.uptime,
	})
}

// exchange makes a report and applies an answer of the core with the given values.
func exchange(b *kcwbalance.Balance, granted, available, unspent, share int64) {
	b.ApplyAllowances(b.Report(start), []*kcwpb.Allowance{{Team: "a", Granted: granted, Available: available, Unspent: unspent, Share: share}})
}

func TestReserve(t *testing.T) {
	for _, test := range []struct {
		name                        string
		granted, available, unspent int64
		at                          time.Time
		want                        kcwbalance.Verdict
	}{
		{"held here", 100, 0, 100, start, kcwbalance.Reserved},
		{"free at the core", 10, 500, 510, start, kcwbalance.Missing},
		{"held by others", 10, 20, 500, start, kcwbalance.Held},
		{"used up", 10, 20, 30, start, kcwbalance.Exhausted},
		{"used up, but in an old state of the budget", 10, 20, 30, start.Add(2 * time.Second), kcwbalance.Missing},
	} {
		b := newBalance(&host{})
		b.Reserve("a", 100, start)
		exchange(b, test.granted, test.available, test.unspent, test.granted)
		if got := b.Reserve("a", 100, test.at); got != test.want {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
		// Only a waiting request may raise the number of tokens that the router requests.
		if needed := b.Report(start).Teams[0].GetNeeded(); (needed > 0) != (test.want == kcwbalance.Missing) {
			t.Errorf("%s: the report requests %d tokens", test.name, needed)
		}
	}
}

// TestStandby checks how many of 20,000 tokens a router with a limit of 4,000 may use at
// an uptime of its host, while the core doesn't answer. ActivateAfter is 3 s.
func TestStandby(t *testing.T) {
	const held = 20_000
	h := &host{}
	newAnswered := func() (b *kcwbalance.Balance, limit int64) {
		h.up = 0
		b = newBalance(h)
		for range 20 {
			b.RecordDemand("a", 200, start)
		}
		report := b.Report(start)
		b.ApplyAllowances(report, []*kcwpb.Allowance{{Team: "a", Granted: held, Unspent: held, Share: held}})
		return b, report.Teams[0].GetLimit()
	}
	for _, test := range []struct {
		name string
		up   time.Duration
		// answered and unanswered are the uptimes of a later report with and without an
		// answer, zero for none.
		answered, unanswered time.Duration
		// thirds is the usable part, in thirds, of the tokens beyond the limit.
		thirds int64
	}{
		{"at once", 0, 0, 0, 0},
		{"after a third of the time", time.Second, 0, 0, 1},
		{"after a third of the time, with an unanswered report", time.Second, 0, 900 * time.Millisecond, 1},
		{"after two thirds", 2 * time.Second, 0, 0, 2},
		{"after the whole time", 3 * time.Second, 0, 0, 3},
		{"long after", time.Hour, 0, 0, 3},
		{"when the core answers again", 2 * time.Second, 2 * time.Second, 0, 0},
		{"a third of the time after the core answered again", 3 * time.Second, 2 * time.Second, 0, 1},
	} {
		b, limit := newAnswered()
		if test.answered > 0 {
			h.up = test.answered
			report := b.Report(start)
			b.ApplyAllowances(report, []*kcwpb.Allowance{{Team: "a", Granted: held, Unspent: held, Share: held}})
			limit = report.Teams[0].GetLimit()
		}
		if test.unanswered > 0 {
			h.up = test.unanswered
			// A lower limit applies at once.
			limit = min(limit, b.Report(start).Teams[0].GetLimit())
		}
		h.up = test.up
		usable := limit + (held-limit)*test.thirds/3
		if got := b.Reserve("a", usable+1, start); got == kcwbalance.Reserved {
			t.Errorf("%s: more than %d tokens are usable", test.name, usable)
		}
		if got := b.Reserve("a", usable, start); got != kcwbalance.Reserved {
			t.Errorf("%s: %d tokens are not usable: %v", test.name, usable, got)
		}
	}
}

// TestLimitFalls checks that the limit follows a falling demand. A lower limit applies
// from the report on, a higher one from the answer on.
func TestLimitFalls(t *testing.T) {
	b := newBalance(&host{})
	for range 20 {
		b.RecordDemand("a", 100, start)
	}
	exchange(b, 20_000, 0, 20_000, 20_000)
	later := start.Add(20 * time.Second)
	report := b.Report(later)
	if got := report.Teams[0].GetLimit(); got > 200 {
		t.Errorf("after the demand has fallen the limit is %d", got)
	}
	if got := b.Reserve("a", 1000, later); got == kcwbalance.Reserved {
		t.Error("the lower limit doesn't apply before the core has answered")
	}
	report = b.Report(later)
	if got := report.Teams[0].GetLimit(); got < 1000 {
		t.Errorf("the limit of the next report is %d, too low for the waiting request", got)
	}
	if got := b.Reserve("a", 1000, later); got == kcwbalance.Reserved {
		t.Error("the higher limit applies before the core has answered")
	}
	b.ApplyAllowances(report, []*kcwpb.Allowance{{Team: "a", Granted: 40_000, Available: 0, Unspent: 20_000, Share: 20_000}})
	if got := b.Reserve("a", 1000, later); got != kcwbalance.Reserved {
		t.Errorf("after the answer: %v", got)
	}
}

// TestTotals checks the totals of one team after requests and reports.
func TestTotals(t *testing.T) {
	b := newBalance(&host{})
	b.RecordDemand("a", 100, start)
	if got := b.Reserve("a", 100, start); got != kcwbalance.Missing {
		t.Fatalf("without tokens: %v", got)
	}
	report := b.Report(start)
	if r := report.Teams[0]; r.GetLeast() != 100 || r.GetNeeded() != 100 || r.GetLimit() < 100 {
		t.Errorf("the report is %v, want at least 100 tokens", r)
	}
	b.ApplyAllowances(report, []*kcwpb.Allowance{{Team: "a", Granted: 1000, Available: 9000, Unspent: 10_000, Share: 1000}})
	if got := b.Reserve("a", 100, start); got != kcwbalance.Reserved {
		t.Fatalf("with tokens: %v", got)
	}
	b.Settle("a", 100, 40)
	if r := b.Report(start).Teams[0]; r.GetSpent() != 40 || r.GetLeast() != 0 {
		t.Errorf("spent %d and least %d, want 40 and 0", r.GetSpent(), r.GetLeast())
	}
	b.Stop()
	if r := b.Report(start).Teams[0]; r.GetReturned() != 960 || r.GetWant() != 0 {
		t.Errorf("returned %d and wanted %d, want 960 and 0", r.GetReturned(), r.GetWant())
	}
	// An answer with the totals from before the return must not restore the tokens.
	exchange(b, 1000, 9000, 10_000, 1000)
	if got := b.Reserve("a", 1, start); got == kcwbalance.Reserved {
		t.Error("returned tokens were reserved")
	}
}

// TestAllThatWait checks that a report requests the tokens of all waiting requests
// together. If it requested only those of the largest, most of a burst would be refused.
func TestAllThatWait(t *testing.T) {
	b := newBalance(&host{})
	const requests, tokens = 5, 100
	for range requests {
		b.Reserve("a", tokens, start)
	}
	report := b.Report(start)
	b.ApplyAllowances(report, []*kcwpb.Allowance{{Team: "a", Granted: report.Teams[0].GetNeeded(), Available: 0, Unspent: 10_000, Share: 1000}})
	for i := range requests {
		if got := b.Reserve("a", tokens, start); got != kcwbalance.Reserved {
			t.Errorf("request %d: %v", i, got)
		}
	}
}

// TestShareReturns checks that a router returns the tokens beyond its share when a
// budget runs out.
func TestShareReturns(t *testing.T) {
	b := newBalance(&host{})
	for range 20 {
		b.RecordDemand("a", 100, start)
	}
	exchange(b, 1000, 0, 1000, 300)
	if r := b.Report(start).Teams[0]; r.GetReturned() != 700 {
		t.Errorf("returned %d of 1000 tokens with a share of 300, want 700", r.GetReturned())
	}
}

// TestLimitOfLittle checks the limit of a router that holds fewer tokens than it
// requests: a sixth of its tokens, but at least its demand of a quarter of a second and at
// most that of a second.
func TestLimitOfLittle(t *testing.T) {
	limit := func(free int64) int64 {
		b := newBalance(&host{})
		for range 100 {
			b.RecordDemand("a", 100, start)
		}
		exchange(b, free, 0, free, free)
		return b.Report(start).Teams[0].GetLimit()
	}
	second := limit(1_000_000)
	for _, test := range []struct {
		name       string
		free, want int64
	}{
		{"six seconds of demand", 6 * second, second},
		{"less than six seconds", 48 * second / 10, 8 * second / 10},
		{"a second and a half", 15 * second / 10, second / 4},
		{"a tenth of a second", second / 10, second / 4},
	} {
		if got := limit(test.free); got < test.want-1 || got > test.want+1 {
			t.Errorf("%s: the limit is %d, want %d", test.name, got, test.want)
		}
	}
}
