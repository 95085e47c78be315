package kcwcontrol

import (
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"kingcupwick.example/kcw/kcwpb"
)

const (
	// coldTolerance is the difference of two readings of the same end of a cold time. A later
	// end is news above it, an earlier one only if it is earlier by coldShortened, since each
	// change of the list is sent to all routers.
	coldTolerance = 50 * time.Millisecond
	coldShortened = time.Second
)

// restate takes note of changes of the cold upstreams since the last reading.
func (l *listReader) restate(now time.Time) {
	if l.cfg.Cold == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.list == nil {
		return
	}
	if ends := l.cfg.Cold.ends(); areNews(l.coldEnds, ends, now) {
		l.state(l.list.GetUpstreams(), ends, l.readAt, now)
	}
}

// areNews reports whether the ends of cold times differ at now so much from the stated ones that
// routers have to be told.
func areNews(stated, ends map[string]time.Time, now time.Time) bool {
	for id, end := range ends {
		if end.After(now) && end.Sub(stated[id]) > coldTolerance {
			return true
		}
	}
	for id, end := range stated {
		latest := now
		if ends[id].After(now) {
			latest = ends[id]
		}
		if end.Sub(latest) > coldShortened {
			return true
		}
	}
	return false
}

// state puts the list of upstreams in force that was read at readAt, with the ends of their cold
// times as of now. The caller holds mu.
func (l *listReader) state(upstreams []*kcwpb.UpstreamRecord, ends map[string]time.Time, readAt, now time.Time) {
	// Without the cold times, two lists can be compared.
	next := &kcwpb.UpstreamList{Version: l.list.GetVersion(), Reader: l.cfg.Name, Upstreams: withCold(upstreams, nil, readAt)}
	before := l.list
	if before != nil {
		before = &kcwpb.UpstreamList{Version: before.GetVersion(), Reader: before.GetReader(), Upstreams: withCold(before.GetUpstreams(), nil, readAt)}
	}
	isChanged := before == nil || !proto.Equal(before, next) || areNews(l.coldEnds, ends, now)
	if isChanged {
		next.Version++
	} else {
		ends = l.coldEnds
	}
	next.Upstreams = withCold(upstreams, ends, readAt)
	// A list that states cold times counts from another reading now.
	if isChanged || !proto.Equal(l.list, next) {
		packed, err := packList(next)
		if err != nil {
			klog.ErrorS(err, "Failed to compress the list of upstreams", "Upstreams", len(upstreams))
			return
		}
		l.list, l.packed, l.coldEnds = next, packed, ends
		if isChanged {
			klog.InfoS("List of upstreams changed", "Version", next.Version, "Upstreams", len(upstreams), "Skipped", l.skipped, "Cold", len(ends), "Bytes", len(packed))
			l.changingUntil = now.Add(changeWindow)
		}
	}
	l.readAt = readAt
}

// withCold returns the upstreams with the cold times that were left at readAt.
func withCold(upstreams []*kcwpb.UpstreamRecord, ends map[string]time.Time, readAt time.Time) []*kcwpb.UpstreamRecord {
	stated := make([]*kcwpb.UpstreamRecord, 0, len(upstreams))
	for _, u := range upstreams {
		left := max(0, int64(ends[u.GetId()].Sub(readAt)))
		if u.GetColdLeftNanos() != left {
			u = proto.Clone(u).(*kcwpb.UpstreamRecord)
			u.ColdLeftNanos = left
		}
		stated = append(stated, u)
	}
	return stated
}
