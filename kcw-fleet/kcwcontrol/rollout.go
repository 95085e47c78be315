package kcwcontrol

import (
	"time"

	"k8s.io/klog/v2"
)

// rolloutLimit is the time from the application of a document until the leader logs the routers
// that lack it. It is below the time within which a document must be in force.
const rolloutLimit = 1500 * time.Millisecond

// rollout follows, at the leader, how the newest document spreads among the routers that
// report. It is not safe for concurrent use.
type rollout struct {
	version uint64
	// appliedAt is when this member applied the version, to the accuracy of observe's calls.
	appliedAt time.Time
	// isComplete is set once all routers have the version, isLate once the log tells that some
	// lack it.
	isComplete, isLate bool
	// behind is the number of routers that lack the version.
	behind int
}

// observe records that version is the newest at now, zero if there is none, and which versions
// the active routers stated in their last reports. Routers without a document serve no requests
// and don't count.
func (r *rollout) observe(version uint64, routers map[string]contact, now time.Time) {
	if version != r.version {
		*r = rollout{version: version, appliedAt: now}
	}
	if version == 0 {
		return
	}
	r.behind = 0
	example := ""
	for name, c := range routers {
		if c.version > 0 && c.version < version {
			r.behind++
			example = name
		}
	}
	elapsed := now.Sub(r.appliedAt)
	switch {
	case r.behind == 0 && !r.isComplete && len(routers) > 0:
		r.isComplete = true
		klog.InfoS("Document in force at all routers", "Version", version, "Routers", len(routers), "Elapsed", elapsed.String())
	case r.behind > 0 && !r.isLate && elapsed > rolloutLimit:
		r.isLate = true
		klog.InfoS("Document not in force at all routers", "Version", version, "Routers", len(routers), "Behind", r.behind, "Example", example, "Elapsed", elapsed.String())
	}
}
