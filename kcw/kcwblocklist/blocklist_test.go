package kcwblocklist_test

import (
	"strings"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwblocklist"
	"kingcupwick.example/kcw/kcwpb"
)

var start = time.Unix(1_700_000_000, 0)

func block(parts string) *kcwpb.PartBlock { return &kcwpb.PartBlock{Parts: strings.Fields(parts)} }

// keys returns the keys of blocks, separated by spaces.
func keys(blocks []*kcwpb.PartBlock) string {
	var all []string
	for _, b := range blocks {
		all = append(all, kcwblocklist.Key(b))
	}
	return strings.Join(all, " ")
}

func TestMatch(t *testing.T) {
	l := kcwblocklist.New()
	l.SetCore(1, []*kcwpb.PartBlock{block("a"), block("b c")})
	l.AddLocal(block("d"))
	for _, test := range []struct{ parts, want string }{
		{"", ""},
		{"x y", ""},
		{"x a y", "a"},
		{"b", ""},
		{"c", ""},
		{"c x b", "b,c"},
		{"d", "d"},
	} {
		got := ""
		if b := l.Match(strings.Fields(test.parts)); b != nil {
			got = kcwblocklist.Key(b)
		}
		if got != test.want {
			t.Errorf("%q: got %q, want %q", test.parts, got, test.want)
		}
	}
}

func TestAdd(t *testing.T) {
	for _, test := range []struct {
		name   string
		blocks []*kcwpb.PartBlock
		add    string
		want   string
		added  bool
	}{
		{"the first", nil, "a", "a", true},
		{"the same", []*kcwpb.PartBlock{block("a")}, "a", "a", false},
		{"covered", []*kcwpb.PartBlock{block("a")}, "a b", "a", false},
		{"covers others", []*kcwpb.PartBlock{block("a b"), block("c"), block("a d")}, "a", "c a", true},
		{"another", []*kcwpb.PartBlock{block("a b")}, "b c", "a,b b,c", true},
	} {
		before := keys(test.blocks)
		next, added := kcwblocklist.Add(test.blocks, block(test.add))
		if keys(next) != test.want || added != test.added {
			t.Errorf("%s: got %q, %v; want %q, %v", test.name, keys(next), added, test.want, test.added)
		}
		if keys(test.blocks) != before {
			t.Errorf("%s: the given blocks changed", test.name)
		}
	}
}

func TestCoreAndLocalBlocks(t *testing.T) {
	l := kcwblocklist.New()
	if !l.AddLocal(block("a b")) || !l.AddLocal(block("c")) || l.AddLocal(block("c d")) {
		t.Error("a local block is added exactly if no other covers it")
	}
	sent := l.Local()
	if !l.AddLocal(block("e")) {
		t.Error("a block was not added after a report")
	}
	added, removed := l.SetCore(7, []*kcwpb.PartBlock{block("a b"), block("c")})
	l.DropLocal(sent)
	if keys(added) != "a,b c" || len(removed) > 0 || keys(l.Local()) != "e" {
		t.Errorf("got added %q, removed %q, local %q", keys(added), keys(removed), keys(l.Local()))
	}
	if l.AddLocal(block("c x")) {
		t.Error("a local block that the core's cover was added")
	}
	if version, blocks := l.Core(); version != 7 || len(blocks) != 2 {
		t.Errorf("got version %d, %q", version, keys(blocks))
	}
	if added, removed = l.SetCore(8, nil); len(added) > 0 || keys(removed) != "a,b c" || l.Match([]string{"c"}) != nil {
		t.Errorf("after the blocks were lifted: added %q, removed %q", keys(added), keys(removed))
	}
}

// TestTrial checks that a permission is for one request, within its time.
func TestTrial(t *testing.T) {
	l := kcwblocklist.New()
	blocked := block("a")
	l.SetCore(1, []*kcwpb.PartBlock{blocked})
	admit := func(after time.Duration, wantTrial bool) {
		t.Helper()
		if b, isTrial := l.Admit([]string{"a", "x"}, start.Add(after)); b != blocked || isTrial != wantTrial {
			t.Errorf("after %v: got %v, %v; want a trial: %v", after, b, isTrial, wantTrial)
		}
	}
	admit(0, false)
	l.AllowTrial(blocked, start.Add(time.Second))
	admit(500*time.Millisecond, true)
	admit(500*time.Millisecond, false)
	l.AllowTrial(blocked, start.Add(time.Second))
	admit(time.Second, false)
	l.AllowTrial(blocked, start.Add(time.Minute))
	l.SetCore(2, []*kcwpb.PartBlock{blocked})
	admit(time.Second, false)
	if b, isTrial := l.Admit([]string{"x"}, start); b != nil || isTrial {
		t.Error("a prompt without blocked parts is refused")
	}
}
