package kcwcontrol

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"kingcupwick.example/kcw/kcwpb"
)

// Lister reads the list of upstreams, for members of the core and for routers.
type Lister interface {
	// Read returns the listed upstreams. It leaves out entries that are malformed or
	// whose upstream is neither in service nor leaving; skipped is their number.
	Read(ctx context.Context) (upstreams []*kcwpb.UpstreamRecord, skipped int, err error)
}

const (
	// changeWindow is how long a list counts as changing after a change. Upstreams
	// usually come and go one after the other.
	changeWindow = 5 * time.Second
	// listPollInterval is the time between two checks of whether a reading is due. It is
	// short because a new leader, and routers that have just started, have no list.
	listPollInterval = 50 * time.Millisecond
	// unchangedFactor multiplies the pause between two readings while the list does not
	// change.
	unchangedFactor = 2
)

// listConfig configures a listReader.
type listConfig struct {
	Lister Lister
	// Name identifies the reader, since each reader numbers its versions by itself.
	Name string
	// Interval is the pause between two readings while the list changes.
	Interval time.Duration
	// Cold decides which upstreams the list states to be cold. It is optional; without it the
	// list states none.
	Cold *coldKeeper
}

// listReader reads the list of upstreams at the leader and holds the newest one.
type listReader struct {
	cfg listConfig

	mu   sync.Mutex
	list *kcwpb.UpstreamList
	// packed is list compressed for all routers.
	packed []byte
	// coldEnds holds the ends of the cold times that the version of list states.
	coldEnds map[string]time.Time
	readAt   time.Time
	failed   bool
	// skipped is the number of entries that the last reading left out.
	skipped int
	// dueAt is when the next reading is due. changingUntil is the end of the change
	// window.
	dueAt, changingUntil time.Time
}

// due reports whether a reading is due at now, and if so schedules the next one. The
// pause is longer while the list does not change, unless the last reading failed, or
// upstreams may become cold at any time.
func (l *listReader) due(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.dueAt) {
		return false
	}
	pause := l.cfg.Interval
	if !l.failed && now.After(l.changingUntil) && (l.cfg.Cold == nil || !l.cfg.Cold.isBounding()) {
		pause *= unchangedFactor
	}
	// Half a poll interval less, because ticks come a little early or late.
	l.dueAt = now.Add(pause - listPollInterval/2)
	return true
}

// read reads the list once. The list counts as read at began, the start of the reading.
func (l *listReader) read(ctx context.Context, began time.Time) {
	upstreams, skipped, err := l.cfg.Lister.Read(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	if (err != nil) != l.failed {
		l.failed = err != nil
		klog.InfoS("Reading of the list of upstreams failed or recovered", "Failed", l.failed, "Cause", err, "LastReadAt", l.readAt)
	}
	if err != nil {
		return
	}
	if skipped != l.skipped {
		l.skipped = skipped
		klog.InfoS("Entries of the list of upstreams left out", "Skipped", skipped, "Upstreams", len(upstreams))
	}
	var ends map[string]time.Time
	if l.cfg.Cold != nil {
		l.cfg.Cold.setList(upstreams, began)
		ends = l.cfg.Cold.ends()
	}
	l.state(upstreams, ends, began, began)
}

// skippedEntries returns the number of entries that the last reading left out.
func (l *listReader) skippedEntries() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.skipped
}

// latest returns the newest list, the compressed form of it, and its age at now. The list is
// nil if there is none.
func (l *listReader) latest(now time.Time) (list *kcwpb.UpstreamList, packed []byte, age time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.list, l.packed, now.Sub(l.readAt)
}

// packList returns the list compressed with gzip.
func packList(list *kcwpb.UpstreamList) ([]byte, error) {
	data, err := proto.Marshal(list)
	if err != nil {
		return nil, err
	}
	return compress(data)
}

// UnpackList returns the list that packed holds in compressed form. It reads at most
// maxListBytes.
func UnpackList(packed []byte) (*kcwpb.UpstreamList, error) {
	z, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	data, err := io.ReadAll(io.LimitReader(z, maxListBytes))
	if err != nil {
		return nil, err
	}
	list := &kcwpb.UpstreamList{}
	return list, proto.Unmarshal(data, list)
}

// maxListBytes bounds a decompressed list.
const maxListBytes = 16 << 20
