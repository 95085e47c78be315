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
		free, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		seed = free
	}
	t.Logf("seed %d", seed)
	p := gopter.DefaultTestParametersWithSeed(seed)
	p.MinSuccessfulTests = runs
	return p
}

// Election safety, log matching, leader completeness, state machine safety and
// fresh reads hold under any schedule of lost, late, repeated and reordered
// messages, one-way cuts, and crashes that lose what was not saved; and once
// all is healed the group makes progress.
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
			if s.violation == "" && !s.settle() {
				s.fail("no progress after the heal")
			}
			return s.violation
		},
		gen.Int64(), gen.OneConstOf(3, 5),
	))
	properties.TestingRun(t)
}
