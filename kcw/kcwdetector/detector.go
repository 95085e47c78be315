// Package kcwdetector identifies parts of prompts that crash upstreams. Such a prompt is
// also called a query of death (Beyer et al., Site Reliability Engineering, 2016). The
// package does no I/O and reads no clock.
//
// The evidence is of two kinds. An attempt is cut if its upstream closes the connection
// before the answer is whole: before its first event, or within the answer. An upstream
// that crashes on a part does so on each prompt with it, so an answer that gets further
// than a cut one rules out the parts that both prompts have, for the time before: one that
// begins rules them out for the cuts before a first event, and one that is whole for all
// cuts. Of the other parts, the one is chosen that was present at most of the moments at
// which upstreams ended. It accounts for these ends, so that other parts whose requests
// were cut by them are not suspected because of them.
//
// The load for which the decision is made is that of a fleet: the evidence of hundreds
// of routers that each see few of the ends, among dozens of other requests that a crash
// cuts.
package kcwdetector

import (
	"net/netip"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"kingcupwick.example/kcw/kcwblocklist"
)

// Config configures a Detector. Every field must be positive, and MaxChance less than one.
type Config struct {
	// MinMoments is the number of separate moments at which upstreams must have ended
	// with a part before it is blocked. For a part on whose prompts n answers have ended
	// earlier, the number is higher by the bits of n, and by one if an attempt was cut within the
	// answer.
	MinMoments int
	// MomentSpan is the time within which ends count as one moment, since one cause may
	// end many upstreams or connections at once.
	MomentSpan time.Duration
	// EndSpan is the time within which cuts at one upstream are one end of it. Reports of
	// different routers arrive with different delays.
	EndSpan time.Duration
	// MinUpstreams and MinPrompts are the numbers of different upstreams and prompts
	// that must have been cut. With one prompt less, one moment more is needed, and one more for
	// each upstream less, since one that starts again keeps its ID or its address. A part that
	// was cut at one upstream alone must have been at most of its ends: one that ends again and
	// again by itself shows nothing about a part.
	MinUpstreams, MinPrompts int
	// MaxChance is the largest probability that all attempts of a part's prompts were cut
	// by chance, by ends of upstreams that have nothing to do with them. The more attempts
	// other ends cut, and the longer those of the part had lasted, the more moments are needed.
	MaxChance float64
	// Batch configures the decision on parts whose prompts come many at a time.
	Batch Batch
	// MinAnswers is the number of answers to other prompts that must have ended in the
	// meantime. If none do, all prompts fail and no part can be the cause. With fewer, two at
	// least, the share of attempts that are cut is that of the other prompts in this time, if it
	// is larger.
	MinAnswers int
	// Settle is the age at which a cut counts. It covers the delay of reports of answers
	// at other routers.
	Settle time.Duration
	// Window is the age up to which a cut counts.
	Window time.Duration
	// MaxParts and MaxCuts bound the parts and the cuts that are remembered. The cuts have at
	// most MaxCutParts parts together.
	MaxParts, MaxCuts, MaxCutParts int
}

// Batch configures when a part is blocked provisionally, although upstreams have ended with it
// at fewer than MinMoments moments. Every field must be positive, and the shares less than one.
type Batch struct {
	// MinEnds is the number of ends of upstreams with the part. At each moment they must be more
	// than those without it, and the part must be new: no answer to a prompt with it is known.
	MinEnds int
	// EndShare is the share of all upstreams that one cause is assumed to end at most. It is the
	// probability that such a cause ends a further upstream with a prompt with the part, while all
	// prompts with it are cut.
	EndShare float64
	// MaxChance is the largest probability that all attempts of the part's prompts were cut by
	// chance.
	MaxChance float64
	// Settle is the age at which the first cut counts. It covers answers of some length.
	Settle time.Duration
}

// isValid reports whether all fields are in range.
func (b Batch) isValid() bool {
	isShare := func(share float64) bool { return share > 0 && share < 1 }
	return b.MinEnds > 0 && isShare(b.EndShare) && isShare(b.MaxChance) && b.Settle > 0
}

// Cut is an attempt whose upstream closed the connection before the answer was whole.
type Cut struct {
	Request, Upstream string
	// Address is that of the upstream, not valid if it is not known. It tells an upstream that
	// starts again under another ID from others.
	Address netip.AddrPort
	// Prompt identifies the last part of the prompt, and Parts those that other requests
	// may share.
	Prompt string
	Parts  []string
	// Begun is set if an event of the answer had arrived.
	Begun bool
	// SentAt is when the request was sent, zero if it is not known, and At when it was cut.
	SentAt, At time.Time
}

// cut is a stored Cut.
type cut struct {
	Cut
	// suspected are those of Parts that no answer has ruled out since.
	suspected []string
	// answers is the number of answers that had ended before.
	answers uint64
	// serial is the position of the cut in the order in which cuts were added, from one.
	serial uint64
}

// place identifies the upstream over its restarts, as far as that is known.
func (c Cut) place() string {
	if c.Address.IsValid() {
		return c.Address.String()
	}
	return c.Upstream
}

// history describes the answers to prompts with a part.
type history struct {
	// answers is the number of answers that have ended.
	answers uint64
	// begun is when the last answer began or ended whole, and whole when one ended whole.
	begun, whole time.Time
}

// ruledOutUntil returns the time up to which the answers rule out the part for cuts within an
// answer, if isBegun is set, or else before one.
func (h history) ruledOutUntil(isBegun bool) time.Time {
	if isBegun {
		return h.whole
	}
	return h.begun
}

// attemptKey identifies an attempt.
type attemptKey struct{ request, upstream string }

// Detector holds the evidence. It is safe for concurrent use.
type Detector struct {
	cfg Config

	mu    sync.Mutex
	parts *simplelru.LRU[string, history]
	cuts  []cut
	// cutParts is the number of parts of all cuts.
	cutParts int
	known    map[attemptKey]bool
	answers  uint64
	// serial is that of the cut added last.
	serial uint64
	// exportedTo is the index of the last of the earlier cuts that Export has returned.
	exportedTo int
	// suspected counts the cuts in which each part is suspected.
	suspected map[string]int
	// recent counts the answers that have ended in each of the last seconds, at the index
	// of the Unix time modulo its length.
	recent [rateSeconds]answersInSecond
}

// rateSeconds is the time, in seconds, over which the share of attempts that are cut is
// taken.
const rateSeconds = 60

// answersInSecond describes the answers that ended in one second of Unix time: their number, and how
// long they took together from the sending of their requests.
type answersInSecond struct {
	second  int64
	answers uint64
	took    time.Duration
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
	if min(cfg.MinMoments, cfg.MinUpstreams, cfg.MinPrompts, cfg.MinAnswers, cfg.MaxParts, cfg.MaxCuts, cfg.MaxCutParts) <= 0 || min(cfg.MomentSpan, cfg.EndSpan, cfg.Settle, cfg.Window) <= 0 ||
		!(cfg.MaxChance > 0 && cfg.MaxChance < 1) || !cfg.Batch.isValid() {
		return nil, &Error{Op: "new", Kind: Invalid, Detail: "a field of Config is out of range"}
	}
	parts, err := simplelru.NewLRU[string, history](cfg.MaxParts, nil)
	if err != nil {
		return nil, &Error{Op: "new", Kind: Invalid, Detail: err.Error()}
	}
	return &Detector{cfg: cfg, parts: parts, known: map[attemptKey]bool{}, suspected: map[string]int{}}, nil
}

// Cut adds an attempt that was cut. It ignores one that is known already, and one that has
// no parts or no names that fit into a message (Check). It reports whether it added c.
func (d *Detector) Cut(c Cut) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addCut(c)
}

// addCut is Cut for a caller that holds the lock.
func (d *Detector) addCut(c Cut) bool {
	key := attemptKey{c.Request, c.Upstream}
	if d.known[key] || !c.isValid() {
		return false
	}
	if len(c.Parts) > d.cfg.MaxCutParts {
		return false
	}
	for len(d.cuts) == d.cfg.MaxCuts || d.cutParts+len(c.Parts) > d.cfg.MaxCutParts {
		d.dropCuts(1)
	}
	d.cutParts += len(c.Parts)
	d.known[key] = true
	// Cuts are kept in the order of their times. Those of other hosts arrive late.
	at := sort.Search(len(d.cuts), func(i int) bool { return d.cuts[i].At.After(c.At) })
	d.serial++
	stored := cut{Cut: c, answers: d.answers, serial: d.serial}
	for _, part := range c.Parts {
		if h, _ := d.parts.Peek(part); c.At.After(h.ruledOutUntil(c.Begun)) && !slices.Contains(stored.suspected, part) {
			stored.suspected = append(stored.suspected, part)
			d.suspected[part]++
		}
	}
	d.cuts = slices.Insert(d.cuts, at, stored)
	return true
}

// clearPart ends the suspicion of a part in the cuts that its answers rule out.
func (d *Detector) clearPart(part string, h history) {
	for i := range d.cuts {
		c := &d.cuts[i]
		if c.At.After(h.begun) {
			break
		}
		if c.At.After(h.ruledOutUntil(c.Begun)) {
			continue
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
	d.cutParts -= len(c.Parts)
	for _, part := range c.suspected {
		d.release(part)
	}
}

// Begin records that the answer to a prompt with the given parts began at a time.
func (d *Detector) Begin(parts []string, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, part := range parts {
		d.answer(part, history{begun: at})
	}
}

// Complete records that the answer to a prompt with the given parts, which was sent at a time, ended
// at another. If isWhole is not set, it may have been broken off unnoticed, as one whose end is that
// of its connection. It then counts, and rules out no more than its beginning does.
func (d *Detector) Complete(parts []string, isWhole bool, sentAt, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addAnswers(1, at.Sub(sentAt), at)
	h := history{answers: 1}
	if isWhole {
		h.begun, h.whole = at, at
	}
	for _, part := range parts {
		d.answer(part, h)
	}
}

// addAnswers counts answers that ended at a time and took some time together.
func (d *Detector) addAnswers(n uint64, took time.Duration, at time.Time) {
	d.answers += n
	bin := &d.recent[uint64(at.Unix())%rateSeconds]
	if bin.second != at.Unix() {
		*bin = answersInSecond{second: at.Unix()}
	}
	bin.answers += n
	bin.took += max(0, took)
}

// answer adds answers to prompts with a part, and ends its suspicion in the cuts that they rule out.
func (d *Detector) answer(part string, more history) {
	h, found := d.parts.Get(part)
	if !found {
		// The part must not keep the memory of the header that it was read from.
		part = strings.Clone(part)
	}
	h.answers += more.answers
	if more.begun.After(h.begun) {
		h.begun = more.begun
	}
	if more.whole.After(h.whole) {
		h.whole = more.whole
	}
	d.parts.Add(part, h)
	if d.suspected[part] > 0 {
		d.clearPart(part, h)
	}
}

// IsRuledOut reports whether an answer rules out that the part was the cause of a cut at a time,
// within an answer if isBegun is set, or else before one.
func (d *Detector) IsRuledOut(part string, isBegun bool, at time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	h, _ := d.parts.Peek(part)
	return !h.ruledOutUntil(isBegun).Before(at)
}

// WholeSince reports whether whole answers to prompts with each of the parts have ended at or
// after a time.
func (d *Detector) WholeSince(parts []string, since time.Time) bool {
	for _, part := range parts {
		if !d.IsRuledOut(part, true, since) {
			return false
		}
	}
	return true
}

// CutSince reports whether a prompt with all of the parts has been cut at or after a time.
func (d *Detector) CutSince(parts []string, since time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.cuts, func(c cut) bool { return !c.At.Before(since) && kcwblocklist.Covers(parts, c.Parts) })
}

// CutsSince returns the cuts that were added since a version, the latest ones if there are more
// than limit, and the version that they lead to. Their Parts are those that no answer has ruled
// out since, at most maxBlockParts of them: those that are suspected in most cuts. Cuts without any
// are left out.
func (d *Detector) CutsSince(version uint64, limit int) (cuts []Cut, latest uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if version >= d.serial {
		return nil, d.serial
	}
	for _, c := range slices.Backward(d.cuts) {
		if len(cuts) == limit {
			break
		}
		if c.serial > version && len(c.suspected) > 0 {
			suspected := c.Cut
			suspected.Parts = slices.Clone(c.suspected)
			slices.SortStableFunc(suspected.Parts, func(a, b string) int { return d.suspected[b] - d.suspected[a] })
			suspected.Parts = suspected.Parts[:min(len(suspected.Parts), maxBlockParts)]
			cuts = append(cuts, suspected)
		}
	}
	return cuts, d.serial
}

// Forget drops the cuts of prompts with all of the parts.
func (d *Detector) Forget(parts []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cuts = slices.DeleteFunc(d.cuts, func(c cut) bool {
		drop := kcwblocklist.Covers(parts, c.Parts)
		if drop {
			d.forgetCut(c)
		}
		return drop
	})
}

// LastCut returns the time of the latest cut, zero if there is none. Without cuts, Decide
// returns nothing.
func (d *Detector) LastCut() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.cuts) == 0 {
		return time.Time{}
	}
	return d.cuts[len(d.cuts)-1].At
}
