package kcwratelimit_test

import (
	"strconv"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwratelimit"
)

var start = time.Unix(1_700_000_000, 0)

// answer returns the limit of an answer to a request sent at the second sent, which
// arrived at the second answered.
func answer(perSecond, sent, answered float64) kcwratelimit.Limit {
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	return kcwratelimit.Limit{Upstream: "u", Service: "s", PerSecond: perSecond, SentAt: at(sent), AnsweredAt: at(answered)}
}

// TestNewestAnswerDecides checks which limit is in force after answers that arrive in
// this order.
func TestNewestAnswerDecides(t *testing.T) {
	for _, test := range []struct {
		name    string
		answers []kcwratelimit.Limit
		want    float64
		changes int
	}{
		{"first", []kcwratelimit.Limit{answer(4, 0, 1)}, 4, 1},
		{"same again", []kcwratelimit.Limit{answer(4, 0, 1), answer(4, 2, 3)}, 4, 1},
		{"lower", []kcwratelimit.Limit{answer(4, 0, 1), answer(2, 2, 3)}, 2, 2},
		{"lower, sent before the other's answer", []kcwratelimit.Limit{answer(4, 0, 1), answer(2, 0.5, 3)}, 2, 2},
		{"higher", []kcwratelimit.Limit{answer(4, 0, 1), answer(8, 2, 3)}, 8, 2},
		{"higher, sent before the other's answer", []kcwratelimit.Limit{answer(4, 0, 1), answer(8, 0.5, 3)}, 4, 1},
		{"ended", []kcwratelimit.Limit{answer(4, 0, 1), answer(0, 2, 3)}, 0, 2},
		{"ended, sent before the other's answer", []kcwratelimit.Limit{answer(4, 0, 1), answer(0, 0.5, 3)}, 4, 1},
		{"ended, then the news of an earlier answer", []kcwratelimit.Limit{answer(4, 0, 1), answer(0, 4, 5), answer(2, 2, 3)}, 0, 2},
		{"ended and named again", []kcwratelimit.Limit{answer(4, 0, 1), answer(0, 2, 3), answer(4, 4, 5)}, 4, 3},
		{"the news of an earlier answer", []kcwratelimit.Limit{answer(4, 2, 3), answer(1, 0, 1)}, 4, 1},
		{"an answer whose sending is not known", []kcwratelimit.Limit{answer(4, 0, 1), {Upstream: "u", AnsweredAt: start.Add(time.Hour)}}, 4, 1},
	} {
		table := kcwratelimit.NewTable()
		changes := 0
		for _, a := range test.answers {
			if _, changed := table.Apply(a); changed {
				changes++
			}
		}
		if got, _ := table.Get("u"); got.PerSecond != test.want || changes != test.changes {
			t.Errorf("%s: the limit is %v after %d changes, want %v after %d", test.name, got.PerSecond, changes, test.want, test.changes)
		}
	}
}

func TestExpire(t *testing.T) {
	table := kcwratelimit.NewTable()
	for id, perSecond := range map[string]float64{"limited": 4, "ended": 0, "unlisted": 4} {
		l := answer(perSecond, 0, 1)
		l.Upstream = id
		table.Apply(l)
	}
	table.Expire(func(id string) bool { return id != "unlisted" }, start.Add(2*time.Second))
	if all := table.All(); len(all) != 2 || all[0].Upstream != "ended" || all[1].Upstream != "limited" {
		t.Errorf("%v are left", all)
	}
	table.Expire(func(string) bool { return true }, start.Add(time.Hour))
	if all := table.All(); len(all) != 1 || all[0].Upstream != "limited" {
		t.Errorf("%v are left after an hour", all)
	}
}

// TestTableIsBounded checks that upstreams beyond MaxUpstreams displace none.
func TestTableIsBounded(t *testing.T) {
	table := kcwratelimit.NewTable()
	for i := range kcwratelimit.MaxUpstreams + 10 {
		l := answer(4, 0, 1)
		l.Upstream = strconv.Itoa(i)
		table.Apply(l)
	}
	if n := len(table.All()); n != kcwratelimit.MaxUpstreams {
		t.Errorf("%d upstreams, want %d", n, kcwratelimit.MaxUpstreams)
	}
}
