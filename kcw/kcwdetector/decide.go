package kcwdetector

import (
	"math"
	"math/bits"
	"slices"
	"strings"
	"time"

	"kingcupwick.example/kcw/kcwpb"
)

// Suspect is a part that was in cut prompts and that no answer has ruled out since.
type Suspect struct {
	Part string
	// Moments, Upstreams and Prompts are the numbers of different ones among its cuts.
	Moments, Upstreams, Prompts int
	// Answers is the number of answers to its prompts that have ended.
	Answers uint64
	// LastAt is the time of its latest cut.
	LastAt time.Time
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

// Decide returns the sets of parts that account for the ends of upstreams as of now,
// without DecidedAt and DecidedBy. A set has more than one part if the cut prompts have all
// of them in common, so that the evidence can't distinguish them.
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
	for lead := d.strongest(suspicions, now); lead != nil; lead = d.strongest(suspicions, now) {
		parts := []string{lead.Part}
		for part, cuts := range suspicions {
			if part != lead.Part && isSubset(lead.cuts, cuts) {
				parts = append(parts, part)
			}
		}
		slices.Sort(parts)
		d.markEnds(assumed, lead.cuts)
		if len(parts) > maxBlockParts {
			// Another cut or answer must tell the parts apart first.
			removeAssumed()
			continue
		}
		chance := d.chance(lead, d.share(lead, assumed, now), now)
		isCertain := d.isEnough(lead) && chance <= d.cfg.MaxChance
		if isCertain || d.isBatch(lead, now) && chance*math.Pow(d.cfg.Batch.EndShare, float64(lead.ends-lead.Moments)) <= d.cfg.Batch.MaxChance {
			block := d.block(parts, lead)
			block.Provisional = !isCertain
			blocks = append(blocks, block)
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
		place := d.cuts[i].place()
		ends[place] = append(ends[place], d.cuts[i].At)
	}
	for i, c := range d.cuts {
		marks[i] = marks[i] || slices.ContainsFunc(ends[c.place()], func(end time.Time) bool { return c.At.Sub(end).Abs() <= d.cfg.EndSpan })
	}
}

// share returns the share of other attempts that were cut, apart from the cuts that are assumed to be
// accounted for.
func (d *Detector) share(s *tally, assumed []bool, now time.Time) float64 {
	n, _ := d.recentAnswers(now)
	share := d.shareCut(assumed, now.Add(-rateSeconds*time.Second), n)
	if s.otherAnswers >= uint64(d.cfg.MinAnswers) {
		return share
	}
	// In an outage the same ends cut other prompts, so that these are no less evidence.
	own := make([]bool, len(d.cuts))
	for _, i := range s.cuts {
		own[i] = true
	}
	return max(share, d.shareCut(own, d.cuts[s.cuts[0]].At, s.otherAnswers))
}

// shareCut estimates the share of attempts that were cut after a time, apart from the cuts that
// are marked, by Laplace's rule of succession. n is the number of answers since.
func (d *Detector) shareCut(marks []bool, since time.Time, n uint64) float64 {
	cuts, answers := 0.0, float64(n)
	for i, c := range d.cuts {
		if c.At.After(since) && !marks[i] {
			cuts++
		}
	}
	return (cuts + 1) / (cuts + answers + 2)
}

// chance returns the probability that an attempt of the part was cut by chance at each of its
// moments, where share is that of all attempts that are cut. The hazard of an attempt grows with
// its length.
func (d *Detector) chance(s *tally, share float64, now time.Time) float64 {
	answers, took := d.recentAnswers(now)
	chance := 1.0
	for _, lasted := range s.lasted {
		hazard := share
		if took > 0 {
			hazard *= max(1, float64(lasted)*float64(answers)/float64(took))
		}
		chance *= min(1, hazard)
	}
	return chance
}

// recentAnswers returns the number of answers that ended in the last rateSeconds, and how long they
// took together.
func (d *Detector) recentAnswers(now time.Time) (n uint64, took time.Duration) {
	for _, bin := range d.recent {
		if now.Unix()-bin.second < rateSeconds {
			n += bin.answers
			took += bin.took
		}
	}
	return n, took
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
// part that no answer has ruled out since.
func (d *Detector) suspicions(now time.Time) map[string][]int {
	suspicions := map[string][]int{}
	// Most parts are in one cut only, which is too few for any decision.
	fewest := min(2, d.cfg.MinMoments)
	for i, c := range d.cuts {
		if now.Sub(c.At) < d.cfg.Settle {
			break
		}
		for _, part := range c.suspected {
			if d.suspected[part] < fewest {
				continue
			}
			suspicions[part] = append(suspicions[part], i)
		}
	}
	return suspicions
}

// tally is a Suspect with its cuts, as indices in ascending order.
type tally struct {
	Suspect
	cuts []int
	// ends is the number of ends of upstreams. MomentsAt holds the times of the moments, and lasted
	// how long the longest attempt that was cut at each had lasted.
	ends      int
	momentsAt []time.Time
	lasted    []time.Duration
	// hasBegun is set if a cut was within the answer.
	hasBegun bool
	// otherAnswers is the number of answers that have ended since the first cut.
	otherAnswers uint64
}

// tally returns the evidence of the cuts with the given indices against a part.
func (d *Detector) tally(part string, indices []int) *tally {
	h, _ := d.parts.Peek(part)
	s := &tally{Suspect: Suspect{Part: part, Answers: h.answers}, cuts: indices}
	if len(indices) == 0 {
		return s
	}
	// ends holds the time of the last end of each upstream. One that starts again has several.
	ends, prompts := map[string]time.Time{}, map[string]bool{}
	for _, i := range indices {
		c := d.cuts[i]
		prompts[c.Prompt] = true
		s.LastAt = c.At
		s.hasBegun = s.hasBegun || c.Begun
		place := c.place()
		if end, found := ends[place]; !found || c.At.Sub(end) > d.cfg.EndSpan {
			ends[place] = c.At
			s.ends++
			if len(s.momentsAt) == 0 || c.At.Sub(s.momentsAt[len(s.momentsAt)-1]) > d.cfg.MomentSpan {
				s.momentsAt, s.lasted = append(s.momentsAt, c.At), append(s.lasted, 0)
			}
		}
		if last := &s.lasted[len(s.lasted)-1]; !c.SentAt.IsZero() {
			*last = max(*last, c.At.Sub(c.SentAt))
		}
	}
	s.Moments, s.Upstreams, s.Prompts = len(s.momentsAt), len(ends), len(prompts)
	s.otherAnswers = d.answers - d.cuts[indices[0]].answers
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
func (d *Detector) strongest(suspicions map[string][]int, now time.Time) *tally {
	var best *tally
	for part, indices := range suspicions {
		if len(indices) < min(d.cfg.MinMoments, d.cfg.Batch.MinEnds) {
			continue
		}
		s := d.tally(part, indices)
		if (d.isEnough(s) || d.isBatch(s, now)) && (best == nil || compareSuspects(s.Suspect, best.Suspect) < 0) {
			best = s
		}
	}
	return best
}

// minAnswers is the number of answers to other prompts below which there may be an outage of all
// upstreams.
const minAnswers = 2

// isEnough reports whether the evidence on a part is enough, chance aside.
func (d *Detector) isEnough(s *tally) bool {
	minMoments := d.cfg.MinMoments
	switch {
	case s.Prompts < d.cfg.MinPrompts-1:
		return false
	case s.Prompts < d.cfg.MinPrompts:
		minMoments++
	}
	if s.hasBegun {
		// Most accidents cut an attempt within its answer.
		minMoments++
	}
	missing := max(0, d.cfg.MinUpstreams-s.Upstreams)
	if s.Moments < minMoments+missing+bits.Len64(s.Answers) || s.otherAnswers < min(minAnswers, uint64(d.cfg.MinAnswers)) {
		return false
	}
	return s.Upstreams > 1 || d.cfg.MinUpstreams == 1 || s.Moments > d.endsWithout(s)
}

// isBatch reports whether upstreams have ended with a new part, many at a moment, and no others
// that one common cause would have ended as well, chance aside.
func (d *Detector) isBatch(s *tally, now time.Time) bool {
	if s.Answers > 0 || s.ends < d.cfg.Batch.MinEnds || s.Prompts < d.cfg.MinPrompts || s.Upstreams < d.cfg.MinUpstreams {
		return false
	}
	if s.otherAnswers < uint64(d.cfg.MinAnswers) || now.Sub(d.cuts[s.cuts[0]].At) < d.cfg.Batch.Settle {
		return false
	}
	return !slices.ContainsFunc(s.momentsAt, func(at time.Time) bool { return !d.isAtMostEnds(s, at) })
}

// isAtMostEnds reports whether the part was at more of the ends of upstreams at a moment than it
// was not at.
func (d *Detector) isAtMostEnds(s *tally, moment time.Time) bool {
	with, all := map[string]bool{}, map[string]bool{}
	for i, c := range d.cuts {
		if c.At.Sub(moment).Abs() > d.cfg.MomentSpan {
			continue
		}
		all[c.place()] = true
		if _, found := slices.BinarySearch(s.cuts, i); found {
			with[c.place()] = true
		}
	}
	return 2*len(with) > len(all)
}

// endsWithout returns the number of ends of the first upstream in s at which no prompt with the
// part was cut.
func (d *Detector) endsWithout(s *tally) int {
	marks := make([]bool, len(d.cuts))
	d.markEnds(marks, s.cuts)
	place, n := d.cuts[s.cuts[0]].place(), 0
	var last time.Time
	for i, c := range d.cuts {
		if !marks[i] && c.place() == place && (n == 0 || c.At.Sub(last) > d.cfg.EndSpan) {
			n++
			last = c.At
		}
	}
	return n
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

// block returns the block of parts with the evidence against lead, one of them.
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
