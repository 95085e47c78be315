package main

import (
	"time"

	"kingcupwick.example/kcw/kcwlisten"
	"kingcupwick.example/kcw/kcwmemory"
	"kingcupwick.example/kcw/kcwserve"
)

// Shares of the resources of the process that clients of its servers may use. Connections to
// upstreams need most of the other descriptors. Each other router keeps a few connections.
var (
	callerShare = kcwserve.Share{Descriptors: 0.55, ConnsPerMB: 11, Memory: 0.1}
	routerShare = kcwserve.Share{Descriptors: 0.1, ConnsPerMB: 2, Memory: 0.03}
	adminShare  = kcwserve.Share{Descriptors: 0.04, ConnsPerMB: 0.5, Memory: 0.02}
)

// Names of the servers.
const (
	callersServer = "Callers"
	routersServer = "Routers"
	adminServer   = "Admin"
)

// adminWriteTimeout bounds one write to an operator, and routerWriteTimeout one to another
// router, of a part of an answer.
const (
	adminWriteTimeout  = 10 * time.Second
	routerWriteTimeout = 30 * time.Second
)

// newBounds creates the bounds of the clients of each server. The gateway bounds the bodies of
// callers.
func (p *process) newBounds() error {
	s := p.settings
	host := s.Process()
	callers := host.Bound(callerShare, s.Deadlines.Read)
	routers := host.Bound(routerShare, headerTimeout)
	routers.WriteTimeout = routerWriteTimeout
	admin := host.Bound(adminShare, headerTimeout)
	admin.ChargeBodies, admin.WriteTimeout = true, adminWriteTimeout
	var err error
	p.bounds, err = kcwserve.NewBounds(map[string]kcwlisten.Config{callersServer: callers, routersServer: routers, adminServer: admin})
	return err
}

// listen opens the servers for callers and for other routers.
func (p *process) listen() error {
	s := p.settings.Host
	limits := kcwserve.Config{HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, Bound: p.bounds[callersServer]}
	var err error
	if p.public, err = kcwserve.New(s.Address, p.gateway, limits); err != nil {
		return err
	}
	limits.Bound = p.bounds[routersServer]
	_, answers := p.gateway.Answers()
	p.internal, err = kcwserve.New(s.InternalAddress, answers, limits)
	return err
}

// registerBounds registers the metrics of the connections and of the memory of requests.
func (p *process) registerBounds(memory *kcwmemory.Account) {
	p.meter.Gauge("kcw_router_connections", "Open connections of clients, by server.", p.bounds.Observe(kcwserve.Open))
	p.meter.Gauge("kcw_router_connection_bytes", "Memory of requests that are being received or held, by server.", p.bounds.Observe(kcwserve.Held))
	p.meter.Gauge("kcw_router_connections_refused", "Connections refused since the start because there were too many, by server.", p.bounds.Observe(kcwserve.Refused))
	p.meter.Gauge("kcw_router_connections_closed", "Connections closed since the start in favor of others or for what they held, by server.", p.bounds.Observe(kcwserve.Closed))
	p.meter.Gauge("kcw_router_memory_held", "Memory that bodies and answers of requests hold.", kcwserve.ObserveHeld(memory))
}
