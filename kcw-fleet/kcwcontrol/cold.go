package kcwcontrol

import (
	"strings"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"kingcupwick.example/kcw/kcwcold"
	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwroute"
)

// maxLoggedUpstreams bounds the upstreams that a log line names.
const maxLoggedUpstreams = 16

// coldKeeper holds, at the leader, which upstreams are cold: those that the list states, and
// those of whose outages routers have told. It is safe for concurrent use.
type coldKeeper struct {
	decode func([]byte) (*kcwroute.Document, error)
	// now returns the time by the clock of the readings of the list.
	now func() time.Time

	mu      sync.Mutex
	tracker *kcwcold.Tracker
	// version is that of the document whose services the tracker has.
	version uint64
	// reported counts the outages of which routers have told.
	reported int64
}

func newColdKeeper(cfg kcwcold.Config, decode func([]byte) (*kcwroute.Document, error), now func() time.Time) *coldKeeper {
	return &coldKeeper{decode: decode, now: now, tracker: kcwcold.New(cfg)}
}

// setDocument takes note of the services of the newest document.
func (k *coldKeeper) setDocument(put *kcwpb.PutDocument) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if put.GetVersion() == k.version {
		return
	}
	k.version = put.GetVersion()
	body, err := Unpack(put)
	if err != nil {
		klog.ErrorS(err, "Failed to decompress the document", "Version", put.GetVersion())
		return
	}
	document, err := k.decode(body)
	if err != nil {
		klog.ErrorS(err, "Document is invalid", "Version", put.GetVersion())
		return
	}
	k.tracker.SetServices(kcwcold.Services(document))
}

// setList takes note of a list that was read at readAt.
func (k *coldKeeper) setList(records []*kcwpb.UpstreamRecord, readAt time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	malformed := k.tracker.Update(kcwcold.DecodeList(records), readAt)
	if len(malformed) > 0 {
		klog.InfoS("Cold times of the list can't be read", "Upstreams", len(malformed), "Added", joinBounded(malformed))
	}
}

// joinBounded joins some of the names.
func joinBounded(names []string) string {
	return strings.Join(names[:min(len(names), maxLoggedUpstreams)], " ")
}

// report takes note of a router's notice that the upstreams had an outage.
func (k *coldKeeper) report(router string, upstreams []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var news []string
	for _, id := range upstreams {
		if k.tracker.Report(id, kcwcold.Reported, k.now()) {
			news = append(news, id)
		}
	}
	k.reported += int64(len(news))
	if len(news) > 0 {
		klog.InfoS("Outages reported", "Router", router, "Upstreams", len(news), "Added", joinBounded(news))
	}
}

// isBounding reports whether any upstream would have a limit if it were cold.
func (k *coldKeeper) isBounding() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.tracker.IsBounding()
}

// bounds returns the bounds of the cold upstreams.
func (k *coldKeeper) bounds() []kcwcold.Bound {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.tracker.Bounds(k.now())
}

// potential returns the bound that the upstream has while it is cold.
func (k *coldKeeper) potential(upstream string) kcwcold.Bound {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.tracker.Potential(upstream)
}

// ends returns the ends of the cold times that are not over.
func (k *coldKeeper) ends() map[string]time.Time {
	ends := map[string]time.Time{}
	for _, b := range k.bounds() {
		ends[b.Upstream] = b.Until
	}
	return ends
}

// counts returns the number of cold upstreams, of upstreams whose cold time can't be
// read, and of outages of which routers have told.
func (k *coldKeeper) counts() (cold, malformed, reported int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return int64(len(k.tracker.Bounds(k.now()))), int64(k.tracker.Malformed()), k.reported
}

// coldState is a cold upstream as shown in dumps.
type coldState struct {
	Upstream, Service string
	PerSecond, Most   float64
	// Left is how much longer it counts as cold.
	Left string
}

// dump returns the cold upstreams, sorted.
func (k *coldKeeper) dump() []coldState {
	var states []coldState
	now := k.now()
	for _, b := range k.bounds() {
		states = append(states, coldState{b.Upstream, b.Service, b.PerSecond, b.Most, b.Until.Sub(now).String()})
	}
	return states
}
