package kcwreplica

import (
	"os"
	"strconv"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// parameters returns gopter's parameters with a fixed seed, or KCW_SEED.
func parameters(t *testing.T, seed int64, runs int) *gopter.TestParameters {
	if text := os.Getenv("KCW_SEED"); text != "" {
		parsed, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		seed = parsed
	}
	t.Logf("seed %d", seed)
	p := gopter.DefaultTestParametersWithSeed(seed)
	p.MinSuccessfulTests = runs
	return p
}

// Election safety, log matching, leader completeness, state machine safety and
// reads that are not stale hold under any schedule of lost, delayed, repeated and
// reordered messages, one-way network failures, crashes that lose unsaved state, and
// membership changes, replacements among them, that any of these interrupts. Once all
// faults are repaired, the group makes progress.
func TestSafetyUnderRandomSchedules(t *testing.T) {
	const (
		steps      = 3000
		spareSteps = 1000
	)
	var started, completed, inherited, demoted int
	properties := gopter.NewProperties(parameters(t, 1, 800))
	properties.Property("no violation", prop.ForAll(
		func(seed int64, n, spares int) string {
			s := newSim(seed, n)
			for id := n + 1; id <= n+spares; id++ {
				s.addNode(uint64(id))
			}
			for range steps + spares*spareSteps {
				s.step()
				if s.violation != "" {
					return s.violation
				}
			}
			s.checkLogs()
			if s.violation == "" && !s.recovers() {
				s.fail("no progress after all faults were repaired")
			}
			started, completed = started+s.started, completed+s.completed
			inherited, demoted = inherited+s.inherited, demoted+s.demoted
			return s.violation
		},
		gen.Int64(), gen.OneConstOf(3, 5), gen.OneConstOf(0, 2),
	))
	properties.TestingRun(t)
	t.Logf("%d replacements started, %d completed, %d of them by another leader; %d demotions", started, completed, inherited, demoted)
	if completed == 0 || inherited == 0 || demoted == 0 {
		t.Error("the schedules lack a replacement, one completed by another leader, or a demotion")
	}
}
