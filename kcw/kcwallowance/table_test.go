package kcwallowance_test

import (
	"bytes"
	"math/rand/v2"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"kingcupwick.example/kcw/kcwallowance"
	"kingcupwick.example/kcw/kcwpb"
)

func apply(t *testing.T, table *kcwallowance.Table, command *kcwpb.FleetCommand) *kcwpb.FleetResult {
	t.Helper()
	data, err := proto.Marshal(command)
	if err != nil {
		t.Fatal(err)
	}
	result := &kcwpb.FleetResult{}
	if err := proto.Unmarshal(table.Apply(0, data), result); err != nil {
		t.Fatal(err)
	}
	return result
}

func put(version uint64, prepaid int64) *kcwpb.FleetCommand {
	return &kcwpb.FleetCommand{Op: &kcwpb.FleetCommand_PutDocument{PutDocument: &kcwpb.PutDocument{
		Version: version, Document: []byte{byte(version)}, Budgets: []*kcwpb.TeamBudget{{Team: "a", Prepaid: prepaid}},
	}}}
}

func sync(router string, incarnation, serial uint64, report *kcwpb.AllowanceReport) *kcwpb.FleetCommand {
	report.Team = "a"
	return &kcwpb.FleetCommand{Op: &kcwpb.FleetCommand_SyncAllowances{SyncAllowances: &kcwpb.SyncAllowances{
		Router: router, Incarnation: incarnation, Serial: serial, Reports: []*kcwpb.AllowanceReport{report},
	}}}
}

func TestDocument(t *testing.T) {
	table := kcwallowance.New()
	for _, test := range []struct {
		version uint64
		code    kcwpb.Code
		want    uint64
	}{
		{3, kcwpb.Code_CODE_OK, 3},
		{2, kcwpb.Code_CODE_REPEATED, 3},
		{3, kcwpb.Code_CODE_REPEATED, 3},
		{9, kcwpb.Code_CODE_OK, 9},
	} {
		result := apply(t, table, put(test.version, 100))
		if result.GetCode() != test.code || table.Version() != test.want {
			t.Errorf("version %d: code %v and version %d, want %v and %d", test.version, result.GetCode(), table.Version(), test.code, test.want)
		}
	}
	if got := table.Apply(0, []byte{0xff}); len(got) == 0 {
		t.Error("a damaged command has no result")
	}
}

func TestGrants(t *testing.T) {
	table := kcwallowance.New()
	apply(t, table, put(1, 1000))
	for _, step := range []struct {
		name                string
		command             *kcwpb.FleetCommand
		code                kcwpb.Code
		granted, free, left int64
	}{
		{"a quarter at a time", sync("r", 1, 1, &kcwpb.AllowanceReport{Want: 900}), kcwpb.Code_CODE_OK, 250, 750, 1000},
		{"what it holds counts", sync("r", 1, 2, &kcwpb.AllowanceReport{Want: 300}), kcwpb.Code_CODE_OK, 300, 700, 1000},
		{"a late copy grants nothing", sync("r", 1, 2, &kcwpb.AllowanceReport{Want: 900}), kcwpb.Code_CODE_OK, 300, 700, 1000},
		{"spent is replaced", sync("r", 1, 3, &kcwpb.AllowanceReport{Want: 300, Spent: 100}), kcwpb.Code_CODE_OK, 400, 600, 900},
		{"returned", sync("r", 1, 4, &kcwpb.AllowanceReport{Spent: 100, Returned: 200}), kcwpb.Code_CODE_OK, 400, 800, 900},
		{"an old report takes nothing back", sync("r", 1, 3, &kcwpb.AllowanceReport{Spent: 50, Returned: 0}), kcwpb.Code_CODE_OK, 400, 800, 900},
		{"all for one request", sync("q", 1, 1, &kcwpb.AllowanceReport{Want: 700, Least: 700}), kcwpb.Code_CODE_OK, 700, 100, 900},
		{"too little for one request", sync("p", 1, 1, &kcwpb.AllowanceReport{Want: 200, Least: 200}), kcwpb.Code_CODE_OK, 0, 100, 900},
		{"a restart loses what was held", sync("q", 2, 1, &kcwpb.AllowanceReport{Want: 0}), kcwpb.Code_CODE_OK, 0, 100, 200},
		{"the old incarnation is fenced", sync("q", 1, 2, &kcwpb.AllowanceReport{Want: 100, Returned: 700}), kcwpb.Code_CODE_FENCED, 0, 0, 0},
	} {
		result := apply(t, table, step.command)
		if result.GetCode() != step.code {
			t.Errorf("%s: code %v, want %v", step.name, result.GetCode(), step.code)
			continue
		}
		if step.code != kcwpb.Code_CODE_OK {
			continue
		}
		a := result.GetAllowances()[0]
		if a.GetGranted() != step.granted || a.GetAvailable() != step.free || a.GetUnspent() != step.left {
			t.Errorf("%s: granted %d, available %d, unspent %d; want %d, %d, %d", step.name, a.GetGranted(), a.GetAvailable(), a.GetUnspent(), step.granted, step.free, step.left)
		}
	}
}

// A router's own view, as in a process: what it may still use.
type holder struct {
	name                     string
	incarnation, serial      uint64
	granted, returned, spent int64
}

// TestNeverOverspent plays routers that spend, return, restart and lose or
// repeat messages, while the budget changes.
func TestNeverOverspent(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		table := kcwallowance.New()
		prepaid, version := int64(1000), uint64(1)
		apply(t, table, put(version, prepaid))
		holders := []*holder{{name: "x"}, {name: "y"}, {name: "z"}}
		var old []*kcwpb.FleetCommand
		var used int64
		for range 300 {
			h := holders[random.IntN(len(holders))]
			switch random.IntN(6) {
			case 0:
				*h = holder{name: h.name, incarnation: h.incarnation + 1}
			case 1:
				amount := random.Int64N(60)
				if amount <= h.granted-h.returned-h.spent {
					h.spent += amount
					used += amount
				}
			case 2:
				h.returned += random.Int64N(h.granted - h.returned - h.spent + 1)
			case 3:
				if len(old) > 0 {
					apply(t, table, old[random.IntN(len(old))])
				}
			case 4:
				if random.IntN(10) == 0 {
					version++
					prepaid += random.Int64N(300)
					apply(t, table, put(version, prepaid))
				}
			default:
				h.serial++
				command := sync(h.name, h.incarnation, h.serial, &kcwpb.AllowanceReport{
					Returned: h.returned, Spent: h.spent, Want: random.Int64N(500), Least: random.Int64N(100),
				})
				old = append(old, command)
				result := apply(t, table, command)
				if len(result.GetAllowances()) == 1 && random.IntN(4) > 0 {
					h.granted = max(h.granted, result.GetAllowances()[0].GetGranted())
				}
			}
			if used > prepaid {
				t.Fatalf("seed %d: %d of %d prepaid tokens used", seed, used, prepaid)
			}
		}
	}
}

func TestImage(t *testing.T) {
	table := kcwallowance.New()
	apply(t, table, put(4, 1000))
	apply(t, table, sync("r", 1, 1, &kcwpb.AllowanceReport{Want: 200}))
	apply(t, table, sync("r", 2, 1, &kcwpb.AllowanceReport{Want: 100, Spent: 5}))
	var image bytes.Buffer
	if err := table.Freeze()(&image); err != nil {
		t.Fatal(err)
	}
	restored := kcwallowance.New()
	if err := restored.Restore(bytes.NewReader(image.Bytes())); err != nil {
		t.Fatal(err)
	}
	var again bytes.Buffer
	if err := restored.Freeze()(&again); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(image.Bytes(), again.Bytes()) {
		t.Error("the restored table has another image")
	}
	command := sync("r", 2, 2, &kcwpb.AllowanceReport{Want: 300})
	if a, b := apply(t, table, command), apply(t, restored, command); !proto.Equal(a, b) {
		t.Errorf("the restored table answers %v, want %v", b, a)
	}
	if err := restored.Restore(strings.NewReader("\xff")); err == nil || restored.Version() != 4 {
		t.Errorf("a damaged image gives error %v and version %d", err, restored.Version())
	}
}
