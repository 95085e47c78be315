package kcwcontrol

import (
	"context"
	"errors"
	"strconv"
	"testing"
	"time"

	"kingcupwick.example/kcw/kcwpb"
)

// lister is a Lister whose list the test changes or makes fail.
type lister struct {
	version, readings, skipped int
	broken                     bool
}

func (l *lister) Read(context.Context) ([]*kcwpb.UpstreamRecord, int, error) {
	l.readings++
	if l.broken {
		return nil, 0, errors.New("no answer")
	}
	return []*kcwpb.UpstreamRecord{{Id: strconv.Itoa(l.version)}}, l.skipped, nil
}

// TestPace checks how often the leader reads a list that changes, one that does not
// change and one whose readings fail.
func TestPace(t *testing.T) {
	const interval = 500 * time.Millisecond
	const ticks = 40
	for _, test := range []struct {
		name    string
		changes func(tick int, l *lister)
		want    int
	}{
		{"changes all the time", func(tick int, l *lister) { l.version = tick }, ticks},
		{"readings fail", func(_ int, l *lister) { l.broken = true }, ticks},
		{"does not change", func(int, *lister) {}, 10 + (ticks-10)/2},
		{"changes once", func(tick int, l *lister) { l.version = tick / (ticks / 2) }, 20 + 10},
	} {
		source := &lister{}
		reader := &listReader{cfg: listConfig{Lister: source, Name: "m", Interval: interval}}
		now := time.Now()
		for poll := range ticks * int(interval/listPollInterval) {
			test.changes(poll/int(interval/listPollInterval), source)
			// Ticks come a little early or late.
			at := now.Add(time.Duration(poll)*listPollInterval + time.Duration(poll%3)*time.Millisecond)
			if reader.due(at) {
				reader.read(t.Context(), at)
			}
		}
		if first := now.Add(listPollInterval / 10); !(&listReader{cfg: listConfig{Interval: interval}}).due(first) {
			t.Error("a new leader does not read the list at once")
		}
		if source.readings < test.want-2 || source.readings > test.want+2 {
			t.Errorf("%s: %d readings in %d intervals, want %d", test.name, source.readings, ticks, test.want)
		}
	}
}

// TestSkippedEntriesAreCounted checks that the number of entries left out is kept over a
// reading that fails.
func TestSkippedEntriesAreCounted(t *testing.T) {
	source := &lister{}
	reader := &listReader{cfg: listConfig{Lister: source, Name: "m"}}
	for _, step := range []struct {
		skipped int
		broken  bool
		want    int
	}{{0, false, 0}, {2, false, 2}, {5, true, 2}, {1, false, 1}} {
		source.skipped, source.broken = step.skipped, step.broken
		reader.read(t.Context(), time.Now())
		if got := reader.skippedEntries(); got != step.want {
			t.Errorf("%+v: %d entries are left out", step, got)
		}
	}
}
