package kcwcontrol

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"kingcupwick.example/kcw-fleet/kcwsetup"
	"kingcupwick.example/kcw/kcwallowance"
	"kingcupwick.example/kcw/kcwblocklist"
	"kingcupwick.example/kcw/kcwdetector"
	"kingcupwick.example/kcw/kcwpb"
)

const (
	// decideInterval is the minimum time between two decisions on the evidence, and
	// calmInterval that when no attempt has been cut for calmAfter. By then the latest cuts count
	// for all decisions.
	decideInterval = 100 * time.Millisecond
	calmInterval   = 2 * time.Second
	calmAfter      = 5 * time.Second
	// maxBlocks bounds the blocks in force. A router checks each request against them.
	maxBlocks = 64
	// trialTimeout is how long the core waits for the outcome of a trial. It covers the
	// permission of a router and the longest request.
	trialTimeout = time.Minute
	// trialFactor multiplies the time until the next trial after a failed one. Each trial
	// may cost an upstream.
	trialFactor = 6
	// maxCutsInAnswer bounds the cuts that one answer passes on to a router.
	maxCutsInAnswer = 32
	// maxTrials is the number of failed trials after which the parts are not tried again.
	// Their block ends after as long as the next trial would have taken.
	maxTrials = 3
)

// BlocksPath is the path at which operators list the blocks (GET), and lift the one of the
// parts in the query (DELETE).
const BlocksPath = "/blocks"

// blockKeeper decides, at the leader, which sets of prompt parts are refused. The blocks are
// in the replicated state, the evidence is not.
type blockKeeper struct {
	host     string
	settings kcwsetup.Parts
	table    *kcwallowance.Table
	detector *kcwdetector.Detector
	propose  func(ctx context.Context, cmd *kcwpb.FleetCommand) (*kcwpb.FleetResult, error)
	// collector identifies this process to routers.
	collector uint64

	// mu guards the fields below and is held while blocks are changed.
	mu        sync.Mutex
	decidedAt time.Time
	// trials holds, by the key of a block, when the trial in progress was granted.
	trials map[string]time.Time
	// isFull is set while there are more sets of parts to block than maxBlocks.
	isFull bool
}

func newBlockKeeper(host string, settings kcwsetup.Parts, table *kcwallowance.Table) (*blockKeeper, error) {
	detector, err := kcwdetector.New(settings.Detector())
	if err != nil {
		return nil, err
	}
	return &blockKeeper{
		host: host, settings: settings, table: table, detector: detector, collector: rand.Uint64(), trials: map[string]time.Time{},
	}, nil
}

// errTooManyBlocks means that a report has more blocks than may be in force.
var errTooManyBlocks = errors.New("the report has too many blocks")

// checkEvidence returns errTooManyBlocks or a *kcwdetector.Error if the evidence or the
// blocks of a report are damaged.
func checkEvidence(req *kcwpb.FleetSyncRequest) error {
	if len(req.GetLocalBlocks()) > maxBlocks {
		return errTooManyBlocks
	}
	for _, block := range req.GetLocalBlocks() {
		if err := kcwdetector.CheckParts(block.GetParts()); err != nil {
			return err
		}
	}
	return kcwdetector.Check(req.GetEvidence())
}

// sync takes the evidence and the blocks of a router's report, and adds to the answer the
// blocks and the cuts that the router does not have. The error is that of a proposal, or a
// *kcwdetector.Error if the report is damaged.
func (k *blockKeeper) sync(ctx context.Context, req *kcwpb.FleetSyncRequest, response *kcwpb.FleetSyncResponse, now time.Time) error {
	if _, err := k.detector.Merge(req.GetEvidence(), now); err != nil {
		return err
	}
	if err := k.update(ctx, req.GetLocalBlocks(), now); err != nil && len(req.GetLocalBlocks()) > 0 {
		// The router keeps its blocks until the core has committed them.
		return err
	}
	blocks, version := k.table.Blocks()
	response.BlocksVersion, response.Collector = version, k.collector
	if version != req.GetBlocksVersion() {
		response.Blocks = blocks
	}
	cuts, latest := k.detector.CutsSince(req.GetCutsVersion(), maxCutsInAnswer)
	response.CutsVersion = latest
	for _, c := range cuts {
		response.Cuts = append(response.Cuts, c.Encode(now))
	}
	response.Trials = k.grantTrials(req.GetAllowances().GetRouter(), blocks, now)
	return nil
}

// update changes the blocks as the evidence, the trials and the blocks decided without the
// core require. While another call changes them, it returns at once unless there are local
// blocks to add.
func (k *blockKeeper) update(ctx context.Context, local []*kcwpb.PartBlock, now time.Time) error {
	current, _ := k.table.Blocks()
	if len(local) == 0 && len(current) == 0 && k.detector.LastCut().IsZero() {
		return nil
	}
	if len(local) > 0 {
		k.mu.Lock()
	} else if !k.mu.TryLock() {
		return nil
	}
	defer k.mu.Unlock()
	interval := decideInterval
	if len(k.trials) == 0 && now.Sub(k.detector.LastCut()) > calmAfter {
		interval = calmInterval
	}
	if len(local) == 0 && now.Sub(k.decidedAt) < interval {
		return nil
	}
	k.decidedAt = now
	current, base := k.table.Blocks()
	next := k.endTrials(current, now)
	decided := k.detector.Decide(now)
	for _, block := range decided {
		block.DecidedAt, block.DecidedBy = now.UnixNano(), k.host
	}
	err := k.put(ctx, current, k.add(next, slices.Concat(local, decided)), base)
	if err != nil {
		k.decidedAt = time.Time{}
	}
	return err
}

// add returns blocks with the additional ones, as many as there is room for.
func (k *blockKeeper) add(blocks, additional []*kcwpb.PartBlock) []*kcwpb.PartBlock {
	wasFull := k.isFull
	k.isFull = false
	for _, block := range additional {
		next, _ := kcwblocklist.Add(blocks, block)
		if len(next) > maxBlocks {
			k.isFull = true
			continue
		}
		blocks = next
	}
	if k.isFull && !wasFull {
		klog.InfoS("Too many parts to block", "Blocks", len(blocks), "Limit", maxBlocks)
	}
	return blocks
}

// errStaleBlocks means that other blocks were committed after those that a change is based
// on.
var errStaleBlocks = errors.New("the blocks have changed meanwhile")

// put commits the next blocks, if they differ from the current ones, and logs the changes.
// The error is that of the proposal, or errStaleBlocks.
func (k *blockKeeper) put(ctx context.Context, current, next []*kcwpb.PartBlock, base uint64) error {
	if slices.EqualFunc(current, next, func(a, b *kcwpb.PartBlock) bool { return a == b }) {
		return nil
	}
	result, err := k.propose(ctx, &kcwpb.FleetCommand{Op: &kcwpb.FleetCommand_PutBlocks{PutBlocks: &kcwpb.PutBlocks{Base: base, Blocks: next}}})
	if err == nil && result.GetCode() != kcwpb.Code_CODE_OK {
		err = errStaleBlocks
	}
	if err != nil {
		klog.InfoS("Blocks not committed", "Base", base, "Blocks", len(next), "Cause", err.Error())
		return err
	}
	klog.InfoS("Blocks committed", "Base", base, "Before", len(current), "Blocks", len(next))
	for _, block := range next {
		if !slices.Contains(current, block) {
			klog.InfoS("Parts blocked", "Parts", block.GetParts(), "DecidedBy", block.GetDecidedBy(), "Moments", block.GetMoments(), "Prompts", block.GetPrompts(),
				"EndedUpstreams", block.GetUpstreams(), "CutRequests", block.GetRequests(), "FailedTrials", block.GetFailedTrials(), "Provisional", block.GetProvisional())
		}
	}
	return nil
}

// endTrials returns the blocks without those that are over, and with the outcome of trials.
func (k *blockKeeper) endTrials(blocks []*kcwpb.PartBlock, now time.Time) []*kcwpb.PartBlock {
	var next []*kcwpb.PartBlock
	for _, block := range blocks {
		granted, inProgress := k.trials[kcwblocklist.Key(block)]
		switch {
		case inProgress && k.detector.WholeSince(block.GetParts(), granted):
			klog.InfoS("Parts no longer blocked: a trial succeeded", "Parts", block.GetParts())
			k.detector.Forget(block.GetParts())
		case inProgress && k.detector.CutSince(block.GetParts(), granted):
			failed := proto.CloneOf(block)
			if failed.Provisional {
				failed.Provisional = false
			} else {
				failed.FailedTrials++
			}
			failed.DecidedAt = now.UnixNano()
			next = append(next, failed)
		case block.GetFailedTrials() >= maxTrials && now.Sub(k.dueAt(block)) > 0:
			klog.InfoS("Parts no longer blocked: the block is over", "Parts", block.GetParts(), "FailedTrials", block.GetFailedTrials())
			k.detector.Forget(block.GetParts())
		default:
			next = append(next, block)
			continue
		}
		delete(k.trials, kcwblocklist.Key(block))
	}
	return next
}

// dueAt returns when the next trial of a block is due.
func (k *blockKeeper) dueAt(block *kcwpb.PartBlock) time.Time {
	if block.GetProvisional() {
		return time.Unix(0, block.GetDecidedAt()).Add(k.settings.ProvisionalTrialAfter)
	}
	after := k.settings.TrialAfter
	for range block.GetFailedTrials() {
		after *= trialFactor
	}
	return time.Unix(0, block.GetDecidedAt()).Add(after)
}

// grantTrials returns the blocks for each of which the router may send one request. At most
// one router at a time has a block's permission.
func (k *blockKeeper) grantTrials(router string, blocks []*kcwpb.PartBlock, now time.Time) []*kcwpb.PartBlock {
	if len(blocks) == 0 || !k.mu.TryLock() {
		return nil // A later report gets the permission.
	}
	defer k.mu.Unlock()
	var trials []*kcwpb.PartBlock
	for _, block := range blocks {
		granted, inProgress := k.trials[kcwblocklist.Key(block)]
		if block.GetFailedTrials() >= maxTrials || now.Before(k.dueAt(block)) || inProgress && now.Sub(granted) < trialTimeout {
			continue
		}
		k.trials[kcwblocklist.Key(block)] = now
		trials = append(trials, block)
		klog.InfoS("Trial granted", "Parts", block.GetParts(), "Router", router, "FailedTrials", block.GetFailedTrials())
	}
	return trials
}

// errNoBlock means that no block has the parts that an operator named.
var errNoBlock = errors.New("no block has these parts")

// lift removes the block of the given parts, in any order.
func (k *blockKeeper) lift(ctx context.Context, parts []string) error {
	slices.Sort(parts)
	k.mu.Lock()
	defer k.mu.Unlock()
	current, base := k.table.Blocks()
	key := strings.Join(parts, ",")
	next := slices.DeleteFunc(slices.Clone(current), func(b *kcwpb.PartBlock) bool { return kcwblocklist.Key(b) == key })
	if len(next) == len(current) {
		return errNoBlock
	}
	k.detector.Forget(parts)
	delete(k.trials, key)
	if err := k.put(ctx, current, next, base); err != nil {
		return err
	}
	klog.InfoS("Parts no longer blocked: lifted by an operator", "Parts", parts)
	return nil
}

// serveBlocks handles an operator's call to list or lift blocks.
func (o *operator) serveBlocks(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	if o.redirectToLeader(w, r) {
		return
	}
	switch r.Method {
	case http.MethodGet:
		blocks, version := o.table.Blocks()
		writeJSON(w, struct {
			Version uint64
			Blocks  []kcwblocklist.Summary
		}{version, kcwblocklist.Summarize(blocks)})
	case http.MethodDelete:
		err := o.blocks.lift(ctx, strings.Split(r.URL.Query().Get("parts"), ","))
		switch {
		case errors.Is(err, errNoBlock):
			http.Error(w, err.Error(), http.StatusNotFound)
		case err != nil:
			unavailable(w, "the block may or may not be lifted: "+err.Error())
		default:
			w.WriteHeader(http.StatusOK)
		}
	default:
		w.Header().Set("Allow", "GET, DELETE")
		http.Error(w, "only GET and DELETE are known", http.StatusMethodNotAllowed)
	}
}

// writeJSON answers with value as JSON.
func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the operator has disconnected.
	_ = json.NewEncoder(w).Encode(value)
}
