package kcwguard_test

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"kingcupwick.example/kcw-fleet/kcwguard"
	"kingcupwick.example/kcw-fleet/kcwsetup"
	"kingcupwick.example/kcw/kcwdetector"
	"kingcupwick.example/kcw/kcwpb"
)

// router is a Guard with a clock.
type router struct {
	*kcwguard.Guard
	now time.Time
	// serial numbers the requests.
	serial int
	name   string
}

func newRouter(t testing.TB, name string) *router {
	t.Helper()
	r := &router{now: time.Unix(1_700_000_000, 0), name: name}
	parts := kcwsetup.Parts{MinMoments: 3, MinPrompts: 3, Window: 10 * time.Minute, TrialAfter: 10 * time.Minute}
	var err error
	if r.Guard, err = kcwguard.New(kcwguard.Config{Router: name, Detector: parts.Detector(), Now: func() time.Time { return r.now }}); err != nil {
		t.Fatal(err)
	}
	return r
}

// cut records a cut of a new prompt with the crashing part at a new upstream.
func (r *router) cut() {
	r.serial++
	n := r.name + strconv.Itoa(r.serial)
	r.Cut(kcwdetector.Cut{Request: n, Upstream: "u" + n, Prompt: n, Parts: []string{"class", "crashing"}, At: r.now})
}

// serve records answers to prompts without the crashing part.
func (r *router) serve(answers int) {
	for i := range answers {
		parts := []string{"class", fmt.Sprintf("subject%d", i)}
		r.Begin(parts)
		r.Complete(parts, true, r.now)
	}
}

// report returns the router's report.
func (r *router) report() *kcwpb.FleetSyncRequest {
	req := &kcwpb.FleetSyncRequest{}
	r.Report(req)
	return req
}

var crashingBlock = &kcwpb.PartBlock{Parts: []string{"crashing"}}

func TestReport(t *testing.T) {
	r := newRouter(t, "r")
	if req := r.report(); req.GetEvidence() != nil {
		t.Errorf("a report without evidence has %v", req.GetEvidence())
	}
	r.EndReport(&kcwpb.FleetSyncRequest{}, &kcwpb.FleetSyncResponse{Collector: 1})
	r.cut()
	r.serve(3)
	r.now = r.now.Add(100 * time.Millisecond)
	lost := r.report()
	r.EndReport(lost, nil)
	r.serve(2)
	r.now = r.now.Add(100 * time.Millisecond)
	req := r.report()
	cuts := req.GetEvidence().GetCuts()
	if len(cuts) != 1 || time.Duration(cuts[0].GetAgeNanos()) != 200*time.Millisecond || req.GetEvidence().GetAnswers() != 5 {
		t.Errorf("after a lost report: got %v", req.GetEvidence())
	}
	for _, b := range req.GetEvidence().GetBegun() {
		if b.GetWholeAgeNanos() == 0 {
			t.Errorf("%s: the whole answers are not reported", b.GetPart())
		}
		want := map[string]uint32{"class": 5, "subject0": 2, "subject1": 2, "subject2": 1}[b.GetPart()]
		if b.GetAnswers() != want {
			t.Errorf("%s: got %d answers, want %d", b.GetPart(), b.GetAnswers(), want)
		}
	}
	r.EndReport(req, &kcwpb.FleetSyncResponse{Collector: 1})
	if req := r.report(); req.GetEvidence() != nil {
		t.Errorf("acknowledged evidence is sent again: %v", req.GetEvidence())
	}
	r.EndReport(&kcwpb.FleetSyncRequest{}, &kcwpb.FleetSyncResponse{Collector: 2})
	if req := r.report(); len(req.GetEvidence().GetCuts()) != 1 {
		t.Errorf("another collector gets %v, want the cut", req.GetEvidence())
	}
}

// TestAvoided checks which upstreams a router avoids for a part: those of its own cuts and of
// those that the core or another router passes on, until an answer to a prompt with it begins.
func TestAvoided(t *testing.T) {
	parts := []string{"class", "crashing"}
	cut := func(upstream string, age time.Duration) *kcwpb.CutAttempt {
		return &kcwpb.CutAttempt{Request: "q", Upstream: upstream, Parts: parts, AgeNanos: int64(age)}
	}
	for _, test := range []struct {
		name string
		act  func(r *router)
		want []string
	}{
		{"none", func(*router) {}, nil},
		{"an own cut", func(r *router) { r.cut() }, []string{"ur1"}},
		{"the core's cuts", func(r *router) {
			r.EndReport(&kcwpb.FleetSyncRequest{}, &kcwpb.FleetSyncResponse{CutsVersion: 2, Cuts: []*kcwpb.CutAttempt{cut("v", 0), cut("w", 0)}})
		}, []string{"v", "w"}},
		{"another router's cut", func(r *router) {
			if err := r.MergeState(&kcwpb.PartState{Evidence: &kcwpb.PartEvidence{Cuts: []*kcwpb.CutAttempt{cut("v", 0)}}}); err != nil {
				t.Error(err)
			}
		}, []string{"v"}},
		{"an answer since", func(r *router) {
			r.cut()
			r.now = r.now.Add(time.Second)
			r.Begin([]string{"crashing"})
			r.Begin([]string{"class"})
		}, nil},
		{"an answer that has begun since a cut within one", func(r *router) {
			within := cut("v", 0)
			within.Begun = true
			r.EndReport(&kcwpb.FleetSyncRequest{}, &kcwpb.FleetSyncResponse{Cuts: []*kcwpb.CutAttempt{within}})
			r.now = r.now.Add(time.Second)
			r.Begin(parts)
			r.Complete(parts, false, r.now)
		}, []string{"v"}},
		{"a whole answer since a cut within one", func(r *router) {
			within := cut("v", 0)
			within.Begun = true
			r.EndReport(&kcwpb.FleetSyncRequest{}, &kcwpb.FleetSyncResponse{Cuts: []*kcwpb.CutAttempt{within}})
			r.now = r.now.Add(time.Second)
			r.Complete(parts, true, r.now)
		}, nil},
		{"an answer between a cut and the news of it", func(r *router) {
			r.Begin(parts)
			r.EndReport(&kcwpb.FleetSyncRequest{}, &kcwpb.FleetSyncResponse{Cuts: []*kcwpb.CutAttempt{cut("v", time.Second)}})
		}, nil},
	} {
		r := newRouter(t, "r")
		test.act(r)
		if got := r.Avoided(parts); !slices.Equal(got, test.want) {
			t.Errorf("%s: got %q, want %q", test.name, got, test.want)
		}
	}
}

// TestReportStatesVersionOfCuts checks that a router gets each cut of the others once, also from
// another collector.
func TestReportStatesVersionOfCuts(t *testing.T) {
	r := newRouter(t, "r")
	for _, version := range []uint64{7, 9, 2} {
		r.EndReport(&kcwpb.FleetSyncRequest{}, &kcwpb.FleetSyncResponse{CutsVersion: version})
		if got := r.report().GetCutsVersion(); got != version {
			t.Errorf("got version %d, want %d", got, version)
		}
	}
}

// TestCallersDoNotSpoilReports checks that the core takes the reports of a router whatever
// identities its callers choose.
func TestCallersDoNotSpoilReports(t *testing.T) {
	for _, test := range []struct {
		name string
		cut  kcwdetector.Cut
		cuts int
	}{
		{"long", kcwdetector.Cut{Request: strings.Repeat("x", 5000), Upstream: "u", Prompt: strings.Repeat("y", 5000), Parts: []string{"a"}}, 1},
		{"not UTF-8", kcwdetector.Cut{Request: "\xff", Upstream: "u", Prompt: "\xfe", Parts: []string{"a"}}, 1},
		{"no prompt", kcwdetector.Cut{Request: "r", Upstream: "u", Parts: []string{"a"}}, 1},
		{"no request", kcwdetector.Cut{Upstream: "u", Prompt: "p", Parts: []string{"a"}}, 0},
		{"long upstream", kcwdetector.Cut{Request: "r", Upstream: strings.Repeat("x", 5000), Prompt: "p", Parts: []string{"a"}}, 0},
		{"part not UTF-8", kcwdetector.Cut{Request: "r", Upstream: "u", Prompt: "p", Parts: []string{"\xff"}}, 0},
		{"many parts", kcwdetector.Cut{Request: "r", Upstream: "u", Prompt: "p", Parts: strings.Split(strings.Repeat("a,", kcwdetector.MaxParts)+"a", ",")}, 0},
	} {
		r := newRouter(t, "r")
		r.cut()
		test.cut.At = r.now
		r.Cut(test.cut)
		req := r.report()
		if _, err := proto.Marshal(req); err != nil {
			t.Errorf("%s: %v", test.name, err)
		}
		if err := kcwdetector.Check(req.GetEvidence()); err != nil || len(req.GetEvidence().GetCuts()) != 1+test.cuts {
			t.Errorf("%s: got %d cuts, %v; want %d", test.name, len(req.GetEvidence().GetCuts()), err, 1+test.cuts)
		}
	}
}

func TestBlocksOfCore(t *testing.T) {
	r := newRouter(t, "r")
	prompt := []string{"class", "crashing", "x"}
	r.EndReport(r.report(), &kcwpb.FleetSyncResponse{BlocksVersion: 4, Blocks: []*kcwpb.PartBlock{crashingBlock}})
	if blocked, isTrial := r.Admit(prompt); !slices.Equal(blocked, []string{"crashing"}) || isTrial {
		t.Errorf("got %q, %v", blocked, isTrial)
	}
	if r.Match([]string{"class"}) != nil {
		t.Error("a prompt without the part is refused")
	}
	req := r.report()
	if req.GetBlocksVersion() != 4 {
		t.Errorf("got version %d", req.GetBlocksVersion())
	}
	r.EndReport(req, &kcwpb.FleetSyncResponse{BlocksVersion: 4, Trials: []*kcwpb.PartBlock{crashingBlock}})
	if blocked, isTrial := r.Admit(prompt); blocked == nil || !isTrial {
		t.Errorf("with a permission: got %q, %v", blocked, isTrial)
	}
	if _, isTrial := r.Admit(prompt); isTrial {
		t.Error("a second request is admitted")
	}
	r.EndReport(r.report(), &kcwpb.FleetSyncResponse{BlocksVersion: 5})
	if blocked, _ := r.Admit(prompt); blocked != nil {
		t.Errorf("after the block was lifted: got %q", blocked)
	}
}

// TestWithoutCore checks that routers that can't reach the core decide on the evidence of
// all of them, and that the core receives the decision.
func TestWithoutCore(t *testing.T) {
	routers := []*router{newRouter(t, "a"), newRouter(t, "b"), newRouter(t, "c")}
	a, b, c := routers[0], routers[1], routers[2]
	for i := range 4 {
		for _, r := range routers {
			r.now = r.now.Add(300 * time.Millisecond)
			r.serve(200)
		}
		// Each router sees at most two ends.
		routers[i%3].cut()
	}
	for _, r := range routers {
		r.now = r.now.Add(time.Second)
		r.DecideAlone()
		if len(r.Blocks()) > 0 {
			t.Errorf("%s has decided on its own evidence", r.name)
		}
	}
	if err := a.MergeState(b.State()); err != nil {
		t.Error(err)
	}
	if err := a.MergeState(c.State()); err != nil {
		t.Error(err)
	}
	a.DecideAlone()
	if a.Match([]string{"class", "crashing"}) == nil {
		t.Fatalf("not decided on the evidence of all routers: %+v", a.Suspects())
	}
	if err := b.MergeState(a.State()); err != nil {
		t.Error(err)
	}
	if b.Match([]string{"class", "crashing"}) == nil {
		t.Error("the decision does not reach another router")
	}
	req := b.report()
	if len(req.GetLocalBlocks()) != 1 || len(req.GetEvidence().GetCuts()) < 3 {
		t.Errorf("the core gets %v and %d cuts", req.GetLocalBlocks(), len(req.GetEvidence().GetCuts()))
	}
	b.EndReport(req, &kcwpb.FleetSyncResponse{BlocksVersion: 1, Blocks: req.GetLocalBlocks()})
	if req := b.report(); len(req.GetLocalBlocks()) > 0 || b.Match([]string{"class", "crashing"}) == nil {
		t.Errorf("after the core has the decision: %v", req.GetLocalBlocks())
	}
}

// TestLiftedBlockStaysLifted checks that evidence from before a block was lifted does not
// lead to it again, also through routers that have an older version of the blocks.
func TestLiftedBlockStaysLifted(t *testing.T) {
	a, b := newRouter(t, "a"), newRouter(t, "b")
	for range 4 {
		a.now = a.now.Add(300 * time.Millisecond)
		a.serve(200)
		a.cut()
	}
	a.now = a.now.Add(time.Second)
	for _, r := range []*router{a, b} {
		r.EndReport(r.report(), &kcwpb.FleetSyncResponse{BlocksVersion: 1, Blocks: []*kcwpb.PartBlock{crashingBlock}})
	}
	a.EndReport(a.report(), &kcwpb.FleetSyncResponse{BlocksVersion: 2})
	if err := a.MergeState(b.State()); err != nil {
		t.Error(err)
	}
	a.DecideAlone()
	if len(a.Blocks()) > 0 {
		t.Errorf("blocked again: %v", a.Blocks())
	}
	if err := b.MergeState(a.State()); err != nil || len(b.Blocks()) > 0 {
		t.Errorf("the router with the older version has %v, %v", b.Blocks(), err)
	}
}

func TestDamagedState(t *testing.T) {
	damaged := &kcwpb.PartEvidence{Cuts: []*kcwpb.CutAttempt{{Upstream: "u"}}}
	for _, state := range []*kcwpb.PartState{
		{Evidence: damaged, BlocksVersion: 3, Blocks: []*kcwpb.PartBlock{crashingBlock}},
		{BlocksVersion: 3, Blocks: []*kcwpb.PartBlock{{}}},
		{LocalBlocks: []*kcwpb.PartBlock{crashingBlock, {Parts: []string{""}}}},
	} {
		r := newRouter(t, "r")
		err := r.MergeState(state)
		var e *kcwdetector.Error
		if !errors.As(err, &e) || e.Kind != kcwdetector.Malformed || len(r.Blocks()) > 0 {
			t.Errorf("%v: got %v, blocks %v", state, err, r.Blocks())
		}
	}
}
