// Package kcwpace holds an estimate of how long the requests of each route take.
// A router that is about to stop uses it to take only requests that will end in
// time. It answers hosts that are restarted one after the other, when too few
// others are left to take all callers. It does no I/O.
package kcwpace

import (
	"sync"
	"time"
)

// The gains of the mean and of the mean deviation, and by how many deviations
// Longest exceeds the mean, are those of Jacobson, Congestion Avoidance and
// Control, 1988.
const (
	meanGain      = 8
	deviationGain = 4
	deviations    = 4
)

// estimate is the mean time of a route's requests and its mean deviation.
type estimate struct {
	mean, deviation time.Duration
}

// Estimator keeps an estimate for each route. It is safe for concurrent use.
type Estimator struct {
	mu     sync.Mutex
	routes map[string]estimate
}

// New returns a Pace that knows no route.
func New() *Estimator { return &Estimator{routes: map[string]estimate{}} }

// Observe takes the time that a request of route took.
func (p *Estimator) Observe(route string, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, known := p.routes[route]
	if !known {
		p.routes[route] = estimate{took, took / 2}
		return
	}
	off := took - e.mean
	e.mean += off / meanGain
	e.deviation += (off.Abs() - e.deviation) / deviationGain
	p.routes[route] = e
}

// UpperBound returns a time in which nearly all requests of route end, and whether
// the route is known.
func (p *Estimator) UpperBound(route string) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, known := p.routes[route]
	return e.mean + deviations*e.deviation, known
}
