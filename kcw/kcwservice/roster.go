package kcwservice

import (
	"slices"
	"strings"
	"sync"
	"time"

	"kingcupwick.example/kcw/kcwpb"
)

// roster is the routers that the leader has heard. It is not replicated: a new
// leader counts a router's silence from its own first look at it.
type roster struct {
	mu      sync.Mutex
	routers map[string]*attendance
}

// attendance is what is known of one router.
type attendance struct {
	router   *kcwpb.Router
	revision uint64
	heardAt  time.Time
}

func newRoster() *roster {
	return &roster{routers: make(map[string]*attendance)}
}

// note takes down a heartbeat heard at now.
func (r *roster) note(req *kcwpb.HeartbeatRequest, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.routers[req.Router]
	if known != nil && known.router.Incarnation > req.Incarnation {
		return
	}
	r.routers[req.Router] = &attendance{
		router:   &kcwpb.Router{Name: req.Router, Zone: req.Zone, Incarnation: req.Incarnation},
		revision: req.Revision,
		heardAt:  now,
	}
}

// isSilent reports whether nothing was heard from router for longer than limit.
// A router never heard of is taken as heard now, and judged from then on.
func (r *roster) isSilent(router string, now time.Time, limit time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.routers[router]
	if known == nil {
		r.routers[router] = &attendance{router: &kcwpb.Router{Name: router}, heardAt: now}
		return false
	}
	return now.Sub(known.heardAt) > limit
}

// count returns how many routers were heard within limit before now.
func (r *roster) count(now time.Time, limit time.Duration) uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	var n uint32
	for _, known := range r.routers {
		if now.Sub(known.heardAt) <= limit {
			n++
		}
	}
	return n
}

// list returns the registered routers by name, with what was heard of each. One
// that was not heard by this leader has no revision and no time.
func (r *roster) list(registered []*kcwpb.Router) []*kcwpb.RouterStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []*kcwpb.RouterStatus
	for _, router := range registered {
		status := &kcwpb.RouterStatus{Router: router}
		known := r.routers[router.Name]
		if known != nil && known.router.Incarnation == router.Incarnation {
			status.Revision = known.revision
			status.HeardAt = known.heardAt.UnixNano()
		}
		all = append(all, status)
	}
	slices.SortFunc(all, func(a, b *kcwpb.RouterStatus) int {
		return strings.Compare(a.Router.Name, b.Router.Name)
	})
	return all
}
