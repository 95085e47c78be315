// Package kcwlatency estimates how long the requests of each route take. A router that is
// about to stop uses the estimate to accept only requests that will end in time. This
// matters when hosts are restarted one after the other and the remaining ones have too
// little capacity for all callers. The package does no I/O.
package kcwlatency

import (
	"sync"
	"time"
)

// The gains of the mean and of the mean deviation, and the number of deviations by
// which UpperBound exceeds the mean, are those of Jacobson, Congestion Avoidance and
// Control, 1988. The gains are stated as their reciprocals.
const (
	meanGain      = 8
	deviationGain = 4
	deviations    = 4
)

// estimate is the moving mean of the durations of a route's requests and their mean
// deviation.
type estimate struct {
	mean, deviation time.Duration
}

// Estimator keeps an estimate for each route. It is safe for concurrent use.
type Estimator struct {
	mu     sync.Mutex
	routes map[string]estimate
}

// New returns an Estimator without observations.
func New() *Estimator { return &Estimator{routes: map[string]estimate{}} }

// Observe adds the duration of one request of route.
func (e *Estimator) Observe(route string, duration time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	est, observed := e.routes[route]
	if !observed {
		e.routes[route] = estimate{duration, duration / 2}
		return
	}
	diff := duration - est.mean
	est.mean += diff / meanGain
	est.deviation += (diff.Abs() - est.deviation) / deviationGain
	e.routes[route] = est
}

// UpperBound returns a duration within which nearly all requests of route end, and
// whether any request of the route has been observed.
func (e *Estimator) UpperBound(route string) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	est, observed := e.routes[route]
	return est.mean + deviations*est.deviation, observed
}
