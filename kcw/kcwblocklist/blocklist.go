// Package kcwblocklist holds the sets of prompt parts whose requests a router refuses. The
// core decides most of them. While a router can't reach the core, it adds those that it or
// other routers decide.
package kcwblocklist

import (
	"slices"
	"strings"
	"sync"
	"time"

	"kingcupwick.example/kcw/kcwpb"
)

// Blocklist holds the blocks of one router. It is safe for concurrent use. The messages
// that it takes and returns are shared and must not be modified.
type Blocklist struct {
	mu      sync.RWMutex
	version uint64
	core    []*kcwpb.PartBlock
	local   []*kcwpb.PartBlock
	// trials holds, by the key of a block, until when one request may be sent.
	trials map[string]time.Time
}

// Summary describes a block in dumps and to operators.
type Summary struct {
	Parts          []string
	DecidedAt      time.Time
	DecidedBy      string
	Moments        uint32
	Prompts        uint32
	EndedUpstreams []string
	CutRequests    []string
	FailedTrials   uint32
	// Provisional is set if the parts are tried soon.
	Provisional bool
}

// Summarize returns the summaries of blocks.
func Summarize(blocks []*kcwpb.PartBlock) []Summary {
	summaries := make([]Summary, 0, len(blocks))
	for _, b := range blocks {
		summaries = append(summaries, Summary{
			Parts: b.GetParts(), DecidedAt: time.Unix(0, b.GetDecidedAt()), DecidedBy: b.GetDecidedBy(), Moments: b.GetMoments(), Prompts: b.GetPrompts(),
			EndedUpstreams: b.GetUpstreams(), CutRequests: b.GetRequests(), FailedTrials: b.GetFailedTrials(), Provisional: b.GetProvisional(),
		})
	}
	return summaries
}

// New returns an empty Blocklist.
func New() *Blocklist { return &Blocklist{trials: map[string]time.Time{}} }

// Key returns a text that identifies the parts of a block.
func Key(block *kcwpb.PartBlock) string { return strings.Join(block.GetParts(), ",") }

// Covers reports whether a block of the given parts refuses a prompt with the parts in
// prompt: all parts are among those of the prompt.
func Covers(parts, prompt []string) bool {
	return !slices.ContainsFunc(parts, func(part string) bool { return !slices.Contains(prompt, part) })
}

// Add returns blocks with block added and without those that it covers. It returns blocks
// itself and false if one of them covers block.
func Add(blocks []*kcwpb.PartBlock, block *kcwpb.PartBlock) ([]*kcwpb.PartBlock, bool) {
	if slices.ContainsFunc(blocks, func(b *kcwpb.PartBlock) bool { return Covers(b.GetParts(), block.GetParts()) }) {
		return blocks, false
	}
	next := slices.DeleteFunc(slices.Clone(blocks), func(b *kcwpb.PartBlock) bool { return Covers(block.GetParts(), b.GetParts()) })
	return append(next, block), true
}

// Match returns the block that covers a prompt with the given parts, nil if none does.
func (l *Blocklist) Match(parts []string) *kcwpb.PartBlock {
	l.mu.RLock()
	defer l.mu.RUnlock()
	for _, blocks := range [][]*kcwpb.PartBlock{l.core, l.local} {
		for _, b := range blocks {
			if Covers(b.GetParts(), parts) {
				return b
			}
		}
	}
	return nil
}

// Admit returns the block that covers a prompt with the given parts, nil if none does. If
// the router may send one request with the block's parts at now, it returns the block and
// true, and the router may not send another.
func (l *Blocklist) Admit(parts []string, now time.Time) (block *kcwpb.PartBlock, isTrial bool) {
	if block = l.Match(parts); block == nil {
		return nil, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	until, found := l.trials[Key(block)]
	delete(l.trials, Key(block))
	return block, found && now.Before(until)
}

// AllowTrial lets the router send one request with the block's parts until a time.
func (l *Blocklist) AllowTrial(block *kcwpb.PartBlock, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trials[Key(block)] = until
}

// SetCore replaces the core's blocks. It returns those that were added and removed.
func (l *Blocklist) SetCore(version uint64, blocks []*kcwpb.PartBlock) (added, removed []*kcwpb.PartBlock) {
	l.mu.Lock()
	defer l.mu.Unlock()
	added, removed = difference(blocks, l.core), difference(l.core, blocks)
	l.version, l.core = version, blocks
	clear(l.trials)
	return added, removed
}

// difference returns the blocks of a whose parts no block of b has.
func difference(a, b []*kcwpb.PartBlock) []*kcwpb.PartBlock {
	var rest []*kcwpb.PartBlock
	for _, block := range a {
		if !slices.ContainsFunc(b, func(other *kcwpb.PartBlock) bool { return Key(other) == Key(block) }) {
			rest = append(rest, block)
		}
	}
	return rest
}

// AddLocal adds a block that was decided without the core. It reports whether the block
// refuses prompts that no other block refuses.
func (l *Blocklist) AddLocal(block *kcwpb.PartBlock) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if slices.ContainsFunc(l.core, func(b *kcwpb.PartBlock) bool { return Covers(b.GetParts(), block.GetParts()) }) {
		return false
	}
	var added bool
	l.local, added = Add(l.local, block)
	return added
}

// DropLocal drops blocks that were decided without the core, after the core has received
// them.
func (l *Blocklist) DropLocal(blocks []*kcwpb.PartBlock) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.local = difference(l.local, blocks)
}

// Core returns the core's blocks and their version.
func (l *Blocklist) Core() (version uint64, blocks []*kcwpb.PartBlock) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.version, l.core
}

// Local returns the blocks that were decided without the core.
func (l *Blocklist) Local() []*kcwpb.PartBlock {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return slices.Clone(l.local)
}
