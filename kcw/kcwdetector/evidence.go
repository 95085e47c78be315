package kcwdetector

import (
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

const (
	// maxParts bounds the parts of one prompt, and maxNameBytes each name in a message.
	maxParts     = 16
	maxNameBytes = 128
)

// Encode returns the message for a cut. Its age is that at now.
func (c *Cut) Encode(now time.Time) *kcwpb.CutAttempt {
	return &kcwpb.CutAttempt{Request: c.Request, Upstream: c.Upstream, Prompt: c.Prompt, Parts: c.Parts, AgeNanos: max(0, int64(now.Sub(c.At)))}
}

// latestInExchange and othersInExchange bound the cuts in one message to another router. Routers
// that can't reach the core exchange such messages several times a second.
const (
	latestInExchange = 16
	othersInExchange = 16
)

// Export returns, for another router, the latest cuts that the detector holds, from all
// sources, some of the earlier ones in turn, and when answers last began on their parts. It has
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
	evidence := d.export(chosen, now)
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
	evidence := d.export(d.cuts[max(0, len(d.cuts)-MaxCutsInMessage):], now)
	evidence.Answers = uint32(d.recentAnswers(now))
	return evidence
}

// export returns cuts and the answers on their parts. The caller holds the lock.
func (d *Detector) export(cuts []cut, now time.Time) *kcwpb.PartEvidence {
	evidence := &kcwpb.PartEvidence{}
	exported := map[string]bool{}
	for _, c := range cuts {
		evidence.Cuts = append(evidence.Cuts, c.Encode(now))
		for _, part := range c.Parts {
			h, found := d.parts.Peek(part)
			if !found || exported[part] || len(evidence.Begun) == MaxBegunInMessage {
				continue
			}
			exported[part] = true
			evidence.Begun = append(evidence.Begun, &kcwpb.BegunPart{Part: part, Answers: uint32(h.answers), AgeNanos: max(0, int64(now.Sub(h.last)))})
		}
	}
	return evidence
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
	d.addAnswers(uint64(evidence.GetAnswers()), now)
	var added []Cut
	for _, m := range evidence.GetCuts() {
		age := time.Duration(m.GetAgeNanos())
		c := Cut{Request: m.GetRequest(), Upstream: m.GetUpstream(), Prompt: m.GetPrompt(), Parts: m.GetParts(), At: now.Add(-age)}
		if age <= d.cfg.Window && d.addCut(c) {
			added = append(added, c)
		}
	}
	for _, b := range evidence.GetBegun() {
		d.begin(b.GetPart(), uint64(b.GetAnswers()), now.Add(-time.Duration(b.GetAgeNanos())))
	}
	return added, nil
}

// Check returns an *Error of kind Malformed if evidence from another host is damaged.
func Check(evidence *kcwpb.PartEvidence) error {
	if len(evidence.GetCuts()) > MaxCutsInMessage || len(evidence.GetBegun()) > MaxBegunInMessage {
		return malformed("there are " + strconv.Itoa(len(evidence.GetCuts())) + " cuts and " + strconv.Itoa(len(evidence.GetBegun())) + " parts")
	}
	for _, c := range evidence.GetCuts() {
		decoded := Cut{Request: c.GetRequest(), Upstream: c.GetUpstream(), Prompt: c.GetPrompt(), Parts: c.GetParts()}
		if c.GetAgeNanos() < 0 || !decoded.isValid() {
			return malformed("a cut attempt has no valid request, upstream, prompt, parts or age")
		}
	}
	for _, b := range evidence.GetBegun() {
		if b.GetAgeNanos() < 0 || !isName(b.GetPart()) {
			return malformed("a part has no valid name or age")
		}
	}
	return nil
}

// CheckParts returns an *Error of kind Malformed unless there are parts, within the
// bounds of a message.
func CheckParts(parts []string) error {
	if len(parts) == 0 || len(parts) > maxParts || slices.ContainsFunc(parts, func(part string) bool { return !isName(part) }) {
		return malformed("a set of parts is empty, too large or has an invalid name")
	}
	return nil
}

// isValid reports whether the names of the cut fit into a message.
func (c *Cut) isValid() bool {
	return isName(c.Request) && isName(c.Upstream) && (c.Prompt == "" || isName(c.Prompt)) && CheckParts(c.Parts) == nil
}

// isName reports whether text can be a name in a message, which is UTF-8.
func isName(text string) bool {
	return text != "" && len(text) <= maxNameBytes && utf8.ValidString(text)
}

func malformed(detail string) error { return &Error{Op: "merge", Kind: Malformed, Detail: detail} }
