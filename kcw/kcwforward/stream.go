package kcwforward

import (
	"bytes"
	"errors"
	"math"
	"mime"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// eventStreamType is the media type of a stream of events.
const eventStreamType = "text/event-stream"

// maxComparedEvents bounds the events of a stream of which a hash is kept.
const maxComparedEvents = 4096

// The reasons for which a stream can't go on with an event of another upstream.
var (
	errNoEventID      = errors.New("an event has no numeric ID")
	errEventRepeated  = errors.New("an event comes once more")
	errEventMissing   = errors.New("events are missing")
	errOtherEvent     = errors.New("an event differs from the one that the caller has")
	errNothingResumed = errors.New("it ends before the next event")
)

// streamProgress is how much of a stream has been passed on to the caller, over all
// attempts. The IDs of events are numbers that increase by one.
type streamProgress struct {
	started bool
	events  int64
	// lastEventID is the ID of the last event, as its upstream wrote it.
	lastEventID string
	// first and last are the IDs of the first and the last event, valid if hasLast is set.
	first, last int64
	hasLast     bool
	// isUnordered is set if the place of an event in the stream isn't known, so that no
	// other upstream can go on with the stream.
	isUnordered bool
	// hashes holds those of the first maxComparedEvents events.
	hashes []uint64
}

// record adds an event that is passed on. If keepHash is set, the event is recognized when it
// comes again.
func (s *streamProgress) record(event []byte, keepHash bool) {
	s.events++
	if isComment(event) {
		return
	}
	text := eventID(event)
	if text != "" {
		s.lastEventID = text
	}
	id, err := parseEventID(event)
	if err != nil || s.hasLast && id != s.last+1 {
		s.isUnordered = true
		return
	}
	if !s.hasLast {
		s.first, s.hasLast = id, true
	}
	s.last = id
	if keepHash && len(s.hashes) < maxComparedEvents {
		s.hashes = append(s.hashes, xxhash.Sum64(event))
	}
}

// resumption is the part of a stream that another upstream sends after the first one broke
// off.
type resumption struct {
	progress *streamProgress
	// hasAdvanced is set once an event was passed on, hasReplayed once an event that the
	// caller has came again, with lastReplayed as its ID.
	hasAdvanced, hasReplayed bool
	lastReplayed             int64
}

// admit reports whether to pass on an event, which is the case for the one after the last
// event that was passed on. Before that, the upstream may send again the events that the
// caller has, with the same bytes. The error is not nil if the stream can't go on with the
// event.
func (r *resumption) admit(event []byte) (bool, error) {
	if isComment(event) {
		return false, nil
	}
	id, err := parseEventID(event)
	if err != nil {
		return false, err
	}
	s := r.progress
	switch {
	case !s.hasLast || id == s.last+1:
		r.hasAdvanced = true
		return true, nil
	case id > s.last:
		return false, errEventMissing
	case r.hasAdvanced || r.hasReplayed && id != r.lastReplayed+1:
		return false, errEventRepeated
	}
	r.hasReplayed, r.lastReplayed = true, id
	if id < s.first {
		// The caller had the event before this request.
		return false, nil
	}
	if at := id - s.first; at >= int64(len(s.hashes)) || s.hashes[at] != xxhash.Sum64(event) {
		return false, errOtherEvent
	}
	return false, nil
}

// end returns an error unless an event was passed on. Without one it isn't known that the
// stream is whole.
func (r *resumption) end() error {
	if !r.hasAdvanced {
		return errNothingResumed
	}
	return nil
}

// isStream reports whether an answer is a stream of events. One without a type may be.
func isStream(response *http.Response) bool {
	return response.Body != http.NoBody && (response.Header.Get("Content-Type") == "" || hasStreamType(response))
}

func hasStreamType(response *http.Response) bool {
	mediaType, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return err == nil && mediaType == eventStreamType
}

// checkResumption returns an error if an answer can't go on with a stream.
func checkResumption(response *http.Response) error {
	if response.StatusCode != http.StatusOK || !hasStreamType(response) || response.Body == http.NoBody {
		return errors.New("an answer with status " + strconv.Itoa(response.StatusCode) + " is no part of a stream")
	}
	return nil
}

// isComment reports whether all lines of an event are empty or comments.
func isComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// parseEventID returns the ID of an event, a number. The error is errNoEventID if it has none
// or several.
func parseEventID(event []byte) (int64, error) {
	id, found := int64(0), false
	for line := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 63)
		if err != nil || found || n == math.MaxInt64 {
			return 0, errNoEventID
		}
		id, found = int64(n), true
	}
	if !found {
		return 0, errNoEventID
	}
	return id, nil
}
