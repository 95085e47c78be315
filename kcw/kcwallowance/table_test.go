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
		{"a part of a small budget", sync("r", 1, 1, &kcwpb.AllowanceReport{Want: 900}), kcwpb.Code_CODE_OK, 300, 700, 1000},
		{"a late copy grants nothing", sync("r", 1, 1, &kcwpb.AllowanceReport{Want: 2000}), kcwpb.Code_CODE_OK, 300, 700, 1000},
		{"spent is replaced", sync("r", 1, 2, &kcwpb.AllowanceReport{Want: 200, Spent: 200}), kcwpb.Code_CODE_OK, 400, 600, 800},
		{"reserved is not free", sync("r", 1, 3, &kcwpb.AllowanceReport{Want: 200, Spent: 200, Reserved: 100}), kcwpb.Code_CODE_OK, 500, 500, 800},
		{"returned", sync("r", 1, 4, &kcwpb.AllowanceReport{Spent: 300, Returned: 200}), kcwpb.Code_CODE_OK, 500, 700, 700},
		{"an old report takes nothing back", sync("r", 1, 3, &kcwpb.AllowanceReport{Spent: 50, Returned: 0}), kcwpb.Code_CODE_OK, 500, 700, 700},
		{"all for one request", sync("q", 1, 1, &kcwpb.AllowanceReport{Want: 650, Least: 650, Needed: 650}), kcwpb.Code_CODE_OK, 650, 50, 700},
		{"too little for all that wait", sync("o", 1, 1, &kcwpb.AllowanceReport{Want: 90, Least: 30, Needed: 90}), kcwpb.Code_CODE_OK, 50, 0, 700},
		{"too little for one request", sync("p", 1, 1, &kcwpb.AllowanceReport{Want: 200, Least: 200, Needed: 200}), kcwpb.Code_CODE_OK, 0, 0, 700},
		{"a restart loses what was held", sync("q", 2, 1, &kcwpb.AllowanceReport{Want: 0}), kcwpb.Code_CODE_OK, 0, 0, 50},
		{"the old incarnation is fenced", sync("q", 1, 2, &kcwpb.AllowanceReport{Want: 100, Returned: 650}), kcwpb.Code_CODE_FENCED, 0, 0, 0},
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

// TestShares checks that routers that want more than there is get parts by what
// they want.
func TestShares(t *testing.T) {
	table := kcwallowance.New()
	apply(t, table, put(1, 1000))
	for serial := range uint64(3) {
		for _, r := range []struct {
			name string
			want int64
		}{{"x", 450}, {"y", 150}} {
			result := apply(t, table, sync(r.name, 1, serial+1, &kcwpb.AllowanceReport{Want: r.want}))
			if share := result.GetAllowances()[0].GetShare(); serial > 0 && share != r.want/2 {
				t.Errorf("router %s wants %d and should hold %d, want half", r.name, r.want, share)
			}
		}
	}
}

// TestRestart checks how much of what a router held comes back when it restarts. It
// held 300 of 1000 tokens with a limit of 100, all active at 100.
func TestRestart(t *testing.T) {
	for _, test := range []struct {
		name    string
		boot    string
		started int64
		span    int64
		want    int64
	}{
		{"before its allowances became active", "b", 99, 0, 900},
		{"after they may have become active", "b", 100, 0, 700},
		{"as they began to become active", "b", 60, 40, 900},
		{"when a quarter was active", "b", 70, 40, 850},
		{"when nearly all was active", "b", 99, 40, 705},
		{"when all was active", "b", 100, 40, 700},
		{"the host was booted", "c", 50, 0, 700},
		{"the host was booted, and its clock has gone back", "b", 39, 0, 700},
		{"the boot is not known", "", 50, 0, 700},
	} {
		table := kcwallowance.New()
		apply(t, table, put(1, 1000))
		first := sync("r", 1, 1, &kcwpb.AllowanceReport{Want: 500, Limit: 100})
		first.GetSyncAllowances().Boot, first.GetSyncAllowances().Activation = "b", 100
		first.GetSyncAllowances().Reported, first.GetSyncAllowances().Span = 40, test.span
		apply(t, table, first)
		table = restored(t, table)
		next := sync("r", 2, 1, &kcwpb.AllowanceReport{})
		next.GetSyncAllowances().Boot, next.GetSyncAllowances().Started = test.boot, test.started
		if got := apply(t, table, next).GetAllowances()[0].GetAvailable(); got != test.want {
			t.Errorf("%s: %d of 1000 tokens are available, want %d", test.name, got, test.want)
		}
	}
}

// holder is a router's own view, as in a process: what it may still use, and by
// the time since its host's boot, when all that it holds.
type holder struct {
	name                            string
	incarnation, serial             uint64
	granted, returned, spent, limit int64
	started, activation, span       int64
}

// mayUse returns the tokens that h may use at now.
func (h *holder) mayUse(now int64) int64 {
	held, active := h.granted-h.returned, min(h.limit, h.granted-h.returned)
	switch since := h.activation - h.span; {
	case now >= h.activation:
		active = held
	case now > since && held > h.limit:
		active += (held - h.limit) * (now - since) / h.span
	}
	return active - h.spent
}

// TestNeverOverspent plays routers that spend, return, restart and lose or
// repeat messages, while the budget changes.
func TestNeverOverspent(t *testing.T) {
	const standby = 20
	for seed := range uint64(300) {
		// In two of three histories tokens become active in proportion to the time.
		span := int64(seed%3) * standby / 2
		random := rand.New(rand.NewPCG(seed, 1))
		table := kcwallowance.New()
		prepaid, version := int64(1000), uint64(1)
		apply(t, table, put(version, prepaid))
		holders := []*holder{{name: "x", span: span}, {name: "y", span: span}, {name: "z", span: span}}
		var old []*kcwpb.FleetCommand
		var used, now int64
		for range 400 {
			now += random.Int64N(4)
			h := holders[random.IntN(len(holders))]
			switch random.IntN(7) {
			case 0:
				if random.IntN(4) == 0 {
					*h = holder{name: h.name, incarnation: h.incarnation + 1, started: now, activation: now + standby, span: span}
				}
			case 1, 2:
				if amount := random.Int64N(60); amount <= h.mayUse(now) {
					h.spent += amount
					used += amount
				}
			case 3:
				if free := h.mayUse(now); free > 0 {
					h.returned += random.Int64N(free + 1)
				}
			case 4:
				if len(old) > 0 {
					apply(t, table, old[random.IntN(len(old))])
				}
			case 5:
				if random.IntN(10) == 0 {
					version++
					prepaid += random.Int64N(300)
					apply(t, table, put(version, prepaid))
				}
			default:
				h.serial++
				limit := h.spent + random.Int64N(60)
				command := sync(h.name, h.incarnation, h.serial, &kcwpb.AllowanceReport{
					Returned: h.returned, Spent: h.spent, Want: random.Int64N(500), Least: random.Int64N(100), Needed: random.Int64N(200), Limit: limit,
				})
				h.limit = min(h.limit, limit)
				s := command.GetSyncAllowances()
				s.Boot, s.Started, s.Activation, s.Span, s.Reported = "b", h.started, h.activation, h.span, now
				old = append(old, command)
				result := apply(t, table, command)
				if len(result.GetAllowances()) == 1 && random.IntN(4) > 0 {
					h.granted = max(h.granted, result.GetAllowances()[0].GetGranted())
					h.limit, h.activation = limit, now+standby
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
