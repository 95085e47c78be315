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
		t.Error("a malformed command has no result")
	}
}

func TestGrants(t *testing.T) {
	table := kcwallowance.New()
	apply(t, table, put(1, 1000))
	for _, step := range []struct {
		name                        string
		command                     *kcwpb.FleetCommand
		code                        kcwpb.Code
		granted, available, unspent int64
	}{
		{"a part of a small budget", sync("r", 1, 1, &kcwpb.AllowanceReport{Want: 900}), kcwpb.Code_CODE_OK, 300, 700, 1000},
		{"a repeated report grants nothing", sync("r", 1, 1, &kcwpb.AllowanceReport{Want: 2000}), kcwpb.Code_CODE_OK, 300, 700, 1000},
		{"spent tokens are replaced", sync("r", 1, 2, &kcwpb.AllowanceReport{Want: 200, Spent: 200}), kcwpb.Code_CODE_OK, 400, 600, 800},
		{"reserved tokens are not free", sync("r", 1, 3, &kcwpb.AllowanceReport{Want: 200, Spent: 200, Reserved: 100}), kcwpb.Code_CODE_OK, 500, 500, 800},
		{"returned", sync("r", 1, 4, &kcwpb.AllowanceReport{Spent: 300, Returned: 200}), kcwpb.Code_CODE_OK, 500, 700, 700},
		{"an old report lowers no total", sync("r", 1, 3, &kcwpb.AllowanceReport{Spent: 50, Returned: 0}), kcwpb.Code_CODE_OK, 500, 700, 700},
		{"all for one request", sync("q", 1, 1, &kcwpb.AllowanceReport{Want: 650, Least: 650, Needed: 650}), kcwpb.Code_CODE_OK, 650, 50, 700},
		{"too little for all waiting requests", sync("o", 1, 1, &kcwpb.AllowanceReport{Want: 90, Least: 30, Needed: 90}), kcwpb.Code_CODE_OK, 50, 0, 700},
		{"too little for one request", sync("p", 1, 1, &kcwpb.AllowanceReport{Want: 200, Least: 200, Needed: 200}), kcwpb.Code_CODE_OK, 0, 0, 700},
		{"a restart loses the tokens held", sync("q", 2, 1, &kcwpb.AllowanceReport{Want: 0}), kcwpb.Code_CODE_OK, 0, 0, 50},
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
		if a.GetGranted() != step.granted || a.GetAvailable() != step.available || a.GetUnspent() != step.unspent {
			t.Errorf("%s: granted %d, available %d, unspent %d; want %d, %d, %d", step.name, a.GetGranted(), a.GetAvailable(), a.GetUnspent(), step.granted, step.available, step.unspent)
		}
	}
}

// TestShares checks that routers get shares in proportion to the tokens that they request,
// if together they request more than they may hold.
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
				t.Errorf("router %s requests %d tokens and has a share of %d, want half", r.name, r.want, share)
			}
		}
	}
}

// TestRestart checks how many tokens of a router come back when it restarts. The router
// held 300 of 1000 tokens with a limit of 100; all were active at an uptime of 100.
func TestRestart(t *testing.T) {
	for _, test := range []struct {
		name    string
		boot    string
		started int64
		span    int64
		want    int64
	}{
		{"before the tokens become active at once", "b", 99, 0, 900},
		{"when the tokens become active at once", "b", 100, 0, 700},
		{"when the tokens begin to become active", "b", 60, 40, 900},
		{"when a quarter is active", "b", 70, 40, 850},
		{"when nearly all are active", "b", 99, 40, 705},
		{"when all are active", "b", 100, 40, 700},
		{"after a reboot", "c", 50, 0, 700},
		{"after a reboot with an unchanged boot ID", "b", 39, 0, 700},
		{"without a boot ID", "", 50, 0, 700},
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

// routerView is the state that a router process holds of its own tokens. Times are
// uptimes of its host.
type routerView struct {
	name                            string
	incarnation, serial             uint64
	granted, returned, spent, limit int64
	started, activation, span       int64
}

// usable returns the tokens that the router may use at the uptime now.
func (r *routerView) usable(now int64) int64 {
	held, active := r.granted-r.returned, min(r.limit, r.granted-r.returned)
	switch since := r.activation - r.span; {
	case now >= r.activation:
		active = held
	case now > since && held > r.limit:
		active += (held - r.limit) * (now - since) / r.span
	}
	return active - r.spent
}

// TestNeverOverspent checks that routers never use more than the prepaid tokens while
// they spend, return and restart, messages are lost or repeated, and the budget changes.
func TestNeverOverspent(t *testing.T) {
	// activateAfter is the time without an answer after which all tokens are active.
	const activateAfter = 20
	for seed := range uint64(300) {
		// In two of three histories tokens become active in proportion to the time; in the
		// third, all at once.
		span := int64(seed%3) * activateAfter / 2
		random := rand.New(rand.NewPCG(seed, 1))
		table := kcwallowance.New()
		prepaid, version := int64(1000), uint64(1)
		apply(t, table, put(version, prepaid))
		routers := []*routerView{{name: "x", span: span}, {name: "y", span: span}, {name: "z", span: span}}
		var sent []*kcwpb.FleetCommand
		var used, now int64
		for range 400 {
			now += random.Int64N(4)
			r := routers[random.IntN(len(routers))]
			switch random.IntN(7) {
			case 0:
				if random.IntN(4) == 0 {
					*r = routerView{name: r.name, incarnation: r.incarnation + 1, started: now, activation: now + activateAfter, span: span}
				}
			case 1, 2:
				if amount := random.Int64N(60); amount <= r.usable(now) {
					r.spent += amount
					used += amount
				}
			case 3:
				if free := r.usable(now); free > 0 {
					r.returned += random.Int64N(free + 1)
				}
			case 4:
				if len(sent) > 0 {
					apply(t, table, sent[random.IntN(len(sent))])
				}
			case 5:
				if random.IntN(10) == 0 {
					version++
					prepaid += random.Int64N(300)
					apply(t, table, put(version, prepaid))
				}
			default:
				r.serial++
				limit := r.spent + random.Int64N(60)
				command := sync(r.name, r.incarnation, r.serial, &kcwpb.AllowanceReport{
					Returned: r.returned, Spent: r.spent, Want: random.Int64N(500), Least: random.Int64N(100), Needed: random.Int64N(200), Limit: limit,
				})
				r.limit = min(r.limit, limit)
				s := command.GetSyncAllowances()
				s.Boot, s.Started, s.Activation, s.Span, s.Reported = "b", r.started, r.activation, r.span, now
				sent = append(sent, command)
				result := apply(t, table, command)
				if len(result.GetAllowances()) == 1 && random.IntN(4) > 0 {
					r.granted = max(r.granted, result.GetAllowances()[0].GetGranted())
					r.limit, r.activation = limit, now+activateAfter
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
	var restoredImage bytes.Buffer
	if err := restored.Freeze()(&restoredImage); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(image.Bytes(), restoredImage.Bytes()) {
		t.Error("the image of the restored table differs")
	}
	command := sync("r", 2, 2, &kcwpb.AllowanceReport{Want: 300})
	if a, b := apply(t, table, command), apply(t, restored, command); !proto.Equal(a, b) {
		t.Errorf("the restored table answers %v, want %v", b, a)
	}
	if err := restored.Restore(strings.NewReader("\xff")); err == nil || restored.Version() != 4 {
		t.Errorf("a damaged image gives error %v and version %d", err, restored.Version())
	}
}

// TestBlocks checks that blocks replace those that they are based on, and outlast a
// snapshot.
func TestBlocks(t *testing.T) {
	putBlocks := func(base uint64, parts ...string) *kcwpb.FleetCommand {
		op := &kcwpb.PutBlocks{Base: base}
		for _, part := range parts {
			op.Blocks = append(op.Blocks, &kcwpb.PartBlock{Parts: []string{part}})
		}
		return &kcwpb.FleetCommand{Op: &kcwpb.FleetCommand_PutBlocks{PutBlocks: op}}
	}
	table := kcwallowance.New()
	for _, test := range []struct {
		command *kcwpb.FleetCommand
		code    kcwpb.Code
		blocks  int
		version uint64
	}{
		{putBlocks(0, "a"), kcwpb.Code_CODE_OK, 1, 1},
		{putBlocks(0, "b", "c", "d"), kcwpb.Code_CODE_REPEATED, 1, 1},
		{putBlocks(1, "a", "b"), kcwpb.Code_CODE_OK, 2, 2},
		{putBlocks(1), kcwpb.Code_CODE_REPEATED, 2, 2},
	} {
		result := apply(t, table, test.command)
		if blocks, version := table.Blocks(); result.GetCode() != test.code || len(blocks) != test.blocks || version != test.version {
			t.Errorf("%v: got %v, %d blocks, version %d", test.command, result.GetCode(), len(blocks), version)
		}
	}
	var image bytes.Buffer
	if err := table.Freeze()(&image); err != nil {
		t.Fatal(err)
	}
	restored := kcwallowance.New()
	if err := restored.Restore(&image); err != nil {
		t.Fatal(err)
	}
	if blocks, version := restored.Blocks(); len(blocks) != 2 || version != 2 || blocks[1].GetParts()[0] != "b" {
		t.Errorf("restored: got %v, version %d", blocks, version)
	}
	if result := apply(t, restored, putBlocks(2)); result.GetCode() != kcwpb.Code_CODE_OK {
		t.Errorf("after the restore: got %v", result.GetCode())
	}
}
