package kcwbook

import "testing"

func TestBudgetValid(t *testing.T) {
	for _, test := range []struct {
		name   string
		budget budget
		want   bool
	}{
		{"empty", budget{}, true},
		{"full", budget{prepaid: 6, billed: 1, reserved: 2, granted: 3}, true},
		{"overspent", budget{prepaid: 5, billed: 1, reserved: 2, granted: 3}, false},
		{"negative part", budget{prepaid: 5, granted: -1}, false},
		{"more withheld than prepaid", budget{prepaid: 5, withheld: 6}, false},
		{"out of range", budget{prepaid: maxTokens + 1}, false},
	} {
		if got := test.budget.valid(); got != test.want {
			t.Errorf("%s: valid %v", test.name, got)
		}
	}
}

func TestBudgetAmend(t *testing.T) {
	base := budget{prepaid: 100, billed: 30, reserved: 20}
	for _, test := range []struct {
		name              string
		tokens            int64
		prepaid, withheld int64
		ok                bool
	}{
		{"more", 50, 150, 0, true},
		{"free part", -50, 50, 0, true},
		{"below the reserved tokens", -60, 50, 10, true},
		{"below zero", -101, 100, 0, false},
		{"to the end of the range", maxTokens - 100, maxTokens, 0, true},
		{"past the range", maxTokens - 99, 100, 0, false},
		{"overflow", 1<<63 - 1, 100, 0, false},
		{"negative overflow", -1 << 63, 100, 0, false},
	} {
		got, ok := base.amend(test.tokens)
		if ok != test.ok || got.prepaid != test.prepaid || got.withheld != test.withheld {
			t.Errorf("%s: %+v %v", test.name, got, ok)
		}
	}
}
