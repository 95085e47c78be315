// Package kcwguard connects a router of a document-driven fleet with the detection of
// prompt parts that crash upstreams. It collects the router's evidence for the core and
// for other routers, and holds the blocks in force.
package kcwguard

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"kingcupwick.example/kcw/kcwblocklist"
	"kingcupwick.example/kcw/kcwdetector"
	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwsuspicion"
)

// trialPermit is how long a router may use its permission to send one request with blocked
// parts. The core waits longer before it gives the next one.
const trialPermit = 20 * time.Second

// Config configures a Guard. Every field is needed.
type Config struct {
	// Router is this router's name.
	Router   string
	Detector kcwdetector.Config
	Now      func() time.Time
}

// Guard holds a router's evidence and its blocks. It is safe for concurrent use. Lock
// order: mu before the locks of the detector, the suspicions and the block list.
type Guard struct {
	cfg      Config
	detector *kcwdetector.Detector
	blocks   *kcwblocklist.Blocklist
	// suspicions holds the cuts of this router, and those of others that the core or another
	// router has passed on.
	suspicions *kcwsuspicion.Table

	// mu guards the fields below.
	mu sync.Mutex
	// pending is the evidence that the core has not acknowledged, sent the part of it that
	// is in the report under way.
	pending, sent evidence
	// collector is the core's process that has the evidence acknowledged so far. Another one
	// that takes over gets all evidence.
	collector uint64
	// cutsVersion is the version of the cuts that the collector has passed on.
	cutsVersion uint64
}

// evidence is a router's evidence that the core does not have.
type evidence struct {
	cuts []kcwdetector.Cut
	// parts describes the answers by the parts of their prompts, answers is the number of those
	// that have ended.
	parts   map[string]kcwdetector.Answers
	answers uint32
	// urgent holds those of parts that were suspected until their answer.
	urgent map[string]bool
	// took is how long these answers took together.
	took time.Duration
}

const (
	// maxCutsInReport and maxPartsInReport bound the evidence in one report, to some KB. It
	// grows while the core does not answer, and the reports of hundreds of routers must fit the
	// link of the leader that answers then. The rest follows with the next reports.
	maxCutsInReport  = 16
	maxPartsInReport = 128
	// maxCutBytesInReport bounds the parts of the cuts in one report, in bytes. A cut that does not
	// fit with all its suspected parts waits, unless it is the only one.
	maxCutBytesInReport = 4 << 10
	// maxUrgent bounds the parts whose answers go before others.
	maxUrgent = 1024
	// maxBlocksInReport bounds the blocks decided without the core in one report.
	maxBlocksInReport = 8
)

// New returns a Guard without blocks. The error is a *kcwdetector.Error or a
// *kcwsuspicion.Error.
func New(cfg Config) (*Guard, error) {
	detector, err := kcwdetector.New(cfg.Detector)
	if err != nil {
		return nil, err
	}
	suspicions, err := kcwsuspicion.New(kcwsuspicion.Config{Window: cfg.Detector.Window, MaxParts: cfg.Detector.MaxParts})
	if err != nil {
		return nil, err
	}
	return &Guard{cfg: cfg, detector: detector, suspicions: suspicions, blocks: kcwblocklist.New()}, nil
}

// Admit implements kcwforward.PartGuard.
func (g *Guard) Admit(parts []string) (blocked []string, isTrial bool) {
	block, isTrial := g.blocks.Admit(parts, g.cfg.Now())
	if isTrial {
		klog.InfoS("Blocked parts are tried", "Parts", block.GetParts(), "DecidedAt", time.Unix(0, block.GetDecidedAt()), "FailedTrials", block.GetFailedTrials())
	}
	return block.GetParts(), isTrial
}

// Match implements kcwforward.PartGuard.
func (g *Guard) Match(parts []string) (blocked []string) { return g.blocks.Match(parts).GetParts() }

// Avoided implements kcwforward.PartGuard.
func (g *Guard) Avoided(parts []string) (upstreams []string) {
	return g.suspicions.Avoided(parts, g.cfg.Now())
}

// Begin implements kcwforward.PartGuard.
func (g *Guard) Begin(parts []string) {
	now := g.cfg.Now()
	g.detector.Begin(parts, now)
	suspected := g.suspicions.Begin(parts)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pending.hurry(suspected)
	for _, part := range parts {
		g.pending.answer(part, kcwdetector.Answers{BegunAt: now})
	}
}

// Complete implements kcwforward.PartGuard.
func (g *Guard) Complete(parts []string, isWhole bool, sentAt time.Time) {
	if len(parts) == 0 {
		return
	}
	now := g.cfg.Now()
	g.detector.Complete(parts, isWhole, sentAt, now)
	answers := kcwdetector.Answers{Count: 1}
	var suspected []string
	if isWhole {
		answers.BegunAt, answers.WholeAt = now, now
		suspected = g.suspicions.Complete(parts)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pending.hurry(suspected)
	g.pending.answers++
	g.pending.took += max(0, now.Sub(sentAt))
	for _, part := range parts {
		g.pending.answer(part, answers)
	}
}

// hurry lets the answers on parts that were suspected go before others.
func (e *evidence) hurry(parts []string) {
	for _, part := range parts {
		if e.urgent == nil {
			e.urgent = map[string]bool{}
		}
		if len(e.urgent) < maxUrgent {
			e.urgent[strings.Clone(part)] = true
		}
	}
}

// answer adds answers to prompts with a part. Beyond the bound it keeps only urgent ones.
func (e *evidence) answer(part string, more kcwdetector.Answers) {
	if e.parts == nil {
		e.parts = map[string]kcwdetector.Answers{}
	}
	before, found := e.parts[part]
	if !found {
		if len(e.parts) >= kcwdetector.MaxBegunInMessage && !e.urgent[part] {
			return
		}
		// The part must not keep the memory of the header that it was read from.
		part = strings.Clone(part)
	}
	e.parts[part] = before.Add(more)
}

// Cut implements kcwforward.PartGuard.
func (g *Guard) Cut(cut kcwdetector.Cut) {
	cut.Request, cut.Prompt = callerName(cut.Request), callerName(cut.Prompt)
	cut.Parts = slices.Clone(cut.Parts)
	for i, part := range cut.Parts {
		// It must not keep the memory of the header that it was read from.
		cut.Parts[i] = strings.Clone(part)
	}
	if !g.detector.Cut(cut) {
		return
	}
	g.suspect(cut)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pending.cut(cut)
}

// suspect adds a cut to the suspicions, with those of its parts that no answer of this router has
// ruled out since.
func (g *Guard) suspect(cut kcwdetector.Cut) {
	for _, part := range cut.Parts {
		if !g.detector.IsRuledOut(part, cut.Begun, cut.At) {
			g.suspicions.Cut(part, cut.Upstream, cut.Begun, cut.At)
		}
	}
}

// maxCallerName bounds a name that a caller chooses, in bytes.
const maxCallerName = 64

// callerName returns a name that a caller has chosen, or its hash if it is too long or is
// not UTF-8, so that no caller can make this router's reports invalid.
func callerName(name string) string {
	if len(name) <= maxCallerName && utf8.ValidString(name) {
		return name
	}
	return strconv.FormatUint(xxhash.Sum64String(name), 16)
}

// cut adds a cut. If there are as many as fit into a message, it drops the earliest.
func (e *evidence) cut(cut kcwdetector.Cut) {
	if len(e.cuts) == kcwdetector.MaxCutsInMessage {
		e.cuts = e.cuts[1:]
	}
	e.cuts = append(e.cuts, cut)
}

// Report adds to a report to the core the evidence that the core does not have, the version
// of the blocks, and those decided without the core. EndReport must follow.
func (g *Guard) Report(req *kcwpb.FleetSyncRequest) {
	now := g.cfg.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sent = g.pending.take(g.detector.MostSuspected)
	if len(g.sent.cuts) > 0 || g.sent.answers > 0 || len(g.sent.parts) > 0 {
		req.Evidence = g.sent.encode(now)
	}
	if err := kcwdetector.Check(req.GetEvidence()); err != nil {
		// The core would refuse the whole report, now and each time that it is sent again.
		klog.ErrorS(err, "Evidence left out of the report", "Cuts", len(g.sent.cuts))
		req.Evidence, g.sent = nil, evidence{}
	}
	req.BlocksVersion, _ = g.blocks.Core()
	local := g.blocks.Local()
	req.LocalBlocks = local[:min(len(local), maxBlocksInReport)]
	req.CutsVersion = g.cutsVersion
}

// take removes the evidence for one report and returns it: the latest cuts, with the parts that
// mostSuspected returns, and the answers on as many parts as fit. Those on parts of these cuts, and
// on parts that others suspect, come first, since they can rule these out.
func (e *evidence) take(mostSuspected func(c kcwdetector.Cut, bytes int) []string) evidence {
	taken := evidence{parts: map[string]kcwdetector.Answers{}, answers: e.answers, took: e.took}
	e.answers, e.took = 0, 0
	for left := maxCutBytesInReport; len(e.cuts) > 0 && len(taken.cuts) < maxCutsInReport; {
		c := e.cuts[len(e.cuts)-1]
		c.Parts = mostSuspected(c, maxCutBytesInReport)
		for _, part := range c.Parts {
			left -= len(part)
		}
		if left < 0 && len(taken.cuts) > 0 {
			break
		}
		taken.cuts = append(taken.cuts, c)
		e.cuts = e.cuts[:len(e.cuts)-1]
	}
	slices.Reverse(taken.cuts)
	move := func(part string) {
		if a, found := e.parts[part]; found && len(taken.parts) < maxPartsInReport {
			taken.parts[part] = a
			delete(e.parts, part)
		}
	}
	for _, c := range taken.cuts {
		for _, part := range c.Parts {
			move(part)
		}
	}
	for part := range e.urgent {
		move(part)
	}
	clear(e.urgent)
	for part := range e.parts {
		if len(taken.parts) >= maxPartsInReport {
			break
		}
		move(part)
	}
	return taken
}

func (e *evidence) encode(now time.Time) *kcwpb.PartEvidence {
	message := &kcwpb.PartEvidence{Answers: e.answers, TookNanos: int64(e.took)}
	for _, c := range e.cuts {
		message.Cuts = append(message.Cuts, c.Encode(now))
	}
	for part, a := range e.parts {
		message.Begun = append(message.Begun, a.Encode(part, now))
	}
	return message
}

// decode returns the evidence in a message that was received at now.
func decode(message *kcwpb.PartEvidence, now time.Time) evidence {
	e := evidence{answers: message.GetAnswers(), took: time.Duration(message.GetTookNanos())}
	for _, c := range message.GetCuts() {
		e.cut(kcwdetector.DecodeCut(c, now))
	}
	for _, b := range message.GetBegun() {
		e.answer(b.GetPart(), kcwdetector.DecodeAnswers(b, now))
	}
	return e
}

// drop removes a cut that the core has.
func (e *evidence) drop(known *kcwpb.CutAttempt) {
	e.cuts = slices.DeleteFunc(e.cuts, func(c kcwdetector.Cut) bool {
		return c.Request == known.GetRequest() && c.Upstream == known.GetUpstream()
	})
}

// EndReport applies the core's answer to the last report. The response is nil if there was
// no answer; the evidence of the report is then sent again.
func (g *Guard) EndReport(req *kcwpb.FleetSyncRequest, response *kcwpb.FleetSyncResponse) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if response == nil {
		g.restore(g.sent)
		return
	}
	now := g.cfg.Now()
	if response.GetCollector() != g.collector {
		// This includes what is pending, except for parts that no cut has.
		g.pending = decode(g.detector.ExportAll(now), now)
	}
	g.collector = response.GetCollector()
	g.cutsVersion = response.GetCutsVersion()
	for _, c := range response.GetCuts() {
		g.pending.drop(c)
		g.suspect(kcwdetector.DecodeCut(c, now))
	}
	g.blocks.DropLocal(req.GetLocalBlocks())
	if response.GetBlocksVersion() != req.GetBlocksVersion() {
		g.setCore(response.GetBlocksVersion(), response.GetBlocks())
	}
	for _, block := range response.GetTrials() {
		g.blocks.AllowTrial(block, now.Add(trialPermit))
	}
}

// restore puts evidence that was not acknowledged back.
func (g *Guard) restore(e evidence) {
	since := g.pending
	cuts := append(since.cuts, e.cuts...)
	slices.SortStableFunc(cuts, func(a, b kcwdetector.Cut) int { return a.At.Compare(b.At) })
	g.pending = evidence{parts: maps.Clone(e.parts), answers: e.answers + since.answers, took: e.took + since.took}
	for _, c := range cuts {
		g.pending.cut(c)
	}
	for part, a := range since.parts {
		g.pending.answer(part, a)
	}
}

// setCore puts the core's blocks in force and logs the changes.
func (g *Guard) setCore(version uint64, blocks []*kcwpb.PartBlock) {
	added, removed := g.blocks.SetCore(version, blocks)
	for _, block := range added {
		logBlock("Parts blocked", "Core", version, block)
	}
	for _, block := range removed {
		if g.blocks.Match(block.GetParts()) != nil {
			continue // A block of fewer parts has replaced it.
		}
		// The evidence must not lead to the same decision again.
		g.detector.Forget(block.GetParts())
		logBlock("Parts no longer blocked", "Core", version, block)
	}
}

func logBlock(message, source string, version uint64, block *kcwpb.PartBlock) {
	klog.InfoS(message, "Parts", block.GetParts(), "Source", source, "BlocksVersion", version, "DecidedBy", block.GetDecidedBy(),
		"DecidedAt", time.Unix(0, block.GetDecidedAt()), "Moments", block.GetMoments(), "Prompts", block.GetPrompts(),
		"EndedUpstreams", block.GetUpstreams(), "CutRequests", block.GetRequests(), "Provisional", block.GetProvisional())
}

// DecideAlone decides on the evidence that this router has. It is called while the router
// can't reach the core.
func (g *Guard) DecideAlone() {
	if g.detector.LastCut().IsZero() {
		return
	}
	now := g.cfg.Now()
	for _, block := range g.detector.Decide(now) {
		if block.GetProvisional() {
			// Without the core nobody grants the trial that follows soon.
			continue
		}
		block.DecidedAt, block.DecidedBy = now.UnixNano(), g.cfg.Router
		if g.blocks.AddLocal(block) {
			logBlock("Parts blocked", "Router", 0, block)
		}
	}
}

// State returns the state of this router, for another router.
func (g *Guard) State() *kcwpb.PartState {
	state := &kcwpb.PartState{LocalBlocks: g.blocks.Local()}
	state.BlocksVersion, state.Blocks = g.blocks.Core()
	if !g.detector.LastCut().IsZero() {
		state.Evidence = g.detector.Export(g.cfg.Now())
	}
	return state
}

// MergeState merges the state of another router. Cuts that were not known are reported to
// the core too, which that router may not reach. The error is an *kcwdetector.Error of
// kind Malformed if the state is damaged; nothing is merged then.
func (g *Guard) MergeState(state *kcwpb.PartState) error {
	for _, blocks := range [][]*kcwpb.PartBlock{state.GetBlocks(), state.GetLocalBlocks()} {
		for _, block := range blocks {
			if err := kcwdetector.CheckParts(block.GetParts()); err != nil {
				return err
			}
		}
	}
	added, err := g.detector.Merge(state.GetEvidence(), g.cfg.Now())
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range added {
		g.suspect(c)
		g.pending.cut(c)
	}
	if version, _ := g.blocks.Core(); state.GetBlocksVersion() > version {
		g.setCore(state.GetBlocksVersion(), state.GetBlocks())
	}
	for _, block := range state.GetLocalBlocks() {
		if g.blocks.AddLocal(block) {
			logBlock("Parts blocked", "OtherRouter", 0, block)
		}
	}
	return nil
}

// Blocks returns the blocks in force: the core's, and those decided without it.
func (g *Guard) Blocks() []*kcwpb.PartBlock {
	_, blocks := g.blocks.Core()
	return append(g.blocks.Local(), blocks...)
}

// Suspects returns the parts that this router suspects.
func (g *Guard) Suspects() []kcwdetector.Suspect { return g.detector.Suspects(g.cfg.Now()) }
