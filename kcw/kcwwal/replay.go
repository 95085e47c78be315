package kcwwal

import (
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"kingcupwick.example/kcw/kcwpb"
)

const (
	suffix         = ".wal"
	sequenceDigits = 16
	sequenceBase   = 16
)

// segment is one file of the log.
type segment struct {
	sequence uint64
	path     string
	// last is the largest index of the segment's entries, zero if there is none.
	last uint64
	// closed is set if the segment has a close record, so that another one follows.
	closed bool
}

// content is the state that results from all records of the log.
type content struct {
	state   pair
	entries []*kcwpb.Entry
	// base is the index of the last reset, which the first entry must follow.
	base uint64
}

func segmentName(sequence uint64) string {
	digits := strconv.FormatUint(sequence, sequenceBase)
	return strings.Repeat("0", sequenceDigits-len(digits)) + digits + suffix
}

// listSegments returns the segments in path in the order of their sequence numbers,
// which must have no gaps.
func listSegments(path string) ([]*segment, error) {
	files, err := os.ReadDir(path)
	if err != nil {
		return nil, fail("open", Storage, path, 0, err)
	}
	var segments []*segment
	for _, file := range files {
		name := filepath.Join(path, file.Name())
		digits, ok := strings.CutSuffix(file.Name(), suffix)
		sequence, err := strconv.ParseUint(digits, sequenceBase, 64)
		if !ok || err != nil || file.Name() != segmentName(sequence) {
			return nil, failText("open", Foreign, name, 0, "not the name of a segment")
		}
		segments = append(segments, &segment{sequence: sequence, path: name})
	}
	sort.Slice(segments, func(i, j int) bool { return segments[i].sequence < segments[j].sequence })
	for i := 1; i < len(segments); i++ {
		if segments[i].sequence != segments[i-1].sequence+1 {
			gap := filepath.Join(path, segmentName(segments[i-1].sequence+1))
			return nil, failText("open", Missing, gap, 0, "the segments before and after it exist")
		}
	}
	return segments, nil
}

// replay applies the records in data, the content of segment s, to c. It returns the
// length of the valid part in bytes. Only the last segment may end in a torn write.
func (c *content) replay(s *segment, data []byte, owner uint64, isLast bool) (int64, error) {
	var err error
	offset := 0
	for offset < len(data) {
		payload, next, ok := readRecord(data, offset)
		if !ok {
			break
		}
		if offset == 0 {
			err = checkHeader(s, payload, owner)
		} else {
			err = c.apply(s, payload, int64(offset))
		}
		if err != nil {
			return 0, err
		}
		offset = next
	}
	if offset == len(data) && offset > 0 {
		return int64(offset), nil
	}
	if !isLast || !isTorn(data, offset) {
		return 0, failText("open", Damaged, s.path, int64(offset), "invalid record that is not a torn write")
	}
	return int64(offset), nil
}

func checkHeader(s *segment, payload []byte, owner uint64) error {
	h, ok := parseHeader(payload)
	if !ok {
		return failText("open", Foreign, s.path, 0, "not a segment header")
	}
	if h.owner != owner || h.sequence != s.sequence {
		return failText("open", Foreign, s.path, 0, "segment of another replica or with another sequence number")
	}
	return nil
}

func (c *content) apply(s *segment, payload []byte, offset int64) error {
	kind, body := recordKind(payload[0]), payload[1:]
	switch kind {
	case kindState:
		state, ok := parsePair(body)
		if !ok {
			return failText("open", Damaged, s.path, offset, "malformed state")
		}
		c.state = state
		return nil
	case kindReset:
		reset, ok := parsePair(body)
		if !ok {
			return failText("open", Damaged, s.path, offset, "malformed reset")
		}
		c.entries = nil
		c.base = reset.first
		return nil
	case kindEntry:
		return c.applyEntry(s, body, offset)
	case kindClose:
		s.closed = true
		return nil
	}
	return failText("open", Damaged, s.path, offset, "unknown kind of record")
}

func (c *content) applyEntry(s *segment, body []byte, offset int64) error {
	e := &kcwpb.Entry{}
	if err := proto.Unmarshal(body, e); err != nil {
		return fail("open", Damaged, s.path, offset, err)
	}
	if !c.insert(e) {
		return failText("open", Damaged, s.path, offset, "gap before entry "+strconv.FormatUint(e.Index, 10))
	}
	s.last = max(s.last, e.Index)
	return nil
}

// insert removes the entries from e's index on and appends e. It returns false if
// entries before e are missing.
func (c *content) insert(e *kcwpb.Entry) bool {
	if len(c.entries) == 0 {
		if c.base != 0 && e.Index > c.base+1 {
			return false
		}
		c.entries = []*kcwpb.Entry{e}
		return e.Index > 0
	}
	first := c.entries[0].Index
	switch {
	case e.Index > first+uint64(len(c.entries)):
		return false
	case e.Index < first:
		c.entries = []*kcwpb.Entry{e}
	default:
		c.entries = append(c.entries[:e.Index-first], e)
	}
	return true
}
