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
		place := d.cuts[i].place()
		ends[place] = append(ends[place], d.cuts[i].At)
	}
	for i, c := range d.cuts {
		marks[i] = marks[i] || slices.ContainsFunc(ends[c.place()], func(end time.Time) bool { return c.At.Sub(end).Abs() <= d.cfg.EndSpan })
	}
}

// shareCut estimates the share of recent attempts that were cut, apart from the cuts that
// are marked, by Laplace's rule of succession.
func (d *Detector) shareCut(marks []bool, now time.Time) float64 {
	cuts, answers := 0.0, float64(d.recentAnswers(now))
	for i, c := range d.cuts {
		if now.Sub(c.At) < rateSeconds*time.Second && !marks[i] {
			cuts++
		}
	}
	return (cuts + 1) / (cuts + answers + 2)
}

// recentAnswers returns the number of answers that ended in the last rateSeconds.
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
// part that no answer has ruled out since.
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
	var moment time.Time
	for _, i := range indices {
		c := d.cuts[i]
		prompts[c.Prompt] = true
		s.LastAt = c.At
		place := c.place()
		if end, found := ends[place]; found && c.At.Sub(end) <= d.cfg.EndSpan {
			continue
		}
		ends[place] = c.At
		if s.Moments == 0 || c.At.Sub(moment) > d.cfg.MomentSpan {
			s.Moments++
			moment = c.At
		}
	}
	s.Upstreams, s.Prompts = len(ends), len(prompts)
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
	missing := max(0, d.cfg.MinUpstreams-s.Upstreams)
	if s.Moments < minMoments+missing+bits.Len64(s.Answers) || s.otherAnswers < uint64(d.cfg.MinAnswers) {
		return false
	}
	return s.Upstreams > 1 || d.cfg.MinUpstreams == 1 || s.Moments > d.endsWithout(s)
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
