package kcwdetector

import (
	"math"
	"net/netip"
	"slices"
	"strconv"
	"time"
	"unicode/utf8"

	"kingcupwick.example/kcw/kcwpb"
)

// MaxCutsInMessage and MaxBegunInMessage bound the evidence in one message.
const (
	MaxCutsInMessage  = 256
	MaxBegunInMessage = 4096
)

// maxTook bounds the mean time of the answers in a message.
const maxTook = 24 * time.Hour

// MaxParts bounds the parts of one prompt that are told apart.
const MaxParts = 512

const (
	// maxBlockParts bounds the parts of a block, and those of a cut in the field that members of
	// former versions read. MaxNameBytes bounds each name in a message.
	maxBlockParts = 16
	maxNameBytes  = 128
)

// Encode returns the message for a cut. Its age is that at now.
func (c *Cut) Encode(now time.Time) *kcwpb.CutAttempt {
	first := min(len(c.Parts), maxBlockParts)
	m := &kcwpb.CutAttempt{
		Request: c.Request, Upstream: c.Upstream, Prompt: c.Prompt, Parts: c.Parts[:first], MoreParts: c.Parts[first:], Begun: c.Begun,
		AgeNanos: max(0, int64(now.Sub(c.At))),
	}
	if !c.SentAt.IsZero() {
		m.SentAgeNanos = max(1, int64(now.Sub(c.SentAt)))
	}
	if c.Address.IsValid() {
		m.Address = c.Address.String()
	}
	return m
}

// DecodeCut returns the cut in a message that was received at now. An address that can't be parsed
// is not known.
func DecodeCut(m *kcwpb.CutAttempt, now time.Time) Cut {
	address, err := netip.ParseAddrPort(m.GetAddress())
	if err != nil {
		address = netip.AddrPort{}
	}
	c := Cut{
		Request: m.GetRequest(), Upstream: m.GetUpstream(), Address: address, Prompt: m.GetPrompt(), Parts: slices.Concat(m.GetParts(), m.GetMoreParts()), Begun: m.GetBegun(),
		At: now.Add(-time.Duration(m.GetAgeNanos())),
	}
	if m.GetSentAgeNanos() > 0 {
		c.SentAt = now.Add(-time.Duration(m.GetSentAgeNanos()))
	}
	return c
}

// Answers describes the answers to prompts with a part. It is the form in which they are reported.
type Answers struct {
	// Count is the number of answers that have ended.
	Count uint32
	// BegunAt is when the last of them began or ended whole, and WholeAt when the last whole one
	// ended, zero if there is none.
	BegunAt, WholeAt time.Time
}

// Add returns a description of these answers and more.
func (a Answers) Add(more Answers) Answers {
	a.Count += more.Count
	if more.BegunAt.After(a.BegunAt) {
		a.BegunAt = more.BegunAt
	}
	if more.WholeAt.After(a.WholeAt) {
		a.WholeAt = more.WholeAt
	}
	return a
}

// Encode returns the message for the answers to prompts with a part. Their ages are those at now.
func (a Answers) Encode(part string, now time.Time) *kcwpb.BegunPart {
	m := &kcwpb.BegunPart{Part: part, Answers: a.Count, AgeNanos: max(0, int64(now.Sub(a.BegunAt)))}
	if !a.WholeAt.IsZero() {
		m.WholeAgeNanos = max(1, int64(now.Sub(a.WholeAt)))
	}
	return m
}

// DecodeAnswers returns the answers in a message that was received at now. Those that a member of a
// former version reports have begun, and none is known to be whole.
func DecodeAnswers(m *kcwpb.BegunPart, now time.Time) Answers {
	a := Answers{Count: m.GetAnswers(), BegunAt: now.Add(-time.Duration(m.GetAgeNanos()))}
	if m.GetWholeAgeNanos() > 0 {
		a.WholeAt = now.Add(-time.Duration(m.GetWholeAgeNanos()))
	}
	return a
}

// latestInExchange and othersInExchange bound the cuts in one message to another router. Routers
// that can't reach the core exchange such messages several times a second.
const (
	latestInExchange = 16
	othersInExchange = 16
	// maxExchangeBytes bounds the parts of all these cuts together.
	maxExchangeBytes = 2 << 10
)

// Export returns, for another router, the latest cuts that the detector holds, from all
// sources, some of the earlier ones in turn, and when their parts were last answered. It has
// no numbers of answers, which an exchange in a circle would raise.
func (d *Detector) Export(now time.Time) *kcwpb.PartEvidence {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
	cuts := d.cuts[max(0, len(d.cuts)-MaxCutsInMessage):]
	at := max(0, len(cuts)-latestInExchange)
	chosen := slices.Clone(cuts[at:])
	for range min(othersInExchange, at) {
		d.exportedTo = (d.exportedTo + 1) % at
		chosen = append(chosen, cuts[d.exportedTo])
	}
	evidence := d.export(chosen, maxExchangeBytes, now)
	for _, b := range evidence.GetBegun() {
		b.Answers = 0
	}
	return evidence
}

// ExportAll returns, for a process that collects the evidence of all routers anew, the latest
// cuts from all sources, and the answers that this host has counted: on their parts, and in
// the time over which the share of cut attempts is taken.
func (d *Detector) ExportAll(now time.Time) *kcwpb.PartEvidence {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
	evidence := d.export(d.cuts[max(0, len(d.cuts)-MaxCutsInMessage):], math.MaxInt, now)
	answers, took := d.recentAnswers(now)
	evidence.Answers, evidence.TookNanos = uint32(answers), int64(took)
	return evidence
}

// export returns cuts, with as many of their parts as fit into bytes, and the answers on these
// parts. The caller holds the lock.
func (d *Detector) export(cuts []cut, bytes int, now time.Time) *kcwpb.PartEvidence {
	evidence := &kcwpb.PartEvidence{}
	exported := map[string]bool{}
	for i, c := range cuts {
		chosen := c.Cut
		// Each cut gets an equal part of what those before it have left.
		chosen.Parts = d.mostSuspected(c.Cut, bytes/(len(cuts)-i))
		bytes -= partBytes(chosen.Parts)
		evidence.Cuts = append(evidence.Cuts, chosen.Encode(now))
		for _, part := range chosen.Parts {
			h, found := d.parts.Peek(part)
			if !found || exported[part] || len(evidence.Begun) == MaxBegunInMessage {
				continue
			}
			exported[part] = true
			evidence.Begun = append(evidence.Begun, Answers{uint32(h.answers), h.begun, h.whole}.Encode(part, now))
		}
	}
	return evidence
}

// MostSuspected returns the parts of a cut prompt to report, at least one and as many as fit into
// bytes: those that no answer has ruled out since, first those without any whole answer and then
// those with the earliest.
func (d *Detector) MostSuspected(c Cut, bytes int) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mostSuspected(c, bytes)
}

func (d *Detector) mostSuspected(c Cut, bytes int) []string {
	wholeAt := make(map[string]time.Time, len(c.Parts))
	var suspected []string
	for _, part := range c.Parts {
		h, _ := d.parts.Peek(part)
		wholeAt[part] = h.whole
		if c.At.After(h.ruledOutUntil(c.Begun)) {
			suspected = append(suspected, part)
		}
	}
	if len(suspected) == 0 {
		return c.Parts[:min(1, len(c.Parts))]
	}
	slices.SortStableFunc(suspected, func(a, b string) int { return wholeAt[a].Compare(wholeAt[b]) })
	n := 1
	for left := bytes - partBytes(suspected[:1]); n < len(suspected); n++ {
		if left -= partBytes(suspected[n : n+1]); left < 0 {
			break
		}
	}
	return suspected[:n]
}

// partBytes returns the size of parts in a message, in bytes.
func partBytes(parts []string) int {
	const fieldBytes = 2
	n := 0
	for _, part := range parts {
		n += len(part) + fieldBytes
	}
	return n
}

// Merge adds evidence from another host that was received at now. It returns the cuts that
// were not known. The error is an *Error of kind Malformed if any of it is damaged; nothing
// is added then.
func (d *Detector) Merge(evidence *kcwpb.PartEvidence, now time.Time) ([]Cut, error) {
	if err := Check(evidence); err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addAnswers(uint64(evidence.GetAnswers()), time.Duration(evidence.GetTookNanos()), now)
	var added []Cut
	for _, m := range evidence.GetCuts() {
		c := DecodeCut(m, now)
		if now.Sub(c.At) <= d.cfg.Window && d.addCut(c) {
			added = append(added, c)
		}
	}
	for _, b := range evidence.GetBegun() {
		a := DecodeAnswers(b, now)
		d.answer(b.GetPart(), history{uint64(a.Count), a.BegunAt, a.WholeAt})
	}
	return added, nil
}

// Check returns an *Error of kind Malformed if evidence from another host is damaged.
func Check(evidence *kcwpb.PartEvidence) error {
	if evidence.GetTookNanos() < 0 || evidence.GetTookNanos()/max(1, int64(evidence.GetAnswers())) > int64(maxTook) {
		return malformed("the answers took an invalid time")
	}
	if len(evidence.GetCuts()) > MaxCutsInMessage || len(evidence.GetBegun()) > MaxBegunInMessage {
		return malformed("there are " + strconv.Itoa(len(evidence.GetCuts())) + " cuts and " + strconv.Itoa(len(evidence.GetBegun())) + " parts")
	}
	for _, c := range evidence.GetCuts() {
		decoded := Cut{Request: c.GetRequest(), Upstream: c.GetUpstream(), Prompt: c.GetPrompt(), Parts: slices.Concat(c.GetParts(), c.GetMoreParts())}
		if c.GetAgeNanos() < 0 || c.GetSentAgeNanos() < 0 || !decoded.isValid() {
			return malformed("a cut attempt has no valid request, upstream, prompt, parts or age")
		}
	}
	for _, b := range evidence.GetBegun() {
		if b.GetAgeNanos() < 0 || b.GetWholeAgeNanos() < 0 || !isName(b.GetPart()) {
			return malformed("a part has no valid name or age")
		}
	}
	return nil
}

// CheckParts returns an *Error of kind Malformed unless there are parts, within the
// bounds of a block.
func CheckParts(parts []string) error { return checkParts(parts, maxBlockParts) }

func checkParts(parts []string, limit int) error {
	if len(parts) == 0 || len(parts) > limit || slices.ContainsFunc(parts, func(part string) bool { return !isName(part) }) {
		return malformed("a set of parts is empty, too large or has an invalid name")
	}
	return nil
}

// isValid reports whether the names of the cut fit into a message.
func (c *Cut) isValid() bool {
	return isName(c.Request) && isName(c.Upstream) && (c.Prompt == "" || isName(c.Prompt)) && checkParts(c.Parts, MaxParts) == nil
}

// isName reports whether text can be a name in a message, which is UTF-8.
func isName(text string) bool {
	return text != "" && len(text) <= maxNameBytes && utf8.ValidString(text)
}

func malformed(detail string) error { return &Error{Op: "merge", Kind: Malformed, Detail: detail} }
