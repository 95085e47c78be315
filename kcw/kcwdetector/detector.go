// Package kcwdetector identifies parts of prompts that crash upstreams. Such a prompt is
// also called a query of death (Beyer et al., Site Reliability Engineering, 2016). The
// package does no I/O and reads no clock.
//
// The evidence is of two kinds. An attempt is cut if its upstream closes the connection
// before an event of the answer has arrived, and an answer begins with its first event.
// A part that crashes each upstream is never in a prompt whose answer begins, so an
// answer rules out all parts of its prompt for the time before it. Of the other parts,
// the one is chosen that was present at most of the moments at which upstreams ended. It
// accounts for these ends, so that other parts whose requests were cut by them are not
// suspected because of them.
//
// The load for which the decision is made is that of a fleet: the evidence of hundreds
// of routers that each see few of the ends, among dozens of other requests that a crash
// cuts.
package kcwdetector

import (
	"math"
	"math/bits"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"kingcupwick.example/kcw/kcwpb"
)

// Config configures a Detector. Every field must be positive, and MaxChance less than one.
type Config struct {
	// MinMoments is the number of separate moments at which upstreams must have ended
	// with a part before it is blocked. For a part on whose prompts n answers have begun
	// earlier, the number is higher by the bits of n.
	MinMoments int
	// MomentSpan is the time within which ends count as one moment, since one cause may
	// end many upstreams or connections at once.
	MomentSpan time.Duration
	// EndSpan is the time within which cuts at one upstream are one end of it. Reports of
	// different routers arrive with different delays.
	EndSpan time.Duration
	// MinUpstreams and MinPrompts are the numbers of different upstreams and prompts
	// that must have been cut. With one prompt less, one moment more is needed.
	MinUpstreams, MinPrompts int
	// MaxChance is the largest probability that all attempts of a part's prompts were cut
	// by chance, by ends of upstreams that have nothing to do with them. The more attempts
	// other ends cut, the more moments are needed.
	MaxChance float64
	// MinAnswers is the number of answers to other prompts that must have begun in the
	// meantime. If none begin, all prompts fail and no part can be the cause.
	MinAnswers int
	// Settle is the age at which a cut counts. It covers the delay of reports of answers
	// that began at other routers.
	Settle time.Duration
	// Window is the age up to which a cut counts.
	Window time.Duration
	// MaxParts and MaxCuts bound the parts and the cuts that are remembered.
	MaxParts, MaxCuts int
}

// Cut is an attempt whose upstream closed the connection before an event of the answer
// had arrived.
type Cut struct {
	Request, Upstream string
	// Prompt identifies the last part of the prompt, and Parts those that other requests
	// may share.
	Prompt string
	Parts  []string
	At     time.Time
}

// cut is a stored Cut.
type cut struct {
	Cut
	// suspected are those of Parts on which no answer has begun since.
	suspected []string
	// answers is the number of answers that had begun before.
	answers uint64
}

// history describes the answers that have begun on prompts with a part.
type history struct {
	answers uint64
	last    time.Time
}

// attemptKey identifies an attempt.
type attemptKey struct{ request, upstream string }

// Detector holds the evidence. It is safe for concurrent use.
type Detector struct {
	cfg Config

	mu      sync.Mutex
	parts   *simplelru.LRU[string, history]
	cuts    []cut
	known   map[attemptKey]bool
	answers uint64
	// suspected counts the cuts in which each part is suspected.
	suspected map[string]int
	// recent counts the answers that have begun in each of the last seconds, at the index
	// of the Unix time modulo its length.
	recent [rateSeconds]answersInSecond
}

// rateSeconds is the time, in seconds, over which the share of attempts that are cut is
// taken.
const rateSeconds = 60

// answersInSecond is the number of answers that began in one second of Unix time.
type answersInSecond struct {
	second  int64
	answers uint64
}

// Kind classifies an Error.
type Kind int

// Kinds of errors.
const (
	// Invalid means that a field of Config is out of range.
	Invalid Kind = iota + 1
	// Malformed means that evidence from another host is damaged.
	Malformed
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	// Detail names what is wrong.
	Detail string
}

// Error describes the failure.
func (e *Error) Error() string { return "kcwdetector: " + e.Op + ": " + e.Detail }

// New returns a Detector without evidence. The error is an *Error of kind Invalid if a
// field of cfg is out of range.
func New(cfg Config) (*Detector, error) {
	if min(cfg.MinMoments, cfg.MinUpstreams, cfg.MinPrompts, cfg.MinAnswers, cfg.MaxParts, cfg.MaxCuts) <= 0 || min(cfg.MomentSpan, cfg.EndSpan, cfg.Settle, cfg.Window) <= 0 ||
		!(cfg.MaxChance > 0 && cfg.MaxChance < 1) {
		return nil, &Error{Op: "new", Kind: Invalid, Detail: "a field of Config is out of range"}
	}
	parts, err := simplelru.NewLRU[string, history](cfg.MaxParts, nil)
	if err != nil {
		return nil, &Error{Op: "new", Kind: Invalid, Detail: err.Error()}
	}
	return &Detector{cfg: cfg, parts: parts, known: map[attemptKey]bool{}, suspected: map[string]int{}}, nil
}

// Cut adds an attempt that was cut. It ignores one that is known already or has no parts.
func (d *Detector) Cut(c Cut) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addCut(c)
}

// addCut adds a cut and reports whether it was not known.
func (d *Detector) addCut(c Cut) bool {
	key := attemptKey{c.Request, c.Upstream}
	if len(c.Parts) == 0 || d.known[key] {
		return false
	}
	if len(d.cuts) == d.cfg.MaxCuts {
		d.dropCuts(1)
	}
	d.known[key] = true
	// Cuts are kept in the order of their times. Those of other hosts arrive late.
	at := sort.Search(len(d.cuts), func(i int) bool { return d.cuts[i].At.After(c.At) })
	stored := cut{Cut: c, answers: d.answers}
	for _, part := range c.Parts {
		if h, _ := d.parts.Peek(part); c.At.After(h.last) && !slices.Contains(stored.suspected, part) {
			stored.suspected = append(stored.suspected, part)
			d.suspected[part]++
		}
	}
	d.cuts = slices.Insert(d.cuts, at, stored)
	return true
}

// clearPart ends the suspicion of a part in the cuts up to a time.
func (d *Detector) clearPart(part string, until time.Time) {
	for i := range d.cuts {
		c := &d.cuts[i]
		if c.At.After(until) {
			break
		}
		if at := slices.Index(c.suspected, part); at >= 0 {
			c.suspected = slices.Delete(c.suspected, at, at+1)
			d.release(part)
		}
	}
}

// release counts one cut less in which the part is suspected.
func (d *Detector) release(part string) {
	if d.suspected[part]--; d.suspected[part] == 0 {
		delete(d.suspected, part)
	}
}

// dropCuts drops the n earliest cuts.
func (d *Detector) dropCuts(n int) {
	for _, c := range d.cuts[:n] {
		d.forgetCut(c)
	}
	d.cuts = slices.Delete(d.cuts, 0, n)
}

// forgetCut removes a cut from the indices of the detector.
func (d *Detector) forgetCut(c cut) {
	delete(d.known, attemptKey{c.Request, c.Upstream})
	for _, part := range c.suspected {
		d.release(part)
	}
}

// Begin records that the answer to a prompt with the given parts began at a time.
func (d *Detector) Begin(parts []string, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addAnswers(1, at)
	for _, part := range parts {
		d.begin(part, 1, at)
	}
}

// addAnswers counts answers that began at a time.
func (d *Detector) addAnswers(n uint64, at time.Time) {
	d.answers += n
	bin := &d.recent[uint64(at.Unix())%rateSeconds]
	if bin.second != at.Unix() {
		*bin = answersInSecond{second: at.Unix()}
	}
	bin.answers += n
}

// begin records answers on prompts with a part, the last of which began at a time.
func (d *Detector) begin(part string, answers uint64, at time.Time) {
	h, _ := d.parts.Get(part)
	h.answers += answers
	if at.After(h.last) {
		h.last = at
	}
	d.parts.Add(part, h)
	if d.suspected[part] > 0 {
		d.clearPart(part, at)
	}
}

// BegunSince reports whether answers on prompts with each of the parts have begun at or
// after a time.
func (d *Detector) BegunSince(parts []string, since time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, part := range parts {
		if h, _ := d.parts.Peek(part); h.last.Before(since) {
			return false
		}
	}
	return true
}

// CutSince reports whether a prompt with all of the parts has been cut at or after a time.
func (d *Detector) CutSince(parts []string, since time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.cuts, func(c cut) bool { return !c.At.Before(since) && containsAll(c.Parts, parts) })
}

// Forget drops the cuts of prompts with all of the parts.
func (d *Detector) Forget(parts []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cuts = slices.DeleteFunc(d.cuts, func(c cut) bool {
		drop := containsAll(c.Parts, parts)
		if drop {
			d.forgetCut(c)
		}
		return drop
	})
}

// containsAll reports whether all contains each of parts.
func containsAll(all, parts []string) bool {
	return !slices.ContainsFunc(parts, func(part string) bool { return !slices.Contains(all, part) })
}

// HasCuts reports whether any cuts are remembered. Without cuts, Decide returns nothing.
func (d *Detector) HasCuts() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.cuts) > 0
}

// LastCut returns the time of the latest cut, zero if there is none.
func (d *Detector) LastCut() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.cuts) == 0 {
		return time.Time{}
	}
	return d.cuts[len(d.cuts)-1].At
}

// Suspect is a part that was in cut prompts and in no prompt whose answer has begun since.
type Suspect struct {
	Part string
	// Moments, Upstreams and Prompts count what the prompts with the part that were cut
	// have not in common, and Answers those that began before.
	Moments, Upstreams, Prompts int
	Answers                     uint64
	LastAt                      time.Time
}

// Suspects returns the suspected parts at now that were cut at two moments at least, with
// the most moments first.
func (d *Detector) Suspects(now time.Time) []Suspect {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
	var suspects []Suspect
	for part, cuts := range d.suspicions(now) {
		if s := d.tally(part, cuts); s.Moments > 1 {
			suspects = append(suspects, s.Suspect)
		}
	}
	slices.SortFunc(suspects, compareSuspects)
	return suspects
}

// Decide returns the sets of parts that account for the ends of upstreams as of now. A
// set has more than one part if the cut prompts have all of them in common, so that the
// evidence does not tell them apart.
func (d *Detector) Decide(now time.Time) []*kcwpb.PartBlock {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
	var blocks []*kcwpb.PartBlock
	accounted := make([]bool, len(d.cuts))
	for {
		// What a block accounts for is no longer chance to the other parts, so that these
		// are judged again.
		found := d.findBlocks(accounted, now)
		if len(found) == 0 {
			return blocks
		}
		blocks = append(blocks, found...)
	}
}

// findBlocks returns the blocks that the evidence is enough for, and marks the cuts that
// they account for. Parts are judged in the order of their evidence, each by the cuts that
// the parts before it do not account for, whether these are blocked or not.
func (d *Detector) findBlocks(accounted []bool, now time.Time) []*kcwpb.PartBlock {
	suspicions := d.suspicions(now)
	assumed := slices.Clone(accounted)
	removeAssumed := func() {
		for part, indices := range suspicions {
			suspicions[part] = slices.DeleteFunc(indices, func(i int) bool { return assumed[i] })
		}
	}
	removeAssumed()
	var blocks []*kcwpb.PartBlock
	for lead := d.strongest(suspicions); lead != nil; lead = d.strongest(suspicions) {
		parts := []string{lead.Part}
		for part, cuts := range suspicions {
			if part != lead.Part && isSubset(lead.cuts, cuts) {
				parts = append(parts, part)
			}
		}
		slices.Sort(parts)
		d.markEnds(assumed, lead.cuts)
		if math.Pow(d.shareCut(assumed, now), float64(lead.Moments)) <= d.cfg.MaxChance {
			blocks = append(blocks, d.block(parts, lead))
			d.markEnds(accounted, lead.cuts)
		}
		removeAssumed()
	}
	return blocks
}

// markEnds marks all cuts by the ends of upstreams that the given cuts were part of.
func (d *Detector) markEnds(marks []bool, cuts []int) {
	ends := map[string][]time.Time{}
	for _, i := range cuts {
		ends[d.cuts[i].Upstream] = append(ends[d.cuts[i].Upstream], d.cuts[i].At)
	}
	for i, c := range d.cuts {
		marks[i] = marks[i] || slices.ContainsFunc(ends[c.Upstream], func(end time.Time) bool { return c.At.Sub(end).Abs() <= d.cfg.EndSpan })
	}
}

// shareCut estimates the share of recent attempts that were cut, apart from the cuts that
// are marked, by Laplace's rule of succession.
func (d *Detector) shareCut(marks []bool, now time.Time) float64 {
	cuts, begun := 0.0, float64(d.recentAnswers(now))
	for i, c := range d.cuts {
		if now.Sub(c.At) < rateSeconds*time.Second && !marks[i] {
			cuts++
		}
	}
	return (cuts + 1) / (cuts + begun + 2)
}

// recentAnswers returns the number of answers that began in the last rateSeconds.
func (d *Detector) recentAnswers(now time.Time) uint64 {
	n := uint64(0)
	for _, bin := range d.recent {
		if now.Unix()-bin.second < rateSeconds {
			n += bin.answers
		}
	}
	return n
}

// expire drops the cuts older than the window.
func (d *Detector) expire(now time.Time) {
	n := 0
	for n < len(d.cuts) && now.Sub(d.cuts[n].At) > d.cfg.Window {
		n++
	}
	d.dropCuts(n)
}

// suspicions returns, for each part, the indices of the settled cuts of prompts with the
// part since an answer on it last began.
func (d *Detector) suspicions(now time.Time) map[string][]int {
	suspicions := map[string][]int{}
	for i, c := range d.cuts {
		if now.Sub(c.At) < d.cfg.Settle {
			break
		}
		for _, part := range c.suspected {
			suspicions[part] = append(suspicions[part], i)
		}
	}
	return suspicions
}

// tally is a Suspect with its cuts, as indices in ascending order.
type tally struct {
	Suspect
	cuts []int
	// othersBegun is the number of answers that have begun since the first cut.
	othersBegun uint64
}

func (d *Detector) tally(part string, indices []int) *tally {
	h, _ := d.parts.Peek(part)
	s := &tally{Suspect: Suspect{Part: part, Answers: h.answers}, cuts: indices}
	if len(indices) == 0 {
		return s
	}
	// ends holds the time of the last end of each upstream.
	ends, prompts := map[string]time.Time{}, map[string]bool{}
	var moment time.Time
	for _, i := range indices {
		c := d.cuts[i]
		prompts[c.Prompt] = true
		s.LastAt = c.At
		if end, found := ends[c.Upstream]; found && c.At.Sub(end) <= d.cfg.EndSpan {
			continue
		}
		ends[c.Upstream] = c.At
		if s.Moments == 0 || c.At.Sub(moment) > d.cfg.MomentSpan {
			s.Moments++
			moment = c.At
		}
	}
	s.Upstreams, s.Prompts = len(ends), len(prompts)
	s.othersBegun = d.answers - d.cuts[indices[0]].answers
	return s
}

// compareSuspects orders suspects by descending strength of the evidence.
func compareSuspects(a, b Suspect) int {
	switch {
	case a.Moments != b.Moments:
		return b.Moments - a.Moments
	case a.Prompts != b.Prompts:
		return b.Prompts - a.Prompts
	case a.Answers < b.Answers:
		return -1
	case a.Answers > b.Answers:
		return 1
	}
	return strings.Compare(a.Part, b.Part)
}

// strongest returns the part with the strongest evidence of those with enough of it, nil
// if there is none.
func (d *Detector) strongest(suspicions map[string][]int) *tally {
	var best *tally
	for part, indices := range suspicions {
		if len(indices) < d.cfg.MinMoments {
			continue
		}
		s := d.tally(part, indices)
		if d.isEnough(s) && (best == nil || compareSuspects(s.Suspect, best.Suspect) < 0) {
			best = s
		}
	}
	return best
}

// isEnough reports whether the evidence on a part is enough, chance aside.
func (d *Detector) isEnough(s *tally) bool {
	minMoments := d.cfg.MinMoments
	switch {
	case s.Prompts < d.cfg.MinPrompts-1:
		return false
	case s.Prompts < d.cfg.MinPrompts:
		minMoments++
	}
	return s.Moments >= minMoments+bits.Len64(s.Answers) && s.Upstreams >= d.cfg.MinUpstreams && s.othersBegun >= uint64(d.cfg.MinAnswers)
}

// isSubset reports whether each of the indices in a is in b; both are in ascending order.
func isSubset(a, b []int) bool {
	for _, i := range a {
		if _, found := slices.BinarySearch(b, i); !found {
			return false
		}
	}
	return true
}

// maxSamples bounds the upstreams and the requests that a block names as evidence.
const maxSamples = 8

// block returns the block of parts with its evidence.
func (d *Detector) block(parts []string, lead *tally) *kcwpb.PartBlock {
	b := &kcwpb.PartBlock{Parts: parts, Moments: uint32(lead.Moments), Prompts: uint32(lead.Prompts)}
	for _, i := range lead.cuts {
		c := d.cuts[i]
		if len(b.Upstreams) < maxSamples && !slices.Contains(b.Upstreams, c.Upstream) {
			b.Upstreams = append(b.Upstreams, c.Upstream)
			b.Requests = append(b.Requests, c.Request)
		}
	}
	return b
}
