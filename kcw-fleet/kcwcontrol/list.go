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

// listReader keeps the newest list of upstreams at the leader.
type listReader struct {
	lister Lister
	name   string

	mu     sync.Mutex
	list   *kcwpb.UpstreamList
	readAt time.Time
	failed bool
}

// read reads the list once, until ctx ends.
func (l *listReader) read(ctx context.Context) {
	began := time.Now()
	upstreams, skipped, err := l.lister.Read(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	if (err != nil) != l.failed {
		l.failed = err != nil
		klog.InfoS("Reading the list of upstreams", "Failed", l.failed, "Cause", err, "LastReadAt", l.readAt)
	}
	if err != nil {
		return
	}
	next := &kcwpb.UpstreamList{Version: l.list.GetVersion(), Reader: l.name, Upstreams: upstreams}
	if l.list == nil || !proto.Equal(l.list, next) {
		next.Version++
		klog.InfoS("List of upstreams changed", "Version", next.Version, "Upstreams", len(upstreams), "Skipped", skipped)
		l.list = next
	}
	l.readAt = began
}

// latest returns the newest list and its age at now, nil if there is none.
func (l *listReader) latest(now time.Time) (*kcwpb.UpstreamList, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.list, now.Sub(l.readAt)
}
