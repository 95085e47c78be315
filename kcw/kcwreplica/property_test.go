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
// reordered messages, one-way network failures, and crashes that lose unsaved
// state. Once all faults are repaired, the group makes progress.
func TestSafetyUnderRandomSchedules(t *testing.T) {
	const steps = 3000
	properties := gopter.NewProperties(parameters(t, 1, 400))
	properties.Property("no violation", prop.ForAll(
		func(seed int64, n int) string {
			s := newSim(seed, n)
			for range steps {
				s.step()
				if s.violation != "" {
					return s.violation
				}
			}
			s.checkLogs()
			if s.violation == "" && !s.recovers() {
				s.fail("no progress after all faults were repaired")
			}
			return s.violation
		},
		gen.Int64(), gen.OneConstOf(3, 5),
	))
	properties.TestingRun(t)
}
