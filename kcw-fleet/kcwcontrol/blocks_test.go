package kcwcontrol

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"kingcupwick.example/kcw-fleet/kcwguard"
	"kingcupwick.example/kcw-fleet/kcwsetup"
	"kingcupwick.example/kcw/kcwallowance"
	"kingcupwick.example/kcw/kcwblocklist"
	"kingcupwick.example/kcw/kcwdetector"
	"kingcupwick.example/kcw/kcwpb"
)

// keeperFixture is a blockKeeper whose proposals are applied at once.
type keeperFixture struct {
	*blockKeeper
	t   *testing.T
	now time.Time
	// fails is set to refuse proposals, and onPropose is called before each one if it is
	// not nil.
	fails     bool
	onPropose func()
	proposals int
	serial    int
}

const (
	testTrialAfter            = 10 * time.Minute
	testProvisionalTrialAfter = 10 * time.Second
)

func newKeeperFixture(t *testing.T, table *kcwallowance.Table) *keeperFixture {
	t.Helper()
	settings := kcwsetup.Parts{MinMoments: 3, MinPrompts: 3, Window: 10 * time.Minute, TrialAfter: testTrialAfter, ProvisionalTrialAfter: testProvisionalTrialAfter}
	keeper, err := newBlockKeeper("member", settings, table)
	if err != nil {
		t.Fatal(err)
	}
	f := &keeperFixture{blockKeeper: keeper, t: t, now: time.Unix(1_700_000_000, 0)}
	keeper.propose = func(_ context.Context, cmd *kcwpb.FleetCommand) (*kcwpb.FleetResult, error) {
		f.proposals++
		if f.onPropose != nil {
			f.onPropose()
		}
		if f.fails {
			return nil, errors.New("no quorum")
		}
		data, err := proto.Marshal(cmd)
		if err != nil {
			return nil, err
		}
		result := &kcwpb.FleetResult{}
		return result, proto.Unmarshal(table.Apply(1, data), result)
	}
	return f
}

// report makes a report of the given router.
func (f *keeperFixture) report(router string, req *kcwpb.FleetSyncRequest) (*kcwpb.FleetSyncResponse, error) {
	req.Allowances = &kcwpb.SyncAllowances{Router: router}
	response := &kcwpb.FleetSyncResponse{}
	err := f.sync(context.Background(), req, response, f.now)
	return response, err
}

// crash reports one cut of a prompt with the crashing part, and answers to other prompts.
func (f *keeperFixture) crash(router string) {
	f.t.Helper()
	f.serial++
	n := strconv.Itoa(f.serial)
	evidence := &kcwpb.PartEvidence{
		Cuts:    []*kcwpb.CutAttempt{{Request: n, Upstream: "u" + n, Prompt: n, Parts: []string{"class", "crashing"}}},
		Begun:   []*kcwpb.BegunPart{{Part: "class", Answers: 200}},
		Answers: 200,
	}
	if _, err := f.report(router, &kcwpb.FleetSyncRequest{Evidence: evidence}); err != nil {
		f.t.Error(err)
	}
	f.now = f.now.Add(300 * time.Millisecond)
}

// block reports as many cuts as it takes to block the crashing part.
func (f *keeperFixture) block() {
	f.t.Helper()
	for i := range 3 {
		f.crash("r" + strconv.Itoa(i))
	}
	f.now = f.now.Add(time.Second)
	if response, err := f.report("r0", &kcwpb.FleetSyncRequest{}); err != nil || blockKeys(response.GetBlocks()) != "crashing" {
		f.t.Fatalf("got %v, %v", response, err)
	}
}

func blockKeys(blocks []*kcwpb.PartBlock) string {
	var keys []string
	for _, b := range blocks {
		keys = append(keys, kcwblocklist.Key(b))
	}
	return strings.Join(keys, " ")
}

func TestFleetDecides(t *testing.T) {
	table := kcwallowance.New()
	f := newKeeperFixture(t, table)
	f.block()
	response, err := f.report("r9", &kcwpb.FleetSyncRequest{BlocksVersion: 1})
	if err != nil || response.GetBlocksVersion() != 1 || len(response.GetBlocks()) > 0 || response.GetCollector() != f.collector {
		t.Errorf("a router with the newest blocks gets %v, %v", response, err)
	}
	for range 20 {
		f.crash("r1")
	}
	if f.proposals != 1 {
		t.Errorf("%d proposals for one decision", f.proposals)
	}
	// Another leader has the decision, and none of the evidence.
	next := newKeeperFixture(t, table)
	if response, err := next.report("r9", &kcwpb.FleetSyncRequest{}); err != nil || blockKeys(response.GetBlocks()) != "crashing" || response.GetCollector() == f.collector {
		t.Errorf("another leader answers %v, %v", response, err)
	}
}

func TestLocalBlocksAreCommitted(t *testing.T) {
	f := newKeeperFixture(t, kcwallowance.New())
	local := []*kcwpb.PartBlock{{Parts: []string{"a"}}, {Parts: []string{"a", "b"}}}
	f.fails = true
	if _, err := f.report("r", &kcwpb.FleetSyncRequest{LocalBlocks: local}); err == nil {
		t.Error("a report whose blocks are not committed is acknowledged")
	}
	f.fails = false
	if response, err := f.report("r", &kcwpb.FleetSyncRequest{LocalBlocks: local}); err != nil || blockKeys(response.GetBlocks()) != "a" {
		t.Errorf("got %v, %v", response, err)
	}
}

func TestDamagedReport(t *testing.T) {
	for _, req := range []*kcwpb.FleetSyncRequest{
		{LocalBlocks: []*kcwpb.PartBlock{{}}},
		{Evidence: &kcwpb.PartEvidence{Cuts: []*kcwpb.CutAttempt{{Request: "r"}}}},
	} {
		if checkEvidence(req) == nil {
			t.Errorf("%v: no error", req)
		}
	}
	if err := checkEvidence(&kcwpb.FleetSyncRequest{}); err != nil {
		t.Error(err)
	}
}

// TestBlocksAreBounded checks that further blocks neither displace those in force nor cost
// proposals.
func TestBlocksAreBounded(t *testing.T) {
	f := newKeeperFixture(t, kcwallowance.New())
	block := func(n int) *kcwpb.PartBlock { return &kcwpb.PartBlock{Parts: []string{"p" + strconv.Itoa(n)}} }
	var local []*kcwpb.PartBlock
	for n := range maxBlocks {
		local = append(local, block(n))
	}
	if checkEvidence(&kcwpb.FleetSyncRequest{LocalBlocks: append(local, block(maxBlocks))}) == nil {
		t.Error("a report with too many blocks is taken")
	}
	if _, err := f.report("r", &kcwpb.FleetSyncRequest{LocalBlocks: local}); err != nil {
		t.Fatal(err)
	}
	for n := range 3 {
		f.now = f.now.Add(time.Second)
		if _, err := f.report("r", &kcwpb.FleetSyncRequest{LocalBlocks: []*kcwpb.PartBlock{block(maxBlocks + n)}}); err != nil {
			t.Fatal(err)
		}
	}
	if blocks, version := f.table.Blocks(); len(blocks) != maxBlocks || kcwblocklist.Key(blocks[0]) != "p0" || version != 1 {
		t.Errorf("%d blocks from %q on, version %d", len(blocks), kcwblocklist.Key(blocks[0]), version)
	}
}

// TestStaleChangeIsNotAcknowledged checks that neither a router nor an operator is told that
// a change is in force if other blocks were committed after the ones that it is based on.
func TestStaleChangeIsNotAcknowledged(t *testing.T) {
	f := newKeeperFixture(t, kcwallowance.New())
	f.block()
	f.onPropose = func() {
		blocks, base := f.table.Blocks()
		data, err := proto.Marshal(&kcwpb.FleetCommand{Op: &kcwpb.FleetCommand_PutBlocks{PutBlocks: &kcwpb.PutBlocks{Base: base, Blocks: blocks}}})
		if err != nil {
			t.Fatal(err)
		}
		f.table.Apply(1, data)
	}
	if _, err := f.report("r", &kcwpb.FleetSyncRequest{LocalBlocks: []*kcwpb.PartBlock{{Parts: []string{"a"}}}}); err == nil {
		t.Error("a block that is not in force is acknowledged to its router")
	}
	if err := f.lift(context.Background(), []string{"crashing"}); err == nil {
		t.Error("a block that is in force is reported as lifted")
	}
	f.onPropose = nil
	if err := f.lift(context.Background(), []string{"crashing"}); err != nil {
		t.Error(err)
	}
	if blocks, _ := f.table.Blocks(); len(blocks) > 0 {
		t.Errorf("got %q", blockKeys(blocks))
	}
}

// TestReportsDoNotWaitForCommit checks that the report of a router is answered while a
// change of the blocks is being committed.
func TestReportsDoNotWaitForCommit(t *testing.T) {
	f := newKeeperFixture(t, kcwallowance.New())
	f.block()
	f.onPropose = func() {
		answered := make(chan error, 1)
		go func() {
			_, err := f.report("other", &kcwpb.FleetSyncRequest{})
			answered <- err
		}()
		const longTime = 10 * time.Second
		select {
		case err := <-answered:
			if err != nil {
				t.Error(err)
			}
		case <-time.After(longTime):
			t.Error("a report waits for the commit")
		}
	}
	if _, err := f.report("r", &kcwpb.FleetSyncRequest{LocalBlocks: []*kcwpb.PartBlock{{Parts: []string{"a"}}}}); err != nil {
		t.Error(err)
	}
}

// TestReportOutlastsFailedDecision checks that a router's report is answered although a
// block could not be committed.
func TestReportOutlastsFailedDecision(t *testing.T) {
	f := newKeeperFixture(t, kcwallowance.New())
	f.fails = true
	for i := range 3 {
		f.crash("r" + strconv.Itoa(i))
	}
	f.now = f.now.Add(time.Second)
	if _, err := f.report("r0", &kcwpb.FleetSyncRequest{}); err != nil || f.proposals == 0 {
		t.Errorf("got %v after %d proposals", err, f.proposals)
	}
	f.fails = false
	f.now = f.now.Add(time.Second)
	if response, err := f.report("r0", &kcwpb.FleetSyncRequest{}); err != nil || blockKeys(response.GetBlocks()) != "crashing" {
		t.Errorf("got %v, %v", response, err)
	}
}

func TestTrials(t *testing.T) {
	begun := func() *kcwpb.PartEvidence {
		return &kcwpb.PartEvidence{Begun: []*kcwpb.BegunPart{{Part: "crashing", Answers: 1}}, Answers: 1}
	}
	whole := func() *kcwpb.PartEvidence {
		evidence := begun()
		evidence.Begun[0].WholeAgeNanos = 1
		return evidence
	}
	grant := func(f *keeperFixture, after time.Duration, want string) {
		t.Helper()
		f.now = f.now.Add(after)
		response, err := f.report("r", &kcwpb.FleetSyncRequest{})
		if err != nil || blockKeys(response.GetTrials()) != want {
			t.Errorf("after %v: trials %q, %v; want %q", after, blockKeys(response.GetTrials()), err, want)
		}
	}
	f := newKeeperFixture(t, kcwallowance.New())
	f.block()
	grant(f, time.Second, "")
	grant(f, testTrialAfter, "crashing")
	grant(f, time.Second, "")
	grant(f, trialTimeout, "crashing")
	f.crash("r")
	grant(f, testTrialAfter, "")
	grant(f, trialFactor*testTrialAfter, "crashing")
	f.now = f.now.Add(time.Second)
	if response, err := f.report("r", &kcwpb.FleetSyncRequest{Evidence: begun()}); err != nil || response.GetBlocksVersion() != 2 {
		t.Errorf("after an answer that has only begun: got %v, %v", response, err)
	}
	f.now = f.now.Add(time.Second)
	if response, err := f.report("r", &kcwpb.FleetSyncRequest{Evidence: whole()}); err != nil || response.GetBlocksVersion() != 3 || len(response.GetBlocks()) > 0 {
		t.Errorf("after a trial that succeeded: got %v, %v", response, err)
	}

	// A part that fails each trial costs a bounded number of upstreams.
	f = newKeeperFixture(t, kcwallowance.New())
	f.block()
	trials := 0
	for range 20_000 {
		f.now = f.now.Add(time.Minute)
		response, err := f.report("r", &kcwpb.FleetSyncRequest{})
		if err != nil {
			t.Fatal(err)
		}
		if len(response.GetTrials()) > 0 {
			trials++
			f.crash("r")
		}
		if response.GetBlocksVersion() != 1 && len(response.GetBlocks()) == 0 {
			break
		}
	}
	if blocks, _ := f.table.Blocks(); trials != maxTrials || len(blocks) > 0 {
		t.Errorf("%d trials, want %d, and %d blocks in the end", trials, maxTrials, len(blocks))
	}
}

// TestTrialOfBatch checks that parts that were blocked because of one moment are tried soon, and as
// seldom as others once that has failed.
func TestTrialOfBatch(t *testing.T) {
	for _, isSound := range []bool{false, true} {
		f := newKeeperFixture(t, kcwallowance.New())
		evidence := &kcwpb.PartEvidence{Begun: []*kcwpb.BegunPart{{Part: "class", Answers: 200}}, Answers: 200}
		for i := range 6 {
			n := "batch" + strconv.Itoa(i)
			evidence.Cuts = append(evidence.Cuts, &kcwpb.CutAttempt{Request: n, Upstream: "u" + n, Prompt: n, Parts: []string{"class", "crashing"}, AgeNanos: 1})
		}
		if _, err := f.report("r", &kcwpb.FleetSyncRequest{Evidence: evidence}); err != nil {
			t.Fatal(err)
		}
		f.now = f.now.Add(2500 * time.Millisecond)
		response, err := f.report("r", &kcwpb.FleetSyncRequest{Evidence: &kcwpb.PartEvidence{Begun: evidence.GetBegun(), Answers: 200}})
		if err != nil || blockKeys(response.GetBlocks()) != "crashing" || len(response.GetTrials()) > 0 {
			t.Fatalf("got %v, %v", response, err)
		}
		f.now = f.now.Add(testProvisionalTrialAfter)
		if response, err := f.report("r", &kcwpb.FleetSyncRequest{}); err != nil || blockKeys(response.GetTrials()) != "crashing" {
			t.Fatalf("no trial: %v, %v", response, err)
		}
		if isSound {
			f.now = f.now.Add(time.Second)
			whole := &kcwpb.PartEvidence{Begun: []*kcwpb.BegunPart{{Part: "crashing", Answers: 1, WholeAgeNanos: 1}}, Answers: 1}
			if response, err := f.report("r", &kcwpb.FleetSyncRequest{Evidence: whole}); err != nil || response.GetBlocksVersion() != 2 || len(response.GetBlocks()) > 0 {
				t.Errorf("after a trial that succeeded: %v, %v", response, err)
			}
			continue
		}
		f.crash("r")
		for after := time.Duration(0); after < testTrialAfter-time.Second; after += time.Second {
			if response, err := f.report("r", &kcwpb.FleetSyncRequest{}); err != nil || len(response.GetTrials()) > 0 {
				t.Fatalf("%v after the failed trial: %v, %v", after, response.GetTrials(), err)
			}
			f.now = f.now.Add(time.Second)
		}
		f.now = f.now.Add(2 * time.Second)
		if response, err := f.report("r", &kcwpb.FleetSyncRequest{}); err != nil || len(response.GetTrials()) == 0 {
			t.Errorf("no second trial: %v, %v", response, err)
		}
	}
}

func TestLift(t *testing.T) {
	f := newKeeperFixture(t, kcwallowance.New())
	f.block()
	if err := f.lift(context.Background(), []string{"other"}); !errors.Is(err, errNoBlock) {
		t.Errorf("got %v", err)
	}
	if err := f.lift(context.Background(), []string{"crashing"}); err != nil {
		t.Error(err)
	}
	f.now = f.now.Add(time.Second)
	if response, err := f.report("r", &kcwpb.FleetSyncRequest{}); err != nil || len(response.GetBlocks()) > 0 {
		t.Errorf("blocked again: %v, %v", response, err)
	}
}

// TestNewLeaderDecidesOnEarlierEvidence checks that a leader that takes over decides on the
// cuts and the answers that routers have reported to the one before.
func TestNewLeaderDecidesOnEarlierEvidence(t *testing.T) {
	table := kcwallowance.New()
	before, after := newKeeperFixture(t, table), newKeeperFixture(t, table)
	parts := kcwsetup.Parts{MinMoments: 3, MinPrompts: 3, Window: 10 * time.Minute}
	now := before.now
	guard, err := kcwguard.New(kcwguard.Config{Router: "r", Detector: parts.Detector(), Now: func() time.Time { return now }})
	if err != nil {
		t.Fatal(err)
	}
	report := func(f *keeperFixture) {
		t.Helper()
		now = now.Add(250 * time.Millisecond)
		f.now = now
		req := &kcwpb.FleetSyncRequest{}
		guard.Report(req)
		response, err := f.report("r", req)
		if err != nil {
			t.Fatal(err)
		}
		guard.EndReport(req, response)
	}
	serial := 0
	cut := func(parts ...string) {
		serial++
		n := strconv.Itoa(serial)
		guard.Cut(kcwdetector.Cut{Request: n, Upstream: "u" + n, Prompt: n, Parts: parts, At: now})
	}
	for i := range 40 {
		for range 50 {
			guard.Complete([]string{"class", "subject" + strconv.Itoa(i)}, true, now)
		}
		if i%4 == 0 {
			cut("class", "rare"+strconv.Itoa(i))
		}
		report(before)
	}
	cut("class", "crashing")
	report(before)
	cut("class", "crashing")
	report(before)
	for range 3 {
		guard.Complete([]string{"class"}, true, now)
		report(after)
	}
	cut("class", "crashing")
	report(after)
	cut("class", "crashing")
	for range 3 {
		for range 5 {
			guard.Complete([]string{"class"}, true, now)
		}
		report(after)
	}
	if blocks, _ := table.Blocks(); blockKeys(blocks) != "crashing" {
		t.Errorf("got %q", blockKeys(blocks))
	}
}
