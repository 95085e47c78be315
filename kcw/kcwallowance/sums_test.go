package kcwallowance

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"google.golang.org/protobuf/proto"

	"kingcupwick.example/kcw/kcwpb"
)

// checkSums fails the test unless the sums stored for each budget equal the sums over
// the routers.
func checkSums(t *testing.T, table *Table) {
	t.Helper()
	for team, b := range table.budgets {
		spent, wanted, outstanding := int64(0), int64(0), b.retired
		for _, r := range table.routers {
			if held := r.teams[team]; held != nil {
				spent += held.spent
				wanted += held.want
				outstanding += held.granted - held.returned
			}
		}
		if b.spent != spent || b.wanted != wanted || b.outstanding != outstanding {
			t.Fatalf("%s: %d spent, %d wanted, %d outstanding; the sums over the routers are %d, %d, %d",
				team, b.spent, b.wanted, b.outstanding, spent, wanted, outstanding)
		}
	}
}

// TestSums applies reports in random order, restarts and changes of the document. It
// checks the sums after each command, and those of a table restored from an image.
func TestSums(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 3))
		table := New()
		incarnations := [4]uint64{1, 1, 1, 1}
		for step := range 300 {
			command := &kcwpb.FleetCommand{}
			if step == 0 || random.IntN(30) == 0 {
				put := &kcwpb.PutDocument{Version: uint64(step + 1)}
				for team := range 3 {
					put.Budgets = append(put.Budgets, &kcwpb.TeamBudget{Team: fmt.Sprint(team), Prepaid: random.Int64N(10_000)})
				}
				command.Op = &kcwpb.FleetCommand_PutDocument{PutDocument: put}
			} else {
				router := random.IntN(len(incarnations))
				if random.IntN(20) == 0 {
					incarnations[router]++
				}
				sync := &kcwpb.SyncAllowances{
					Router: fmt.Sprint("router-", router), Incarnation: incarnations[router], Serial: uint64(random.IntN(2 * step)),
					Boot: "b", Started: int64(step), Reported: int64(step), Activation: int64(step + random.IntN(40)),
				}
				for team := range 3 {
					sync.Reports = append(sync.Reports, &kcwpb.AllowanceReport{
						Team: fmt.Sprint(team), Spent: random.Int64N(3000), Returned: random.Int64N(1000), Reserved: random.Int64N(100),
						Want: random.Int64N(2000), Needed: random.Int64N(100), Limit: random.Int64N(4000),
					})
				}
				command.Op = &kcwpb.FleetCommand_SyncAllowances{SyncAllowances: sync}
			}
			data, err := proto.Marshal(command)
			if err != nil {
				t.Fatal(err)
			}
			table.Apply(0, data)
			checkSums(t, table)
		}
		var image bytes.Buffer
		if err := table.Freeze()(&image); err != nil {
			t.Fatal(err)
		}
		restored := New()
		if err := restored.Restore(&image); err != nil {
			t.Fatal(err)
		}
		checkSums(t, restored)
	}
}
