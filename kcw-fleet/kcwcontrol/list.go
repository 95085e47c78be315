package kcwcontrol

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"kingcupwick.example/kcw/kcwpb"
)

// Lister reads the list of upstreams, for members of the core and for routers.
type Lister interface {
	// Read returns the upstreams listed. Entries that can't be read are left
	// out; skipped says how many.
	Read(ctx context.Context) (upstreams []*kcwpb.UpstreamRecord, skipped int, err error)
}

const (
	// changingFor is how long a list counts as changing after it has changed: upstreams
	// come and go one after the other.
	changingFor = 5 * time.Second
	// listTick is the pause between two looks at whether the list is to be read: a new
	// leader, and routers that have just started, have none.
	listTick = 50 * time.Millisecond
	// calmFactor is how many times as long the pause between two readings of a list
	// is that does not change.
	calmFactor = 2
)

// listConfig configures a listReader.
type listConfig struct {
	Lister Lister
	// Name identifies the reader, so that its versions are not taken for another's.
	Name string
	// Interval is the pause between two readings of a list that changes.
	Interval time.Duration
}

// listReader keeps the newest list of upstreams at the leader.
type listReader struct {
	cfg listConfig

	mu     sync.Mutex
	list   *kcwpb.UpstreamList
	readAt time.Time
	failed bool
	// dueAt is when the list is read next, changingUntil when it counts as calm.
	dueAt, changingUntil time.Time
}

// due reports whether the list is to be read at now. A list that changes is read more
// often than one that does not.
func (l *listReader) due(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.dueAt) {
		return false
	}
	pause := l.cfg.Interval
	if !l.failed && now.After(l.changingUntil) {
		pause *= calmFactor
	}
	// Ticks come a little early or late.
	l.dueAt = now.Add(pause - listTick/2)
	return true
}

// read reads the list once at began, until ctx ends.
func (l *listReader) read(ctx context.Context, began time.Time) {
	upstreams, skipped, err := l.cfg.Lister.Read(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	if (err != nil) != l.failed {
		l.failed = err != nil
		klog.InfoS("Reading the list of upstreams", "Failed", l.failed, "Cause", err, "LastReadAt", l.readAt)
	}
	if err != nil {
		return
	}
	next := &kcwpb.UpstreamList{Version: l.list.GetVersion(), Reader: l.cfg.Name, Upstreams: upstreams}
	if l.list == nil || !proto.Equal(l.list, next) {
		next.Version++
		klog.InfoS("List of upstreams changed", "Version", next.Version, "Upstreams", len(upstreams), "Skipped", skipped)
		l.list = next
		l.changingUntil = began.Add(changingFor)
	}
	l.readAt = began
}

// latest returns the newest list and its age at now, nil if there is none.
func (l *listReader) latest(now time.Time) (*kcwpb.UpstreamList, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.list, now.Sub(l.readAt)
}
