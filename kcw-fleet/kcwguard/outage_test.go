package kcwguard_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"kingcupwick.example/kcw/kcwdetector"
	"kingcupwick.example/kcw/kcwpb"
)

// maxOutageBytes is the size of a report, and of a state for another router, at which 300 routers
// that send four a second fill a link of 100 Mbit/s.
const maxOutageBytes = 10_000

// outage is a fleet of routers that exchange their states while the core does not answer. Each
// has own cuts.
func outage(t *testing.T, routers, cuts, others int) []*router {
	t.Helper()
	random := rand.New(rand.NewPCG(1, 48))
	var fleet []*router
	for i := range routers {
		fleet = append(fleet, newRouter(t, fmt.Sprintf("router-%d", i)))
	}
	for i := range cuts {
		for _, r := range fleet {
			r.now = r.now.Add(500 * time.Millisecond)
			name := fmt.Sprintf("%s-%032d", r.name, i)
			r.Cut(kcwdetector.Cut{Request: name, Upstream: fmt.Sprintf("i-%010d", i), Prompt: name, Parts: longPrompt(i, others), At: r.now})
			r.Begin([]string{"class", "other-" + name})
			req := r.report()
			if n := proto.Size(req); n > maxOutageBytes {
				t.Fatalf("round %d: a report has %d bytes", i, n)
			}
			r.EndReport(req, nil)
			for range 2 {
				state := fleet[random.IntN(routers)].State()
				if n := proto.Size(state); n > maxOutageBytes {
					t.Fatalf("round %d: a state for another router has %d bytes", i, n)
				}
				if err := r.MergeState(state); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
	return fleet
}

// TestReportsStaySmallWhileTheCoreIsSilent guards against reports that grow while the core does
// not answer until they fill the link of the leader.
func TestReportsStaySmallWhileTheCoreIsSilent(t *testing.T) {
	for _, others := range []int{0, 200} {
		checkReports(t, others)
	}
}

// longPrompt returns the shared parts of a prompt with a number of further ones.
func longPrompt(n, others int) []string {
	parts := []string{"class", fmt.Sprintf("subject-%08d", n)}
	for i := range others {
		parts = append(parts, fmt.Sprintf("part-%04d-%04d", n, i))
	}
	return parts
}

func checkReports(t *testing.T, others int) {
	t.Helper()
	const routers, cuts = 20, 12
	// A report holds one cut of a long prompt.
	maxReports := map[bool]int{false: 40, true: routers * cuts}[others > 0]
	fleet := outage(t, routers, cuts, others)
	known := map[string]bool{}
	for _, collector := range []uint64{1, 2} {
		clear(known)
		reports := 0
		for ; len(known) < routers*cuts && reports < maxReports; reports++ {
			for _, r := range fleet {
				req := r.report()
				if n := proto.Size(req); n > maxOutageBytes {
					t.Fatalf("collector %d, report %d has %d bytes", collector, reports, n)
				}
				for _, c := range req.GetEvidence().GetCuts() {
					known[c.GetRequest()] = true
				}
				r.EndReport(req, &kcwpb.FleetSyncResponse{Collector: collector})
			}
		}
		if len(known) < routers*cuts {
			t.Errorf("collector %d has %d of %d cuts after %d reports of each router", collector, len(known), routers*cuts, reports)
		}
	}
}

// TestKnownCutsAreNotReported checks that a router leaves out cuts that the core has passed on.
func TestKnownCutsAreNotReported(t *testing.T) {
	r := newRouter(t, "r")
	r.EndReport(r.report(), &kcwpb.FleetSyncResponse{Collector: 1})
	r.cut()
	r.cut()
	req := r.report()
	known := req.GetEvidence().GetCuts()[0]
	r.EndReport(req, nil)
	r.EndReport(&kcwpb.FleetSyncRequest{}, &kcwpb.FleetSyncResponse{Collector: 1, Cuts: []*kcwpb.CutAttempt{known}})
	cuts := r.report().GetEvidence().GetCuts()
	if len(cuts) != 1 || cuts[0].GetRequest() == known.GetRequest() {
		t.Errorf("the report has %v", cuts)
	}
}
