package kcwgateway

import (
	"slices"
	"strings"
	"time"
)

// state is the state of a Gateway that is shown to operators.
type state struct {
	Draining, Fenced bool
	InFlight         []flightState
	// Unsettled is the number of claims that are being closed in the background.
	Unsettled   int64
	Answers     int
	AnswerBytes int64
	Services    []serviceState
}

type flightState struct {
	Customer, Request string
	Callers           int
	// Decided is set if the result has been passed to the callers.
	Decided bool
}

type serviceState struct {
	Service             string
	Slots               int
	Running, Waiting    int
	FirstTries, Retries uint64
	DeniedRetries       uint64
	Upstreams           []upstreamState
}

type upstreamState struct {
	Name, Zone string
	Usable     bool
	// Reason is why the upstream gets no requests, as kcwavailability.Table.Reason
	// returns it. It is empty if nothing but the circuit breaker may prevent them.
	Reason   string
	Breaker  string
	InFlight int
	Running  int
	Waiting  int
	Capacity int
	LoadAt   time.Time
}

// Dump returns the state of the gateway for encoding as JSON. It contains no keys and
// no content of requests or answers.
func (g *Gateway) Dump() any {
	s := &state{Draining: g.draining.Load(), Fenced: g.fenced.Load(), Unsettled: g.unsettled.Load(), InFlight: g.flights.list()}
	s.Answers, s.AnswerBytes = g.cfg.Answers.Size()
	for name, q := range g.pool.services {
		s.Services = append(s.Services, g.pool.serviceState(name, q))
	}
	slices.SortFunc(s.Services, func(a, b serviceState) int { return strings.Compare(a.Service, b.Service) })
	return s
}

// list returns the requests in flight, ordered by customer and identity.
func (t *flights) list() []flightState {
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []flightState
	for id, f := range t.byKey {
		all = append(all, flightState{Customer: id.customer, Request: id.request, Callers: f.callers, Decided: f.resolved})
	}
	slices.SortFunc(all, func(a, b flightState) int {
		return strings.Compare(a.Customer+"\x00"+a.Request, b.Customer+"\x00"+b.Request)
	})
	return all
}

func (p *pool) serviceState(name string, q *serviceQueue) serviceState {
	s := serviceState{Service: name}
	s.Slots, s.Running, s.Waiting = q.queue.Counts()
	s.FirstTries, s.Retries, s.DeniedRetries = q.retries.Counts()
	now := p.now()
	for _, t := range p.targets {
		u := t.upstream
		if u.Service() != name {
			continue
		}
		running, waiting, capacity, at := u.Load()
		s.Upstreams = append(s.Upstreams, upstreamState{
			Name: u.Name(), Zone: u.Zone(), Usable: p.usable(u.Name()), Reason: p.availability.Reason(now, u.Name()),
			Breaker: t.breaker.State(), InFlight: u.InFlight(), Running: running, Waiting: waiting, Capacity: capacity, LoadAt: at,
		})
	}
	slices.SortFunc(s.Upstreams, func(a, b upstreamState) int { return strings.Compare(a.Name, b.Name) })
	return s
}
