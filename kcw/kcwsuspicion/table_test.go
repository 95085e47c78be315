package kcwsuspicion_test

import (
	"errors"
	"slices"
	"strconv"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwsuspicion"
)

var start = time.Unix(1_700_000_000, 0)

func newTable(t *testing.T) *kcwsuspicion.Table {
	t.Helper()
	table, err := kcwsuspicion.New(kcwsuspicion.Config{Window: time.Minute, MaxParts: 4})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func TestAvoided(t *testing.T) {
	for _, test := range []struct {
		name  string
		steps func(table *kcwsuspicion.Table)
		at    time.Duration
		parts []string
		want  []string
	}{
		{"nothing known", func(*kcwsuspicion.Table) {}, 0, []string{"a"}, nil},
		{"no parts", func(table *kcwsuspicion.Table) { table.Cut("a", "u", false, start) }, 0, nil, nil},
		{"other parts", func(table *kcwsuspicion.Table) { table.Cut("a", "u", false, start) }, 0, []string{"b"}, nil},
		{"each upstream once", func(table *kcwsuspicion.Table) {
			table.Cut("a", "v", false, start)
			table.Cut("a", "u", false, start)
			table.Cut("b", "u", false, start)
		}, 0, []string{"b", "a"}, []string{"u", "v"}},
		{"an answer ends the suspicion", func(table *kcwsuspicion.Table) {
			table.Cut("a", "u", false, start)
			table.Cut("b", "v", false, start)
			table.Begin([]string{"a"})
		}, 0, []string{"a", "b"}, []string{"v"}},
		{"an answer that begins does not end that of a cut within one", func(table *kcwsuspicion.Table) {
			table.Cut("a", "u", false, start)
			table.Cut("a", "v", true, start)
			table.Begin([]string{"a"})
		}, 0, []string{"a"}, []string{"v"}},
		{"a whole answer ends that of all cuts", func(table *kcwsuspicion.Table) {
			table.Cut("a", "u", false, start)
			table.Cut("a", "v", true, start)
			table.Complete([]string{"a"})
		}, 0, []string{"a"}, nil},
		{"at the end of the window", func(table *kcwsuspicion.Table) { table.Cut("a", "u", false, start) }, time.Minute, []string{"a"}, []string{"u"}},
		{"after the window", func(table *kcwsuspicion.Table) { table.Cut("a", "u", false, start) }, time.Minute + 1, []string{"a"}, nil},
		{"the latest cut counts", func(table *kcwsuspicion.Table) {
			table.Cut("a", "u", false, start.Add(time.Second))
			table.Cut("a", "u", false, start)
		}, time.Minute + 1, []string{"a"}, []string{"u"}},
		{"the parts used last are kept", func(table *kcwsuspicion.Table) {
			for i := range 10 {
				table.Cut(strconv.Itoa(i), "u"+strconv.Itoa(i), false, start)
			}
		}, 0, []string{"0", "5", "6", "9"}, []string{"u6", "u9"}},
	} {
		table := newTable(t)
		test.steps(table)
		if got := table.Avoided(test.parts, start.Add(test.at)); !slices.Equal(got, test.want) {
			t.Errorf("%s: got %q, want %q", test.name, got, test.want)
		}
	}
}

// TestUpstreamsOfPartAreBounded checks that the upstreams with the latest cuts are kept.
func TestUpstreamsOfPartAreBounded(t *testing.T) {
	table := newTable(t)
	for i := range 1000 {
		table.Cut("a", strconv.Itoa(i), false, start.Add(time.Duration(i)*time.Millisecond))
	}
	got := table.Avoided([]string{"a"}, start)
	if len(got) != 64 || !slices.Contains(got, "999") || slices.Contains(got, "0") {
		t.Errorf("got %d upstreams: %q", len(got), got)
	}
}

func TestInvalidConfig(t *testing.T) {
	for _, cfg := range []kcwsuspicion.Config{{Window: time.Second}, {MaxParts: 1}} {
		_, err := kcwsuspicion.New(cfg)
		var e *kcwsuspicion.Error
		if !errors.As(err, &e) || e.Kind != kcwsuspicion.Invalid {
			t.Errorf("%+v: got %v", cfg, err)
		}
	}
}
