package kcwrouter

import (
	"context"
	"sync"
	"time"

	"kingcupwick.example/kcw/kcwroster"
)

const (
	// minConnPart is the least part of the connections of an upstream that a router may use. The
	// requests of one router are few where there are many of them, so that not all use it.
	minConnPart = 4
	// routerPeakTime is the least time for which a number of routers counts. A new leader knows
	// only the routers that have reported to it already, and their connections outlast that.
	routerPeakTime = 10 * time.Second
	// trimInterval is the time between two closings of the idle connections that have expired.
	trimInterval = time.Second
)

// connBound returns the bound on the connections to each upstream of a service: the total that
// the document names, and this router's equal part of it.
func (p *reporter) connBound(service string) kcwroster.ConnBound {
	document := p.document.Load()
	if document == nil {
		return kcwroster.ConnBound{}
	}
	s := document.Service(service)
	if s == nil || s.MaxConns <= 0 {
		return kcwroster.ConnBound{}
	}
	return kcwroster.ConnBound{Total: s.MaxConns, Part: min(s.MaxConns, max(minConnPart, s.MaxConns/max(1, p.peak.value(time.Now()))))}
}

// connParts returns the router's part of the connections to one upstream, by service.
func (p *reporter) connParts() map[string]int {
	parts := map[string]int{}
	if document := p.document.Load(); document != nil {
		for _, s := range document.Services {
			if bound := p.connBound(s.Name); bound.Total > 0 {
				parts[s.Name] = bound.Part
			}
		}
	}
	return parts
}

// routerPeak is the largest number of routers recorded in the last routerPeakTime to twice that.
// If nothing was recorded for that long, it is the number recorded last. It is safe for concurrent
// use.
type routerPeak struct {
	mu sync.Mutex
	// latest was recorded last. current is the largest number recorded since begunAt, and former
	// that of the period before.
	latest, current, former int
	begunAt                 time.Time
}

// record records the number of routers at now.
func (p *routerPeak) record(routers int, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(now)
	p.latest, p.current = routers, max(p.current, routers)
}

// value returns the largest number at now.
func (p *routerPeak) value(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(now)
	return max(p.latest, p.current, p.former)
}

// advance begins another period at now if the current one is over.
func (p *routerPeak) advance(now time.Time) {
	switch elapsed := now.Sub(p.begunAt); {
	case elapsed < routerPeakTime:
		return
	case elapsed < 2*routerPeakTime:
		p.former = p.current
	default:
		p.former = 0
	}
	p.current, p.begunAt = 0, now
}

// trimConns closes expired idle connections until ctx ends.
func (r *Router) trimConns(ctx context.Context) {
	ticker := time.NewTicker(trimInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.roster.TrimConns()
		case <-ctx.Done():
			return
		}
	}
}
