package kcwcontrol

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwspeed"
)

// speedKeeper holds, at the leader, the table of speeds. It is not in the replicated state: what
// it holds is seconds old, and routers fill the table of a new leader at once.
type speedKeeper struct {
	// bytes counts those of the reports on speeds, and malformed their malformed entries.
	bytes, malformed atomic.Int64

	// mu guards the fields below.
	mu    sync.Mutex
	table *kcwspeed.Table
	// listVersion and listReader identify the list of upstreams that the table has.
	listVersion uint64
	listReader  string
	// reported holds the routers whose malformed entries have been logged.
	reported map[string]bool
}

// maxReported bounds the routers whose malformed entries are logged.
const maxReported = 1024

func newSpeedKeeper() *speedKeeper {
	// Half of the numbers leaves room to count.
	return &speedKeeper{table: kcwspeed.NewTable(rand.Uint64()/2 + 1), reported: map[string]bool{}}
}

// sync takes the speeds of a router's report that arrived at now, and adds to the answer the
// entries that the router does not have, if allow permits their size. List is the newest list of
// upstreams, nil if there is none.
func (k *speedKeeper) sync(req *kcwpb.FleetSyncRequest, response *kcwpb.FleetSyncResponse, list *kcwpb.UpstreamList, allow func(bytes int) bool, now time.Time) {
	k.bytes.Add(int64(proto.Size(&kcwpb.FleetSyncRequest{Speeds: req.GetSpeeds()})))
	k.mu.Lock()
	defer k.mu.Unlock()
	if list != nil && (list.GetVersion() != k.listVersion || list.GetReader() != k.listReader) {
		k.listVersion, k.listReader = list.GetVersion(), list.GetReader()
		upstreams := make([]kcwspeed.Upstream, 0, len(list.GetUpstreams()))
		for _, u := range list.GetUpstreams() {
			upstreams = append(upstreams, kcwspeed.Upstream{ID: u.GetId(), Service: u.GetService(), Born: u.GetBorn()})
		}
		k.table.SetUpstreams(upstreams)
	}
	if malformed := k.table.Merge(req.GetSpeeds(), now); malformed > 0 {
		k.malformed.Add(int64(malformed))
		k.logMalformed(req.GetAllowances().GetRouter(), malformed)
	}
	entries, version := k.table.Since(req.GetSpeedsVersion(), now)
	response.SpeedsVersion = version
	for _, n := range k.table.TakeNotices() {
		message := "Upstream slow"
		if n.Ended {
			message = "Upstream no longer slow"
		}
		klog.InfoS(message, "Upstream", n.Upstream, "Service", n.Service, "Slowness", n.Slowness, "Capacity", n.Capacity, "Knee", n.Knee,
			"AnswersPerSecond", n.PerSecond, "Running", n.Running, "Waiting", n.Waiting, "Slots", n.Slots)
	}
	if len(entries) == 0 {
		return
	}
	if !allow(proto.Size(&kcwpb.FleetSyncResponse{Speeds: entries})) {
		response.SpeedsVersion = req.GetSpeedsVersion()
		return
	}
	response.Speeds = entries
}

// logMalformed logs the first malformed entries of a router. The caller holds mu.
func (k *speedKeeper) logMalformed(router string, malformed int) {
	if k.reported[router] || len(k.reported) >= maxReported {
		return
	}
	k.reported[router] = true
	klog.InfoS("Report has malformed speeds of upstreams", "Router", router, "Entries", malformed)
}

// dump returns the table for the state dump.
func (k *speedKeeper) dump(now time.Time) []kcwspeed.Speed {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Speeds(now)
}
