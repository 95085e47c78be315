package kcwallowance_test

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"kingcupwick.example/kcw/kcwallowance"
	"kingcupwick.example/kcw/kcwpb"
)

// BenchmarkSync measures one report with 24 teams, from one of several routers.
func BenchmarkSync(b *testing.B) {
	const teams = 24
	for _, routers := range []int{10, 86, 300} {
		b.Run(fmt.Sprint(routers), func(b *testing.B) {
			table := kcwallowance.New()
			document := &kcwpb.PutDocument{Version: 1}
			var reports []*kcwpb.AllowanceReport
			for team := range teams {
				name := fmt.Sprint("team-", team)
				document.Budgets = append(document.Budgets, &kcwpb.TeamBudget{Team: name, Prepaid: 1 << 40})
				reports = append(reports, &kcwpb.AllowanceReport{Team: name, Want: 1000, Needed: 10})
			}
			apply := func(command *kcwpb.FleetCommand) {
				data, err := proto.Marshal(command)
				if err != nil {
					b.Fatal(err)
				}
				table.Apply(0, data)
			}
			apply(&kcwpb.FleetCommand{Op: &kcwpb.FleetCommand_PutDocument{PutDocument: document}})
			for i := 0; b.Loop(); i++ {
				apply(&kcwpb.FleetCommand{Op: &kcwpb.FleetCommand_SyncAllowances{SyncAllowances: &kcwpb.SyncAllowances{
					Router: fmt.Sprint("router-", i%routers), Incarnation: 1, Serial: uint64(i + 1), Reports: reports,
				}}})
			}
		})
	}
}
