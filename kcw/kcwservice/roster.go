package kcwservice

import (
	"slices"
	"strings"
	"sync"
	"time"

	"kingcupwick.example/kcw/kcwpb"
)

// roster holds the routers from which the leader has received heartbeats. It is
// not replicated: a new leader measures a router's silence from the first time
// that it checks the router or receives its heartbeat.
type roster struct {
	mu      sync.Mutex
	routers map[string]*routerRecord
}

// routerRecord holds the last heartbeat of one router.
type routerRecord struct {
	router        *kcwpb.Router
	revision      uint64
	lastHeartbeat time.Time
}

func newRoster() *roster {
	return &roster{routers: make(map[string]*routerRecord)}
}

// recordHeartbeat records a heartbeat received at now. It ignores one from an older
// incarnation.
func (r *roster) recordHeartbeat(req *kcwpb.HeartbeatRequest, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.routers[req.Router]
	if record != nil && record.router.Incarnation > req.Incarnation {
		return
	}
	r.routers[req.Router] = &routerRecord{
		router:        &kcwpb.Router{Name: req.Router, Zone: req.Zone, Incarnation: req.Incarnation},
		revision:      req.Revision,
		lastHeartbeat: now,
	}
}

// isSilent reports whether the last heartbeat of router is older than limit. For a
// router without one, the time now counts as its first heartbeat.
func (r *roster) isSilent(router string, now time.Time, limit time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.routers[router]
	if record == nil {
		r.routers[router] = &routerRecord{router: &kcwpb.Router{Name: router}, lastHeartbeat: now}
		return false
	}
	return now.Sub(record.lastHeartbeat) > limit
}

// count returns the number of routers whose last heartbeat is not older than limit
// at now.
func (r *roster) count(now time.Time, limit time.Duration) uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	var n uint32
	for _, record := range r.routers {
		if now.Sub(record.lastHeartbeat) <= limit {
			n++
		}
	}
	return n
}

// list returns the status of the registered routers in order of name. The status
// has no revision and no time if this leader has received no heartbeat of the
// registered incarnation.
func (r *roster) list(registered []*kcwpb.Router) []*kcwpb.RouterStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []*kcwpb.RouterStatus
	for _, router := range registered {
		status := &kcwpb.RouterStatus{Router: router}
		record := r.routers[router.Name]
		if record != nil && record.router.Incarnation == router.Incarnation {
			status.Revision = record.revision
			status.HeardAt = record.lastHeartbeat.UnixNano()
		}
		all = append(all, status)
	}
	slices.SortFunc(all, func(a, b *kcwpb.RouterStatus) int {
		return strings.Compare(a.Router.Name, b.Router.Name)
	})
	return all
}
